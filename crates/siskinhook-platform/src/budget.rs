//! Limits a node's calls to its share of the platform's capacity, with backoff while the
//! platform fails or is slow.

use std::{
    fmt,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Capacity of a token bucket, in seconds of its rate. It allows short bursts, so that the calls
/// of one task need not wait.
const BURST_SECONDS: f64 = 2.0;

/// Maximum number of reads by which urgent work may exceed the rate: showing, comparing and
/// making one edit takes about 12. The debt is repaid from later tokens, so the rate over minutes
/// stays the same.
const MAX_READ_DEBT: f64 = 16.0;

/// Maximum number of writes by which urgent work (an edit, a promotion) may exceed the rate.
const MAX_WRITE_DEBT: f64 = 4.0;

/// Initial upper bound of the backoff; doubled by each further failure.
const BACKOFF_BASE: Duration = Duration::from_millis(250);

/// Largest upper bound of the backoff. After an outage the nodes return spread over this time.
const BACKOFF_CAP: Duration = Duration::from_secs(10);

/// Number of consecutive failed or slow calls after which the platform counts as down.
const DOWN_FAILURES: u32 = 3;

/// Health of the platform, as observed by the calls of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The last call was answered in time.
    Good,
    /// The last call was slow or failed.
    Slow,
    /// At least three calls in a row failed or were slow, and the last one failed.
    Down,
}

/// Kind of a call. Reads and writes have separate shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A read of the table, the object store or the list of VMs.
    Read,
    /// A write to the table or the object store.
    Write,
}

/// Capacity of the platform and the part of it that the fleet may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetSettings {
    /// Reads per second that the platform serves.
    pub reads: u32,
    /// Writes per second that the platform serves.
    pub writes: u32,
    /// Percentage of the capacity that the whole fleet may use.
    pub share: u32,
    /// Minimum duration of a call that counts as slow.
    pub slow: Duration,
    /// Maximum wait for a token. A call that would wait longer is refused.
    pub max_wait: Duration,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            reads: 2000,
            writes: 300,
            share: 20,
            slow: Duration::from_secs(1),
            max_wait: Duration::from_secs(10),
        }
    }
}

/// Reason why a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The node's share is used up. The call would have to wait for this time, which is longer
    /// than the maximum wait.
    Share(Duration),
    /// The platform failed or was slow. The next call may be sent after this time.
    Backoff(Duration),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Share(wait) => write!(
                f,
                "this node's share of the platform is used up for {} ms; try again then",
                wait.as_millis()
            ),
            Self::Backoff(wait) => write!(
                f,
                "the platform failed or was slow, the next call is due in {} ms; try again then",
                wait.as_millis()
            ),
        }
    }
}

#[derive(Debug)]
struct Bucket {
    rate: f64,
    tokens: f64,
    updated: Instant,
}

/// Token buckets and backoff of one node. Performs no I/O; the current time is passed in.
#[derive(Debug)]
pub struct Budget {
    settings: BudgetSettings,
    reads: Bucket,
    writes: Bucket,
    failures: u32,
    health: Health,
    backoff_until: Option<Instant>,
    random: SmallRng,
}

impl Budget {
    /// Creates the budget of a node in a fleet of `nodes` nodes.
    #[must_use]
    pub fn new(settings: BudgetSettings, nodes: usize, seed: u64, now: Instant) -> Self {
        let bucket = || Bucket {
            rate: 0.0,
            tokens: 1.0,
            updated: now,
        };
        let mut budget = Self {
            settings,
            reads: bucket(),
            writes: bucket(),
            failures: 0,
            health: Health::Good,
            backoff_until: None,
            random: SmallRng::seed_from_u64(seed),
        };
        budget.set_nodes(nodes, now);
        budget
    }

    /// Sets the number of nodes among which the fleet's share is divided.
    pub fn set_nodes(&mut self, nodes: usize, now: Instant) {
        let nodes = f64::from(u32::try_from(nodes.max(1)).unwrap_or(u32::MAX));
        let fraction = f64::from(self.settings.share) / 100.0 / nodes;
        self.reads
            .set_rate(f64::from(self.settings.reads) * fraction, now);
        self.writes
            .set_rate(f64::from(self.settings.writes) * fraction, now);
    }

    /// Reserves a token for a call and returns the delay before the call may be sent.
    ///
    /// Urgent calls are sent immediately, even during a backoff, until the maximum debt is reached.
    ///
    /// # Errors
    /// Fails when the call would wait too long, or during a backoff. Nothing is reserved then.
    pub fn reserve(
        &mut self,
        kind: CallKind,
        urgent: bool,
        now: Instant,
    ) -> Result<Duration, Refusal> {
        if !urgent
            && let Some(backoff_until) = self.backoff_until
            && backoff_until > now
        {
            return Err(Refusal::Backoff(backoff_until - now));
        }
        let max_wait = self.settings.max_wait;
        let (bucket, debt) = match kind {
            CallKind::Read => (&mut self.reads, MAX_READ_DEBT),
            CallKind::Write => (&mut self.writes, MAX_WRITE_DEBT),
        };
        let debt = if urgent { debt } else { 0.0 };
        bucket
            .take_token(debt, max_wait, now)
            .map_err(Refusal::Share)
    }

    /// Records a call that the platform answered after `elapsed`. Returns the health of the
    /// platform if it changed.
    pub fn record_answer(&mut self, elapsed: Duration, now: Instant) -> Option<Health> {
        if elapsed >= self.settings.slow {
            self.back_off(now);
            return self.set_health(Health::Slow);
        }
        self.failures = 0;
        self.backoff_until = None;
        self.set_health(Health::Good)
    }

    /// Records a call that failed. Returns the health of the platform if it changed.
    pub fn record_failure(&mut self, now: Instant) -> Option<Health> {
        self.back_off(now);
        // Empties the buckets: calls that queued up during an outage must not be sent in one burst
        // afterwards.
        for bucket in [&mut self.reads, &mut self.writes] {
            bucket.refill(now);
            bucket.tokens = bucket.tokens.min(0.0);
        }
        self.set_health(if self.failures >= DOWN_FAILURES {
            Health::Down
        } else {
            Health::Slow
        })
    }

    /// Sets the health and returns it if it changed.
    fn set_health(&mut self, health: Health) -> Option<Health> {
        let changed = health != self.health;
        self.health = health;
        changed.then_some(health)
    }

    /// Starts a backoff with full jitter: a uniformly random time between zero and an upper bound
    /// that doubles with each failure.
    fn back_off(&mut self, now: Instant) {
        let ceiling = BACKOFF_BASE
            .saturating_mul(1 << self.failures.min(16))
            .min(BACKOFF_CAP);
        self.failures += 1;
        let wait = ceiling.mul_f64(self.random.random::<f64>());
        self.backoff_until = Some(now + wait);
    }
}

impl Bucket {
    /// Returns the maximum number of tokens.
    fn capacity(&self) -> f64 {
        (self.rate * BURST_SECONDS).max(1.0)
    }

    fn set_rate(&mut self, rate: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(self.capacity());
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.capacity());
        self.updated = self.updated.max(now);
    }

    /// Takes a token and returns the time until the call is due. Up to `debt` tokens may be taken
    /// in advance without a wait. Fails with that time when it is longer than `max_wait`.
    fn take_token(
        &mut self,
        debt: f64,
        max_wait: Duration,
        now: Instant,
    ) -> Result<Duration, Duration> {
        self.refill(now);
        let remaining = self.tokens - 1.0;
        let shortfall = -debt - remaining;
        let wait = if shortfall <= 0.0 {
            Duration::ZERO
        } else {
            Duration::try_from_secs_f64(shortfall / self.rate).unwrap_or(Duration::MAX)
        };
        if wait > max_wait {
            return Err(wait);
        }
        self.tokens = remaining;
        Ok(wait)
    }
}
