//! State of the servers of a group.

use std::{
    cell::Cell,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::history::{Position, StatementId};

#[derive(Clone)]
pub struct Commit {
    pub position: Position,
    pub writes: Vec<StatementId>,
    /// When this server received it; a replica applies it later.
    pub received: Instant,
}

/// One server.
#[allow(clippy::struct_excessive_bools)] // the faults of a server are independent of each other
pub struct Server {
    pub id: String,
    pub zone: &'static str,
    pub address: SocketAddr,
    pub up: bool,
    pub leads: bool,
    pub term: u64,
    pub log: Vec<Commit>,
    /// Commits that reads saw already.
    pub applied: Cell<usize>,
    /// Time from the receipt of a commit until reads see it.
    pub lag: Duration,
    /// Term under which it was paused; 0 when it receives.
    pub held: u64,
    /// Whether it neither sends nor receives commits.
    pub deaf: bool,
    /// Whether statements hang.
    pub mute: bool,
    pub born: u64,
    /// Rises with each crash, which ends all connections.
    pub epoch: u64,
    pub connections: usize,
    pub waiting: usize,
}

impl Server {
    /// Returns the number of commits that reads see. What was applied stays so when the lag grows.
    pub fn visible(&self) -> usize {
        let applied = if self.leads {
            self.log.len()
        } else {
            let due = |commit: &&Commit| commit.received.elapsed() >= self.lag;
            self.log.iter().take_while(due).count()
        };
        self.applied.set(self.applied.get().max(applied));
        self.applied.get()
    }

    pub fn holds(&self, position: Position) -> bool {
        let place = usize::try_from(position.number).unwrap_or(usize::MAX);
        place <= self.visible() && self.log[place - 1].position == position
    }

    pub fn ready(&self, state: char) -> String {
        format!("READY {state} {}.{}\r\n", self.term, self.visible())
    }

    /// Cuts the log back to what it shares with the log of a new primary.
    pub fn follow(&mut self, log: &[Commit], term: u64) {
        let shared = self
            .log
            .iter()
            .zip(log)
            .take_while(|(a, b)| a.position == b.position)
            .count();
        self.visible();
        self.applied.set(self.applied.get().min(shared));
        self.log.truncate(shared);
        self.leads = false;
        self.term = term;
    }
}

/// The servers of one service.
pub struct Group {
    pub name: String,
    pub servers: Vec<Server>,
    /// Highest fencing token seen, and who sent it.
    pub token: (u64, String),
}

/// Sends what the replicas lack from the primary.
pub fn replicate(servers: &mut [Server]) {
    let leads = |server: &Server| server.leads && server.up && !server.deaf;
    let newest = (0..servers.len())
        .filter(|s| leads(&servers[*s]))
        .max_by_key(|s| servers[*s].term);
    let Some(primary) = newest else {
        return;
    };
    let (log, term) = (servers[primary].log.clone(), servers[primary].term);
    for server in servers {
        let listens = server.up && !server.leads && !server.deaf && server.held == 0;
        if listens && server.term == term && server.log.len() < log.len() {
            let missing = log[server.log.len()..].iter().cloned();
            let received = Instant::now();
            server
                .log
                .extend(missing.map(|commit| Commit { received, ..commit }));
        }
    }
}
