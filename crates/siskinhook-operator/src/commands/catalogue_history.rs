//! `siskinctl catalogue history`: lists the accepted edits of an entry.

use crate::{ExitError, OperatorApiClient, context::Context, flags, render};

/// Maximum edits shown without `--limit`.
const DEFAULT_LIMIT: usize = 20;

pub async fn run(context: &mut Context<'_>, flags: &flags::History) -> Result<(), ExitError> {
    let service = flags.service.as_str();
    let limit = flags.limit.unwrap_or(DEFAULT_LIMIT);
    let records = context
        .call(async |node| node.history(service.into(), limit).await)
        .await?;
    context.show(&records, |records| render::audit_table(records))
}
