//! State of a caller connection, shared by the protocol handlers.

use std::sync::Arc;

use pgwire::api::auth::{AuthDriver, sasl::SaslMechanisms};
use siskinhook_types::Token;
use tokio::sync::Mutex;

use crate::{
    Backend, CallerOptions, CallerSession, Filter,
    portal::OpenPortals,
    sessions::{Registration, SessionRegistry},
    startup::ServerParameters,
};

/// State shared by all connections of a front end.
pub(crate) struct Shared<B, F> {
    pub(crate) backend: B,
    pub(crate) filter: F,
    pub(crate) driver: AuthDriver<ServerParameters>,
    pub(crate) mechanisms: SaslMechanisms,
    pub(crate) sessions: SessionRegistry,
}

/// A caller connection, on which the protocol handlers are implemented.
pub(crate) struct Connection<B, F>
where
    B: Backend,
    F: Filter<B::Session>,
{
    pub(crate) shared: Arc<Shared<B, F>>,
    pub(crate) state: Mutex<State<B::Session, F::Answer>>,
}

/// Mutable state of a connection.
///
/// It is locked because the protocol handlers get a shared reference. The lock is never contended,
/// since a connection handles one message at a time.
pub(crate) struct State<S, A> {
    pub(crate) session: Option<S>,
    pub(crate) options: CallerOptions,
    pub(crate) portals: OpenPortals<A>,
    /// Keeps the session in the list that operators see.
    pub(crate) registration: Option<Registration>,
    /// Causal token last reported to the caller.
    pub(crate) reported_token: Option<Token>,
}

impl<S: CallerSession, A> State<S, A> {
    pub(crate) fn new() -> Self {
        Self {
            session: None,
            options: CallerOptions::default(),
            portals: OpenPortals::default(),
            registration: None,
            reported_token: None,
        }
    }
}
