//! The servers that may hold commits of a group, as recorded in the platform's table.
//!
//! What a process saw of a group is gone when it ends, and a server's entry lapses while the server
//! is cut off from the table. The record outlasts both, so a node that replaces a primary asks every
//! server that a caller's commit may rest on. A server leaves the record only when its log is not
//! needed any more.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use siskinhook_types::{ServerId, Zone};

use crate::Instance;

/// Age of the latest confirmation of a server from which it may be removed from the record. A node
/// relies on a confirmation for `CONFIRMATION_LIFETIME` at most, and on one of another node that is
/// as old as that.
const REMOVAL_AGE: Duration = Duration::from_secs(15);
/// Time for which a node may rely on a server without an entry after it confirmed that the record
/// holds it.
pub const CONFIRMATION_LIFETIME: Duration = Duration::from_secs(5);
/// Time after the confirmation that the record states for which nodes may rely on it.
pub const RELIANCE_LIFETIME: Duration = Duration::from_secs(10);
/// Servers in a record, at most. A group has a few, and those that it lost leave the record.
const MAX_MEMBERS: usize = 64;

/// A server in the record of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Server id.
    pub server: ServerId,
    /// Address where the server accepts connections.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// Start of the server process as Unix time in milliseconds; 0 if unknown.
    pub started: u64,
    /// Time of the latest confirmation that commits may rest on the server, by the table's clock in
    /// milliseconds.
    pub confirmed: u64,
}

/// The servers that may hold commits of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The servers, in the order in which they were added.
    pub members: Vec<Member>,
}

impl MemberRecord {
    /// Replaces times that are later than `now`: the table's clock went back with a restore, or another
    /// writer stated them. Returns whether the record changed.
    pub fn limit_times(&mut self, now: u64) -> bool {
        let mut changed = false;
        for member in &mut self.members {
            changed |= member.confirmed > now;
            member.confirmed = member.confirmed.min(now);
        }
        changed
    }

    /// Returns the entry of a server process.
    #[must_use]
    pub fn get(&self, instance: &Instance) -> Option<&Member> {
        self.members
            .iter()
            .find(|member| member.is_process(instance))
    }

    /// Adds a server, or renews its confirmation if that is as old as `CONFIRMATION_LIFETIME`. `now`
    /// is the time of the table's clock in milliseconds. Returns whether the record changed.
    pub fn confirm(&mut self, instance: &Instance, now: u64) -> bool {
        let known = self.members.iter_mut().find(|m| m.is_process(instance));
        if let Some(member) = known {
            let is_old = member.idle_for(now) >= CONFIRMATION_LIFETIME;
            if is_old {
                member.confirmed = now;
            }
            return is_old;
        }
        self.add(instance, now)
    }

    /// Adds a server that is not recorded yet. Returns whether the record changed.
    pub fn add(&mut self, instance: &Instance, now: u64) -> bool {
        if self.get(instance).is_some() {
            return false;
        }
        // A process that started again under the same id knows nothing of the former one.
        self.members.retain(|member| member.server != instance.id);
        if self.members.len() >= MAX_MEMBERS {
            self.members.remove(0);
        }
        self.members.push(Member {
            server: instance.id.clone(),
            address: instance.address,
            zone: instance.zone.clone(),
            started: instance.started,
            confirmed: now,
        });
        true
    }

    /// Removes the servers that no commit rests on alone: a listed server has the log that was at
    /// their address, or they have not been confirmed for some time and `is_covered` says that the
    /// listed replicas hold all that they may hold. Returns whether the record changed.
    pub fn remove_accounted(
        &mut self,
        listed: &[Instance],
        now: u64,
        is_covered: impl Fn(&Member) -> bool,
    ) -> bool {
        let count = self.members.len();
        self.members.retain(|member| {
            let is_listed = listed.iter().any(|instance| member.is_process(instance));
            let is_followed = listed
                .iter()
                .any(|i| i.address == member.address && i.started > member.started);
            let is_old = member.idle_for(now) >= REMOVAL_AGE;
            is_listed || !(is_followed || is_old && is_covered(member))
        });
        self.members.len() < count
    }
}

impl Member {
    /// Returns for how long, at `now` by the table's clock, no node has stated that commits may rest on
    /// the server.
    #[must_use]
    pub const fn idle_for(&self, now: u64) -> Duration {
        Duration::from_millis(now.saturating_sub(self.confirmed))
    }

    /// Whether the entry is of the same server process.
    #[must_use]
    pub fn is_process(&self, instance: &Instance) -> bool {
        self.server == instance.id && self.started == instance.started
    }
}
