//! Malformed input on every port of a node.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use rand::{Rng, SeedableRng, rngs::SmallRng};
use siskinhook_demo::{Demo, DemoOptions};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};
use tokio_postgres::NoTls;

const SEED: u64 = 99;

/// Guards against input that stops a node: sends random bytes to each of its ports, then checks
/// that a caller is still served.
#[tokio::test(flavor = "multi_thread")]
async fn random_bytes_do_not_stop_a_node() {
    println!("seed {SEED}");
    let demo = Demo::start(DemoOptions {
        nodes: Some(2),
        ..DemoOptions::default()
    })
    .await
    .unwrap();
    let node = demo.summary().nodes[0].clone();
    let links = demo.addresses("n1").unwrap().links.clone();
    let peers = demo.addresses("n1").unwrap().peers.clone();
    let mut random = SmallRng::seed_from_u64(SEED);
    for address in [&node.address, &node.operator, &node.metrics, &links, &peers] {
        for _ in 0..30 {
            let mut stream = TcpStream::connect(address.as_str()).await.unwrap();
            let mut bytes = vec![0; random.random_range(1..400)];
            random.fill(bytes.as_mut_slice());
            // The node may close before it has read everything.
            let _ = stream.write_all(&bytes).await;
            let _ = stream.shutdown().await;
            let mut answer = Vec::new();
            let read = timeout(
                std::time::Duration::from_secs(20),
                stream.read_to_end(&mut answer),
            );
            assert!(
                read.await.is_ok(),
                "{address} keeps a connection with broken input open"
            );
        }
    }
    let url = format!("postgresql://demo:demo@{}/shifts", node.address);
    let (client, connection) = tokio_postgres::connect(&url, NoTls).await.unwrap();
    tokio::spawn(connection);
    client.simple_query("SELECT 1").await.unwrap();
}
