//! Calls between nodes over jsonrpsee (JSON-RPC 2.0 over HTTP).
//!
//! There is one method, `f`, with the parameters `[mac, message]`; the result is
//! `[mac, message]` as well. The MAC of a request covers the receiver's address and the
//! message; that of an answer covers the request's MAC and the answer, so an answer cannot be
//! replayed for another request. A replayed request repeats old gossip or an accepted change,
//! which the receiver ignores by incarnation and revision.

use std::{net::TcpListener, sync::Arc};

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use hmac::{Hmac, KeyInit, Mac};
use indexmap::IndexMap;
use jsonrpsee::{
    RpcModule,
    core::client::ClientT,
    http_client::HttpClientBuilder,
    rpc_params,
    server::{BatchRequestConfig, ServerBuilder, ServerConfig, ServerHandle},
    types::ErrorObjectOwned,
};
use serde_json::value::{RawValue, to_raw_value};
use sha2::Sha256;
use smol_str::SmolStr;

use crate::{Fleet, PeerError, PeerMessage, Peers};

/// Name of the method.
const METHOD: &str = "f";
/// Bytes of the HMAC-SHA-256 that are sent; 16 bytes are as hard to guess as an AES-128 key.
const MAC_LENGTH: usize = 16;
/// Largest message in bytes: a catalogue of 690 databases takes about 0.3 MB.
const MESSAGE_LIMIT: u32 = 16 * 1024 * 1024;
/// Code of the JSON-RPC error for a wrong MAC or an unreadable message.
const REJECTED_CODE: i32 = -32001;
/// Code of the JSON-RPC error of a node whose fleet task has ended.
const STOPPED_CODE: i32 = -32002;

/// Secret that all nodes of a fleet share; never shown.
#[derive(Clone)]
pub struct Secret(Arc<[u8]>);

impl Secret {
    /// Creates a secret.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self(secret.as_bytes().into())
    }

    fn sign(&self, context: &str, message: &str) -> String {
        URL_SAFE_NO_PAD.encode(&self.mac(context, message).finalize().into_bytes()[..MAC_LENGTH])
    }

    fn verify(&self, context: &str, message: &str, mac: &str) -> bool {
        URL_SAFE_NO_PAD.decode(mac).is_ok_and(|mac| {
            mac.len() == MAC_LENGTH
                && self
                    .mac(context, message)
                    .verify_truncated_left(&mac)
                    .is_ok()
        })
    }

    fn mac(&self, context: &str, message: &str) -> Hmac<Sha256> {
        // A key longer than a block is hashed first, by definition of HMAC.
        let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(&self.0)
            .unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"));
        mac.update(context.as_bytes());
        mac.update(&[0]);
        mac.update(message.as_bytes());
        mac
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Calls other nodes over HTTP, with one connection per call.
///
/// A node calls the same other node every few minutes only, so connections are not kept.
#[derive(Clone, Debug)]
pub struct RpcPeers {
    secret: Secret,
    /// Addresses that are dialled in place of others.
    overrides: Arc<IndexMap<SmolStr, SmolStr>>,
}

impl RpcPeers {
    /// Creates the client side.
    #[must_use]
    pub fn new(secret: Secret) -> Self {
        Self {
            secret,
            overrides: Arc::default(),
        }
    }

    /// Sets addresses that are dialled in place of others, for relays and address translation.
    #[must_use]
    pub fn with_address_overrides(self, overrides: IndexMap<SmolStr, SmolStr>) -> Self {
        Self {
            overrides: Arc::new(overrides),
            ..self
        }
    }

    async fn exchange(&self, address: &str, message: &PeerMessage) -> anyhow::Result<PeerMessage> {
        let request = to_raw_value(message)?;
        let mac = self.secret.sign(address, request.get());
        let dialed = self.overrides.get(address).map_or(address, SmolStr::as_str);
        let client = HttpClientBuilder::default()
            .max_request_size(MESSAGE_LIMIT)
            .max_response_size(MESSAGE_LIMIT)
            .build(format!("http://{dialed}"))?;
        let (answer_mac, answer): (SmolStr, Box<RawValue>) =
            client.request(METHOD, rpc_params![&mac, request]).await?;
        anyhow::ensure!(
            self.secret.verify(&mac, answer.get(), &answer_mac),
            "the answer has a wrong MAC; check that both nodes have the same secret"
        );
        Ok(serde_json::from_str(answer.get())?)
    }
}

impl Peers for RpcPeers {
    async fn call(&self, address: &str, message: PeerMessage) -> Result<PeerMessage, PeerError> {
        self.exchange(address, &message)
            .await
            .map_err(|e| PeerError {
                address: address.into(),
                reason: e.to_string(),
            })
    }
}

/// Serves the calls of other nodes until the handle is stopped or dropped.
///
/// `public` is the address under which other nodes reach the listener, as in the node's
/// profile; requests are signed for it. The caller binds the listener before it starts the
/// fleet task, so that answers to the first requests find it.
///
/// # Errors
/// Fails when the listener cannot be used.
pub fn serve(
    listener: TcpListener,
    public_address: SmolStr,
    secret: Secret,
    fleet: Fleet,
) -> std::io::Result<ServerHandle> {
    let config = ServerConfig::builder()
        .http_only()
        .max_request_body_size(MESSAGE_LIMIT)
        .max_response_body_size(MESSAGE_LIMIT)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .build();
    listener.set_nonblocking(true)?;
    let server = ServerBuilder::with_config(config).build_from_tcp(listener)?;
    let mut module = RpcModule::new((public_address, secret, fleet));
    module
        .register_async_method(METHOD, |params, context, _| async move {
            let (public_address, secret, fleet) = &*context;
            let (mac, request): (SmolStr, Box<RawValue>) = params.parse()?;
            if !secret.verify(public_address, request.get(), &mac) {
                return Err(rejected(
                    "the request has a wrong MAC; check that both nodes have the same secret",
                ));
            }
            let message: PeerMessage = serde_json::from_str(request.get())
                .map_err(|e| rejected(&format!("the message cannot be read: {e}")))?;
            let answer = fleet.receive(message).await.ok_or_else(|| {
                ErrorObjectOwned::owned(STOPPED_CODE, "the node has stopped", None::<()>)
            })?;
            let answer = to_raw_value(&answer)
                .map_err(|e| rejected(&format!("the answer cannot be written: {e}")))?;
            Ok((secret.sign(&mac, answer.get()), answer))
        })
        .map_err(std::io::Error::other)?;
    Ok(server.start(module))
}

fn rejected(reason: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(REJECTED_CODE, reason, None::<()>)
}
