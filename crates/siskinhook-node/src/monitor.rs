//! Feeds the metrics and the readiness of a node.

use std::time::Duration;

use siskinhook_operator::NodeView;
use siskinhook_platform::CountersSnapshot as PlatformSnapshot;
use siskinhook_telemetry::{Metrics, Readiness};
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
    pub(crate) metrics: Metrics,
    pub(crate) readiness: Readiness,
}

impl Monitor {
    /// Samples until the node ends.
    pub(crate) async fn run(self) {
        let mut platform = PlatformSnapshot::default();
        let mut intent = self.view.intent();
        loop {
            self.report_readiness();
            self.sample_members();
            self.sample_groups();
            let now = self.platform.counters().snapshot();
            self.sample_platform(&platform, &now);
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

    fn sample_groups(&self) {
        for (name, database) in self.engine.report().databases {
            if let Some(term) = database.term {
                self.metrics.group_term(&name, term);
            }
            if let Some(age) = database.anchor_age {
                self.metrics.anchor_age(&name, Duration::from_millis(age));
            }
            for (server, report) in database.servers {
                if let Some(lag) = report.lag {
                    self.metrics.replica_lag(&server, lag);
                }
            }
        }
    }

    fn sample_platform(&self, before: &PlatformSnapshot, now: &PlatformSnapshot) {
        for (kind, result, now, before) in [
            ("read", "done", now.reads, before.reads),
            ("write", "done", now.writes, before.writes),
        ] {
            self.metrics
                .platform_calls(kind, result, now.saturating_sub(before));
        }
    }
}
