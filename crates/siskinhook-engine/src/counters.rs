//! Counters of the request path, for metrics.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use serde::Serialize;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counters since the start of the node.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: AtomicU64,)*
        }

        /// The counters at one moment.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
        pub struct CountersSnapshot {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl Counters {
            /// Reads all counters.
            #[must_use]
            pub fn snapshot(&self) -> CountersSnapshot {
                CountersSnapshot { $($name: self.$name.load(Relaxed),)* }
            }
        }

        impl CountersSnapshot {
            /// Lists names and values, for a metrics exporter.
            #[must_use]
            pub fn list(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name),)*]
            }
        }
    };
}

counters! {
    /// Reads run by a replica.
    replica_reads,
    /// Reads run by the primary.
    primary_reads,
    /// Writes acknowledged, transactions included.
    writes,
    /// Statements inside transactions.
    inner_statements,
    /// Requests forwarded to another node.
    forwarded,
    /// Requests run by an owner on this node.
    owned,
    /// Requests sent to another server or owner after "not fresh", "not owner" or "not primary".
    reroutes,
    /// Requests sent again after a failure.
    retries,
    /// Retries refused because the retry budget was used up.
    retries_refused,
    /// Outcomes looked up by request id.
    lookups,
    /// Requests whose outcome a lookup determined.
    resolved,
    /// Failures reported as "not run".
    not_run,
    /// Failures reported as "may have run".
    may_have_run,
    /// Failures reported as "ran".
    ran,
    /// Requests refused because of load.
    refused,
    /// Requests whose deadline passed.
    deadlines,
    /// Requests answered "not fresh".
    not_fresh,
    /// Writes that no majority confirmed.
    not_confirmed,
    /// Short statements that waited for a slot.
    short_waits,
    /// Microseconds that short statements waited for slots.
    short_wait_micros,
    /// Long statements that waited for a slot.
    long_waits,
    /// Microseconds that long statements waited for slots.
    long_wait_micros,
    /// Server connections opened for data.
    connections_opened,
    /// Connections closed because they were silent while the server answered.
    silent_connections,
    /// Promotions completed by this node.
    promotions,
    /// Milliseconds from the last answer of the old primary to the promotions completed here.
    failover_gap_millis,
    /// Polls of groups.
    polls,
}

/// Adds one to a counter.
pub(crate) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Relaxed);
}

/// Adds to a counter.
pub(crate) fn add(counter: &AtomicU64, amount: u64) {
    counter.fetch_add(amount, Relaxed);
}
