//! JSON-RPC servers for the platform and for the control interface of the demo.

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
/// Delay before a lost answer is reported; longer than any caller waits for an answer.
const LOST_ANSWER_DELAY: Duration = Duration::from_mins(1);
/// Time that the demo has to answer a command.
const DEMO_TIMEOUT: Duration = Duration::from_secs(5);

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

/// Converts the result of a platform call to the RPC answer. A lost answer is delayed until the
/// caller has timed out.
async fn to_rpc_result<T>(result: Result<T, PlatformError>) -> RpcResult<T> {
    match result {
        Ok(value) => Ok(value),
        Err(PlatformError::NotDone(reason)) => {
            Err(ErrorObjectOwned::owned(NOT_DONE, reason, None::<()>))
        }
        Err(PlatformError::MayBeDone(reason)) => {
            sleep(LOST_ANSWER_DELAY).await;
            Err(ErrorObjectOwned::owned(-32000, reason, None::<()>))
        }
    }
}

/// Waits for a write that runs in a task of its own, so that it completes even if its caller gives
/// up.
async fn join_write<T>(write: JoinHandle<Result<T, PlatformError>>) -> Result<T, PlatformError> {
    write
        .await
        .unwrap_or_else(|error| Err(PlatformError::MayBeDone(error.to_string())))
}

#[jsonrpsee::core::async_trait]
impl PlatformApiServer for PlatformStore {
    async fn get(&self, key: String) -> RpcResult<Option<Row>> {
        to_rpc_result(Platform::get(self, &key).await).await
    }

    async fn list(&self, prefix: String, after: String, limit: usize) -> RpcResult<Vec<Row>> {
        to_rpc_result(Platform::list(self, &prefix, &after, limit).await).await
    }

    async fn commit(&self, batch: Batch) -> RpcResult<CommitOutcome> {
        let store = self.clone();
        let write = tokio::spawn(async move { Platform::commit(&store, batch).await });
        to_rpc_result(join_write(write).await).await
    }

    async fn put_object(&self, key: String, data: String) -> RpcResult<()> {
        let data = BASE64_STANDARD
            .decode(data)
            .map_err(|error| ErrorObjectOwned::owned(NOT_DONE, error.to_string(), None::<()>))?;
        let store = self.clone();
        let write =
            tokio::spawn(async move { Platform::put_object(&store, &key, data.into()).await });
        to_rpc_result(join_write(write).await).await
    }

    async fn get_object(&self, key: String) -> RpcResult<Option<String>> {
        let object = to_rpc_result(Platform::get_object(self, &key).await).await?;
        Ok(object.map(|data| BASE64_STANDARD.encode(data)))
    }

    async fn vms(&self) -> RpcResult<Vec<VmRecord>> {
        to_rpc_result(Platform::vms(self).await).await
    }
}

/// Serves the platform on an ephemeral loopback port.
pub(crate) async fn serve_platform(
    store: PlatformStore,
) -> anyhow::Result<(SocketAddr, ServerHandle)> {
    start_server(store.into_rpc()).await
}

async fn start_server<C: Send + Sync + 'static>(
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

struct DemoService(Arc<Site>);

#[jsonrpsee::core::async_trait]
impl DemoApiServer for DemoService {
    async fn apply(&self, fault: Fault) -> RpcResult<()> {
        self.0
            .apply(&fault)
            .map_err(|error| ErrorObjectOwned::owned(REJECTED, format!("{error:#}"), None::<()>))
    }

    async fn state(&self) -> RpcResult<SiteState> {
        Ok(self.0.state())
    }
}

/// Serves the control interface of the demo on an ephemeral loopback port until the handle is
/// dropped.
///
/// # Errors
/// Fails if no port can be opened.
pub async fn serve_demo(site: Arc<Site>) -> anyhow::Result<(SocketAddr, ServerHandle)> {
    start_server(DemoService(site).into_rpc()).await
}

/// Sends a demo command to the control interface at `control` (`ip:port`) and returns the output
/// to print.
///
/// # Errors
/// Fails with the list of commands if the words are not a command, or if the demo rejects it.
pub async fn demo_command(control: &str, words: &[String], json: bool) -> anyhow::Result<String> {
    let client = HttpClient::builder()
        .request_timeout(DEMO_TIMEOUT)
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
