//! Choice of the server that succeeds a primary.

use std::net::SocketAddr;

use siskinhook_types::{LogPoint, ServerId};

use crate::ReplicationStatus;

/// Report of one server during a failover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Id of the server.
    pub server: ServerId,
    /// Address of the server.
    pub address: SocketAddr,
    /// Whether it is the primary that is being replaced.
    pub former: bool,
    /// Whether its entry is in the list of servers.
    pub listed: bool,
    /// Whether it announced that it will stop.
    pub draining: bool,
    /// Its reply to the pause or demote request; `None` if it did not reply.
    pub status: Option<ReplicationStatus>,
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
#[must_use]
pub fn choose_successor(
    reports: &[Report],
    sync_replicas: usize,
    departed: Departed,
) -> Option<ServerId> {
    let responded = |report: &&Report| report.status.is_some();
    let log_end = |report: &Report| report.status.map_or(LogPoint::default(), |s| s.received);
    let is_replaced = |report: &Report| {
        let mut responding = reports.iter().filter(responded);
        responding.any(|other| other.address == report.address)
    };
    let unresponsive = reports
        .iter()
        .filter(|r| r.listed && !r.former && r.status.is_none() && !is_replaced(r))
        .count();
    let needed = if unresponsive + departed.missing < sync_replicas.max(1) {
        reports
            .iter()
            .filter(|r| !r.former)
            .filter(responded)
            .map(log_end)
            .max()?
    } else {
        log_end(reports.iter().filter(|r| r.former).find(responded)?)
    };
    let needed = needed.max(departed.floor.unwrap_or_default());
    reports
        .iter()
        .filter(responded)
        .filter(|report| log_end(report) >= needed)
        .max_by_key(|report| {
            let stays = !report.draining;
            (stays, report.listed, !report.former, log_end(report))
        })
        .map(|report| report.server.clone())
}
