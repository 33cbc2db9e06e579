//! Handler of the simple query protocol.

use std::fmt::Debug;

use async_trait::async_trait;
use futures::{Sink, SinkExt};
use pgwire::{
    api::{
        ClientInfo, ClientPortalStore, ConnectionHandle, PgWireConnectionState,
        query::{SimpleQueryHandler, send_ready_for_query},
        results::Response,
        store::PortalStore,
    },
    error::{PgWireError, PgWireResult},
    messages::{PgWireBackendMessage, response::EmptyQueryResponse, simplequery::Query},
};
use siskinhook_types::{Failure, Part, Statement};

use crate::{
    Backend, CallerSession, Filter, Reply, TransactionState,
    connection::{Connection, State},
    messages,
    split::split_statements,
    statement_settings::is_local,
};

/// First keywords of the statements that begin or end a transaction.
const TRANSACTION_KEYWORDS: &[&str] = &["begin", "start", "commit", "end", "rollback", "abort"];

#[async_trait]
impl<B, F> SimpleQueryHandler for Connection<B, F>
where
    B: Backend,
    F: Filter<B::Session>,
{
    async fn on_query<C>(&self, client: &mut C, query: Query) -> PgWireResult<()>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        client.set_state(PgWireConnectionState::QueryInProgress);
        let result = cancellable(self, client, async |client: &mut C| {
            self.run_query(client, &query.query).await
        })
        .await;
        let status = messages::transaction_status(self.transaction().await);
        client.set_transaction_status(status);
        result?;
        client.set_state(PgWireConnectionState::ReadyForQuery);
        send_ready_for_query(client, status).await
    }

    async fn do_query<C>(&self, _client: &mut C, _query: &str) -> PgWireResult<Vec<Response>>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        // `on_query` is overridden instead, because an answer returned from here would have to be
        // buffered completely.
        Err(PgWireError::NotReadyForQuery)
    }
}

/// Runs a query to its end, or until the caller cancels it.
pub(crate) async fn cancellable<B, F, C>(
    connection: &Connection<B, F>,
    client: &mut C,
    query: impl AsyncFnOnce(&mut C) -> PgWireResult<()>,
) -> PgWireResult<()>
where
    B: Backend,
    F: Filter<B::Session>,
    C: ClientInfo,
{
    let handle = client
        .session_extensions()
        .get::<std::sync::Arc<ConnectionHandle>>();
    let Some(handle) = handle else {
        return query(client).await;
    };
    let canceled = handle.start_query().await;
    tokio::select! {
        biased;
        result = query(client) => return result,
        Ok(()) = canceled => {}
    }
    let mut state = connection.state.lock().await;
    state.portals.clear();
    Err(messages::canceled())
}

impl<B, F> Connection<B, F>
where
    B: Backend,
    F: Filter<B::Session>,
{
    pub(crate) async fn transaction(&self) -> TransactionState {
        let state = self.state.lock().await;
        state
            .session
            .as_ref()
            .map_or(TransactionState::Idle, CallerSession::transaction)
    }

    /// Runs the statements of one simple query.
    async fn run_query<C>(&self, client: &mut C, sql: &str) -> PgWireResult<()>
    where
        C: Sink<PgWireBackendMessage> + Unpin + Send,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let mut state = self.state.lock().await;
        let statements = split_statements(sql);
        if statements
            .iter()
            .all(|statement| statement.trim().is_empty())
        {
            let empty = PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new());
            return Ok(client.feed(empty).await?);
        }
        // In PostgreSQL, the statements of one simple query form an implicit transaction.
        let implicit = needs_implicit_transaction(&statements)
            && state.session.as_ref().map(CallerSession::transaction)
                == Some(TransactionState::Idle);
        if implicit {
            self.run_silently(&mut state, "BEGIN").await?;
        }
        for statement in &statements {
            let result = self.run_statement(client, &mut state, statement).await;
            if result.is_err() && implicit {
                // Only the first failure is reported; the link is closed in any case.
                let _ = self.run_silently(&mut state, "ROLLBACK").await;
            }
            result?;
        }
        if implicit {
            self.run_silently(&mut state, "COMMIT").await?;
        }
        self.report_token(client, &mut state).await
    }

    async fn run_statement<C>(
        &self,
        client: &mut C,
        state: &mut State<B::Session, F::Answer>,
        sql: &str,
    ) -> PgWireResult<()>
    where
        C: Sink<PgWireBackendMessage> + Unpin + Send,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let statement = Statement::simple(sql.trim());
        let mut reply = self
            .call(state, statement)
            .await
            .map_err(messages::error_response)?;
        while let Some(part) = reply.next().await.map_err(messages::error_response)? {
            let message = match part {
                Part::Columns(columns) if columns.is_empty() => continue,
                Part::Parameters(_) => continue,
                Part::Columns(columns) => messages::row_description(&columns),
                Part::Row { fields, data } => messages::data_row(fields, data),
                Part::Done { tag, .. } => messages::command_complete(&tag),
            };
            client.feed(message).await?;
        }
        Ok(())
    }

    /// Runs a statement and discards its answer.
    async fn run_silently(
        &self,
        state: &mut State<B::Session, F::Answer>,
        sql: &'static str,
    ) -> PgWireResult<()> {
        let result = async {
            let mut reply = self.call(state, Statement::simple(sql)).await?;
            while reply.next().await?.is_some() {}
            Ok(())
        };
        result.await.map_err(messages::error_response)
    }

    /// Passes a statement through the filter chain.
    pub(crate) async fn call(
        &self,
        state: &mut State<B::Session, F::Answer>,
        statement: Statement,
    ) -> Result<Reply<F::Answer>, Failure> {
        let State {
            session, options, ..
        } = state;
        let Some(session) = session else {
            return Err(messages::no_session());
        };
        self.shared.filter.call(session, options, statement).await
    }

    /// Reports the causal token to the caller if it has changed since the last report.
    pub(crate) async fn report_token<C>(
        &self,
        client: &mut C,
        state: &mut State<B::Session, F::Answer>,
    ) -> PgWireResult<()>
    where
        C: Sink<PgWireBackendMessage> + Unpin + Send,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let token = state.session.as_ref().and_then(CallerSession::token);
        if token == state.reported_token {
            return Ok(());
        }
        if let Some(token) = &token {
            client.feed(messages::token_status(token)).await?;
        }
        state.reported_token = token;
        Ok(())
    }
}

fn needs_implicit_transaction(statements: &[&str]) -> bool {
    let forwarded = statements.iter().filter(|statement| !is_local(statement));
    let explicit = statements.iter().any(|statement| {
        let word = statement.split_whitespace().next().unwrap_or_default();
        TRANSACTION_KEYWORDS
            .iter()
            .any(|w| word.eq_ignore_ascii_case(w))
    });
    !explicit && forwarded.count() > 1
}
