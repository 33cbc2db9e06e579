//! Detection of connections that hang while the server is alive.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Settings of silence detection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SilenceSettings {
    /// Time without progress after which a statement is checked.
    pub quiet: Duration,
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
            quiet: Duration::from_secs(1),
            repeat: Duration::from_millis(500),
            unreachable: Duration::from_secs(2),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Progress {
    last: Instant,
    doubted: Option<Instant>,
}

/// Watches the statements in progress on one server and finds those whose connection hangs.
///
/// A statement is silent when it made no progress for the quiet time and the server, asked
/// twice over a new connection, reports fewer running statements than are in progress, so that
/// it cannot be among them. While the count leaves open which statement is not running,
/// none is given up: slow but live work goes on.
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

    /// Adds a statement that was sent, or notes progress on it (a part of its answer).
    pub fn progress(&mut self, id: u64, now: Instant) {
        let progress = Progress {
            last: now,
            doubted: None,
        };
        self.statements.insert(id, progress);
    }

    /// Removes a statement that ended.
    pub fn finish(&mut self, id: u64) {
        self.statements.swap_remove(&id);
    }

    /// Returns whether the server is to be asked now, over a new connection, how many
    /// statements it runs.
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
        let quiet = oldest + self.settings.quiet;
        let again = self.asked.map(|at| at + self.settings.repeat);
        Some(again.map_or(quiet, |again| quiet.max(again)))
    }

    /// Takes the server's answer to a check that started at `started`: the number of statements
    /// it runs. Returns the statements whose connections are silent; they are no longer watched.
    pub fn on_answer(&mut self, started: Instant, running: u32) -> Vec<u64> {
        self.failing = None;
        let settings = &self.settings;
        let quiet = |p: &Progress| p.last + settings.quiet <= started;
        let count = self.statements.len();
        let suspects = self.statements.values().filter(|p| quiet(p)).count();
        // All suspects are idle only if the others alone account for the count.
        let certain = usize::try_from(running).unwrap_or(usize::MAX) <= count - suspects;
        let mut silent = Vec::new();
        for (id, progress) in &mut self.statements {
            if !quiet(progress) {
                continue;
            }
            match (certain, progress.doubted) {
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
        let quiet = self.settings.quiet;
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
