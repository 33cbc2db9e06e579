//! `siskinctl drain`: tells a node to finish its work and leave.

use crate::{ExitError, OperatorApiClient, context::Context, flags};

pub async fn run(context: &mut Context<'_>, flags: &flags::Drain) -> Result<(), ExitError> {
    send_drain(context, &flags.name, true, flags.reason.as_deref()).await
}

/// Sends a request to drain (or, with `drain` false, to undrain) a node.
pub async fn send_drain(
    context: &mut Context<'_>,
    name: &str,
    drain: bool,
    reason: Option<&str>,
) -> Result<(), ExitError> {
    let reason = reason.unwrap_or_default();
    context
        .change(async |node| node.drain(name.into(), drain, reason.into()).await)
        .await?;
    let verb = if drain { "drains" } else { "serves again" };
    context.show(&(name, drain), |_| format!("node {name} {verb}"))
}
