//! Choice of the server that replaces a primary.

use siskinhook_types::{LogPoint, ServerId};

use crate::GroupStatus;

/// What is known of one server when a primary is replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The server.
    pub server: ServerId,
    /// Whether it is the primary that is replaced.
    pub former: bool,
    /// Whether it announced that it will stop.
    pub draining: bool,
    /// Its answer to the order to stop receiving or leading; `None` when it did not answer.
    pub status: Option<GroupStatus>,
}

/// What is left of replicas that are gone, with their logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Departed {
    /// Replicas that may have received commits which only the former primary holds besides.
    pub missing: usize,
    /// A position that covers all commits of the other replicas that are gone.
    pub floor: Option<LogPoint>,
}

/// Chooses a server whose log holds every acknowledged commit, or `None` when none is certain to.
///
/// A commit is acknowledged once `sync_replicas` replicas received it. When fewer than `sync_replicas` replicas
/// are missing, the reports include one that received it; and no further commit can be
/// acknowledged, since the reporting replicas receive nothing any more. Otherwise only the former
/// primary's own log tells how far the acknowledged commits can reach, once it stopped leading.
/// A replica that left counts as missing: a primary that is cut off together with a leaving
/// replica goes on acknowledging commits that nobody else holds.
#[must_use]
pub fn choose_successor(
    reports: &[Report],
    sync_replicas: usize,
    departed: Departed,
) -> Option<ServerId> {
    let responded = |report: &&Report| report.status.is_some();
    let log_end = |report: &Report| report.status.map_or(LogPoint::default(), |s| s.received);
    let unresponsive = reports
        .iter()
        .filter(|r| !r.former && r.status.is_none())
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
            (stays, !report.former, log_end(report))
        })
        .map(|report| report.server.clone())
}
