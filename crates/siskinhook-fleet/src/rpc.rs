//! Calls between nodes by JSON-RPC 2.0 over HTTP.
//!
//! There is one method, `f`, with the parameters `[mac, message]`; its result is `[mac, message]`
//! as well. The MAC of a request covers the receiver's address and the message. The MAC of an
//! answer covers the request's MAC and the answer, so an answer cannot be replayed for another
//! request. A replayed request repeats old gossip or an accepted change, which the receiver
//! ignores by incarnation and revision.

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

/// Name of the JSON-RPC method.
const METHOD: &str = "f";
/// Length of the truncated HMAC-SHA-256 in bytes; 16 bytes are as hard to guess as an AES-128 key.
const MAC_LENGTH: usize = 16;
/// Maximum size of a message in bytes. A catalogue of 690 databases takes about 0.3 MB.
const MESSAGE_LIMIT: u32 = 16 * 1024 * 1024;
/// JSON-RPC error code for a wrong MAC or an unreadable message.
const REJECTED_CODE: i32 = -32001;
/// JSON-RPC error code of a node whose fleet task has ended.
const STOPPED_CODE: i32 = -32002;

/// Secret that all nodes of a fleet share. Its `Debug` output does not show it.
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
        // HMAC accepts keys of any length: it hashes keys that are longer than a block.
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

/// HTTP client for calls to other nodes.
///
/// Each call opens a connection. Connections are not reused, because a node calls the same other
/// node only every few minutes.
#[derive(Clone, Debug)]
pub struct RpcPeers {
    secret: Secret,
    /// Addresses to dial, by the address that they replace.
    overrides: Arc<IndexMap<SmolStr, SmolStr>>,
}

impl RpcPeers {
    /// Creates a client that signs its requests with the secret.
    #[must_use]
    pub fn new(secret: Secret) -> Self {
        Self {
            secret,
            overrides: Arc::default(),
        }
    }

    /// Sets addresses to dial instead of those in member profiles, for relays and address
    /// translation.
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

/// Serves calls from other nodes until the handle is stopped or dropped.
///
/// `public_address` is the address at which other nodes reach the listener, as in the node's
/// profile; requests are signed for it. Bind the listener before starting the fleet task, so that
/// other nodes can connect as soon as they know this one.
///
/// # Errors
/// Fails when the listener cannot be switched to non-blocking mode or served.
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
