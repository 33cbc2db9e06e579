//! Phases of a front end between serving and its end.

/// Whether a front end takes callers, in the order of a shutdown.
///
/// `Draining` can be taken back; the other phases only go forward.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Callers are served.
    #[default]
    Serving,
    /// Idle connections are closed with SQLSTATE 57P01, others after their statement or
    /// transaction. The listener stays open: cancel requests are served, and the backend
    /// refuses new sessions.
    Draining,
    /// As `Draining`, with the listener closed.
    Closing,
    /// The time for work in progress has passed. It is cut off, and its callers are told
    /// whether it ran.
    Ended,
}
