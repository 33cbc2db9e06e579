//! Stand-in of one database service: a primary and its replicas, over the line protocol.

use std::{
    collections::HashMap,
    io::{BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::json;

use crate::{record::Record, store::Store};

/// Name of the service.
pub const SERVICE: &str = "huvo11a";
/// Connections that a server accepts.
pub const MAX_CONNECTIONS: usize = 32;
/// Servers that run from the start; the others start in a release.
const RUNNING: usize = 3;
/// Time after which an order without an answer is carried out.
const LATE_ORDER: Duration = Duration::from_secs(8);
/// Replicas that receive a commit before it is acknowledged.
const SYNC_REPLICAS: usize = 1;
/// Interval of the reports that servers write to the store, and reports that may be missed.
const HEARTBEAT: Duration = Duration::from_millis(1200);
const MISSED_HEARTBEATS: u32 = 3;
/// Latency of the network between a node and a server, there and back.
const NETWORK: Duration = Duration::from_millis(1);
/// Time of a statement.
const WORK: Duration = Duration::from_millis(2);
/// Time from the acceptance of a promotion until it takes effect.
const PROMOTION: Duration = Duration::from_millis(1000);

/// A commit in a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub term: u64,
    pub position: u64,
    pub writes: Vec<(String, String)>,
}

/// A server of the service.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    zone: &'static str,
    /// Whether its process runs.
    pub up: bool,
    /// Whether it is partitioned from the store.
    pub core_cut: bool,
    /// Whether it receives nothing from the primary.
    pub deaf: bool,
    /// Whether it has announced that it will stop.
    pub draining: bool,
    pub is_primary: bool,
    pub term: u64,
    pub log: Vec<Entry>,
    paused: u64,
    born: u64,
    sequence: u64,
    /// Number of its process; connections of former ones are closed.
    process: u64,
    streams: Vec<TcpStream>,
    /// When the store last received a report, and what it said beside the sequence number.
    reported: Option<(Instant, serde_json::Value)>,
}

impl Server {
    /// Returns the end of its log.
    pub fn end(&self) -> (u64, u64) {
        self.log.last().map_or((0, 0), |e| (e.term, e.position))
    }

    fn position(&self) -> String {
        let (term, position) = self.end();
        format!("{term}.{position}")
    }
}

/// State of the service.
pub struct State {
    pub servers: Vec<Server>,
    /// Highest fencing token seen.
    fence: u64,
    /// Writes that a client was told of, with the time when it was told.
    pub acknowledged: Vec<(String, String, Instant)>,
    /// Whether the next order gets no answer and is carried out late.
    pub withholds: bool,
    /// The server that the order without an answer named.
    pub withheld: Option<usize>,
    /// Number of promotions that took effect.
    pub promotions: usize,
    /// Acknowledged writes that the log of a promoted server lacked.
    pub lost: Vec<String>,
}

/// The service.
pub struct Database {
    state: Mutex<State>,
    changed: Condvar,
    pub record: Arc<Record>,
}

fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(now.as_millis()).unwrap()
}

impl Database {
    /// Starts the servers; the first one is the primary.
    pub fn start(zones: &[&'static str], store: &Arc<Store>, record: Arc<Record>) -> Arc<Self> {
        let listeners: Vec<TcpListener> = zones
            .iter()
            .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
            .collect();
        let servers = zones
            .iter()
            .zip(&listeners)
            .enumerate()
            .map(|(index, (zone, listener))| Server {
                id: format!(
                    "i-{:x}{:04x}",
                    0x7f3a + index * 977,
                    std::process::id() & 0xffff
                ),
                address: listener.local_addr().unwrap(),
                zone,
                up: index < RUNNING,
                core_cut: false,
                deaf: false,
                draining: false,
                is_primary: index == 0,
                term: 1,
                log: Vec::new(),
                paused: 0,
                born: unix_millis(),
                sequence: 0,
                process: 0,
                streams: Vec::new(),
                reported: None,
            });
        let state = State {
            servers: servers.collect(),
            fence: 0,
            withholds: false,
            withheld: None,
            acknowledged: Vec::new(),
            promotions: 0,
            lost: Vec::new(),
        };
        let database = Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            record,
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            let (db, store) = (database.clone(), store.clone());
            thread::spawn(move || db.listen(index, listener));
            let db = database.clone();
            thread::spawn(move || db.report(index, &store));
        }
        let db = database.clone();
        thread::spawn(move || {
            loop {
                replicate(&mut db.lock());
                db.changed.notify_all();
                thread::sleep(Duration::from_millis(5));
            }
        });
        database
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Returns the latest acknowledged data of each item.
    pub fn last_acknowledged(&self) -> Vec<(String, String)> {
        let state = self.lock();
        let mut last: Vec<(String, String)> = Vec::new();
        for (item, data, _) in &state.acknowledged {
            match last.iter_mut().find(|(known, _)| known == item) {
                Some(known) => known.1.clone_from(data),
                None => last.push((item.clone(), data.clone())),
            }
        }
        last
    }

    /// Starts a server of a release.
    pub fn add(&self, index: usize) {
        let mut state = self.lock();
        let server = &mut state.servers[index];
        (server.up, server.born) = (true, unix_millis());
        self.record.line(&format!("{} joins", server.id));
    }

    /// Ends the process of a server. It keeps its log.
    pub fn crash(&self, index: usize) {
        let mut state = self.lock();
        let server = &mut state.servers[index];
        server.up = false;
        server.process += 1;
        server.paused = 0;
        for stream in server.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.line(&format!(
            "{} crashes; its log ends at {}",
            server.id,
            server.position()
        ));
    }

    /// Starts the process of a server again. With its log it comes back as a replica if another server
    /// was promoted; without it, it starts as a replica that knows nothing.
    pub fn restart(&self, index: usize, keeps_log: bool) {
        let mut state = self.lock();
        let leads = state.servers.iter().any(|s| s.is_primary && s.up);
        let server = &mut state.servers[index];
        server.up = true;
        server.born = unix_millis();
        server.sequence = 0;
        server.is_primary &= !leads;
        if !keeps_log {
            server.log.clear();
            server.term = 0;
            server.is_primary = false;
        }
        self.record.line(&format!(
            "{} starts again under its id; its log ends at {}, primary: {}",
            server.id,
            server.position(),
            server.is_primary
        ));
    }

    /// Answers an order to promote a server. Returns the status; `None` if there is no answer.
    pub fn promote(self: &Arc<Self>, id: &str, holder: &str, token: u64) -> Option<u16> {
        let mut state = self.lock();
        if std::mem::take(&mut state.withholds) {
            state.withheld = state.servers.iter().position(|s| s.id == id);
            self.record.line(&format!(
                "promote {id} by {holder} under token {token}: no answer"
            ));
            let (db, id, holder) = (self.clone(), id.to_string(), holder.to_string());
            thread::spawn(move || {
                thread::sleep(LATE_ORDER);
                db.promote(&id, &holder, token);
            });
            return None;
        }
        let running = state.servers.iter().position(|s| s.id == id && s.up);
        let status = match running {
            _ if token < state.fence => 409,
            None => 409,
            Some(_) => 200,
        };
        if status == 200 {
            state.fence = token;
        }
        self.record.line(&format!(
            "promote {id} by {holder} under token {token}: {status}"
        ));
        let Some(index) =
            running.filter(|index| status == 200 && !state.servers[*index].is_primary)
        else {
            return Some(status);
        };
        let db = self.clone();
        thread::spawn(move || {
            thread::sleep(PROMOTION);
            db.complete_promotion(index);
        });
        Some(status)
    }

    fn complete_promotion(&self, index: usize) {
        let mut state = self.lock();
        let term = state.servers.iter().map(|s| s.term).max().unwrap_or(0) + 1;
        for server in &mut state.servers {
            server.is_primary = false;
            server.paused = 0;
        }
        let server = &mut state.servers[index];
        (server.is_primary, server.term) = (true, term);
        let (id, position) = (server.id.clone(), server.position());
        state.promotions += 1;
        self.record.line(&format!(
            "{id} leads term {term}; its log ends at {position}"
        ));
        let log = &state.servers[index].log;
        let held: std::collections::HashSet<&(String, String)> =
            log.iter().flat_map(|entry| &entry.writes).collect();
        let missing: Vec<String> = state
            .acknowledged
            .iter()
            .filter(|(item, data, _)| !held.contains(&(item.clone(), data.clone())))
            .map(|(item, data, _)| format!("{item}={data}"))
            .collect();
        if !missing.is_empty() {
            self.record.line(&format!(
                "LOST: the promoted server lacks {} acknowledged writes: {}",
                missing.len(),
                missing.join(" ")
            ));
        }
        state.lost.extend(missing);
        replicate(&mut state);
        self.changed.notify_all();
    }

    fn listen(self: &Arc<Self>, index: usize, listener: TcpListener) {
        let address = listener.local_addr().unwrap();
        let mut listener = Some(listener);
        loop {
            let up = self.lock().servers[index].up;
            if !up {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(address).ok();
            }
            if let Some(listener) = &listener {
                listener.set_nonblocking(true).unwrap();
                while let Ok((stream, _)) = listener.accept() {
                    let _ = stream.set_nonblocking(false);
                    let db = self.clone();
                    thread::spawn(move || db.serve(index, &stream));
                }
            }
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Writes the entry of a server into the store, at once after a change.
    fn report(&self, index: usize, store: &Store) {
        loop {
            {
                let mut state = self.lock();
                let server = &mut state.servers[index];
                let content = json!({
                    "service": SERVICE, "addr": server.address.to_string(), "zone": server.zone,
                    "version": "v1", "slots": 2, "cold_left_ms": 0,
                    "state": if server.draining { "draining" } else { "ready" },
                    "db_role": if server.is_primary { "primary" } else { "replica" },
                    "born": server.born,
                });
                let known = server.reported.as_ref();
                let is_change = known.is_none_or(|(_, known)| *known != content);
                let is_due = known.is_none_or(|(at, _)| at.elapsed() >= HEARTBEAT);
                if server.up && !server.core_cut && (is_change || is_due) {
                    server.sequence += 1;
                    let mut entry = content.clone();
                    entry["seq"] = json!(server.sequence);
                    store.put("servers", &server.id, &entry, is_change);
                    server.reported = Some((Instant::now(), content));
                    if is_change {
                        self.record
                            .line(&format!("entry of {}: {entry}", server.id));
                    }
                } else if known.is_some_and(|(at, _)| at.elapsed() >= HEARTBEAT * MISSED_HEARTBEATS)
                {
                    server.reported = None;
                    store.remove("servers", &server.id);
                    self.record
                        .line(&format!("the entry of {} lapsed", server.id));
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn serve(&self, index: usize, stream: &TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut out = stream;
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let mut fields = line.trim_end().split(' ').skip(1);
        let (service, _, id) = (fields.next()?, fields.next(), fields.next());
        let process = {
            let mut state = self.lock();
            let server = &mut state.servers[index];
            if service != SERVICE || id.is_some_and(|id| id != server.id) || !server.up {
                out.write_all(b"ERROR MISROUTED another server\r\n").ok()?;
                return None;
            }
            server.streams.retain(|s| s.peer_addr().is_ok());
            if server.streams.len() >= MAX_CONNECTIONS {
                out.write_all(b"ERROR TOOMANY connections\r\n").ok()?;
                return None;
            }
            server.streams.push(stream.try_clone().ok()?);
            out.write_all(format!("READY I {}\r\n", server.position()).as_bytes())
                .ok()?;
            server.process
        };
        let result = self.run_session(index, process, &mut reader, out);
        let _ = stream.shutdown(Shutdown::Both);
        let peer = stream.peer_addr().ok();
        let mut state = self.lock();
        let streams = &mut state.servers[index].streams;
        streams.retain(|s| s.peer_addr().ok() != peer);
        result
    }

    fn run_session(
        &self,
        index: usize,
        process: u64,
        reader: &mut BufReader<TcpStream>,
        mut out: &TcpStream,
    ) -> Option<()> {
        let mut session = Session::default();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.strip_suffix("\r\n")?;
            let (id, text) = line
                .strip_prefix("QUERY ")
                .and_then(|rest| rest.split_once(' '))?;
            let reply = self.run(index, process, &mut session, id, text)?;
            out.write_all(reply.as_bytes()).ok()?;
        }
    }

    /// Runs a request. Returns `None` if the process has ended.
    fn run(
        &self,
        index: usize,
        process: u64,
        session: &mut Session,
        id: &str,
        text: &str,
    ) -> Option<String> {
        let (after, text) = match text.strip_prefix("AFTER ") {
            Some(rest) => {
                let (position, text) = rest.split_once(' ')?;
                let (term, number) = position.split_once('.')?;
                (
                    Some((term.parse::<u64>().ok()?, number.parse::<u64>().ok()?)),
                    text,
                )
            }
            None => (None, text),
        };
        let expanded = session.expand(text);
        let (text, known) = match &expanded {
            Some(text) => (text.as_str(), true),
            None => (text, !text.starts_with("EXECUTE ")),
        };
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        match verb {
            "READ" | "WRITE" | "COMMIT" => thread::sleep(NETWORK + WORK),
            // It is usually sent together with another request.
            "ROLLBACK" => {}
            _ => thread::sleep(NETWORK),
        }
        let mut state = self.lock();
        let is_current = |state: &State| {
            let server = &state.servers[index];
            server.up && server.process == process
        };
        if !is_current(&state) {
            return None;
        }
        let server = &mut state.servers[index];
        let mut rows = Vec::new();
        let mut result = Ok("-".to_string());
        let error = |code: &str| Err(format!("{code} {}", index));
        let signature = format!("{}.{id}", server.id);
        let lost_lead = session
            .plain_term
            .is_some_and(|t| !server.is_primary || t != server.term);
        match verb {
            _ if session.state == 'E' && verb != "ROLLBACK" && verb != "COMMIT" => {
                result = error("MALFORMED");
            }
            "BEGIN" if session.state != 'I' => result = error("MALFORMED"),
            "BEGIN" => {
                if after.is_some_and(|after| server.end() < after) {
                    result = error("LAGGING");
                } else if rest.is_empty() && !server.is_primary {
                    result = error("READONLY");
                } else {
                    session.state = 'T';
                    session.plain_term = rest.is_empty().then_some(server.term);
                }
            }
            "ROLLBACK" if session.state == 'I' => result = error("MALFORMED"),
            "ROLLBACK" => session.end(),
            "COMMIT" if session.state == 'I' => result = error("MALFORMED"),
            "COMMIT" if session.state == 'E' => {
                session.end();
                result = error("FAILED");
            }
            "COMMIT" => {
                let writes = std::mem::take(&mut session.writes);
                session.end();
                if writes.is_empty() {
                    result = Ok(signature);
                } else if lost_lead {
                    result = error("READONLY");
                } else {
                    state = self.commit(state, index, process, writes)?;
                    result = Ok(signature);
                }
            }
            _ if lost_lead && matches!(verb, "READ" | "WRITE") => {
                session.state = 'E';
                result = error("READONLY");
            }
            "READ" => {
                if after.is_some_and(|after| server.end() < after) {
                    result = error("LAGGING");
                } else {
                    rows.push(server.read(rest, &session.writes));
                    result = Ok(signature);
                }
            }
            "WRITE" => {
                let (item, data) = rest.split_once(' ').unwrap_or((rest, ""));
                if !server.is_primary {
                    result = error("READONLY");
                } else if session.state == 'T' {
                    session.writes.push((item.into(), data.into()));
                    result = Ok(signature);
                } else {
                    let writes = vec![(item.to_string(), data.to_string())];
                    state = self.commit(state, index, process, writes)?;
                    result = Ok(signature);
                }
            }
            "EXECUTE" if !known => result = error("NOSTMT"),
            "SET" => {}
            "PREPARE" => {
                let mut words = rest.splitn(3, ' ');
                let (name, kind) = (words.next()?, words.next()?);
                session.prepared.insert(name.into(), kind.into());
            }
            "DEALLOC" => {
                session.prepared.remove(rest);
            }
            "RESET" => session.prepared.clear(),
            "STATUS" | "PAUSE" | "DEMOTE" | "RESUME" => {
                let term: u64 = rest.parse().unwrap_or(0);
                let newest = server.term;
                match verb {
                    "PAUSE" if !server.is_primary && term > newest => {
                        server.paused = server.paused.max(term);
                    }
                    "RESUME" => server.paused = 0,
                    "DEMOTE" if server.is_primary && term > newest => server.is_primary = false,
                    _ => {}
                }
                let role = if server.is_primary {
                    "primary"
                } else {
                    "replica"
                };
                rows.push(format!(
                    "{role} {} {} {} 0 0 {}",
                    server.term,
                    server.position(),
                    server.paused,
                    server.streams.len()
                ));
                if verb != "STATUS" {
                    self.record
                        .line(&format!("{}: {text}: {}", server.id, rows[0]));
                }
            }
            _ => result = error("MALFORMED"),
        }
        let server = &state.servers[index];
        let mut reply: String = rows.iter().map(|row| format!("ROW {row}\r\n")).collect();
        reply += &match result {
            Ok(signature) => format!("DONE {signature}\r\n"),
            Err(code) => format!("ERROR {code}\r\n"),
        };
        reply += &format!("READY {} {}\r\n", session.state, server.position());
        Some(reply)
    }

    /// Appends a commit and waits until enough replicas received it. Returns `None` if the process ends
    /// or loses the lead before.
    fn commit<'a>(
        &'a self,
        mut state: MutexGuard<'a, State>,
        index: usize,
        process: u64,
        writes: Vec<(String, String)>,
    ) -> Option<MutexGuard<'a, State>> {
        let server = &mut state.servers[index];
        let (term, position) = (server.term, server.end().1 + 1);
        server.log.push(Entry {
            term,
            position,
            writes,
        });
        replicate(&mut state);
        loop {
            let server = &state.servers[index];
            if !server.up || server.process != process || !server.is_primary || server.term != term
            {
                return None;
            }
            let holds = |s: &&Server| !s.is_primary && s.up && s.end() >= (term, position);
            if state.servers.iter().filter(holds).count() >= SYNC_REPLICAS {
                return Some(state);
            }
            state = self
                .changed
                .wait_timeout(state, Duration::from_millis(50))
                .unwrap()
                .0;
        }
    }
}

/// Passes the primary's log to the replicas that receive.
fn replicate(state: &mut State) {
    let Some(primary) = state.servers.iter().position(|s| s.is_primary && s.up) else {
        return;
    };
    let (log, term) = (
        state.servers[primary].log.clone(),
        state.servers[primary].term,
    );
    for (index, server) in state.servers.iter_mut().enumerate() {
        if index != primary && server.up && !server.deaf && server.paused == 0 {
            if server.log.len() != log.len()
                || server.end() != log.last().map_or((0, 0), |e| (e.term, e.position))
            {
                server.log.clone_from(&log);
            }
            server.term = term;
        }
    }
}

impl Server {
    fn read(&self, item: &str, own: &[(String, String)]) -> String {
        let logged = self.log.iter().flat_map(|entry| &entry.writes);
        let found = logged.chain(own).rfind(|(known, _)| known == item);
        found.map_or_else(|| "none".into(), |(_, data)| data.clone())
    }
}

/// A session at a server.
struct Session {
    state: char,
    /// Term in which a transaction that may write began.
    plain_term: Option<u64>,
    writes: Vec<(String, String)>,
    /// Kinds of the prepared statements.
    prepared: HashMap<String, String>,
}

impl Default for Session {
    fn default() -> Self {
        Self {
            state: 'I',
            plain_term: None,
            writes: Vec::new(),
            prepared: HashMap::new(),
        }
    }
}

impl Session {
    fn end(&mut self) {
        self.state = 'I';
        self.plain_term = None;
        self.writes.clear();
    }

    /// Returns the statement that an `EXECUTE` runs, if its name is known.
    fn expand(&self, text: &str) -> Option<String> {
        let (name, arguments) = text.strip_prefix("EXECUTE ")?.split_once(' ')?;
        let kind = self.prepared.get(name)?;
        Some(format!("{kind} {arguments}"))
    }
}
