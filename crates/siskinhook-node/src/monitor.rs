//! Feeds the metrics and the readiness of a node.

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

/// Interval between two samples. Scrapes are usually seconds apart.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Samples the state of a node for metrics and readiness.
pub(crate) struct Monitor {
    pub(crate) view: View,
    pub(crate) engine: NodeEngine,
    pub(crate) platform: NodePlatform,
    pub(crate) audit: AuditLog<NodePlatform>,
    pub(crate) metrics: Metrics,
    pub(crate) readiness: Readiness,
}

impl Monitor {
    /// Samples until the node ends.
    pub(crate) async fn run(self) {
        let mut platform = PlatformSnapshot::default();
        let mut events = FleetLog::default();
        let mut intent = self.view.intent();
        loop {
            self.report_readiness();
            self.sample_members();
            events.observe(&self.view.fleet());
            self.sample_engine();
            let now = self.platform.counters().snapshot();
            self.sample_platform(platform, now);
            platform = now;
            // A drain shows at once: the load balancer has only the notice to act on it.
            let _ = tokio::time::timeout(SAMPLE_INTERVAL, intent.changed()).await;
        }
    }

    fn report_readiness(&self) {
        if self.view.is_draining() {
            self.readiness.set_waiting("the node is draining");
        } else if let Some(reason) = self.view.waits_for() {
            self.readiness.set_waiting(reason);
        } else {
            self.readiness.set_ready();
        }
    }

    fn sample_members(&self) {
        let fleet = self.view.fleet();
        for (name, state) in [
            ("alive", MemberState::Alive),
            ("suspect", MemberState::Suspect),
            ("leaving", MemberState::Leaving),
            ("dead", MemberState::Dead),
        ] {
            let count = fleet.members.values().filter(|m| m.state == state).count();
            self.metrics.members(name, count as u64);
        }
        self.metrics
            .catalogue_revision(self.view.catalogue().revision);
        self.metrics.callers(self.view.sessions() as u64);
    }

    fn sample_engine(&self) {
        let unknown = self
            .metrics
            .engine(&self.engine.counters().snapshot().list());
        debug_assert!(unknown.is_empty(), "counters without a metric: {unknown:?}");
        let report = self.engine.report();
        self.metrics.active_requests(report.active);
        let mut owned = 0;
        for (name, database) in report.databases {
            if let Some(term) = database.term {
                self.metrics.group_term(&name, term);
            }
            if let Some(age) = database.anchor_age {
                self.metrics.anchor_age(&name, Duration::from_millis(age));
            }
            for (server, report) in database.servers {
                owned += u64::from(report.locked);
                self.sample_server(&server, &report);
            }
        }
        self.metrics.owned_servers(owned);
    }

    fn sample_server(&self, server: &str, report: &ServerReport) {
        if let Some(lag) = report.lag {
            self.metrics.replica_lag(server, lag);
        }
        if let Some(queue) = report.queue {
            self.metrics.queue_length(server, queue);
        }
        if let Some(connections) = report.connections {
            self.metrics.pool(server, connections);
        }
    }

    fn sample_platform(&self, before: PlatformSnapshot, now: PlatformSnapshot) {
        let rise = now.since(before);
        for (kind, result, calls) in rise.list() {
            self.metrics.platform_calls(kind, result, calls);
        }
        self.metrics
            .platform_wait(Duration::from_millis(rise.waited));
        let (waiting, _) = self.audit.queue_counts();
        self.metrics.audit_waiting(waiting as u64);
    }
}
