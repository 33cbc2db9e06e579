//! Statements on a connection of a node.

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
    QUEUE, Servers,
    group::{Commit, Server, replicate},
};
use crate::history::{Position, StatementId};

/// An open transaction.
pub struct Transaction {
    read_only: bool,
    term: u64,
    writes: Vec<StatementId>,
    /// Caller and operation that it belongs to, from the first statement on.
    owner: Option<String>,
    pub failed: bool,
}

/// A connection of a node.
#[derive(Default)]
pub struct Connection {
    pub transaction: Option<Transaction>,
    values: HashMap<String, String>,
    prepared: HashMap<String, String>,
}

/// What becomes of a statement: rows and signature, an error code, or no answer at all.
pub enum Outcome {
    Done(Vec<String>),
    Error(&'static str),
    Silence,
}

impl Servers {
    /// Runs one statement.
    pub async fn run(
        &self,
        g: usize,
        s: usize,
        connection: &mut Connection,
        id: &str,
        text: &str,
    ) -> Outcome {
        let (after, text) = match text.strip_prefix("AFTER ") {
            Some(rest) => rest.split_once(' ').unwrap_or((rest, "")),
            None => ("0.0", text),
        };
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        if let Some(outcome) = self.control(g, s, connection, verb, rest) {
            return outcome;
        }
        if self.lacks(g, s, after) {
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
        if let Some(code) = self.reject(g, s, connection, id, verb) {
            return Outcome::Error(code);
        }
        let Some(_slot) = self.slot(g, s).await else {
            return Outcome::Error("BUSY");
        };
        let work = rand::rng().random_range(1..4);
        sleep(Duration::from_millis(work)).await;
        while self.groups()[g].servers[s].mute {
            self.changed.notified().await;
        }
        self.execute(g, s, connection, id, &text).await
    }

    fn lacks(&self, g: usize, s: usize, after: &str) -> bool {
        let (term, number) = after.split_once('.').unwrap_or(("0", "0"));
        let (term, number): (u64, usize) = (term.parse().unwrap_or(0), number.parse().unwrap_or(0));
        let groups = self.groups();
        let server = &groups[g].servers[s];
        term > server.term || number > server.visible()
    }

    async fn slot(&self, g: usize, s: usize) -> Option<SemaphorePermit<'_>> {
        {
            let mut groups = self.groups();
            let server = &mut groups[g].servers[s];
            if server.waiting >= QUEUE {
                return None;
            }
            server.waiting += 1;
        }
        let permit = self.slots[g][s].acquire().await.ok();
        self.groups()[g].servers[s].waiting -= 1;
        permit
    }

    /// Carries out what needs no slot; `None` for other statements.
    fn control(
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
                return Some(Outcome::Done(vec![self.order(g, s, verb, rest)]));
            }
            _ => return None,
        }
        Some(Outcome::Done(Vec::new()))
    }

    fn order(&self, g: usize, s: usize, verb: &str, rest: &str) -> String {
        let term: u64 = rest.parse().unwrap_or(0);
        let mut groups = self.groups();
        let server = &mut groups[g].servers[s];
        match verb {
            "PAUSE" if !server.leads && term > server.term => server.held = term,
            "DEMOTE" if server.leads && term > server.term => server.leads = false,
            "RESUME" => server.held = 0,
            _ => {}
        }
        let role = if server.leads { "primary" } else { "replica" };
        let (term, held) = (server.term, server.held);
        let received = server.log.len();
        let row = format!(
            "{role} {term} {term}.{received} {held} 0 0 {}",
            server.connections
        );
        drop(groups);
        self.changed.notify_waiters();
        row
    }

    fn begin(&self, g: usize, s: usize, connection: &mut Connection, read_only: bool) -> Outcome {
        let groups = self.groups();
        let server = &groups[g].servers[s];
        if !read_only && !server.leads {
            return Outcome::Error("READONLY");
        }
        connection.transaction = Some(Transaction {
            read_only,
            term: server.term,
            writes: Vec::new(),
            owner: None,
            failed: false,
        });
        Outcome::Done(Vec::new())
    }

    /// Returns why a statement may not run, and checks that it is in its own transaction.
    fn reject(
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
        let owner = id.rsplit_once('-').map_or(id, |(owner, _)| owner);
        let first = transaction.owner.get_or_insert_with(|| owner.into());
        if first != owner {
            let text = format!("pinned: {id} ran in the transaction of {first}");
            self.history.break_promise(text);
        }
        let lost = !(transaction.read_only || server.leads && server.term == transaction.term);
        if lost && (verb != "COMMIT" || !transaction.writes.is_empty()) {
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
        let leads = {
            let groups = self.groups();
            let server = &groups[g].servers[s];
            if verb == "WRITE" && !server.leads {
                if let Some(transaction) = &mut connection.transaction {
                    transaction.failed = true;
                }
                return Outcome::Error("READONLY");
            }
            let holds = |position| server.holds(position);
            let reads = verb == "READ";
            self.history
                .ran(&server.id, id, reads, &connection.values, holds);
            server.leads
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
            _ => return Outcome::Done(vec![format!("{id} {leads}")]),
        }
        Outcome::Done(Vec::new())
    }

    /// Appends a commit and waits until a replica received it.
    async fn commit(&self, g: usize, s: usize, id: &str, writes: Vec<StatementId>) -> Outcome {
        let position = {
            let mut groups = self.groups();
            let servers = &mut groups[g].servers;
            if !servers[s].leads {
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
            let news = self.changed.notified();
            {
                let mut groups = self.groups();
                let servers = &mut groups[g].servers;
                replicate(servers);
                let place = usize::try_from(position.number).unwrap_or(usize::MAX);
                let has = |server: &Server| {
                    server.log.get(place - 1).map(|commit| commit.position) == Some(position)
                };
                if !servers[s].leads || servers[s].term != position.term {
                    return Outcome::Silence;
                }
                let replicas = servers.iter().enumerate().filter(|(other, _)| *other != s);
                if replicas.into_iter().any(|(_, server)| has(server)) {
                    return Outcome::Done(Vec::new());
                }
            }
            // A replica may be reached again without an event.
            let _ = timeout(Duration::from_millis(20), news).await;
        }
    }
}
