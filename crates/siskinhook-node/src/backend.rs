//! Backend of the front end: opens callers' sessions once the node has a catalogue.

use siskinhook_engine::{PgTargets, Session, SessionOptions, TcpLinks};
use siskinhook_fleet::Fleet;
use siskinhook_frontend::Backend;
use siskinhook_types::{CallerId, DatabaseId, Failure, FailureKind, sqlstate};

use crate::node::{NodeEngine, NodePlatform};

/// Opens callers' sessions on the engine of a node.
#[derive(Clone)]
pub(crate) struct NodeBackend {
    pub(crate) engine: NodeEngine,
    pub(crate) fleet: Fleet,
}

impl NodeBackend {
    /// Returns why the node cannot serve callers yet, or `None` once it has a catalogue.
    pub(crate) fn waiting_reason(&self) -> Option<String> {
        if self.fleet.catalogue().borrow().revision > 0 {
            return None;
        }
        let reason = self.fleet.status().borrow().waits_for.clone();
        Some(reason.unwrap_or_else(|| "the catalogue is not loaded yet".into()))
    }
}

impl Backend for NodeBackend {
    type Session = Session<PgTargets, TcpLinks, NodePlatform>;

    fn open(&self, database: DatabaseId, caller: CallerId) -> Result<Self::Session, Failure> {
        // Without a catalogue, the engine would report every database as unknown.
        if let Some(reason) = self.waiting_reason() {
            return Err(Failure::not_run(
                FailureKind::Unavailable,
                sqlstate::UNAVAILABLE,
                format!("the node cannot serve yet: {reason}; connect to another node"),
            ));
        }
        self.engine
            .session(database, caller, SessionOptions::default())
    }
}
