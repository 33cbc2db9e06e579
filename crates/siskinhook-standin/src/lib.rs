//! Stand-ins for the platform, the database groups and the network, with fault injection, for tests
//! and the demo.

use std::sync::{Mutex, MutexGuard, PoisonError};

mod database;
mod fault;
mod local;
mod network;
mod platform;
mod relay;
mod replication;
mod rpc;
mod server;
mod site;
mod sql;
mod value;
mod wire;

pub use fault::{DEMO_COMMANDS, Fault, NodeFault};
pub use local::{LocalSession, LocalTargets};
pub use network::{Connection, Cut, Endpoint, Latencies, Network};
pub use platform::{LocalPlatform, PlatformState, PlatformStore};
pub use rpc::{NOT_DONE, demo_command, serve_demo};
pub use server::{Server, ServerOptions};
pub use site::{Plan, ServerState, Site, SiteState};

/// Locks a mutex and ignores poisoning, so that a test reports only the first panic.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
