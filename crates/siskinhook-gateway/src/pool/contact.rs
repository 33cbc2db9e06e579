//! The time for which one process of a server has certainly been running.

use tokio::time::Instant;

/// The span during which one process of a server was running without interruption, as far as the
/// answers on its connections show. A restart breaks all connections, so a connection that answers
/// proves that the process has been running since the connection was opened.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contact {
    /// Opening of the earliest connection, and sending of the latest request that was answered.
    span: Option<(Instant, Instant)>,
}

impl Contact {
    /// Records that a connection opened at `opened` answered a request sent at `sent`.
    pub fn record_reply(&mut self, opened: Instant, sent: Instant) {
        let since = self.running_since(opened);
        self.span = match self.span {
            // The spans overlap, so they are of the same process.
            Some((start, end)) if since <= start && start <= sent => Some((since, end.max(sent))),
            Some((start, end)) if end > sent => Some((start, end)),
            _ => Some((since, sent)),
        };
    }

    /// Returns since when the process that accepted a connection at `opened` has certainly been
    /// running.
    #[must_use]
    pub fn running_since(&self, opened: Instant) -> Instant {
        match self.span {
            Some((start, end)) if start <= opened && opened <= end => start,
            _ => opened,
        }
    }
}
