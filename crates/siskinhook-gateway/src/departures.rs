//! Replicas that left the group but may have acknowledged commits that are not yet accounted for.

use std::{net::SocketAddr, time::Duration};

use siskinhook_types::LogPoint;

use crate::{BootInstant, Departed, Watermark};

/// Time for which a departed replica is remembered. A primary that is cut off returns or is
/// replaced within this time. Without a limit, losing a primary and a replica together would block
/// failover of the service for good.
const RETENTION: Duration = Duration::from_secs(15);

/// Departure of a replica. The start of this process counts as one, because replicas may have
/// left before it.
#[derive(Clone, Debug)]
struct Departure {
    /// Address of the replica; `None` for the start of this process.
    address: Option<SocketAddr>,
    at: BootInstant,
    /// End of the primary's log at a later time, which includes all that the replica received.
    covered: Option<LogPoint>,
}

/// The departures of one group.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    entries: Vec<Departure>,
}

impl Departures {
    /// Records that this process started at `at`.
    pub fn add_start(&mut self, at: BootInstant) {
        self.push(None, at);
    }

    /// Adds the departure at `at` of the replica at an address.
    pub fn add(&mut self, address: SocketAddr, at: BootInstant) {
        self.push(Some(address), at);
    }

    fn push(&mut self, address: Option<SocketAddr>, at: BootInstant) {
        let covered = None;
        self.entries.push(Departure {
            address,
            at,
            covered,
        });
    }

    /// Removes the departure of a replica that is back with the log that it had.
    pub fn remove(&mut self, address: SocketAddr) {
        self.entries.retain(|d| d.address != Some(address));
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

    /// Returns the departures that the choice of a successor must take into account, and removes
    /// expired ones. The logs at `reporting` addresses are known, so departures there do not count: a
    /// server that restarts under a new id, or takes the place of another, has the log that was at
    /// its address.
    pub fn departed(&mut self, now: BootInstant, reporting: &[SocketAddr]) -> Departed {
        self.entries
            .retain(|departure| now.elapsed_since(departure.at) < RETENTION);
        let reports = |departure: &&Departure| {
            let address = departure.address.as_ref();
            address.is_some_and(|address| reporting.contains(address))
        };
        let silent: Vec<&Departure> = self.entries.iter().filter(|d| !reports(d)).collect();
        let missing = silent.iter().filter(|d| d.covered.is_none()).count();
        let floor = silent.iter().filter_map(|d| d.covered).max();
        Departed { missing, floor }
    }
}
