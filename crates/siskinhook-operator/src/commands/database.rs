//! `siskinctl database`: shows a database's group.

use crate::{ExitError, OperatorApiClient, Report, context::Context, flags, render};

pub async fn run(context: &mut Context<'_>, flags: &flags::Database) -> Result<(), ExitError> {
    let name = flags.name.as_str();
    let report = context
        .view(async |node| node.report(Report::Database(name.into())).await)
        .await?;
    context.show(&report, render::report)
}
