//! Freshness requirements of reads.

use std::time::Instant;

use crate::LogPoint;

/// Freshness requirements of a read. All requirements that are present must be met.
///
/// An instant is valid only for the clock of one node. Links therefore transmit it as an age,
/// which the receiving node converts back to an instant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    /// The data must contain the write at this log point.
    pub point: Option<LogPoint>,
    /// The data must contain all writes acknowledged before this instant.
    pub since: Option<Instant>,
}
