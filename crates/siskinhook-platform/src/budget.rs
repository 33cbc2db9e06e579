//! One node's share of the platform's capacity, and backoff when the platform is slow.

use std::{
    fmt,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Seconds of the rate that a bucket holds, so that the calls of one task need not wait.
const BURST_SECONDS: f64 = 2.0;

/// Reads that urgent work may take ahead of the rate: showing, comparing and making one edit
/// takes about 12. They are repaid from later tokens, so the rate over minutes stays the same.
const READ_DEBT: f64 = 16.0;

/// Writes that urgent work (an edit, a promotion) may take ahead of the rate.
const WRITE_DEBT: f64 = 4.0;

/// First ceiling of the backoff; doubles with each further failure.
const BACKOFF_BASE: Duration = Duration::from_millis(250);

/// Highest ceiling of the backoff: the nodes return over this time after an outage.
const BACKOFF_CAP: Duration = Duration::from_secs(10);

/// Failed or slow calls in a row from which the platform counts as down.
const DOWN: u32 = 3;

/// Health of the platform as this node's calls find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The last call was answered in time.
    Good,
    /// The last call was slow or failed.
    Slow,
    /// Three calls in a row failed.
    Down,
}

/// Kind of a call; reads and writes have separate shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A read of the table, the object store or the list of VMs.
    Read,
    /// A write.
    Write,
}

/// Capacity of the platform and the part of it that the fleet may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetSettings {
    /// Reads per second that the platform serves.
    pub reads: u32,
    /// Writes per second that the platform serves.
    pub writes: u32,
    /// Percent that the whole fleet may use.
    pub share: u32,
    /// Duration from which a call counts as slow.
    pub slow: Duration,
    /// Longest wait for a token; longer ones are refused.
    pub patience: Duration,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            reads: 2000,
            writes: 300,
            share: 20,
            slow: Duration::from_secs(1),
            patience: Duration::from_secs(10),
        }
    }
}

/// Why a call is not sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The node's share is used up for longer than a call waits.
    Share(Duration),
    /// The platform failed or was slow; the next call may be sent after this time.
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

/// Token buckets and backoff of one node. Pure: the clock is passed in.
#[derive(Debug)]
pub struct Budget {
    settings: BudgetSettings,
    reads: Bucket,
    writes: Bucket,
    failures: u32,
    health: Health,
    resume: Option<Instant>,
    random: SmallRng,
}

impl Budget {
    /// Creates the budget of one of `nodes` nodes.
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
            resume: None,
            random: SmallRng::seed_from_u64(seed),
        };
        budget.set_nodes(nodes, now);
        budget
    }

    /// Divides the fleet's share by a new number of nodes.
    pub fn set_nodes(&mut self, nodes: usize, now: Instant) {
        let nodes = f64::from(u32::try_from(nodes.max(1)).unwrap_or(u32::MAX));
        let part = f64::from(self.settings.share) / 100.0 / nodes;
        self.reads
            .set_rate(f64::from(self.settings.reads) * part, now);
        self.writes
            .set_rate(f64::from(self.settings.writes) * part, now);
    }

    /// Reserves a call and returns how long it must wait before it is sent.
    ///
    /// Urgent calls are sent at once while the debt allows it, also during a backoff.
    ///
    /// # Errors
    /// The call would wait too long; nothing is reserved.
    pub fn reserve(
        &mut self,
        kind: CallKind,
        urgent: bool,
        now: Instant,
    ) -> Result<Duration, Refusal> {
        if !urgent
            && let Some(resume) = self.resume
            && resume > now
        {
            return Err(Refusal::Backoff(resume - now));
        }
        let patience = self.settings.patience;
        let (bucket, debt) = match kind {
            CallKind::Read => (&mut self.reads, READ_DEBT),
            CallKind::Write => (&mut self.writes, WRITE_DEBT),
        };
        let debt = if urgent { debt } else { 0.0 };
        bucket.take(debt, patience, now).map_err(Refusal::Share)
    }

    /// Records a call that the platform answered after `elapsed`; returns the health of the
    /// platform when it changed.
    pub fn answered(&mut self, elapsed: Duration, now: Instant) -> Option<Health> {
        if elapsed >= self.settings.slow {
            self.back_off(now);
            return self.change(Health::Slow);
        }
        self.failures = 0;
        self.resume = None;
        self.change(Health::Good)
    }

    /// Records a call that failed; returns the health of the platform when it changed.
    pub fn failed(&mut self, now: Instant) -> Option<Health> {
        self.back_off(now);
        // Calls that piled up during an outage must not be sent in one burst afterwards.
        for bucket in [&mut self.reads, &mut self.writes] {
            bucket.refill(now);
            bucket.tokens = bucket.tokens.min(0.0);
        }
        self.change(if self.failures >= DOWN {
            Health::Down
        } else {
            Health::Slow
        })
    }

    fn change(&mut self, health: Health) -> Option<Health> {
        let changed = health != self.health;
        self.health = health;
        changed.then_some(health)
    }

    /// Full jitter: uniform between zero and a ceiling that doubles with each failure.
    fn back_off(&mut self, now: Instant) {
        let ceiling = BACKOFF_BASE
            .saturating_mul(1 << self.failures.min(16))
            .min(BACKOFF_CAP);
        self.failures += 1;
        let wait = ceiling.mul_f64(self.random.random::<f64>());
        self.resume = Some(now + wait);
    }
}

impl Bucket {
    fn depth(&self) -> f64 {
        (self.rate * BURST_SECONDS).max(1.0)
    }

    fn set_rate(&mut self, rate: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(self.depth());
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.depth());
        self.updated = self.updated.max(now);
    }

    /// Takes a token, at most `debt` of them in advance; returns the time until it is due.
    fn take(&mut self, debt: f64, patience: Duration, now: Instant) -> Result<Duration, Duration> {
        self.refill(now);
        let after = self.tokens - 1.0;
        let missing = -debt - after;
        let wait = if missing <= 0.0 {
            Duration::ZERO
        } else {
            Duration::try_from_secs_f64(missing / self.rate).unwrap_or(Duration::MAX)
        };
        if wait > patience {
            return Err(wait);
        }
        self.tokens = after;
        Ok(wait)
    }
}
