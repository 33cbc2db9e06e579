//! Shutdown phases of a front end.

/// Phase of a front end. The variants are in the order of a shutdown.
///
/// A front end can return from `Draining` to `Serving`. The later phases cannot be reverted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Callers are served.
    #[default]
    Serving,
    /// Idle connections are closed with SQLSTATE 57P01, other connections once their statement or
    /// transaction has ended. The listener stays open, so that cancel requests are still served;
    /// the backend refuses new sessions.
    Draining,
    /// Like `Draining`, but the listener is closed.
    Closing,
    /// The drain deadline has passed. Work in progress is aborted, and its callers get an error
    /// that states whether the statement may have run.
    Ended,
}
