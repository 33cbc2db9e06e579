//! Runs a whole site in one process: stand-ins, nodes and fault injection.

mod demo;
mod host;
mod settings;
mod summary;

pub use demo::{Demo, DemoOptions, SiteName};
pub use host::NodeHost;
pub use summary::{NodeSummary, Summary};
