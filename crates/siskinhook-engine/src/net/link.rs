//! The entry node's side of a link.

use std::time::Duration;

use futures::{FutureExt, SinkExt, StreamExt};
use siskinhook_types::{ExchangeId, Failure, FailureKind, Link, NodeId, Part, Request, sqlstate};
use smol_str::SmolStr;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::Framed;

use super::frame::{Frame, FrameCodec, PROTOCOL_VERSION, WireRequest};
use crate::clock::{now, until};

/// State of the exchange on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No request is in progress.
    Idle,
    /// A request was sent and its answer is incomplete.
    Busy,
    /// The link failed, or the owner violated the protocol.
    Broken,
}

/// A link to another node over a byte stream.
///
/// Each part of an answer carries the number of its exchange and its own number within it. A frame
/// with an unexpected number, or one that arrives while no exchange is in progress, breaks the
/// link, so that late, duplicated and reordered answers never reach a caller.
pub struct FrameLink<S> {
    stream: Framed<S, FrameCodec>,
    exchange: ExchangeId,
    /// Number of the next part.
    next_part: u64,
    state: State,
    /// Whether a transaction is open on the owner.
    pinned: bool,
    /// Time without any frame after which the owner is considered lost.
    frame_timeout: Duration,
}

impl<S: AsyncRead + AsyncWrite + Send + Unpin + 'static> FrameLink<S> {
    /// Opens a link over a stream to another node.
    ///
    /// # Errors
    /// Fails with `NotRun` if the node refuses the secret or uses another protocol version.
    pub async fn open(
        stream: S,
        node: NodeId,
        secret: SmolStr,
        frame_timeout: Duration,
    ) -> Result<Self, Failure> {
        let mut stream = Framed::new(stream, FrameCodec::new());
        let hello = Frame::Hello {
            version: PROTOCOL_VERSION,
            node,
            secret,
        };
        stream
            .send(hello)
            .await
            .map_err(|error| not_sent(&error.to_string()))?;
        match stream.next().await {
            Some(Ok(Frame::Welcome)) => Ok(Self {
                stream,
                exchange: 0,
                next_part: 0,
                state: State::Idle,
                pinned: false,
                frame_timeout,
            }),
            _ => Err(not_sent(
                "the node refused the link; check that all nodes have the same version and secret",
            )),
        }
    }

    /// Returns whether the link can carry another request: no exchange or transaction is in
    /// progress, and no unexpected frame has arrived.
    pub fn is_reusable(&mut self) -> bool {
        if self.state == State::Idle && self.stream.next().now_or_never().is_some() {
            self.state = State::Broken;
        }
        self.state == State::Idle && !self.pinned
    }

    fn mark_broken(&mut self, reason: &str) -> Failure {
        self.state = State::Broken;
        Failure::may_have_run(
            FailureKind::ConnectionLost,
            format!("the link to the owner broke after the request was sent: {reason}"),
        )
    }

    /// Ends the exchange if a part is its last one.
    fn finish_on_done(&mut self, part: &Part) {
        if matches!(part, Part::Done { .. }) {
            self.state = State::Idle;
        }
    }
}

impl<S: AsyncRead + AsyncWrite + Send + Unpin + 'static> Link for FrameLink<S> {
    async fn start(&mut self, request: Request) -> Result<(), Failure> {
        use siskinhook_types::Kind;
        if self.state == State::Idle && self.stream.next().now_or_never().is_some() {
            self.state = State::Broken;
        }
        if self.state != State::Idle {
            return Err(not_sent("an earlier exchange on the link broke it"));
        }
        self.exchange += 1;
        self.next_part = 0;
        self.state = State::Busy;
        self.pinned = match request.kind {
            Kind::Begin | Kind::BeginReadOnly | Kind::Inner => true,
            Kind::Commit | Kind::Rollback => false,
            _ => self.pinned,
        };
        let frame = Frame::Request(Box::new(WireRequest::new(self.exchange, request)));
        let sent = self.stream.send(frame).await;
        // The owner may have received a part of the frame, but never all of it, and it only runs
        // complete frames.
        sent.map_err(|error| {
            self.state = State::Broken;
            not_sent(&error.to_string())
        })
    }

    async fn next(&mut self) -> Result<Part, Failure> {
        if self.state != State::Busy {
            return Err(self.mark_broken("no exchange is in progress"));
        }
        loop {
            let frame = until(now() + self.frame_timeout, self.stream.next()).await;
            let frame = match frame {
                None => return Err(self.mark_broken("the owner fell silent")),
                Some(None) => return Err(self.mark_broken("the owner closed it")),
                Some(Some(Err(error))) => return Err(self.mark_broken(&error.to_string())),
                Some(Some(Ok(frame))) => frame,
            };
            match frame {
                Frame::Alive { exchange } if exchange == self.exchange => {}
                Frame::Part {
                    exchange,
                    number,
                    part,
                } if (exchange, number) == (self.exchange, self.next_part) => {
                    self.next_part += 1;
                    self.finish_on_done(&part);
                    return Ok(part);
                }
                Frame::Failure {
                    exchange,
                    number,
                    failure,
                } if (exchange, number) == (self.exchange, self.next_part) => {
                    self.state = State::Idle;
                    return Err(failure);
                }
                _ => return Err(self.mark_broken("a part is late, doubled or out of order")),
            }
        }
    }
}

/// Returns the failure of a request that was not sent.
pub fn not_sent(reason: &str) -> Failure {
    Failure::not_run(
        FailureKind::ConnectionLost,
        sqlstate::CONNECTION_FAILURE,
        format!("no link to the owner: {reason}"),
    )
}
