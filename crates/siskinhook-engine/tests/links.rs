//! Links between nodes under late, doubled and reordered answers.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod support;

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::BytesMut;
use futures::{SinkExt, StreamExt};
use siskinhook_engine::{FrameLink, serve_link};
use siskinhook_types::{Class, Failure, Freshness, Kind, Link, Part, Request, Statement, Verdict};
use support::{Cluster, plan};
use tokio::io::DuplexStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

type Raw = Framed<DuplexStream, LengthDelimitedCodec>;

/// What the network does to the frames of the owner, numbered from 0 with the welcome.
#[derive(Clone, Copy)]
enum Mangle {
    Nothing,
    Double(usize),
    Swap(usize),
    Drop(usize),
    Silence(usize),
}

async fn relay(client: DuplexStream, server: DuplexStream, mangle: Mangle) {
    let mut client: Raw = Framed::new(client, LengthDelimitedCodec::new());
    let mut server: Raw = Framed::new(server, LengthDelimitedCodec::new());
    let mut held: Option<BytesMut> = None;
    let mut number = 0;
    loop {
        tokio::select! {
            Some(Ok(frame)) = client.next() => server.send(frame.freeze()).await.unwrap(),
            Some(Ok(frame)) = server.next() => {
                let here = number;
                number += 1;
                let mut frames = vec![frame.clone()];
                match mangle {
                    Mangle::Double(at) if at == here => frames.push(frame),
                    Mangle::Swap(at) if at == here => held = frames.pop(),
                    Mangle::Drop(at) if at == here => frames.clear(),
                    Mangle::Silence(at) if at <= here => frames.clear(),
                    _ => frames.extend(held.take()),
                }
                for frame in frames {
                    if client.send(frame.freeze()).await.is_err() {
                        return;
                    }
                }
            }
            else => return,
        }
    }
}

fn read() -> Request {
    let now = tokio::time::Instant::now().into_std();
    Request {
        database: "claims".into(),
        server: "claims-a".into(),
        caller: "meera".into(),
        session: "s".into(),
        kind: Kind::Read,
        statement: Statement::simple("SELECT barista FROM claims ORDER BY shift_id"),
        freshness: Freshness::default(),
        class: Class::Short,
        deadline: now + Duration::from_secs(5),
        id: None,
    }
}

async fn open(cluster: &Cluster, mangle: Mangle) -> FrameLink<DuplexStream> {
    let (near, far) = tokio::io::duplex(1 << 16);
    let (relay_near, relay_far) = tokio::io::duplex(1 << 16);
    tokio::spawn(relay(far, relay_near, mangle));
    tokio::spawn(serve_link(relay_far, cluster.node("n1"), "secret".into()));
    FrameLink::open(near, "n1".into(), "secret".into(), Duration::from_secs(2))
        .await
        .unwrap()
}

/// Runs one exchange and returns its rows.
async fn exchange(link: &mut FrameLink<DuplexStream>) -> Result<Vec<Part>, Failure> {
    link.start(read()).await?;
    let mut rows = Vec::new();
    loop {
        match link.next().await? {
            Part::Done { .. } => return Ok(rows),
            part @ Part::Row { .. } => rows.push(part),
            _ => {}
        }
    }
}

/// Guards against a link that is closed although its answers are in order.
#[tokio::test(start_paused = true)]
async fn exchanges_in_order_pass() {
    let cluster = Cluster::start(41, plan(1)).await;
    let mut link = open(&cluster, Mangle::Nothing).await;
    for _ in 0..3 {
        assert_eq!(exchange(&mut link).await.unwrap().len(), 2);
    }
    assert!(link.is_reusable());
}

/// Guards against a doubled or reordered part that reaches the caller as part of its answer.
#[tokio::test(start_paused = true)]
async fn doubled_and_reordered_parts_close_the_link() {
    let cluster = Cluster::start(42, plan(1)).await;
    // Frames: welcome, columns, two rows, done.
    for mangle in [1, 2, 3]
        .into_iter()
        .flat_map(|at| [Mangle::Double(at), Mangle::Swap(at), Mangle::Drop(at)])
    {
        let mut link = open(&cluster, mangle).await;
        let failure = exchange(&mut link).await.unwrap_err();
        assert_eq!(failure.verdict, Verdict::MayHaveRun);
        assert_matches!(exchange(&mut link).await, Err(failure) if failure.verdict == Verdict::NotRun);
        assert!(!link.is_reusable());
    }
}

/// Guards against the late end of one exchange being taken for the end of the next.
#[tokio::test(start_paused = true)]
async fn late_end_of_an_exchange_closes_the_link() {
    let cluster = Cluster::start(43, plan(1)).await;
    let mut link = open(&cluster, Mangle::Double(4)).await;
    assert_eq!(exchange(&mut link).await.unwrap().len(), 2);
    let failure = exchange(&mut link).await.unwrap_err();
    assert_ne!(failure.verdict, Verdict::Ran, "{failure}");
    assert!(!link.is_reusable());
}

/// Guards against a request that waits forever on a link that hangs.
#[tokio::test(start_paused = true)]
async fn silent_link_is_given_up() {
    let cluster = Cluster::start(44, plan(1)).await;
    let mut link = open(&cluster, Mangle::Silence(2)).await;
    let failure = exchange(&mut link).await.unwrap_err();
    assert_eq!(failure.verdict, Verdict::MayHaveRun);
}

/// Guards against a link that is opened without the fleet's secret.
#[tokio::test(start_paused = true)]
async fn wrong_secret_is_refused() {
    let cluster = Cluster::start(45, plan(1)).await;
    let (near, far) = tokio::io::duplex(1 << 16);
    tokio::spawn(serve_link(far, cluster.node("n1"), "secret".into()));
    let opened = FrameLink::open(near, "n1".into(), "guess".into(), Duration::from_secs(2)).await;
    assert_matches!(opened.err(), Some(failure) if failure.verdict == Verdict::NotRun);
}
