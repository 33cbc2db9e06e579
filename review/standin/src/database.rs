//! Database servers behind the line protocol.

use std::{
    collections::HashMap,
    io::{BufRead as _, BufReader, Write as _},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{Arc, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::site::{Commit, MAX_CONNECTIONS, SERVICE, Site, lasts};

/// Time that a statement takes.
const WORK_TIME: Duration = Duration::from_millis(3);
/// Time that a new connection takes.
const START_TIME: Duration = Duration::from_millis(12);

#[derive(Default)]
struct Connection {
    /// Whether a transaction is open, and whether it only reads.
    transaction: Option<bool>,
    has_failed: bool,
    writes: Vec<(Vec<u8>, Vec<u8>)>,
    prepared: HashMap<Vec<u8>, Vec<u8>>,
}

/// What a server answers: rows and a signature, or an error code.
type Outcome = Result<Vec<Vec<u8>>, &'static str>;

/// Listens for a server while it is up; runs until the process ends.
pub fn serve(site: &Arc<Site>, index: usize, first: TcpListener) {
    let site = site.clone();
    thread::spawn(move || {
        let address = first.local_addr();
        let mut listener = Some(first);
        loop {
            thread::sleep(Duration::from_millis(1));
            if !site.lock().servers[index].is_up {
                // A server that is down refuses connections.
                listener = None;
                continue;
            }
            if listener.is_none() {
                listener = address
                    .as_ref()
                    .ok()
                    .and_then(|at| TcpListener::bind(at).ok());
            }
            if site.lock().servers[index].is_silent() {
                continue;
            }
            let Some(open) = &listener else { continue };
            let _ = open.set_nonblocking(true);
            while let Ok((stream, _)) = open.accept() {
                let site = site.clone();
                let _ = stream.set_nonblocking(false);
                thread::spawn(move || {
                    let _ = serve_connection(&site, index, stream);
                });
            }
        }
    });
}

/// Reads a line without its line break.
pub fn read_line(reader: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut line = Vec::new();
    loop {
        let n = reader.read_until(b'\n', &mut line).ok()?;
        if n == 0 {
            return None;
        }
        if line.ends_with(b"\r\n") {
            line.truncate(line.len() - 2);
            return Some(line);
        }
    }
}

fn split(text: &[u8]) -> (&[u8], &[u8]) {
    match text.iter().position(|byte| *byte == b' ') {
        Some(at) => (&text[..at], &text[at + 1..]),
        None => (text, b""),
    }
}

fn serve_connection(site: &Arc<Site>, index: usize, stream: TcpStream) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let line = read_line(&mut reader)?;
    let fields: Vec<String> = String::from_utf8_lossy(&line)
        .split(' ')
        .map(str::to_string)
        .collect();
    let node = fields.get(2).cloned().unwrap_or_default();
    let epoch = site.lock().servers[index].epoch;
    if !site.wait_for_link(index, epoch, &node) {
        return None;
    }
    let (epoch, ready) = {
        let mut world = site.lock();
        let server = &mut world.servers[index];
        if !server.is_up {
            return None;
        }
        let is_named = fields.get(1).is_some_and(|name| name == SERVICE)
            && fields.get(3).is_none_or(|id| *id == server.id);
        let refusal = if !is_named {
            Some("MISROUTED")
        } else if server.streams.len() >= MAX_CONNECTIONS {
            Some("TOOMANY")
        } else {
            None
        };
        if let Some(code) = refusal {
            let _ = writer.write_all(format!("ERROR {code} {}\r\n", server.id).as_bytes());
            return None;
        }
        server.streams.push((node.clone(), stream));
        (server.epoch, format!("READY I {}\r\n", server.position()))
    };
    thread::sleep(START_TIME);
    if !site.wait_for_link(index, epoch, &node) {
        let _ = writer.shutdown(Shutdown::Both);
    }
    writer.write_all(ready.as_bytes()).ok()?;
    let mut connection = Connection::default();
    while let Some(line) = read_line(&mut reader) {
        if !site.wait_for_link(index, epoch, &node) {
            break;
        }
        let Some(answer) = answer(site, index, epoch, &mut connection, &line) else {
            break;
        };
        if !site.wait_for_link(index, epoch, &node) {
            break;
        }
        if writer.write_all(&answer).is_err() {
            break;
        }
    }
    let mut world = site.lock();
    let server = &mut world.servers[index];
    let local = writer.peer_addr().ok();
    server
        .streams
        .retain(|(_, s)| s.peer_addr().ok() != local || local.is_none());
    let _ = writer.shutdown(Shutdown::Both);
    Some(())
}

/// Runs a statement. Returns `None` if the connection has to be closed without an answer.
fn answer(
    site: &Arc<Site>,
    index: usize,
    epoch: u64,
    connection: &mut Connection,
    line: &[u8],
) -> Option<Vec<u8>> {
    let (verb, rest) = split(line);
    if verb != b"QUERY" {
        return None;
    }
    let (id, text) = split(rest);
    if id != b"-" {
        let server = {
            let mut world = site.lock();
            let text = match text.strip_prefix(b"AFTER ") {
                Some(rest) => split(rest).1,
                None => text,
            };
            world.runs.push((id.to_vec(), text.to_vec()));
            world.servers[index].id.clone()
        };
        let (id, text) = (id.escape_ascii(), text.escape_ascii());
        site.note(&format!("server {server} runs {id} {text}"));
    }
    let outcome = run(site, index, epoch, connection, id, text)?;
    let world = site.lock();
    let server = &world.servers[index];
    if server.epoch != epoch {
        return None;
    }
    let mut out = Vec::new();
    match outcome {
        Ok(rows) => {
            for row in rows {
                out.extend_from_slice(b"ROW ");
                out.extend_from_slice(&row);
                out.extend_from_slice(b"\r\n");
            }
            let signature = if id == b"-" {
                "-".to_string()
            } else {
                format!("{}.{}", server.id, id.escape_ascii())
            };
            out.extend_from_slice(format!("DONE {signature}\r\n").as_bytes());
        }
        Err(code) => out.extend_from_slice(format!("ERROR {code} {}\r\n", server.id).as_bytes()),
    }
    let state = match (connection.transaction, connection.has_failed) {
        (None, _) => 'I',
        (Some(_), false) => 'T',
        (Some(_), true) => 'E',
    };
    out.extend_from_slice(format!("READY {state} {}\r\n", server.position()).as_bytes());
    Some(out)
}

/// Whether a replica refuses a statement because it rolls commits back.
fn is_busy(site: &Site, index: usize, verb: &[u8]) -> bool {
    let refused: &[&[u8]] = &[b"READ", b"WRITE", b"BEGIN", b"STATUS"];
    refused.contains(&verb) && lasts(site.lock().servers[index].busy_until)
}

fn run(
    site: &Arc<Site>,
    index: usize,
    epoch: u64,
    connection: &mut Connection,
    id: &[u8],
    text: &[u8],
) -> Option<Outcome> {
    let mut text = text.to_vec();
    if let Some(rest) = text.strip_prefix(b"AFTER ") {
        let (position, rest) = split(rest);
        let position = String::from_utf8_lossy(position).into_owned();
        let (term, number) = position.split_once('.').unwrap_or(("0", "0"));
        let (term, number) = (term.parse().unwrap_or(0), number.parse().unwrap_or(0));
        if !site.lock().servers[index].holds(term, number) {
            return Some(Err("LAGGING"));
        }
        text = rest.to_vec();
    }
    if text.starts_with(b"EXECUTE ") {
        let (_, rest) = split(&text);
        let (name, arguments) = split(rest);
        let Some(kind) = connection.prepared.get(name) else {
            return Some(Err("NOSTMT"));
        };
        text = [kind, b" ".as_slice(), arguments].concat();
    }
    let (verb, rest) = split(&text);
    if connection.has_failed && verb != b"ROLLBACK" && verb != b"COMMIT" {
        return Some(Err("MALFORMED"));
    }
    if is_busy(site, index, verb) {
        return Some(Err("BUSY"));
    }
    let is_plain = connection.transaction == Some(false);
    let leads = site.lock().servers[index].is_primary;
    let changes_nothing = verb == b"COMMIT" && connection.writes.is_empty();
    if is_plain && !leads && verb != b"ROLLBACK" && !changes_nothing {
        connection.has_failed = true;
        return Some(Err("READONLY"));
    }
    Some(match verb {
        b"BEGIN" if connection.transaction.is_some() => Err("MALFORMED"),
        b"BEGIN" if rest.is_empty() && !leads => Err("READONLY"),
        b"BEGIN" => {
            connection.transaction = Some(rest == b"READ");
            Ok(Vec::new())
        }
        b"ROLLBACK" | b"COMMIT" if connection.transaction.is_none() => Err("MALFORMED"),
        b"ROLLBACK" => {
            connection.transaction = None;
            connection.has_failed = false;
            connection.writes.clear();
            Ok(Vec::new())
        }
        b"COMMIT" => {
            thread::sleep(WORK_TIME);
            connection.transaction = None;
            let has_failed = std::mem::take(&mut connection.has_failed);
            let writes = std::mem::take(&mut connection.writes);
            if has_failed {
                Err("ABORTED")
            } else if writes.is_empty() {
                Ok(Vec::new())
            } else {
                return commit(site, index, epoch, id, writes);
            }
        }
        b"READ" => {
            thread::sleep(WORK_TIME);
            let world = site.lock();
            let writes = world.servers[index].log.iter().flat_map(|c| &c.writes);
            let own = connection.writes.iter();
            let found = writes.chain(own).rfind(|(item, _)| item == rest);
            Ok(found.map(|(_, data)| data.clone()).into_iter().collect())
        }
        b"WRITE" => {
            thread::sleep(WORK_TIME);
            let (item, data) = split(rest);
            let write = (item.to_vec(), data.to_vec());
            if connection.transaction.is_some() {
                connection.writes.push(write);
                Ok(Vec::new())
            } else if leads {
                return commit(site, index, epoch, id, vec![write]);
            } else {
                Err("READONLY")
            }
        }
        b"SET" => Ok(Vec::new()),
        b"RESET" => {
            connection.prepared.clear();
            Ok(Vec::new())
        }
        b"PREPARE" => {
            let (name, shape) = split(rest);
            let (kind, _) = split(shape);
            connection.prepared.insert(name.to_vec(), kind.to_vec());
            Ok(Vec::new())
        }
        b"STATUS" | b"PAUSE" | b"RESUME" | b"DEMOTE" => {
            let term = String::from_utf8_lossy(rest).parse().unwrap_or(0);
            Ok(vec![control(site, index, verb, term).into_bytes()])
        }
        _ => Err("MALFORMED"),
    })
}

fn control(site: &Arc<Site>, index: usize, verb: &[u8], term: u64) -> String {
    let mut world = site.lock();
    let newest = world.servers.iter().map(|s| s.term).max().unwrap_or(1);
    let server = &mut world.servers[index];
    match verb {
        b"PAUSE" if !server.is_primary && term > newest => server.paused_term = term,
        b"RESUME" => server.paused_term = 0,
        b"DEMOTE" if server.is_primary && term > server.term => server.is_primary = false,
        _ => {}
    }
    let status = server.status();
    if verb != b"STATUS" {
        let verb = verb.escape_ascii();
        site.note(&format!(
            "server {} gets {verb} {term}: {status}",
            server.id
        ));
    }
    site.replicate(&mut world);
    site.report(&mut world, index);
    status
}

/// Commits writes, and waits until one replica has received them.
fn commit(
    site: &Arc<Site>,
    index: usize,
    epoch: u64,
    id: &[u8],
    writes: Vec<(Vec<u8>, Vec<u8>)>,
) -> Option<Outcome> {
    let id = String::from_utf8_lossy(id).into_owned();
    let mut world = site.lock();
    while world.servers[index].is_silent() {
        let waited = site.changed.wait_timeout(world, Duration::from_millis(5));
        world = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
    let server = &mut world.servers[index];
    if server.epoch != epoch {
        return None;
    }
    if !server.is_primary {
        return Some(Err("READONLY"));
    }
    let term = server.term;
    let number = server.log.last().map_or(0, |c| c.number) + 1;
    server.log.push(Commit {
        term,
        number,
        id: id.clone(),
        writes,
    });
    world.committed.insert(id.clone(), term);
    site.replicate(&mut world);
    let give_up = Instant::now() + Duration::from_secs(20);
    loop {
        let server = &world.servers[index];
        // A primary that crashes or is replaced gives no answer.
        if server.epoch != epoch || !server.is_primary || Instant::now() >= give_up {
            return None;
        }
        let received = |(other, s): (usize, &crate::site::Server)| {
            other != index
                && s.is_linked()
                && s.log
                    .iter()
                    .rev()
                    .take_while(|c| c.number >= number)
                    .any(|c| (c.term, c.number) == (term, number))
        };
        let mut others = world.servers.iter().enumerate();
        let holder = others
            .find(|other| received(*other))
            .filter(|_| server.is_linked());
        if let Some((_, holder)) = holder {
            if world.network.is_some() {
                let (server, holder) = (&server.id, &holder.id);
                site.note(&format!(
                    "server {server} acknowledges {id} as {term}.{number}, which {holder} received"
                ));
            }
            return Some(Ok(Vec::new()));
        }
        let waited = site.changed.wait_timeout(world, Duration::from_millis(50));
        world = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
}
