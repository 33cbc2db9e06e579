//! How fresh the data of a read must be.

use std::time::Instant;

use crate::LogPoint;

/// Requirements of a read on the data it sees; all that are present must hold.
///
/// The instants belong to the clock of one node. On a link they travel as ages and are turned
/// back into instants on arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    /// The data contains the write at this log point.
    pub point: Option<LogPoint>,
    /// The data contains all writes acknowledged before this instant.
    pub since: Option<Instant>,
}
