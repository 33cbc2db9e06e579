//! A node as a process of its own, beside entries of servers that another writer left in the store.

#[path = "../platform/tests/support/mod.rs"]
mod support;

use std::{
    net::SocketAddr,
    process::{Child, Command, Stdio},
    rc::Rc,
    time::Duration,
};

use rand::Rng;
use serde_json::json;
use support::{
    FakeStore,
    odd::{entry, oddities},
};
use tokio::{
    io::{AsyncBufReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    task::{LocalSet, spawn_local},
    time::{sleep, timeout},
};

/// Attempts to get an answer from a node, and the pause between two of them.
const ATTEMPTS: u32 = 40;
const PAUSE: Duration = Duration::from_millis(200);
/// Time limit of one attempt, above the timeout of the routes.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);
/// Ports of nodes, below those that the kernel assigns to outgoing connections.
const PORTS: std::ops::Range<u16> = 10_000..30_000;

fn free_address() -> SocketAddr {
    loop {
        let address = SocketAddr::from(([127, 0, 0, 1], rand::rng().random_range(PORTS)));
        if std::net::TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// A process of the program, which is killed when it is dropped.
struct Node {
    child: Child,
    callers: SocketAddr,
}

impl Node {
    fn start(store: SocketAddr) -> Self {
        let callers = free_address();
        let settings = json!({
            "node": "n1", "zone": "a", "callers": callers, "readiness": free_address(),
            "metrics": free_address(), "relay": free_address(), "store": store, "orders": store,
            "checks_fence": true, "grace": 6000,
        });
        let name = format!("odd-entries-{}.jsonc", callers.port());
        let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, settings.to_string()).expect("the directory is writable");
        let child = Command::new(env!("CARGO_BIN_EXE_siskinhook"))
            .args(["hosted", "--settings"])
            .arg(&path)
            .stdout(Stdio::null())
            .spawn()
            .expect("the program starts");
        Self { child, callers }
    }

    /// Sends a statement in a session of its own. Returns the lines of the answer.
    async fn ask(&self, database: &str, text: &str) -> std::io::Result<Vec<String>> {
        let stream = TcpStream::connect(self.callers).await?;
        let mut stream = BufReader::new(stream);
        let request = format!("START {database} c\r\nQUERY q {text}\r\n");
        stream.write_all(request.as_bytes()).await?;
        let mut lines = stream.lines();
        let mut answer = Vec::new();
        let mut ready_lines = 0;
        while ready_lines < 2
            && let Some(line) = lines.next_line().await?
        {
            ready_lines += u32::from(line.starts_with("READY"));
            answer.push(line);
        }
        Ok(answer)
    }

    /// Checks that the process lives and that `server` answers callers of `database`.
    async fn check(&mut self, database: &str, server: &str, case: &str) {
        let row = format!("ROW {server}");
        let mut last = None;
        for _ in 0..ATTEMPTS {
            let ended = self
                .child
                .try_wait()
                .expect("the process can be waited for");
            assert_eq!(ended, None, "{case}: the process ended");
            let answer = timeout(ATTEMPT_TIMEOUT, self.ask(database, "READ 1")).await;
            if let Ok(Ok(lines)) = &answer
                && lines.contains(&row)
            {
                return;
            }
            last = Some(answer);
            sleep(PAUSE).await;
        }
        panic!("{case}: {server} does not answer for {database}: {last:?}");
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // Fails only if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a database server that answers under every id, with the id as the row of each read.
async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            // The connection ends when the node closes it.
            spawn_local(async move { serve(stream).await.ok() });
        }
    });
    address
}

async fn serve(stream: TcpStream) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    let mut line = String::new();
    stream.read_line(&mut line).await?;
    // START SERVICE NODE SERVER
    let id = line
        .split_whitespace()
        .nth(3)
        .unwrap_or_default()
        .to_string();
    stream.write_all(b"READY I 1.1\r\n").await?;
    loop {
        line.clear();
        if stream.read_line(&mut line).await? == 0 {
            return Ok(());
        }
        let verb = line.split_whitespace().nth(2).unwrap_or_default();
        let (row, state) = match verb {
            "BEGIN" => (String::new(), 'T'),
            "READ" => (format!("ROW {id}\r\n"), 'I'),
            "STATUS" => ("ROW primary 1 1.1 0\r\n".into(), 'I'),
            _ => (String::new(), 'I'),
        };
        let answer = format!("{row}DONE -\r\nREADY {state} 1.1\r\n");
        stream.write_all(answer.as_bytes()).await?;
    }
}

/// Starts a store with `services` services besides that of the odd entries, and a sound server of
/// that one.
async fn start_store(services: usize, server: SocketAddr) -> (Rc<FakeStore>, SocketAddr) {
    let (store, address) = FakeStore::start().await;
    let names: Vec<_> = (0..services).map(service).collect();
    let names = || names.iter().map(String::as_str).chain(["huvo"]);
    let route = |name| {
        json!({
            "host": name, "kind": "primary", "timeout_ms": 800, "latency_slo_ms": 200,
            "priority": 1, "service": name,
        })
    };
    let configuration = json!({
        "version": 1, "limits": {}, "routes": names().map(route).collect::<Vec<_>>(),
        "services": names().map(|n| json!({"name": n, "max_conns": 16})).collect::<Vec<_>>(),
    });
    store.put("op", "config", Some(&configuration));
    put_server(&store, "sound", "huvo", server);
    (store, address)
}

fn service(index: usize) -> String {
    format!("svc{index}")
}

fn put_server(store: &FakeStore, id: &str, service: &str, address: SocketAddr) {
    let mut value = entry(1);
    value["service"] = json!(service);
    value["addr"] = json!(address);
    value["db_role"] = json!("primary");
    store.put("servers", id, Some(&value));
}

/// Guards against a process that ends at its start, serves nothing or follows no later change
/// because of entries that another writer left.
#[tokio::test]
async fn node_starts_beside_odd_entries() {
    let test = async {
        let server = start_server().await;
        let (store, address) = start_store(1, server).await;
        for (index, (_, put)) in oddities().iter().enumerate() {
            put(&store, "servers", &format!("odd{index}"));
        }
        let mut node = Node::start(address);
        node.check("huvo", "sound", "at the start").await;
        put_server(&store, "s0", "svc0", server);
        node.check("svc0", "s0", "after a change").await;
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a process that ends, stops to serve or misses later changes when another writer
/// adds an odd entry.
#[tokio::test]
async fn node_outlives_each_odd_entry() {
    let test = async {
        let oddities = oddities();
        let server = start_server().await;
        let (store, address) = start_store(oddities.len(), server).await;
        let mut node = Node::start(address);
        node.check("huvo", "sound", "before").await;
        for (index, (name, put)) in oddities.iter().enumerate() {
            put(&store, "servers", &format!("odd{index}"));
            node.check("huvo", "sound", name).await;
            let id = format!("s{index}");
            put_server(&store, &id, &service(index), server);
            node.check(&service(index), &id, name).await;
        }
    };
    LocalSet::new().run_until(test).await;
}
