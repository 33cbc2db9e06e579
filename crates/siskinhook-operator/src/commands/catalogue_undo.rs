//! `siskinctl catalogue undo`: undoes the change of a revision.

use crate::{
    ExitError, OperatorApiClient, RevertRequest, commands::catalogue_edit::print_accepted,
    context::Context, flags,
};

pub async fn run(context: &mut Context<'_>, flags: &flags::Undo) -> Result<(), ExitError> {
    let request = RevertRequest {
        id: context.edit_id(flags.id.as_deref()).into(),
        revision: flags.revision,
        reason: flags.reason.clone().unwrap_or_default(),
        confirmed: flags.confirm,
    };
    let accepted = context
        .change(async |node| node.undo(request.clone()).await)
        .await?;
    print_accepted(context, &accepted, flags.wait).await
}
