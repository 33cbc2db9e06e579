//! Asynchronous replication: each replica pulls entries from the primary it follows.

use std::{sync::Arc, time::Duration};

use tokio::{
    select,
    time::{Instant, sleep_until},
};

use crate::{network::Connection, server::Server};

/// Interval at which a replica asks its primary without new entries, which is how it notices
/// that the primary is gone; a seventh of the default probe timeout of 750 ms.
const HEARTBEAT: Duration = Duration::from_millis(100);

/// Replicates to one server until the task is aborted.
pub(crate) async fn replicate(replica: Arc<Server>, group: Vec<Arc<Server>>) {
    let mut own = replica.changes();
    let mut connection: Option<Arc<Connection>> = None;
    loop {
        own.borrow_and_update();
        let Some((term, name)) = replica.following() else {
            if own.changed().await.is_err() {
                return;
            }
            continue;
        };
        let Some(primary) = group.iter().find(|server| server.endpoint().name == name) else {
            if own.changed().await.is_err() {
                return;
            }
            continue;
        };
        let mut changes = primary.changes();
        let mut wake = Instant::now() + HEARTBEAT;
        // A connection that went silent is replaced, as keepalive would have it.
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
                () = connection.pass() => match replica.accept(&fetched) {
                    Ok(Some(due)) => wake = wake.min(due),
                    Ok(None) => {}
                    Err(error) => {
                        log::error!(
                            "replication to {} stopped at an entry of {name}: {error}",
                            replica.endpoint().name
                        );
                        return;
                    }
                },
                () = sleep_until(wake) => {}
            }
        }
        select! {
            biased;
            _ = changes.changed() => {}
            _ = own.changed() => {}
            () = sleep_until(wake) => {}
        }
    }
}
