//! Context shared by the commands of siskinctl.

use std::io::Write;

use jsonrpsee::{core::ClientError, http_client::HttpClient};
use serde::Serialize;

use crate::{
    ExitError, NodeResponse,
    client::{Effect, Nodes},
    render,
};

/// Nodes, output format and output streams of one invocation.
pub struct Context<'a> {
    /// Nodes to call.
    pub nodes: Nodes,
    /// Name of the operator.
    pub operator: String,
    /// Whether results are written as JSON instead of text.
    pub json: bool,
    /// Standard output, for results.
    pub out: &'a mut dyn Write,
    /// Standard error, for progress messages and warnings.
    pub err: &'a mut dyn Write,
}

impl Context<'_> {
    /// Calls the nodes in order until one answers a request that only reads.
    pub async fn call<T>(
        &mut self,
        call: impl AsyncFn(&HttpClient) -> Result<T, ClientError>,
    ) -> Result<T, ExitError> {
        self.nodes.call(self.err, Effect::None, call).await
    }

    /// Calls the nodes in order until one answers a request that changes state. The request must be
    /// idempotent.
    pub async fn change<T>(
        &mut self,
        call: impl AsyncFn(&HttpClient) -> Result<T, ClientError>,
    ) -> Result<T, ExitError> {
        self.nodes.call(self.err, Effect::Change, call).await
    }

    /// Calls the nodes in order until one returns its own view of the state, and writes a
    /// warning when that node is cut off.
    pub async fn view<T>(
        &mut self,
        call: impl AsyncFn(&HttpClient) -> Result<NodeResponse<T>, ClientError>,
    ) -> Result<T, ExitError> {
        let answer = self.call(call).await?;
        if answer.cut_off {
            writeln!(
                self.err,
                "warning: node {} is cut off from most of the fleet; what it shows may be old, it \
                 last heard from others {} s ago",
                answer.node,
                answer.heard / 1000
            )?;
        }
        Ok(answer.value)
    }

    /// Writes a value as JSON if `--json` is set, else as formatted by `text`.
    pub fn show<T: Serialize>(
        &mut self,
        value: &T,
        text: impl FnOnce(&T) -> String,
    ) -> Result<(), ExitError> {
        if self.json {
            let json = serde_json::to_string_pretty(value)
                .map_err(|error| ExitError::Failed(error.to_string()))?;
            writeln!(self.out, "{json}")?;
        } else {
            write!(self.out, "{}", render::end_with_newline(text(value)))?;
        }
        Ok(())
    }

    /// Returns the stated edit id, or generates a new one.
    pub fn edit_id(&self, stated: Option<&str>) -> String {
        stated.map_or_else(
            || format!("{}-{:016x}", self.operator, rand::random::<u64>()),
            Into::into,
        )
    }
}
