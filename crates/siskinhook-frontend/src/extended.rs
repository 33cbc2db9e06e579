//! Handler of the extended query protocol.

use std::{fmt::Debug, sync::Arc};

use async_trait::async_trait;
use futures::{Sink, SinkExt};
use pgwire::{
    api::{
        ClientInfo, ClientPortalStore, DEFAULT_NAME, PgWireConnectionState, Type,
        portal::{Format, Portal},
        query::ExtendedQueryHandler,
        results::{FieldInfo, Response},
        stmt::{QueryParser, StoredStatement},
        store::{Entry, PortalStore},
    },
    error::{PgWireError, PgWireResult},
    messages::{
        PgWireBackendMessage,
        data::NoData,
        extendedquery::{
            Bind, BindComplete, Close, CloseComplete, Describe, Execute, Flush, Parse,
            ParseComplete, PortalSuspended, Sync as PgSync, TARGET_TYPE_BYTE_STATEMENT,
        },
        response::{EmptyQueryResponse, ReadyForQuery},
    },
};
use siskinhook_types::{Column, Failure, Part, Statement};

use crate::{
    Answer, Backend, CallerSession, Filter, Reply,
    connection::{Connection, State},
    messages,
    portal::Prepared,
    simple::cancellable,
    statement_settings,
};

/// Keeps the text of a statement unparsed, because the target parses it.
#[derive(Debug)]
pub struct TextParser;

#[async_trait]
impl QueryParser for TextParser {
    type Statement = Prepared;

    async fn parse_sql<C>(
        &self,
        _client: &C,
        sql: &str,
        types: &[Option<Type>],
    ) -> PgWireResult<Option<Prepared>>
    where
        C: ClientInfo + Unpin + Send + Sync,
    {
        Ok(Some(Prepared {
            sql: sql.into(),
            types: types
                .iter()
                .map(|t| t.as_ref().map_or(0, Type::oid))
                .collect(),
        }))
    }

    fn get_parameter_types(&self, _statement: &Prepared) -> PgWireResult<Vec<Type>> {
        Ok(Vec::new())
    }

    fn get_result_schema(
        &self,
        _statement: &Prepared,
        _format: Option<&Format>,
    ) -> PgWireResult<Vec<FieldInfo>> {
        Ok(Vec::new())
    }
}

#[async_trait]
impl<B, F> ExtendedQueryHandler for Connection<B, F>
where
    B: Backend,
    F: Filter<B::Session>,
{
    type Statement = Prepared;
    type QueryParser = TextParser;

    fn query_parser(&self) -> Arc<TextParser> {
        Arc::new(TextParser)
    }

    async fn on_parse<C>(&self, client: &mut C, message: Parse) -> PgWireResult<()>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Prepared>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        self.send_deferred_description(client).await?;
        let name = message.name.unwrap_or_else(|| DEFAULT_NAME.to_owned());
        if message.query.trim().trim_end_matches(';').is_empty() {
            client.portal_store().put_empty_statement(&name);
        } else {
            let prepared = Prepared {
                sql: message.query.into(),
                types: message.type_oids,
            };
            let stored = StoredStatement::new(name, prepared, Vec::new());
            client.portal_store().put_statement(Arc::new(stored));
        }
        client
            .feed(PgWireBackendMessage::ParseComplete(ParseComplete::new()))
            .await?;
        Ok(())
    }

    async fn on_bind<C>(&self, client: &mut C, message: Bind) -> PgWireResult<()>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Prepared>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        self.send_deferred_description(client).await?;
        let statement = message.statement_name.as_deref().unwrap_or(DEFAULT_NAME);
        let portal = message.portal_name.as_deref().unwrap_or(DEFAULT_NAME);
        self.state.lock().await.portals.take_reply(portal);
        match client.portal_store().get_statement(statement) {
            Some(Entry::Value(statement)) => {
                let portal = Portal::try_new(&message, statement)?;
                client.portal_store().put_portal(Arc::new(portal));
            }
            Some(Entry::Empty) => client.portal_store().put_empty_portal(portal),
            None => return Err(PgWireError::StatementNotFound(statement.to_owned())),
        }
        client
            .feed(PgWireBackendMessage::BindComplete(BindComplete::new()))
            .await?;
        Ok(())
    }

    async fn on_execute<C>(&self, client: &mut C, message: Execute) -> PgWireResult<()>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Prepared>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let name = message.name.as_deref().unwrap_or(DEFAULT_NAME);
        let portal = match client.portal_store().get_portal(name) {
            Some(Entry::Value(portal)) => portal,
            Some(Entry::Empty) => {
                self.send_deferred_description(client).await?;
                let empty = PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new());
                return Ok(client.feed(empty).await?);
            }
            None => return Err(PgWireError::PortalNotFound(name.to_owned())),
        };
        client.set_state(PgWireConnectionState::QueryInProgress);
        let max_rows = usize::try_from(message.max_rows).unwrap_or(0);
        let result = cancellable(self, client, async |client: &mut C| {
            self.run_portal(client, name, &portal, max_rows).await
        })
        .await;
        client.set_transaction_status(messages::transaction_status(self.transaction().await));
        client.set_state(PgWireConnectionState::ReadyForQuery);
        result
    }

    async fn on_describe<C>(&self, client: &mut C, message: Describe) -> PgWireResult<()>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Prepared>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        self.send_deferred_description(client).await?;
        let name = message.name.as_deref().unwrap_or(DEFAULT_NAME);
        if message.target_type != TARGET_TYPE_BYTE_STATEMENT {
            return match client.portal_store().get_portal(name) {
                Some(Entry::Value(_)) => {
                    self.state.lock().await.portals.defer_description(name);
                    Ok(())
                }
                Some(Entry::Empty) => Ok(client
                    .feed(PgWireBackendMessage::NoData(NoData::new()))
                    .await?),
                None => Err(PgWireError::PortalNotFound(name.to_owned())),
            };
        }
        let Some(entry) = client.portal_store().get_statement(name) else {
            return Err(PgWireError::StatementNotFound(name.to_owned()));
        };
        let (types, columns) = match entry {
            Entry::Empty => (Vec::new(), Vec::new()),
            Entry::Value(stored) => self
                .describe(stored.statement.unbound_statement())
                .await
                .map_err(messages::error_response)?,
        };
        client.feed(messages::parameter_description(types)).await?;
        send_columns(client, &columns).await
    }

    async fn on_flush<C>(&self, client: &mut C, _message: Flush) -> PgWireResult<()>
    where
        C: ClientInfo + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        client.flush().await?;
        Ok(())
    }

    async fn on_sync<C>(&self, client: &mut C, _message: PgSync) -> PgWireResult<()>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Prepared>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        self.send_deferred_description(client).await?;
        let mut state = self.state.lock().await;
        let transaction = state
            .session
            .as_ref()
            .map_or(crate::TransactionState::Idle, CallerSession::transaction);
        if transaction == crate::TransactionState::Idle {
            // A portal lives until the end of its transaction.
            state.portals.clear();
        }
        self.report_token(client, &mut state).await?;
        drop(state);
        let status = messages::transaction_status(transaction);
        client.set_transaction_status(status);
        client
            .send(PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(
                status,
            )))
            .await?;
        Ok(())
    }

    async fn on_close<C>(&self, client: &mut C, message: Close) -> PgWireResult<()>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Prepared>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        self.send_deferred_description(client).await?;
        let name = message.name.as_deref().unwrap_or(DEFAULT_NAME);
        if message.target_type == TARGET_TYPE_BYTE_STATEMENT {
            client.portal_store().rm_statement(name);
        } else {
            self.state.lock().await.portals.take_reply(name);
            client.portal_store().rm_portal(name);
        }
        client
            .feed(PgWireBackendMessage::CloseComplete(CloseComplete::new()))
            .await?;
        Ok(())
    }

    async fn do_query<C>(
        &self,
        _client: &mut C,
        _portal: &Portal<Prepared>,
        _max_rows: usize,
    ) -> PgWireResult<Response>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Prepared>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        // `on_execute` is overridden instead, because an answer returned from here would have to be
        // buffered completely.
        Err(PgWireError::NotReadyForQuery)
    }
}

impl<B, F> Connection<B, F>
where
    B: Backend,
    F: Filter<B::Session>,
{
    /// Runs a portal, or resumes it if it was suspended.
    async fn run_portal<C>(
        &self,
        client: &mut C,
        name: &str,
        portal: &Portal<Prepared>,
        max_rows: usize,
    ) -> PgWireResult<()>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Prepared>,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let mut state = self.state.lock().await;
        let mut reply = match state.portals.take_reply(name) {
            Some(reply) => reply,
            None => self
                .call(&mut state, Prepared::bound_statement(portal))
                .await
                .map_err(messages::error_response)?,
        };
        let mut description_due = state.portals.take_deferred_description().is_some();
        let mut row_count = 0;
        while let Some(part) = reply.next().await.map_err(messages::error_response)? {
            match part {
                Part::Parameters(_) => {}
                Part::Columns(columns) => {
                    if std::mem::take(&mut description_due) {
                        send_columns(client, &columns).await?;
                    }
                }
                Part::Row { fields, data } => {
                    client.feed(messages::data_row(fields, data)).await?;
                    row_count += 1;
                    if row_count == max_rows {
                        state.portals.suspend(name, reply);
                        let suspended =
                            PgWireBackendMessage::PortalSuspended(PortalSuspended::new());
                        return Ok(client.feed(suspended).await?);
                    }
                }
                Part::Done { tag, .. } => {
                    if std::mem::take(&mut description_due) {
                        send_columns(client, &[]).await?;
                    }
                    client.feed(messages::command_complete(&tag)).await?;
                }
            }
        }
        Ok(())
    }

    /// Sends the deferred description of a portal if a message other than its Execute follows.
    async fn send_deferred_description<C>(&self, client: &mut C) -> PgWireResult<()>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Prepared>,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let Some(name) = self.state.lock().await.portals.take_deferred_description() else {
            return Ok(());
        };
        let Some(Entry::Value(portal)) = client.portal_store().get_portal(&name) else {
            return Err(PgWireError::PortalNotFound(name));
        };
        let (_, columns) = self
            .describe(Prepared::bound_statement(&portal))
            .await
            .map_err(messages::error_response)?;
        send_columns(client, &columns).await
    }

    /// Returns the parameter types and columns of a statement, as the target describes them.
    async fn describe(&self, statement: Statement) -> Result<(Vec<u32>, Vec<Column>), Failure> {
        if statement_settings::is_local(&statement.sql) {
            return Ok((Vec::new(), statement_settings::columns(&statement.sql)));
        }
        let mut state = self.state.lock().await;
        let State {
            session, options, ..
        } = &mut *state;
        let Some(session) = session else {
            return Err(messages::no_session());
        };
        session.set_options(options);
        let mut reply = Reply::Streamed(session.describe(statement).await?);
        read_description(&mut reply).await
    }
}

async fn read_description<A: Answer>(
    reply: &mut Reply<A>,
) -> Result<(Vec<u32>, Vec<Column>), Failure> {
    let mut description = (Vec::new(), Vec::new());
    while let Some(part) = reply.next().await? {
        match part {
            Part::Parameters(types) => description.0 = types,
            Part::Columns(columns) => description.1 = columns,
            Part::Row { .. } | Part::Done { .. } => {}
        }
    }
    Ok(description)
}

async fn send_columns<C>(client: &mut C, columns: &[Column]) -> PgWireResult<()>
where
    C: Sink<PgWireBackendMessage> + Unpin + Send,
    PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
{
    let message = if columns.is_empty() {
        PgWireBackendMessage::NoData(NoData::new())
    } else {
        messages::row_description(columns)
    };
    Ok(client.feed(message).await?)
}
