//! Queue in front of the slots of one server: admission, fair turns, room for short work.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use siskinhook_types::{CallerId, Class, Failure, FailureKind, sqlstate};

use crate::ServiceTimes;

/// Settings of the queue of one server.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotSettings {
    /// Statements that the server runs at a time.
    pub slots: u32,
    /// Most statements waiting.
    pub queue: u32,
    /// Longest expected wait with which short work is admitted.
    pub short: Duration,
    /// Longest expected wait with which long work is admitted.
    pub long: Duration,
    /// Assumed mean time of short work until times are observed.
    pub initial: Duration,
    /// A statement is long when its mean time is over this many times the short mean.
    pub factor: f64,
    /// Least wait after which a long statement takes the next free slot.
    pub ageing: Duration,
    /// Fingerprints whose times are kept.
    pub memory: usize,
}

impl Default for SlotSettings {
    fn default() -> Self {
        Self {
            slots: 2,
            queue: 1024,
            short: Duration::from_millis(500),
            long: Duration::from_mins(1),
            initial: Duration::from_millis(5),
            factor: 8.0,
            ageing: Duration::from_secs(1),
            memory: 1024,
        }
    }
}

/// A statement that asks for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Number that the owner gave the statement.
    pub id: u64,
    /// Caller, for fair turns.
    pub caller: CallerId,
    /// Stated class of work.
    pub class: Class,
    /// Hash of the statement text.
    pub fingerprint: u64,
    /// The statement is not started after this instant.
    pub deadline: Instant,
    /// Whether the statement belongs to an open transaction. Such statements are not refused
    /// and go ahead of other short work, because the transaction holds a connection and locks.
    pub pinned: bool,
}

/// What the owner has to do with a queued statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotAction {
    /// The statement got a slot; `SlotQueue::finish` frees it.
    Start(u64),
    /// The statement waited past its deadline: not run.
    Expire(u64),
}

/// Load of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Statements waiting.
    pub queued: u32,
    /// Statements that hold a slot.
    pub running: u32,
    /// Expected wait of a short statement of a caller that has none waiting.
    pub wait: Duration,
}

#[derive(Clone, Debug)]
struct Waiting {
    id: u64,
    fingerprint: u64,
    expected: Duration,
    pushed: Instant,
    expires: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    fingerprint: u64,
    class: Class,
    started: Instant,
    expected: Duration,
}

/// Statements of one class, in turns over the callers.
#[derive(Clone, Debug, Default)]
struct Turns {
    callers: IndexMap<CallerId, VecDeque<Waiting>>,
    /// Callers with waiting statements, the next turn first.
    order: VecDeque<CallerId>,
    count: usize,
    work: Duration,
}

/// Queue in front of the slots of one server.
#[derive(Clone, Debug)]
pub struct SlotQueue {
    settings: SlotSettings,
    times: ServiceTimes,
    pinned: VecDeque<Waiting>,
    short: Turns,
    long: Turns,
    running: IndexMap<u64, Running>,
}

impl Turns {
    fn push(&mut self, caller: CallerId, waiting: Waiting) {
        self.count += 1;
        self.work += waiting.expected;
        let queue = self.callers.entry(caller.clone()).or_default();
        if queue.is_empty() {
            self.order.push_back(caller);
        }
        queue.push_back(waiting);
    }

    fn of(&self, caller: &CallerId) -> usize {
        self.callers.get(caller).map_or(0, VecDeque::len)
    }

    /// Takes the statement with the highest response ratio, (wait + expected) / expected, of the
    /// caller whose turn it is: the shortest first, and longer ones as they age.
    fn pop(&mut self, now: Instant) -> Option<Waiting> {
        let caller = self.order.pop_front()?;
        let queue = self.callers.get_mut(&caller)?;
        let ratio = |w: &Waiting| {
            let wait = now.saturating_duration_since(w.pushed).as_secs_f64();
            wait / w.expected.as_secs_f64().max(1e-6)
        };
        // The oldest wins a tie.
        let best = (0..queue.len()).rev().max_by(|a, b| {
            let ratios = (ratio(&queue[*a]), ratio(&queue[*b]));
            let shorter = queue[*b].expected.cmp(&queue[*a].expected);
            ratios.0.total_cmp(&ratios.1).then(shorter)
        })?;
        let waiting = queue.remove(best)?;
        if queue.is_empty() {
            self.callers.swap_remove(&caller);
        } else {
            self.order.push_back(caller);
        }
        self.count -= 1;
        self.work = self.work.saturating_sub(waiting.expected);
        Some(waiting)
    }

    /// Removes the statements that `gone` selects and returns their ids.
    fn remove(&mut self, mut gone: impl FnMut(&Waiting) -> bool) -> Vec<u64> {
        let mut removed = Vec::new();
        for queue in self.callers.values_mut() {
            queue.retain(|waiting| {
                let gone = gone(waiting);
                if gone {
                    removed.push(waiting.id);
                    self.count -= 1;
                    self.work = self.work.saturating_sub(waiting.expected);
                }
                !gone
            });
        }
        if !removed.is_empty() {
            self.callers.retain(|_, queue| !queue.is_empty());
            let callers = &self.callers;
            self.order.retain(|caller| callers.contains_key(caller));
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
            times: ServiceTimes::new(settings.memory, settings.initial),
            settings,
            pinned: VecDeque::new(),
            short: Turns::default(),
            long: Turns::default(),
            running: IndexMap::new(),
        }
    }

    /// Changes the limits of the catalogue entry; work that was admitted stays.
    pub fn set_limits(&mut self, slots: u32, queue: u32) {
        self.settings.slots = slots;
        self.settings.queue = queue;
    }

    /// Admits a statement or refuses it at once.
    ///
    /// # Errors
    /// `Overload` with the time after which a new attempt makes sense, or `Deadline`; both with
    /// the verdict `NotRun`.
    pub fn push(&mut self, ticket: Ticket, now: Instant) -> Result<(), Failure> {
        let class = self.class(&ticket);
        if ticket.deadline <= now {
            return Err(Failure::not_run(
                FailureKind::Deadline,
                sqlstate::DEADLINE,
                "the deadline passed before the statement was queued; allow more time",
            ));
        }
        let limit = match class {
            Class::Short => self.settings.short,
            Class::Long => self.settings.long,
        };
        if !ticket.pinned {
            self.admit(&ticket, class, limit, now)?;
        }
        let waiting = Waiting {
            id: ticket.id,
            fingerprint: ticket.fingerprint,
            expected: self.times.expected(ticket.fingerprint),
            pushed: now,
            expires: ticket.deadline,
        };
        match class {
            Class::Short if ticket.pinned => self.pinned.push_back(waiting),
            Class::Short => self.short.push(ticket.caller, waiting),
            Class::Long => self.long.push(ticket.caller, waiting),
        }
        Ok(())
    }

    fn admit(
        &self,
        ticket: &Ticket,
        class: Class,
        limit: Duration,
        now: Instant,
    ) -> Result<(), Failure> {
        let queued = self.short.count + self.long.count;
        let capacity = self.settings.queue as usize;
        let own = self.short.of(&ticket.caller) + self.long.of(&ticket.caller);
        let wait = self.expected_wait(&ticket.caller, class, now);
        let allowed = limit.min(ticket.deadline - now);
        if queued < capacity && own < (capacity / 2).max(1) && wait <= allowed {
            return Ok(());
        }
        let mut failure = Failure::not_run(
            FailureKind::Overload,
            sqlstate::OVERLOAD,
            format!(
                "the server is overloaded: {queued} statements wait, {own} of caller {:?}, \
                 expected wait {} ms; try again later",
                ticket.caller,
                wait.as_millis()
            ),
        );
        // Half of the expected wait has passed by then, so that a new attempt finds room.
        let after = (wait / 2).max(Duration::from_millis(50));
        failure.retry_after = u64::try_from(after.as_millis()).ok();
        Err(failure)
    }

    fn class(&self, ticket: &Ticket) -> Class {
        if self.times.is_long(ticket.fingerprint, self.settings.factor) {
            Class::Long
        } else {
            ticket.class
        }
    }

    /// Slots that long work may hold: all but one, and one when there is only one.
    fn long_slots(&self) -> usize {
        (self.settings.slots.saturating_sub(1)).max(1) as usize
    }

    fn long_running(&self) -> usize {
        let long = |r: &&Running| r.class == Class::Long;
        self.running.values().filter(long).count()
    }

    fn expected_wait(&self, caller: &CallerId, class: Class, now: Instant) -> Duration {
        let turns = match class {
            Class::Short => &self.short,
            Class::Long => &self.long,
        };
        if turns.count == 0 && self.running.len() < self.settings.slots as usize {
            return Duration::ZERO;
        }
        // With fair turns, a caller with n statements waiting is served after n + 1 turns of
        // each caller, or after all that waits.
        let own = turns.of(caller) + 1;
        let ahead = turns.count.min(own * turns.callers.len().max(1));
        let mean =
            |total: Duration, count: usize| total / u32::try_from(count.max(1)).unwrap_or(u32::MAX);
        let ahead = mean(turns.work, turns.count) * u32::try_from(ahead).unwrap_or(u32::MAX);
        let remaining = |r: &Running| {
            let spent = now.saturating_duration_since(r.started);
            r.expected.saturating_sub(spent)
        };
        let same = self.running.values().filter(|r| r.class == class);
        let current: Duration = same.map(remaining).sum();
        let slots = match class {
            Class::Short => (self.settings.slots as usize)
                .saturating_sub(self.long_running())
                .max(1),
            Class::Long => self.long_slots(),
        };
        (ahead + current) / u32::try_from(slots).unwrap_or(u32::MAX)
    }

    /// Returns the statements to start and those that waited too long.
    pub fn poll(&mut self, now: Instant) -> Vec<SlotAction> {
        let mut actions = Vec::new();
        if self.next_deadline().is_some_and(|at| at <= now) {
            let gone = |w: &Waiting| w.expires <= now;
            let mut expired = self.remove_pinned(gone);
            expired.extend(self.short.remove(gone));
            expired.extend(self.long.remove(gone));
            actions.extend(expired.into_iter().map(SlotAction::Expire));
        }
        while self.running.len() < self.settings.slots as usize {
            let Some((waiting, class)) = self.next(now) else {
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

    fn next(&mut self, now: Instant) -> Option<(Waiting, Class)> {
        let room = self.long_running() < self.long_slots();
        let age = self.settings.ageing;
        let age = age.max(self.times.short_mean().mul_f64(self.settings.factor));
        let aged = |w: &Waiting| w.pushed + age <= now;
        if room
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
        let waiting = if room { self.long.pop(now) } else { None };
        Some((waiting?, Class::Long))
    }

    fn remove_pinned(&mut self, gone: impl Fn(&Waiting) -> bool) -> Vec<u64> {
        let removed = self.pinned.iter().filter(|w| gone(w)).map(|w| w.id);
        let removed = removed.collect();
        self.pinned.retain(|w| !gone(w));
        removed
    }

    /// Frees the slot of a statement that ended and learns its time.
    pub fn finish(&mut self, id: u64, now: Instant) {
        let Some(running) = self.running.swap_remove(&id) else {
            return;
        };
        let time = now.saturating_duration_since(running.started);
        let short = running.class == Class::Short;
        self.times.observe(running.fingerprint, time, short);
    }

    /// Removes a statement that waits, or frees the slot of one that runs without learning
    /// from it.
    pub fn cancel(&mut self, id: u64) {
        if self.running.swap_remove(&id).is_some() {
            return;
        }
        let gone = |w: &Waiting| w.id == id;
        if self.remove_pinned(gone).is_empty() && self.short.remove(gone).is_empty() {
            self.long.remove(gone);
        }
    }

    /// Returns when the next waiting statement expires; `poll` has to be called then.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        let all = self.pinned.iter().chain(self.short.iter());
        all.chain(self.long.iter()).map(|w| w.expires).min()
    }

    /// Returns the load; cheap enough for each answer to carry it.
    #[must_use]
    pub fn load(&self, now: Instant) -> Load {
        let queued = self.pinned.len() + self.short.count + self.long.count;
        Load {
            queued: u32::try_from(queued).unwrap_or(u32::MAX),
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            wait: self.expected_wait(&CallerId::default(), Class::Short, now),
        }
    }

    /// Returns the learnt service times.
    #[must_use]
    pub const fn times(&self) -> &ServiceTimes {
        &self.times
    }
}
