//! Asynchronous replication. Each replica pulls log entries from the primary that it follows.

use std::{sync::Arc, time::Duration};

use tokio::{
    select,
    time::{Instant, sleep_until},
};

use crate::{network::Connection, server::Server};

/// Interval at which a replica polls its primary when there are no new entries, to notice that the
/// primary is gone. It is about a seventh of the default probe timeout of 750 ms.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Replicates to one server of a group until the task is aborted.
pub(crate) async fn replicate(replica: Arc<Server>, group: Vec<Arc<Server>>) {
    let mut own_changes = replica.changes();
    let mut connection: Option<Arc<Connection>> = None;
    loop {
        own_changes.borrow_and_update();
        let Some((term, name)) = replica.following() else {
            if own_changes.changed().await.is_err() {
                return;
            }
            continue;
        };
        let Some(primary) = group.iter().find(|server| server.endpoint().name == name) else {
            if own_changes.changed().await.is_err() {
                return;
            }
            continue;
        };
        let mut changes = primary.changes();
        let mut wake_at = Instant::now() + POLL_INTERVAL;
        // A silent connection is replaced, as TCP keep-alive would cause.
        let connection = match &mut connection {
            Some(open) if open.is_open() && open.from() == primary.endpoint() => open,
            other => other.insert(
                replica
                    .network()
                    .connect(primary.endpoint().clone(), replica.endpoint().clone()),
            ),
        };
        if connection.is_open()
            && let Some(fetched) = primary.fetch(term, &replica)
        {
            select! {
                biased;
                () = connection.pass() => match replica.apply_fetched(&fetched) {
                    Ok(Some(due)) => wake_at = wake_at.min(due),
                    Ok(None) => {}
                    Err(error) => {
                        log::error!(
                            "replication to {} stopped at an entry of {name}: {error}",
                            replica.endpoint().name
                        );
                        return;
                    }
                },
                () = sleep_until(wake_at) => {}
            }
        }
        select! {
            biased;
            _ = changes.changed() => {}
            _ = own_changes.changed() => {}
            () = sleep_until(wake_at) => {}
        }
    }
}
