//! Queries on the audit trail.

use siskinhook_types::{Platform, PlatformError, Row, ServiceId, value_type};
use smol_str::SmolStr;

use crate::{
    AuditAction, AuditRecord, keys,
    state::{Counter, decode},
};

/// Records read by one call.
const PAGE_SIZE: usize = 256;

/// Maximum assumed difference between the clocks of two nodes. Because of it, record times are only
/// approximately in sequence order.
const MAX_CLOCK_SKEW_MS: u64 = 60_000;

value_type! {
    /// Filter of audit records; a record has to match all fields that are set.
    #[derive(Default)]
    pub struct AuditQuery {
        /// Service of the entry that the action concerns.
        pub service: Option<ServiceId>,
        /// Operator or node that acted.
        pub person: Option<SmolStr>,
        /// Earliest time in milliseconds since the Unix epoch.
        pub since: Option<u64>,
        /// Whether to return catalogue edits only.
        #[serde(default)]
        pub edits: bool,
        /// Maximum number of records to return.
        pub limit: usize,
    }
}

/// Reads the audit trail.
#[derive(Clone, Debug)]
pub struct AuditTrail<P> {
    platform: P,
}

impl<P: Platform> AuditTrail<P> {
    /// Creates a reader.
    #[must_use]
    pub const fn new(platform: P) -> Self {
        Self { platform }
    }

    /// Returns the newest matching records, newest first.
    ///
    /// # Errors
    /// Fails when the platform cannot be read.
    pub async fn query(&self, query: &AuditQuery) -> Result<Vec<AuditRecord>, PlatformError> {
        match (&query.service, &query.person) {
            (Some(service), _) => self.scan(&keys::service_prefix(service), query).await,
            (None, Some(person)) => self.scan(&keys::person_prefix(person), query).await,
            (None, None) => self.scan_all(query).await,
        }
    }

    /// Returns the record with a sequence number.
    ///
    /// # Errors
    /// Fails when the platform cannot be read.
    pub async fn record(&self, sequence: u64) -> Result<Option<AuditRecord>, PlatformError> {
        let row = self.platform.get(&keys::audit_key(sequence)).await?;
        row.as_ref().map(decode).transpose()
    }

    /// Scans the copies of records under a key prefix, which are ordered newest first.
    async fn scan(
        &self,
        prefix: &str,
        query: &AuditQuery,
    ) -> Result<Vec<AuditRecord>, PlatformError> {
        let mut found = Vec::new();
        let mut after = SmolStr::default();
        loop {
            let rows = self.platform.list(prefix, &after, PAGE_SIZE).await?;
            for row in &rows {
                let record: AuditRecord = decode(row)?;
                if query.collect(record, &mut found) {
                    return Ok(found);
                }
            }
            match rows.last() {
                Some(Row { key, .. }) if rows.len() == PAGE_SIZE => after = key.clone(),
                _ => return Ok(found),
            }
        }
    }

    /// Scans the whole trail backwards from its end, page by page.
    async fn scan_all(&self, query: &AuditQuery) -> Result<Vec<AuditRecord>, PlatformError> {
        let row = self.platform.get(keys::AUDIT_SEQUENCE).await?;
        let mut end = Counter::read(row.as_ref())?.value;
        let mut found = Vec::new();
        while end > 0 {
            let start = end.saturating_sub(PAGE_SIZE as u64);
            let rows = self
                .platform
                .list(keys::AUDIT_PREFIX, &keys::audit_key(start), PAGE_SIZE)
                .await?;
            for row in rows.iter().rev() {
                let record: AuditRecord = decode(row)?;
                if record.sequence > end {
                    continue;
                }
                if query.collect(record, &mut found) {
                    return Ok(found);
                }
            }
            end = start;
        }
        Ok(found)
    }
}

impl AuditQuery {
    /// Adds the record to `found` if it matches. Returns whether the scan is complete, because the
    /// limit is reached or all further records are too old.
    fn collect(&self, record: AuditRecord, found: &mut Vec<AuditRecord>) -> bool {
        let time = record.draft.time;
        if self
            .since
            .is_some_and(|since| time + MAX_CLOCK_SKEW_MS < since)
        {
            return true;
        }
        if !self.matches(&record) {
            return false;
        }
        found.push(record);
        found.len() >= self.limit
    }

    fn matches(&self, record: &AuditRecord) -> bool {
        let draft = &record.draft;
        self.service
            .as_ref()
            .is_none_or(|service| draft.service.as_ref() == Some(service))
            && self.person.as_ref().is_none_or(|p| draft.person == *p)
            && self.since.is_none_or(|since| draft.time >= since)
            && (!self.edits || matches!(draft.action, AuditAction::Edit { .. }))
    }
}
