//! Extended flow, suspended portals, backpressure, limits, drain and bad input.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod support;

use std::{sync::atomic::Ordering, time::Duration};

use assert_matches::assert_matches;
use futures::TryStreamExt;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use siskinhook_frontend::{FrontendSettings, Phase};
use support::{Running, config, connect, start};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
};
use tokio_postgres::{Client, NoTls, error::DbError};

/// Guards against descriptions out of order: prepare, execute and a portal read in pieces.
#[tokio::test]
async fn extended_flow() {
    let running = start(FrontendSettings::default()).await;
    let mut client = connect(&config(running.address)).await.unwrap();
    let statement = client.prepare("rows 3").await.unwrap();
    assert_eq!(statement.columns().len(), 1);
    let rows = client.query(&statement, &[]).await.unwrap();
    assert_eq!(rows.len(), 3);
    assert_eq!(client.execute("write", &[]).await.unwrap(), 1);
    let transaction = client.transaction().await.unwrap();
    let portal = transaction.bind("rows 5", &[]).await.unwrap();
    let sizes = [
        transaction.query_portal(&portal, 2).await.unwrap().len(),
        transaction.query_portal(&portal, 2).await.unwrap().len(),
        transaction.query_portal(&portal, 2).await.unwrap().len(),
    ];
    assert_eq!(sizes, [2, 2, 1]);
    transaction.commit().await.unwrap();
    let error = client.query("refuse", &[]).await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "53300");
    assert_eq!(client.query("rows 1", &[]).await.unwrap().len(), 1);
}

/// Guards against a node that buffers a large result for a caller that does not read.
#[tokio::test]
async fn slow_reader_is_not_buffered() {
    const ROWS: usize = 3_000_000;
    let running = start(FrontendSettings::default()).await;
    let client = connect(&config(running.address)).await.unwrap();
    let stream = client
        .query_raw(&format!("rows {ROWS}"), Vec::<i32>::new())
        .await
        .unwrap();
    let mut stream = std::pin::pin!(stream);
    assert!(stream.try_next().await.unwrap().is_some());
    let mut before = 0;
    // The row counter stands still once the buffers of sockets and driver are full.
    for _ in 0..200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let taken = running.backend.taken.load(Ordering::Relaxed);
        if taken == before {
            break;
        }
        before = taken;
    }
    assert!(
        before < ROWS,
        "all {before} rows were taken for a caller that reads none"
    );
}

/// Guards against a cancel request that ends another statement or is not noticed.
#[tokio::test]
async fn cancel_ends_the_statement() {
    let running = start(FrontendSettings::default()).await;
    let client = connect(&config(running.address)).await.unwrap();
    let cancel = client.cancel_token();
    let (result, ()) = tokio::join!(client.simple_query("hang"), async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        cancel.cancel_query(tokio_postgres::NoTls).await.unwrap();
    });
    assert_eq!(result.unwrap_err().code().unwrap().code(), "57014");
    assert_eq!(client.simple_query("rows 1").await.unwrap().len(), 3);
}

/// Guards against a node that takes more callers or statements than it has room for.
#[tokio::test]
async fn limits_refuse_with_a_code() {
    let settings = FrontendSettings {
        max_connections: 2,
        max_statements: 1,
        ..FrontendSettings::default()
    };
    let running = start(settings).await;
    let first = connect(&config(running.address)).await.unwrap();
    let second = connect(&config(running.address)).await.unwrap();
    let error = connect(&config(running.address)).await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "53300");
    let mut hang = std::pin::pin!(first.simple_query("hang"));
    assert!(
        tokio::time::timeout(Duration::from_millis(100), &mut hang)
            .await
            .is_err()
    );
    let error = second.simple_query("rows 1").await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "53300");
}

/// Guards against a drain that cuts off a transaction or never ends.
#[tokio::test]
async fn drain_waits_for_transactions() {
    let running = start(FrontendSettings::default()).await;
    let idle = connect(&config(running.address)).await.unwrap();
    let busy = connect(&config(running.address)).await.unwrap();
    busy.simple_query("begin").await.unwrap();
    running.drain.send(Phase::Closing).unwrap();
    assert!(idle.simple_query("rows 1").await.is_err());
    busy.simple_query("write").await.unwrap();
    busy.simple_query("commit").await.unwrap();
    running.server.await.unwrap().unwrap();
    assert_matches!(TcpStream::connect(running.address).await, Err(_));
}

/// Connects, and returns the error that ends the connection as well.
async fn watched(running: &Running) -> (Client, JoinHandle<Option<DbError>>) {
    let (client, connection) = config(running.address)
        .connect(NoTls)
        .await
        .expect("a connection");
    let ended = tokio::spawn(async move {
        let error = connection.await.err()?;
        error.as_db_error().cloned()
    });
    (client, ended)
}

/// Guards against a drain that cannot be taken back, or that cuts off an open transaction.
#[tokio::test]
async fn drain_is_taken_back() {
    let running = start(FrontendSettings::default()).await;
    let (_idle, ended) = watched(&running).await;
    let busy = connect(&config(running.address)).await.unwrap();
    busy.simple_query("begin").await.unwrap();
    running.drain.send(Phase::Draining).unwrap();
    let error = ended.await.unwrap().expect("an idle caller is told");
    assert_eq!(error.code().code(), "57P01");
    busy.simple_query("write").await.unwrap();
    running.drain.send(Phase::Serving).unwrap();
    busy.simple_query("commit").await.unwrap();
    busy.simple_query("rows 1").await.unwrap();
    let fresh = connect(&config(running.address)).await.unwrap();
    fresh.simple_query("rows 1").await.unwrap();
}

/// Guards against callers that are left without a word, or told something untrue, when the
/// drain deadline cuts off their work.
#[tokio::test]
async fn cut_off_work_is_told_the_truth() {
    let running = start(FrontendSettings::default()).await;
    let (open, ended) = watched(&running).await;
    open.simple_query("begin").await.unwrap();
    let hanging = connect(&config(running.address)).await.unwrap();
    let hanging = tokio::spawn(async move { hanging.simple_query("hang").await });
    while running.backend.hanging.load(Ordering::Relaxed) == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    running.drain.send(Phase::Closing).unwrap();
    running.drain.send(Phase::Ended).unwrap();
    let error = hanging.await.unwrap().unwrap_err();
    let error = error.as_db_error().expect("the caller is told");
    assert_eq!(error.code().code(), "08007");
    assert_eq!(error.detail(), Some("verdict: may have run"));
    let error = ended.await.unwrap().expect("the caller is told");
    assert_eq!(error.code().code(), "57P01");
    assert_eq!(error.detail(), Some("verdict: not run"));
    running.server.await.unwrap().unwrap();
}

/// Guards against input that stops the node: random bytes, then a normal caller.
#[tokio::test]
async fn random_bytes_do_not_stop_the_node() {
    const SEED: u64 = 20_261_204;
    println!("seed {SEED}");
    let running = start(FrontendSettings::default()).await;
    let mut random = SmallRng::seed_from_u64(SEED);
    for round in 0..100 {
        let mut stream = TcpStream::connect(running.address).await.unwrap();
        let mut bytes = vec![0; random.random_range(1..600)];
        random.fill(bytes.as_mut_slice());
        if round % 2 == 0 {
            // A plausible length makes the server read on into the random part.
            bytes.splice(0..0, [0, 0, 1, 0, 0, 3, 0, 0]);
        }
        // The server may close while the bytes are being written.
        let _ = stream.write_all(&bytes).await;
        let _ = stream.shutdown().await;
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
    }
    let client = connect(&config(running.address)).await.unwrap();
    assert_eq!(client.simple_query("rows 1").await.unwrap().len(), 3);
}

/// Guards against a caller whose message makes the node buffer without limit.
#[tokio::test]
async fn oversized_message_ends_the_connection() {
    let settings = FrontendSettings {
        max_message: 1024 * 1024,
        ..FrontendSettings::default()
    };
    let running = start(settings).await;
    let client = connect(&config(running.address)).await.unwrap();
    assert_eq!(client.simple_query("rows 1").await.unwrap().len(), 3);
    let large = format!("rows 1 -- {}", "x".repeat(64 * 1024 * 1024));
    let error = client.simple_query(&large).await.unwrap_err();
    // The driver may see the closed connection before it reads the error.
    assert!(
        error.code().is_none_or(|code| code.code() == "08P01"),
        "{error:?}"
    );
    assert!(client.simple_query("rows 1").await.is_err());
    let other = connect(&config(running.address)).await.unwrap();
    assert_eq!(other.simple_query("rows 1").await.unwrap().len(), 3);
}
