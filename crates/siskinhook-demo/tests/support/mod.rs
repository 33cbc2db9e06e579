//! A demo site and its callers and operators, for tests over TCP.
//!
//! The tests run on the real clock, because they cross real sockets. None of them asserts a
//! speed: each waits for an outcome within a limit that is far above the expected time.

// Not every test binary uses every part.
#![allow(dead_code)]

use std::time::Duration;

use jsonrpsee::http_client::{HeaderMap, HttpClient, HttpClientBuilder};
use siskinhook_demo::{Demo, DemoOptions};
use siskinhook_operator::{EditRequest, OperatorApiClient, Report};
use siskinhook_types::{DatabaseId, Entry, MemberState, NodeId, Revision};
use tokio_postgres::{Client, Config, Error, NoTls, SimpleQueryMessage};

pub mod load;

/// Limit of one outcome; the expected time is a second or two.
pub const LIMIT: Duration = Duration::from_secs(30);

/// Starts the demo and waits until all nodes know each other; before that, owners move.
pub async fn start() -> Demo {
    let demo = Demo::start(DemoOptions::default()).await;
    let demo = demo.expect("the demo starts");
    let nodes = demo.summary().nodes.len();
    for node in 0..nodes {
        let client = operator(&demo, node);
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

/// Waits for a future within the limit.
pub async fn limited<T>(what: &str, work: impl Future<Output = T>) -> T {
    let result = tokio::time::timeout(LIMIT, work).await;
    result.unwrap_or_else(|_| panic!("no end within {} s: {what}", LIMIT.as_secs()))
}

/// Waits until a condition holds.
pub async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    limited(what, async {
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
    let (client, connection) = limited("connecting", connecting).await?;
    tokio::spawn(connection);
    let options = client.simple_query("SET siskinhook.deadline = 25000");
    limited("setting the deadline", options).await?;
    Ok(client)
}

pub async fn connect(demo: &Demo, node: usize, database: &str, options: &str) -> Client {
    try_connect(demo, node, database, options)
        .await
        .expect("the node accepts callers")
}

/// First column of the first row.
pub async fn try_value(client: &Client, sql: &str) -> Result<String, Error> {
    let messages = limited(sql, client.simple_query(sql)).await?;
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    Ok(row.unwrap_or_default())
}

pub async fn value(client: &Client, sql: &str) -> String {
    match try_value(client, sql).await {
        Ok(value) => value,
        Err(error) => panic!("{sql}: {error:?}"),
    }
}

pub async fn run(client: &Client, sql: &str) {
    value(client, sql).await;
}

/// SQLSTATE and detail of an error of the node.
pub fn reported(error: &Error) -> (String, String) {
    let error = error.as_db_error().expect("an error of the node");
    let detail = error.detail().unwrap_or_default();
    (error.code().code().into(), detail.into())
}

/// Name of the primary of a database as the servers themselves report it.
pub fn primary(demo: &Demo, database: &str) -> String {
    let state = demo.site().state();
    let leading = state.servers.iter().filter(|(name, server)| {
        name.starts_with(database)
            && !server.crashed
            && server.status.role == siskinhook_types::Role::Primary
    });
    let leading = leading.max_by_key(|(_, server)| server.status.term);
    leading.expect("the database has a primary").0.to_string()
}

/// Position of a node in the demo's summary.
pub fn place(demo: &Demo, node: &str) -> usize {
    let mut nodes = demo.summary().nodes.iter();
    nodes.position(|n| n.name == node).expect("a known node")
}

/// Client of a node's operator interface, as the operator of the site's entry.
pub fn operator(demo: &Demo, node: usize) -> HttpClient {
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

/// Owner of a server in the view of a node.
pub async fn owner(demo: &Demo, node: usize, database: &str, server: &str) -> Option<NodeId> {
    let report = Report::Database(DatabaseId::from(database));
    let answer = operator(demo, node).report(report).await.ok()?;
    let owner = answer.value["servers"][server]["owner"].as_str()?;
    Some(owner.into())
}

/// Edits the entry of the site through a node's operator interface.
pub async fn edit(demo: &Demo, node: usize, id: &str, change: impl FnOnce(&mut Entry)) -> Revision {
    let node = operator(demo, node);
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
