//! `siskinctl catalogue wait`: waits until a revision is in force everywhere.

use std::time::Duration;

use siskinhook_types::Revision;
use tokio::time::{Instant, sleep};

use crate::{ExitError, OperatorApiClient, context::Context, flags};

/// Longest wait when none is stated. An edit is in force within 3 s when all nodes are reached.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two questions to the node.
const INTERVAL: Duration = Duration::from_millis(200);

/// Names of missing nodes shown at a time.
const SHOWN: usize = 10;

/// Time between two notes on the progress.
const NOTES: Duration = Duration::from_secs(1);

pub async fn run(context: &mut Context<'_>, flags: &flags::Wait) -> Result<(), ExitError> {
    let timeout = flags.timeout.map_or(TIMEOUT, Duration::from_secs);
    wait(context, flags.revision, timeout).await
}

/// Waits until all live nodes have the revision in force.
pub async fn wait(
    context: &mut Context<'_>,
    revision: Revision,
    timeout: Duration,
) -> Result<(), ExitError> {
    let start = Instant::now();
    let mut noted = start;
    loop {
        let revisions = context.view(async |node| node.revisions().await).await?;
        let live = revisions.len();
        let behind: Vec<&str> = revisions
            .iter()
            .filter(|node| node.revision.is_none_or(|r| r < revision))
            .map(|node| node.node.as_str())
            .collect();
        if behind.is_empty() {
            return context.show(&live, |live| {
                format!("revision {revision} is in force on all {live} live nodes")
            });
        }
        let progress = format!(
            "revision {revision} is in force on {} of {live} live nodes; missing: {}",
            live - behind.len(),
            names(&behind)
        );
        if start.elapsed() >= timeout {
            return Err(ExitError::TimedOut(format!(
                "{progress}; the edit stays accepted, look at these nodes with siskinctl fleet"
            )));
        }
        if noted.elapsed() >= NOTES {
            writeln!(context.notes, "{progress}")?;
            noted = Instant::now();
        }
        sleep(INTERVAL).await;
    }
}

/// Lists names, the first ones only when there are many.
fn names(behind: &[&str]) -> String {
    let shown = behind.len().min(SHOWN);
    let list = behind[..shown].join(", ");
    match behind.len() - shown {
        0 => list,
        more => format!("{list} and {more} more"),
    }
}
