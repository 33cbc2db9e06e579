//! `siskinctl catalogue show`: shows an accepted entry as a text to edit.

use siskinhook_catalogue::entry_text;

use crate::{ExitError, OperatorApiClient, context::Context, flags};

/// Start of the line that carries the base revision; `catalogue edit` reads it.
pub const BASE: &str = "// base revision: ";

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
        format!("{BASE}{}\n{}", view.revision, entry_text(&view.entry))
    })
}
