//! Selection of the server that a read is sent to.

use std::time::{Duration, Instant};

use rand::{Rng, rngs::SmallRng};
use siskinhook_types::ServerId;

use crate::FreshnessAnswer;

/// Settings of server selection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SelectSettings {
    /// Expected wait that a server of the own zone may have more than one of another zone.
    pub local: Duration,
    /// Wait assumed for a server that is not fresh enough yet.
    pub stale: Duration,
    /// Extra wait assumed for the primary, which also carries the writes.
    pub primary: Duration,
    /// Time in which a replica that came back gets its full share of reads.
    pub ramp: Duration,
}

impl Default for SelectSettings {
    fn default() -> Self {
        Self {
            local: Duration::from_millis(5),
            stale: Duration::from_millis(50),
            primary: Duration::from_millis(250),
            ramp: Duration::from_secs(5),
        }
    }
}

/// A server that could serve a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The server.
    pub server: ServerId,
    /// Whether it runs in the zone of the entry node.
    pub local: bool,
    /// Whether it is the primary.
    pub primary: bool,
    /// Freshness as far as known; `NeedAnchor` when unknown.
    pub freshness: FreshnessAnswer,
    /// Expected wait for a slot.
    pub wait: Duration,
    /// When it became usable again; `None` when it never was away.
    pub recovered_at: Option<Instant>,
}

impl Candidate {
    fn cost(&self, settings: &SelectSettings) -> Duration {
        let mut cost = self.wait;
        if !self.local {
            cost += settings.local;
        }
        if matches!(self.freshness, FreshnessAnswer::Wait(_)) {
            cost += settings.stale;
        }
        if self.primary {
            cost += settings.primary;
        }
        cost
    }

    /// Share of the full load that the server gets: from a tenth up to 1 over the ramp.
    fn share(&self, settings: &SelectSettings, now: Instant) -> f64 {
        let Some(recovered_at) = self.recovered_at else {
            return 1.0;
        };
        let age = now.saturating_duration_since(recovered_at).as_secs_f64();
        (age / settings.ramp.as_secs_f64().max(1e-9)).clamp(0.1, 1.0)
    }
}

/// Chooses a server for a read and returns its index; `None` without candidates.
///
/// Two candidates are drawn at random and the one with the lower cost is taken: expected wait
/// plus penalties for another zone, missing freshness and the primary. Drawing two instead of
/// taking the best keeps nodes with the same outdated load figures from all choosing the same
/// server.
pub fn choose_server(
    candidates: &[Candidate],
    settings: &SelectSettings,
    now: Instant,
    random: &mut SmallRng,
) -> Option<usize> {
    let best = |candidate: &Candidate| candidate.local && !candidate.primary;
    let fresh = |candidate: &Candidate| candidate.freshness == FreshnessAnswer::Fresh;
    // Narrows the draw to the replicas when there are any, so that the primary is drawn only
    // when they are much more loaded.
    let replicas = candidates.iter().filter(|c| !c.primary).count();
    let draw = |random: &mut SmallRng| -> Option<usize> {
        let count = if replicas > 0 {
            replicas
        } else {
            candidates.len()
        };
        if count == 0 {
            return None;
        }
        let nth = random.random_range(0..count);
        candidates
            .iter()
            .enumerate()
            .filter(|(_, c)| replicas == 0 || !c.primary)
            .nth(nth)
            .map(|(index, _)| index)
    };
    let first = match candidates.iter().position(|c| best(c) && fresh(c)) {
        Some(index) if random.random_bool(candidates[index].share(settings, now)) => index,
        _ => draw(random)?,
    };
    let mut second = draw(random)?;
    if second == first && candidates.len() > 1 {
        second = (first + 1) % candidates.len();
    }
    let shares = [first, second].map(|index| candidates[index].share(settings, now));
    let pick = if candidates[second].cost(settings) < candidates[first].cost(settings) {
        (second, first, shares[1])
    } else {
        (first, second, shares[0])
    };
    // A ramping server passes the surplus to the other one, unless that is the primary.
    if pick.2 < 1.0 && !candidates[pick.1].primary && !random.random_bool(pick.2) {
        return Some(pick.1);
    }
    Some(pick.0)
}
