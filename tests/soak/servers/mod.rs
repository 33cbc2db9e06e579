//! Database servers: replicated logs behind the line protocol, each on a port of its own.

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

/// Connections that a server accepts from all nodes together.
pub const CONNECTIONS: usize = 16;
/// Statements that a server runs at a time.
const SLOTS: usize = 2;
/// Statements that may wait for a slot.
const QUEUE: usize = 32;
/// Time after which the entry of a server that crashed is removed.
const EXPIRY: Duration = Duration::from_millis(2500);

/// All servers.
pub struct Servers {
    groups: Mutex<Vec<Group>>,
    slots: Vec<Vec<Semaphore>>,
    history: Arc<History>,
    store: Arc<Store>,
    changed: Notify,
}

impl Servers {
    /// Starts the servers of all groups; each group has one in each zone.
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
                    up: true,
                    leads: s == 0,
                    term: 1,
                    log: Vec::new(),
                    applied: Cell::new(0),
                    lag: Duration::from_millis(10),
                    held: 0,
                    deaf: false,
                    mute: false,
                    born: 1,
                    epoch: 0,
                    connections: 0,
                    waiting: 0,
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
            .map(|_| zones.iter().map(|_| Semaphore::new(SLOTS)).collect())
            .collect();
        let servers = Arc::new(Self {
            groups: Mutex::new(groups),
            slots,
            history,
            store,
            changed: Notify::new(),
        });
        for (g, s, listener) in listeners {
            servers.announce(g, s);
            tokio::spawn(servers.clone().listen(g, s, listener));
        }
        servers
    }

    fn groups(&self) -> MutexGuard<'_, Vec<Group>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns id and address of all servers.
    pub fn addresses(&self) -> Vec<(String, SocketAddr)> {
        let groups = self.groups();
        let servers = groups.iter().flat_map(|group| &group.servers);
        servers
            .map(|server| (server.id.clone(), server.address))
            .collect()
    }

    /// Returns the place of a group's primary.
    pub fn primary(&self, g: usize) -> usize {
        let groups = self.groups();
        let servers = &groups[g].servers;
        let leads = |s: &usize| servers[*s].leads;
        (0..servers.len())
            .filter(leads)
            .max_by_key(|s| servers[*s].term)
            .unwrap_or(0)
    }

    /// Writes the entry of a server to the store.
    fn announce(&self, g: usize, s: usize) {
        let groups = self.groups();
        let server = &groups[g].servers[s];
        let role = if server.leads { "primary" } else { "replica" };
        let value = serde_json::json!({
            "service": groups[g].name, "addr": server.address, "zone": server.zone,
            "version": "1", "slots": SLOTS, "state": "ready", "cold_left_ms": 0, "seq": 1,
            "db_role": role, "born": server.born,
        });
        self.store
            .put("servers", &server.id, Some(value.to_string()));
    }

    /// Crashes a server: its connections end, and nobody answers.
    pub fn crash(self: &Arc<Self>, g: usize, s: usize) {
        let (id, epoch) = {
            let mut groups = self.groups();
            let server = &mut groups[g].servers[s];
            server.up = false;
            server.epoch += 1;
            (server.id.clone(), server.epoch)
        };
        self.changed.notify_waiters();
        let servers = self.clone();
        tokio::spawn(async move {
            sleep(EXPIRY).await;
            let gone = {
                let groups = servers.groups();
                let server = &groups[g].servers[s];
                !server.up && server.epoch == epoch
            };
            if gone {
                servers.store.put("servers", &id, None);
            }
        });
    }

    /// Starts a server that crashed, with its log.
    pub fn restart(&self, g: usize, s: usize) {
        {
            let mut groups = self.groups();
            let servers = &mut groups[g].servers;
            if servers[s].up {
                return;
            }
            let newest = (0..servers.len())
                .filter(|other| *other != s && servers[*other].leads)
                .max_by_key(|other| servers[*other].term);
            if let Some(leader) = newest.filter(|leader| servers[*leader].term > servers[s].term) {
                let (log, term) = (servers[leader].log.clone(), servers[leader].term);
                servers[s].follow(&log, term);
            }
            servers[s].up = true;
            servers[s].held = 0;
            servers[s].born += 1;
            replicate(servers);
        }
        self.announce(g, s);
    }

    /// Cuts a server off from the replication, or connects it again.
    pub fn set_deaf(&self, g: usize, s: usize, deaf: bool) {
        self.groups()[g].servers[s].deaf = deaf;
        self.changed.notify_waiters();
    }

    /// Lets the statements of a server hang, or go on.
    pub fn set_mute(&self, g: usize, s: usize, mute: bool) {
        self.groups()[g].servers[s].mute = mute;
        self.changed.notify_waiters();
    }

    /// Sets how late a replica applies commits.
    pub fn set_lag(&self, g: usize, s: usize, lag: Duration) {
        self.groups()[g].servers[s].lag = lag;
    }

    /// Takes an order to promote a server; returns the HTTP status.
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
            let text = format!("one: {holder} and {} ordered with {token}", group.token.1);
            self.history.break_promise(text);
        }
        group.token = (token, holder.into());
        let Some(s) = group.servers.iter().position(|server| server.id == id) else {
            return 409;
        };
        if !group.servers[s].up {
            return 409;
        }
        if !group.servers[s].leads {
            tokio::spawn(self.clone().take_lead(g, s));
        }
        200
    }

    async fn take_lead(self: Arc<Self>, g: usize, s: usize) {
        let delay = rand::rng().random_range(50..200);
        sleep(Duration::from_millis(delay)).await;
        let changed: Vec<usize> = {
            let mut groups = self.groups();
            let servers = &mut groups[g].servers;
            if !servers[s].up || servers[s].leads {
                return;
            }
            let term = servers.iter().map(|server| server.term).max().unwrap_or(0) + 1;
            let log = servers[s].log.clone();
            for (other, server) in servers.iter_mut().enumerate() {
                server.held = 0;
                if other == s {
                    server.leads = true;
                    server.term = term;
                } else if server.up {
                    server.follow(&log, term);
                }
            }
            let held: Vec<_> = log.iter().map(|c| (c.position, c.writes.clone())).collect();
            let place = format!("{} in term {term}", servers[s].id);
            self.history.check_log(&place, g, &held);
            (0..servers.len()).filter(|s| servers[*s].up).collect()
        };
        self.changed.notify_waiters();
        for server in changed {
            self.announce(g, server);
        }
    }

    /// Checks the logs that remain.
    pub fn check(&self) {
        let groups = self.groups();
        let mut writes = Vec::new();
        for (g, group) in groups.iter().enumerate() {
            let leads = |server: &&Server| server.leads && server.up;
            let primary = group.servers.iter().filter(leads).max_by_key(|s| s.term);
            let Some(primary) = primary else {
                let text = format!("no server of {} leads at the end", group.name);
                self.history.break_promise(text);
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

    async fn listen(self: Arc<Self>, g: usize, s: usize, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let servers = self.clone();
            tokio::spawn(async move {
                let epoch = {
                    let mut groups = servers.groups();
                    let server = &mut groups[g].servers[s];
                    if !server.up {
                        return;
                    }
                    server.connections += 1;
                    server.epoch
                };
                let ended = servers.clone();
                tokio::select! {
                    // The node ended the connection; there is nobody left to tell.
                    _ = servers.serve(g, s, stream) => {}
                    () = ended.crashed(g, s, epoch) => {}
                }
                servers.groups()[g].servers[s].connections -= 1;
            });
        }
    }

    async fn crashed(&self, g: usize, s: usize, epoch: u64) {
        loop {
            let news = self.changed.notified();
            if self.groups()[g].servers[s].epoch != epoch {
                return;
            }
            news.await;
        }
    }

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
            } else if server.connections > CONNECTIONS {
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
        let ready = self.groups()[g].servers[s].ready('I');
        stream.write_all(ready.as_bytes()).await?;
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
                Outcome::Silence => std::future::pending().await,
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
            answer += &self.groups()[g].servers[s].ready(state);
            stream.write_all(answer.as_bytes()).await?;
        }
    }
}
