//! Updates the metrics and the readiness of a node.

use std::time::Duration;

use siskinhook_catalogue::AuditLog;
use siskinhook_engine::ServerReport;
use siskinhook_operator::NodeView;
use siskinhook_platform::CountersSnapshot as PlatformSnapshot;
use siskinhook_telemetry::{FleetLog, Metrics, Readiness};
use siskinhook_types::MemberState;

use crate::{
    node::{NodeEngine, NodePlatform},
    view::View,
};

/// Interval between two samples. It is shorter than usual scrape intervals of several seconds.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Task that periodically copies the state of a node to its metrics and readiness.
pub(crate) struct Monitor {
    pub(crate) view: View,
    pub(crate) engine: NodeEngine,
    pub(crate) platform: NodePlatform,
    pub(crate) audit: AuditLog<NodePlatform>,
    pub(crate) metrics: Metrics,
    pub(crate) readiness: Readiness,
}

impl Monitor {
    /// Samples until the task is aborted when the node ends.
    pub(crate) async fn run(self) {
        let mut last_counters = PlatformSnapshot::default();
        let mut fleet_log = FleetLog::default();
        let mut intent = self.view.intent();
        loop {
            self.update_readiness();
            self.sample_fleet();
            fleet_log.observe(&self.view.fleet());
            self.sample_engine();
            let current = self.platform.counters().snapshot();
            self.sample_platform(last_counters, current);
            last_counters = current;
            // Report a drain at once: the load balancer has only `drain.notice` to react to it.
            let _ = tokio::time::timeout(SAMPLE_INTERVAL, intent.changed()).await;
        }
    }

    fn update_readiness(&self) {
        if self.view.is_draining() {
            self.readiness.set_waiting("the node is draining");
        } else if let Some(reason) = self.view.waiting_reason() {
            self.readiness.set_waiting(reason);
        } else {
            self.readiness.set_ready();
        }
    }

    fn sample_fleet(&self) {
        let fleet = self.view.fleet();
        for (name, state) in [
            ("alive", MemberState::Alive),
            ("suspect", MemberState::Suspect),
            ("leaving", MemberState::Leaving),
            ("dead", MemberState::Dead),
        ] {
            let count = fleet.members.values().filter(|m| m.state == state).count();
            self.metrics.set_members(name, count as u64);
        }
        self.metrics
            .set_catalogue_revision(self.view.catalogue().revision);
        self.metrics.set_callers(self.view.session_count() as u64);
    }

    fn sample_engine(&self) {
        let unmatched = self
            .metrics
            .add_engine_totals(&self.engine.counters().snapshot().list());
        debug_assert!(
            unmatched.is_empty(),
            "counters without a metric: {unmatched:?}"
        );
        let report = self.engine.report();
        self.metrics.set_active_requests(report.active);
        let mut owned = 0;
        for (name, database) in report.databases {
            if let Some(term) = database.term {
                self.metrics.set_group_term(&name, term);
            }
            if let Some(age) = database.anchor_age {
                self.metrics
                    .set_anchor_age(&name, Duration::from_millis(age));
            }
            for (server, report) in database.servers {
                owned += u64::from(report.locked);
                self.sample_server(&server, &report);
            }
        }
        self.metrics.set_owned_servers(owned);
    }

    fn sample_server(&self, server: &str, report: &ServerReport) {
        if let Some(lag) = report.lag {
            self.metrics.set_replica_lag(server, lag);
        }
        if let Some(queue) = report.queue {
            self.metrics.set_queue_length(server, queue);
        }
        if let Some(connections) = report.connections {
            self.metrics.set_pool_connections(server, connections);
        }
    }

    fn sample_platform(&self, previous: PlatformSnapshot, current: PlatformSnapshot) {
        let increase = current.since(previous);
        for (kind, result, calls) in increase.list() {
            self.metrics.add_platform_calls(kind, result, calls);
        }
        self.metrics
            .add_platform_wait(Duration::from_millis(increase.waited));
        let (waiting, _) = self.audit.queue_counts();
        self.metrics.set_audit_waiting(waiting as u64);
    }
}
