//! The failover lease: a row of the platform's table that names the node allowed to replace a
//! primary.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use siskinhook_telemetry::{Event, event};
use siskinhook_types::{
    Batch, CommitOutcome, Condition, Platform, PlatformError, Reading, RowWrite, ServerId,
    ServiceId, Term,
};
use smol_str::{SmolStr, format_smolstr};
use tokio::time::Instant;

use super::{Controller, Discovery, Orders};
use crate::{
    BootInstant, Dialer, PendingOrder,
    write_permit::{PendingReplacement, REPLACEMENT_LIFETIME},
};

/// Time for which the holder may act, counted from the reading before it wrote the lease row.
const LEASE_DURATION: Duration = Duration::from_millis(1200);
/// Age of the lease row after which another node may take the lease over. Two holders may not act
/// within three seconds of each other, counted from the first holder's last possible action, and
/// calls may be in flight.
const TAKEOVER_AGE: Duration = Duration::from_millis(4500);

/// Number of tokens per era of the table. The row with the latest token may be lost when the table
/// comes back from an older copy, so each era has tokens of its own; a group is never failed over a
/// million times in one.
const TOKENS_PER_ERA: u64 = 1 << 20;

/// Number of tokens that are skipped when the row's token cannot be read. It is more than a group
/// uses between two readings of the row by one node, and leaves room for a thousand such rows.
const SKIPPED_TOKENS: u64 = 1 << 10;

/// The stored lease row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LeaseRecord {
    holder: SmolStr,
    /// Random id of the holder's process. A restarted node does not know of orders in flight, so it
    /// must not continue the lease.
    #[serde(default)]
    process: u64,
    pub(super) token: u64,
    /// Time when the row was written, by the table service's clock, in milliseconds.
    #[serde(default)]
    written: u64,
    /// Era of the table in which the row was written.
    #[serde(default)]
    pub(super) era: u64,
    /// Term of the primary that the holder replaces; `None` if it gave the replacement up before it
    /// sent an order.
    #[serde(default)]
    replaces: Option<Term>,
    /// The latest earlier replacement whose order may still be carried out.
    #[serde(default)]
    former: Option<FormerReplacement>,
    /// The server that orders under this token or an earlier one may still promote.
    #[serde(default)]
    order: Option<RecordedOrder>,
    /// The latest primary that the holder knew, with its term. Once demoted it looks like a replica, but
    /// its log has all commits.
    #[serde(default)]
    primary: Option<KnownPrimary>,
}

/// A server that led a term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct KnownPrimary {
    server: ServerId,
    /// Start of the server process. One that starts again under the same id has no log.
    started: u64,
    term: Term,
}

/// An order as recorded before it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RecordedOrder {
    server: ServerId,
    address: SocketAddr,
    /// Start of the server process.
    started: u64,
    /// Time of the row that first recorded it, by the table service's clock, in milliseconds.
    written: u64,
}

/// An order that this process knows of and that may still be carried out.
#[derive(Clone)]
pub(super) struct UnansweredOrder {
    order: PendingOrder,
    /// Time from which the order is not carried out any more. The steady clock errs on the safe side: it
    /// stands still while the VM is suspended.
    until: Instant,
}

impl UnansweredOrder {
    pub(super) fn new(order: PendingOrder) -> Self {
        let until = Instant::now() + REPLACEMENT_LIFETIME;
        Self { order, until }
    }
}

/// A replacement under an earlier token of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct FormerReplacement {
    /// Term of the primary that was to be replaced.
    term: Term,
    /// Time of its last write of the row, by the table service's clock, in milliseconds.
    written: u64,
}

impl LeaseRecord {
    /// Returns the latest replacement whose order may have been sent.
    fn latest_replacement(&self) -> Option<FormerReplacement> {
        let written = self.written;
        let current = self
            .replaces
            .map(|term| FormerReplacement { term, written });
        current.or(self.former)
    }

    /// Returns the replacement that may still take effect at `now`, by the table service's clock in
    /// milliseconds.
    pub(super) fn pending_at(&self, now: u64) -> Option<PendingReplacement> {
        let latest = self.latest_replacement()?;
        // No replacement is later than the row that names it.
        let age = age(latest.written.min(self.written), now);
        (age < REPLACEMENT_LIFETIME).then_some(PendingReplacement { term: latest.term })
    }
}

impl LeaseRecord {
    /// Returns the row that replaces one which cannot be decoded. Nobody holds its lease.
    ///
    /// The lost row may have named a holder that is still acting, a replacement of any term whose
    /// order may still be carried out, and a token above `token`. So the lease stays unavailable,
    /// and the replacement pending, until nothing that was begun before can take effect.
    fn unowned(reading: &Reading, token: u64) -> Self {
        let written = reading.clock.unwrap_or_default();
        let term = Term::MAX;
        Self {
            token,
            written,
            era: reading.era,
            former: Some(FormerReplacement { term, written }),
            ..Self::default()
        }
    }

    /// Whether a node can have written the row, as of a reading of it.
    fn is_credible(&self, reading: &Reading) -> bool {
        let now = reading.clock.unwrap_or_default();
        let is_past = self.era < reading.era || self.era == reading.era && self.written <= now;
        is_past && self.token < first_token(self.era.saturating_add(1))
    }

    /// Returns the age of the row after which its lease may be taken over.
    fn takeover_age(&self) -> Duration {
        if self.holder.is_empty() {
            REPLACEMENT_LIFETIME
        } else {
            TAKEOVER_AGE
        }
    }
}

/// Returns the lowest token of an era.
const fn first_token(era: u64) -> u64 {
    era.saturating_mul(TOKENS_PER_ERA)
}

/// Returns the age at `now` of something written at `written`, both in milliseconds.
const fn age(written: u64, now: u64) -> Duration {
    Duration::from_millis(now.saturating_sub(written))
}

fn key(service: &ServiceId) -> SmolStr {
    format_smolstr!("failover/{service}")
}

/// The lease row as read, with its version.
struct StoredLease {
    version: u64,
    record: LeaseRecord,
    /// Time of the read by the table service's clock, in milliseconds.
    now: u64,
    /// When the read was sent, which is not later than `now`.
    sent_at: BootInstant,
    /// The same time by the steady clock.
    started_at: Instant,
    /// Era of the table in which the row was read.
    era: u64,
    /// Time since this process first had an answer of this era.
    era_age: Duration,
}

impl StoredLease {
    /// Whether a process may acquire the lease: it holds the lease already, or the row is so old
    /// that its holder no longer acts. A row of a former era says nothing about the holders since
    /// the copy, whose rows are lost, and its date is of a clock that may have gone back; all
    /// holders of former eras are too old once this era has lasted long enough.
    fn is_available_to(&self, process: u64) -> bool {
        let record = &self.record;
        if record.era != self.era {
            return self.era_age >= TAKEOVER_AGE;
        }
        let age = age(record.written, self.now);
        record.token == 0 || record.process == process || age >= record.takeover_age()
    }

    /// Whether the row shows that no replacement is pending. One of a former era does not: the row of
    /// a later replacement may be lost.
    fn is_settled(&self) -> bool {
        self.record.era == self.era && self.record.pending_at(self.now).is_none()
    }

    /// Returns the order that may still be carried out. One of a former era was recorded before this
    /// process first had an answer of the present one.
    fn order(&self) -> Option<UnansweredOrder> {
        let order = self.record.order.clone()?;
        // No order is later than the row that names it.
        let written = order.written.min(self.record.written);
        let age = if self.record.era == self.era {
            age(written, self.now)
        } else {
            self.era_age
        };
        let left = REPLACEMENT_LIFETIME.checked_sub(age)?;
        Some(UnansweredOrder {
            order: PendingOrder {
                server: order.server,
                address: order.address,
                started: order.started,
            },
            until: Instant::now() + left,
        })
    }

    /// Returns a token above all that were given out before, in this era and in former ones.
    fn next_token(&self) -> u64 {
        self.record.token.max(first_token(self.era)) + 1
    }
}

/// An acquired lease, valid until `until`.
#[derive(Clone, Copy)]
pub struct Lease {
    pub token: u64,
    /// Term of the primary that is being replaced.
    pub term: Term,
    /// Era of the table in which the lease was written.
    era: u64,
    /// Time when the lease row was written, by the table service's clock, in milliseconds.
    pub written: u64,
    pub until: BootInstant,
}

impl<D: Dialer, P: Platform, S: Discovery, O: Orders> Controller<D, P, S, O> {
    /// Acquires the lease, unless another process holds it. Only the holder may replace the
    /// primary.
    pub(super) async fn acquire_lease(&self) -> Option<Lease> {
        let stored = self.read_lease().await?;
        if let Some(admission) = &self.group.admission
            && stored.is_settled()
        {
            // Writes that were held back are admitted by now, so they are no reason any more.
            admission.reset_held();
            self.replacement_reason()?;
        }
        if stored.is_available_to(self.gateway.process) {
            self.adopt_order(&stored);
            self.record_primary(&stored.record);
            let record = self.next_record(&stored, Some(self.group.term.get()));
            // The row names this node also if only the answer to the write is lost.
            self.is_unfinished.set(true);
            return self.claim(&stored, record).await;
        }
        None
    }

    /// Takes over the latest primary that the lease row names.
    pub(super) async fn adopt_primary(&self) {
        if let Some(stored) = self.read_lease().await {
            self.record_primary(&stored.record);
        }
    }

    /// Records the primary that a row names, unless its process has ended.
    fn record_primary(&self, record: &LeaseRecord) {
        if let Some(primary) = &record.primary
            && self.group.started(&primary.server) == Some(primary.started)
        {
            self.group.record_former(&primary.server, primary.term);
        }
    }

    /// Takes over the order that may still be carried out according to the row. About orders since its
    /// own row, this process knows more than the row, and a row of a former era may lack them.
    fn adopt_order(&self, stored: &StoredLease) {
        let is_own = stored.record.process == self.gateway.process;
        let known = self.unanswered_order();
        let order = if stored.record.era != stored.era {
            known.or_else(|| stored.order())
        } else if is_own {
            known
        } else {
            stored.order()
        };
        *self.unanswered.borrow_mut() = order;
    }

    /// Returns the order that this process knows of and that may still be carried out.
    fn unanswered_order(&self) -> Option<UnansweredOrder> {
        let now = Instant::now();
        let unanswered = self.unanswered.borrow();
        unanswered.clone().filter(|order| now < order.until)
    }

    /// Returns the server of the order that may still be carried out. Until then no other server may be
    /// ordered to lead.
    pub(super) fn pending_order(&self) -> Option<PendingOrder> {
        self.unanswered_order().map(|unanswered| unanswered.order)
    }

    /// Returns the latest primary that this node knows, if its process has not ended.
    fn known_primary(&self) -> Option<KnownPrimary> {
        let (server, term) = self.group.last_primary()?;
        let started = self.group.started(&server)?;
        Some(KnownPrimary {
            server,
            started,
            term,
        })
    }

    /// Returns the row to write after `stored`.
    fn next_record(&self, stored: &StoredLease, replaces: Option<Term>) -> LeaseRecord {
        let record = &stored.record;
        let is_own = record.process == self.gateway.process;
        let former = if is_own && self.is_unfinished.get() {
            record.former
        } else {
            record.latest_replacement()
        };
        let order = self.unanswered_order().map(|unanswered| {
            let left = unanswered
                .until
                .saturating_duration_since(stored.started_at);
            let age = REPLACEMENT_LIFETIME.saturating_sub(left);
            let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            RecordedOrder {
                server: unanswered.order.server,
                address: unanswered.order.address,
                started: unanswered.order.started,
                written: stored.now.saturating_sub(age),
            }
        });
        LeaseRecord {
            holder: self.gateway.node.clone(),
            process: self.gateway.process,
            token: stored.next_token().max(self.highest_token.get() + 1),
            written: stored.now,
            era: stored.era,
            replaces,
            former,
            order,
            primary: self.known_primary(),
        }
    }

    /// Reads the lease row. A row that is absent is returned as the default. One that no node can
    /// have written is replaced, so that the nodes go on after a time without two holders.
    ///
    /// # Errors
    /// The table service does not answer.
    pub(super) async fn read_record(&self) -> Result<(Reading, LeaseRecord), PlatformError> {
        let key = key(&self.group.service);
        let mut reading = self.platform.read(&key).await?;
        let Some(row) = reading.row.take() else {
            return Ok((reading, LeaseRecord::default()));
        };
        let record: Option<LeaseRecord> = serde_json::from_value(row.value).ok();
        if let Some(record) = record.filter(|record| record.is_credible(&reading)) {
            self.highest_token
                .set(self.highest_token.get().max(record.token));
            return Ok((reading, record));
        }
        event!(
            Event::EntryUnreadable, row = key.as_str();
            "no node wrote this row; replacing it, and no primary until it is {} s old",
            REPLACEMENT_LIFETIME.as_secs()
        );
        let latest = self.highest_token.get().max(first_token(reading.era));
        let record = LeaseRecord::unowned(&reading, latest + SKIPPED_TOKENS);
        // If the write fails, the next reading shows the same row, or that of another node.
        let _ = self.write_record(reading.version, &record).await;
        Ok((reading, record))
    }

    /// Writes the lease row if it has the expected version.
    async fn write_record(
        &self,
        version: u64,
        record: &LeaseRecord,
    ) -> Result<CommitOutcome, PlatformError> {
        self.write_row(key(&self.group.service), version, record)
            .await
    }

    /// Writes a row of the platform's table if it has the expected version.
    pub(super) async fn write_row<T: Serialize>(
        &self,
        key: SmolStr,
        version: u64,
        value: &T,
    ) -> Result<CommitOutcome, PlatformError> {
        let value = serde_json::to_value(value)
            .map_err(|error| PlatformError::NotDone(error.to_string()))?;
        let batch = Batch {
            conditions: vec![Condition {
                key: key.clone(),
                version,
            }],
            writes: vec![RowWrite {
                key,
                value: Some(value),
            }],
        };
        self.platform.commit(batch).await
    }

    async fn read_lease(&self) -> Option<StoredLease> {
        let (sent_at, started_at) = (BootInstant::now(), Instant::now());
        match self.read_record().await {
            Ok((reading, record)) => Some(StoredLease {
                version: reading.version,
                record,
                now: reading.clock.unwrap_or_default(),
                sent_at,
                started_at,
                era: reading.era,
                era_age: reading.era_age,
            }),
            Err(error) => {
                self.log_failure(&error.to_string());
                None
            }
        }
    }

    /// Writes the lease row if it is unchanged since it was read.
    async fn claim(&self, stored: &StoredLease, record: LeaseRecord) -> Option<Lease> {
        // The row is dated by the read, so calls that take long shorten the lease.
        let until = stored.sent_at.plus(LEASE_DURATION);
        match self.write_record(stored.version, &record).await {
            Ok(CommitOutcome::Applied) => Some(Lease {
                token: record.token,
                term: record.replaces.unwrap_or_default(),
                era: record.era,
                written: record.written,
                until,
            }),
            Ok(CommitOutcome::Conflict { .. }) => None,
            Err(error) => {
                // If only the answer was lost, the row may name this node. The next attempt reads
                // it and uses a higher token.
                self.log_failure(&error.to_string());
                None
            }
        }
    }

    /// Renews the lease under a higher token, if this process still holds it, and records the server
    /// that is about to be ordered to lead. Until the order is answered, or so old that it is not
    /// carried out any more, every later holder orders the same server.
    pub(super) async fn record_order(&self, lease: Lease, order: &PendingOrder) -> Option<Lease> {
        let stored = self.read_lease().await?;
        let is_holder = stored.record.process == self.gateway.process && stored.era == lease.era;
        if !is_holder {
            self.log_failure("another node holds the lease; no order was sent");
            return None;
        }
        let mut record = self.next_record(&stored, Some(lease.term));
        record.order = Some(RecordedOrder {
            server: order.server.clone(),
            address: order.address,
            started: order.started,
            written: stored.now,
        });
        self.claim(&stored, record).await
    }

    /// Records in the lease row which order of this process may still be carried out, if any, and
    /// `gives_up` whether the replacement was given up. Otherwise no other server could be ordered to
    /// lead, and no node would write to the primary, if it restarted, before the row is old.
    pub(super) async fn settle(&self, gives_up: bool) {
        let Some(stored) = self.read_lease().await else {
            return;
        };
        if stored.record.process == self.gateway.process {
            let replaces = stored.record.replaces.filter(|_| !gives_up);
            let record = self.next_record(&stored, replaces);
            let is_changed = record.order.is_none() && stored.record.order.is_some()
                || replaces != stored.record.replaces;
            if is_changed && self.claim(&stored, record).await.is_none() {
                // The next check of the group repeats the attempt.
                return;
            }
        }
        self.is_unsettled.set(false);
        if gives_up {
            self.is_unfinished.set(false);
        }
    }
}
