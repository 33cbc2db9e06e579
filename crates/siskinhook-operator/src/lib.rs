//! The operator interface of a node and the commands of siskinctl.

mod api;
mod auth;
mod client;
mod commands;
mod context;
mod exit;
mod flags;
mod program;
mod render;
mod server;
mod view;

pub use api::{
    EditRequest, NodeResponse, OperatorApiClient, OperatorApiServer, RevertRequest, codes,
};
pub use auth::{Identity, Operators};
pub use exit::ExitError;
pub use program::{main, run};
pub use server::{OperatorService, serve};
pub use view::{Explain, NodeRevision, NodeState, NodeStatus, NodeView, Report};
