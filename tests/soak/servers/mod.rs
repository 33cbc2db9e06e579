//! Simulated database servers: replicated logs behind the line protocol, each server on a port of
//! its own.
//!
//! Throughout this module `g` is the index of a group and `s` the index of a server in its group.

mod group;
mod statements;

use std::{
    cell::Cell,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use rand::Rng;
use tokio::{
    io::{AsyncBufReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    sync::{Notify, Semaphore},
    time::sleep,
};

use self::{
    group::{Group, Server, replicate},
    statements::{Connection, Outcome},
};
use crate::{history::History, store::Store};

/// Maximum number of connections to a server, from all nodes together.
pub const MAX_CONNECTIONS: usize = 16;
/// Number of statements that a server runs at the same time.
const SLOT_COUNT: usize = 2;
/// Maximum number of statements that wait for a slot.
const MAX_QUEUED: usize = 32;
/// Time after a crash until the entry of the server is removed from the store.
const ENTRY_EXPIRY: Duration = Duration::from_millis(2500);

/// The servers of all groups.
pub struct Servers {
    groups: Mutex<Vec<Group>>,
    /// For each group and each of its servers, the slots for running statements.
    slots: Vec<Vec<Semaphore>>,
    history: Arc<History>,
    store: Arc<Store>,
    /// Notified when the state of a server changes.
    changed: Notify,
}

impl Servers {
    /// Starts the servers of all groups. Each group has one server in each zone.
    pub async fn start(
        names: &[String],
        zones: &[&'static str],
        history: Arc<History>,
        store: Arc<Store>,
    ) -> Arc<Self> {
        let mut groups = Vec::new();
        let mut listeners = Vec::new();
        for (g, name) in names.iter().enumerate() {
            let mut servers = Vec::new();
            for (s, zone) in zones.iter().enumerate() {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
                servers.push(Server {
                    id: format!("i-{g}{s}"),
                    zone,
                    address: listener.local_addr().expect("a bound port"),
                    is_up: true,
                    is_primary: s == 0,
                    term: 1,
                    log: Vec::new(),
                    applied: Cell::new(0),
                    lag: Duration::from_millis(10),
                    paused_term: 0,
                    replication_cut: false,
                    is_hanging: false,
                    is_unlisted: false,
                    born: 1,
                    epoch: 0,
                    connections: 0,
                    queued: 0,
                });
                listeners.push((g, s, listener));
            }
            groups.push(Group {
                name: name.clone(),
                servers,
                token: (0, String::new()),
            });
        }
        let slots = names
            .iter()
            .map(|_| zones.iter().map(|_| Semaphore::new(SLOT_COUNT)).collect())
            .collect();
        let servers = Arc::new(Self {
            groups: Mutex::new(groups),
            slots,
            history,
            store,
            changed: Notify::new(),
        });
        for (g, s, listener) in listeners {
            servers.publish_entry(g, s);
            tokio::spawn(servers.clone().listen(g, s, listener));
        }
        servers
    }

    fn groups(&self) -> MutexGuard<'_, Vec<Group>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the id and the address of every server, ordered by group.
    pub fn addresses(&self) -> Vec<(String, SocketAddr)> {
        let groups = self.groups();
        let servers = groups.iter().flat_map(|group| &group.servers);
        servers
            .map(|server| (server.id.clone(), server.address))
            .collect()
    }

    /// Returns the index of a group's primary, the one with the highest term if there are several.
    pub fn primary_index(&self, g: usize) -> usize {
        let groups = self.groups();
        let servers = &groups[g].servers;
        let is_primary = |s: &usize| servers[*s].is_primary;
        (0..servers.len())
            .filter(is_primary)
            .max_by_key(|s| servers[*s].term)
            .unwrap_or(0)
    }

    /// Writes the entry of a server, with its current role, to the store.
    fn publish_entry(&self, g: usize, s: usize) {
        let groups = self.groups();
        let server = &groups[g].servers[s];
        if server.is_unlisted {
            return;
        }
        let role = if server.is_primary {
            "primary"
        } else {
            "replica"
        };
        let value = serde_json::json!({
            "service": groups[g].name, "addr": server.address, "zone": server.zone,
            "version": "1", "slots": SLOT_COUNT, "state": "ready", "cold_left_ms": 0, "seq": 1,
            "db_role": role, "born": server.born,
        });
        self.store
            .put("servers", &server.id, Some(value.to_string()));
    }

    /// Crashes a server: its connections close, and new ones are closed at once. Its entry in the
    /// store is removed after [`ENTRY_EXPIRY`] unless it has restarted.
    pub fn crash(self: &Arc<Self>, g: usize, s: usize) {
        let (id, epoch) = {
            let mut groups = self.groups();
            let server = &mut groups[g].servers[s];
            server.is_up = false;
            server.epoch += 1;
            (server.id.clone(), server.epoch)
        };
        self.changed.notify_waiters();
        let servers = self.clone();
        tokio::spawn(async move {
            sleep(ENTRY_EXPIRY).await;
            let gone = {
                let groups = servers.groups();
                let server = &groups[g].servers[s];
                !server.is_up && server.epoch == epoch
            };
            if gone {
                servers.store.put("servers", &id, None);
            }
        });
    }

    /// Restarts a crashed server with the log that it had. It follows a primary of a newer term.
    pub fn restart(&self, g: usize, s: usize) {
        {
            let mut groups = self.groups();
            let servers = &mut groups[g].servers;
            if servers[s].is_up {
                return;
            }
            let newest = (0..servers.len())
                .filter(|other| *other != s && servers[*other].is_primary)
                .max_by_key(|other| servers[*other].term);
            if let Some(leader) = newest.filter(|leader| servers[*leader].term > servers[s].term) {
                let (log, term) = (servers[leader].log.clone(), servers[leader].term);
                servers[s].follow(&log, term);
            }
            servers[s].is_up = true;
            servers[s].paused_term = 0;
            servers[s].born += 1;
            replicate(servers);
        }
        self.publish_entry(g, s);
    }

    /// Cuts a server off from replication, or reconnects it.
    pub fn set_replication_cut(&self, g: usize, s: usize, replication_cut: bool) {
        self.groups()[g].servers[s].replication_cut = replication_cut;
        self.changed.notify_waiters();
    }

    /// Removes the entry of a live server, or writes it again.
    pub fn set_unlisted(&self, g: usize, s: usize, is_unlisted: bool) {
        let (id, is_up) = {
            let server = &mut self.groups()[g].servers[s];
            server.is_unlisted = is_unlisted;
            (server.id.clone(), server.is_up)
        };
        if is_unlisted {
            self.store.put("servers", &id, None);
        } else if is_up {
            self.publish_entry(g, s);
        }
    }

    /// Makes the statements of a server hang, or lets them continue.
    pub fn set_hanging(&self, g: usize, s: usize, is_hanging: bool) {
        self.groups()[g].servers[s].is_hanging = is_hanging;
        self.changed.notify_waiters();
    }

    /// Sets the replication lag of a server.
    pub fn set_lag(&self, g: usize, s: usize, lag: Duration) {
        self.groups()[g].servers[s].lag = lag;
    }

    /// Handles an order to promote a server and returns the HTTP status of the answer.
    pub fn promote(self: &Arc<Self>, service: &str, id: &str, holder: &str, token: u64) -> u16 {
        let mut groups = self.groups();
        let Some(g) = groups.iter().position(|group| group.name == service) else {
            return 404;
        };
        let group = &mut groups[g];
        if token < group.token.0 {
            return 409;
        }
        if token == group.token.0 && holder != group.token.1 {
            let text = format!(
                "fencing: {holder} and {} both sent orders with the fencing token {token}",
                group.token.1
            );
            self.history.record_violation(text);
        }
        group.token = (token, holder.into());
        let Some(s) = group.servers.iter().position(|server| server.id == id) else {
            return 409;
        };
        if !group.servers[s].is_up {
            return 409;
        }
        if !group.servers[s].is_primary {
            tokio::spawn(self.clone().become_primary(g, s));
        }
        200
    }

    /// Makes a server the primary under a new term, after a random delay.
    async fn become_primary(self: Arc<Self>, g: usize, s: usize) {
        let delay = rand::rng().random_range(50..200);
        sleep(Duration::from_millis(delay)).await;
        let changed: Vec<usize> = {
            let mut groups = self.groups();
            let servers = &mut groups[g].servers;
            if !servers[s].is_up || servers[s].is_primary {
                return;
            }
            let term = servers.iter().map(|server| server.term).max().unwrap_or(0) + 1;
            let log = servers[s].log.clone();
            for (other, server) in servers.iter_mut().enumerate() {
                server.paused_term = 0;
                if other == s {
                    server.is_primary = true;
                    server.term = term;
                } else if server.is_up {
                    server.follow(&log, term);
                }
            }
            let logged: Vec<_> = log.iter().map(|c| (c.position, c.writes.clone())).collect();
            let log_name = format!("{} in term {term}", servers[s].id);
            self.history.check_log(&log_name, g, &logged);
            (0..servers.len()).filter(|s| servers[*s].is_up).collect()
        };
        self.changed.notify_waiters();
        for server in changed {
            self.publish_entry(g, server);
        }
    }

    /// Checks the logs of the primaries at the end of a run.
    pub fn check_logs(&self) {
        let groups = self.groups();
        let mut writes = Vec::new();
        for (g, group) in groups.iter().enumerate() {
            let is_primary = |server: &&Server| server.is_primary && server.is_up;
            let primary = group
                .servers
                .iter()
                .filter(is_primary)
                .max_by_key(|s| s.term);
            let Some(primary) = primary else {
                let text = format!(
                    "{} has no running primary at the end of the run",
                    group.name
                );
                self.history.record_violation(text);
                continue;
            };
            let commits = &primary.log;
            let log: Vec<_> = commits
                .iter()
                .map(|c| (c.position, c.writes.clone()))
                .collect();
            writes.extend(commits.iter().flat_map(|commit| commit.writes.clone()));
            self.history.check_log(&primary.id, g, &log);
        }
        self.history.check_writes(&writes);
    }

    /// Accepts the connections of a server. Closes each one when the server crashes.
    async fn listen(self: Arc<Self>, g: usize, s: usize, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let servers = self.clone();
            tokio::spawn(async move {
                let epoch = {
                    let mut groups = servers.groups();
                    let server = &mut groups[g].servers[s];
                    if !server.is_up {
                        return;
                    }
                    server.connections += 1;
                    server.epoch
                };
                let ended = servers.clone();
                tokio::select! {
                    // The node closed the connection, so an error cannot be reported to it.
                    _ = servers.serve(g, s, stream) => {}
                    () = ended.wait_for_crash(g, s, epoch) => {}
                }
                servers.groups()[g].servers[s].connections -= 1;
            });
        }
    }

    /// Waits until the server has crashed since the connection was accepted in `epoch`.
    async fn wait_for_crash(&self, g: usize, s: usize, epoch: u64) {
        loop {
            let change = self.changed.notified();
            if self.groups()[g].servers[s].epoch != epoch {
                return;
            }
            change.await;
        }
    }

    /// Runs the line protocol on a connection until the node closes it or sends an invalid line.
    async fn serve(&self, g: usize, s: usize, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut stream = BufReader::new(stream);
        let mut line = String::new();
        stream.read_line(&mut line).await?;
        let words: Vec<&str> = line.split_whitespace().collect();
        let refusal = {
            let groups = self.groups();
            let server = &groups[g].servers[s];
            let named = words.get(1) == Some(&groups[g].name.as_str());
            if !named || words.get(3).is_some_and(|id| *id != server.id) {
                Some("MISROUTED")
            } else if server.connections > MAX_CONNECTIONS {
                Some("TOOMANY")
            } else {
                None
            }
        };
        if let Some(code) = refusal {
            return stream
                .write_all(format!("ERROR {code} no\r\n").as_bytes())
                .await;
        }
        sleep(Duration::from_millis(5)).await;
        let ready_line = self.groups()[g].servers[s].ready_line('I');
        stream.write_all(ready_line.as_bytes()).await?;
        let mut connection = Connection::default();
        loop {
            line.clear();
            if stream.read_line(&mut line).await? == 0 {
                return Ok(());
            }
            let Some((id, text)) = line
                .trim_end()
                .strip_prefix("QUERY ")
                .and_then(|rest| rest.split_once(' '))
            else {
                return Ok(());
            };
            let outcome = self.run(g, s, &mut connection, id, text).await;
            let mut answer = match outcome {
                Outcome::NoAnswer => std::future::pending().await,
                Outcome::Error(code) => format!("ERROR {code} no\r\n"),
                Outcome::Done(rows) => {
                    let rows: String = rows
                        .iter()
                        .fold(String::new(), |text, row| text + "ROW " + row + "\r\n");
                    format!("{rows}DONE signed-{id}\r\n")
                }
            };
            let state = match &connection.transaction {
                None => 'I',
                Some(transaction) if transaction.failed => 'E',
                Some(_) => 'T',
            };
            answer += &self.groups()[g].servers[s].ready_line(state);
            stream.write_all(answer.as_bytes()).await?;
        }
    }
}
