//! Records the events that callers and servers observe and checks the guarantees against them.

use std::{
    collections::{HashMap, HashSet},
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Id of a statement, unique in a run: `cCALLER-OPERATION-STATEMENT`.
pub type StatementId = String;

/// Log position of a commit in a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    pub term: u64,
    /// Number of commits in the log up to and including this one.
    pub number: u64,
}

/// How fresh the reads of a database must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Reads see every acknowledged commit.
    Strong,
    /// Reads see every commit that was acknowledged longer ago than this.
    Bounded(Duration),
    /// As `Bounded`, and reads also see the commits of their own session.
    Own(Duration),
}

/// A commit that was acknowledged to a caller.
struct AcknowledgedCommit {
    at: Instant,
    group: usize,
    session: u64,
    position: Position,
}

/// The state that a statement must find, as of the first byte of its transaction.
#[derive(Clone, Debug, Default)]
struct Expected {
    /// Position that the server must have applied before it runs a read.
    position: Option<Position>,
    /// Values that the session has set.
    values: Vec<(String, String)>,
}

#[derive(Default)]
struct Events {
    violations: Vec<String>,
    acknowledged: Vec<AcknowledgedCommit>,
    expected: HashMap<StatementId, Expected>,
    /// Statements that servers have run.
    executed: HashSet<StatementId>,
    /// Position of each commit, by the id of its last statement.
    commits: HashMap<StatementId, Position>,
    /// Writes whose callers were told that they have no effect.
    not_applied: HashSet<StatementId>,
    /// Writes whose callers were told that they are committed.
    confirmed: HashSet<StatementId>,
    /// Number of statements that callers were told have succeeded.
    answered: u64,
    failed: u64,
}

/// The events of one run, shared by its callers and servers.
#[derive(Default)]
pub struct History(Mutex<Events>);

impl History {
    fn events(&self) -> MutexGuard<'_, Events> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the violation of a guarantee.
    pub fn record_violation(&self, text: String) {
        self.events().violations.push(text);
    }

    /// Returns the violations recorded so far.
    pub fn violations(&self) -> Vec<String> {
        self.events().violations.clone()
    }

    /// Returns the numbers of answered and of failed statements.
    pub fn totals(&self) -> (u64, u64) {
        let events = self.events();
        (events.answered, events.failed)
    }

    /// Returns the newest position that a transaction starting now must see.
    pub fn min_position(
        &self,
        group: usize,
        session: u64,
        freshness: Freshness,
    ) -> Option<Position> {
        let now = Instant::now();
        let needed = |commit: &&AcknowledgedCommit| match freshness {
            Freshness::Strong => true,
            Freshness::Bounded(age) => now.duration_since(commit.at) > age,
            Freshness::Own(age) => commit.session == session || now.duration_since(commit.at) > age,
        };
        let events = self.events();
        let commits = events.acknowledged.iter().filter(|c| c.group == group);
        commits.filter(needed).map(|commit| commit.position).max()
    }

    /// Records what a statement must find, before its first byte is sent.
    pub fn record_expectation(
        &self,
        id: &str,
        min_position: Option<Position>,
        values: &[(String, String)],
    ) {
        let expected = Expected {
            position: min_position,
            values: values.to_vec(),
        };
        self.events().expected.insert(id.into(), expected);
    }

    /// Records and checks a statement that a server runs. `has_applied` returns whether the server
    /// has applied the commit at a position.
    pub fn executed(
        &self,
        server: &str,
        id: &str,
        reads: bool,
        values: &HashMap<String, String>,
        has_applied: impl Fn(Position) -> bool,
    ) {
        let mut events = self.events();
        let Some(expected) = events.expected.get(id).cloned() else {
            let text = format!("unknown statement: {server} ran {id}, which no caller sent");
            events.violations.push(text);
            return;
        };
        if let Some(min_position) = expected
            .position
            .filter(|min_position| reads && !has_applied(*min_position))
        {
            let text =
                format!("stale read: {server} ran {id} without having applied {min_position:?}");
            events.violations.push(text);
        }
        let differs = |(name, value): &(String, String)| values.get(name) != Some(value);
        if expected.values.iter().any(differs) || values.len() != expected.values.len() {
            let text = format!(
                "session values: {server} ran {id} with {values:?} instead of {expected:?}"
            );
            events.violations.push(text);
        }
        events.executed.insert(id.into());
    }

    /// Records a commit that a primary appends to its log, and checks that it is the only one for
    /// its statement.
    pub fn committed(&self, id: &str, position: Position) {
        let first = self.events().commits.insert(id.into(), position);
        if let Some(first) = first {
            self.record_violation(format!(
                "duplicate commit: {id} at {first:?} and at {position:?}"
            ));
        }
    }

    /// Records that a caller received success for a statement, and checks that a server ran it.
    pub fn succeeded(&self, id: &str) {
        let mut events = self.events();
        events.answered += 1;
        if !events.executed.contains(id) {
            let text = format!("wrong answer: {id} received success but did not run");
            events.violations.push(text);
        }
    }

    /// Records a commit that was acknowledged to its caller, with its writes.
    pub fn acknowledged(&self, group: usize, session: u64, commit: &str, writes: &[StatementId]) {
        let mut events = self.events();
        let Some(position) = events.commits.get(commit).copied() else {
            let text = format!("lost commit: {commit} was acknowledged but not committed");
            events.violations.push(text);
            return;
        };
        let at = Instant::now();
        events.acknowledged.push(AcknowledgedCommit {
            at,
            group,
            session,
            position,
        });
        events.confirmed.extend(writes.iter().cloned());
    }

    /// Records a failed operation whose caller was told that its writes have no effect.
    pub fn not_applied(&self, writes: &[StatementId]) {
        let mut events = self.events();
        events.failed += 1;
        events.not_applied.extend(writes.iter().cloned());
    }

    /// Records a failed statement whose outcome its caller does not know.
    pub fn outcome_unknown(&self) {
        self.events().failed += 1;
    }

    /// Checks that a log contains all acknowledged commits of a group. Runs for the log of each
    /// promoted primary and for the final logs.
    pub fn check_log(&self, log_name: &str, group: usize, log: &[(Position, Vec<StatementId>)]) {
        let mut events = self.events();
        let logged: HashSet<Position> = log.iter().map(|(position, _)| *position).collect();
        let missing: Vec<Position> = events
            .acknowledged
            .iter()
            .filter(|commit| commit.group == group)
            .map(|commit| commit.position)
            .filter(|position| !logged.contains(position))
            .collect();
        if let Some(first) = missing.first() {
            let text = format!(
                "lost commit: {log_name} lacks {} acknowledged commits, the first is {first:?}",
                missing.len()
            );
            events.violations.push(text);
        }
    }

    /// Checks the writes in the final logs of all groups: each confirmed write must be there, none
    /// twice, and none whose caller was told that it has no effect.
    pub fn check_writes(&self, logged: &[StatementId]) {
        let mut events = self.events();
        let mut unique = HashSet::new();
        let mut violations = Vec::new();
        for id in logged {
            if !unique.insert(id) {
                violations.push(format!("duplicate write: {id} is in the log twice"));
            }
            if events.not_applied.contains(id) {
                violations.push(format!(
                    "unexpected write: {id} is in the log, but its caller was told it is not"
                ));
            }
        }
        for id in &events.confirmed {
            if !unique.contains(id) {
                violations.push(format!(
                    "lost write: {id} was acknowledged but is in no log"
                ));
            }
        }
        events.violations.extend(violations);
    }
}
