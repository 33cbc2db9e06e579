//! Detection of a lost primary and the steps of a promotion.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use rand::Rng;
use siskinhook_types::{Control, LogPoint, Role, ServerId, ServerStatus, Term};

use super::{FailoverTrace, GroupWatch, LeaseAnswer, WatchAction};

/// Why a new primary is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Cause {
    /// The primary is dead or cut off.
    Lost,
    /// A majority has a term that no primary leads; a promoter stopped halfway.
    Vacant,
    /// A server was fenced at a higher term and cannot return to the present one.
    Stray,
    /// The primary is leaving.
    Leaving,
}

/// Step of a failover.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// No failover in progress.
    Watching,
    /// The table row is claimed and the primary is probed once more.
    Checking {
        cause: Cause,
        term: Term,
        /// Start of the failure as far as known.
        began: Instant,
        decided: Instant,
        lease: Option<LeaseAnswer>,
        /// Start of the last check.
        check: Instant,
    },
    /// The term is raised on a majority.
    Fencing {
        cause: Cause,
        term: Term,
        trace: FailoverTrace,
        started: Instant,
        sent: Instant,
        granted: IndexMap<ServerId, LogPoint>,
        /// When the majority was reached.
        reached: Option<Instant>,
    },
    /// The chosen server is promoted.
    Promoting {
        term: Term,
        trace: FailoverTrace,
        started: Instant,
        sent: Instant,
        server: ServerId,
        done: bool,
    },
}

impl Phase {
    /// Start of the check before fencing: probes must be newer.
    pub(super) const fn check_start(&self) -> Option<Instant> {
        match self {
            Self::Checking { check, .. } => Some(*check),
            _ => None,
        }
    }

    /// Returns whether terms are being changed.
    pub(super) const fn is_changing(&self) -> bool {
        matches!(self, Self::Fencing { .. } | Self::Promoting { .. })
    }
}

impl GroupWatch {
    /// Time for which the promoter waits for the remaining servers once a majority is fenced; a
    /// server that answers a moment later may have the longer log.
    const GRACE: Duration = Duration::from_millis(50);

    /// Returns the server that is or should be the primary: the known one, or the one that
    /// servers with the highest term follow.
    pub(super) fn suspect(&self) -> Option<ServerId> {
        if let Some((server, _)) = self.primary() {
            return Some(server);
        }
        let statuses = self
            .servers
            .values()
            .filter_map(|seen| seen.status.as_ref());
        let newest = statuses.max_by_key(|s| s.term)?;
        let primary = newest.primary.as_ref()?;
        // A server that was fenced at this term does not lead it, whoever still names it.
        let status = self.servers.get(primary)?.status.as_ref();
        let fenced = status.is_some_and(|s| s.role == Role::Replica && s.term >= newest.term);
        (!fenced).then(|| primary.clone())
    }

    /// Notes since when the highest term has no primary.
    pub(super) fn note_vacancy(&mut self, now: Instant) {
        let statuses = self
            .servers
            .values()
            .filter_map(|seen| seen.status.as_ref());
        let highest = statuses.clone().map(|s| s.term).max();
        let led = self.suspect().is_some();
        self.vacant = match (highest, self.vacant) {
            (None, _) => None,
            (Some(_), _) if led => None,
            (Some(term), Some((known, since))) if known == term => Some((term, since)),
            (Some(term), _) => Some((term, now)),
        };
        let term = self.primary().map(|(_, term)| term);
        let statuses = self
            .servers
            .values()
            .filter_map(|seen| seen.status.as_ref());
        let stray = term.is_some() && statuses.clone().any(|s| Some(s.term) > term);
        self.stray = stray.then(|| self.stray.unwrap_or(now));
    }

    /// Returns the servers that answered a question asked at or after `since`.
    fn answered(&self, since: Instant) -> impl Iterator<Item = (&ServerStatus, Instant)> {
        self.servers.values().filter_map(move |seen| {
            let heard = seen.heard?;
            let status = seen.status.as_ref()?;
            (seen.started? >= since).then_some((status, heard))
        })
    }

    /// Returns whether a majority answered since `since` and nobody there has heard from the
    /// primary within the timeout.
    fn is_lost(&self, primary: &ServerId, since: Instant, now: Instant) -> bool {
        let timeout = self.settings.failure_timeout;
        let mut reachable = 0;
        for (status, heard) in self.answered(since) {
            if status.server == *primary {
                return false;
            }
            reachable += 1;
            let contact = status.contact.map(Duration::from_millis);
            let age = now.saturating_duration_since(heard);
            let follows = status.primary.as_ref() == Some(primary);
            if follows && contact.is_some_and(|contact| contact + age < timeout) {
                return false;
            }
        }
        reachable >= self.majority()
    }

    /// Returns the cause of a failover that is needed and when the failure began.
    fn detect(&self, now: Instant) -> Option<(Cause, Instant)> {
        let patience = self.patience();
        let rank = self.settings.rank_delay * self.config.rank;
        if let Some((_, since)) = self.vacant {
            let reachable = self.answered(now.checked_sub(patience)?.max(since)).count();
            let due = since + self.settings.failure_timeout + rank <= now;
            return (due && reachable >= self.majority()).then_some((Cause::Vacant, since));
        }
        let suspect = self.suspect()?;
        let seen = self.servers.get(&suspect)?;
        let heard = seen.heard;
        let quiet = heard.is_none_or(|heard| heard + patience <= now);
        if quiet {
            // A new connection was tried since and did not answer either.
            let tried = seen.fresh.is_some_and(|(at, failed)| {
                Some(at) > heard && (failed || at + self.settings.recheck_timeout <= now)
            });
            let since = now.checked_sub(patience / 2)?;
            let lost = tried && self.is_lost(&suspect, since, now);
            return lost.then(|| (Cause::Lost, heard.unwrap_or(now)));
        }
        if let Some(since) = self.stray
            && since + self.settings.recovery_delay + rank <= now
        {
            return Some((Cause::Stray, now));
        }
        let leaving = self.config.leaving.contains(&suspect);
        let others = self.servers.len() - self.config.leaving.len();
        let all = self.answered(now.checked_sub(patience)?).count() == self.servers.len();
        (leaving && all && others >= self.majority()).then_some((Cause::Leaving, now))
    }

    /// Delays the next failover of this node, so that another promoter can finish.
    fn pause(&mut self, now: Instant) {
        self.phase = Phase::Watching;
        let rank = self.settings.rank_delay * self.config.rank;
        let jitter = self
            .settings
            .rank_delay
            .mul_f64(self.random.random_range(0.0..1.0));
        self.paused = now + self.settings.rank_delay + rank + jitter;
    }

    /// Takes the answer of the platform's table.
    pub(super) fn decide_lease(&mut self, of: Term, answer: LeaseAnswer, now: Instant) {
        let Phase::Checking { term, lease, .. } = &mut self.phase else {
            return;
        };
        if *term != of || lease.is_some() {
            return;
        }
        *lease = Some(answer);
        if answer == LeaseAnswer::Held {
            self.pause(now);
        }
    }

    /// Takes the answer to a command of the failover in progress.
    pub(super) fn on_command(
        &mut self,
        from: &ServerId,
        command: &Control,
        status: &ServerStatus,
        now: Instant,
    ) {
        let own = status.promoter.as_ref() == Some(&self.promoter);
        match (&mut self.phase, command) {
            (Phase::Fencing { term, granted, .. }, Control::Fence { term: of, .. })
                if term == of =>
            {
                if own && status.term == *term {
                    granted.insert(from.clone(), status.last);
                } else if status.term >= *term {
                    self.pause(now);
                }
            }
            (
                Phase::Promoting {
                    term, server, done, ..
                },
                Control::Promote { term: of, .. },
            ) if term == of && server == from => {
                if own && status.term == *term && status.role == Role::Primary {
                    *done = true;
                } else if status.term > *term {
                    self.pause(now);
                }
            }
            _ => {}
        }
    }

    /// Moves the failover on; returns its times when it is complete.
    pub(super) fn advance(
        &mut self,
        now: Instant,
        actions: &mut Vec<WatchAction>,
    ) -> Option<FailoverTrace> {
        match self.phase.clone() {
            Phase::Watching => self.start(now, actions),
            Phase::Checking { .. } => self.check(now, actions),
            Phase::Fencing { .. } => self.fence(now, actions),
            Phase::Promoting { .. } => return self.promote(now, actions),
        }
        None
    }

    fn start(&mut self, now: Instant, actions: &mut Vec<WatchAction>) {
        if now < self.paused {
            return;
        }
        let Some((cause, began)) = self.detect(now) else {
            return;
        };
        let term = self.highest_term() + 1;
        self.attempted = term;
        self.phase = Phase::Checking {
            cause,
            term,
            began,
            decided: now,
            lease: None,
            check: now,
        };
        actions.push(WatchAction::Lease { term });
    }

    fn check(&mut self, now: Instant, actions: &mut Vec<WatchAction>) {
        let Phase::Checking {
            cause,
            term,
            began,
            decided,
            lease,
            check,
        } = self.phase.clone()
        else {
            return;
        };
        // Another promoter raised the term in the meantime.
        let statuses = self
            .servers
            .values()
            .filter_map(|seen| seen.status.as_ref());
        if statuses.map(|s| s.term).max() >= Some(term) {
            return self.pause(now);
        }
        let lease = lease.or_else(|| {
            (decided + self.settings.lease_timeout <= now).then_some(LeaseAnswer::Unavailable)
        });
        let Some(lease) = lease else { return };
        // Without the table, promoters go one after the other; the check is repeated after the
        // delay.
        let delay = self.settings.rank_delay * self.config.rank;
        if lease == LeaseAnswer::Unavailable && check == decided && !delay.is_zero() {
            if decided + delay <= now
                && let Phase::Checking { check, .. } = &mut self.phase
            {
                *check = now;
            }
            return;
        }
        if check + self.settings.failure_timeout <= now {
            return self.pause(now);
        }
        let suspect = self.suspect();
        let ready = match (cause, &suspect) {
            (Cause::Lost, Some(primary)) => {
                let seen = self.servers.get(primary);
                if seen.is_some_and(|seen| seen.started >= Some(check)) {
                    return self.pause(now);
                }
                let failed = seen.is_some_and(|seen| seen.failed >= Some(check));
                let waited = check + self.settings.recheck_timeout <= now;
                (failed || waited) && self.is_lost(primary, check, now)
            }
            (Cause::Vacant, None) => self.answered(check).count() >= self.majority(),
            (Cause::Stray, Some(_)) if self.stray.is_some() => {
                self.answered(check).count() >= self.majority()
            }
            (Cause::Leaving, Some(primary)) if self.config.leaving.contains(primary) => {
                self.answered(check).count() == self.servers.len()
            }
            _ => return self.pause(now),
        };
        if !ready {
            return;
        }
        self.phase = Phase::Fencing {
            cause,
            term,
            trace: FailoverTrace {
                detection: decided.saturating_duration_since(began),
                claim: now.saturating_duration_since(decided),
                ..FailoverTrace::default()
            },
            started: now,
            sent: now,
            granted: IndexMap::new(),
            reached: None,
        };
        self.send_fence(term, cause, |_| false, actions);
    }

    /// A primary that leaves is not fenced itself: without it the majority consists of servers
    /// that stay, and it becomes a replica by `FOLLOW`.
    fn send_fence(
        &self,
        term: Term,
        cause: Cause,
        done: impl Fn(&ServerId) -> bool,
        actions: &mut Vec<WatchAction>,
    ) {
        let leaving = &self.config.leaving;
        for server in self.servers.keys() {
            if done(server) || cause == Cause::Leaving && leaving.contains(server) {
                continue;
            }
            actions.push(WatchAction::Control {
                server: server.clone(),
                command: Control::Fence {
                    term,
                    promoter: self.promoter.clone(),
                },
            });
        }
    }

    fn fence(&mut self, now: Instant, actions: &mut Vec<WatchAction>) {
        let majority = self.majority();
        let (repeat, limit) = (self.settings.command_retry, self.settings.failover_timeout);
        let reachable = |seen: &super::Seen| seen.failed < seen.started;
        let Phase::Fencing {
            cause,
            term,
            trace,
            started,
            sent,
            granted,
            reached,
        } = &mut self.phase
        else {
            return;
        };
        if granted.len() >= majority {
            let since = *reached.get_or_insert(now);
            let missing = self.servers.iter().any(|(server, seen)| {
                let excluded = *cause == Cause::Leaving && self.config.leaving.contains(server);
                !excluded && reachable(seen) && !granted.contains_key(server)
            });
            if missing && now < since + Self::GRACE {
                return;
            }
            let (term, mut trace) = (*term, *trace);
            trace.fencing = now.saturating_duration_since(*started);
            let granted = std::mem::take(granted);
            let best = granted.values().max().copied().unwrap_or_default();
            let equal = granted.iter().filter(|(_, last)| **last == best);
            let old = self.announced.as_ref().map(|(server, _)| server);
            // Of equal logs, a server that stays goes first, then the former primary, then one
            // that this node owns: the owner of another one may have failed with the primary.
            let own = |server: &ServerId| {
                let status = self.servers.get(server).and_then(|s| s.status.as_ref());
                status.is_some_and(|s| s.holder.as_ref() == Some(&self.config.node))
            };
            let server = equal
                .map(|(server, _)| server)
                .max_by_key(|s| {
                    let stays = !self.config.leaving.contains(s);
                    (stays, Some(*s) == old, own(s))
                })
                .cloned();
            let Some(server) = server else { return };
            actions.push(self.promote_command(&server, term));
            self.phase = Phase::Promoting {
                term,
                trace,
                started: now,
                sent: now,
                server,
                done: false,
            };
            return;
        }
        if *started + limit <= now {
            return self.pause(now);
        }
        if *sent + repeat <= now {
            *sent = now;
            let (term, cause, granted) = (*term, *cause, granted.clone());
            self.send_fence(term, cause, |s| granted.contains_key(s), actions);
        }
    }

    fn promote_command(&self, server: &ServerId, term: Term) -> WatchAction {
        WatchAction::Control {
            server: server.clone(),
            command: Control::Promote {
                term,
                promoter: self.promoter.clone(),
            },
        }
    }

    /// Promotes only the one chosen server in a term: a second one could lead it together with
    /// the first, whose answer may have been lost.
    fn promote(&mut self, now: Instant, actions: &mut Vec<WatchAction>) -> Option<FailoverTrace> {
        let Phase::Promoting {
            term,
            trace,
            started,
            sent,
            server,
            done,
        } = self.phase.clone()
        else {
            return None;
        };
        let status = self.servers.get(&server).and_then(|s| s.status.as_ref());
        let leads = status.is_some_and(|s| s.term == term && s.role == Role::Primary);
        if done || leads {
            self.phase = Phase::Watching;
            let promotion = now.saturating_duration_since(started);
            return Some(FailoverTrace { promotion, ..trace });
        }
        if status.is_some_and(|s| s.term > term) || started + self.settings.failover_timeout <= now
        {
            self.pause(now);
        } else if sent + self.settings.command_retry <= now {
            if let Phase::Promoting { sent, .. } = &mut self.phase {
                *sent = now;
            }
            actions.push(self.promote_command(&server, term));
        }
        None
    }
}
