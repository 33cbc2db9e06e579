//! `siskinctl explain`: shows where a statement would be routed, and why.

use crate::{ExitError, Explain, OperatorApiClient, context::Context, flags, render};

pub async fn run(context: &mut Context<'_>, flags: &flags::Explain) -> Result<(), ExitError> {
    let request = Explain {
        database: flags.database.as_str().into(),
        sql: flags.sql.clone(),
        max_age: flags.max_age,
        token: flags.token.clone(),
    };
    let route = context
        .view(async |node| node.explain(request.clone()).await)
        .await?;
    context.show(&route, render::report)
}
