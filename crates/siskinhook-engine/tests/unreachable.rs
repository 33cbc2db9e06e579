//! Tests of statements in flight on a server that becomes unreachable.

mod support;

use std::time::Duration;

use siskinhook_standin::Cut;
use support::{Cluster, claims, insert, plan};
use tokio::time::{Instant, sleep, timeout};

/// Required limit: a change of the primary completes within 7 s.
const PRIMARY_CHANGE_LIMIT: Duration = Duration::from_secs(7);

/// Guards against a statement that hangs forever: its server is cut off while its owner node
/// stays alive, so neither the node nor a new connection can report the statement's outcome.
#[tokio::test(start_paused = true)]
async fn write_in_flight_on_a_cut_off_primary_is_resolved() {
    for seed in 0..20 {
        println!("seed {seed}");
        let cluster = Cluster::start(seed, plan(3)).await;
        let mut session = cluster.session("n2");
        session.options_mut().request = Some("claim-1".into());
        let primary = cluster.primary();
        // Each seed cuts the server off at a different moment of the write.
        let write = async {
            sleep(Duration::from_millis(50)).await;
            insert(&mut session, 1).await
        };
        let cut = async {
            sleep(Duration::from_micros(50_000 + seed * 300)).await;
            cluster.cut(Cut::Name(primary.clone()));
            Instant::now()
        };
        let (result, cut) = timeout(Duration::from_secs(30), async { tokio::join!(write, cut) })
            .await
            .expect("the write got no answer");
        assert!(
            cut.elapsed() < PRIMARY_CHANGE_LIMIT,
            "resolved after {:?}",
            cut.elapsed()
        );
        result.unwrap();
        let mut other = cluster.session("n3");
        assert_eq!(claims(&mut other, 1).await.unwrap(), 1);
    }
}
