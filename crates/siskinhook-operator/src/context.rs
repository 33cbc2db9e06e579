//! What every command of siskinctl needs.

use std::io::Write;

use jsonrpsee::{core::ClientError, http_client::HttpClient};
use serde::Serialize;

use crate::{
    ExitError, NodeResponse,
    client::{Effect, Nodes},
    render,
};

/// Nodes, output form and outputs of one invocation.
pub struct Context<'a> {
    /// Nodes to ask.
    pub nodes: Nodes,
    /// Name of the operator.
    pub operator: String,
    /// Whether the output is JSON for programs.
    pub json: bool,
    /// Results.
    pub out: &'a mut dyn Write,
    /// Progress and warnings.
    pub notes: &'a mut dyn Write,
}

impl Context<'_> {
    /// Calls the first node that answers.
    pub async fn call<T>(
        &mut self,
        call: impl AsyncFn(&HttpClient) -> Result<T, ClientError>,
    ) -> Result<T, ExitError> {
        self.nodes.call(self.notes, Effect::None, call).await
    }

    /// Calls the first node that answers with a request that changes something. The request
    /// must be repeatable.
    pub async fn change<T>(
        &mut self,
        call: impl AsyncFn(&HttpClient) -> Result<T, ClientError>,
    ) -> Result<T, ExitError> {
        self.nodes.call(self.notes, Effect::Change, call).await
    }

    /// Calls the first node that answers for its own view, and warns when the node is cut off.
    pub async fn view<T>(
        &mut self,
        call: impl AsyncFn(&HttpClient) -> Result<NodeResponse<T>, ClientError>,
    ) -> Result<T, ExitError> {
        let answer = self.call(call).await?;
        if answer.cut_off {
            writeln!(
                self.notes,
                "warning: node {} is cut off from most of the fleet; what it shows may be old, it \
                 last heard from others {} s ago",
                answer.node,
                answer.heard / 1000
            )?;
        }
        Ok(answer.value)
    }

    /// Writes a value: as JSON for programs, else as `text` makes it.
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
            write!(self.out, "{}", render::finish(text(value)))?;
        }
        Ok(())
    }

    /// Returns the id of an edit: the stated one, or a new one.
    pub fn edit_id(&self, stated: Option<&str>) -> String {
        stated.map_or_else(
            || format!("{}-{:016x}", self.operator, rand::random::<u64>()),
            Into::into,
        )
    }
}
