//! Writers that run on all nodes during a fault, and checks of their reported results afterwards.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use indexmap::IndexMap;
use siskinhook_engine::SessionOptions;
use siskinhook_types::{Failure, Role, Verdict};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use super::{Cluster, NodeSession, claim, insert, run};

/// The result of one write.
pub struct WriteRecord {
    pub shift: u64,
    pub node: String,
    pub sent: Instant,
    pub ended: Instant,
    pub result: Result<(), Failure>,
}

/// Writers that insert one claim after another, every second one in a transaction.
pub struct WriteLoad {
    written: Arc<Mutex<Vec<WriteRecord>>>,
    tasks: JoinSet<()>,
    started: Instant,
}

impl WriteLoad {
    /// Starts a writer on each node. With `with_ids`, each write has a request id.
    pub fn start(cluster: &Cluster, nodes: &[&str], with_ids: bool) -> Self {
        let written: Arc<Mutex<Vec<WriteRecord>>> = Arc::default();
        let mut tasks = JoinSet::new();
        for (number, node) in nodes.iter().enumerate() {
            let mut session = cluster.session_with(
                node,
                SessionOptions {
                    deadline: Some(Duration::from_secs(8)),
                    ..SessionOptions::default()
                },
            );
            let (node, written) = ((*node).to_owned(), written.clone());
            tasks.spawn(async move {
                for shift in (1000 * (number as u64 + 1)).. {
                    let sent = Instant::now();
                    if with_ids {
                        session.options_mut().request = Some(format!("claim-{shift}").into());
                    }
                    let result = if shift % 2 == 0 {
                        claim(&mut session, shift).await.map(|_| ())
                    } else {
                        claim_in_transaction(&mut session, shift).await
                    };
                    written.lock().unwrap().push(WriteRecord {
                        shift,
                        node: node.clone(),
                        sent,
                        ended: Instant::now(),
                        result,
                    });
                    sleep(Duration::from_millis(11)).await;
                }
            });
        }
        Self {
            written,
            tasks,
            started: Instant::now(),
        }
    }

    /// Returns the longest time after `since` without an acknowledged write.
    pub fn gap(&self, since: Instant) -> Duration {
        let written = self.written.lock().unwrap();
        let done = written
            .iter()
            .filter(|w| w.result.is_ok() && w.ended >= since);
        let mut ends: Vec<Instant> = done.map(|w| w.ended).collect();
        ends.push(Instant::now());
        ends.sort();
        let starts = std::iter::once(since).chain(ends.iter().copied());
        let gaps = starts.zip(&ends).map(|(start, end)| *end - start);
        gaps.max().unwrap()
    }

    /// Stops the writers and checks the verdict of each write against the data: acknowledged
    /// writes and those reported as run must be on the primary, those reported as not run must
    /// not.
    pub async fn finish(mut self, cluster: &Cluster) -> Vec<WriteRecord> {
        self.tasks.shutdown().await;
        // Lets the statements in flight of the stopped writers finish.
        sleep(Duration::from_secs(1)).await;
        let written = std::mem::take(&mut *self.written.lock().unwrap());
        let acknowledged = written.iter().filter(|w| w.result.is_ok()).count();
        let uncertain =
            |w: &&WriteRecord| matches!(&w.result, Err(f) if f.verdict == Verdict::MayHaveRun);
        println!(
            "{} writes in {:?}, {acknowledged} acknowledged, {} may have run",
            written.len(),
            self.started.elapsed(),
            written.iter().filter(uncertain).count()
        );
        let stored = stored(cluster).await;
        for write in &written {
            let found = stored.contains(&write.shift);
            let about = format!(
                "{} of {} sent at {:?}, ended at {:?}: {:?}",
                write.shift,
                write.node,
                write.sent - self.started,
                write.ended - self.started,
                write.result
            );
            match &write.result {
                Ok(()) => assert!(found, "acknowledged but lost: {about}"),
                Err(failure) if failure.verdict == Verdict::NotRun => {
                    assert!(!found, "reported as not run, but ran: {about}");
                }
                Err(failure) if failure.verdict == Verdict::Ran => {
                    assert!(found, "reported as run, but did not run: {about}");
                }
                Err(_) => {}
            }
        }
        written
    }
}

/// Inserts a claim in a transaction. If it fails before the commit, the insert has not run.
async fn claim_in_transaction(session: &mut NodeSession, shift: u64) -> Result<(), Failure> {
    run(session, "BEGIN").await?;
    let inserted = insert(session, shift).await;
    let end = if inserted.is_ok() {
        "COMMIT"
    } else {
        "ROLLBACK"
    };
    let ended = run(session, end).await;
    inserted?;
    let (_, tag) = ended?;
    assert_eq!(tag, "COMMIT");
    Ok(())
}

/// Returns the shifts that are stored on the current primary.
async fn stored(cluster: &Cluster) -> Vec<u64> {
    let mut session = cluster.session("n1");
    let token = claim(&mut session, 1).await.unwrap();
    session.options_mut().token = Some(token);
    let sql = "SELECT shift_id FROM claims";
    let (rows, _) = run(&mut session, sql).await.unwrap();
    rows.iter().map(|row| row[0].parse().unwrap()).collect()
}

/// Starts a task that records the primary of each term and panics if a term has two.
pub fn watch_terms(cluster: &Cluster) -> JoinSet<()> {
    let site = cluster.site.clone();
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        let mut primaries: IndexMap<u64, String> = IndexMap::new();
        loop {
            for server in site.servers().values() {
                let status = server.status();
                if status.role == Role::Primary {
                    let primary = primaries
                        .entry(status.term)
                        .or_insert_with(|| status.server.to_string());
                    assert_eq!(
                        *primary, status.server,
                        "two primaries in term {}",
                        status.term
                    );
                }
            }
            sleep(Duration::from_millis(1)).await;
        }
    });
    tasks
}

/// Stops the task of `watch_terms`. Panics if it found two primaries in one term.
pub async fn end_watch(mut tasks: JoinSet<()>) {
    tasks.abort_all();
    while let Some(ended) = tasks.join_next().await {
        if let Err(error) = ended {
            assert!(error.is_cancelled(), "{error}");
        }
    }
}
