//! Steady write load, with a check that no row is lost or doubled.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use siskinhook_demo::Demo;
use tokio::task::JoinSet;
use tokio_postgres::{Client, Error};

use super::{query_value, try_connect, try_query_value};

/// Delay of a writer between two rows, and between attempts to connect.
const WRITER_PAUSE: Duration = Duration::from_millis(20);

/// Callers that write one row after another into `kept (id text)`, each row with a request id.
pub struct Load {
    stop: Arc<AtomicBool>,
    written: Arc<AtomicUsize>,
    callers: JoinSet<Vec<WriteFailure>>,
}

/// A failed attempt to write a row. The caller then repeated the row on another node.
#[derive(Debug)]
pub struct WriteFailure {
    /// Index of the node that the caller was connected to.
    pub node: usize,
    /// SQLSTATE; `None` when the connection was closed.
    pub code: Option<String>,
    pub text: String,
}

impl Load {
    /// Starts `callers` callers on each node of the demo.
    pub async fn start(demo: &Arc<Demo>, database: &str, callers: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let written = Arc::new(AtomicUsize::new(0));
        let mut tasks = JoinSet::new();
        for caller in 0..demo.summary().nodes.len() * callers {
            let (demo, database) = (Arc::clone(demo), database.to_owned());
            let (stop, written) = (Arc::clone(&stop), Arc::clone(&written));
            let node = caller % demo.summary().nodes.len();
            let client = try_connect(&demo, node, &database, "").await;
            let client = client.expect("the node accepts callers");
            tasks.spawn(async move {
                let mut writer = Writer {
                    demo,
                    database,
                    node,
                    client,
                    failures: Vec::new(),
                };
                let mut row = 0;
                while !stop.load(Ordering::Relaxed) {
                    writer.write(&format!("{caller}-{row}")).await;
                    written.fetch_add(1, Ordering::Relaxed);
                    row += 1;
                    tokio::time::sleep(WRITER_PAUSE).await;
                }
                writer.failures
            });
        }
        Self {
            stop,
            written,
            callers: tasks,
        }
    }

    /// Returns the number of rows acknowledged so far.
    pub fn written(&self) -> usize {
        self.written.load(Ordering::Relaxed)
    }

    /// Stops the load and checks that no row was lost or doubled. Returns the failed attempts.
    pub async fn finish(self, reader: &Client) -> Vec<WriteFailure> {
        self.stop.store(true, Ordering::Relaxed);
        let failures = self.callers.join_all().await.into_iter().flatten();
        let failures = failures.collect();
        let written = self.written.load(Ordering::Relaxed).to_string();
        println!("{written} rows written");
        assert_eq!(
            query_value(reader, "SELECT count(*) FROM kept").await,
            written
        );
        let distinct = query_value(reader, "SELECT count(DISTINCT id) FROM kept").await;
        assert_eq!(distinct, written);
        failures
    }
}

struct Writer {
    demo: Arc<Demo>,
    database: String,
    node: usize,
    client: Client,
    failures: Vec<WriteFailure>,
}

impl Writer {
    /// Writes one row; after a failure, retries it on the next node.
    async fn write(&mut self, id: &str) {
        let sql = format!("SET siskinhook.request_id = '{id}'; INSERT INTO kept VALUES ('{id}')");
        for _ in 0..50 {
            let Err(error) = try_query_value(&self.client, &sql).await else {
                return;
            };
            self.record_failure(&error);
            self.connect_to_next_node().await;
        }
        panic!("row {id} is refused again and again: {:?}", self.failures);
    }

    fn record_failure(&mut self, error: &Error) {
        self.failures.push(WriteFailure {
            node: self.node,
            code: error.code().map(|code| code.code().into()),
            text: format!("{error:?}"),
        });
    }

    /// Connects to the next node that accepts callers, like a load balancer.
    async fn connect_to_next_node(&mut self) {
        for _ in 0..50 {
            self.node = (self.node + 1) % self.demo.summary().nodes.len();
            if let Ok(client) = try_connect(&self.demo, self.node, &self.database, "").await {
                self.client = client;
                return;
            }
            tokio::time::sleep(WRITER_PAUSE).await;
        }
        panic!("no node accepts callers");
    }
}
