//! Helpers for tests over TCP: a demo site, its callers and its operators.
//!
//! The tests run on the real clock, because they use real sockets. None of them asserts a speed:
//! each waits for an outcome with a timeout that is far above the expected time.

// Not every test binary uses every helper.
#![allow(dead_code)]

use std::time::Duration;

use jsonrpsee::http_client::{HeaderMap, HttpClient, HttpClientBuilder};
use siskinhook_demo::{Demo, DemoOptions};
use siskinhook_operator::{EditRequest, OperatorApiClient, Report};
use siskinhook_types::{DatabaseId, Entry, MemberState, NodeId, Revision};
use tokio_postgres::{Client, Config, Error, NoTls, SimpleQueryMessage};

pub mod load;

/// Timeout of one outcome; the expected time is a second or two.
pub const OUTCOME_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts the demo and waits until each node sees all nodes alive; owners change until then.
pub async fn start() -> Demo {
    let demo = Demo::start(DemoOptions::default()).await;
    let demo = demo.expect("the demo starts");
    let nodes = demo.summary().nodes.len();
    for node in 0..nodes {
        let client = operator_client(&demo, node);
        eventually("the nodes know each other", async || {
            client.fleet().await.is_ok_and(|view| {
                let mut members = view.value.members.values();
                members.len() == nodes && members.all(|m| m.state == MemberState::Alive)
            })
        })
        .await;
    }
    demo
}

/// Waits for a future and panics after [`OUTCOME_TIMEOUT`].
pub async fn within_limit<T>(what: &str, work: impl Future<Output = T>) -> T {
    let result = tokio::time::timeout(OUTCOME_TIMEOUT, work).await;
    result.unwrap_or_else(|_| panic!("timed out after {} s: {what}", OUTCOME_TIMEOUT.as_secs()))
}

/// Polls a condition until it holds.
pub async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    within_limit(what, async {
        while !holds().await {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    })
    .await;
}

pub fn config(demo: &Demo, node: usize, database: &str, options: &str) -> Config {
    let summary = demo.summary();
    let address = &summary.nodes[node].address;
    let address: std::net::SocketAddr = address.parse().expect("an address ip:port");
    let mut config = Config::new();
    config
        .host("127.0.0.1")
        .port(address.port())
        .user(summary.user.as_str())
        .password(summary.password.as_str())
        .dbname(database)
        .options(options);
    config
}

pub async fn try_connect(
    demo: &Demo,
    node: usize,
    database: &str,
    options: &str,
) -> Result<Client, Error> {
    let connecting = async { config(demo, node, database, options).connect(NoTls).await };
    let (client, connection) = within_limit("connecting", connecting).await?;
    tokio::spawn(connection);
    let options = client.simple_query("SET siskinhook.deadline = 25000");
    within_limit("setting the deadline", options).await?;
    Ok(client)
}

pub async fn connect(demo: &Demo, node: usize, database: &str, options: &str) -> Client {
    try_connect(demo, node, database, options)
        .await
        .expect("the node accepts callers")
}

/// Returns the first column of the first row; an empty string without rows.
pub async fn try_query_value(client: &Client, sql: &str) -> Result<String, Error> {
    let messages = within_limit(sql, client.simple_query(sql)).await?;
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    Ok(row.unwrap_or_default())
}

pub async fn query_value(client: &Client, sql: &str) -> String {
    match try_query_value(client, sql).await {
        Ok(value) => value,
        Err(error) => panic!("{sql}: {error:?}"),
    }
}

pub async fn run(client: &Client, sql: &str) {
    query_value(client, sql).await;
}

/// Returns the SQLSTATE and the detail of an error that the node reported.
pub fn sqlstate_and_detail(error: &Error) -> (String, String) {
    let error = error.as_db_error().expect("an error of the node");
    let detail = error.detail().unwrap_or_default();
    (error.code().code().into(), detail.into())
}

/// Returns the name of the primary of a database, as the servers themselves report it.
pub fn primary(demo: &Demo, database: &str) -> String {
    let state = demo.site().state();
    let primaries = state.servers.iter().filter(|(name, server)| {
        name.starts_with(database)
            && !server.crashed
            && server.status.role == siskinhook_types::Role::Primary
    });
    let primaries = primaries.max_by_key(|(_, server)| server.status.term);
    primaries.expect("the database has a primary").0.to_string()
}

/// Returns the index of a node in the demo's summary.
pub fn node_index(demo: &Demo, node: &str) -> usize {
    let mut nodes = demo.summary().nodes.iter();
    nodes.position(|n| n.name == node).expect("a known node")
}

/// Returns a client of a node's operator interface, logged in as the operator `hetal`.
pub fn operator_client(demo: &Demo, node: usize) -> HttpClient {
    let summary = demo.summary();
    let token = &summary.operators["hetal"];
    let mut headers = HeaderMap::new();
    let value = format!("Bearer hetal:{token}");
    headers.insert("authorization", value.parse().expect("a header value"));
    HttpClientBuilder::default()
        .set_headers(headers)
        .request_timeout(Duration::from_secs(5))
        .build(format!("http://{}", summary.nodes[node].operator))
        .expect("an operator's client")
}

/// Returns the owner of a server as a node sees it.
pub async fn owner(demo: &Demo, node: usize, database: &str, server: &str) -> Option<NodeId> {
    let report = Report::Database(DatabaseId::from(database));
    let answer = operator_client(demo, node).report(report).await.ok()?;
    let owner = answer.value["servers"][server]["owner"].as_str()?;
    Some(owner.into())
}

/// Changes the site's catalogue entry through a node's operator interface. Returns the revision
/// that the edit created.
pub async fn edit(demo: &Demo, node: usize, id: &str, change: impl FnOnce(&mut Entry)) -> Revision {
    let node = operator_client(demo, node);
    let service = demo.site().entry().name;
    let current = node.entry(service.clone()).await;
    let current = current.expect("the platform answers");
    let current = current.expect("the site has an entry");
    let mut entry = current.entry.clone();
    change(&mut entry);
    let edit = EditRequest {
        id: id.into(),
        service,
        entry: Some(entry),
        base: current.revision,
        reason: "test".into(),
        confirmed: true,
    };
    let accepted = node.edit(edit).await;
    accepted.expect("the edit is accepted").revision
}
