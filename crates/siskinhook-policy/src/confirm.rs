//! Confirmation of writes at a majority of the group's servers.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use siskinhook_types::{Control, LogPoint, Role, ServerId, ServerStatus, Term};

/// State of a write that the primary committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A majority holds the write in the primary's term: it may be acknowledged.
    Confirmed,
    /// Not decided yet.
    Pending,
    /// The primary was replaced: the write may have run and must not be acknowledged.
    Replaced,
}

#[derive(Clone, Copy, Debug)]
struct Write {
    id: u64,
    point: LogPoint,
    finished: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    started: Instant,
    term: Term,
    last: LogPoint,
}

/// Confirms the writes of one primary in one term.
///
/// A server counts for a write when a status that was asked for after the write had finished
/// shows the same term and a log that holds the write. The primary and as many replicas as make
/// a majority must count. One answer covers all writes that finished before it was asked for.
#[derive(Clone, Debug)]
pub struct Confirmation {
    primary: ServerId,
    term: Term,
    servers: IndexMap<ServerId, Option<Report>>,
    asked: IndexMap<ServerId, Instant>,
    paused: IndexMap<ServerId, Instant>,
    pending: VecDeque<Write>,
    replaced: bool,
}

impl Confirmation {
    /// Milliseconds after which a server that lacks the write answers all the same.
    const TIMEOUT: u64 = 250;
    /// Time after which a server that failed to answer is asked again, counted from the
    /// command that failed; a refused connection fails at once and would be repeated in a loop.
    const PAUSE: Duration = Duration::from_millis(50);

    /// Creates the confirmation of a primary; `servers` is the whole group.
    #[must_use]
    pub fn new(primary: ServerId, term: Term, servers: &[ServerId]) -> Self {
        Self {
            primary,
            term,
            servers: servers.iter().map(|s| (s.clone(), None)).collect(),
            asked: IndexMap::new(),
            paused: IndexMap::new(),
            pending: VecDeque::new(),
            replaced: false,
        }
    }

    /// Adds a write whose commit the primary reported at `now`.
    pub fn add_write(&mut self, id: u64, point: LogPoint, now: Instant) -> Outcome {
        if self.replaced || point.term != self.term {
            return Outcome::Replaced;
        }
        self.pending.push_back(Write {
            id,
            point,
            finished: now,
        });
        Outcome::Pending
    }

    /// Forgets a write that nobody waits for any more.
    pub fn cancel(&mut self, id: u64) {
        self.pending.retain(|write| write.id != id);
    }

    /// Returns the state of a write; `Confirmed` and `Replaced` are reported once by
    /// `on_status`.
    #[must_use]
    pub fn is_pending(&self, id: u64) -> bool {
        self.pending.iter().any(|write| write.id == id)
    }

    /// Returns the commands to send now, at most one outstanding for each server.
    pub fn poll(&mut self, now: Instant) -> Vec<(ServerId, Control)> {
        let Some(point) = self.pending.iter().map(|write| write.point).max() else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        for (server, report) in &self.servers {
            let covered = |write: &Write| {
                report.is_some_and(|r| {
                    r.started >= write.finished && r.term == self.term && r.last.covers(write.point)
                })
            };
            let paused = self.paused.get(server).is_some_and(|until| now < *until);
            if paused || self.asked.contains_key(server) || self.pending.iter().all(covered) {
                continue;
            }
            self.asked.insert(server.clone(), now);
            let timeout = Self::TIMEOUT;
            commands.push((server.clone(), Control::Wait { point, timeout }));
        }
        commands
    }

    /// Takes the answer to a command of `poll`; `None` when it failed. Returns the writes that
    /// are decided by it, in the order in which they finished.
    pub fn on_status(
        &mut self,
        server: &ServerId,
        status: Option<&ServerStatus>,
    ) -> Vec<(u64, Outcome)> {
        let Some(started) = self.asked.swap_remove(server) else {
            return Vec::new();
        };
        let (Some(status), Some(report)) = (status, self.servers.get_mut(server)) else {
            self.paused.insert(server.clone(), started + Self::PAUSE);
            return Vec::new();
        };
        self.paused.swap_remove(server);
        *report = Some(Report {
            started,
            term: status.term,
            last: status.last,
        });
        let majority = self.servers.len() / 2 + 1;
        let raised = |r: &&Report| r.term > self.term;
        let above = self.servers.values().flatten().filter(raised).count();
        let lost =
            *server == self.primary && (status.term != self.term || status.role != Role::Primary);
        if lost || above >= majority {
            self.replaced = true;
            let pending = std::mem::take(&mut self.pending);
            return pending.iter().map(|w| (w.id, Outcome::Replaced)).collect();
        }
        let (servers, primary, term) = (&self.servers, &self.primary, self.term);
        let confirmed = |write: &Write| {
            let counts = |report: &Option<Report>| {
                report.is_some_and(|r| {
                    r.started >= write.finished
                        && r.term == term
                        && r.last.term == term
                        && r.last.covers(write.point)
                })
            };
            servers.get(primary).is_some_and(counts)
                && servers.values().filter(|r| counts(r)).count() >= majority
        };
        let mut done = Vec::new();
        self.pending.retain(|write| {
            let confirmed = confirmed(write);
            if confirmed {
                done.push((write.id, Outcome::Confirmed));
            }
            !confirmed
        });
        done
    }

    /// Returns when `poll` has to be called again although no answer came in.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        let free = |server: &&ServerId| !self.asked.contains_key(*server);
        let waiting = self.paused.iter().filter(|(server, _)| free(server));
        let until = waiting.map(|(_, until)| *until).min();
        until.filter(|_| !self.pending.is_empty())
    }

    /// Returns whether the primary is known to be replaced.
    #[must_use]
    pub const fn is_replaced(&self) -> bool {
        self.replaced
    }

    /// Returns the primary and its term.
    #[must_use]
    pub const fn primary(&self) -> (&ServerId, Term) {
        (&self.primary, self.term)
    }
}
