//! The platform's JSON-RPC interface.

use jsonrpsee::{core::RpcResult, proc_macros::rpc};
use siskinhook_types::{Batch, CommitOutcome, Row, VmRecord};

/// The methods are named `platform_get` and so on and take positional parameters. Objects are
/// encoded as base64.
#[rpc(client, server, namespace = "platform")]
pub trait PlatformApi {
    /// Reads a row.
    #[method(name = "get")]
    async fn get(&self, key: String) -> RpcResult<Option<Row>>;

    /// Lists rows whose key starts with `prefix` and is greater than `after`, in key order.
    #[method(name = "list")]
    async fn list(&self, prefix: String, after: String, limit: usize) -> RpcResult<Vec<Row>>;

    /// Applies a batch in one transaction.
    #[method(name = "commit")]
    async fn commit(&self, batch: Batch) -> RpcResult<CommitOutcome>;

    /// Stores an object.
    #[method(name = "put_object")]
    async fn put_object(&self, key: String, data: String) -> RpcResult<()>;

    /// Reads an object.
    #[method(name = "get_object")]
    async fn get_object(&self, key: String) -> RpcResult<Option<String>>;

    /// Lists live and leaving VMs.
    #[method(name = "vms")]
    async fn vms(&self) -> RpcResult<Vec<VmRecord>>;
}
