//! Logs fleet events by comparing successive views of the fleet.

use std::collections::HashMap;

use siskinhook_types::{FleetView, MemberState, NodeId, Revision};

use crate::{Event, event};

/// Logs the differences between successive views of the fleet.
///
/// The first view is the baseline: its members are not logged, but its catalogue revision is.
#[derive(Debug, Default)]
pub struct FleetLog {
    states: HashMap<NodeId, MemberState>,
    has_baseline: bool,
    cut_off: bool,
    revision: Revision,
}

impl FleetLog {
    /// Compares a view with the previous one and logs the differences.
    pub fn observe(&mut self, view: &FleetView) {
        let mut alive = 0;
        let mut others = 0;
        for member in view.members.values() {
            if member.name == view.local {
                self.log_revision(member.revision);
                continue;
            }
            others += 1;
            let is_reachable = matches!(member.state, MemberState::Alive | MemberState::Leaving);
            alive += usize::from(is_reachable);
            let before = self.states.insert(member.name.clone(), member.state);
            if self.has_baseline && before != Some(member.state) {
                let name = member.name.as_str();
                let zone = member.zone.as_str();
                let (event, text) = describe(before, member.state);
                event!(event, node = name, zone = zone; "node {name} {text}");
            }
        }
        self.states
            .retain(|name, _| view.members.contains_key(name));
        self.has_baseline = true;
        let cut_off = alive * 2 < others;
        if cut_off != self.cut_off {
            let event = if cut_off {
                Event::CutOff
            } else {
                Event::Reconnected
            };
            event!(event, alive = alive, others = others; "{alive} of {others} other nodes are alive");
        }
        self.cut_off = cut_off;
    }

    fn log_revision(&mut self, revision: Revision) {
        if revision > self.revision {
            event!(
                Event::CatalogueApplied, revision = revision;
                "catalogue revision {revision} is in force"
            );
            self.revision = revision;
        }
    }
}

fn describe(before: Option<MemberState>, after: MemberState) -> (Event, &'static str) {
    match (before, after) {
        (_, MemberState::Suspect) => (Event::MemberSuspect, "does not answer"),
        (_, MemberState::Dead) => (Event::MemberDead, "is considered dead"),
        (_, MemberState::Leaving) => (Event::MemberLeaving, "is leaving"),
        (Some(MemberState::Suspect), MemberState::Alive) => (Event::MemberAlive, "answers again"),
        (_, MemberState::Alive) => (Event::MemberJoined, "joined the fleet"),
    }
}
