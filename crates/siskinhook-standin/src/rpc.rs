//! The platform's services and the demo's control interface as jsonrpsee servers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Context;
use base64::{Engine, prelude::BASE64_STANDARD};
use jsonrpsee::{
    RpcModule,
    core::{RpcResult, client::ClientT},
    http_client::HttpClient,
    proc_macros::rpc,
    server::{ServerBuilder, ServerHandle},
    types::ErrorObjectOwned,
};
use siskinhook_types::{Batch, CommitOutcome, Platform, PlatformError, Row, VmRecord};
use tokio::{task::JoinHandle, time::sleep};

use crate::{
    fault::Fault,
    platform::PlatformStore,
    site::{Site, SiteState},
};

/// JSON-RPC error code of a call that did not take effect.
pub const NOT_DONE: i32 = -32001;
/// JSON-RPC error code of a demo command that was rejected.
const REJECTED: i32 = -32002;
/// A caller whose answer is lost hears nothing for longer than it waits.
const SILENCE: Duration = Duration::from_mins(1);
/// Time in which the demo answers a command.
const DEMO: Duration = Duration::from_secs(5);

#[rpc(server)]
trait PlatformApi {
    #[method(name = "platform_get")]
    async fn get(&self, key: String) -> RpcResult<Option<Row>>;

    #[method(name = "platform_list")]
    async fn list(&self, prefix: String, after: String, limit: usize) -> RpcResult<Vec<Row>>;

    #[method(name = "platform_commit")]
    async fn commit(&self, batch: Batch) -> RpcResult<CommitOutcome>;

    #[method(name = "platform_put_object")]
    async fn put_object(&self, key: String, data: String) -> RpcResult<()>;

    #[method(name = "platform_get_object")]
    async fn get_object(&self, key: String) -> RpcResult<Option<String>>;

    #[method(name = "platform_vms")]
    async fn vms(&self) -> RpcResult<Vec<VmRecord>>;
}

/// Turns a failure into an answer; a lost answer never comes.
async fn answer<T>(result: Result<T, PlatformError>) -> RpcResult<T> {
    match result {
        Ok(value) => Ok(value),
        Err(PlatformError::NotDone(reason)) => {
            Err(ErrorObjectOwned::owned(NOT_DONE, reason, None::<()>))
        }
        Err(PlatformError::MayBeDone(reason)) => {
            sleep(SILENCE).await;
            Err(ErrorObjectOwned::owned(-32000, reason, None::<()>))
        }
    }
}

/// Waits for a write, which goes on when its caller has given up.
async fn finished<T>(done: JoinHandle<Result<T, PlatformError>>) -> Result<T, PlatformError> {
    done.await
        .unwrap_or_else(|error| Err(PlatformError::MayBeDone(error.to_string())))
}

#[jsonrpsee::core::async_trait]
impl PlatformApiServer for PlatformStore {
    async fn get(&self, key: String) -> RpcResult<Option<Row>> {
        answer(Platform::get(self, &key).await).await
    }

    async fn list(&self, prefix: String, after: String, limit: usize) -> RpcResult<Vec<Row>> {
        answer(Platform::list(self, &prefix, &after, limit).await).await
    }

    async fn commit(&self, batch: Batch) -> RpcResult<CommitOutcome> {
        let store = self.clone();
        let done = tokio::spawn(async move { Platform::commit(&store, batch).await });
        answer(finished(done).await).await
    }

    async fn put_object(&self, key: String, data: String) -> RpcResult<()> {
        let data = BASE64_STANDARD
            .decode(data)
            .map_err(|error| ErrorObjectOwned::owned(NOT_DONE, error.to_string(), None::<()>))?;
        let store = self.clone();
        let done =
            tokio::spawn(async move { Platform::put_object(&store, &key, data.into()).await });
        answer(finished(done).await).await
    }

    async fn get_object(&self, key: String) -> RpcResult<Option<String>> {
        let object = answer(Platform::get_object(self, &key).await).await?;
        Ok(object.map(|data| BASE64_STANDARD.encode(data)))
    }

    async fn vms(&self) -> RpcResult<Vec<VmRecord>> {
        answer(Platform::vms(self).await).await
    }
}

/// Serves the platform on a loopback port chosen by the system.
pub(crate) async fn serve_platform(
    store: PlatformStore,
) -> anyhow::Result<(SocketAddr, ServerHandle)> {
    start(store.into_rpc()).await
}

async fn start<C: Send + Sync + 'static>(
    module: RpcModule<C>,
) -> anyhow::Result<(SocketAddr, ServerHandle)> {
    let server = ServerBuilder::default()
        .build("127.0.0.1:0")
        .await
        .context("no loopback port for an RPC server; check the open file limit")?;
    let address = server.local_addr()?;
    Ok((address, server.start(module)))
}

#[rpc(server)]
trait DemoApi {
    #[method(name = "demo_apply")]
    async fn apply(&self, fault: Fault) -> RpcResult<()>;

    #[method(name = "demo_state")]
    async fn state(&self) -> RpcResult<SiteState>;
}

struct Demo(Arc<Site>);

#[jsonrpsee::core::async_trait]
impl DemoApiServer for Demo {
    async fn apply(&self, fault: Fault) -> RpcResult<()> {
        self.0
            .apply(&fault)
            .map_err(|error| ErrorObjectOwned::owned(REJECTED, format!("{error:#}"), None::<()>))
    }

    async fn state(&self) -> RpcResult<SiteState> {
        Ok(self.0.state())
    }
}

/// Serves the demo's control interface of a site on a loopback port chosen by the system, until
/// the handle is dropped.
///
/// # Errors
/// Fails when no port can be opened.
pub async fn serve_demo(site: Arc<Site>) -> anyhow::Result<(SocketAddr, ServerHandle)> {
    start(Demo(site).into_rpc()).await
}

/// Runs a demo command against the control interface at `control` (`ip:port`) and returns what
/// to print.
///
/// # Errors
/// Fails when the words are no command, with a list of commands, or when the demo rejects it.
pub async fn demo_command(control: &str, words: &[String], json: bool) -> anyhow::Result<String> {
    let client = HttpClient::builder()
        .request_timeout(DEMO)
        .build(format!("http://{control}"))?;
    if words == ["state"] {
        let state: SiteState = client
            .request("demo_state", jsonrpsee::rpc_params![])
            .await
            .with_context(|| {
                format!("no demo answers at {control}; start one with the demo command")
            })?;
        return if json {
            Ok(serde_json::to_string_pretty(&state)?)
        } else {
            Ok(state.to_string())
        };
    }
    let fault = Fault::parse(words)?;
    client
        .request::<(), _>("demo_apply", jsonrpsee::rpc_params![&fault])
        .await
        .with_context(|| format!("the demo at {control} did not apply the fault"))?;
    if json {
        Ok(serde_json::json!({ "applied": fault }).to_string())
    } else {
        Ok(format!("applied: {}", words.join(" ")))
    }
}
