//! Assembles a node from its settings.
//!
//! [`Node::start`] brings the parts together: platform client, fleet, engine, front end,
//! operator interface and metrics. The parts know each other only through the traits and
//! channels that are connected here.

mod backend;
mod drain;
mod listeners;
mod monitor;
mod node;
mod trail;
mod translate;
mod view;

pub use listeners::Listeners;
pub use node::Node;
