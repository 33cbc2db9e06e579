//! The request path of a node behind its front end: owners, server connections, forwarding and
//! failover.
//!
//! Each node runs one [`Engine`]. On the entry node, a [`Session`] classifies a statement, selects
//! a server and sends the statement to the server's owner over a link. On the owner, an
//! [`OwnerLink`] queues the statement, runs it on a server connection and confirms writes.

mod answer;
mod classify;
mod clock;
mod collect;
mod controller;
mod core;
mod counters;
mod engine;
mod entry;
mod event;
mod group;
mod net;
mod owner;
mod path;
mod pg;
mod report;
mod session;
mod settings;

pub use answer::Answer;
pub use classify::{Classifier, Operation, classify};
pub use counters::{Counters, CountersSnapshot};
pub use engine::Engine;
pub use event::EngineEvent;
pub use net::{FrameLink, LinkOptions, TcpLinks, serve_link, serve_links};
pub use owner::OwnerLink;
pub use pg::{Login, PgOptions, PgTargets};
pub use report::{DatabaseReport, EngineReport, ServerReport};
pub use session::{CancelHandle, Session, SessionOptions, TransactionState};
pub use settings::{EngineSettings, Identity};
