//! Zones that are cut off from the network, and connections that go silent.

mod support;

use std::time::Duration;

use siskinhook_standin::{Cut, Fault};
use support::{
    connect, eventually, node_index, primary, query_value, run, sqlstate_and_detail, start,
    try_query_value,
};

/// Guards against a cut-off zone that serves data older than the session's maximum age, or that
/// refuses reads before that age has passed.
#[tokio::test(flavor = "multi_thread")]
async fn cut_off_zone_serves_bounded_reads() {
    let demo = start().await;
    // The isolated zone has a replica of the database; the primary is in another zone.
    let server = primary(&demo, "shifts");
    let state = demo.site().state();
    let zone = &state.servers[server.as_str()].zone;
    let nodes = demo.summary().nodes.clone();
    let isolated = nodes.iter().find(|node| node.zone != *zone).unwrap();
    let isolated_index = node_index(&demo, &isolated.name);
    let writer = connect(&demo, isolated_index, "shifts", "").await;
    run(&writer, "CREATE TABLE kept (id int)").await;
    run(&writer, "INSERT INTO kept VALUES (1)").await;
    let options = "-c siskinhook.max_age=6000";
    let reader = connect(&demo, isolated_index, "shifts", options).await;
    let count = "SELECT count(*) FROM kept";
    eventually("the replica has the row", async || {
        query_value(&reader, count).await == "1"
    })
    .await;
    let cut = Fault::Cut(Cut::Zone(isolated.zone.clone()));
    demo.site().apply(&cut).unwrap();
    let cut_at = std::time::Instant::now();
    assert_eq!(query_value(&reader, count).await, "1");
    // The other zones still accept writes, so the isolated zone may serve its data only up to
    // the maximum age.
    let outside = nodes.iter().find(|other| other.zone == *zone).unwrap();
    let outside = connect(&demo, node_index(&demo, &outside.name), "shifts", "").await;
    run(&outside, "INSERT INTO kept VALUES (2)").await;
    let written = std::time::Instant::now();
    eventually("the age passes", async || {
        let sent = std::time::Instant::now();
        match try_query_value(&reader, count).await {
            Ok(rows) => {
                assert_eq!(rows, "1");
                let age = sent.saturating_duration_since(written);
                assert!(age <= Duration::from_secs(6), "data of {age:?} ago");
                false
            }
            Err(error) => {
                let (_, detail) = sqlstate_and_detail(&error);
                assert_eq!(detail, "verdict: not run");
                true
            }
        }
    })
    .await;
    println!("refused after {:?}", cut_at.elapsed());
    let heal = Fault::Heal {
        cut: Cut::Zone(isolated.zone.clone()),
        silent: false,
    };
    demo.site().apply(&heal).unwrap();
    eventually("the zone is up to date", async || {
        try_query_value(&reader, count)
            .await
            .is_ok_and(|rows| rows == "2")
    })
    .await;
}

/// Guards against a statement that waits forever on a connection that has gone silent while new
/// connections work, and against a statement that runs twice.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connection_is_resolved() {
    let demo = start().await;
    let client = connect(&demo, 0, "payroll", "").await;
    run(&client, "CREATE TABLE kept (id int)").await;
    let server = primary(&demo, "payroll");
    let writer = connect(&demo, 0, "payroll", "").await;
    let work = tokio::spawn(async move {
        let sql = "SET siskinhook.request_id = 'w'; \
                   INSERT INTO kept SELECT work_ms(800)";
        query_value(&writer, sql).await;
    });
    let target = demo.site().server(&server).unwrap();
    eventually("the statement runs", async || target.status().running > 0).await;
    let silence = Fault::Silence(Cut::Name(server.as_str().into()));
    demo.site().apply(&silence).unwrap();
    support::within_limit("the outcome", work).await.unwrap();
    assert_eq!(query_value(&client, "SELECT count(*) FROM kept").await, "1");
}
