//! Runs the requests of one link in sequence.

use std::sync::Arc;

use serde_json::json;
use siskinhook_types::{Failure, FailureKind, Kind, LogPoint, Part, Request, Targets, sqlstate};
use smol_str::SmolStr;
use tokio::sync::mpsc;

use super::{Owner, not_owner, not_primary, transaction::Transaction};
use crate::{collect::encode, core::Core, counters::count, report::report_database};

/// Sends the parts of an answer to the link.
pub struct Reply {
    parts: mpsc::Sender<Result<Part, Failure>>,
}

impl Reply {
    /// Sends a part, waiting while the channel is full. Ignores a closed channel, because the
    /// worker is aborted when the link drops.
    pub async fn send_part(&self, part: Part) {
        let _ = self.parts.send(Ok(part)).await;
    }

    /// Sends the last part of an answer.
    pub async fn send_done(&self, tag: SmolStr, point: Option<LogPoint>) {
        self.send_part(Part::Done { tag, point }).await;
    }

    /// Sends a part without waiting. Returns the part when the channel is full because the reader
    /// is slow.
    pub fn try_send_part(&self, part: Part) -> Option<Part> {
        match self.parts.try_send(Ok(part)) {
            Err(mpsc::error::TrySendError::Full(Ok(part))) => Some(part),
            _ => None,
        }
    }
}

/// Runs the requests of one link.
pub struct Worker<T: Targets> {
    pub core: Arc<Core<T>>,
    pub reply: Reply,
    pub transaction: Option<Transaction<T>>,
}

impl<T: Targets> Worker<T> {
    pub const fn new(core: Arc<Core<T>>, parts: mpsc::Sender<Result<Part, Failure>>) -> Self {
        Self {
            core,
            reply: Reply { parts },
            transaction: None,
        }
    }

    /// Runs requests until the link is dropped.
    pub async fn run(mut self, mut requests: mpsc::Receiver<Request>) {
        while let Some(request) = requests.recv().await {
            let core = self.core.clone();
            let _active = core.track();
            count(&core.counters.owned);
            if let Err(failure) = self.serve(request).await {
                let _ = self.reply.parts.send(Err(failure)).await;
            }
        }
    }

    async fn serve(&mut self, request: Request) -> Result<(), Failure> {
        if self.transaction.is_some() {
            return self.run_in_transaction(request).await;
        }
        if matches!(request.kind, Kind::Inner | Kind::Commit | Kind::Rollback) {
            return Err(Failure::not_run(
                FailureKind::BadRequest,
                sqlstate::PROTOCOL,
                "no transaction is open on the link; begin one first",
            ));
        }
        let owner = self.owner(&request)?;
        if request.kind.needs_primary() && !owner.group.may_be_primary(&owner.server.name) {
            return Err(not_primary(&owner.server));
        }
        match request.kind {
            Kind::Read | Kind::Describe => self.read(&owner, request).await,
            Kind::Begin | Kind::BeginReadOnly => self.begin(owner, request).await,
            Kind::Lookup => self.lookup(&owner, request).await,
            Kind::Report => {
                let route = self.core.route(&request.database);
                let report = route.map(|route| report_database(&self.core, &route, None));
                self.reply.send_part(encode(&json!(report))).await;
                self.reply.send_done("REPORT".into(), None).await;
                Ok(())
            }
            _ if request.id.is_some() => self.write_once(&owner, request).await,
            _ => self.write(&owner, request).await,
        }
    }

    /// Returns the owner of the request's server if it is on this node, or fails with `NotOwner`.
    fn owner(&self, request: &Request) -> Result<Arc<Owner<T>>, Failure> {
        let owner = self.core.owners().get(&request.server).cloned();
        if let Some(owner) = owner.filter(|owner| !owner.is_retired()) {
            owner.group.touch();
            return Ok(owner);
        }
        let route = self.core.route(&request.database);
        let mut servers = route.iter().flat_map(|route| &route.servers);
        let server = servers.find(|server| server.name == request.server);
        Err(not_owner(&self.core, &request.server, server))
    }
}
