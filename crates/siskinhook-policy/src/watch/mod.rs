//! Monitoring of a database group and promotion of a new primary.

mod promotion;
mod settings;
mod view;

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use siskinhook_types::{Control, NodeId, Role, ServerId, ServerStatus, Term};
use smol_str::format_smolstr;

use promotion::Phase;
pub use settings::{
    FailoverTrace, GroupConfig, LeaseAnswer, ServerView, WatchAction, WatchSettings,
};

use crate::Anchor;

/// What the watch knows about one server.
#[derive(Clone, Debug, Default)]
struct ServerState {
    /// Status with the most recent request time.
    status: Option<ServerStatus>,
    /// When `status` was requested.
    requested_at: Option<Instant>,
    /// When the last answer of any kind arrived.
    last_answer: Option<Instant>,
    /// Start of the probe in flight.
    pending_probe: Option<Instant>,
    /// Start of the last probe.
    last_probe: Option<Instant>,
    /// Start of the last probe over a new connection and whether it failed.
    fresh_probe: Option<(Instant, bool)>,
    /// Start of the most recent request that failed.
    last_failure: Option<Instant>,
    /// When the last repair command was sent.
    last_repair: Option<Instant>,
    /// Moving mean of the probe round-trip time.
    round_trip: Duration,
}

/// State machine with which one node monitors one database group and promotes a new primary.
///
/// Several nodes may watch a group at the same time; terms keep their decisions consistent. Each
/// input method returns the actions to perform. `tick` must be called no later than `next_tick`.
#[derive(Clone, Debug)]
pub struct GroupWatch {
    settings: WatchSettings,
    config: GroupConfig,
    /// Name under which this process acquires terms. It contains a random number, so that a
    /// restarted node does not mistake a grant of its former process for its own.
    promoter: NodeId,
    servers: IndexMap<ServerId, ServerState>,
    phase: Phase,
    anchor: Option<Anchor>,
    /// Instant that a requested anchor must cover.
    requested_anchor: Option<Instant>,
    /// When the group was last in use.
    last_used: Instant,
    /// Highest term that this watch tried to acquire.
    attempted_term: Term,
    /// Earliest time at which this watch may start a failover.
    paused_until: Instant,
    /// Highest term if it has no primary, and since when.
    no_primary: Option<(Term, Instant)>,
    /// Since when some server has a higher term than the primary.
    term_ahead: Option<Instant>,
    /// Primary in the last `PrimaryChanged` action.
    announced: Option<(ServerId, Term)>,
    random: SmallRng,
}

impl GroupWatch {
    /// Creates a watch without any information on the group. `seed` must differ between processes.
    #[must_use]
    pub fn new(settings: WatchSettings, config: GroupConfig, seed: u64, now: Instant) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let promoter = format_smolstr!("{}#{:016x}", config.node, random.random::<u64>());
        let servers = config.servers.iter();
        Self {
            promoter,
            servers: servers
                .map(|s| (s.clone(), ServerState::default()))
                .collect(),
            phase: Phase::Watching,
            anchor: None,
            requested_anchor: None,
            last_used: now,
            attempted_term: 0,
            // A new watch waits for statuses before it may start a failover.
            paused_until: now + settings.failure_timeout,
            no_primary: None,
            term_ahead: None,
            announced: None,
            settings,
            config,
            random,
        }
    }

    /// Sets the rank of this node among the watchers.
    pub fn set_rank(&mut self, rank: u32) {
        self.config.rank = rank;
    }

    /// Sets the servers that are leaving.
    pub fn set_leaving(&mut self, leaving: Vec<ServerId>) {
        self.config.leaving = leaving;
    }

    /// Returns the configuration of the watch.
    #[must_use]
    pub const fn config(&self) -> &GroupConfig {
        &self.config
    }

    /// Returns the name under which this process acquires terms.
    #[must_use]
    pub const fn promoter(&self) -> &NodeId {
        &self.promoter
    }

    /// Records that the group is in use, which keeps the poll interval short.
    pub fn touch(&mut self, now: Instant) {
        self.last_used = now;
    }

    /// Advances the state machine to `now`.
    pub fn tick(&mut self, now: Instant) -> Vec<WatchAction> {
        let mut actions = Vec::new();
        self.step(now, &mut actions);
        actions
    }

    /// Processes a status that was requested at `started`, by a probe or for a confirmation.
    pub fn on_status(
        &mut self,
        server: &ServerId,
        started: Instant,
        status: ServerStatus,
        now: Instant,
    ) -> Vec<WatchAction> {
        // Confirmations also pass their statuses to this method. They waited for a write, so their
        // duration does not show the round-trip time.
        if let Some(seen) = self.servers.get_mut(server)
            && seen.pending_probe.is_some_and(|asked| {
                asked <= started && started <= asked + Duration::from_millis(1)
            })
        {
            let round_trip = now.saturating_duration_since(started);
            seen.round_trip = (seen.round_trip * 7 + round_trip) / 8;
        }
        self.record_status(server, started, status, now);
        self.tick(now)
    }

    /// Records that a probe that was started at `started` failed or timed out.
    pub fn on_failure(
        &mut self,
        server: &ServerId,
        started: Instant,
        now: Instant,
    ) -> Vec<WatchAction> {
        if let Some(seen) = self.servers.get_mut(server) {
            seen.last_failure = seen.last_failure.max(Some(started));
            if seen.pending_probe.is_some_and(|asked| asked <= started) {
                seen.pending_probe = None;
            }
            if let Some((at, failed)) = &mut seen.fresh_probe
                && *at <= started
            {
                *failed = true;
            }
        }
        self.tick(now)
    }

    /// Processes the answer to a command that was sent at `started`. `Err` means that the command
    /// failed or its answer was lost.
    pub fn on_control(
        &mut self,
        server: &ServerId,
        command: &Control,
        answer: Result<ServerStatus, ()>,
        started: Instant,
        now: Instant,
    ) -> Vec<WatchAction> {
        if let Ok(status) = answer {
            self.record_command_answer(server, command, &status, now);
            self.record_status(server, started, status, now);
        }
        self.tick(now)
    }

    /// Processes the answer of the platform's table to the claim of a term.
    pub fn on_lease(&mut self, term: Term, answer: LeaseAnswer, now: Instant) -> Vec<WatchAction> {
        self.record_lease(term, answer, now);
        self.tick(now)
    }

    /// Requests an anchor at or after `since`. Does nothing when the current anchor is new enough.
    pub fn request_anchor(&mut self, since: Instant, now: Instant) -> Vec<WatchAction> {
        self.last_used = now;
        if self.anchor.is_some_and(|anchor| anchor.at >= since) {
            return Vec::new();
        }
        self.requested_anchor = self.requested_anchor.max(Some(since));
        self.tick(now)
    }

    fn record_status(
        &mut self,
        server: &ServerId,
        started: Instant,
        status: ServerStatus,
        now: Instant,
    ) {
        let Some(seen) = self.servers.get_mut(server) else {
            return;
        };
        if seen.pending_probe.is_some_and(|asked| asked <= started) {
            seen.pending_probe = None;
        }
        seen.last_answer = seen.last_answer.max(Some(now));
        if seen.requested_at.is_none_or(|last| last <= started) {
            seen.requested_at = Some(started);
            seen.status = Some(status);
            self.make_anchor();
        }
        self.update_term_state(now);
    }

    fn step(&mut self, now: Instant, actions: &mut Vec<WatchAction>) {
        if self.requested_anchor.is_some() && self.anchor.map(|a| a.at) >= self.requested_anchor {
            self.requested_anchor = None;
        }
        self.update_term_state(now);
        let trace = self.advance_failover(now, actions);
        self.probe(now, actions);
        self.repair(now, actions);
        let primary = self.primary();
        if primary != self.announced {
            self.announced.clone_from(&primary);
            actions.push(WatchAction::PrimaryChanged { primary, trace });
        }
    }

    /// Advances the anchor as far as the known statuses allow.
    ///
    /// The anchor's time is the request time of the oldest status that it needs. Only servers with
    /// exactly the primary's term count: a majority of them proves that no higher term had
    /// acknowledged a write when they were asked.
    fn make_anchor(&mut self) {
        let answers = self.servers.values().filter_map(|seen| {
            let status = seen.status.as_ref()?;
            Some((status, seen.requested_at?))
        });
        let primaries = answers.clone().filter(|(s, _)| s.role == Role::Primary);
        let Some((primary, asked)) = primaries.max_by_key(|(s, _)| s.term) else {
            return;
        };
        let term = primary.term;
        let same = answers.filter(|(s, _)| s.term == term && s.server != primary.server);
        let mut starts: Vec<Instant> = same.map(|(_, started)| started).collect();
        starts.sort_unstable_by(|a, b| b.cmp(a));
        let replicas = self.majority() - 1;
        let at = match replicas.checked_sub(1) {
            None => asked,
            Some(index) => match starts.get(index) {
                Some(started) => asked.min(*started),
                None => return,
            },
        };
        if self.anchor.is_none_or(|anchor| anchor.at < at) {
            let point = primary.last;
            self.anchor = Some(Anchor { at, point });
        }
    }

    /// Returns the poll interval while nothing is urgent. Watchers after the first one use the idle
    /// interval even when the group is in use: they are only standbys of the first, and a read
    /// that needs a newer anchor triggers its own poll.
    fn current_interval(&self, now: Instant) -> Duration {
        if self.config.rank > 0 || self.last_used + self.settings.idle_interval < now {
            self.settings.idle_interval
        } else {
            self.settings.poll_interval
        }
    }

    /// Starts the probes that are due and gives up those that timed out.
    fn probe(&mut self, now: Instant, actions: &mut Vec<WatchAction>) {
        let expected_primary = self.expected_primary();
        let detection_timeout = self.detection_timeout();
        let interval = self.current_interval(now);
        let primary_silent = expected_primary.as_ref().is_some_and(|server| {
            let last_answer = self.servers.get(server).and_then(|seen| seen.last_answer);
            last_answer.is_none_or(|at| at + interval + detection_timeout / 4 < now)
        });
        let settings = &self.settings;
        let is_urgent = primary_silent
            || self.no_primary.is_some()
            || self.requested_anchor.is_some()
            || !matches!(self.phase, Phase::Watching);
        let interval = if is_urgent {
            settings.urgent_interval
        } else {
            interval
        };
        let check = self.phase.check_start();
        for (server, seen) in &mut self.servers {
            let timed_out = seen
                .pending_probe
                .is_some_and(|asked| asked + detection_timeout / 2 <= now);
            if timed_out {
                seen.last_failure = seen.last_failure.max(seen.pending_probe);
                seen.pending_probe = None;
            }
            if seen.pending_probe.is_some() {
                continue;
            }
            let due = |interval: Duration| seen.last_probe.is_none_or(|at| at + interval <= now);
            let anchor_requested = self
                .requested_anchor
                .is_some_and(|since| seen.last_probe.is_none_or(|at| at < since));
            let checking = check.is_some_and(|start| seen.last_probe.is_none_or(|at| at < start));
            if !(due(interval) || checking || anchor_requested && due(settings.min_spacing)) {
                continue;
            }
            let last_failed = seen.last_failure.is_some() && seen.last_failure >= seen.requested_at;
            let fresh_connection =
                last_failed || checking && expected_primary.as_ref() == Some(server);
            if fresh_connection {
                seen.fresh_probe = Some((now, false));
            }
            seen.pending_probe = Some(now);
            seen.last_probe = Some(now);
            actions.push(WatchAction::Probe {
                server: server.clone(),
                fresh_connection,
            });
        }
    }

    /// Sends `Control::Follow` to servers that have an older term or follow another server.
    fn repair(&mut self, now: Instant, actions: &mut Vec<WatchAction>) {
        if self.phase.is_changing() {
            return;
        }
        let Some((primary, term)) = self.primary() else {
            return;
        };
        let retry = self.settings.repair_retry;
        for (server, seen) in &mut self.servers {
            let Some(status) = &seen.status else { continue };
            let needs_repair = status.term < term
                || status.term == term && status.primary.as_ref() != Some(&primary);
            let waiting = seen.last_repair.is_some_and(|at| now < at + retry);
            if *server == primary
                || !needs_repair
                || waiting
                || seen.last_failure >= seen.requested_at
            {
                continue;
            }
            seen.last_repair = Some(now);
            let server = server.clone();
            let command = Control::Follow {
                term,
                server: primary.clone(),
            };
            actions.push(WatchAction::Control { server, command });
        }
    }

    /// Returns when `tick` must be called next.
    #[must_use]
    pub fn next_tick(&self, now: Instant) -> Instant {
        // The timers of all phases are multiples of the urgent interval or expire shortly after
        // one.
        let is_urgent = self.no_primary.is_some()
            || self.term_ahead.is_some()
            || self.requested_anchor.is_some()
            || !matches!(self.phase, Phase::Watching)
            || self
                .servers
                .values()
                .any(|seen| seen.last_failure >= seen.requested_at);
        if is_urgent {
            return now + self.settings.urgent_interval / 4;
        }
        let interval = self.current_interval(now);
        let due = |seen: &ServerState| match seen.pending_probe {
            Some(asked) => asked + self.detection_timeout() / 4,
            None => seen.last_probe.map_or(now, |at| at + interval),
        };
        let next = self
            .servers
            .values()
            .map(due)
            .min()
            .unwrap_or(now + interval);
        next.max(now + Duration::from_millis(1))
    }

    /// Returns the time without an answer after which a server counts as unreachable: the failure
    /// timeout plus twice the largest mean round-trip time.
    fn detection_timeout(&self) -> Duration {
        let slowest = self.servers.values().map(|seen| seen.round_trip).max();
        self.settings.failure_timeout + slowest.unwrap_or_default() * 2
    }

    fn majority(&self) -> usize {
        self.servers.len() / 2 + 1
    }

    /// Returns the highest term that was seen or attempted.
    fn highest_term(&self) -> Term {
        let seen = self.servers.values().filter_map(|s| s.status.as_ref());
        seen.map(|s| s.term)
            .max()
            .unwrap_or(0)
            .max(self.attempted_term)
    }
}
