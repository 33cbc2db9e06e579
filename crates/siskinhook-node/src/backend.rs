//! Opens callers' sessions, once the node has a catalogue.

use siskinhook_engine::{PgTargets, Session, SessionOptions, TcpLinks};
use siskinhook_fleet::Fleet;
use siskinhook_frontend::Backend;
use siskinhook_types::{CallerId, DatabaseId, Failure, FailureKind, sqlstate};

use crate::node::{NodeEngine, NodePlatform};

/// The engine behind the front end of a node.
#[derive(Clone)]
pub(crate) struct NodeBackend {
    pub(crate) engine: NodeEngine,
    pub(crate) fleet: Fleet,
}

impl NodeBackend {
    /// Returns what the node waits for before it can serve callers.
    pub(crate) fn waits_for(&self) -> Option<String> {
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
        // Without a catalogue every database would be reported as unknown.
        if let Some(reason) = self.waits_for() {
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
