//! Implementation of the backend traits for the engine.

use std::time::Duration;

use siskinhook_engine::{Answer as EngineAnswer, Engine, Session, SessionOptions};
use siskinhook_types::{
    CallerId, DatabaseId, Failure, Links, Part, Platform, RequestId, Statement, Targets, Token,
};

use crate::{Answer, Backend, CallerOptions, CallerSession, TransactionState};

impl<T: Targets, L: Links, P: Platform> Backend for Engine<T, L, P> {
    type Session = Session<T, L, P>;

    fn open(&self, database: DatabaseId, caller: CallerId) -> Result<Self::Session, Failure> {
        self.session(database, caller, SessionOptions::default())
    }
}

impl<T: Targets, L: Links, P: Platform> CallerSession for Session<T, L, P> {
    type Answer = EngineAnswer<T, L, P>;

    fn set_options(&mut self, options: &CallerOptions) {
        let session_options = self.options_mut();
        session_options.class = options.class;
        session_options.max_age = options.max_age.map(Duration::from_millis);
        session_options.request.clone_from(&options.request);
        session_options.repeatable = options.repeatable.then_some(true);
        session_options.deadline = options.deadline.map(Duration::from_millis);
        session_options.token.clone_from(&options.token);
        if let Some(session) = &options.session {
            session_options.session.clone_from(session);
        }
    }

    async fn execute(&mut self, statement: Statement) -> Result<Self::Answer, Failure> {
        Session::execute(self, statement).await
    }

    async fn describe(&mut self, statement: Statement) -> Result<Self::Answer, Failure> {
        Session::describe(self, statement).await
    }

    fn request(&self) -> Option<RequestId> {
        self.options().request.clone()
    }

    fn transaction(&self) -> TransactionState {
        match Session::transaction(self) {
            siskinhook_engine::TransactionState::Idle => TransactionState::Idle,
            siskinhook_engine::TransactionState::Active => TransactionState::Active,
            siskinhook_engine::TransactionState::Failed => TransactionState::Failed,
        }
    }

    fn token(&self) -> Option<Token> {
        Session::token(self)
    }
}

impl<T: Targets, L: Links, P: Platform> Answer for EngineAnswer<T, L, P> {
    async fn next(&mut self) -> Result<Option<Part>, Failure> {
        EngineAnswer::next(self).await.transpose()
    }
}
