//! Frames of a link: length-delimited, in postcard encoding.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use siskinhook_types::{
    CallerId, Class, DatabaseId, ExchangeId, Failure, Freshness, Kind, LogPoint, NodeId, Part,
    Request, RequestId, ServerId, SessionId, Statement, value_type,
};
use smol_str::SmolStr;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::clock::now;

/// Version of the frames; both ends must have the same.
pub const PROTOCOL_VERSION: u32 = 1;
/// Largest frame in bytes: a row of `PostgreSQL` can have 1 GiB, but a node has 64 MB for all.
const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;

value_type! {
    /// A message on a link.
    pub enum Frame {
        /// First message of the node that opened the link.
        Hello {
            /// Version of the frames.
            version: u32,
            /// The node that opened the link.
            node: NodeId,
            /// Secret that all nodes share.
            secret: SmolStr,
        },
        /// Answer to an accepted `Hello`.
        Welcome,
        /// A request.
        Request(Box<WireRequest>),
        /// A part of the answer to a request.
        Part {
            /// Number of the exchange.
            exchange: ExchangeId,
            /// Number of the part in the exchange, from 0.
            number: u64,
            /// The part.
            part: Part,
        },
        /// The failure of a request.
        Failure {
            /// Number of the exchange.
            exchange: ExchangeId,
            /// Number of parts sent before.
            number: u64,
            /// The failure.
            failure: Failure,
        },
        /// The request is still in progress.
        Alive {
            /// Number of the exchange.
            exchange: ExchangeId,
        },
    }

    /// A request on a link. Instants travel as intervals, because clocks of two VMs are not
    /// compared; the time on the way makes the freshness stricter and the deadline later.
    pub struct WireRequest {
        /// Number of the exchange.
        pub exchange: ExchangeId,
        /// Database.
        pub database: DatabaseId,
        /// Server.
        pub server: ServerId,
        /// Caller.
        pub caller: CallerId,
        /// Session.
        pub session: SessionId,
        /// What is asked.
        pub kind: Kind,
        /// The statement.
        pub statement: Statement,
        /// Log point that the data must cover.
        pub point: Option<LogPoint>,
        /// Microseconds since the instant that the data must cover.
        pub age: Option<u64>,
        /// Class of work.
        pub class: Class,
        /// Microseconds until the deadline.
        pub remaining: u64,
        /// Id of the request.
        pub id: Option<RequestId>,
    }
}

impl WireRequest {
    /// Prepares a request for sending now.
    pub fn new(exchange: ExchangeId, request: Request) -> Self {
        let sent = now();
        let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        Self {
            exchange,
            point: request.freshness.point,
            age: request
                .freshness
                .since
                .map(|since| micros(sent.saturating_duration_since(since))),
            remaining: micros(request.deadline.saturating_duration_since(sent)),
            database: request.database,
            server: request.server,
            caller: request.caller,
            session: request.session,
            kind: request.kind,
            statement: request.statement,
            class: request.class,
            id: request.id,
        }
    }

    /// Turns the intervals back into instants on arrival.
    pub fn into_request(self) -> Request {
        let arrived = now();
        let instant_before = |age: u64| arrived.checked_sub(Duration::from_micros(age));
        // A day is more than any deadline that makes sense, and keeps the addition in range.
        let remaining = Duration::from_micros(self.remaining).min(Duration::from_hours(24));
        Request {
            freshness: Freshness {
                point: self.point,
                since: self.age.and_then(instant_before),
            },
            deadline: arrived + remaining,
            database: self.database,
            server: self.server,
            caller: self.caller,
            session: self.session,
            kind: self.kind,
            statement: self.statement,
            class: self.class,
            id: self.id,
        }
    }
}

/// Encodes and decodes frames.
pub struct FrameCodec(LengthDelimitedCodec);

impl FrameCodec {
    pub fn new() -> Self {
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self(codec)
    }
}

fn invalid_data(error: postcard::Error) -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::InvalidData, error)
}

impl Encoder<Frame> for FrameCodec {
    type Error = std::io::Error;

    fn encode(&mut self, frame: Frame, buffer: &mut BytesMut) -> std::io::Result<()> {
        let bytes = postcard::to_stdvec(&frame).map_err(invalid_data)?;
        self.0.encode(Bytes::from(bytes), buffer)
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = std::io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> std::io::Result<Option<Frame>> {
        let Some(bytes) = self.0.decode(buffer)? else {
            return Ok(None);
        };
        postcard::from_bytes(&bytes).map(Some).map_err(invalid_data)
    }
}

/// How long ago an instant was, for idle links.
pub fn elapsed_since(since: Instant) -> Duration {
    now().saturating_duration_since(since)
}
