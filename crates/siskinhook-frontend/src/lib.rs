//! The PostgreSQL server that callers connect to: sessions, settings and the filter chain.

mod admit;
mod backend;
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

pub use admit::Admit;
pub use backend::{Answer, Backend, CallerSession, TransactionState};
pub use execute::Execute;
pub use filter::{Filter, Reply};
pub use options::CallerOptions;
pub use phase::Phase;
pub use server::{Frontend, serve};
pub use sessions::SessionInfo;
pub use settings::FrontendSettings;
pub use statement_settings::StatementSettings;
pub use users::Users;
