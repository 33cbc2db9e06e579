//! Records promotions and ownership changes by this node in the audit trail.

use std::time::{SystemTime, UNIX_EPOCH};

use siskinhook_catalogue::{AuditAction, AuditDraft, AuditLog};
use siskinhook_engine::EngineEvent;
use siskinhook_fleet::Fleet;
use siskinhook_types::{DatabaseId, NodeId, Platform, ServiceId};
use smol_str::format_smolstr;
use tokio::sync::broadcast::{Receiver, error::RecvError};

/// Task that writes the events of a node's engine to the audit trail.
pub(crate) struct AuditRecorder<P> {
    pub(crate) node: NodeId,
    pub(crate) fleet: Fleet,
    pub(crate) audit: AuditLog<P>,
}

impl<P: Platform> AuditRecorder<P> {
    /// Runs until the engine is dropped.
    pub(crate) async fn run(self, mut events: Receiver<EngineEvent>) {
        loop {
            match events.recv().await {
                Ok(event) => self.record(event),
                Err(RecvError::Lagged(missed)) => log::error!(
                    target: "siskinhook::node", event = 3051_u32;
                    "{missed} engine events were missed and are not in the audit trail"
                ),
                Err(RecvError::Closed) => return,
            }
        }
    }

    fn record(&self, event: EngineEvent) {
        let time = unix_nanos();
        let (service, reason, action) = match event {
            EngineEvent::Promoted {
                database,
                server,
                term,
                trace,
            } => {
                let reason = format!(
                    "the former primary did not answer; detected after {} ms, promoted after {} ms",
                    trace.detection.as_millis(),
                    (trace.detection + trace.claim + trace.fencing + trace.promotion).as_millis()
                );
                let service = self.service(&database);
                let action = AuditAction::Promotion {
                    database,
                    server,
                    term,
                };
                (service, reason, action)
            }
            EngineEvent::FormerOwnerDisconnected {
                server,
                former_owner,
            } => {
                let catalogue = self.fleet.catalogue();
                let database = catalogue.borrow().server(&server).map(|(id, _)| id.clone());
                let service = database.and_then(|database| self.service(&database));
                let reason = "the former owner is gone or ranks lower; its connections were closed";
                let action = AuditAction::Ownership {
                    server,
                    before: Some(former_owner),
                    after: self.node.clone(),
                };
                (service, reason.into(), action)
            }
        };
        self.audit.record(AuditDraft {
            // Unique as long as a node does not record two events in the same nanosecond.
            id: format_smolstr!("{}-{time}", self.node),
            time: u64::try_from(time / 1_000_000).unwrap_or(u64::MAX),
            person: self.node.clone(),
            partner: None,
            origin: self.node.clone(),
            service,
            reason,
            action,
        });
    }

    fn service(&self, database: &DatabaseId) -> Option<ServiceId> {
        let catalogue = self.fleet.catalogue();
        let catalogue = catalogue.borrow();
        catalogue
            .database(database)
            .map(|(entry, _)| entry.name.clone())
    }
}

/// Returns the current time in nanoseconds since the Unix epoch.
fn unix_nanos() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_nanos())
}
