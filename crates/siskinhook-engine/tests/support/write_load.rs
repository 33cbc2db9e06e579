//! Writers on all nodes while a fault is in force, and what must hold afterwards.

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

/// What became of one write.
pub struct WriteRecord {
    pub shift: u64,
    pub node: String,
    pub sent: Instant,
    pub ended: Instant,
    pub result: Result<(), Failure>,
}

/// Writers that insert one claim after the other, every other one in a transaction.
pub struct WriteLoad {
    written: Arc<Mutex<Vec<WriteRecord>>>,
    tasks: JoinSet<()>,
    started: Instant,
}

impl WriteLoad {
    /// Starts a writer on each node; `with_ids` gives each write a request id.
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

    /// Longest time after `since` without an acknowledged write.
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

    /// Stops the writers and checks that each write was told the truth about: acknowledged
    /// ones are on the primary, those told not to have run are not.
    pub async fn finish(mut self, cluster: &Cluster) -> Vec<WriteRecord> {
        self.tasks.shutdown().await;
        // Statements in flight of the stopped writers end.
        sleep(Duration::from_secs(1)).await;
        let written = std::mem::take(&mut *self.written.lock().unwrap());
        let acknowledged = written.iter().filter(|w| w.result.is_ok()).count();
        let open =
            |w: &&WriteRecord| matches!(&w.result, Err(f) if f.verdict == Verdict::MayHaveRun);
        println!(
            "{} writes in {:?}, {acknowledged} acknowledged, {} may have run",
            written.len(),
            self.started.elapsed(),
            written.iter().filter(open).count()
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
                Ok(()) => assert!(found, "acknowledged and lost: {about}"),
                Err(failure) if failure.verdict == Verdict::NotRun => {
                    assert!(!found, "told not run, but ran: {about}");
                }
                Err(failure) if failure.verdict == Verdict::Ran => {
                    assert!(found, "told ran, but did not: {about}");
                }
                Err(_) => {}
            }
        }
        written
    }
}

/// Inserts a claim in a transaction. What failed before the commit has not run.
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

/// Shifts that the present primary holds.
async fn stored(cluster: &Cluster) -> Vec<u64> {
    let mut session = cluster.session("n1");
    let token = claim(&mut session, 1).await.unwrap();
    session.options_mut().token = Some(token);
    let sql = "SELECT shift_id FROM claims";
    let (rows, _) = run(&mut session, sql).await.unwrap();
    rows.iter().map(|row| row[0].parse().unwrap()).collect()
}

/// Records which server leads each term; two in one term fail the test.
pub fn watch_terms(cluster: &Cluster) -> JoinSet<()> {
    let site = cluster.site.clone();
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        let mut leaders: IndexMap<u64, String> = IndexMap::new();
        loop {
            for server in site.servers().values() {
                let status = server.status();
                if status.role == Role::Primary {
                    let leader = leaders
                        .entry(status.term)
                        .or_insert_with(|| status.server.to_string());
                    assert_eq!(
                        *leader, status.server,
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

/// Ends the watch; fails when it found two primaries in one term.
pub async fn end_watch(mut tasks: JoinSet<()>) {
    tasks.abort_all();
    while let Some(ended) = tasks.join_next().await {
        if let Err(error) = ended {
            assert!(error.is_cancelled(), "{error}");
        }
    }
}
