//! Protocol tests against a running front end: the extended query protocol, suspended portals,
//! backpressure, limits, drain and malformed input.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod support;

use std::{sync::atomic::Ordering, time::Duration};

use assert_matches::assert_matches;
use futures::TryStreamExt;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use siskinhook_frontend::{FrontendSettings, Phase};
use support::{TestServer, config, connect, start_server};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
};
use tokio_postgres::{Client, NoTls, error::DbError};

/// Guards against a description in the wrong place when statements are prepared, executed and read
/// through a portal in several steps.
#[tokio::test]
async fn extended_flow() {
    let server = start_server(FrontendSettings::default()).await;
    let mut client = connect(&config(server.address)).await.unwrap();
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

/// Guards against buffering a large result on the node for a caller that does not read it.
#[tokio::test]
async fn slow_reader_is_not_buffered() {
    const ROWS: usize = 3_000_000;
    let server = start_server(FrontendSettings::default()).await;
    let client = connect(&config(server.address)).await.unwrap();
    let stream = client
        .query_raw(&format!("rows {ROWS}"), Vec::<i32>::new())
        .await
        .unwrap();
    let mut stream = std::pin::pin!(stream);
    assert!(stream.try_next().await.unwrap().is_some());
    let mut previous = 0;
    // The counter stops growing once the buffers of the sockets and the driver are full.
    for _ in 0..200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let rows_read = server.backend.rows_read.load(Ordering::Relaxed);
        if rows_read == previous {
            break;
        }
        previous = rows_read;
    }
    assert!(
        previous < ROWS,
        "the front end read all {previous} rows for a caller that does not read them"
    );
}

/// Guards against a cancel request that is ignored or cancels another statement.
#[tokio::test]
async fn cancel_ends_the_statement() {
    let server = start_server(FrontendSettings::default()).await;
    let client = connect(&config(server.address)).await.unwrap();
    let cancel = client.cancel_token();
    let (result, ()) = tokio::join!(client.simple_query("hang"), async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        cancel.cancel_query(tokio_postgres::NoTls).await.unwrap();
    });
    assert_eq!(result.unwrap_err().code().unwrap().code(), "57014");
    assert_eq!(client.simple_query("rows 1").await.unwrap().len(), 3);
}

/// Guards against a node that accepts more connections or statements than its limits allow.
#[tokio::test]
async fn exceeded_limits_refuse_with_sqlstate() {
    let settings = FrontendSettings {
        max_connections: 2,
        max_statements: 1,
        ..FrontendSettings::default()
    };
    let server = start_server(settings).await;
    let first = connect(&config(server.address)).await.unwrap();
    let second = connect(&config(server.address)).await.unwrap();
    let error = connect(&config(server.address)).await.unwrap_err();
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

/// Guards against a drain that aborts an open transaction or never ends.
#[tokio::test]
async fn drain_waits_for_transactions() {
    let server = start_server(FrontendSettings::default()).await;
    let idle = connect(&config(server.address)).await.unwrap();
    let busy = connect(&config(server.address)).await.unwrap();
    busy.simple_query("begin").await.unwrap();
    server.phase.send(Phase::Closing).unwrap();
    assert!(idle.simple_query("rows 1").await.is_err());
    busy.simple_query("write").await.unwrap();
    busy.simple_query("commit").await.unwrap();
    server.task.await.unwrap().unwrap();
    assert_matches!(TcpStream::connect(server.address).await, Err(_));
}

/// Connects; the returned task ends with the error that the connection was closed with.
async fn connect_observed(server: &TestServer) -> (Client, JoinHandle<Option<DbError>>) {
    let (client, connection) = config(server.address)
        .connect(NoTls)
        .await
        .expect("a connection");
    let connection_error = tokio::spawn(async move {
        let error = connection.await.err()?;
        error.as_db_error().cloned()
    });
    (client, connection_error)
}

/// Guards against a drain that cannot be undone or that aborts an open transaction.
#[tokio::test]
async fn drain_can_be_undone() {
    let server = start_server(FrontendSettings::default()).await;
    let (_idle, connection_error) = connect_observed(&server).await;
    let busy = connect(&config(server.address)).await.unwrap();
    busy.simple_query("begin").await.unwrap();
    server.phase.send(Phase::Draining).unwrap();
    let error = connection_error
        .await
        .unwrap()
        .expect("an idle caller gets an error");
    assert_eq!(error.code().code(), "57P01");
    busy.simple_query("write").await.unwrap();
    server.phase.send(Phase::Serving).unwrap();
    busy.simple_query("commit").await.unwrap();
    busy.simple_query("rows 1").await.unwrap();
    let fresh = connect(&config(server.address)).await.unwrap();
    fresh.simple_query("rows 1").await.unwrap();
}

/// Guards against callers that get no error or a wrong verdict when the drain deadline aborts
/// their work.
#[tokio::test]
async fn aborted_work_gets_the_right_verdict() {
    let server = start_server(FrontendSettings::default()).await;
    let (open, connection_error) = connect_observed(&server).await;
    open.simple_query("begin").await.unwrap();
    let hanging = connect(&config(server.address)).await.unwrap();
    let hanging = tokio::spawn(async move { hanging.simple_query("hang").await });
    while server.backend.hang_count.load(Ordering::Relaxed) == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    server.phase.send(Phase::Closing).unwrap();
    server.phase.send(Phase::Ended).unwrap();
    let error = hanging.await.unwrap().unwrap_err();
    let error = error.as_db_error().expect("the caller gets an error");
    assert_eq!(error.code().code(), "08007");
    assert_eq!(error.detail(), Some("verdict: may have run"));
    let error = connection_error
        .await
        .unwrap()
        .expect("the caller gets an error");
    assert_eq!(error.code().code(), "57P01");
    assert_eq!(error.detail(), Some("verdict: not run"));
    server.task.await.unwrap().unwrap();
}

/// Guards against malformed input that makes the node unusable for other callers: a normal caller
/// connects after 100 connections have sent random bytes.
#[tokio::test]
async fn random_bytes_do_not_stop_the_node() {
    const SEED: u64 = 20_261_204;
    println!("seed {SEED}");
    let server = start_server(FrontendSettings::default()).await;
    let mut random = SmallRng::seed_from_u64(SEED);
    for round in 0..100 {
        let mut stream = TcpStream::connect(server.address).await.unwrap();
        let mut bytes = vec![0; random.random_range(1..600)];
        random.fill(bytes.as_mut_slice());
        if round % 2 == 0 {
            // With a plausible length, the server goes on to parse the random bytes.
            bytes.splice(0..0, [0, 0, 1, 0, 0, 3, 0, 0]);
        }
        // The server may close while the bytes are being written.
        let _ = stream.write_all(&bytes).await;
        let _ = stream.shutdown().await;
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
    }
    let client = connect(&config(server.address)).await.unwrap();
    assert_eq!(client.simple_query("rows 1").await.unwrap().len(), 3);
}

/// Guards against a message that makes the node buffer without limit.
#[tokio::test]
async fn oversized_message_ends_the_connection() {
    let settings = FrontendSettings {
        max_message: 1024 * 1024,
        ..FrontendSettings::default()
    };
    let server = start_server(settings).await;
    let client = connect(&config(server.address)).await.unwrap();
    assert_eq!(client.simple_query("rows 1").await.unwrap().len(), 3);
    let large = format!("rows 1 -- {}", "x".repeat(64 * 1024 * 1024));
    let error = client.simple_query(&large).await.unwrap_err();
    // The driver may notice the closed connection before it reads the error.
    assert!(
        error.code().is_none_or(|code| code.code() == "08P01"),
        "{error:?}"
    );
    assert!(client.simple_query("rows 1").await.is_err());
    let other = connect(&config(server.address)).await.unwrap();
    assert_eq!(other.simple_query("rows 1").await.unwrap().len(), 3);
}
