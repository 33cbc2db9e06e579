//! Client of the platform's table service and object store.

mod api;
mod budget;
mod budgeted;
mod counters;
mod memory;
mod rpc;

pub use api::{PlatformApiClient, PlatformApiServer};
pub use budget::{Budget, BudgetSettings, CallKind, Health, Refusal};
pub use budgeted::Budgeted;
pub use counters::{Counters, CountersSnapshot};
pub use memory::{Fault, MemoryPlatform};
pub use rpc::RpcPlatform;
