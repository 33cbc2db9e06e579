//! The platform's store and the service that takes promotion orders, over HTTP. Each node has a
//! port of its own, so that faults can affect single nodes.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use base64::{Engine as _, prelude::BASE64_STANDARD};
use http_body_util::BodyExt;
use hyper::{
    Request, StatusCode, body::Incoming, header::HeaderValue, server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use rand::Rng;
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{
    pace::{HttpResponse, Pace, response},
    servers::Servers,
};

/// Number of changes that are kept for feeds.
const MAX_CHANGES: usize = 500;

/// How the store treats the requests of one node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StoreFault {
    /// Serves requests normally.
    None,
    /// Answers all requests with status 503.
    Busy,
    /// Never answers.
    Unresponsive,
    /// Carries out writes and orders, but with this probability does not answer them.
    LoseAnswers(f64),
    /// With this probability, carries out an order later and does not answer it.
    DelayOrders(f64),
    /// Delays every request by this duration.
    Slow(Duration),
}

#[derive(Clone)]
struct Row {
    value: Arc<str>,
    /// The row as it stands in answers. Encoding large rows for each answer would make the store
    /// slower than its pace.
    encoded: Arc<str>,
    version: u64,
}

/// A change of a row.
#[derive(Clone)]
struct Change {
    table: String,
    key: String,
    version: u64,
    /// The row as of this change; `None` if the change removed it.
    row: Option<Row>,
}

#[derive(Clone, Default)]
struct Tables {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
    /// Oldest first.
    changes: VecDeque<Change>,
    /// Feeds that continue from a version below this one are refused, as changes after it are gone.
    truncated_version: u64,
}

/// A copy of all rows and of the version counter.
pub struct Backup(Tables);

/// The store of one run.
pub struct Store {
    tables: Mutex<Tables>,
    /// Number of the store's history. It rises when the store comes back from a copy.
    era: AtomicU64,
    faults: Mutex<Vec<StoreFault>>,
    /// For each node, the address of its proxy to each server, by server id.
    proxy_addresses: Mutex<Vec<HashMap<String, SocketAddr>>>,
    /// Notified when a row changes or the change history is dropped.
    changed: Notify,
    started: Instant,
    /// Speed of the answers to reads.
    pub pace: Arc<Pace>,
}

fn query_parameters(query: &str) -> HashMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.into(), value.into()))
        .collect()
}

fn encode_value(table: &str, key: &str, value: &str, version: u64) -> String {
    let value = BASE64_STANDARD.encode(value);
    json!({"table": table, "part": "", "key": key, "value": value, "row_version": version})
        .to_string()
}

impl Store {
    pub fn new(nodes: usize) -> Arc<Self> {
        Arc::new(Self {
            tables: Mutex::default(),
            era: AtomicU64::new(1),
            faults: Mutex::new(vec![StoreFault::None; nodes]),
            proxy_addresses: Mutex::new(vec![HashMap::new(); nodes]),
            changed: Notify::new(),
            started: Instant::now(),
            pace: Pace::new(nodes),
        })
    }

    fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a row, or removes it when `value` is `None`, on behalf of the operator or a server.
    pub fn put(&self, table: &str, key: &str, value: Option<String>) {
        self.tables().put(table, key, value);
        self.changed.notify_waiters();
    }

    /// Drops the change history, so that feeds cannot continue.
    pub fn drop_history(&self) {
        let mut tables = self.tables();
        tables.changes.clear();
        tables.truncated_version = tables.version;
        drop(tables);
        self.changed.notify_waiters();
    }

    pub fn backup(&self) -> Backup {
        Backup(self.tables().clone())
    }

    /// Goes back to a copy, which also takes back the version counter. The operator and the servers
    /// write again what they wrote since; what the nodes wrote since is lost.
    pub fn restore(&self, Backup(copy): Backup) {
        let mut tables = self.tables();
        let lost = std::mem::replace(&mut *tables, copy);
        let is_foreign = |(table, _): &(String, String)| table == "op" || table == "servers";
        let keys: BTreeSet<_> = lost
            .rows
            .keys()
            .chain(tables.rows.keys())
            .cloned()
            .collect();
        for key in keys.into_iter().filter(is_foreign) {
            let value = lost.rows.get(&key).map(|row| &row.value);
            if value != tables.rows.get(&key).map(|row| &row.value) {
                tables.put(&key.0, &key.1, value.map(ToString::to_string));
            }
        }
        self.era.fetch_add(1, Ordering::Relaxed);
        drop(tables);
        self.changed.notify_waiters();
    }

    fn era(&self) -> u64 {
        self.era.load(Ordering::Relaxed)
    }

    pub fn set_fault(&self, node: usize, fault: StoreFault) {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)[node] = fault;
    }

    fn fault(&self, node: usize) -> StoreFault {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)[node]
    }

    pub fn set_proxy_address(&self, node: usize, server: &str, address: SocketAddr) {
        let mut proxy_addresses = self
            .proxy_addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        proxy_addresses[node].insert(server.into(), address);
    }

    /// Starts to serve a node on a port of its own and returns the address.
    pub async fn listen(self: &Arc<Self>, node: usize, servers: Arc<Servers>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let store = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (store, servers) = (store.clone(), servers.clone());
                tokio::spawn(async move {
                    let service = service_fn(|request| {
                        let (store, servers) = (store.clone(), servers.clone());
                        async move { Ok::<_, Infallible>(store.call(node, &servers, request).await) }
                    });
                    // The connection fails when the node closes it; nothing is left to do then.
                    let _ = http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        });
        address
    }

    /// Answers a request of a node in the current history. A call that waits while the store goes
    /// back to a copy is lost.
    async fn call(
        self: &Arc<Self>,
        node: usize,
        servers: &Arc<Servers>,
        request: Request<Incoming>,
    ) -> HttpResponse {
        let era = self.era();
        let mut response = self.answer(node, servers, request).await;
        if self.era() != era {
            std::future::pending::<()>().await;
        }
        let header = HeaderValue::from(era);
        response.headers_mut().insert("Store-Era", header);
        response
    }

    /// Answers a request of a node, subject to the current fault.
    async fn answer(
        self: &Arc<Self>,
        node: usize,
        servers: &Arc<Servers>,
        request: Request<Incoming>,
    ) -> HttpResponse {
        let path = request.uri().path().to_string();
        let query = query_parameters(request.uri().query().unwrap_or_default());
        let header = |name: &str| {
            let value = request.headers().get(name);
            value
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
                .to_string()
        };
        let (holder, token) = (header("Lease-Holder"), header("Fencing-Token"));
        let body = match request.into_body().collect().await {
            Ok(body) => body.to_bytes(),
            Err(_) => return response(StatusCode::BAD_REQUEST, Value::Null),
        };
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let is_write = path == "/rows-tx" || path == "/promote";
        match self.fault(node) {
            StoreFault::Busy => return response(StatusCode::SERVICE_UNAVAILABLE, Value::Null),
            StoreFault::Unresponsive => std::future::pending().await,
            StoreFault::Slow(latency) => sleep(latency).await,
            _ => {}
        }
        let result = match path.as_str() {
            "/rows-get" => {
                let store = self.clone();
                let table = query.get("table").cloned().unwrap_or_default();
                let read = move || store.read_rows(node, &query);
                self.pace.serve(node, table, read).await
            }
            "/rows-feed" => self.feed(node, &query).await,
            "/rows-tx" => self.write_rows(&body),
            "/promote" => self.promote(node, servers, &body, &holder, &token).await,
            _ => response(StatusCode::NOT_FOUND, Value::Null),
        };
        match self.fault(node) {
            StoreFault::Unresponsive => std::future::pending().await,
            StoreFault::LoseAnswers(probability)
                if is_write && rand::rng().random_bool(probability) =>
            {
                std::future::pending().await
            }
            _ => result,
        }
    }

    async fn promote(
        &self,
        node: usize,
        servers: &Arc<Servers>,
        body: &Value,
        holder: &str,
        token: &str,
    ) -> HttpResponse {
        let text = |name: &str| body[name].as_str().unwrap_or_default().to_string();
        let (service, id) = (text("service"), text("id"));
        let token = token.parse().unwrap_or_default();
        if let StoreFault::DelayOrders(probability) = self.fault(node)
            && rand::rng().random_bool(probability)
        {
            let (servers, holder) = (servers.clone(), holder.to_string());
            let delay = rand::rng().random_range(1000..4000);
            tokio::spawn(async move {
                sleep(Duration::from_millis(delay)).await;
                servers.promote(&service, &id, &holder, token);
            });
            return std::future::pending().await;
        }
        let status = servers.promote(&service, &id, holder, token);
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
        response(status, Value::Null)
    }

    fn read_rows(&self, node: usize, query: &HashMap<String, String>) -> HttpResponse {
        let parameter = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, from) = (parameter("table"), parameter("from"));
        let limit = parameter("limit").parse().unwrap_or(500);
        let tables = self.tables();
        let first = (table.clone(), from);
        let mut rows = Vec::new();
        let mut has_more = false;
        for ((_, key), row) in tables
            .rows
            .range(first..)
            .take_while(|((t, _), _)| *t == table)
        {
            if rows.len() >= limit {
                has_more = true;
                break;
            }
            rows.push(self.encode_row(node, &table, key, Some(row), row.version));
        }
        self.rows_response(&rows, tables.version, has_more)
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX) + 1_000_000
    }

    fn rows_response(&self, rows: &[String], version: u64, has_more: bool) -> HttpResponse {
        let (rows, now) = (rows.join(","), self.now_ms());
        let body = format!(
            r#"{{"rows":[{rows}],"row_version":{version},"has_more":{has_more},"now_ms":{now}}}"#
        );
        response(StatusCode::OK, body)
    }

    /// Encodes a row, or a tombstone when `row` is `None`. The address of a server is replaced by
    /// that of the proxy between it and the node.
    fn encode_row(
        &self,
        node: usize,
        table: &str,
        key: &str,
        row: Option<&Row>,
        version: u64,
    ) -> String {
        let Some(row) = row else {
            return json!({"table": table, "part": "", "key": key, "row_version": version, "tombstone": true})
                .to_string();
        };
        if table == "servers" {
            let proxy_addresses = self
                .proxy_addresses
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let mut record: Value = serde_json::from_str(&row.value).unwrap_or_default();
            if let Some(proxy_address) = proxy_addresses[node].get(key) {
                record["addr"] = json!(proxy_address);
            }
            return encode_value(table, key, &record.to_string(), version);
        }
        row.encoded.to_string()
    }

    /// Waits until rows of a table change after a version, and returns the changes.
    async fn feed(self: &Arc<Self>, node: usize, query: &HashMap<String, String>) -> HttpResponse {
        let parameter = |name: &str| query.get(name).cloned().unwrap_or_default();
        let table = parameter("table");
        let after: u64 = parameter("after").parse().unwrap_or_default();
        let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or_default());
        let deadline = Instant::now() + wait;
        loop {
            let change = self.changed.notified();
            let has_changed = self.tables().has_changed(&table, after);
            let left = deadline.saturating_duration_since(Instant::now());
            if has_changed || left.is_zero() && self.pace.has_empty_turns() {
                let (store, name) = (self.clone(), table.clone());
                let read = move || store.read_changes(node, &name, after);
                return self.pace.serve(node, table, read).await;
            }
            if left.is_zero() {
                return self.read_changes(node, &table, after);
            }
            // When the wait times out, the deadline is checked again.
            let _ = timeout(left, change).await;
        }
    }

    /// Returns every change of a table after a version, in order.
    fn read_changes(&self, node: usize, table: &str, after: u64) -> HttpResponse {
        let tables = self.tables();
        if !tables.is_known(after) {
            return response(StatusCode::GONE, Value::Null);
        }
        let encode = |change: &Change| {
            let row = change.row.as_ref();
            self.encode_row(node, table, &change.key, row, change.version)
        };
        let rows: Vec<String> = tables.changes_since(table, after).map(encode).collect();
        self.rows_response(&rows, tables.version, false)
    }

    /// Carries out a transaction if all rows have the expected versions.
    fn write_rows(&self, body: &Value) -> HttpResponse {
        let entries = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let text = |entry: &Value, name: &str| entry[name].as_str().unwrap_or_default().to_string();
        let mut tables = self.tables();
        let mut current = Vec::new();
        let mut conflict = false;
        for entry in entries("expected") {
            let (table, key) = (text(&entry, "table"), text(&entry, "key"));
            let row = tables.rows.get(&(table.clone(), key.clone()));
            let version = row.map_or(0, |row| row.version);
            conflict |= entry["row_version"].as_u64() != Some(version);
            if row.is_some() {
                current.push(self.encode_row(0, &table, &key, row, version));
            }
        }
        if conflict {
            let body = format!(r#"{{"rows":[{}]}}"#, current.join(","));
            return response(StatusCode::PRECONDITION_FAILED, body);
        }
        for entry in entries("set_keys") {
            let bytes = BASE64_STANDARD
                .decode(text(&entry, "value"))
                .unwrap_or_default();
            let value = String::from_utf8_lossy(&bytes).into_owned();
            tables.put(&text(&entry, "table"), &text(&entry, "key"), Some(value));
        }
        for entry in entries("remove") {
            tables.put(&text(&entry, "table"), &text(&entry, "key"), None);
        }
        let version = tables.version;
        drop(tables);
        self.changed.notify_waiters();
        response(StatusCode::OK, json!({"row_version": version}))
    }
}

impl Tables {
    fn put(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let version = self.version;
        let row_key = (table.to_string(), key.to_string());
        let row = value.map(|value| Row {
            encoded: encode_value(table, key, &value, version).into(),
            value: value.into(),
            version,
        });
        match &row {
            Some(row) => self.rows.insert(row_key, row.clone()),
            None => self.rows.remove(&row_key),
        };
        self.changes.push_back(Change {
            table: table.into(),
            key: key.into(),
            version,
            row,
        });
        if self.changes.len() > MAX_CHANGES
            && let Some(dropped) = self.changes.pop_front()
        {
            self.truncated_version = dropped.version;
        }
    }

    /// Returns whether all changes after a version are still kept.
    fn is_known(&self, version: u64) -> bool {
        (self.truncated_version..=self.version).contains(&version)
    }

    /// Returns the changes of a table after a version, oldest first.
    fn changes_since(&self, table: &str, after: u64) -> impl Iterator<Item = &Change> {
        let changes = self.changes.iter();
        changes.filter(move |change| change.version > after && change.table == table)
    }

    /// Returns whether a feed that continues from a version has something to return.
    fn has_changed(&self, table: &str, after: u64) -> bool {
        !self.is_known(after) || self.changes_since(table, after).next().is_some()
    }
}
