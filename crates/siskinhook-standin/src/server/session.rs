//! A session of a server, and its transaction.

use std::{sync::Arc, time::Duration};

use siskinhook_types::{Column, Control, ServerStatus, Statement};
use tokio_util::sync::CancellationToken;

use super::Server;
use crate::{
    database::{self, Answer, BoundStatement, SqlError, Store},
    lock, sql,
};

/// An open transaction, with a private copy of the data and the statements to repeat at commit.
#[derive(Debug)]
struct Transaction {
    read_only: bool,
    copy: Option<Store>,
    writes: Vec<(BoundStatement, Answer)>,
    failed: bool,
}

/// A session of a server. Dropping it rolls back its open transaction.
#[derive(Debug)]
pub(crate) struct Session {
    server: Arc<Server>,
    id: u64,
    closed: CancellationToken,
    transaction: Option<Transaction>,
}

/// Guard that marks a session as running a statement.
struct ActiveGuard {
    server: Arc<Server>,
    id: u64,
}

impl ActiveGuard {
    fn enter(server: &Arc<Server>, id: u64) -> Self {
        lock(&server.state).active_sessions.insert(id);
        Self {
            server: server.clone(),
            id,
        }
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        lock(&self.server.state).active_sessions.remove(&self.id);
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        let mut state = lock(&self.server.state);
        state.sessions.shift_remove(&self.id);
        state.release_lock();
    }
}

impl Session {
    /// Creates a session that the server has registered under `id`.
    pub(super) fn new(server: Arc<Server>, id: u64, closed: CancellationToken) -> Self {
        Self {
            server,
            id,
            closed,
            transaction: None,
        }
    }

    /// Returns the token that is cancelled when the server closes the session.
    pub fn closed(&self) -> CancellationToken {
        self.closed.clone()
    }

    /// Returns the id of the session, unique on its server.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Returns the transaction status as reported in `ReadyForQuery`: `I`, `T` or `E`.
    pub fn status(&self) -> u8 {
        match &self.transaction {
            None => b'I',
            Some(transaction) if transaction.failed => b'E',
            Some(_) => b'T',
        }
    }

    /// Runs a control command on the server.
    pub async fn control(&mut self, command: &Control) -> ServerStatus {
        let server = self.server.clone();
        server.control(self.id, command).await
    }

    /// Returns the parameter types and columns of a statement without running it.
    pub fn describe(&self, statement: &Statement) -> Result<(Vec<u32>, Vec<Column>), SqlError> {
        let parsed = sql::parse(&statement.sql);
        if is_session_command(&parsed.word(0)) {
            return Ok((Vec::new(), Vec::new()));
        }
        if let Some(Transaction {
            copy: Some(copy), ..
        }) = &self.transaction
        {
            return copy.describe(&parsed, &statement.types, &statement.results);
        }
        lock(&self.server.state)
            .store
            .describe(&parsed, &statement.types, &statement.results)
    }

    /// Runs a statement.
    pub async fn run(&mut self, statement: &Statement) -> Result<Answer, SqlError> {
        let _active = ActiveGuard::enter(&self.server, self.id);
        let parsed = sql::parse(&statement.sql);
        let result = self.dispatch(parsed, statement).await;
        if result.is_err()
            && let Some(transaction) = &mut self.transaction
        {
            transaction.failed = true;
        }
        result
    }

    async fn dispatch(
        &mut self,
        parsed: sql::Parsed,
        statement: &Statement,
    ) -> Result<Answer, SqlError> {
        let first = parsed.word(0);
        let to_savepoint = parsed
            .tokens
            .iter()
            .any(|token| token.eq_ignore_ascii_case("to"));
        match first.as_str() {
            "BEGIN" | "START" => {
                if self.transaction.is_some() {
                    return Err(SqlError::new("25001", "a transaction is already open"));
                }
                self.transaction = Some(Transaction {
                    read_only: parsed
                        .tokens
                        .iter()
                        .any(|token| token.eq_ignore_ascii_case("only")),
                    copy: None,
                    writes: Vec::new(),
                    failed: false,
                });
                return Ok(Answer::tag("BEGIN"));
            }
            "COMMIT" | "END" => return self.commit().await,
            "ROLLBACK" | "ABORT" if !to_savepoint => {
                self.transaction = None;
                return Ok(Answer::tag("ROLLBACK"));
            }
            "SET" | "RESET" | "DISCARD" | "DEALLOCATE" => return Ok(Answer::tag(first)),
            _ => {}
        }
        match &self.transaction {
            Some(transaction) if transaction.failed && first != "ROLLBACK" => Err(SqlError::new(
                "25P02",
                "the transaction failed; commands are ignored until it ends",
            )),
            Some(_) => self.run_in_transaction(parsed, statement).await,
            None => self.run_autocommit(parsed, statement).await,
        }
    }

    /// Runs a statement outside a transaction.
    async fn run_autocommit(
        &mut self,
        parsed: sql::Parsed,
        statement: &Statement,
    ) -> Result<Answer, SqlError> {
        let server = self.server.clone();
        let bound = lock(&server.state).store.bind(parsed, statement)?;
        let _slot = server
            .acquire_slot(database::simulated_work(&bound))
            .await?;
        let mut state = lock(&server.state);
        state.check_attached(self.id)?;
        if state.store.is_read(&bound)? {
            return state.store.run(&bound, &statement.results);
        }
        state.check_writable()?;
        state.store.command("BEGIN")?;
        match state.store.run(&bound, &statement.results) {
            Ok(mut answer) => {
                state.store.command("COMMIT")?;
                answer.point = Some(state.append(vec![bound]));
                drop(state);
                server.notify();
                Ok(answer)
            }
            Err(error) => {
                state.store.command("ROLLBACK")?;
                Err(error)
            }
        }
    }

    /// Runs a statement on the private copy of the open transaction.
    async fn run_in_transaction(
        &mut self,
        parsed: sql::Parsed,
        statement: &Statement,
    ) -> Result<Answer, SqlError> {
        let server = self.server.clone();
        let Some(transaction) = &mut self.transaction else {
            return Err(SqlError::new("25P01", "no transaction is open"));
        };
        if transaction.copy.is_none() {
            let copy = lock(&server.state).store.copy()?;
            copy.command("BEGIN")?;
            transaction.copy = Some(copy);
        }
        let Some(copy) = &mut transaction.copy else {
            return Err(SqlError::new("XX000", "the transaction has no data"));
        };
        let bound = copy.bind(parsed, statement)?;
        let _slot = server
            .acquire_slot(database::simulated_work(&bound))
            .await?;
        let is_savepoint = matches!(
            bound.parsed.word(0).as_str(),
            "SAVEPOINT" | "RELEASE" | "ROLLBACK"
        );
        let is_read = copy.is_read(&bound)? && !is_savepoint;
        if !is_read && !is_savepoint {
            if transaction.read_only {
                return Err(SqlError::new("25006", "the transaction is read-only"));
            }
            lock(&server.state).check_writable()?;
        }
        let answer = copy.run(&bound, &statement.results)?;
        if is_savepoint {
            transaction.failed = false;
        }
        if !is_read || bound.parsed.locking {
            transaction.writes.push((bound, answer.clone()));
        }
        Ok(answer)
    }

    /// Commits the transaction. Its writes run again on the committed data and must have the same
    /// results there as on the private copy.
    async fn commit(&mut self) -> Result<Answer, SqlError> {
        let Some(transaction) = self.transaction.take() else {
            return Ok(Answer::tag("COMMIT"));
        };
        if transaction.failed {
            return Ok(Answer::tag("ROLLBACK"));
        }
        let server = self.server.clone();
        let _slot = server.acquire_slot(Duration::ZERO).await?;
        if transaction.writes.is_empty() {
            return Ok(Answer::tag("COMMIT"));
        }
        let mut state = lock(&server.state);
        state.check_attached(self.id)?;
        state.check_writable()?;
        state.store.command("BEGIN")?;
        let conflict = || {
            SqlError::new(
                "40001",
                "a concurrent transaction changed the same rows; run the transaction again",
            )
        };
        for (bound, before) in &transaction.writes {
            let formats: Vec<i16> = before.columns.iter().map(|column| column.format).collect();
            let error = match state.store.run(bound, &formats) {
                Ok(after) if after == *before => continue,
                Ok(_) => conflict(),
                Err(error) => error,
            };
            state.store.command("ROLLBACK")?;
            return Err(error);
        }
        state.store.command("COMMIT")?;
        let writes = transaction.writes.into_iter().map(|(bound, _)| bound);
        let mut answer = Answer::tag("COMMIT");
        answer.point = Some(state.append(writes.collect()));
        drop(state);
        server.notify();
        Ok(answer)
    }
}

/// Returns whether a statement only affects the session, and so has no columns or parameters.
fn is_session_command(word: &str) -> bool {
    matches!(
        word,
        "BEGIN"
            | "START"
            | "COMMIT"
            | "END"
            | "ROLLBACK"
            | "ABORT"
            | "SAVEPOINT"
            | "RELEASE"
            | "SET"
            | "RESET"
            | "DISCARD"
            | "DEALLOCATE"
    )
}
