//! Startup and authentication of a client.

use std::sync::Arc;

use futures::{SinkExt, StreamExt};
use pgwire::messages::{
    PgWireBackendMessage as Backend, PgWireFrontendMessage as Frontend, ProtocolVersion,
    SslNegotiationMetaMessage,
    response::{GssEncResponse, SslResponse},
    startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey},
};
use smol_str::SmolStr;
use tokio::time::sleep;

use super::{codec::Stream, error::ClientError, message::ready};
use crate::{
    database::SqlError,
    server::{Server, Session},
};

/// Negotiates the connection and authenticates the client; returns `None` if the client
/// disconnects.
pub(super) async fn log_in(
    server: &Arc<Server>,
    stream: &mut Stream,
) -> Result<Option<Session>, ClientError> {
    let mut node = SmolStr::default();
    loop {
        let Some(message) = stream.next().await.transpose()? else {
            return Ok(None);
        };
        match message {
            Frontend::SslNegotiation(SslNegotiationMetaMessage::PostgresSsl(_)) => {
                stream
                    .send(Backend::SslResponse(SslResponse::Refuse))
                    .await?;
            }
            Frontend::SslNegotiation(SslNegotiationMetaMessage::PostgresGss(_)) => {
                stream
                    .send(Backend::GssEncResponse(GssEncResponse::Refuse))
                    .await?;
            }
            Frontend::SslNegotiation(SslNegotiationMetaMessage::None) => {
                stream.codec_mut().context.awaiting_frontend_ssl = false;
            }
            Frontend::Startup(startup) => {
                let context = &mut stream.codec_mut().context;
                context.awaiting_frontend_startup = false;
                context.protocol_version = ProtocolVersion::PROTOCOL3_0;
                let name = ["application_name", "user"]
                    .iter()
                    .find_map(|key| startup.parameters.get(*key));
                node = name.map(Into::into).unwrap_or_default();
                stream
                    .send(Backend::Authentication(Authentication::CleartextPassword))
                    .await?;
            }
            Frontend::PasswordMessageFamily(message) => {
                let password = message.into_password()?.password;
                if password != server.options().password {
                    return Err(SqlError::new("28P01", "the password is wrong").into());
                }
                break;
            }
            _ => return Ok(None),
        }
    }
    sleep(server.options().setup).await;
    let session = server.attach(node)?;
    stream
        .feed(Backend::Authentication(Authentication::Ok))
        .await?;
    for (name, value) in [
        ("server_version", "16.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        let status = ParameterStatus::new(name.into(), value.into());
        stream.feed(Backend::ParameterStatus(status)).await?;
    }
    let pid = i32::try_from(session.id()).unwrap_or(i32::MAX);
    let key = BackendKeyData::new(pid, SecretKey::I32(pid));
    stream.feed(Backend::BackendKeyData(key)).await?;
    stream.send(ready(&session)).await?;
    Ok(Some(session))
}
