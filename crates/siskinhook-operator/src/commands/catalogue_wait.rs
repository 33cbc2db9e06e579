//! `siskinctl catalogue wait`: waits until a revision is in force on all live nodes.

use std::time::Duration;

use siskinhook_types::Revision;
use tokio::time::{Instant, sleep};

use crate::{ExitError, OperatorApiClient, context::Context, flags};

/// Time limit without `--timeout`. An edit is in force within 3 s if all nodes can be reached.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two calls to the node.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum names of missing nodes in a message.
const MAX_NAMES_SHOWN: usize = 10;

/// Minimum time between two progress messages.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

pub async fn run(context: &mut Context<'_>, flags: &flags::Wait) -> Result<(), ExitError> {
    let timeout = flags.timeout.map_or(DEFAULT_TIMEOUT, Duration::from_secs);
    wait(context, flags.revision, timeout).await
}

/// Waits until the revision is in force on all live nodes.
pub async fn wait(
    context: &mut Context<'_>,
    revision: Revision,
    timeout: Duration,
) -> Result<(), ExitError> {
    let start = Instant::now();
    let mut last_progress = start;
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
            format_names(&behind)
        );
        if start.elapsed() >= timeout {
            return Err(ExitError::TimedOut(format!(
                "{progress}; the edit stays accepted, look at these nodes with siskinctl fleet"
            )));
        }
        if last_progress.elapsed() >= PROGRESS_INTERVAL {
            writeln!(context.err, "{progress}")?;
            last_progress = Instant::now();
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Formats a list of names; of a long list, the first names and the number of the others.
fn format_names(behind: &[&str]) -> String {
    let shown = behind.len().min(MAX_NAMES_SHOWN);
    let list = behind[..shown].join(", ");
    match behind.len() - shown {
        0 => list,
        more => format!("{list} and {more} more"),
    }
}
