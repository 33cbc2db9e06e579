//! Monitoring of a database group, and promotion of a new primary.

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

/// What is known of one server.
#[derive(Clone, Debug, Default)]
struct Seen {
    /// Last status by start of the question.
    status: Option<ServerStatus>,
    /// Start of the question that `status` answers.
    started: Option<Instant>,
    /// When any answer came in last.
    heard: Option<Instant>,
    /// Start of the probe in progress.
    asked: Option<Instant>,
    /// Start of the last probe.
    probed: Option<Instant>,
    /// Start of the last probe over a new connection, and whether it failed.
    fresh: Option<(Instant, bool)>,
    /// Last failed question, by its start.
    failed: Option<Instant>,
    /// When a repair command was sent last.
    repaired: Option<Instant>,
    /// Mean time of a probe.
    trip: Duration,
}

/// State machine of one node for one database group.
///
/// Several nodes may watch a group at the same time; terms make their decisions consistent.
/// Each input returns the actions that follow from it. `tick` has to be called at the latest at
/// `next_tick`.
#[derive(Clone, Debug)]
pub struct GroupWatch {
    settings: WatchSettings,
    config: GroupConfig,
    /// Name that terms are granted to. It contains a random number, because a restarted node
    /// must not take a grant of its former process for its own.
    promoter: NodeId,
    servers: IndexMap<ServerId, Seen>,
    phase: Phase,
    anchor: Option<Anchor>,
    /// Instant that the next anchor has to reach.
    wanted: Option<Instant>,
    /// Last input that showed that the group is in use.
    used: Instant,
    /// Highest term that this watch tried to raise.
    attempted: Term,
    /// No failover is started before this instant.
    paused: Instant,
    /// Highest term without a primary, and since when.
    vacant: Option<(Term, Instant)>,
    /// Since when a server has a higher term than the primary.
    stray: Option<Instant>,
    announced: Option<(ServerId, Term)>,
    random: SmallRng,
}

impl GroupWatch {
    /// Creates a watch that knows nothing. `seed` must differ between processes.
    #[must_use]
    pub fn new(settings: WatchSettings, config: GroupConfig, seed: u64, now: Instant) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let promoter = format_smolstr!("{}#{:016x}", config.node, random.random::<u64>());
        let servers = config.servers.iter();
        Self {
            promoter,
            servers: servers.map(|s| (s.clone(), Seen::default())).collect(),
            phase: Phase::Watching,
            anchor: None,
            wanted: None,
            used: now,
            attempted: 0,
            // A new watch first has to hear what is going on.
            paused: now + settings.failure_timeout,
            vacant: None,
            stray: None,
            announced: None,
            settings,
            config,
            random,
        }
    }

    /// Changes the place of the node among the watchers.
    pub fn set_rank(&mut self, rank: u32) {
        self.config.rank = rank;
    }

    /// Changes the servers that are leaving.
    pub fn set_leaving(&mut self, leaving: Vec<ServerId>) {
        self.config.leaving = leaving;
    }

    /// Returns the watched group.
    #[must_use]
    pub const fn config(&self) -> &GroupConfig {
        &self.config
    }

    /// Name that terms are granted to.
    #[must_use]
    pub const fn promoter(&self) -> &NodeId {
        &self.promoter
    }

    /// Notes that the group is in use, which keeps the poll interval short.
    pub fn touch(&mut self, now: Instant) {
        self.used = now;
    }

    /// Advances the clock.
    pub fn tick(&mut self, now: Instant) -> Vec<WatchAction> {
        let mut actions = Vec::new();
        self.step(now, &mut actions);
        actions
    }

    /// Takes the answer to a probe that was started at `started`.
    pub fn on_status(
        &mut self,
        server: &ServerId,
        started: Instant,
        status: ServerStatus,
        now: Instant,
    ) -> Vec<WatchAction> {
        // Statuses of confirmations come in here too; they waited for a write, which says
        // nothing about the network.
        if let Some(seen) = self.servers.get_mut(server)
            && seen.asked.is_some_and(|asked| {
                asked <= started && started <= asked + Duration::from_millis(1)
            })
        {
            let trip = now.saturating_duration_since(started);
            seen.trip = (seen.trip * 7 + trip) / 8;
        }
        self.learn(server, started, status, now);
        self.tick(now)
    }

    /// Notes that a probe that was started at `started` failed or was given up.
    pub fn on_failure(
        &mut self,
        server: &ServerId,
        started: Instant,
        now: Instant,
    ) -> Vec<WatchAction> {
        if let Some(seen) = self.servers.get_mut(server) {
            seen.failed = seen.failed.max(Some(started));
            if seen.asked.is_some_and(|asked| asked <= started) {
                seen.asked = None;
            }
            if let Some((at, failed)) = &mut seen.fresh
                && *at <= started
            {
                *failed = true;
            }
        }
        self.tick(now)
    }

    /// Takes the answer to a command that was sent at `started`; `Err` when it failed or its
    /// answer was lost.
    pub fn on_control(
        &mut self,
        server: &ServerId,
        command: &Control,
        answer: Result<ServerStatus, ()>,
        started: Instant,
        now: Instant,
    ) -> Vec<WatchAction> {
        if let Ok(status) = answer {
            self.on_command(server, command, &status, now);
            self.learn(server, started, status, now);
        }
        self.tick(now)
    }

    /// Takes the answer of the platform's table.
    pub fn on_lease(&mut self, term: Term, answer: LeaseAnswer, now: Instant) -> Vec<WatchAction> {
        self.decide_lease(term, answer, now);
        self.tick(now)
    }

    /// Asks for an anchor at or after `since`; nothing happens when there is one.
    pub fn request_anchor(&mut self, since: Instant, now: Instant) -> Vec<WatchAction> {
        self.used = now;
        if self.anchor.is_some_and(|anchor| anchor.at >= since) {
            return Vec::new();
        }
        self.wanted = self.wanted.max(Some(since));
        self.tick(now)
    }

    fn learn(&mut self, server: &ServerId, started: Instant, status: ServerStatus, now: Instant) {
        let Some(seen) = self.servers.get_mut(server) else {
            return;
        };
        if seen.asked.is_some_and(|asked| asked <= started) {
            seen.asked = None;
        }
        seen.heard = seen.heard.max(Some(now));
        if seen.started.is_none_or(|last| last <= started) {
            seen.started = Some(started);
            seen.status = Some(status);
            self.make_anchor();
        }
        self.note_vacancy(now);
    }

    fn step(&mut self, now: Instant, actions: &mut Vec<WatchAction>) {
        if self.wanted.is_some() && self.anchor.map(|a| a.at) >= self.wanted {
            self.wanted = None;
        }
        self.note_vacancy(now);
        let trace = self.advance(now, actions);
        self.probe(now, actions);
        self.repair(now, actions);
        let primary = self.primary();
        if primary != self.announced {
            self.announced.clone_from(&primary);
            actions.push(WatchAction::PrimaryChanged { primary, trace });
        }
    }

    /// Makes the anchor that the known statuses allow.
    ///
    /// The anchor starts when the oldest of the questions that make it was asked. Only servers
    /// with exactly the primary's term count: a majority of them shows that no higher term had
    /// acknowledged anything when they were asked.
    fn make_anchor(&mut self) {
        let answers = self.servers.values().filter_map(|seen| {
            let status = seen.status.as_ref()?;
            Some((status, seen.started?))
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

    /// Interval between two polls while nothing presses. Watchers after the first one poll
    /// slowly even in a group in use: they stand by for the first, and a read that needs a newer
    /// anchor starts a poll of its own.
    fn pace(&self, now: Instant) -> Duration {
        if self.config.rank > 0 || self.used + self.settings.idle_interval < now {
            self.settings.idle_interval
        } else {
            self.settings.poll_interval
        }
    }

    /// Emits the probes that are due.
    fn probe(&mut self, now: Instant, actions: &mut Vec<WatchAction>) {
        let suspect = self.suspect();
        let patience = self.patience();
        let pace = self.pace(now);
        let silent = suspect.as_ref().is_some_and(|server| {
            let heard = self.servers.get(server).and_then(|seen| seen.heard);
            heard.is_none_or(|heard| heard + pace + patience / 4 < now)
        });
        let settings = &self.settings;
        let pressing = silent
            || self.vacant.is_some()
            || self.wanted.is_some()
            || !matches!(self.phase, Phase::Watching);
        let pace = if pressing {
            settings.urgent_interval
        } else {
            pace
        };
        let check = self.phase.check_start();
        for (server, seen) in &mut self.servers {
            let unanswered = seen.asked.is_some_and(|asked| asked + patience / 2 <= now);
            if unanswered {
                seen.failed = seen.failed.max(seen.asked);
                seen.asked = None;
            }
            if seen.asked.is_some() {
                continue;
            }
            let due = |pace: Duration| seen.probed.is_none_or(|probed| probed + pace <= now);
            let wanted = self
                .wanted
                .is_some_and(|since| seen.probed.is_none_or(|probed| probed < since));
            let checking = check.is_some_and(|start| seen.probed.is_none_or(|at| at < start));
            if !(due(pace) || checking || wanted && due(settings.min_spacing)) {
                continue;
            }
            let failing = seen.failed.is_some() && seen.failed >= seen.started;
            let fresh_connection = failing || checking && suspect.as_ref() == Some(server);
            if fresh_connection {
                seen.fresh = Some((now, false));
            }
            seen.asked = Some(now);
            seen.probed = Some(now);
            actions.push(WatchAction::Probe {
                server: server.clone(),
                fresh_connection,
            });
        }
    }

    /// Sends `FOLLOW` to servers that follow an older term or another server.
    fn repair(&mut self, now: Instant, actions: &mut Vec<WatchAction>) {
        if self.phase.is_changing() {
            return;
        }
        let Some((primary, term)) = self.primary() else {
            return;
        };
        let again = self.settings.repair_retry;
        for (server, seen) in &mut self.servers {
            let Some(status) = &seen.status else { continue };
            let astray = status.term < term
                || status.term == term && status.primary.as_ref() != Some(&primary);
            let waiting = seen.repaired.is_some_and(|at| now < at + again);
            if *server == primary || !astray || waiting || seen.failed >= seen.started {
                continue;
            }
            seen.repaired = Some(now);
            let server = server.clone();
            let command = Control::Follow {
                term,
                server: primary.clone(),
            };
            actions.push(WatchAction::Control { server, command });
        }
    }

    /// Returns when `tick` has to be called next.
    #[must_use]
    pub fn next_tick(&self, now: Instant) -> Instant {
        // Timers of all phases are multiples of the urgent interval or end soon after.
        let pressing = self.vacant.is_some()
            || self.stray.is_some()
            || self.wanted.is_some()
            || !matches!(self.phase, Phase::Watching)
            || self
                .servers
                .values()
                .any(|seen| seen.failed >= seen.started);
        if pressing {
            return now + self.settings.urgent_interval / 4;
        }
        let pace = self.pace(now);
        let due = |seen: &Seen| match seen.asked {
            Some(asked) => asked + self.patience() / 4,
            None => seen.probed.map_or(now, |probed| probed + pace),
        };
        let next = self.servers.values().map(due).min().unwrap_or(now + pace);
        next.max(now + Duration::from_millis(1))
    }

    /// Time without an answer after which a server is held to be unreachable, widened by the
    /// observed round trips.
    fn patience(&self) -> Duration {
        let slowest = self.servers.values().map(|seen| seen.trip).max();
        self.settings.failure_timeout + slowest.unwrap_or_default() * 2
    }

    fn majority(&self) -> usize {
        self.servers.len() / 2 + 1
    }

    /// Highest term seen or attempted.
    fn highest_term(&self) -> Term {
        let seen = self.servers.values().filter_map(|s| s.status.as_ref());
        seen.map(|s| s.term).max().unwrap_or(0).max(self.attempted)
    }
}
