//! `siskinctl catalogue list`: lists the entries in force.

use siskinhook_types::Catalogue;
use smol_str::SmolStr;

use crate::{ExitError, OperatorApiClient, context::Context, render};

pub async fn run(context: &mut Context<'_>) -> Result<(), ExitError> {
    let catalogue = context.view(async |node| node.catalogue().await).await?;
    context.show(&catalogue, format_catalogue)
}

fn format_catalogue(catalogue: &Catalogue) -> String {
    let rows = catalogue.entries.values().map(|entry| {
        let databases: Vec<&str> = entry.databases.keys().map(SmolStr::as_str).collect();
        let servers: usize = entry.databases.values().map(|d| d.servers.len()).sum();
        vec![
            entry.name.to_string(),
            entry.owner.to_string(),
            format!("{:?}", entry.class).to_lowercase(),
            entry.limits.slots.to_string(),
            entry.limits.connections.to_string(),
            servers.to_string(),
            databases.join(", "),
        ]
    });
    let header = [
        "entry",
        "owner",
        "class",
        "slots",
        "connections",
        "servers",
        "databases",
    ];
    format!(
        "revision {}\n{}",
        catalogue.revision,
        render::table(&header, rows)
    )
}
