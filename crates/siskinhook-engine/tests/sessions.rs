//! What a caller sees of its own writes, on one node and after roaming.

mod support;

use std::time::Duration;

use siskinhook_engine::{SessionOptions, TransactionState};
use siskinhook_standin::Cut;
use siskinhook_types::{FailureKind, Verdict};
use support::{Cluster, claim, claims, plan, run};

/// Guards against a request path that does not work at all.
#[tokio::test(start_paused = true)]
async fn write_and_read_on_one_node() {
    let cluster = Cluster::start(1, plan(1)).await;
    let mut session = cluster.session("n1");
    let token = claim(&mut session, 1).await.unwrap();
    assert_eq!(token.database, "claims");
    assert_eq!(claims(&mut session, 1).await.unwrap(), 1);
    assert_eq!(session.transaction(), TransactionState::Idle);
}
