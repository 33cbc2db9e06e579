//! Keeping of the record of a group's servers in the platform's table (`members.rs`).

use std::{rc::Rc, time::Duration};

use siskinhook_telemetry::{Event, event};
use siskinhook_types::{CommitOutcome, Platform, PlatformError, ServiceId};
use smol_str::{SmolStr, format_smolstr};
use tokio::time::{Instant, sleep_until};

use super::{Controller, Discovery, Orders, REACHABILITY_TIMEOUT};
use crate::{Dialer, Instance, Member, MemberRecord, pool::Target};

/// Nodes that keep the record of a group, so that the loss of two of them does no harm.
const RECORDERS: usize = 3;
/// Delay before the first of these nodes records a change. Servers start in quick succession.
const RECORD_DELAY: Duration = Duration::from_millis(200);
/// Further delay of each of the others, in which the one before has usually recorded the change.
const RANK_DELAY: Duration = Duration::from_secs(2);
/// Interval at which the record is read while a server in it has no entry.
const ABSENT_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which it is read otherwise: the table may have come back from an older copy.
const IDLE_INTERVAL: Duration = Duration::from_mins(1);
/// Interval at which a node that does not know the other nodes looks for them.
const FLEET_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two confirmations of servers without an entry.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(2);

fn key(service: &ServiceId) -> SmolStr {
    format_smolstr!("members/{service}")
}

/// The record as read, with its version.
pub(super) struct StoredRecord {
    version: u64,
    /// `None` if there is no record that a node wrote.
    record: Option<MemberRecord>,
    /// Time of the table's clock in milliseconds, if it has one.
    now: Option<u64>,
}

/// Records the servers of the group, and confirms those without an entry that commits rest on; runs
/// until dropped.
pub(super) async fn keep_record<D: Dialer, P: Platform, S: Discovery, O: Orders>(
    controller: &Controller<D, P, S, O>,
) {
    let group = &controller.group;
    let mut due = Instant::now() + IDLE_INTERVAL;
    let mut failures = 0;
    let mut confirm_at = Instant::now();
    loop {
        tokio::select! {
            () = group.members_changed.notified() => {
                let rank = group.fleet.rank(&group.service).unwrap_or_default();
                let delay = RANK_DELAY.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX));
                let delay = delay + controller.gateway.jitter(RECORD_DELAY);
                // After a failure the store is not asked earlier because of further changes.
                if failures == 0 {
                    due = due.min(Instant::now() + delay.min(IDLE_INTERVAL));
                }
            }
            () = group.evidence.wait_requested() => {
                if Instant::now() >= confirm_at {
                    confirm_at = Instant::now() + CONFIRM_INTERVAL;
                    controller.confirm_unlisted().await;
                }
            }
            () = sleep_until(due) => {
                let interval = if let Ok(interval) = controller.update_record().await {
                    failures = 0;
                    interval
                } else {
                    failures += 1;
                    ABSENT_INTERVAL.saturating_mul(1 << failures.min(4)).min(IDLE_INTERVAL)
                };
                due = Instant::now() + controller.gateway.jitter(interval);
            }
        }
    }
}

impl<D: Dialer, P: Platform, S: Discovery, O: Orders> Controller<D, P, S, O> {
    /// Adds the servers that answer to the record and removes those that are accounted for. Returns the
    /// time until the next update.
    ///
    /// # Errors
    /// The table service does not answer.
    async fn update_record(&self) -> Result<Duration, PlatformError> {
        let Some(rank) = self.group.fleet.rank(&self.group.service) else {
            // All nodes would take themselves for the first one.
            return Ok(FLEET_INTERVAL);
        };
        if rank >= RECORDERS || self.group.targets.borrow().is_empty() {
            return Ok(IDLE_INTERVAL);
        }
        let stored = self.read_record_row().await?;
        let Some(now) = stored.now else {
            return Ok(IDLE_INTERVAL);
        };
        self.adopt(&stored);
        let mut record = stored.record.unwrap_or_default();
        let mut changed = record.limit_times(now);
        let deadline = Instant::now() + REACHABILITY_TIMEOUT;
        self.reach_unlisted(deadline).await;
        let listed = self.answering_listed(deadline).await;
        for instance in listed.iter().chain(&self.answering_unlisted()) {
            changed |= record.add(instance, now);
        }
        if record.members.iter().any(|m| self.group.is_absent(m)) {
            self.group.refresh_evidence().await;
        }
        let is_covered = |member: &Member| self.group.is_covered(member, now);
        changed |= record.remove_accounted(&listed, now, is_covered);
        let written = !changed || self.write_record_row(stored.version, &record).await;
        let is_complete = written && record.members.len() == listed.len();
        Ok(if is_complete {
            IDLE_INTERVAL
        } else {
            ABSENT_INTERVAL
        })
    }

    /// Returns the listed servers that have answered. One that never did may be an entry of another
    /// writer, and must not stop replacements.
    async fn answering_listed(&self, deadline: Instant) -> Vec<Instance> {
        let targets: Vec<Rc<Target<D>>> = self.group.targets.borrow().values().cloned().collect();
        let mut answering = Vec::new();
        for target in targets {
            if target.has_answered() || target.is_responsive(deadline).await {
                answering.push(target.instance.borrow().clone());
            }
        }
        answering
    }

    fn answering_unlisted(&self) -> Vec<Instance> {
        let mut unlisted = self.group.unlisted();
        unlisted.retain(|target| target.outage().is_none());
        let instances = unlisted
            .iter()
            .map(|target| target.instance.borrow().clone());
        instances.collect()
    }

    /// Confirms in the record the servers without an entry that answer, so that commits may rest on
    /// them.
    async fn confirm_unlisted(&self) {
        let at = Instant::now();
        let Ok(stored) = self.read_record_row().await else {
            return;
        };
        let Some(now) = stored.now else {
            return;
        };
        self.adopt(&stored);
        let mut record = stored.record.unwrap_or_default();
        self.reach_unlisted(Instant::now() + REACHABILITY_TIMEOUT)
            .await;
        let answering = self.answering_unlisted();
        let mut changed = false;
        for instance in &answering {
            changed |= record.confirm(instance, now);
        }
        if !changed || self.write_record_row(stored.version, &record).await {
            for instance in answering {
                self.group.evidence.record_confirmation(instance.id, at);
            }
        }
    }

    /// Takes the record over. Without one, nothing is known of the servers that left before this
    /// process started.
    pub(super) fn adopt(&self, stored: &StoredRecord) {
        if let Some(record) = &stored.record {
            self.group.adopt(record, stored.now.unwrap_or_default());
        }
    }

    /// Reads the record.
    ///
    /// # Errors
    /// The table service does not answer.
    pub(super) async fn read_record_row(&self) -> Result<StoredRecord, PlatformError> {
        let key = key(&self.group.service);
        self.gateway.counters.store_calls.add(1);
        let reading = match self.platform.read(&key).await {
            Ok(reading) => reading,
            Err(error) => {
                self.gateway.counters.store_failures.add(1);
                event!(Event::StoreLost, table = "members"; "{error}");
                return Err(error);
            }
        };
        let record = reading.row.and_then(|row| {
            let record = serde_json::from_value(row.value).ok();
            if record.is_none() {
                event!(Event::EntryUnreadable, row = key.as_str(); "no node wrote this row; it is replaced");
            }
            record
        });
        Ok(StoredRecord {
            version: reading.version,
            record,
            now: reading.clock,
        })
    }

    /// Writes the record if it is unchanged since it was read. Returns whether it was written.
    async fn write_record_row(&self, version: u64, record: &MemberRecord) -> bool {
        self.gateway.counters.store_calls.add(1);
        let written = self
            .write_row(key(&self.group.service), version, record)
            .await;
        matches!(written, Ok(CommitOutcome::Applied))
    }
}
