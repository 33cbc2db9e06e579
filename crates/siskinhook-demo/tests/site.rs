//! Writes, failovers and shutdown of a whole site over TCP: eight nodes and three databases.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod support;

use std::time::Duration;

use siskinhook_demo::Demo;
use siskinhook_standin::{Cut, Fault, NodeFault, PlatformState};
use support::{OUTCOME_TIMEOUT, connect, primary, query_value, run, start};

/// Guards against a caller that does not see its own write on another node.
#[tokio::test(flavor = "multi_thread")]
async fn writes_are_seen_on_every_node() {
    let demo = start().await;
    let writer = connect(&demo, 0, "claims", "").await;
    run(&writer, "CREATE TABLE seen (id int PRIMARY KEY)").await;
    for node in 0..demo.summary().nodes.len() {
        run(&writer, &format!("INSERT INTO seen VALUES ({node})")).await;
        let token = query_value(&writer, "SHOW siskinhook.token").await;
        let count = (node + 1).to_string();
        let with_token = format!("-c siskinhook.token={token}");
        let resumed = connect(&demo, node, "claims", &with_token).await;
        assert_eq!(
            query_value(&resumed, "SELECT count(*) FROM seen").await,
            count
        );
        let without_token = connect(&demo, node, "claims", "").await;
        assert_eq!(
            query_value(&without_token, "SELECT count(*) FROM seen").await,
            count
        );
    }
    assert!(demo.stop().await);
}

/// Writes `rows` rows with request ids through all nodes and repeats each one until it is
/// acknowledged. Returns the number of acknowledged rows.
async fn write_rows(demo: &Demo, database: &str, rows: usize) -> usize {
    let mut clients = Vec::new();
    for node in 0..demo.summary().nodes.len() {
        clients.push(connect(demo, node, database, "").await);
    }
    for row in 0..rows {
        let mut attempt = 0;
        loop {
            let client = &clients[(row + attempt) % clients.len()];
            let sql =
                format!("SET siskinhook.request_id = 'row-{row}'; INSERT INTO kept VALUES ({row})");
            let result = tokio::time::timeout(OUTCOME_TIMEOUT, client.simple_query(&sql))
                .await
                .expect("the write has an outcome");
            if result.is_ok() {
                break;
            }
            attempt += 1;
            assert!(
                attempt < 50,
                "row {row} is refused again and again: {result:?}"
            );
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    rows
}

/// Guards against a failover that loses or doubles an acknowledged write, or never ends.
async fn failover_keeps_writes(demo: &Demo, database: &str, fault: Fault) {
    let client = connect(demo, 0, database, "").await;
    run(&client, "CREATE TABLE kept (id int)").await;
    let before = primary(demo, database);
    let (rows, ()) = tokio::join!(write_rows(demo, database, 60), async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        demo.site().apply(&fault).expect("a known fault");
    });
    assert_ne!(
        primary(demo, database),
        before,
        "no other server was promoted"
    );
    // Reads through a node outside the zone of the old primary.
    let state = demo.site().state();
    let zone = &state.servers[before.as_str()].zone;
    let node = demo
        .summary()
        .nodes
        .iter()
        .position(|node| node.zone != *zone)
        .expect("a node in another zone");
    let reader = connect(demo, node, database, "").await;
    assert_eq!(
        query_value(&reader, "SELECT count(*) FROM kept").await,
        rows.to_string()
    );
    assert_eq!(
        query_value(&reader, "SELECT count(DISTINCT id) FROM kept").await,
        rows.to_string()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn crash_of_the_primary_keeps_writes() {
    let demo = start().await;
    let server = primary(&demo, "shifts");
    failover_keeps_writes(&demo, "shifts", Fault::Crash(server.into())).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn partition_of_the_primary_keeps_writes() {
    let demo = start().await;
    let server = primary(&demo, "payroll");
    failover_keeps_writes(&demo, "payroll", Fault::Cut(Cut::Name(server.into()))).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn failover_needs_no_platform() {
    let demo = start().await;
    // The nodes have their catalogue before the platform goes down.
    connect(&demo, 0, "shifts", "").await;
    demo.site()
        .apply(&Fault::Platform(PlatformState::Down))
        .unwrap();
    let server = primary(&demo, "shifts");
    failover_keeps_writes(&demo, "shifts", Fault::Crash(server.into())).await;
}

/// Guards against a failover that does not survive two faults at once: every answer of the
/// platform is lost while the primary crashes, so that promoters do not learn whether they took
/// the promotion row.
#[tokio::test(flavor = "multi_thread")]
async fn failover_survives_lost_platform_answers() {
    let demo = start().await;
    connect(&demo, 0, "shifts", "").await;
    let lost = Fault::Platform(PlatformState::LoseAnswers(1000));
    demo.site().apply(&lost).unwrap();
    let server = primary(&demo, "shifts");
    failover_keeps_writes(&demo, "shifts", Fault::Crash(server.into())).await;
}

/// Guards against statements that stay assigned to a killed or paused node.
#[tokio::test(flavor = "multi_thread")]
async fn other_nodes_take_over() {
    let demo = start().await;
    let client = connect(&demo, 0, "shifts", "").await;
    run(&client, "CREATE TABLE moved (id int)").await;
    demo.site()
        .apply(&Fault::Node(NodeFault::Kill("n7".into())))
        .unwrap();
    demo.site()
        .apply(&Fault::Node(NodeFault::Pause("n8".into())))
        .unwrap();
    for row in 0..5 {
        // Each value is unique, so a doubled row would show in the count.
        run(
            &client,
            &format!("SET siskinhook.request_id = 'm{row}'; INSERT INTO moved VALUES ({row})"),
        )
        .await;
    }
    assert_eq!(
        query_value(&client, "SELECT count(*) FROM moved").await,
        "5"
    );
    demo.site()
        .apply(&Fault::Node(NodeFault::Resume("n8".into())))
        .unwrap();
    let resumed = connect(&demo, 7, "shifts", "").await;
    assert_eq!(
        query_value(&resumed, "SELECT count(*) FROM moved").await,
        "5"
    );
}

/// Guards against a shutdown that interrupts work in progress.
#[tokio::test(flavor = "multi_thread")]
async fn drain_finishes_statements() {
    let demo = start().await;
    let client = connect(&demo, 2, "shifts", "").await;
    run(&client, "CREATE TABLE worked (id int)").await;
    let running = tokio::spawn(async move { query_value(&client, "SELECT work_ms(1500)").await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let finished = demo.stop().await;
    assert_eq!(running.await.unwrap(), "1500");
    assert!(finished, "the drain reported unfinished work");
}
