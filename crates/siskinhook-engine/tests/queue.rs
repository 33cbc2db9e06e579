//! Tests of short and long work on the same server.

mod support;

use std::time::Duration;

use siskinhook_types::Class;
use support::{Cluster, claim, plan, run};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

/// Guards against short work that waits for long work: billing runs must not take both slots of
/// a server, but leave one for terminals.
#[tokio::test(start_paused = true)]
async fn short_work_does_not_wait_for_long_work() {
    let cluster = Cluster::start(111, plan(3)).await;
    let mut billing = JoinSet::new();
    for _ in 0..6 {
        let mut session = cluster.session("n2");
        session.options_mut().class = Some(Class::Long);
        session.options_mut().deadline = Some(Duration::from_mins(2));
        billing.spawn(async move {
            let sql = "UPDATE claims SET barista = barista WHERE work_ms(3000) >= 0";
            run(&mut session, sql).await.unwrap();
        });
    }
    sleep(Duration::from_millis(100)).await;
    let mut session = cluster.session("n3");
    let mut longest = Duration::ZERO;
    for shift in 100..300 {
        let sent = Instant::now();
        claim(&mut session, shift).await.unwrap();
        longest = longest.max(sent.elapsed());
        sleep(Duration::from_millis(10)).await;
    }
    assert!(
        !billing.is_empty(),
        "the long work ended too early to prove anything"
    );
    println!("short work took {longest:?} at most");
    assert!(
        longest < Duration::from_millis(100),
        "short work took {longest:?}"
    );
    billing.join_all().await;
}
