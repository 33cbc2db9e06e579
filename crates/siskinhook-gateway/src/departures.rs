//! Replicas that left the group but may have acknowledged commits that are not yet accounted for.

use std::{net::SocketAddr, time::Duration};

use siskinhook_types::LogPoint;

use crate::{BootInstant, Departed, Watermark};

/// Time for which a lost primary is not replaced because replicas may have left before this process
/// started, if there is no record of the group's servers. A record that is lost for good, or was never
/// written, must not stop replacements for good.
const START_RETENTION: Duration = Duration::from_secs(15);
/// Departures that are kept, at most. A group has a few servers.
const MAX_DEPARTURES: usize = 64;

/// Departure of a replica. The start of this process counts as one, because replicas may have
/// left before it.
#[derive(Clone, Debug)]
struct Departure {
    /// Address of the replica; `None` for the start of this process.
    address: Option<SocketAddr>,
    /// Whether the replica's log is gone, so that a server at its address does not stand for it.
    erased: bool,
    /// Time after which no commit rests on the replica.
    at: BootInstant,
    /// Whether the record of the group's servers was seen to name the replica.
    recorded: bool,
    /// End of the primary's log at a later time, which includes all that the replica received.
    covered: Option<LogPoint>,
}

impl Departure {
    /// Whether it is of a replica that left an address with the log that it had.
    fn has_left(&self, address: SocketAddr) -> bool {
        self.address == Some(address) && !self.erased
    }

    /// Whether a replacement has to take the departure into account when the primary has been lost
    /// for `lost`.
    fn counts(&self, now: BootInstant, lost: Duration, limit: Option<Duration>) -> bool {
        let limit = match self.address {
            Some(_) => limit,
            None => Some(limit.map_or(START_RETENTION, |limit| limit.min(START_RETENTION))),
        };
        limit.is_none_or(|limit| lost.min(now.elapsed_since(self.at)) < limit)
    }
}

/// The departures of one group.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    entries: Vec<Departure>,
    /// Time for which a lost primary is not replaced for want of the log of a departed replica; `None`
    /// for as long as it takes: servers may come back at any time, and a successor without their logs
    /// lacks commits that callers were told of.
    limit: Option<Duration>,
}

impl Departures {
    /// Creates a list without departures.
    #[must_use]
    pub const fn new(limit: Option<Duration>) -> Self {
        let entries = Vec::new();
        Self { entries, limit }
    }

    /// Returns the addresses of the departures that `departed` leaves out because of the limit.
    pub fn outdated(
        &self,
        now: BootInstant,
        lost: Duration,
    ) -> impl Iterator<Item = Option<SocketAddr>> {
        let outdated = self
            .entries
            .iter()
            .filter(move |d| !d.counts(now, lost, self.limit));
        outdated.map(|departure| departure.address)
    }

    /// Records that this process started at `at`.
    pub fn add_start(&mut self, at: BootInstant) {
        self.push(None, false, at);
    }

    /// Adds the departure at `at` of the replica at an address.
    pub fn add(&mut self, address: SocketAddr, at: BootInstant) {
        self.push(Some(address), false, at);
    }

    /// Adds a replica that started again at `at` without the log that it had.
    pub fn add_erased(&mut self, address: SocketAddr, at: BootInstant) {
        self.push(Some(address), true, at);
    }

    fn push(&mut self, address: Option<SocketAddr>, erased: bool, at: BootInstant) {
        let covered = None;
        if self.entries.len() >= MAX_DEPARTURES {
            self.entries.remove(0);
        }
        self.entries.push(Departure {
            address,
            erased,
            at,
            recorded: false,
            covered,
        });
    }

    /// Whether replicas left that no watermark covers yet.
    #[must_use]
    pub fn has_uncovered(&self) -> bool {
        self.entries.iter().any(|d| d.covered.is_none())
    }

    /// Compares the departures with the addresses in the record of the group's servers. Replicas that
    /// have left the record are accounted for, and those that left before this process started are
    /// known.
    pub fn keep_recorded(&mut self, recorded: &[SocketAddr]) {
        let is_recorded = |d: &Departure| d.address.is_some_and(|a| recorded.contains(&a));
        self.entries
            .retain(|d| is_recorded(d) || (d.address.is_some() && !d.recorded));
        for departure in &mut self.entries {
            departure.recorded |= is_recorded(departure);
        }
    }

    /// Records that commits may rest until `until` on the departed replica at an address.
    pub fn extend(&mut self, address: SocketAddr, until: BootInstant) {
        let has_left = |d: &&mut Departure| d.has_left(address);
        for departure in self.entries.iter_mut().filter(has_left) {
            if until > departure.at {
                departure.at = until;
                departure.covered = None;
            }
        }
    }

    /// Whether the departure of a replica at an address is recorded.
    #[must_use]
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.entries.iter().any(|d| d.has_left(address))
    }

    /// Removes the departure of a replica that is back with the log that it had.
    pub fn remove(&mut self, address: SocketAddr) {
        self.entries.retain(|d| !d.has_left(address));
    }

    /// Records a watermark of the primary's log for the departures before it.
    pub fn record_watermark(&mut self, watermark: Watermark) {
        for departure in &mut self.entries {
            if departure.covered.is_none() && watermark.at > departure.at {
                departure.covered = Some(watermark.point);
            }
        }
    }

    /// Removes all departures. Called when a new primary leads, since its choice took them into
    /// account.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Returns the departures that the choice of a successor must take into account when the primary
    /// has been lost for `lost`. The logs at `reporting` addresses are known, so departures there do
    /// not count: a server that restarts under a new id, or takes the place of another, has the log
    /// that was at its address.
    #[must_use]
    pub fn departed(&self, now: BootInstant, lost: Duration, reporting: &[SocketAddr]) -> Departed {
        let counts = |departure: &&Departure| departure.counts(now, lost, self.limit);
        let reports = |departure: &&Departure| {
            let address = departure.address.as_ref();
            !departure.erased && address.is_some_and(|address| reporting.contains(address))
        };
        let silent: Vec<&Departure> = self
            .entries
            .iter()
            .filter(counts)
            .filter(|d| !reports(d))
            .collect();
        let missing = silent.iter().filter(|d| d.covered.is_none()).count();
        let floor = silent.iter().filter_map(|d| d.covered).max();
        Departed { missing, floor }
    }
}
