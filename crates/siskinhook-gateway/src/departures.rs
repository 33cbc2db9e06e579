//! Replicas that left while their receipts may still count.

use std::time::Duration;

use siskinhook_types::LogPoint;

use crate::{BootInstant, Departed, Watermark};

/// Time for which a replica that left is remembered. A primary that was cut off is back or
/// replaced within it; without a limit a lost pair of servers would stop the service for good.
const RETENTION: Duration = Duration::from_secs(15);

/// A replica that left, or the start of this process: who left before is unknown.
#[derive(Clone, Copy, Debug)]
struct Departure {
    at: BootInstant,
    /// End of the primary's log at a later time: it covers what the replica had received.
    covered: Option<LogPoint>,
}

/// The departures of one group.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    entries: Vec<Departure>,
}

impl Departures {
    /// Adds a replica that left at this time.
    pub fn add(&mut self, at: BootInstant) {
        let covered = None;
        self.entries.push(Departure { at, covered });
    }

    /// Takes in a proof of how far the primary's log reached.
    pub fn record_watermark(&mut self, watermark: Watermark) {
        for departure in &mut self.entries {
            if departure.covered.is_none() && watermark.at > departure.at {
                departure.covered = Some(watermark.point);
            }
        }
    }

    /// Forgets all departures: a new primary leads, so the question was settled.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Returns what the choice of a successor has to respect.
    pub fn departed(&mut self, now: BootInstant) -> Departed {
        self.entries
            .retain(|departure| now.elapsed_since(departure.at) < RETENTION);
        let missing = self.entries.iter().filter(|d| d.covered.is_none()).count();
        let floor = self.entries.iter().filter_map(|d| d.covered).max();
        Departed { missing, floor }
    }
}
