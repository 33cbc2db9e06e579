//! Counters of the request path, exported as metrics.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use serde::Serialize;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counters since the start of the node.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: AtomicU64,)*
        }

        /// Values of all counters at one point in time.
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
            /// Returns the name and value of each counter, for a metrics exporter.
            #[must_use]
            pub fn list(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name),)*]
            }
        }
    };
}

counters! {
    /// Reads served by a replica.
    replica_reads,
    /// Reads served by the primary.
    primary_reads,
    /// Acknowledged writes, including transactions.
    writes,
    /// Statements inside transactions.
    inner_statements,
    /// Requests forwarded to another node.
    forwarded,
    /// Requests run by this node as the owner of the server.
    owned,
    /// Requests sent to another server or owner after "not fresh", "not owner" or "not primary".
    reroutes,
    /// Requests sent again after a failure.
    retries,
    /// Retries refused because the retry budget was used up.
    retries_refused,
    /// Outcomes looked up by request id.
    lookups,
    /// Requests whose outcome was determined by a lookup.
    resolved,
    /// Failures reported as "not run".
    not_run,
    /// Failures reported as "may have run".
    may_have_run,
    /// Failures reported as "ran".
    ran,
    /// Requests refused because of overload.
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
    /// Connections closed because they hung: a probe on a new connection showed that the server no
    /// longer ran the statement, or could not reach the server.
    silent_connections,
    /// Promotions completed by this node.
    promotions,
    /// Milliseconds from the last answer of the old primary to the completed promotion, summed
    /// over the promotions of this node.
    failover_gap_millis,
    /// Polls of database groups.
    polls,
}

/// Increments a counter by one.
pub(crate) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Relaxed);
}

/// Increments a counter by an amount.
pub(crate) fn add(counter: &AtomicU64, amount: u64) {
    counter.fetch_add(amount, Relaxed);
}
