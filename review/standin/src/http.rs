//! HTTP interfaces of the platform: the metadata store and the promotion service.

use std::{
    collections::{BTreeMap, HashMap},
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use rand::Rng as _;
use serde_json::{Value, json};

use crate::site::{Site, Store, lasts};

/// Time for which the connection of an order without an answer stays open.
const UNANSWERED_TIME: Duration = Duration::from_secs(15);

struct Request {
    method: String,
    path: String,
    parameters: HashMap<String, String>,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

/// Serves the connections of a node; runs until the process ends.
pub fn serve(site: &Arc<Site>, listener: TcpListener, node: &str) {
    let (site, node) = (site.clone(), node.to_string());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (site, node) = (site.clone(), node.clone());
            thread::spawn(move || serve_connection(&site, &stream, &node));
        }
    });
}

fn serve_connection(site: &Arc<Site>, stream: &TcpStream, node: &str) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = respond(site, &request, node) else {
            return;
        };
        let body = body.to_string();
        let text = format!(
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut writer = stream;
        if writer.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<&TcpStream>) -> Option<Request> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_string(), words.next()?.to_string());
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let parameters = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_string(), decode_percent(value)))
        .collect();
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
    }
    let length = headers.get("content-length").and_then(|n| n.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(Request {
        method,
        path: path.to_string(),
        parameters,
        headers,
        body,
    })
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        let code = text
            .get(i + 1..i + 3)
            .map(|hex| u8::from_str_radix(hex, 16));
        match (bytes[i], code) {
            (b'%', Some(Ok(byte))) => {
                out.push(byte);
                i += 3;
            }
            (byte, _) => {
                out.push(byte);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Returns status and body of an answer, or `None` if none is given.
fn respond(site: &Arc<Site>, request: &Request, node: &str) -> Option<(u16, Value)> {
    if request.path == "/promote" {
        return promote(site, request);
    }
    if let Some(is_performed) = wait_while_silent(site) {
        if is_performed && request.path == "/rows-tx" {
            transact(site, request, node);
        }
        return None;
    }
    if site.lock().store.refuses(node) {
        return Some((503, json!({})));
    }
    let answer = match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/rows-get") => (200, get_rows(site, request)),
        ("GET", "/rows-feed") => feed(site, request, node),
        ("POST", "/rows-tx") => transact(site, request, node),
        _ => (404, json!({})),
    };
    match wait_while_silent(site) {
        Some(_) => None,
        None => Some(answer),
    }
}

/// Waits until the store answers again. If it was silent, returns whether it still carries a call out
/// that it got meanwhile.
fn wait_while_silent(site: &Site) -> Option<bool> {
    let mut was_silent = false;
    loop {
        let mut world = site.lock();
        if !lasts(world.store.silent_until) {
            let network = world.network.as_mut().filter(|_| was_silent)?;
            return Some(network.rng.random_bool(0.5));
        }
        was_silent = true;
        drop(world);
        thread::sleep(Duration::from_millis(10));
    }
}

fn row_json(store: &Store, table: &str, key: &str) -> Option<Value> {
    let row = store.rows.get(&(table.to_string(), key.to_string()))?;
    Some(json!({
        "table": table, "part": "", "key": key, "value": row.value, "row_version": row.version
    }))
}

fn get_rows(site: &Site, request: &Request) -> Value {
    let parameter = |name: &str| request.parameters.get(name).cloned().unwrap_or_default();
    let (table, from, to) = (parameter("table"), parameter("from"), parameter("to"));
    let limit: usize = parameter("limit").parse().unwrap_or(500).min(500);
    let world = site.lock();
    let store = &world.store;
    let keys: Vec<&String> = store
        .rows
        .keys()
        .filter(|(t, key)| *t == table && *key >= from && (to.is_empty() || *key < to))
        .map(|(_, key)| key)
        .collect();
    let rows: Vec<Value> = keys
        .iter()
        .take(limit)
        .filter_map(|key| row_json(store, &table, key))
        .collect();
    json!({
        "rows": rows, "row_version": store.version, "now_ms": now_ms(site),
        "has_more": keys.len() > limit
    })
}

fn now_ms(site: &Site) -> u64 {
    u64::try_from(site.started.elapsed().as_millis()).unwrap_or_default() + 1_000_000
}

fn feed(site: &Site, request: &Request, node: &str) -> (u16, Value) {
    let parameter = |name: &str| request.parameters.get(name).cloned().unwrap_or_default();
    let table = parameter("table");
    let after: u64 = parameter("after").parse().unwrap_or_default();
    let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or_default());
    let until = Instant::now() + wait.min(Duration::from_secs(30));
    let mut world = site.lock();
    loop {
        if world.store.refuses(node) {
            return (503, json!({}));
        }
        let store = &world.store;
        let later = store.changes.iter().rev().take_while(|(v, ..)| *v > after);
        let mut changed = BTreeMap::new();
        for (version, t, key) in later {
            if *t == table {
                changed.entry(key.clone()).or_insert(*version);
            }
        }
        let now = Instant::now();
        if !changed.is_empty() || now >= until {
            let mut rows: Vec<(u64, Value)> = changed
                .into_iter()
                .map(|(key, version)| {
                    let row = row_json(store, &table, &key).unwrap_or_else(|| {
                        json!({
                            "table": table, "part": "", "key": key, "row_version": version,
                            "tombstone": true
                        })
                    });
                    (version, row)
                })
                .collect();
            rows.sort_by_key(|(version, _)| *version);
            let rows: Vec<Value> = rows.into_iter().map(|(_, row)| row).collect();
            let body = json!({"rows": rows, "row_version": store.version, "now_ms": now_ms(site)});
            return (200, body);
        }
        let waited = site.changed.wait_timeout(world, until - now);
        world = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
    }
}

fn transact(site: &Site, request: &Request, node: &str) -> (u16, Value) {
    let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
        return (400, json!({}));
    };
    let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let text = |entry: &Value, name: &str| entry[name].as_str().unwrap_or_default().to_string();
    let mut world = site.lock();
    let store = &mut world.store;
    let expected = list("expected");
    let holds = |entry: &Value| {
        let key = (text(entry, "table"), text(entry, "key"));
        let version = store.rows.get(&key).map_or(0, |row| row.version);
        Some(version) == entry["row_version"].as_u64()
    };
    if !expected.iter().all(holds) {
        let rows: Vec<Value> = expected
            .iter()
            .filter_map(|entry| row_json(store, &text(entry, "table"), &text(entry, "key")))
            .collect();
        return (412, json!({"rows": rows, "row_version": store.version}));
    }
    for entry in list("set_keys") {
        let value = text(&entry, "value");
        store.put(&text(&entry, "table"), &text(&entry, "key"), Some(value));
    }
    for entry in list("remove") {
        store.put(&text(&entry, "table"), &text(&entry, "key"), None);
    }
    let version = store.version;
    let mut tables = list("set_keys").into_iter();
    if tables.any(|entry| entry["table"] == "failover") {
        world.last_lease = Some((node.to_string(), Instant::now()));
    }
    site.changed.notify_all();
    (200, json!({"row_version": version, "now_ms": now_ms(site)}))
}

fn promote(site: &Arc<Site>, request: &Request) -> Option<(u16, Value)> {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
    let token = header("fencing-token").parse().unwrap_or_default();
    let id = body["id"].as_str().unwrap_or_default();
    let holder = header("lease-holder");
    let sent_at = Instant::now();
    {
        let mut world = site.lock();
        world.last_order = Some((holder.clone(), sent_at));
        world.last_named = id.to_string();
    }
    let Some(delay) = site.draw_delay() else {
        return Some((site.order(id, &holder, token), json!({})));
    };
    let millis = delay.time.as_millis();
    let follow = delay.follow.map(|time| time.as_millis());
    site.note(&format!(
        "order: {holder} orders to promote {id} under token {token}: no answer, carried out after {millis} ms, or {follow:?} ms after the next order"
    ));
    let (late, id) = (site.clone(), id.to_string());
    thread::spawn(move || {
        late.wait_for_delay(sent_at, delay);
        late.order(&id, &holder, token);
    });
    // The connection stays open and delivers nothing.
    thread::sleep(UNANSWERED_TIME);
    None
}
