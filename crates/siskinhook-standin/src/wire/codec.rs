//! Server-side framing of protocol messages.

use bytes::BytesMut;
use pgwire::{
    error::PgWireError,
    messages::{DecodeContext, PgWireBackendMessage as Backend, PgWireFrontendMessage as Frontend},
};
use tokio::net::TcpStream;
use tokio_util::codec::{Decoder, Encoder, Framed};

/// Encodes server messages and decodes client messages.
#[derive(Debug, Default)]
pub(super) struct Codec {
    pub(super) context: DecodeContext,
}

impl Decoder for Codec {
    type Item = Frontend;
    type Error = PgWireError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Frontend>, PgWireError> {
        Frontend::decode(buffer, &self.context)
    }
}

impl Encoder<Backend> for Codec {
    type Error = PgWireError;

    fn encode(&mut self, message: Backend, buffer: &mut BytesMut) -> Result<(), PgWireError> {
        message.encode(buffer)
    }
}

pub(super) type Stream = Framed<TcpStream, Codec>;
