//! Events of the fleet, from one view to the next.

use std::collections::HashMap;

use siskinhook_types::{FleetView, MemberState, NodeId, Revision};

use crate::{Event, event};

/// Logs what changed since the view that it saw last. The first view is the starting point and
/// logs nothing but the catalogue revision.
#[derive(Debug, Default)]
pub struct FleetLog {
    states: HashMap<NodeId, MemberState>,
    started: bool,
    cut_off: bool,
    revision: Revision,
}

impl FleetLog {
    /// Compares a view with the one before.
    pub fn observe(&mut self, view: &FleetView) {
        let mut alive = 0;
        let mut others = 0;
        for member in view.members.values() {
            if member.name == view.local {
                self.revision(member.revision);
                continue;
            }
            others += 1;
            let reached = matches!(member.state, MemberState::Alive | MemberState::Leaving);
            alive += usize::from(reached);
            let before = self.states.insert(member.name.clone(), member.state);
            if self.started && before != Some(member.state) {
                let name = member.name.as_str();
                let zone = member.zone.as_str();
                let (event, text) = describe(before, member.state);
                event!(event, node = name, zone = zone; "node {name} {text}");
            }
        }
        self.states
            .retain(|name, _| view.members.contains_key(name));
        self.started = true;
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

    fn revision(&mut self, revision: Revision) {
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
        (_, MemberState::Dead) => (Event::MemberDead, "is held to be gone"),
        (_, MemberState::Leaving) => (Event::MemberLeaving, "is leaving"),
        (Some(MemberState::Suspect), MemberState::Alive) => (Event::MemberAlive, "answers again"),
        (_, MemberState::Alive) => (Event::MemberJoined, "joined the fleet"),
    }
}
