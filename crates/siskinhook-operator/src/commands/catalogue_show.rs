//! `siskinctl catalogue show`: prints an accepted entry, ready to be edited.

use siskinhook_catalogue::entry_text;

use crate::{ExitError, OperatorApiClient, context::Context, flags};

/// Prefix of the first line, which states the base revision; `catalogue edit` parses it.
pub const BASE_PREFIX: &str = "// base revision: ";

pub async fn run(context: &mut Context<'_>, flags: &flags::Show) -> Result<(), ExitError> {
    let service = flags.service.as_str();
    let view = context
        .call(async |node| node.entry(service.into()).await)
        .await?
        .ok_or_else(|| {
            ExitError::Failed(format!(
                "there is no entry {service}; see siskinctl catalogue list"
            ))
        })?;
    context.show(&view, |view| {
        format!(
            "{BASE_PREFIX}{}\n{}",
            view.revision,
            entry_text(&view.entry)
        )
    })
}
