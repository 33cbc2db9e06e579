//! The owner's side of links: accepts links of other nodes and serves their requests.

use std::time::Duration;

use futures::{FutureExt, SinkExt, StreamExt};
use siskinhook_types::{ExchangeId, Failure, Link, Links, NodeId, Part, Platform, Targets};
use smol_str::SmolStr;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpListener,
    task::JoinSet,
};
use tokio_util::codec::Framed;

use super::frame::{Frame, FrameCodec, PROTOCOL_VERSION};
use crate::{
    Engine, OwnerLink,
    clock::{now, until},
};

/// Interval of keep-alive frames while a request is in progress.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for the `Hello` frame of a new link.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Parts of an answer that are written in one flush if they are already available.
const MAX_BATCHED_PARTS: usize = 64;

type Stream<S> = Framed<S, FrameCodec>;

/// Accepts links until the future is dropped.
///
/// # Errors
/// Fails when the listener fails.
pub async fn serve_links<T: Targets, L: Links, P: Platform>(
    listener: TcpListener,
    engine: Engine<T, L, P>,
    secret: SmolStr,
) -> std::io::Result<()> {
    let mut links = JoinSet::new();
    loop {
        tokio::select! {
            biased;
            Some(_) = links.join_next() => {}
            accepted = listener.accept() => {
                let Ok((stream, peer)) = accepted else {
                    // The process may be out of file descriptors, for example. Retries after a
                    // delay, when some may be free again.
                    tokio::time::sleep(Duration::from_millis(100)).await;
                    continue;
                };
                let (engine, secret) = (engine.clone(), secret.clone());
                links.spawn(async move {
                    if let Err(error) = stream.set_nodelay(true) {
                        log::debug!(target: "siskinhook::engine", event = 2040; "link of {peer}: {error}");
                    }
                    if let Err(error) = serve_link(stream, engine, secret).await {
                        log::debug!(target: "siskinhook::engine", event = 2040; "link of {peer}: {error}");
                    }
                });
            }
        }
    }
}

/// Serves one link until the other node closes it or is lost.
///
/// # Errors
/// Fails when the stream fails or the other node violates the protocol.
pub async fn serve_link<S, T, L, P>(
    stream: S,
    engine: Engine<T, L, P>,
    secret: SmolStr,
) -> std::io::Result<()>
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    T: Targets,
    L: Links,
    P: Platform,
{
    let mut stream = Framed::new(stream, FrameCodec::new());
    let hello = until(now() + HELLO_TIMEOUT, stream.next()).await;
    let Some(Some(Ok(Frame::Hello {
        version,
        node,
        secret: presented,
    }))) = hello
    else {
        return Err(link_error(
            "the first frame was not a valid hello, or it did not arrive in time",
        ));
    };
    if version != PROTOCOL_VERSION || !constant_time_eq(presented.as_bytes(), secret.as_bytes()) {
        return Err(link_error("the node's protocol version or secret differs"));
    }
    stream.send(Frame::Welcome).await?;
    tokio::select! {
        biased;
        result = serve_exchanges(&mut stream, engine.accept_link()) => result,
        () = peer_lost(&engine, node) => Err(link_error(
            "the node is dead or no longer a member of the fleet",
        )),
    }
}

async fn peer_lost<T: Targets, L: Links, P: Platform>(engine: &Engine<T, L, P>, node: NodeId) {
    engine.node_lost(node).await;
}

async fn serve_exchanges<S, T>(
    stream: &mut Stream<S>,
    mut owner: OwnerLink<T>,
) -> std::io::Result<()>
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    T: Targets,
{
    let mut last = 0;
    while let Some(frame) = stream.next().await {
        let Frame::Request(request) = frame? else {
            return Err(link_error("expected a request frame"));
        };
        if request.exchange <= last {
            return Err(link_error("the number of an exchange did not increase"));
        }
        last = request.exchange;
        if let Err(failure) = owner.start(request.into_request()).await {
            stream.send(answer_frame(last, 0, Err(failure))).await?;
            continue;
        }
        send_answer(stream, &mut owner, last).await?;
    }
    Ok(())
}

/// Sends the parts of an answer to the entry node.
async fn send_answer<S, T>(
    stream: &mut Stream<S>,
    owner: &mut OwnerLink<T>,
    exchange: ExchangeId,
) -> std::io::Result<()>
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    T: Targets,
{
    let mut number = 0;
    loop {
        let part = tokio::select! {
            biased;
            part = owner.next() => part,
            // The other node sends nothing during an exchange. The end of the stream or an
            // unexpected frame ends the link, which closes the server connection.
            _ = stream.next() => return Err(link_error(
                "the stream ended or carried an unexpected frame during a request",
            )),
            () = tokio::time::sleep(KEEP_ALIVE_INTERVAL) => {
                stream.send(Frame::Alive { exchange }).await?;
                continue;
            }
        };
        let mut last = is_last(&part);
        stream.feed(answer_frame(exchange, number, part)).await?;
        number += 1;
        for _ in 0..MAX_BATCHED_PARTS {
            if last {
                break;
            }
            let Some(part) = owner.next().now_or_never() else {
                break;
            };
            last = is_last(&part);
            stream.feed(answer_frame(exchange, number, part)).await?;
            number += 1;
        }
        stream.flush().await?;
        if last {
            return Ok(());
        }
    }
}

fn answer_frame(exchange: ExchangeId, number: u64, part: Result<Part, Failure>) -> Frame {
    match part {
        Ok(part) => Frame::Part {
            exchange,
            number,
            part,
        },
        Err(failure) => Frame::Failure {
            exchange,
            number,
            failure,
        },
    }
}

const fn is_last(part: &Result<Part, Failure>) -> bool {
    matches!(part, Ok(Part::Done { .. }) | Err(_))
}

/// Compares two byte strings in constant time, so that the duration does not reveal the position
/// of the first difference.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |sum, (a, b)| sum | (a ^ b)) == 0
}

fn link_error(reason: &str) -> std::io::Error {
    std::io::Error::other(format!("link closed: {reason}"))
}
