//! Links between nodes whose answers are late, duplicated, reordered or lost.
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

type RawFrames = Framed<DuplexStream, LengthDelimitedCodec>;

/// Fault that the network applies to a frame of the owner. Frames are numbered from 0, the welcome.
#[derive(Clone, Copy)]
enum Fault {
    Nothing,
    Duplicate(usize),
    Swap(usize),
    Drop(usize),
    Silence(usize),
}

async fn relay(client: DuplexStream, server: DuplexStream, fault: Fault) {
    let mut client: RawFrames = Framed::new(client, LengthDelimitedCodec::new());
    let mut server: RawFrames = Framed::new(server, LengthDelimitedCodec::new());
    let mut delayed: Option<BytesMut> = None;
    let mut number = 0;
    loop {
        tokio::select! {
            Some(Ok(frame)) = client.next() => server.send(frame.freeze()).await.unwrap(),
            Some(Ok(frame)) = server.next() => {
                let current = number;
                number += 1;
                let mut frames = vec![frame.clone()];
                match fault {
                    Fault::Duplicate(at) if at == current => frames.push(frame),
                    Fault::Swap(at) if at == current => delayed = frames.pop(),
                    Fault::Drop(at) if at == current => frames.clear(),
                    Fault::Silence(at) if at <= current => frames.clear(),
                    _ => frames.extend(delayed.take()),
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

fn read_request() -> Request {
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

async fn open(cluster: &Cluster, fault: Fault) -> FrameLink<DuplexStream> {
    let (entry, owner) = tokio::io::duplex(1 << 16);
    let (relay_entry, relay_owner) = tokio::io::duplex(1 << 16);
    tokio::spawn(relay(owner, relay_entry, fault));
    tokio::spawn(serve_link(relay_owner, cluster.node("n1"), "secret".into()));
    FrameLink::open(entry, "n1".into(), "secret".into(), Duration::from_secs(2))
        .await
        .unwrap()
}

/// Runs one exchange and returns the rows of its answer.
async fn exchange(link: &mut FrameLink<DuplexStream>) -> Result<Vec<Part>, Failure> {
    link.start(read_request()).await?;
    let mut rows = Vec::new();
    loop {
        match link.next().await? {
            Part::Done { .. } => return Ok(rows),
            part @ Part::Row { .. } => rows.push(part),
            _ => {}
        }
    }
}

/// Guards against a link that breaks although its answers are in order.
#[tokio::test(start_paused = true)]
async fn exchanges_in_order_keep_the_link() {
    let cluster = Cluster::start(41, plan(1)).await;
    let mut link = open(&cluster, Fault::Nothing).await;
    for _ in 0..3 {
        assert_eq!(exchange(&mut link).await.unwrap().len(), 2);
    }
    assert!(link.is_reusable());
}

/// Guards against a duplicated or reordered part that reaches the caller.
#[tokio::test(start_paused = true)]
async fn duplicated_and_reordered_parts_break_the_link() {
    let cluster = Cluster::start(42, plan(1)).await;
    // Frames: welcome, columns, two rows, done.
    for fault in [1, 2, 3]
        .into_iter()
        .flat_map(|at| [Fault::Duplicate(at), Fault::Swap(at), Fault::Drop(at)])
    {
        let mut link = open(&cluster, fault).await;
        let failure = exchange(&mut link).await.unwrap_err();
        assert_eq!(failure.verdict, Verdict::MayHaveRun);
        assert_matches!(exchange(&mut link).await, Err(failure) if failure.verdict == Verdict::NotRun);
        assert!(!link.is_reusable());
    }
}

/// Guards against the duplicated last part of one exchange being taken for the end of the next.
#[tokio::test(start_paused = true)]
async fn late_end_of_an_exchange_breaks_the_link() {
    let cluster = Cluster::start(43, plan(1)).await;
    let mut link = open(&cluster, Fault::Duplicate(4)).await;
    assert_eq!(exchange(&mut link).await.unwrap().len(), 2);
    let failure = exchange(&mut link).await.unwrap_err();
    assert_ne!(failure.verdict, Verdict::Ran, "{failure}");
    assert!(!link.is_reusable());
}

/// Guards against a request that waits forever for an answer on a link that hangs.
#[tokio::test(start_paused = true)]
async fn request_on_a_silent_link_fails() {
    let cluster = Cluster::start(44, plan(1)).await;
    let mut link = open(&cluster, Fault::Silence(2)).await;
    let failure = exchange(&mut link).await.unwrap_err();
    assert_eq!(failure.verdict, Verdict::MayHaveRun);
}

/// Guards against a link that is opened without the fleet's secret.
#[tokio::test(start_paused = true)]
async fn wrong_secret_is_refused() {
    let cluster = Cluster::start(45, plan(1)).await;
    let (entry, owner) = tokio::io::duplex(1 << 16);
    tokio::spawn(serve_link(owner, cluster.node("n1"), "secret".into()));
    let opened = FrameLink::open(entry, "n1".into(), "guess".into(), Duration::from_secs(2)).await;
    assert_matches!(opened.err(), Some(failure) if failure.verdict == Verdict::NotRun);
}
