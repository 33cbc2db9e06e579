//! Tests of short and long work on the same server.

mod support;

use std::time::Duration;

use siskinhook_types::{Class, ServerId};
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

/// Guards against reads that stay in the queue of a replica that is marked as leaving, and start
/// there one after another for as long as the queue lasts. They have to run on another server.
#[tokio::test(start_paused = true)]
async fn queued_reads_move_off_a_leaving_replica() {
    let cluster = Cluster::start(112, plan(3)).await;
    let primary = cluster.primary();
    let state = cluster.site.state();
    let replicas: Vec<ServerId> = state
        .servers
        .into_keys()
        .filter(|s| *s != primary)
        .collect();
    let mut reads = JoinSet::new();
    for _ in 0..12 {
        let mut session = cluster.session("n2");
        session.options_mut().class = Some(Class::Long);
        session.options_mut().max_age = Some(Duration::from_mins(1));
        session.options_mut().deadline = Some(Duration::from_mins(2));
        reads.spawn(async move { run(&mut session, "SELECT work_ms(1500)").await });
    }
    sleep(Duration::from_millis(100)).await;
    let leaving = replicas
        .iter()
        .find(|name| cluster.site.server(name).unwrap().status().running > 0)
        .expect("a replica that runs a read");
    cluster.edit_catalogue(|catalogue| {
        let databases = catalogue
            .entries
            .values_mut()
            .flat_map(|entry| entry.databases.values_mut());
        for server in databases.flat_map(|database| &mut database.servers) {
            server.leaving = server.name == *leaving;
        }
    });
    // The reads that were running when the server was marked have ended by then.
    sleep(Duration::from_millis(1600)).await;
    let server = cluster.site.server(leaving).unwrap();
    for _ in 0..300 {
        assert_eq!(server.status().running, 0, "the leaving server got work");
        sleep(Duration::from_millis(10)).await;
    }
    for read in reads.join_all().await {
        read.unwrap();
    }
}
