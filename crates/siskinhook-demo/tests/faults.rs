//! Zones that are cut off, and connections that go silent.

mod support;

use std::time::Duration;

use siskinhook_standin::{Cut, Fault};
use support::{connect, eventually, place, primary, reported, run, start, try_value, value};

/// Guards against a zone that serves data older than the stated age, or none although the age
/// has not passed.
#[tokio::test(flavor = "multi_thread")]
async fn cut_off_zone_serves_bounded_reads() {
    let demo = start().await;
    // The database's primary is in another zone than the replica that the zone has.
    let server = primary(&demo, "shifts");
    let state = demo.site().state();
    let zone = &state.servers[server.as_str()].zone;
    let nodes = demo.summary().nodes.clone();
    let node = nodes.iter().find(|node| node.zone != *zone).unwrap();
    let entry = place(&demo, &node.name);
    let writer = connect(&demo, entry, "shifts", "").await;
    run(&writer, "CREATE TABLE kept (id int)").await;
    run(&writer, "INSERT INTO kept VALUES (1)").await;
    let options = "-c siskinhook.max_age=6000";
    let reader = connect(&demo, entry, "shifts", options).await;
    let count = "SELECT count(*) FROM kept";
    eventually("the replica has the row", async || {
        value(&reader, count).await == "1"
    })
    .await;
    let cut = Fault::Cut(Cut::Zone(node.zone.clone()));
    demo.site().apply(&cut).unwrap();
    let began = std::time::Instant::now();
    assert_eq!(value(&reader, count).await, "1");
    // The other side goes on; the zone may show its data only up to the stated age.
    let beyond = nodes.iter().find(|other| other.zone == *zone).unwrap();
    let beyond = connect(&demo, place(&demo, &beyond.name), "shifts", "").await;
    run(&beyond, "INSERT INTO kept VALUES (2)").await;
    let written = std::time::Instant::now();
    eventually("the age passes", async || {
        let asked = std::time::Instant::now();
        match try_value(&reader, count).await {
            Ok(rows) => {
                assert_eq!(rows, "1");
                let age = asked.saturating_duration_since(written);
                assert!(age <= Duration::from_secs(6), "data of {age:?} ago");
                false
            }
            Err(error) => {
                let (_, detail) = reported(&error);
                assert_eq!(detail, "verdict: not run");
                true
            }
        }
    })
    .await;
    println!("refused after {:?}", began.elapsed());
    let heal = Fault::Heal {
        cut: Cut::Zone(node.zone.clone()),
        silent: false,
    };
    demo.site().apply(&heal).unwrap();
    eventually("the zone is up to date", async || {
        try_value(&reader, count)
            .await
            .is_ok_and(|rows| rows == "2")
    })
    .await;
}

/// Guards against a statement that waits for ever on a connection that went silent while new
/// ones work, and against one that runs twice.
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
        value(&writer, sql).await;
    });
    let running = demo.site().server(&server).unwrap();
    eventually("the statement runs", async || running.status().running > 0).await;
    let silence = Fault::Silence(Cut::Name(server.as_str().into()));
    demo.site().apply(&silence).unwrap();
    support::limited("the outcome", work).await.unwrap();
    assert_eq!(value(&client, "SELECT count(*) FROM kept").await, "1");
}
