//! `siskinctl session`: lists the sessions of callers on the node.

use crate::{ExitError, OperatorApiClient, Report, context::Context, flags, render};

pub async fn run(context: &mut Context<'_>, flags: &flags::Session) -> Result<(), ExitError> {
    let database = flags.database.as_deref();
    let report = context
        .view(async |node| {
            node.report(Report::Sessions(database.map(Into::into)))
                .await
        })
        .await?;
    context.show(&report, render::report)
}
