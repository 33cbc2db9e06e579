//! Server of the operator interface of a node.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{SystemTime, UNIX_EPOCH},
};

use anyhow::{Context, Result};
use jsonrpsee::{
    Extensions,
    core::{RpcResult, async_trait},
    server::{HttpRequest, ServerBuilder, ServerHandle},
    types::ErrorObjectOwned,
};
use serde_json::Value;
use siskinhook_catalogue::{
    Accepted, AuditAction, AuditDraft, AuditLog, AuditQuery, AuditRecord, Author, CatalogueStore,
    Edit, EditError, EntryView, UndoRequest,
};
use siskinhook_types::{Catalogue, FleetView, NodeId, Platform, PlatformError, ServiceId};
use tower::{ServiceBuilder, util::MapRequestLayer};

use crate::{
    EditRequest, Explain, Identity, NodeResponse, NodeRevision, NodeStatus, NodeView,
    OperatorApiServer, Operators, Report, RevertRequest, codes,
};

/// Maximum concurrent connections. Operators are few, and the node must stay free for other work.
const MAX_CONNECTIONS: u32 = 64;

/// Maximum audit records returned by one query.
const MAX_RECORDS: usize = 10_000;

/// The operator interface of one node.
#[derive(Clone, Debug)]
pub struct OperatorService<V, P> {
    view: V,
    store: CatalogueStore<P>,
    audit: AuditLog<P>,
    clock: fn() -> SystemTime,
    drain_requests: Arc<AtomicU64>,
}

/// Serves the operator interface at an address until the handle is stopped or dropped. Returns the
/// address with the actual port.
///
/// # Errors
/// Fails when the server cannot listen on the address.
pub async fn serve<V: NodeView, P: Platform>(
    address: SocketAddr,
    service: OperatorService<V, P>,
    operators: Operators,
) -> Result<(SocketAddr, ServerHandle)> {
    let authenticate = MapRequestLayer::new(move |mut request: HttpRequest| {
        let identity = request
            .headers()
            .get("authorization")
            .and_then(|value| value.to_str().ok())
            .and_then(|header| operators.authenticate(header));
        if let Some(identity) = identity {
            request.extensions_mut().insert(identity);
        }
        request
    });
    let server = ServerBuilder::new()
        .set_config(
            jsonrpsee::server::ServerConfig::builder()
                .http_only()
                .max_connections(MAX_CONNECTIONS)
                .build(),
        )
        .set_http_middleware(ServiceBuilder::new().layer(authenticate))
        .build(address)
        .await
        .with_context(|| format!("cannot listen on {address} for the operator interface"))?;
    let address = server.local_addr()?;
    Ok((address, server.start(service.into_rpc())))
}

impl<V: NodeView, P: Platform> OperatorService<V, P> {
    /// Creates the interface. `clock` supplies the times in the audit trail.
    #[must_use]
    pub fn new(
        view: V,
        store: CatalogueStore<P>,
        audit: AuditLog<P>,
        clock: fn() -> SystemTime,
    ) -> Self {
        Self {
            view,
            store,
            audit,
            clock,
            drain_requests: Arc::default(),
        }
    }

    fn respond<T>(&self, value: T) -> NodeResponse<T> {
        let status = self.view.status();
        NodeResponse {
            node: status.name,
            cut_off: status.cut_off,
            heard: status.heard,
            value,
        }
    }

    fn author(&self, identity: Identity, reason: String) -> Author {
        Author {
            operator: identity.name,
            partner: identity.partner,
            origin: self.view.status().name,
            reason,
            time: self.now(),
        }
    }

    fn now(&self) -> u64 {
        let time = (self.clock)()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    }

    fn build_edit(&self, identity: Identity, request: EditRequest) -> Edit {
        Edit {
            id: request.id,
            service: request.service,
            entry: request.entry,
            base: request.base,
            author: self.author(identity, request.reason),
            confirmed: request.confirmed,
            undoes: None,
        }
    }

    /// Logs the outcome of an edit, and notifies the node of an accepted one.
    fn complete_edit(
        &self,
        id: &str,
        operator: &str,
        result: Result<Accepted, EditError>,
    ) -> RpcResult<Accepted> {
        match &result {
            Ok(accepted) => {
                log::info!(
                    event = 6001, edit = id, operator = operator, revision = accepted.revision;
                    "edit accepted"
                );
                self.view.on_edit_accepted(accepted.revision);
            }
            Err(EditError::Stale { service, .. }) => log::info!(
                event = 6003, edit = id, operator = operator, service = service.as_str();
                "edit refused, the entry changed since the base revision"
            ),
            Err(EditError::Unknown { reason, .. }) => log::warn!(
                event = 6004, edit = id, operator = operator;
                "the outcome of an edit is unknown: {reason}"
            ),
            Err(error) => log::info!(
                event = 6002, edit = id, operator = operator;
                "edit refused: {error}"
            ),
        }
        result.map_err(|error| edit_error(&error))
    }
}

fn require_identity(extensions: &Extensions) -> RpcResult<Identity> {
    extensions.get::<Identity>().cloned().ok_or_else(|| {
        log::warn!(event = 6005; "a request had no valid operator name and token");
        rpc_error(
            codes::UNAUTHENTICATED,
            "operator name or token is wrong; check --operator and the token",
        )
    })
}

fn rpc_error(code: i32, message: impl Into<String>) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(code, message, None::<()>)
}

fn edit_error(error: &EditError) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(codes::EDIT, error.to_string(), Some(error))
}

fn unavailable_error(failure: &PlatformError) -> ErrorObjectOwned {
    rpc_error(codes::UNAVAILABLE, failure.to_string())
}

#[async_trait]
impl<V: NodeView, P: Platform> OperatorApiServer for OperatorService<V, P> {
    async fn status(&self, extensions: &Extensions) -> RpcResult<NodeResponse<NodeStatus>> {
        require_identity(extensions)?;
        Ok(self.respond(self.view.status()))
    }

    async fn fleet(&self, extensions: &Extensions) -> RpcResult<NodeResponse<FleetView>> {
        require_identity(extensions)?;
        Ok(self.respond(self.view.fleet()))
    }

    async fn revisions(
        &self,
        extensions: &Extensions,
    ) -> RpcResult<NodeResponse<Vec<NodeRevision>>> {
        require_identity(extensions)?;
        Ok(self.respond(self.view.revisions().await))
    }

    async fn catalogue(&self, extensions: &Extensions) -> RpcResult<NodeResponse<Catalogue>> {
        require_identity(extensions)?;
        Ok(self.respond(Catalogue::clone(&self.view.catalogue())))
    }

    async fn report(
        &self,
        extensions: &Extensions,
        report: Report,
    ) -> RpcResult<NodeResponse<Value>> {
        require_identity(extensions)?;
        let value = self.view.report(report).await;
        Ok(self.respond(value.map_err(|text| rpc_error(codes::REFUSED, text))?))
    }

    async fn explain(
        &self,
        extensions: &Extensions,
        question: Explain,
    ) -> RpcResult<NodeResponse<Value>> {
        require_identity(extensions)?;
        let value = self.view.explain(question).await;
        Ok(self.respond(value.map_err(|text| rpc_error(codes::REFUSED, text))?))
    }

    async fn entry(
        &self,
        extensions: &Extensions,
        service: ServiceId,
    ) -> RpcResult<Option<EntryView>> {
        require_identity(extensions)?;
        let entry = self.store.entry(&service).await;
        entry.map_err(|failure| unavailable_error(&failure))
    }

    async fn check(&self, extensions: &Extensions, edit: EditRequest) -> RpcResult<Vec<String>> {
        let edit = self.build_edit(require_identity(extensions)?, edit);
        let effects = self.store.check(&edit).await;
        effects.map_err(|error| edit_error(&error))
    }

    async fn edit(&self, extensions: &Extensions, edit: EditRequest) -> RpcResult<Accepted> {
        let edit = self.build_edit(require_identity(extensions)?, edit);
        let result = self.store.accept(&edit).await;
        self.complete_edit(&edit.id, &edit.author.operator, result)
    }

    async fn undo(&self, extensions: &Extensions, request: RevertRequest) -> RpcResult<Accepted> {
        let author = self.author(require_identity(extensions)?, request.reason);
        let operator = author.operator.clone();
        let id = request.id.clone();
        let undo = UndoRequest {
            revision: request.revision,
            id: request.id,
            author,
            confirmed: request.confirmed,
        };
        let result = self.store.undo(undo).await;
        self.complete_edit(&id, &operator, result)
    }

    async fn history(
        &self,
        extensions: &Extensions,
        service: ServiceId,
        limit: usize,
    ) -> RpcResult<Vec<AuditRecord>> {
        require_identity(extensions)?;
        let records = self.store.history(&service, limit.min(MAX_RECORDS)).await;
        records.map_err(|failure| unavailable_error(&failure))
    }

    async fn audit(
        &self,
        extensions: &Extensions,
        mut query: AuditQuery,
    ) -> RpcResult<Vec<AuditRecord>> {
        require_identity(extensions)?;
        query.limit = query.limit.min(MAX_RECORDS);
        let records = self.store.trail().query(&query).await;
        records.map_err(|failure| unavailable_error(&failure))
    }

    async fn drain(
        &self,
        extensions: &Extensions,
        node: NodeId,
        drain: bool,
        reason: String,
    ) -> RpcResult<()> {
        let author = self.author(require_identity(extensions)?, reason);
        let done = self.view.drain(&node, drain).await;
        done.map_err(|text| rpc_error(codes::REFUSED, text))?;
        log::info!(
            event = 6006, node = node.as_str(), drain = drain,
            operator = author.operator.as_str();
            "drain requested"
        );
        let number = self.drain_requests.fetch_add(1, Ordering::Relaxed);
        self.audit.record(AuditDraft {
            id: format!("{}-drain-{}-{number}", author.origin, author.time).into(),
            time: author.time,
            person: author.operator,
            partner: Some(author.partner),
            origin: author.origin,
            service: None,
            reason: author.reason,
            action: AuditAction::Drain { node, drain },
        });
        Ok(())
    }
}
