//! Frames of a link between nodes: length-delimited and encoded with postcard.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use siskinhook_types::{
    CallerId, Class, DatabaseId, ExchangeId, Failure, Freshness, Kind, LogPoint, NodeId, Part,
    Request, RequestId, ServerId, SessionId, Statement, value_type,
};
use smol_str::SmolStr;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::clock::now;

/// Version of the frame format. Both nodes of a link must use the same version.
pub const PROTOCOL_VERSION: u32 = 1;
/// Largest frame. A `PostgreSQL` row can have up to 1 GiB, but a node has only 64 MB of memory for
/// all its work.
const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;

value_type! {
    /// A message sent over a link.
    pub enum Frame {
        /// First message of the node that opened the link.
        Hello {
            /// Version of the frame format.
            version: u32,
            /// The node that opened the link.
            node: NodeId,
            /// Secret that all nodes of the fleet share.
            secret: SmolStr,
        },
        /// Response to an accepted `Hello`.
        Welcome,
        /// A request.
        Request(Box<WireRequest>),
        /// A part of the answer to a request.
        Part {
            /// Number of the exchange.
            exchange: ExchangeId,
            /// Number of the part within the exchange, starting at 0.
            number: u64,
            /// Content of the part.
            part: Part,
        },
        /// The failure of a request.
        Failure {
            /// Number of the exchange.
            exchange: ExchangeId,
            /// Number of parts sent before the failure.
            number: u64,
            /// Reason and verdict of the failure.
            failure: Failure,
        },
        /// Keep-alive while the request is in progress.
        Alive {
            /// Number of the exchange.
            exchange: ExchangeId,
        },
    }

    /// A request as sent over a link. Instants are sent as intervals, because the clocks of two VMs
    /// are not comparable. The transit time makes the freshness stricter and the deadline later.
    pub struct WireRequest {
        /// Number of the exchange.
        pub exchange: ExchangeId,
        /// Database that the request is for.
        pub database: DatabaseId,
        /// Server that runs the request.
        pub server: ServerId,
        /// Caller that sent the request.
        pub caller: CallerId,
        /// Session of the caller.
        pub session: SessionId,
        /// Kind of the request.
        pub kind: Kind,
        /// Statement to run.
        pub statement: Statement,
        /// Log point that the data must cover.
        pub point: Option<LogPoint>,
        /// Microseconds since the instant that the data must cover.
        pub age: Option<u64>,
        /// Class of work.
        pub class: Class,
        /// Microseconds until the deadline.
        pub remaining: u64,
        /// Request id, if the caller passed one.
        pub id: Option<RequestId>,
    }
}

impl WireRequest {
    /// Converts the instants of a request into intervals from now.
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

    /// Converts the intervals of a received request back into instants.
    pub fn into_request(self) -> Request {
        let arrived = now();
        let instant_before = |age: u64| arrived.checked_sub(Duration::from_micros(age));
        // No sensible deadline exceeds a day, and the limit prevents an overflow of the addition.
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

/// Returns the time elapsed since an instant.
pub fn elapsed_since(since: Instant) -> Duration {
    now().saturating_duration_since(since)
}
