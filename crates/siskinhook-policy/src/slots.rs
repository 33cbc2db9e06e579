//! Admission control and scheduling of statements on one server.
//!
//! The queue refuses statements whose expected wait is too long and lets callers take turns. It
//! keeps one slot free of long work when there are several, so that short work need not wait for
//! long work.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use siskinhook_types::{CallerId, Class, Failure, FailureKind, sqlstate};

use crate::ServiceTimes;

/// Settings of one server's queue.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotSettings {
    /// Maximum number of statements that run at the same time.
    pub slots: u32,
    /// Maximum number of waiting statements. One caller may have at most half of them.
    pub queue: u32,
    /// Maximum expected wait at which a short statement is admitted.
    pub short_limit: Duration,
    /// Maximum expected wait at which a long statement is admitted.
    pub long_limit: Duration,
    /// Mean service time assumed for short work until there are samples.
    pub initial_mean: Duration,
    /// A statement counts as long when its mean service time is above this multiple of the mean of
    /// short work.
    pub long_factor: f64,
    /// Minimum wait after which a long statement takes precedence over short ones.
    pub ageing: Duration,
    /// Maximum number of fingerprints whose service times are kept.
    pub max_fingerprints: usize,
}

impl Default for SlotSettings {
    fn default() -> Self {
        Self {
            slots: 2,
            queue: 1024,
            short_limit: Duration::from_millis(500),
            long_limit: Duration::from_mins(1),
            initial_mean: Duration::from_millis(5),
            long_factor: 8.0,
            ageing: Duration::from_secs(1),
            max_fingerprints: 1024,
        }
    }
}

/// Request of a statement for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Id that the owner assigned to the statement.
    pub id: u64,
    /// Caller of the statement. Callers with waiting statements take turns.
    pub caller: CallerId,
    /// Class of work that the request states.
    pub class: Class,
    /// Hash of the statement text.
    pub fingerprint: u64,
    /// Time at which the statement expires if it has not started.
    pub deadline: Instant,
    /// Whether the statement belongs to an open transaction. Such a statement is not refused for
    /// overload and runs before other short work, because its transaction holds a connection and
    /// locks.
    pub pinned: bool,
}

/// Action that the owner must take on a queued statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotAction {
    /// Start the statement. It holds a slot until `SlotQueue::finish` or `SlotQueue::cancel`.
    Start(u64),
    /// Fail the statement, which did not run before its deadline.
    Expire(u64),
}

/// Load of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of waiting statements.
    pub queued: u32,
    /// Number of statements that hold a slot.
    pub running: u32,
    /// Expected wait of a short statement from a caller without other waiting statements.
    pub wait: Duration,
}

#[derive(Clone, Debug)]
struct Waiting {
    id: u64,
    fingerprint: u64,
    expected: Duration,
    queued_at: Instant,
    expires_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    fingerprint: u64,
    class: Class,
    started: Instant,
    expected: Duration,
}

/// Waiting statements of one class. Callers take turns, so that none can block the others.
#[derive(Clone, Debug, Default)]
struct FairQueue {
    callers: IndexMap<CallerId, VecDeque<Waiting>>,
    /// Callers with waiting statements; the front one has the next turn.
    turn_order: VecDeque<CallerId>,
    /// Number of waiting statements of all callers.
    count: usize,
    /// Sum of the expected service times.
    total_expected: Duration,
}

/// Queue in front of the slots of one server.
#[derive(Clone, Debug)]
pub struct SlotQueue {
    settings: SlotSettings,
    times: ServiceTimes,
    pinned: VecDeque<Waiting>,
    short: FairQueue,
    long: FairQueue,
    running: IndexMap<u64, Running>,
}

impl FairQueue {
    fn push(&mut self, caller: CallerId, waiting: Waiting) {
        self.count += 1;
        self.total_expected += waiting.expected;
        let queue = self.callers.entry(caller.clone()).or_default();
        if queue.is_empty() {
            self.turn_order.push_back(caller);
        }
        queue.push_back(waiting);
    }

    fn len_of(&self, caller: &CallerId) -> usize {
        self.callers.get(caller).map_or(0, VecDeque::len)
    }

    /// Removes and returns the next statement of the caller whose turn it is.
    ///
    /// This is the one with the highest response ratio, (wait + expected) / expected: short
    /// statements run first, and longer ones gain precedence as they wait.
    fn pop(&mut self, now: Instant) -> Option<Waiting> {
        let caller = self.turn_order.pop_front()?;
        let queue = self.callers.get_mut(&caller)?;
        let ratio = |w: &Waiting| {
            let wait = now.saturating_duration_since(w.queued_at).as_secs_f64();
            wait / w.expected.as_secs_f64().max(1e-6)
        };
        // Of equal statements the oldest is chosen: `max_by` returns the last maximum.
        let best = (0..queue.len()).rev().max_by(|a, b| {
            let ratios = (ratio(&queue[*a]), ratio(&queue[*b]));
            let shorter = queue[*b].expected.cmp(&queue[*a].expected);
            ratios.0.total_cmp(&ratios.1).then(shorter)
        })?;
        let waiting = queue.remove(best)?;
        if queue.is_empty() {
            self.callers.swap_remove(&caller);
        } else {
            self.turn_order.push_back(caller);
        }
        self.count -= 1;
        self.total_expected = self.total_expected.saturating_sub(waiting.expected);
        Some(waiting)
    }

    /// Removes the statements for which `should_remove` returns true and returns their ids.
    fn remove(&mut self, mut should_remove: impl FnMut(&Waiting) -> bool) -> Vec<u64> {
        let mut removed = Vec::new();
        for queue in self.callers.values_mut() {
            queue.retain(|waiting| {
                let should_remove = should_remove(waiting);
                if should_remove {
                    removed.push(waiting.id);
                    self.count -= 1;
                    self.total_expected = self.total_expected.saturating_sub(waiting.expected);
                }
                !should_remove
            });
        }
        if !removed.is_empty() {
            self.callers.retain(|_, queue| !queue.is_empty());
            let callers = &self.callers;
            self.turn_order
                .retain(|caller| callers.contains_key(caller));
        }
        removed
    }

    fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.callers.values().flatten()
    }
}

impl SlotQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(settings: SlotSettings) -> Self {
        Self {
            times: ServiceTimes::new(settings.max_fingerprints, settings.initial_mean),
            settings,
            pinned: VecDeque::new(),
            short: FairQueue::default(),
            long: FairQueue::default(),
            running: IndexMap::new(),
        }
    }

    /// Applies changed limits from the catalogue entry. Statements already admitted stay queued.
    pub fn set_limits(&mut self, slots: u32, queue: u32) {
        self.settings.slots = slots;
        self.settings.queue = queue;
    }

    /// Adds a statement to the queue, or refuses it immediately.
    ///
    /// # Errors
    /// `Overload` with a time after which to retry, or `Deadline`. The verdict is `NotRun` for
    /// both.
    pub fn push(&mut self, ticket: Ticket, now: Instant) -> Result<(), Failure> {
        let class = self.effective_class(&ticket);
        if ticket.deadline <= now {
            return Err(Failure::not_run(
                FailureKind::Deadline,
                sqlstate::DEADLINE,
                "the deadline passed before the statement was queued; allow more time",
            ));
        }
        let limit = match class {
            Class::Short => self.settings.short_limit,
            Class::Long => self.settings.long_limit,
        };
        if !ticket.pinned {
            self.check_admission(&ticket, class, limit, now)?;
        }
        let waiting = Waiting {
            id: ticket.id,
            fingerprint: ticket.fingerprint,
            expected: self.times.expected(ticket.fingerprint),
            queued_at: now,
            expires_at: ticket.deadline,
        };
        match class {
            Class::Short if ticket.pinned => self.pinned.push_back(waiting),
            Class::Short => self.short.push(ticket.caller, waiting),
            Class::Long => self.long.push(ticket.caller, waiting),
        }
        Ok(())
    }

    fn check_admission(
        &self,
        ticket: &Ticket,
        class: Class,
        limit: Duration,
        now: Instant,
    ) -> Result<(), Failure> {
        let queued = self.short.count + self.long.count;
        let capacity = self.settings.queue as usize;
        let from_caller = self.short.len_of(&ticket.caller) + self.long.len_of(&ticket.caller);
        let wait = self.expected_wait(&ticket.caller, class, now);
        let allowed = limit.min(ticket.deadline - now);
        if queued < capacity && from_caller < (capacity / 2).max(1) && wait <= allowed {
            return Ok(());
        }
        let mut failure = Failure::not_run(
            FailureKind::Overload,
            sqlstate::OVERLOAD,
            format!(
                "the server is overloaded: {queued} statements wait, {from_caller} of caller {:?}, \
                 expected wait {} ms; try again later",
                ticket.caller,
                wait.as_millis()
            ),
        );
        // After half of the expected wait the queue is short enough to admit a new attempt.
        let after = (wait / 2).max(Duration::from_millis(50));
        failure.retry_after = u64::try_from(after.as_millis()).ok();
        Err(failure)
    }

    fn effective_class(&self, ticket: &Ticket) -> Class {
        if self
            .times
            .is_long(ticket.fingerprint, self.settings.long_factor)
        {
            Class::Long
        } else {
            ticket.class
        }
    }

    /// Number of slots that long work may hold: all but one, but at least one.
    fn long_slots(&self) -> usize {
        (self.settings.slots.saturating_sub(1)).max(1) as usize
    }

    fn running_long(&self) -> usize {
        let long = |r: &&Running| r.class == Class::Long;
        self.running.values().filter(long).count()
    }

    fn expected_wait(&self, caller: &CallerId, class: Class, now: Instant) -> Duration {
        let class_queue = match class {
            Class::Short => &self.short,
            Class::Long => &self.long,
        };
        if class_queue.count == 0 && self.running.len() < self.settings.slots as usize {
            return Duration::ZERO;
        }
        // Callers take turns, so a new statement of a caller with n waiting statements runs after
        // at most n + 1 turns of each caller, and never after more statements than are waiting.
        let turns = class_queue.len_of(caller) + 1;
        let ahead = class_queue
            .count
            .min(turns * class_queue.callers.len().max(1));
        let mean =
            |total: Duration, count: usize| total / u32::try_from(count.max(1)).unwrap_or(u32::MAX);
        let ahead = mean(class_queue.total_expected, class_queue.count)
            * u32::try_from(ahead).unwrap_or(u32::MAX);
        let remaining = |r: &Running| {
            let spent = now.saturating_duration_since(r.started);
            r.expected.saturating_sub(spent)
        };
        let same_class = self.running.values().filter(|r| r.class == class);
        let current: Duration = same_class.map(remaining).sum();
        let slots = match class {
            Class::Short => (self.settings.slots as usize)
                .saturating_sub(self.running_long())
                .max(1),
            Class::Long => self.long_slots(),
        };
        (ahead + current) / u32::try_from(slots).unwrap_or(u32::MAX)
    }

    /// Returns the statements to start and those whose deadline has passed.
    pub fn poll(&mut self, now: Instant) -> Vec<SlotAction> {
        let mut actions = Vec::new();
        if self.next_deadline().is_some_and(|at| at <= now) {
            let should_remove = |w: &Waiting| w.expires_at <= now;
            let mut expired = self.remove_pinned(should_remove);
            expired.extend(self.short.remove(should_remove));
            expired.extend(self.long.remove(should_remove));
            actions.extend(expired.into_iter().map(SlotAction::Expire));
        }
        while self.running.len() < self.settings.slots as usize {
            let Some((waiting, class)) = self.next_statement(now) else {
                break;
            };
            actions.push(SlotAction::Start(waiting.id));
            let running = Running {
                fingerprint: waiting.fingerprint,
                class,
                started: now,
                expected: waiting.expected,
            };
            self.running.insert(waiting.id, running);
        }
        actions
    }

    fn next_statement(&mut self, now: Instant) -> Option<(Waiting, Class)> {
        let long_slot_free = self.running_long() < self.long_slots();
        let age = self.settings.ageing;
        let age = age.max(self.times.short_mean().mul_f64(self.settings.long_factor));
        let aged = |w: &Waiting| w.queued_at + age <= now;
        if long_slot_free
            && self.long.iter().any(aged)
            && let Some(waiting) = self.long.pop(now)
        {
            return Some((waiting, Class::Long));
        }
        if let Some(waiting) = self.pinned.pop_front() {
            return Some((waiting, Class::Short));
        }
        if let Some(waiting) = self.short.pop(now) {
            return Some((waiting, Class::Short));
        }
        let waiting = if long_slot_free {
            self.long.pop(now)
        } else {
            None
        };
        Some((waiting?, Class::Long))
    }

    fn remove_pinned(&mut self, should_remove: impl Fn(&Waiting) -> bool) -> Vec<u64> {
        let removed = self
            .pinned
            .iter()
            .filter(|w| should_remove(w))
            .map(|w| w.id);
        let removed = removed.collect();
        self.pinned.retain(|w| !should_remove(w));
        removed
    }

    /// Frees the slot of a statement that ended and records its service time.
    pub fn finish(&mut self, id: u64, now: Instant) {
        let Some(running) = self.running.swap_remove(&id) else {
            return;
        };
        let time = now.saturating_duration_since(running.started);
        let short = running.class == Class::Short;
        self.times.observe(running.fingerprint, time, short);
    }

    /// Removes a waiting statement, or frees the slot of a running one without recording its
    /// service time.
    pub fn cancel(&mut self, id: u64) {
        if self.running.swap_remove(&id).is_some() {
            return;
        }
        let should_remove = |w: &Waiting| w.id == id;
        if self.remove_pinned(should_remove).is_empty()
            && self.short.remove(should_remove).is_empty()
        {
            self.long.remove(should_remove);
        }
    }

    /// Returns when the next waiting statement expires. `poll` must be called then.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        let all = self.pinned.iter().chain(self.short.iter());
        all.chain(self.long.iter()).map(|w| w.expires_at).min()
    }

    /// Returns the current load. This is cheap enough to attach to every answer.
    #[must_use]
    pub fn load(&self, now: Instant) -> Load {
        let queued = self.pinned.len() + self.short.count + self.long.count;
        Load {
            queued: u32::try_from(queued).unwrap_or(u32::MAX),
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            wait: self.expected_wait(&CallerId::default(), Class::Short, now),
        }
    }

    /// Returns the observed service times.
    #[must_use]
    pub const fn times(&self) -> &ServiceTimes {
        &self.times
    }
}
