//! `siskinctl catalogue diff`: shows what a file would change.

use serde::Serialize;
use siskinhook_catalogue::{EntryView, difference};

use crate::{
    EditRequest, ExitError, OperatorApiClient, commands::catalogue_validate::read_entry,
    context::Context, flags,
};

#[derive(Serialize)]
struct DiffOutput {
    difference: String,
    effects: Vec<String>,
}

pub async fn run(context: &mut Context<'_>, flags: &flags::Diff) -> Result<(), ExitError> {
    let (_, entry) = read_entry(&flags.file)?;
    let service = entry.name.clone();
    let current: Option<EntryView> = context
        .call(async |node| node.entry(service.clone()).await)
        .await?;
    let (base, old) = current.map_or((0, None), |view| (view.revision, Some(view.entry)));
    let request = EditRequest {
        id: context.edit_id(None).into(),
        service: entry.name.clone(),
        entry: Some(entry.clone()),
        base,
        reason: String::new(),
        confirmed: false,
    };
    let difference = difference(
        old.as_ref(),
        Some(&entry),
        ("accepted", &flags.file.display().to_string()),
    );
    let effects = if difference.is_empty() {
        Vec::new()
    } else {
        context
            .call(async |node| node.check(request.clone()).await)
            .await?
    };
    context.show(
        &DiffOutput {
            difference,
            effects,
        },
        |output| {
            if output.difference.is_empty() {
                return "no difference".into();
            }
            let mut text = output.difference.clone();
            for effect in &output.effects {
                text.push_str("needs --confirm: ");
                text.push_str(effect);
                text.push('\n');
            }
            text
        },
    )
}
