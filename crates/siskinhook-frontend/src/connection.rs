//! State of one caller connection, shared by the handlers of the protocol.

use std::sync::Arc;

use pgwire::api::auth::{AuthDriver, sasl::SaslMechanisms};
use siskinhook_types::Token;
use tokio::sync::Mutex;

use crate::{
    Backend, CallerOptions, CallerSession, Filter,
    portal::OpenPortals,
    sessions::{Listed, Sessions},
    startup::Parameters,
};

/// What all connections of a front end share.
pub(crate) struct Shared<B, F> {
    pub(crate) backend: B,
    pub(crate) filter: F,
    pub(crate) driver: AuthDriver<Parameters>,
    pub(crate) mechanisms: SaslMechanisms,
    pub(crate) sessions: Sessions,
}

/// One caller connection.
pub(crate) struct Connection<B, F>
where
    B: Backend,
    F: Filter<B::Session>,
{
    pub(crate) shared: Arc<Shared<B, F>>,
    pub(crate) state: Mutex<State<B::Session, F::Answer>>,
}

/// Mutable state of a connection. The protocol handles one message at a time, so the lock is
/// never contended; it is there because handlers get a shared reference.
pub(crate) struct State<S, A> {
    pub(crate) session: Option<S>,
    pub(crate) options: CallerOptions,
    pub(crate) portals: OpenPortals<A>,
    /// The session's place in the list for operators.
    pub(crate) listed: Option<Listed>,
    /// Token that the caller was last told.
    pub(crate) reported: Option<Token>,
}

impl<S: CallerSession, A> State<S, A> {
    pub(crate) fn new() -> Self {
        Self {
            session: None,
            options: CallerOptions::default(),
            portals: OpenPortals::default(),
            listed: None,
            reported: None,
        }
    }
}
