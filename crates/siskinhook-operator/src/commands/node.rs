//! `siskinctl node`: shows status, servers, queues and pools of the node.

use serde::Serialize;
use serde_json::Value;

use crate::{
    ExitError, NodeState, NodeStatus, OperatorApiClient, Report, context::Context, render,
};

#[derive(Serialize)]
struct NodeOutput {
    status: NodeStatus,
    report: Value,
}

pub async fn run(context: &mut Context<'_>) -> Result<(), ExitError> {
    // The second call may be answered by another node, whose report does not belong to this status.
    let status = context.view(async |node| node.status().await).await?;
    let report = context
        .call(async |node| node.report(Report::Node).await)
        .await?;
    if report.node != status.name {
        return Err(ExitError::Unavailable(format!(
            "node {} did not answer the second call; run the command again",
            status.name
        )));
    }
    let output = NodeOutput {
        status,
        report: report.value,
    };
    context.show(&output, |output| {
        let status = &output.status;
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
            render::report(&output.report)
        )
    })
}
