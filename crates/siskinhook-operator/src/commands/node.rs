//! `siskinctl node`: shows the node.

use serde::Serialize;
use serde_json::Value;

use crate::{
    ExitError, NodeState, NodeStatus, OperatorApiClient, Report, context::Context, render,
};

#[derive(Serialize)]
struct Shown {
    status: NodeStatus,
    report: Value,
}

pub async fn run(context: &mut Context<'_>) -> Result<(), ExitError> {
    // One call each; a second node may answer the second one, so the status names the node.
    let status = context.view(async |node| node.status().await).await?;
    let report = context
        .call(async |node| node.report(Report::Node).await)
        .await?;
    if report.node != status.name {
        return Err(ExitError::Unavailable(format!(
            "node {} stopped answering; ask again",
            status.name
        )));
    }
    let shown = Shown {
        status,
        report: report.value,
    };
    context.show(&shown, |shown| {
        let status = &shown.status;
        let state = match &status.state {
            NodeState::Ready => "ready".to_owned(),
            NodeState::Waiting(reason) => format!("waiting: {reason}"),
            NodeState::Draining => "draining".to_owned(),
        };
        format!(
            "node {} in {} {}, version {}\nstate: {state}\ncatalogue revision: {}\n{}",
            status.name,
            status.region,
            status.zone,
            status.version,
            status.revision,
            render::report(&shown.report)
        )
    })
}
