//! `siskinctl audit`: shows the audit trail.

use std::time::{SystemTime, UNIX_EPOCH};

use siskinhook_catalogue::AuditQuery;

use crate::{ExitError, OperatorApiClient, context::Context, flags, render};

/// Maximum records shown without `--limit`.
const DEFAULT_LIMIT: usize = 100;

pub async fn run(context: &mut Context<'_>, flags: &flags::Audit) -> Result<(), ExitError> {
    let query = AuditQuery {
        service: flags.entry.as_deref().map(Into::into),
        person: flags.person.as_deref().map(Into::into),
        since: flags.since.as_deref().map(parse_since).transpose()?,
        edits: false,
        limit: flags.limit.unwrap_or(DEFAULT_LIMIT),
    };
    let records = context
        .call(async |node| node.audit(query.clone()).await)
        .await?;
    context.show(&records, |records| render::audit_table(records))
}

/// Parses a time, or a duration before now, into milliseconds since the Unix epoch.
fn parse_since(text: &str) -> Result<u64, ExitError> {
    let time = match humantime::parse_duration(text) {
        Ok(age) => SystemTime::now().checked_sub(age).unwrap_or(UNIX_EPOCH),
        Err(_) => humantime::parse_rfc3339_weak(text).map_err(|_| {
            ExitError::Usage(format!(
                "--since {text:?} is no time; write 2026-03-01T06:00:00Z or a duration such as 2h"
            ))
        })?,
    };
    let age = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    Ok(u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
}
