//! Queries of the audit trail.

use siskinhook_types::{Platform, PlatformError, Row, ServiceId, value_type};
use smol_str::SmolStr;

use crate::{
    AuditAction, AuditRecord, keys,
    state::{Counter, decode},
};

/// Records read by one call.
const PAGE_SIZE: usize = 256;

/// Clocks of two nodes may differ by this many milliseconds, so times in the trail are only
/// nearly in order.
const MAX_CLOCK_SKEW_MS: u64 = 60_000;

value_type! {
    /// What to look for in the audit trail; all that is present must hold.
    #[derive(Default)]
    pub struct AuditQuery {
        /// Service concerned.
        pub service: Option<ServiceId>,
        /// Person who acted.
        pub person: Option<SmolStr>,
        /// Earliest time in milliseconds since the Unix epoch.
        pub since: Option<u64>,
        /// Whether only edits of the catalogue are looked for.
        #[serde(default)]
        pub edits: bool,
        /// Largest number of records.
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
    /// The platform could not be read.
    pub async fn query(&self, query: &AuditQuery) -> Result<Vec<AuditRecord>, PlatformError> {
        match (&query.service, &query.person) {
            (Some(service), _) => {
                self.query_prefix(&keys::service_prefix(service), query)
                    .await
            }
            (None, Some(person)) => self.query_prefix(&keys::person_prefix(person), query).await,
            (None, None) => self.query_all(query).await,
        }
    }

    /// Returns one record.
    ///
    /// # Errors
    /// The platform could not be read.
    pub async fn record(&self, sequence: u64) -> Result<Option<AuditRecord>, PlatformError> {
        let row = self.platform.get(&keys::audit_key(sequence)).await?;
        row.as_ref().map(decode).transpose()
    }

    /// Pages through copies that are ordered newest first.
    async fn query_prefix(
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

    /// Reads the trail itself from the end back, page by page.
    async fn query_all(&self, query: &AuditQuery) -> Result<Vec<AuditRecord>, PlatformError> {
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
    /// Adds a matching record; returns whether the search is over, as no older record is
    /// wanted.
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
