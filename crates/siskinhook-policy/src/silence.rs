//! Detection of hung connections to a server that is still alive.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Settings of hung-connection detection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SilenceSettings {
    /// Time without progress after which a statement is checked.
    pub progress_timeout: Duration,
    /// Time between two checks. A statement is given up only after two checks, because its answer
    /// may still have been in transit during the first.
    pub check_interval: Duration,
    /// Time for which all checks must fail before the server counts as unreachable. It tolerates
    /// one lost check, and leaves a caller enough time to get its outcome from the new primary
    /// within the 7 s allowed for a change of primary.
    pub unreachable_after: Duration,
}

impl Default for SilenceSettings {
    fn default() -> Self {
        Self {
            progress_timeout: Duration::from_secs(1),
            check_interval: Duration::from_millis(500),
            unreachable_after: Duration::from_secs(2),
        }
    }
}

/// Statement in flight.
#[derive(Clone, Copy, Debug)]
struct WatchedStatement {
    /// Server-side id of the statement's connection, if known.
    connection: Option<u64>,
    last_progress: Instant,
    /// Start of the check that first found the connection inactive.
    suspected_at: Option<Instant>,
}

/// Watches the statements in flight on one server and finds those whose connection hangs.
///
/// A statement is silent when it made no progress for `progress_timeout` and two checks over a
/// new connection show that the server is not executing a statement on its connection. Comparing
/// only the number of running statements is not enough: short statements start and end between
/// the server's report and its arrival, which caused slow but live statements to be given up.
#[derive(Clone, Debug)]
pub struct SilenceWatch {
    settings: SilenceSettings,
    statements: IndexMap<u64, WatchedStatement>,
    /// Start of the last check.
    last_check: Option<Instant>,
    /// Start of the first check in the current run of failed checks.
    failing_since: Option<Instant>,
}

impl SilenceWatch {
    /// Creates a watch without statements.
    #[must_use]
    pub fn new(settings: SilenceSettings) -> Self {
        Self {
            settings,
            statements: IndexMap::new(),
            last_check: None,
            failing_since: None,
        }
    }

    /// Adds a statement that was sent on a connection. If the connection's id is unknown, the
    /// statement is given up only when the server is unreachable.
    pub fn start(&mut self, id: u64, connection: Option<u64>, now: Instant) {
        let statement = WatchedStatement {
            connection,
            last_progress: now,
            suspected_at: None,
        };
        self.statements.insert(id, statement);
    }

    /// Records that a part of a statement's answer arrived.
    pub fn progress(&mut self, id: u64, now: Instant) {
        if let Some(statement) = self.statements.get_mut(&id) {
            statement.last_progress = now;
            statement.suspected_at = None;
        }
    }

    /// Removes a statement that ended.
    pub fn finish(&mut self, id: u64) {
        self.statements.swap_remove(&id);
    }

    /// Returns whether a check is due: a request to the server, over a new connection, to list the
    /// connections that are executing a statement.
    pub fn poll(&mut self, now: Instant) -> bool {
        if self.next_deadline().is_none_or(|at| now < at) {
            return false;
        }
        self.last_check = Some(now);
        true
    }

    /// Returns when `poll` must be called next.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        let oldest_progress = self.statements.values().map(|p| p.last_progress).min()?;
        let timeout_at = oldest_progress + self.settings.progress_timeout;
        let next_check = self.last_check.map(|at| at + self.settings.check_interval);
        Some(next_check.map_or(timeout_at, |next_check| timeout_at.max(next_check)))
    }

    /// Processes the answer to the check that started at `started`. `active` lists the connections
    /// that are executing a statement.
    ///
    /// Returns the statements whose connections are silent and stops watching them.
    pub fn on_answer(&mut self, started: Instant, active: &[u64]) -> Vec<u64> {
        self.failing_since = None;
        let settings = &self.settings;
        let mut silent = Vec::new();
        for (id, statement) in &mut self.statements {
            let is_inactive = statement
                .connection
                .is_some_and(|connection| !active.contains(&connection));
            if statement.last_progress + settings.progress_timeout > started {
                continue;
            }
            match (is_inactive, statement.suspected_at) {
                (false, _) => statement.suspected_at = None,
                (true, None) => statement.suspected_at = Some(started),
                (true, Some(at)) if at + settings.check_interval <= started => silent.push(*id),
                (true, Some(_)) => {}
            }
        }
        for id in &silent {
            self.statements.swap_remove(id);
        }
        silent
    }

    /// Records that the check that started at `started` could not reach the server.
    ///
    /// Once the server has been unreachable for long enough, returns the statements that made no
    /// progress for `progress_timeout` and stops watching them.
    pub fn on_failure(&mut self, started: Instant) -> Vec<u64> {
        let failing_since = *self.failing_since.get_or_insert(started);
        if started < failing_since + self.settings.unreachable_after {
            return Vec::new();
        }
        let progress_timeout = self.settings.progress_timeout;
        let silent: Vec<u64> = self
            .statements
            .iter()
            .filter(|(_, statement)| statement.last_progress + progress_timeout <= started)
            .map(|(id, _)| *id)
            .collect();
        for id in &silent {
            self.statements.swap_remove(id);
        }
        silent
    }
}
