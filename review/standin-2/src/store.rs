//! Stand-in of the platform's store: rows in tables, a feed of changes, and conditional writes.

use std::{
    collections::BTreeMap,
    sync::{Condvar, Mutex},
    time::{Duration, Instant},
};

use base64::{Engine as _, prelude::BASE64_STANDARD};
use serde_json::{Value, json};

/// Latency of an answer.
const LATENCY: Duration = Duration::from_millis(4);

struct StoredRow {
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<(String, String), StoredRow>,
    version: u64,
}

/// The store.
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn new() -> Self {
        Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        }
    }

    /// Writes a row. `is_change` tells whether watchers learn of it.
    pub fn put(&self, table: &str, key: &str, value: &Value, is_change: bool) {
        let mut rows = self.rows.lock().unwrap();
        if is_change {
            rows.version += 1;
        }
        let version = rows.version;
        let value = Some(BASE64_STANDARD.encode(value.to_string()));
        let row = rows.rows.entry((table.into(), key.into()));
        let row = row.or_insert(StoredRow {
            value: None,
            version,
        });
        row.value = value;
        if is_change {
            row.version = version;
        }
        self.changed.notify_all();
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        if let Some(row) = rows.rows.get_mut(&(table.to_string(), key.to_string())) {
            row.value = None;
            row.version = version;
        }
        self.changed.notify_all();
    }

    fn now(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap() + 1_000_000
    }

    /// Answers a request. Returns the status and the body.
    pub fn answer(&self, method: &str, path: &str, body: &[u8]) -> (u16, Value) {
        std::thread::sleep(LATENCY);
        let (name, query) = path.split_once('?').unwrap_or((path, ""));
        match (method, name) {
            ("GET", "/rows-get") => (200, self.get(query)),
            ("GET", "/rows-feed") => (200, self.feed(query)),
            ("POST", "/rows-tx") => self.commit(body),
            _ => (404, json!({})),
        }
    }

    fn get(&self, query: &str) -> Value {
        let (table, from) = (field(query, "table"), field(query, "from"));
        let limit = field(query, "limit").parse().unwrap_or(500);
        let rows = self.rows.lock().unwrap();
        let found: Vec<Value> = rows
            .rows
            .iter()
            .filter(|((t, k), row)| *t == table && *k >= from && row.value.is_some())
            .map(|((table, key), row)| encode(table, key, row))
            .collect();
        let has_more = found.len() > limit;
        let found: Vec<Value> = found.into_iter().take(limit).collect();
        json!({"rows": found, "has_more": has_more, "row_version": rows.version, "now_ms": self.now()})
    }

    fn feed(&self, query: &str) -> Value {
        let table = field(query, "table");
        let after: u64 = field(query, "after").parse().unwrap_or(0);
        let wait: u64 = field(query, "wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let mut found: Vec<(u64, Value)> = rows
                .rows
                .iter()
                .filter(|((t, _), row)| *t == table && row.version > after)
                .map(|((table, key), row)| (row.version, encode(table, key, row)))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                found.sort_by_key(|(version, _)| *version);
                let found: Vec<Value> = found.into_iter().map(|(_, row)| row).collect();
                return json!({"rows": found, "row_version": rows.version, "now_ms": self.now()});
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn commit(&self, body: &[u8]) -> (u16, Value) {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let key = |entry: &Value| {
            let text = |name: &str| entry[name].as_str().unwrap_or_default().to_string();
            (text("table"), text("key"))
        };
        let mut rows = self.rows.lock().unwrap();
        let holds = |entry: &Value| {
            let row = rows.rows.get(&key(entry)).filter(|row| row.value.is_some());
            row.map_or(0, |row| row.version) == entry["row_version"].as_u64().unwrap_or(0)
        };
        if !list("expected").iter().all(holds) {
            let current: Vec<Value> = list("expected")
                .iter()
                .filter_map(|entry| {
                    let (table, name) = key(entry);
                    let row = rows.rows.get(&(table.clone(), name.clone()))?;
                    row.value.is_some().then(|| encode(&table, &name, row))
                })
                .collect();
            return (
                412,
                json!({"rows": current, "row_version": rows.version, "now_ms": self.now()}),
            );
        }
        rows.version += 1;
        let version = rows.version;
        for entry in list("set_keys") {
            let value = entry["value"].as_str().map(str::to_string);
            rows.rows.insert(key(&entry), StoredRow { value, version });
        }
        for entry in list("remove") {
            if let Some(row) = rows.rows.get_mut(&key(&entry)) {
                (row.value, row.version) = (None, version);
            }
        }
        self.changed.notify_all();
        (200, json!({"row_version": version, "now_ms": self.now()}))
    }
}

fn encode(table: &str, key: &str, row: &StoredRow) -> Value {
    let mut entry = json!({"table": table, "part": "", "key": key, "row_version": row.version});
    match &row.value {
        Some(value) => entry["value"] = json!(value),
        None => entry["tombstone"] = json!(true),
    }
    entry
}

/// Returns a field of a query, decoded.
fn field(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.filter(|(key, _)| *key == name).map(|(_, v)| v).next();
    let bytes = found.unwrap_or_default().as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| std::str::from_utf8(bytes.get(at + 1..at + 3)?).ok())
            .flatten()
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        out.push(code.unwrap_or(bytes[at]));
        at += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&out).into_owned()
}
