//! Majority confirmation of writes.
//!
//! A write is acknowledged only after a majority of the group's servers holds it, so that a
//! failover cannot lose it.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use siskinhook_types::{Control, LogPoint, Role, ServerId, ServerStatus, Term};

/// Confirmation state of a write that the primary has committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A majority holds the write in the primary's term, so it may be acknowledged.
    Confirmed,
    /// No majority has confirmed the write yet.
    Pending,
    /// The primary was replaced. The write may have run and must not be acknowledged.
    Replaced,
}

#[derive(Clone, Copy, Debug)]
struct PendingWrite {
    id: u64,
    point: LogPoint,
    /// When the primary reported the commit.
    committed_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    /// When the status was requested.
    started: Instant,
    term: Term,
    last: LogPoint,
}

/// Confirms the writes of one primary in one term.
///
/// A server confirms a write when a status requested after the commit shows the same term and a
/// log that contains the write. A write is confirmed once the primary and enough replicas for a
/// majority have done so. One status covers every write committed before it was requested.
#[derive(Clone, Debug)]
pub struct Confirmation {
    primary: ServerId,
    term: Term,
    servers: IndexMap<ServerId, Option<Report>>,
    /// Commands without an answer, by server, with the time at which each was sent.
    outstanding: IndexMap<ServerId, Instant>,
    /// Earliest time at which a server whose last command failed is asked again.
    retry_at: IndexMap<ServerId, Instant>,
    pending: VecDeque<PendingWrite>,
    replaced: bool,
}

impl Confirmation {
    /// Timeout of `Control::Wait`: a server that still lacks the write then answers anyway.
    const WAIT_TIMEOUT_MS: u64 = 250;
    /// Delay before a failed command is sent again, counted from when it was sent. A refused
    /// connection fails immediately, so retrying without a delay would be a busy loop.
    const RETRY_DELAY: Duration = Duration::from_millis(50);

    /// Creates a `Confirmation` for one primary. `servers` lists the whole group.
    #[must_use]
    pub fn new(primary: ServerId, term: Term, servers: &[ServerId]) -> Self {
        Self {
            primary,
            term,
            servers: servers.iter().map(|s| (s.clone(), None)).collect(),
            outstanding: IndexMap::new(),
            retry_at: IndexMap::new(),
            pending: VecDeque::new(),
            replaced: false,
        }
    }

    /// Registers a write whose commit the primary reported at `now`.
    ///
    /// Returns `Replaced` when the write can no longer be confirmed, and `Pending` otherwise.
    pub fn add_write(&mut self, id: u64, point: LogPoint, now: Instant) -> Outcome {
        if self.replaced || point.term != self.term {
            return Outcome::Replaced;
        }
        self.pending.push_back(PendingWrite {
            id,
            point,
            committed_at: now,
        });
        Outcome::Pending
    }

    /// Removes a write that no request is waiting for any more.
    pub fn cancel(&mut self, id: u64) {
        self.pending.retain(|write| write.id != id);
    }

    /// Returns whether a write is still undecided. `on_status` returns each decided write once.
    #[must_use]
    pub fn is_pending(&self, id: u64) -> bool {
        self.pending.iter().any(|write| write.id == id)
    }

    /// Returns the commands to send now. Each server has at most one command in flight.
    pub fn poll(&mut self, now: Instant) -> Vec<(ServerId, Control)> {
        let Some(point) = self.pending.iter().map(|write| write.point).max() else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        for (server, report) in &self.servers {
            let is_covered = |write: &PendingWrite| {
                report.is_some_and(|r| {
                    r.started >= write.committed_at
                        && r.term == self.term
                        && r.last.covers(write.point)
                })
            };
            let is_delayed = self.retry_at.get(server).is_some_and(|retry| now < *retry);
            if is_delayed
                || self.outstanding.contains_key(server)
                || self.pending.iter().all(is_covered)
            {
                continue;
            }
            self.outstanding.insert(server.clone(), now);
            let timeout = Self::WAIT_TIMEOUT_MS;
            commands.push((server.clone(), Control::Wait { point, timeout }));
        }
        commands
    }

    /// Processes the answer to a command from `poll`, or `None` when the command failed.
    ///
    /// Returns the writes that this answer decides, in commit order.
    pub fn on_status(
        &mut self,
        server: &ServerId,
        status: Option<&ServerStatus>,
    ) -> Vec<(u64, Outcome)> {
        let Some(started) = self.outstanding.swap_remove(server) else {
            return Vec::new();
        };
        let (Some(status), Some(report)) = (status, self.servers.get_mut(server)) else {
            self.retry_at
                .insert(server.clone(), started + Self::RETRY_DELAY);
            return Vec::new();
        };
        self.retry_at.swap_remove(server);
        *report = Some(Report {
            started,
            term: status.term,
            last: status.last,
        });
        let majority = self.servers.len() / 2 + 1;
        let has_higher_term = |r: &&Report| r.term > self.term;
        let higher_terms = self
            .servers
            .values()
            .flatten()
            .filter(has_higher_term)
            .count();
        let primary_replaced =
            *server == self.primary && (status.term != self.term || status.role != Role::Primary);
        if primary_replaced || higher_terms >= majority {
            self.replaced = true;
            let pending = std::mem::take(&mut self.pending);
            return pending.iter().map(|w| (w.id, Outcome::Replaced)).collect();
        }
        let (servers, primary, term) = (&self.servers, &self.primary, self.term);
        let is_confirmed = |write: &PendingWrite| {
            let holds_write = |report: &Option<Report>| {
                report.is_some_and(|r| {
                    r.started >= write.committed_at
                        && r.term == term
                        && r.last.term == term
                        && r.last.covers(write.point)
                })
            };
            servers.get(primary).is_some_and(holds_write)
                && servers.values().filter(|r| holds_write(r)).count() >= majority
        };
        let mut decided = Vec::new();
        self.pending.retain(|write| {
            let is_confirmed = is_confirmed(write);
            if is_confirmed {
                decided.push((write.id, Outcome::Confirmed));
            }
            !is_confirmed
        });
        decided
    }

    /// Returns when `poll` must be called again even if no answer arrives.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        let is_idle = |server: &&ServerId| !self.outstanding.contains_key(*server);
        let waiting = self.retry_at.iter().filter(|(server, _)| is_idle(server));
        let retry = waiting.map(|(_, retry)| *retry).min();
        retry.filter(|_| !self.pending.is_empty())
    }

    /// Returns whether the primary is known to have been replaced.
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
