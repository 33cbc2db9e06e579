//! Detection of connections that hang while the server is alive.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Settings of silence detection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SilenceSettings {
    /// Time without progress after which a statement is checked.
    pub progress_timeout: Duration,
    /// Time between two checks. A statement is given up only after two checks, because its
    /// answer may have been on its way during the first.
    pub repeat: Duration,
    /// Time over which all checks fail until the server counts as unreachable. Long enough for
    /// a check that is lost once, and short enough for a caller to get its outcome from the new
    /// primary within the 7 s of a primary change.
    pub unreachable: Duration,
}

impl Default for SilenceSettings {
    fn default() -> Self {
        Self {
            progress_timeout: Duration::from_secs(1),
            repeat: Duration::from_millis(500),
            unreachable: Duration::from_secs(2),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Progress {
    /// Id of the statement's connection on the server, if it is known.
    connection: Option<u64>,
    last: Instant,
    doubted: Option<Instant>,
}

/// Watches the statements in progress on one server and finds those whose connection hangs.
///
/// A statement is silent when it made no progress for the quiet time and the server, asked
/// twice over a new connection, does not list its connection among those that work on a
/// statement. A count of running statements does not decide this: short statements come and go
/// between the server's report and its arrival, and slow but live work was given up beside them.
#[derive(Clone, Debug)]
pub struct SilenceWatch {
    settings: SilenceSettings,
    statements: IndexMap<u64, Progress>,
    asked: Option<Instant>,
    /// Start of the first of the checks that failed in a row.
    failing: Option<Instant>,
}

impl SilenceWatch {
    /// Creates a watch without statements.
    #[must_use]
    pub fn new(settings: SilenceSettings) -> Self {
        Self {
            settings,
            statements: IndexMap::new(),
            asked: None,
            failing: None,
        }
    }

    /// Adds a statement that was sent on a connection. Without the connection's id only an
    /// unreachable server gives the statement up.
    pub fn start(&mut self, id: u64, connection: Option<u64>, now: Instant) {
        let progress = Progress {
            connection,
            last: now,
            doubted: None,
        };
        self.statements.insert(id, progress);
    }

    /// Notes progress on a statement: a part of its answer.
    pub fn progress(&mut self, id: u64, now: Instant) {
        if let Some(progress) = self.statements.get_mut(&id) {
            progress.last = now;
            progress.doubted = None;
        }
    }

    /// Removes a statement that ended.
    pub fn finish(&mut self, id: u64) {
        self.statements.swap_remove(&id);
    }

    /// Returns whether the server is to be asked now, over a new connection, which connections
    /// work on a statement.
    pub fn poll(&mut self, now: Instant) -> bool {
        if self.next_deadline().is_none_or(|at| now < at) {
            return false;
        }
        self.asked = Some(now);
        true
    }

    /// Returns when `poll` has to be called next.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        let oldest = self.statements.values().map(|p| p.last).min()?;
        let quiet = oldest + self.settings.progress_timeout;
        let again = self.asked.map(|at| at + self.settings.repeat);
        Some(again.map_or(quiet, |again| quiet.max(again)))
    }

    /// Takes the server's answer to a check that started at `started`: the connections that work
    /// on a statement. Returns the statements whose connections are silent; they are no longer
    /// watched.
    pub fn on_answer(&mut self, started: Instant, active: &[u64]) -> Vec<u64> {
        self.failing = None;
        let settings = &self.settings;
        let mut silent = Vec::new();
        for (id, progress) in &mut self.statements {
            let idle = progress
                .connection
                .is_some_and(|connection| !active.contains(&connection));
            if progress.last + settings.progress_timeout > started {
                continue;
            }
            match (idle, progress.doubted) {
                (false, _) => progress.doubted = None,
                (true, None) => progress.doubted = Some(started),
                (true, Some(at)) if at + settings.repeat <= started => silent.push(*id),
                (true, Some(_)) => {}
            }
        }
        for id in &silent {
            self.statements.swap_remove(id);
        }
        silent
    }

    /// Notes that the check that started at `started` could not reach the server. Returns the
    /// statements to give up: those that are silent themselves once the server has been
    /// unreachable over new connections for long enough; they are no longer watched.
    pub fn on_failure(&mut self, started: Instant) -> Vec<u64> {
        let failing = *self.failing.get_or_insert(started);
        if started < failing + self.settings.unreachable {
            return Vec::new();
        }
        let quiet = self.settings.progress_timeout;
        let silent: Vec<u64> = self
            .statements
            .iter()
            .filter(|(_, progress)| progress.last + quiet <= started)
            .map(|(id, _)| *id)
            .collect();
        for id in &silent {
            self.statements.swap_remove(id);
        }
        silent
    }
}
