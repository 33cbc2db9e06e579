//! Server selection for reads.

use std::time::{Duration, Instant};

use rand::{Rng, rngs::SmallRng};
use siskinhook_types::ServerId;

use crate::FreshnessAnswer;

/// Settings of server selection. The penalties are added to a server's expected wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SelectSettings {
    /// Penalty for a server in another availability zone than the entry node, to which the caller
    /// is connected.
    pub zone_penalty: Duration,
    /// Penalty for a server whose data is not fresh enough yet.
    pub stale_penalty: Duration,
    /// Penalty for the primary, which also serves the writes.
    pub primary_penalty: Duration,
    /// Time over which a recovered server returns to its full share of reads.
    pub ramp_up: Duration,
}

impl Default for SelectSettings {
    fn default() -> Self {
        Self {
            zone_penalty: Duration::from_millis(5),
            stale_penalty: Duration::from_millis(50),
            primary_penalty: Duration::from_millis(250),
            ramp_up: Duration::from_secs(5),
        }
    }
}

/// A server that could serve a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Server that the read would be sent to.
    pub server: ServerId,
    /// Whether the server runs in the entry node's availability zone.
    pub local: bool,
    /// Whether the server is the primary.
    pub primary: bool,
    /// Known freshness of the server; `NeedAnchor` when nothing is known.
    pub freshness: FreshnessAnswer,
    /// Expected wait for a slot on the server.
    pub wait: Duration,
    /// When the server became usable again, or `None` when it was never unusable.
    pub recovered: Option<Instant>,
}

impl Candidate {
    fn cost(&self, settings: &SelectSettings) -> Duration {
        let mut cost = self.wait;
        if !self.local {
            cost += settings.zone_penalty;
        }
        if matches!(self.freshness, FreshnessAnswer::Wait(_)) {
            cost += settings.stale_penalty;
        }
        if self.primary {
            cost += settings.primary_penalty;
        }
        cost
    }

    /// Share of its full load that the server gets: rises from 0.1 to 1 over `ramp_up`.
    fn load_share(&self, settings: &SelectSettings, now: Instant) -> f64 {
        let Some(at) = self.recovered else { return 1.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        (age / settings.ramp_up.as_secs_f64().max(1e-9)).clamp(0.1, 1.0)
    }
}

/// Chooses a server for a read and returns its index, or `None` when there are no candidates.
///
/// Compares two candidates and takes the one with the lower cost: its expected wait plus the
/// penalties for another zone, stale data and the primary. The first candidate is usually a fresh
/// replica in the entry node's zone when there is one; the others are drawn at random. Comparing
/// two candidates instead of taking the best of all keeps nodes with the same outdated load
/// figures from all choosing the same server.
pub fn choose_server(
    candidates: &[Candidate],
    settings: &SelectSettings,
    now: Instant,
    random: &mut SmallRng,
) -> Option<usize> {
    let is_preferred = |candidate: &Candidate| candidate.local && !candidate.primary;
    let is_fresh = |candidate: &Candidate| candidate.freshness == FreshnessAnswer::Fresh;
    // Draws only from the replicas when there are any, so that the primary is chosen only when
    // they are much more loaded.
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
    let first = match candidates
        .iter()
        .position(|c| is_preferred(c) && is_fresh(c))
    {
        Some(index) if random.random_bool(candidates[index].load_share(settings, now)) => index,
        _ => draw(random)?,
    };
    let mut second = draw(random)?;
    if second == first && candidates.len() > 1 {
        second = (first + 1) % candidates.len();
    }
    let shares = [first, second].map(|index| candidates[index].load_share(settings, now));
    let pick = if candidates[second].cost(settings) < candidates[first].cost(settings) {
        (second, first, shares[1])
    } else {
        (first, second, shares[0])
    };
    // A recovering server passes its excess load to the other candidate, unless that is the
    // primary.
    if pick.2 < 1.0 && !candidates[pick.1].primary && !random.random_bool(pick.2) {
        return Some(pick.1);
    }
    Some(pick.0)
}
