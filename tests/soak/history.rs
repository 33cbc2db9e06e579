//! What callers and servers saw, and the promises that are checked against it.

use std::{
    collections::{HashMap, HashSet},
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Id of a statement, unique in a run: `cCALLER-OPERATION-STATEMENT`.
pub type StatementId = String;

/// Place of a commit in the log of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    pub term: u64,
    /// Number of commits up to and with this one.
    pub number: u64,
}

/// How fresh the reads of a database must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    Strong,
    Bounded(Duration),
    Own(Duration),
}

struct Acknowledged {
    at: Instant,
    group: usize,
    session: u64,
    position: Position,
}

/// What a statement may rely on, as of the first byte of its transaction.
#[derive(Clone, Debug, Default)]
struct Expected {
    position: Option<Position>,
    values: Vec<(String, String)>,
}

#[derive(Default)]
struct Seen {
    broken: Vec<String>,
    acknowledged: Vec<Acknowledged>,
    expected: HashMap<StatementId, Expected>,
    /// Statements that servers ran.
    ran: HashSet<StatementId>,
    /// Place of each commit, by the id of its last statement.
    commits: HashMap<StatementId, Position>,
    /// Writes of which callers were told that nothing is kept.
    refused: HashSet<StatementId>,
    /// Writes that callers were told are kept.
    kept: HashSet<StatementId>,
    answered: u64,
    failed: u64,
}

/// The events of one run.
#[derive(Default)]
pub struct History(Mutex<Seen>);

impl History {
    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a broken promise.
    pub fn break_promise(&self, text: String) {
        self.seen().broken.push(text);
    }

    /// Returns the broken promises so far.
    pub fn broken(&self) -> Vec<String> {
        self.seen().broken.clone()
    }

    /// Returns the numbers of answered and of failed statements.
    pub fn totals(&self) -> (u64, u64) {
        let seen = self.seen();
        (seen.answered, seen.failed)
    }

    /// Returns the position that a transaction that begins now must see.
    pub fn floor(&self, group: usize, session: u64, freshness: Freshness) -> Option<Position> {
        let now = Instant::now();
        let needed = |commit: &&Acknowledged| match freshness {
            Freshness::Strong => true,
            Freshness::Bounded(age) => now.duration_since(commit.at) > age,
            Freshness::Own(age) => commit.session == session || now.duration_since(commit.at) > age,
        };
        let seen = self.seen();
        let commits = seen.acknowledged.iter().filter(|c| c.group == group);
        commits.filter(needed).map(|commit| commit.position).max()
    }

    /// Records a statement before its first byte is sent.
    pub fn expect(&self, id: &str, floor: Option<Position>, values: &[(String, String)]) {
        let expected = Expected {
            position: floor,
            values: values.to_vec(),
        };
        self.seen().expected.insert(id.into(), expected);
    }

    /// Checks a statement that a server runs. `holds` tells whether its log holds a position.
    pub fn ran(
        &self,
        server: &str,
        id: &str,
        reads: bool,
        values: &HashMap<String, String>,
        holds: impl Fn(Position) -> bool,
    ) {
        let mut seen = self.seen();
        let Some(expected) = seen.expected.get(id).cloned() else {
            let text = format!("unasked: {server} ran {id}, which no caller sent");
            seen.broken.push(text);
            return;
        };
        if let Some(floor) = expected.position.filter(|floor| reads && !holds(*floor)) {
            let text = format!("stale: {server} ran {id} without the commit {floor:?}");
            seen.broken.push(text);
        }
        let differs = |(name, value): &(String, String)| values.get(name) != Some(value);
        if expected.values.iter().any(differs) || values.len() != expected.values.len() {
            let text = format!("values: {server} ran {id} with {values:?}, not {expected:?}");
            seen.broken.push(text);
        }
        seen.ran.insert(id.into());
    }

    /// Records a commit at a primary.
    pub fn committed(&self, id: &str, position: Position) {
        let first = self.seen().commits.insert(id.into(), position);
        if let Some(first) = first {
            self.break_promise(format!("twice: {id} at {first:?} and at {position:?}"));
        }
    }

    /// Records a success that a caller received for a statement that servers run.
    pub fn succeeded(&self, id: &str) {
        let mut seen = self.seen();
        seen.answered += 1;
        if !seen.ran.contains(id) {
            let text = format!("mixed: {id} was answered with success and did not run");
            seen.broken.push(text);
        }
    }

    /// Records a commit that a caller knows of, with the writes in it.
    pub fn acknowledged(&self, group: usize, session: u64, commit: &str, writes: &[StatementId]) {
        let mut seen = self.seen();
        let Some(position) = seen.commits.get(commit).copied() else {
            let text = format!("lost: {commit} was acknowledged and not committed");
            seen.broken.push(text);
            return;
        };
        let at = Instant::now();
        seen.acknowledged.push(Acknowledged {
            at,
            group,
            session,
            position,
        });
        seen.kept.extend(writes.iter().cloned());
    }

    /// Records writes of which a caller was told that nothing is kept.
    pub fn refused(&self, writes: &[StatementId]) {
        let mut seen = self.seen();
        seen.failed += 1;
        seen.refused.extend(writes.iter().cloned());
    }

    /// Records a statement whose outcome is unknown to its caller.
    pub fn unknown(&self) {
        self.seen().failed += 1;
    }

    /// Checks a log that a promotion leaves or that remains at the end.
    pub fn check_log(&self, place: &str, group: usize, log: &[(Position, Vec<StatementId>)]) {
        let mut seen = self.seen();
        let held: HashSet<Position> = log.iter().map(|(position, _)| *position).collect();
        let missing: Vec<Position> = seen
            .acknowledged
            .iter()
            .filter(|commit| commit.group == group)
            .map(|commit| commit.position)
            .filter(|position| !held.contains(position))
            .collect();
        if let Some(first) = missing.first() {
            let text = format!(
                "lost: {place} lacks {} acknowledged commits, the first is {first:?}",
                missing.len()
            );
            seen.broken.push(text);
        }
    }

    /// Checks the writes that the final logs of all groups hold.
    pub fn check_writes(&self, held: &[StatementId]) {
        let mut seen = self.seen();
        let mut once = HashSet::new();
        let mut broken = Vec::new();
        for id in held {
            if !once.insert(id) {
                broken.push(format!("twice: the write {id} is in the log twice"));
            }
            if seen.refused.contains(id) {
                broken.push(format!(
                    "refused: {id} is kept, the caller was told it is not"
                ));
            }
        }
        for id in &seen.kept {
            if !once.contains(id) {
                broken.push(format!("lost: the acknowledged write {id} is in no log"));
            }
        }
        seen.broken.extend(broken);
    }
}
