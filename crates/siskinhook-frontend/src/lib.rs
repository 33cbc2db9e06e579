//! The PostgreSQL server that callers connect to. It authenticates callers, keeps their sessions
//! and settings, and passes each statement through a filter chain to the backend.

mod backend;
mod concurrency_limit;
mod connection;
mod engine_backend;
mod execute;
mod extended;
mod filter;
mod messages;
mod options;
mod phase;
mod portal;
mod server;
mod sessions;
mod settings;
mod simple;
mod split;
mod startup;
mod statement_settings;
mod users;

pub use backend::{Answer, Backend, CallerSession, TransactionState};
pub use concurrency_limit::ConcurrencyLimit;
pub use execute::Execute;
pub use filter::{Filter, Reply};
pub use options::CallerOptions;
pub use phase::Phase;
pub use server::{Frontend, serve};
pub use sessions::SessionInfo;
pub use settings::FrontendSettings;
pub use statement_settings::StatementSettings;
pub use users::Users;
