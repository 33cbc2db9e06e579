//! Assembles a node from its settings.
//!
//! [`Node::start`] creates and connects the components: platform client, fleet membership, engine,
//! front end, operator interface and metrics. The components depend on each other only through the
//! traits and channels that are connected here.

mod backend;
mod drain;
mod listeners;
mod monitor;
mod node;
mod recorder;
mod translate;
mod view;

pub use listeners::Listeners;
pub use node::Node;
