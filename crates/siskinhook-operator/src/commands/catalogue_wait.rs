//! `siskinctl catalogue wait`: waits until a revision is in force everywhere.

use std::time::Duration;

use siskinhook_types::{FleetView, MemberState, Revision};
use tokio::time::{Instant, sleep};

use crate::{ExitError, OperatorApiClient, context::Context, flags};

/// Longest wait when none is stated. An edit is in force within 3 s when all nodes are reached.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two questions to the node.
const INTERVAL: Duration = Duration::from_millis(200);

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
        let fleet = context.view(async |node| node.fleet().await).await?;
        let (behind, live) = behind(&fleet, revision);
        if behind.is_empty() {
            return context.show(&live, |live| {
                format!("revision {revision} is in force on all {live} live nodes")
            });
        }
        let progress = format!(
            "revision {revision} is in force on {} of {live} live nodes; missing: {}",
            live - behind.len(),
            behind.join(", ")
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

/// Returns the live nodes that lack the revision, and the number of live nodes.
fn behind(fleet: &FleetView, revision: Revision) -> (Vec<&str>, usize) {
    let live: Vec<_> = fleet
        .members
        .values()
        .filter(|member| member.state != MemberState::Dead)
        .collect();
    let behind = live
        .iter()
        .filter(|member| member.revision < revision)
        .map(|member| member.name.as_str())
        .collect();
    (behind, live.len())
}
