//! `siskinctl fleet`: lists the nodes.

use siskinhook_types::FleetView;

use crate::{ExitError, OperatorApiClient, context::Context, render};

pub async fn run(context: &mut Context<'_>) -> Result<(), ExitError> {
    let fleet = context.view(async |node| node.fleet().await).await?;
    context.show(&fleet, format_fleet)
}

fn format_fleet(fleet: &FleetView) -> String {
    let rows = fleet.members.values().map(|member| {
        vec![
            member.name.to_string(),
            member.region.to_string(),
            member.zone.to_string(),
            format!("{:?}", member.state).to_lowercase(),
            member.revision.to_string(),
            member.peer.to_string(),
        ]
    });
    let header = ["node", "region", "zone", "state", "revision", "peer"];
    format!(
        "as node {} sees it\n{}",
        fleet.local,
        render::table(&header, rows)
    )
}
