//! Counters and the latency histogram of a node, in the text format of Prometheus.

use std::{cell::Cell, fmt::Write as _, time::Duration};

/// Upper bounds of the histogram buckets; they bracket the usual latency objectives.
const BUCKET_BOUNDS_MILLIS: [u64; 10] = [2, 5, 10, 20, 50, 100, 200, 400, 800, 1500];

/// A single-threaded counter.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Adds `n` to the counter.
    pub fn add(&self, n: u64) {
        self.0.set(self.0.get().wrapping_add(n));
    }

    /// Returns the value.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

macro_rules! counters {
    ($($name:ident, $metric:literal, $help:literal;)*) => {
        /// Counters of the gateway.
        #[derive(Debug, Default)]
        pub struct Counters {
            $(#[doc = $help] pub $name: Counter,)*
            /// Number of statements in each latency bucket; the last bucket has no bound.
            buckets: [Counter; BUCKET_BOUNDS_MILLIS.len() + 1],
            /// Sum of the latencies in microseconds.
            sum_micros: Counter,
        }

        impl Counters {
            /// Writes all metrics in the text format of Prometheus.
            #[must_use]
            pub fn text(&self) -> String {
                let mut text = String::new();
                $(
                    // Writing to a String cannot fail.
                    let _ = writeln!(
                        text,
                        "# HELP {0} {1}\n# TYPE {0} counter\n{0} {2}",
                        $metric, $help, self.$name.get()
                    );
                )*
                self.write_histogram(&mut text);
                text
            }
        }
    };
}

counters! {
    sessions, "siskinhook_gateway_sessions_total", "Sessions that callers opened.";
    statements, "siskinhook_gateway_statements_total", "Statements that callers sent.";
    refused, "siskinhook_gateway_refused_total", "Statements refused with the promise that nothing is kept.";
    unknown, "siskinhook_gateway_unknown_total", "Statements whose outcome is unknown to the caller.";
    withheld, "siskinhook_gateway_withheld_commits_total", "Commits that were not acknowledged because no listed replica showed that it received them.";
    retries, "siskinhook_gateway_retries_total", "Attempts after the first one of a statement.";
    lagging, "siskinhook_gateway_lagging_total", "Attempts at a replica that lacked the position.";
    primary_checks, "siskinhook_gateway_proofs_total", "Questions to a primary whether it still leads.";
    confirmations, "siskinhook_gateway_confirmations_total", "Questions to a replica whether it was paused for a promotion, or holds a commit.";
    dials, "siskinhook_gateway_dials_total", "Connections to servers that were opened.";
    promotions, "siskinhook_gateway_promotions_total", "Promotions that this node ordered.";
    store_calls, "siskinhook_gateway_store_calls_total", "Calls to the platform's store.";
    store_failures, "siskinhook_gateway_store_failures_total", "Calls to the platform's store without a usable answer.";
}

impl Counters {
    /// Records the latency of a statement in the histogram.
    pub fn record_latency(&self, time: Duration) {
        let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let index = BUCKET_BOUNDS_MILLIS.partition_point(|bound| *bound < millis);
        self.buckets[index].add(1);
        self.sum_micros
            .add(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
    }

    fn write_histogram(&self, text: &mut String) {
        const NAME: &str = "siskinhook_gateway_statement_seconds";
        let mut sum = 0;
        // Writing to a String cannot fail.
        let _ = writeln!(
            text,
            "# HELP {NAME} Time from a statement's arrival to its answer.\n# TYPE {NAME} histogram"
        );
        for (bound, bucket) in BUCKET_BOUNDS_MILLIS.iter().zip(&self.buckets) {
            sum += bucket.get();
            let seconds = Duration::from_millis(*bound).as_secs_f64();
            let _ = writeln!(text, "{NAME}_bucket{{le=\"{seconds}\"}} {sum}");
        }
        sum += self.buckets[BUCKET_BOUNDS_MILLIS.len()].get();
        let total = Duration::from_micros(self.sum_micros.get()).as_secs_f64();
        let _ = writeln!(
            text,
            "{NAME}_bucket{{le=\"+Inf\"}} {sum}\n{NAME}_sum {total}\n{NAME}_count {sum}"
        );
    }
}
