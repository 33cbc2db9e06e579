//! Choice of the server that succeeds a primary.

use std::{cmp::Reverse, net::SocketAddr};

use siskinhook_types::{LogPoint, ServerId};

use crate::ReplicationStatus;

/// Report of one server during a failover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Id of the server.
    pub server: ServerId,
    /// Address of the server.
    pub address: SocketAddr,
    /// Start of its process as Unix time in milliseconds; 0 if unknown.
    pub started: u64,
    /// Whether it is the primary that is being replaced.
    pub former: bool,
    /// Whether its entry is in the list of servers.
    pub listed: bool,
    /// Whether it announced that it will stop.
    pub draining: bool,
    /// Its reply to the pause or demote request; `None` if it did not reply.
    pub status: Option<ReplicationStatus>,
}

impl Report {
    fn responds(&self) -> bool {
        self.status.is_some()
    }

    fn log_end(&self) -> LogPoint {
        self.status.map_or(LogPoint::default(), |s| s.received)
    }
}

/// Summary of the replicas that left the group, whose logs cannot be read any more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Departed {
    /// Number of departed replicas that may have received commits which, apart from them, only the
    /// former primary has.
    pub missing: usize,
    /// Log position that includes all commits received by the other departed replicas.
    pub floor: Option<LogPoint>,
}

/// An order to promote a server that may still be carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingOrder {
    /// Server that the order names.
    pub server: ServerId,
    /// Address where it accepts connections.
    pub address: SocketAddr,
    /// Start of its process as Unix time in milliseconds; 0 if unknown.
    pub started: u64,
}

impl PendingOrder {
    /// Whether the process that the order names has ended, because another one replied at its address. A
    /// process that started again under the id has no log, so that the order must not be repeated.
    fn is_void(&self, reports: &[Report]) -> bool {
        let mut responding = reports.iter().filter(|report| report.responds());
        responding.any(|report| {
            let is_named = report.server == self.server && report.started == self.started;
            report.address == self.address && !is_named
        })
    }
}

/// Chooses a server whose log contains every acknowledged commit. Returns `None` if no server is
/// certain to have them all.
///
/// A commit is acknowledged once `sync_replicas` replicas received it. When fewer than
/// `sync_replicas` replicas are missing, at least one of the reporting replicas received it. No
/// further commit can be acknowledged, because the reporting replicas are paused. Otherwise only
/// the log of the former primary, once demoted, bounds the acknowledged commits.
///
/// A server without an entry that replies is alive and may have acknowledged commits with the
/// primary. Its log counts like those of the others, but it is chosen only if no listed server that
/// stays has them all, since no caller reaches it. One that does not reply has departed.
///
/// A draining server is chosen only if no server that stays has them all: it may receive no new
/// requests, while a server without an entry is replaced once another has received its log.
///
/// A server that does not reply does not count as missing if another one replies at its address: a
/// server that restarted under a new id has the log that was there.
///
/// A departed replica counts as missing: a primary that is cut off together with a leaving replica
/// keeps acknowledging commits that no other server has.
///
/// Of servers that qualify alike, the one with the lowest id is chosen, so that two nodes choose the
/// same one.
#[must_use]
pub fn choose_successor(
    reports: &[Report],
    sync_replicas: usize,
    departed: Departed,
) -> Option<ServerId> {
    let qualified = qualified(reports, sync_replicas, departed)?;
    let chosen = qualified.max_by_key(|report| {
        let stays = !report.draining;
        let id = Reverse(&report.server);
        (stays, report.listed, !report.former, report.log_end(), id)
    });
    chosen.map(|report| report.server.clone())
}

/// Chooses a server like `choose_successor` while an order may still be carried out. Only the server
/// that it names qualifies: it could lead until a later order takes effect, and the commits that it
/// acknowledged meanwhile would be lost.
#[must_use]
pub fn choose_ordered_successor(
    reports: &[Report],
    sync_replicas: usize,
    departed: Departed,
    order: &PendingOrder,
) -> Option<ServerId> {
    if order.is_void(reports) {
        return choose_successor(reports, sync_replicas, departed);
    }
    let mut qualified = qualified(reports, sync_replicas, departed)?;
    let ordered = qualified.find(|report| report.server == order.server);
    ordered.map(|report| report.server.clone())
}

/// Returns the servers whose logs contain every acknowledged commit, or `None` if the logs do not tell
/// which do.
fn qualified(
    reports: &[Report],
    sync_replicas: usize,
    departed: Departed,
) -> Option<impl Iterator<Item = &Report>> {
    let is_replaced = |report: &Report| {
        let mut responding = reports.iter().filter(|other| other.responds());
        responding.any(|other| other.address == report.address)
    };
    let unresponsive = reports
        .iter()
        .filter(|r| r.listed && !r.former && !r.responds() && !is_replaced(r))
        .count();
    let mut responding = reports.iter().filter(|report| report.responds());
    let needed = if unresponsive + departed.missing < sync_replicas.max(1) {
        let replicas = responding.filter(|report| !report.former);
        replicas.map(Report::log_end).max()?
    } else {
        responding.find(|report| report.former)?.log_end()
    };
    let needed = needed.max(departed.floor.unwrap_or_default());
    let responding = reports.iter().filter(|report| report.responds());
    Some(responding.filter(move |report| report.log_end() >= needed))
}
