//! `RpcPlatform` against a JSON-RPC server on a loopback address: the same answers as from the
//! platform behind the server, and the correct error when answers are lost or late.

use std::time::Duration;

use assert_matches::assert_matches;
use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use jsonrpsee::{
    core::{RpcResult, async_trait},
    server::{ServerBuilder, ServerHandle},
    types::ErrorObjectOwned,
};
use serde_json::json;
use siskinhook_platform::{Fault, MemoryPlatform, PlatformApiServer, RpcPlatform};
use siskinhook_types::{
    Batch, CommitOutcome, Condition, Platform, PlatformError, Row, RowWrite, VmRecord,
};

struct PlatformServer(MemoryPlatform);

/// Converts a result to a response. A request whose answer is lost never gets a response.
async fn answer<T>(result: Result<T, PlatformError>) -> RpcResult<T> {
    match result {
        Ok(value) => Ok(value),
        Err(PlatformError::NotDone(reason)) => {
            Err(ErrorObjectOwned::owned(-32_000, reason, None::<()>))
        }
        Err(PlatformError::MayBeDone(_)) => std::future::pending().await,
    }
}

#[async_trait]
impl PlatformApiServer for PlatformServer {
    async fn get(&self, key: String) -> RpcResult<Option<Row>> {
        answer(self.0.get(&key).await).await
    }
    async fn list(&self, prefix: String, after: String, limit: usize) -> RpcResult<Vec<Row>> {
        answer(self.0.list(&prefix, &after, limit).await).await
    }
    async fn commit(&self, batch: Batch) -> RpcResult<CommitOutcome> {
        answer(self.0.commit(batch).await).await
    }
    async fn put_object(&self, key: String, data: String) -> RpcResult<()> {
        let data = STANDARD.decode(data).expect("the client sends base64");
        answer(self.0.put_object(&key, data.into()).await).await
    }
    async fn get_object(&self, key: String) -> RpcResult<Option<String>> {
        let object = answer(self.0.get_object(&key).await).await?;
        Ok(object.map(|data| STANDARD.encode(data)))
    }
    async fn vms(&self) -> RpcResult<Vec<VmRecord>> {
        answer(self.0.vms().await).await
    }
}

async fn serve(memory: &MemoryPlatform) -> (RpcPlatform, ServerHandle) {
    let server = ServerBuilder::default()
        .build("127.0.0.1:0")
        .await
        .expect("a loopback port is free");
    let address = server.local_addr().expect("the server listens");
    let handle = server.start(PlatformServer(memory.clone()).into_rpc());
    let client = RpcPlatform::new(&address.to_string(), Duration::from_secs(2));
    (client.expect("the address is valid"), handle)
}

fn write_if_version(key: &str, version: u64) -> Batch {
    Batch {
        conditions: vec![Condition {
            key: key.into(),
            version,
        }],
        writes: vec![RowWrite {
            key: key.into(),
            value: Some(json!({ "n": 1 })),
        }],
    }
}

#[tokio::test]
async fn answers_match_the_platform() {
    let memory = MemoryPlatform::default();
    memory.set_vms(vec![VmRecord {
        name: "n1".into(),
        region: "r".into(),
        zone: "z".into(),
        address: "127.0.0.1:1".into(),
        leaving: true,
    }]);
    let (client, _server) = serve(&memory).await;
    assert_eq!(
        client.commit(write_if_version("a/1", 0)).await,
        Ok(CommitOutcome::Applied)
    );
    assert_eq!(
        client.commit(write_if_version("a/2", 0)).await,
        Ok(CommitOutcome::Applied)
    );
    assert_matches!(
        client.commit(write_if_version("a/1", 0)).await,
        Ok(CommitOutcome::Conflict {
            row: Some(Row { version: 1, .. }),
            ..
        })
    );
    assert_eq!(client.get("a/1").await, memory.get("a/1").await);
    assert_eq!(client.get("none").await, Ok(None));
    assert_eq!(
        client.list("a/", "a/1", 10).await,
        memory.list("a/", "a/1", 10).await
    );
    let data = Bytes::from_static(&[0, 255, 10]);
    assert_eq!(client.put_object("o", data.clone()).await, Ok(()));
    assert_eq!(client.get_object("o").await, Ok(Some(data)));
    assert_eq!(client.get_object("none").await, Ok(None));
    assert_eq!(client.vms().await, memory.vms().await);
}

/// Guards against a lost answer that is reported as `NotDone`: the edit would be repeated and
/// applied twice.
#[tokio::test]
async fn lost_answer_of_a_write_may_be_done() {
    let memory = MemoryPlatform::default();
    let (client, _server) = serve(&memory).await;
    memory.inject([Fault::LoseAnswer]);
    assert_matches!(
        client.commit(write_if_version("a", 0)).await,
        Err(PlatformError::MayBeDone(_))
    );
    assert_matches!(client.get("a").await, Ok(Some(Row { version: 1, .. })));
}

#[tokio::test]
async fn refused_write_and_late_read_are_not_done() {
    let memory = MemoryPlatform::default();
    let (client, _server) = serve(&memory).await;
    memory.inject([Fault::Refuse, Fault::Slow(Duration::from_secs(30))]);
    assert_matches!(
        client.commit(write_if_version("a", 0)).await,
        Err(PlatformError::NotDone(_))
    );
    assert_matches!(client.get("a").await, Err(PlatformError::NotDone(_)));
}

/// Guards against a `NotDone` for a write whose request may have reached the server before it
/// stopped.
#[tokio::test]
async fn write_to_a_stopped_server_may_be_done() {
    let memory = MemoryPlatform::default();
    let (client, server) = serve(&memory).await;
    server.stop().expect("the server runs");
    server.stopped().await;
    assert_matches!(
        client.commit(write_if_version("a", 0)).await,
        Err(PlatformError::MayBeDone(_))
    );
    assert_matches!(client.get("a").await, Err(PlatformError::NotDone(_)));
}
