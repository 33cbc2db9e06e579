//! Detection of a lost primary and the steps of a promotion.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use rand::Rng;
use siskinhook_types::{Control, LogPoint, Role, ServerId, ServerStatus, Term};

use super::{FailoverTrace, GroupWatch, LeaseAnswer, WatchAction};

/// Reason for a failover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Cause {
    /// The primary is down or partitioned from the group.
    Lost,
    /// The highest term has no primary, for example because a promoter crashed in the middle of a
    /// failover.
    NoPrimary,
    /// A server was fenced at a higher term and therefore cannot rejoin the current one.
    TermAhead,
    /// The primary is leaving.
    Leaving,
}

/// Phase of a failover.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// No failover is in progress.
    Watching,
    /// The term is claimed in the platform's table and the primary is probed once more.
    Checking {
        cause: Cause,
        term: Term,
        /// Estimated start of the failure.
        began: Instant,
        /// When the failover was decided.
        decided: Instant,
        lease: Option<LeaseAnswer>,
        /// Start of the current check; only newer statuses count.
        check: Instant,
    },
    /// Servers are being fenced until a majority has the new term.
    Fencing {
        cause: Cause,
        term: Term,
        trace: FailoverTrace,
        started: Instant,
        sent: Instant,
        /// Fenced servers and the ends of their logs.
        granted: IndexMap<ServerId, LogPoint>,
        /// When a majority was fenced.
        reached: Option<Instant>,
    },
    /// The chosen server is being promoted.
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
    /// Returns the start of the check before fencing, which only newer probes satisfy.
    pub(super) const fn check_start(&self) -> Option<Instant> {
        match self {
            Self::Checking { check, .. } => Some(*check),
            _ => None,
        }
    }

    /// Returns whether this watch is changing terms or roles.
    pub(super) const fn is_changing(&self) -> bool {
        matches!(self, Self::Fencing { .. } | Self::Promoting { .. })
    }
}

impl GroupWatch {
    /// Time to wait for the remaining servers after a majority is fenced, because a server that
    /// answers slightly later may have a longer log.
    const FENCE_GRACE: Duration = Duration::from_millis(50);

    /// Returns the known primary, or else the server that a server with the highest term follows.
    pub(super) fn expected_primary(&self) -> Option<ServerId> {
        if let Some((server, _)) = self.primary() {
            return Some(server);
        }
        let statuses = self
            .servers
            .values()
            .filter_map(|seen| seen.status.as_ref());
        let newest = statuses.max_by_key(|s| s.term)?;
        let primary = newest.primary.as_ref()?;
        // A server that was fenced at this term is not its primary, even if others still follow it.
        let status = self.servers.get(primary)?.status.as_ref();
        let fenced = status.is_some_and(|s| s.role == Role::Replica && s.term >= newest.term);
        (!fenced).then(|| primary.clone())
    }

    /// Updates since when the highest term has no primary, and since when a server has a higher
    /// term than the primary.
    pub(super) fn update_term_state(&mut self, now: Instant) {
        let statuses = self
            .servers
            .values()
            .filter_map(|seen| seen.status.as_ref());
        let highest = statuses.clone().map(|s| s.term).max();
        let has_primary = self.expected_primary().is_some();
        self.no_primary = match (highest, self.no_primary) {
            (None, _) => None,
            (Some(_), _) if has_primary => None,
            (Some(term), Some((known, since))) if known == term => Some((term, since)),
            (Some(term), _) => Some((term, now)),
        };
        let term = self.primary().map(|(_, term)| term);
        let statuses = self
            .servers
            .values()
            .filter_map(|seen| seen.status.as_ref());
        let term_ahead = term.is_some() && statuses.clone().any(|s| Some(s.term) > term);
        self.term_ahead = term_ahead.then(|| self.term_ahead.unwrap_or(now));
    }

    /// Returns the statuses that were requested at or after `since`, each with the time of the
    /// server's last answer.
    fn answered(&self, since: Instant) -> impl Iterator<Item = (&ServerStatus, Instant)> {
        self.servers.values().filter_map(move |seen| {
            let last_answer = seen.last_answer?;
            let status = seen.status.as_ref()?;
            (seen.requested_at? >= since).then_some((status, last_answer))
        })
    }

    /// Returns whether a majority, without the primary, answered requests made since `since` and no
    /// server that follows the primary had contact with it within the failure timeout.
    fn is_primary_lost(&self, primary: &ServerId, since: Instant, now: Instant) -> bool {
        let timeout = self.settings.failure_timeout;
        let mut reachable = 0;
        for (status, last_answer) in self.answered(since) {
            if status.server == *primary {
                return false;
            }
            reachable += 1;
            let contact = status.contact.map(Duration::from_millis);
            let age = now.saturating_duration_since(last_answer);
            let follows = status.primary.as_ref() == Some(primary);
            if follows && contact.is_some_and(|contact| contact + age < timeout) {
                return false;
            }
        }
        reachable >= self.majority()
    }

    /// Returns the cause of a needed failover and when the failure began.
    fn detect_failure(&self, now: Instant) -> Option<(Cause, Instant)> {
        let detection_timeout = self.detection_timeout();
        let own_delay = self.settings.rank_delay * self.config.rank;
        if let Some((_, since)) = self.no_primary {
            let reachable = self
                .answered(now.checked_sub(detection_timeout)?.max(since))
                .count();
            let due = since + self.settings.failure_timeout + own_delay <= now;
            return (due && reachable >= self.majority()).then_some((Cause::NoPrimary, since));
        }
        let expected_primary = self.expected_primary()?;
        let seen = self.servers.get(&expected_primary)?;
        let last_answer = seen.last_answer;
        let is_silent = last_answer.is_none_or(|at| at + detection_timeout <= now);
        if is_silent {
            // A probe over a new connection was tried since the last answer and failed as well.
            let tried = seen.fresh_probe.is_some_and(|(at, failed)| {
                Some(at) > last_answer && (failed || at + self.settings.recheck_timeout <= now)
            });
            let since = now.checked_sub(detection_timeout / 2)?;
            let lost = tried && self.is_primary_lost(&expected_primary, since, now);
            return lost.then(|| (Cause::Lost, last_answer.unwrap_or(now)));
        }
        if let Some(since) = self.term_ahead
            && since + self.settings.recovery_delay + own_delay <= now
        {
            return Some((Cause::TermAhead, now));
        }
        let leaving = self.config.leaving.contains(&expected_primary);
        let others = self.servers.len() - self.config.leaving.len();
        let all = self.answered(now.checked_sub(detection_timeout)?).count() == self.servers.len();
        (leaving && all && others >= self.majority()).then_some((Cause::Leaving, now))
    }

    /// Abandons the failover and delays the next one of this node, so that another promoter can
    /// finish.
    fn back_off(&mut self, now: Instant) {
        self.phase = Phase::Watching;
        let own_delay = self.settings.rank_delay * self.config.rank;
        let jitter = self
            .settings
            .rank_delay
            .mul_f64(self.random.random_range(0.0..1.0));
        self.paused_until = now + self.settings.rank_delay + own_delay + jitter;
    }

    /// Records the answer of the platform's table, and backs off when another node holds the term.
    pub(super) fn record_lease(&mut self, claimed: Term, answer: LeaseAnswer, now: Instant) {
        let Phase::Checking { term, lease, .. } = &mut self.phase else {
            return;
        };
        if *term != claimed || lease.is_some() {
            return;
        }
        *lease = Some(answer);
        if answer == LeaseAnswer::Held {
            self.back_off(now);
        }
    }

    /// Processes the answer to a command of the failover in progress.
    pub(super) fn record_command_answer(
        &mut self,
        from: &ServerId,
        command: &Control,
        status: &ServerStatus,
        now: Instant,
    ) {
        let own = status.promoter.as_ref() == Some(&self.promoter);
        match (&mut self.phase, command) {
            (
                Phase::Fencing { term, granted, .. },
                Control::Fence {
                    term: requested, ..
                },
            ) if term == requested => {
                if own && status.term == *term {
                    granted.insert(from.clone(), status.last);
                } else if status.term >= *term {
                    self.back_off(now);
                }
            }
            (
                Phase::Promoting {
                    term, server, done, ..
                },
                Control::Promote {
                    term: requested, ..
                },
            ) if term == requested && server == from => {
                if own && status.term == *term && status.role == Role::Primary {
                    *done = true;
                } else if status.term > *term {
                    self.back_off(now);
                }
            }
            _ => {}
        }
    }

    /// Advances the failover. Returns how long its phases took when it completes.
    pub(super) fn advance_failover(
        &mut self,
        now: Instant,
        actions: &mut Vec<WatchAction>,
    ) -> Option<FailoverTrace> {
        match self.phase.clone() {
            Phase::Watching => self.start_failover(now, actions),
            Phase::Checking { .. } => self.check_primary(now, actions),
            Phase::Fencing { .. } => self.fence(now, actions),
            Phase::Promoting { .. } => return self.promote(now, actions),
        }
        None
    }

    fn start_failover(&mut self, now: Instant, actions: &mut Vec<WatchAction>) {
        if now < self.paused_until {
            return;
        }
        let Some((cause, began)) = self.detect_failure(now) else {
            return;
        };
        let term = self.highest_term() + 1;
        self.attempted_term = term;
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

    fn check_primary(&mut self, now: Instant, actions: &mut Vec<WatchAction>) {
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
        // Another promoter has used this or a higher term in the meantime.
        let statuses = self
            .servers
            .values()
            .filter_map(|seen| seen.status.as_ref());
        if statuses.map(|s| s.term).max() >= Some(term) {
            return self.back_off(now);
        }
        let lease = lease
            .or_else(|| (decided + self.settings.lease <= now).then_some(LeaseAnswer::Unavailable));
        let Some(lease) = lease else { return };
        // When the table does not answer, promoters take turns by rank: this one waits for its
        // delay and then repeats the check.
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
            return self.back_off(now);
        }
        let expected_primary = self.expected_primary();
        let ready = match (cause, &expected_primary) {
            (Cause::Lost, Some(primary)) => {
                let seen = self.servers.get(primary);
                if seen.is_some_and(|seen| seen.requested_at >= Some(check)) {
                    return self.back_off(now);
                }
                let failed = seen.is_some_and(|seen| seen.last_failure >= Some(check));
                let waited = check + self.settings.recheck_timeout <= now;
                (failed || waited) && self.is_primary_lost(primary, check, now)
            }
            (Cause::NoPrimary, None) => self.answered(check).count() >= self.majority(),
            (Cause::TermAhead, Some(_)) if self.term_ahead.is_some() => {
                self.answered(check).count() >= self.majority()
            }
            (Cause::Leaving, Some(primary)) if self.config.leaving.contains(primary) => {
                self.answered(check).count() == self.servers.len()
            }
            _ => return self.back_off(now),
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

    /// Sends fence commands to the servers that are not `done`.
    ///
    /// Leaving servers are not fenced when the cause is `Leaving`. The majority then consists of
    /// servers that stay, and the old primary becomes a replica through `Control::Follow`.
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
        let reachable = |seen: &super::ServerState| seen.last_failure < seen.requested_at;
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
            if missing && now < since + Self::FENCE_GRACE {
                return;
            }
            let (term, mut trace) = (*term, *trace);
            trace.fencing = now.saturating_duration_since(*started);
            let granted = std::mem::take(granted);
            let best = granted.values().max().copied().unwrap_or_default();
            let longest = granted.iter().filter(|(_, last)| **last == best);
            let old = self.announced.as_ref().map(|(server, _)| server);
            // Among servers with the longest log, prefers one that stays, then the former primary,
            // then one that this node owns, because the owner of another server may have failed
            // together with the primary.
            let own = |server: &ServerId| {
                let status = self.servers.get(server).and_then(|s| s.status.as_ref());
                status.is_some_and(|s| s.holder.as_ref() == Some(&self.config.node))
            };
            let server = longest
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
            return self.back_off(now);
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

    /// Repeats the promotion of the chosen server until it succeeds or times out.
    ///
    /// Never promotes a second server in the same term: the first may already be its primary even
    /// if its answer was lost.
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
            self.back_off(now);
        } else if sent + self.settings.command_retry <= now {
            if let Phase::Promoting { sent, .. } = &mut self.phase {
                *sent = now;
            }
            actions.push(self.promote_command(&server, term));
        }
        None
    }
}
