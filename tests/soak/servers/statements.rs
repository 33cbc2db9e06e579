//! Runs the statements that nodes send on their connections to the servers.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use rand::Rng;
use tokio::{
    sync::SemaphorePermit,
    time::{sleep, timeout},
};

use super::{
    MAX_QUEUED, Servers,
    group::{Commit, Server, replicate},
};
use crate::history::{Position, StatementId};

/// A transaction that is open on a connection.
pub struct Transaction {
    read_only: bool,
    term: u64,
    writes: Vec<StatementId>,
    /// Caller and operation that the transaction belongs to, known from its first statement on.
    operation: Option<String>,
    pub failed: bool,
}

/// State of a connection from a node.
#[derive(Default)]
pub struct Connection {
    pub transaction: Option<Transaction>,
    /// Session values by name.
    values: HashMap<String, String>,
    /// Verbs of the prepared statements by name.
    prepared: HashMap<String, String>,
}

/// Outcome of a statement: the rows of a success, an error code, or no answer at all.
pub enum Outcome {
    Done(Vec<String>),
    Error(&'static str),
    NoAnswer,
}

impl Servers {
    /// Runs a statement. With the prefix `AFTER POSITION`, it only runs when the server has applied
    /// that position.
    pub async fn run(
        &self,
        g: usize,
        s: usize,
        connection: &mut Connection,
        id: &str,
        text: &str,
    ) -> Outcome {
        let (min_position, text) = match text.strip_prefix("AFTER ") {
            Some(rest) => rest.split_once(' ').unwrap_or((rest, "")),
            None => ("0.0", text),
        };
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        if let Some(outcome) = self.run_control(g, s, connection, verb, rest) {
            return outcome;
        }
        if self.is_behind(g, s, min_position) {
            return Outcome::Error("LAGGING");
        }
        if verb == "BEGIN" {
            return self.begin(g, s, connection, rest == "READ");
        }
        let text = if verb == "EXECUTE" {
            let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
            match connection.prepared.get(name) {
                Some(kind) => format!("{kind} {arguments}"),
                None => return Outcome::Error("NOSTMT"),
            }
        } else {
            text.into()
        };
        if let Some(code) = self.rejection(g, s, connection, id, verb) {
            return Outcome::Error(code);
        }
        let Some(_slot) = self.acquire_slot(g, s).await else {
            return Outcome::Error("BUSY");
        };
        let work_ms = rand::rng().random_range(1..4);
        sleep(Duration::from_millis(work_ms)).await;
        while self.groups()[g].servers[s].is_hanging {
            self.changed.notified().await;
        }
        self.execute(g, s, connection, id, &text).await
    }

    /// Returns whether the server has not reached a position yet.
    fn is_behind(&self, g: usize, s: usize, min_position: &str) -> bool {
        let (term, number) = min_position.split_once('.').unwrap_or(("0", "0"));
        let (term, number): (u64, usize) = (term.parse().unwrap_or(0), number.parse().unwrap_or(0));
        let groups = self.groups();
        let server = &groups[g].servers[s];
        term > server.term || number > server.visible_commits()
    }

    /// Waits for a slot to run a statement; returns `None` when the queue is full.
    async fn acquire_slot(&self, g: usize, s: usize) -> Option<SemaphorePermit<'_>> {
        {
            let mut groups = self.groups();
            let server = &mut groups[g].servers[s];
            if server.queued >= MAX_QUEUED {
                return None;
            }
            server.queued += 1;
        }
        let permit = self.slots[g][s].acquire().await.ok();
        self.groups()[g].servers[s].queued -= 1;
        permit
    }

    /// Runs a statement that needs no slot; returns `None` for all other statements.
    fn run_control(
        &self,
        g: usize,
        s: usize,
        connection: &mut Connection,
        verb: &str,
        rest: &str,
    ) -> Option<Outcome> {
        let (name, value) = rest.split_once(' ').unwrap_or((rest, ""));
        match verb {
            "SET" => {
                connection.values.insert(name.into(), value.into());
            }
            "RESET" => {
                connection.values.clear();
                connection.prepared.clear();
            }
            "PREPARE" => {
                let kind = value.split(' ').next().unwrap_or_default();
                connection.prepared.insert(name.into(), kind.into());
            }
            "ROLLBACK" => {
                if connection.transaction.take().is_none() {
                    return Some(Outcome::Error("MALFORMED"));
                }
            }
            "STATUS" | "PAUSE" | "DEMOTE" | "RESUME" => {
                return Some(Outcome::Done(vec![
                    self.control_replication(g, s, verb, rest),
                ]));
            }
            _ => return None,
        }
        Some(Outcome::Done(Vec::new()))
    }

    /// Runs a statement that reads or changes the replication role; returns the status row.
    fn control_replication(&self, g: usize, s: usize, verb: &str, rest: &str) -> String {
        let term: u64 = rest.parse().unwrap_or(0);
        let mut groups = self.groups();
        let server = &mut groups[g].servers[s];
        match verb {
            "PAUSE" if !server.is_primary && term > server.term => server.paused_term = term,
            "DEMOTE" if server.is_primary && term > server.term => server.is_primary = false,
            "RESUME" => server.paused_term = 0,
            _ => {}
        }
        let role = if server.is_primary {
            "primary"
        } else {
            "replica"
        };
        let (term, paused_term) = (server.term, server.paused_term);
        let received = server.log.len();
        let row = format!(
            "{role} {term} {term}.{received} {paused_term} 0 0 {}",
            server.connections
        );
        drop(groups);
        self.changed.notify_waiters();
        row
    }

    fn begin(&self, g: usize, s: usize, connection: &mut Connection, read_only: bool) -> Outcome {
        let groups = self.groups();
        let server = &groups[g].servers[s];
        if !read_only && !server.is_primary {
            return Outcome::Error("READONLY");
        }
        connection.transaction = Some(Transaction {
            read_only,
            term: server.term,
            writes: Vec::new(),
            operation: None,
            failed: false,
        });
        Outcome::Done(Vec::new())
    }

    /// Returns the error code of a statement that may not run. Also checks that the statement
    /// belongs to the operation whose transaction is open on the connection.
    fn rejection(
        &self,
        g: usize,
        s: usize,
        connection: &mut Connection,
        id: &str,
        verb: &str,
    ) -> Option<&'static str> {
        let groups = self.groups();
        let server = &groups[g].servers[s];
        let Some(transaction) = &mut connection.transaction else {
            return (verb == "COMMIT").then_some("MALFORMED");
        };
        if transaction.failed {
            return Some("MALFORMED");
        }
        let operation = id.rsplit_once('-').map_or(id, |(operation, _)| operation);
        let first = transaction
            .operation
            .get_or_insert_with(|| operation.into());
        if first != operation {
            let text = format!("wrong transaction: {id} ran in the transaction of {first}");
            self.history.record_violation(text);
        }
        let is_demoted =
            !(transaction.read_only || server.is_primary && server.term == transaction.term);
        if is_demoted && (verb != "COMMIT" || !transaction.writes.is_empty()) {
            transaction.failed = true;
            return Some("READONLY");
        }
        None
    }

    async fn execute(
        &self,
        g: usize,
        s: usize,
        connection: &mut Connection,
        id: &str,
        text: &str,
    ) -> Outcome {
        let verb = text.split(' ').next().unwrap_or_default();
        let is_primary = {
            let groups = self.groups();
            let server = &groups[g].servers[s];
            if verb == "WRITE" && !server.is_primary {
                if let Some(transaction) = &mut connection.transaction {
                    transaction.failed = true;
                }
                return Outcome::Error("READONLY");
            }
            let has_applied = |position| server.has_applied(position);
            let reads = verb == "READ";
            self.history
                .executed(&server.id, id, reads, &connection.values, has_applied);
            server.is_primary
        };
        match (verb, &mut connection.transaction) {
            ("WRITE", Some(transaction)) => transaction.writes.push(id.into()),
            ("WRITE", None) => return self.commit(g, s, id, vec![id.into()]).await,
            ("COMMIT", _) => {
                let writes = connection.transaction.take().map(|t| t.writes);
                let writes = writes.unwrap_or_default();
                if !writes.is_empty() {
                    return self.commit(g, s, id, writes).await;
                }
            }
            _ => return Outcome::Done(vec![format!("{id} {is_primary}")]),
        }
        Outcome::Done(Vec::new())
    }

    /// Appends a commit to the log and waits until a replica has received it.
    async fn commit(&self, g: usize, s: usize, id: &str, writes: Vec<StatementId>) -> Outcome {
        let position = {
            let mut groups = self.groups();
            let servers = &mut groups[g].servers;
            if !servers[s].is_primary {
                return Outcome::Error("READONLY");
            }
            let number = servers[s].log.len() as u64 + 1;
            let term = servers[s].term;
            let position = Position { term, number };
            let received = Instant::now();
            servers[s].log.push(Commit {
                position,
                writes,
                received,
            });
            self.history.committed(id, position);
            position
        };
        loop {
            let change = self.changed.notified();
            {
                let mut groups = self.groups();
                let servers = &mut groups[g].servers;
                replicate(servers);
                let commit_number = usize::try_from(position.number).unwrap_or(usize::MAX);
                let contains = |server: &Server| {
                    server
                        .log
                        .get(commit_number - 1)
                        .map(|commit| commit.position)
                        == Some(position)
                };
                if !servers[s].is_primary || servers[s].term != position.term {
                    return Outcome::NoAnswer;
                }
                let replicas = servers.iter().enumerate().filter(|(other, _)| *other != s);
                if replicas.into_iter().any(|(_, server)| contains(server)) {
                    return Outcome::Done(Vec::new());
                }
            }
            // A replica may become reachable again without a notification.
            let _ = timeout(Duration::from_millis(20), change).await;
        }
    }
}
