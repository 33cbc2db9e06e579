//! State of the servers of a group, and replication between them.

use std::{
    cell::Cell,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::history::{Position, StatementId};

/// An entry of the log of a server.
#[derive(Clone)]
pub struct Commit {
    pub position: Position,
    pub writes: Vec<StatementId>,
    /// When this server received the commit. A replica applies it after its lag.
    pub received: Instant,
}

/// A server.
#[allow(clippy::struct_excessive_bools)] // the faults of a server are independent of each other
pub struct Server {
    pub id: String,
    pub zone: &'static str,
    pub address: SocketAddr,
    pub is_up: bool,
    pub is_primary: bool,
    /// Term of the primary that the server follows, or its own term as a primary.
    pub term: u64,
    pub log: Vec<Commit>,
    /// Number of commits that have become visible to reads.
    pub applied: Cell<usize>,
    /// Time from receiving a commit until reads on a replica see it.
    pub lag: Duration,
    /// Term of the `PAUSE` statement that stopped the replica from receiving commits, 0 when it is
    /// not paused.
    pub paused_term: u64,
    /// Whether the server is cut off from replication: it neither sends nor receives commits.
    pub replication_cut: bool,
    /// Whether statements hang.
    pub is_hanging: bool,
    /// Whether the server has no entry in the store although it runs.
    pub is_unlisted: bool,
    /// Number of times that the server has started, written to its entry in the store.
    pub born: u64,
    /// Number of crashes. Connections of an earlier epoch are closed.
    pub epoch: u64,
    pub connections: usize,
    /// Number of statements that wait for a slot.
    pub queued: usize,
}

impl Server {
    /// Returns the number of commits that reads see. Commits that have become visible stay visible
    /// when the lag increases.
    pub fn visible_commits(&self) -> usize {
        let applied = if self.is_primary {
            self.log.len()
        } else {
            let due = |commit: &&Commit| commit.received.elapsed() >= self.lag;
            self.log.iter().take_while(due).count()
        };
        self.applied.set(self.applied.get().max(applied));
        self.applied.get()
    }

    /// Returns whether the log contains this commit and reads see it.
    pub fn has_applied(&self, position: Position) -> bool {
        let commit_number = usize::try_from(position.number).unwrap_or(usize::MAX);
        commit_number <= self.visible_commits() && self.log[commit_number - 1].position == position
    }

    /// Returns the `READY` line, with the transaction state and the position of the server.
    pub fn ready_line(&self, state: char) -> String {
        format!("READY {state} {}.{}\r\n", self.term, self.visible_commits())
    }

    /// Becomes a replica in a new term, with the log truncated to the prefix that it shares with
    /// the log of the new primary.
    pub fn follow(&mut self, log: &[Commit], term: u64) {
        let shared = self
            .log
            .iter()
            .zip(log)
            .take_while(|(a, b)| a.position == b.position)
            .count();
        self.visible_commits();
        self.applied.set(self.applied.get().min(shared));
        self.log.truncate(shared);
        self.is_primary = false;
        self.term = term;
    }
}

/// A service and its servers.
pub struct Group {
    pub name: String,
    pub servers: Vec<Server>,
    /// Highest fencing token seen, and the lease holder that sent it.
    pub token: (u64, String),
}

/// Copies the commits that reachable replicas lack from the primary with the highest term.
pub fn replicate(servers: &mut [Server]) {
    let is_primary = |server: &Server| server.is_primary && server.is_up && !server.replication_cut;
    let newest = (0..servers.len())
        .filter(|s| is_primary(&servers[*s]))
        .max_by_key(|s| servers[*s].term);
    let Some(primary) = newest else {
        return;
    };
    let (log, term) = (servers[primary].log.clone(), servers[primary].term);
    for server in servers {
        let can_receive = server.is_up
            && !server.is_primary
            && !server.replication_cut
            && server.paused_term == 0;
        if can_receive && server.term == term && server.log.len() < log.len() {
            let missing = log[server.log.len()..].iter().cloned();
            let received = Instant::now();
            server
                .log
                .extend(missing.map(|commit| Commit { received, ..commit }));
        }
    }
}
