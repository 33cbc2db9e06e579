//! Steady load of writes.

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

use super::{try_connect, try_value, value};

/// Pause of a writer between two rows.
const PAUSE: Duration = Duration::from_millis(20);

/// Callers that write one row after another into `kept (id text)`, each row with a request id.
pub struct Load {
    stop: Arc<AtomicBool>,
    written: Arc<AtomicUsize>,
    callers: JoinSet<Vec<Failed>>,
}

/// A failure that a caller met; it then repeated the row on another node.
#[derive(Debug)]
pub struct Failed {
    /// Node of the caller.
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
                    failed: Vec::new(),
                };
                let mut row = 0;
                while !stop.load(Ordering::Relaxed) {
                    writer.write(&format!("{caller}-{row}")).await;
                    written.fetch_add(1, Ordering::Relaxed);
                    row += 1;
                    tokio::time::sleep(PAUSE).await;
                }
                writer.failed
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

    /// Ends the load and checks that no row was lost or doubled; returns the failures.
    pub async fn finish(self, reader: &Client) -> Vec<Failed> {
        self.stop.store(true, Ordering::Relaxed);
        let failed = self.callers.join_all().await.into_iter().flatten();
        let failed = failed.collect();
        let written = self.written.load(Ordering::Relaxed).to_string();
        println!("{written} rows written");
        assert_eq!(value(reader, "SELECT count(*) FROM kept").await, written);
        let distinct = value(reader, "SELECT count(DISTINCT id) FROM kept").await;
        assert_eq!(distinct, written);
        failed
    }
}

struct Writer {
    demo: Arc<Demo>,
    database: String,
    node: usize,
    client: Client,
    failed: Vec<Failed>,
}

impl Writer {
    /// Writes one row, on other nodes after a failure.
    async fn write(&mut self, id: &str) {
        let sql = format!("SET siskinhook.request_id = '{id}'; INSERT INTO kept VALUES ('{id}')");
        for _ in 0..50 {
            let Err(error) = try_value(&self.client, &sql).await else {
                return;
            };
            self.note(&error);
            self.move_on().await;
        }
        panic!("row {id} is refused again and again: {:?}", self.failed);
    }

    fn note(&mut self, error: &Error) {
        self.failed.push(Failed {
            node: self.node,
            code: error.code().map(|code| code.code().into()),
            text: format!("{error:?}"),
        });
    }

    /// Connects to the next node that accepts callers, as a load balancer would.
    async fn move_on(&mut self) {
        for _ in 0..50 {
            self.node = (self.node + 1) % self.demo.summary().nodes.len();
            if let Ok(client) = try_connect(&self.demo, self.node, &self.database, "").await {
                self.client = client;
                return;
            }
            tokio::time::sleep(PAUSE).await;
        }
        panic!("no node accepts callers");
    }
}
