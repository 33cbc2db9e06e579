//! A database server: terms, roles, log, sessions, slots and control commands.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use indexmap::IndexMap;
use siskinhook_types::{
    Column, Control, LogPoint, NodeId, Role, ServerId, ServerStatus, Statement, Term,
};
use tokio::{
    sync::{Semaphore, watch},
    time::{Instant, timeout_at},
};
use tokio_util::sync::CancellationToken;

use crate::{
    database::{self, Answer, Bound, SqlError, Store},
    lock,
    network::{Endpoint, Network, pace},
    sql,
};

/// Sizes and speeds of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerOptions {
    /// Statements that run at a time.
    pub slots: usize,
    /// Connections of any kind that are accepted.
    pub connections: usize,
    /// Time to set up a connection.
    pub setup: Duration,
    /// Time that a statement takes in its slot, besides `work_ms`.
    pub service: Duration,
    /// Password of every user.
    pub password: String,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self {
            slots: 2,
            connections: 16,
            setup: Duration::from_millis(12),
            service: Duration::from_micros(500),
            password: "siskinhook".into(),
        }
    }
}

/// An entry of a group's log: one committed transaction, or none for a promotion.
#[derive(Debug)]
pub(crate) struct LogEntry {
    /// Where it is in the log.
    pub point: LogPoint,
    /// When the primary committed it.
    pub at: Instant,
    /// Its writes.
    pub writes: Vec<Bound>,
}

/// Entries that a replica fetches at a time; the next fetch follows at once.
const BATCH: usize = 256;

/// A database server of a group.
#[derive(Debug)]
pub struct Server {
    endpoint: Endpoint,
    network: Network,
    options: ServerOptions,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    slots: Semaphore,
    /// Service time below a millisecond that was not slept yet.
    owed: Mutex<Duration>,
}

#[derive(Debug)]
struct State {
    term: Term,
    promoter: Option<NodeId>,
    role: Role,
    primary: Option<ServerId>,
    log: Vec<Arc<LogEntry>>,
    store: Store,
    contact: Option<Instant>,
    sessions: IndexMap<u64, Attached>,
    next_session: u64,
    holder: Option<(NodeId, u64)>,
    running: u32,
    crashed: bool,
    lag: Duration,
    slowness: Duration,
}

#[derive(Debug)]
struct Attached {
    node: NodeId,
    closed: CancellationToken,
}

/// What a replica fetched from its primary.
#[derive(Debug)]
pub(crate) struct Fetched {
    term: Term,
    primary: ServerId,
    /// Entries that both logs share.
    common: usize,
    entries: Vec<Arc<LogEntry>>,
}

impl Server {
    /// Creates a server with the seeded tables as the first log entry, in term 1.
    ///
    /// # Errors
    /// Fails when SQLite rejects a seed statement.
    pub fn new(
        endpoint: Endpoint,
        network: Network,
        options: ServerOptions,
        primary: &ServerId,
        seed: &[String],
    ) -> anyhow::Result<Arc<Self>> {
        let writes = seed
            .iter()
            .map(|text| Bound {
                parsed: sql::parse(text),
                values: Vec::new(),
            })
            .collect();
        let first = Arc::new(LogEntry {
            point: LogPoint::new(1, 1),
            at: Instant::now(),
            writes,
        });
        let store = Store::open().map_err(|error| anyhow::anyhow!("{error}"))?;
        replay(&store, &first).map_err(|error| anyhow::anyhow!("{error}"))?;
        let is_primary = endpoint.name == *primary;
        let slots = Semaphore::new(options.slots);
        Ok(Arc::new(Self {
            endpoint,
            network,
            options,
            state: Mutex::new(State {
                term: 1,
                promoter: None,
                role: if is_primary {
                    Role::Primary
                } else {
                    Role::Replica
                },
                primary: Some(primary.clone()),
                log: vec![first],
                store,
                contact: None,
                sessions: IndexMap::new(),
                next_session: 1,
                holder: None,
                running: 0,
                crashed: false,
                lag: Duration::ZERO,
                slowness: Duration::ZERO,
            }),
            changed: watch::Sender::new(0),
            slots,
            owed: Mutex::default(),
        }))
    }

    /// Returns the server's name and zone.
    #[must_use]
    pub fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Returns the server's options.
    #[must_use]
    pub fn options(&self) -> &ServerOptions {
        &self.options
    }

    pub(crate) fn network(&self) -> &Network {
        &self.network
    }

    /// Returns a receiver that learns of every change of log, term or role.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn notify(&self) {
        self.changed.send_modify(|version| *version += 1);
    }

    /// Returns the status.
    #[must_use]
    pub fn status(&self) -> ServerStatus {
        let state = lock(&self.state);
        ServerStatus {
            server: self.endpoint.name.clone(),
            role: state.role,
            term: state.term,
            promoter: state.promoter.clone(),
            last: state.last(),
            primary: state.primary.clone(),
            contact: match state.role {
                Role::Primary => Some(0),
                Role::Replica => state
                    .contact
                    .map(|at| u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX)),
            },
            connections: u32::try_from(state.sessions.len()).unwrap_or(u32::MAX),
            running: state.running,
            holder: state.holder.as_ref().map(|(node, _)| node.clone()),
        }
    }

    /// Sets how long after its commit an entry is applied on this replica.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.state).lag = lag;
        self.notify();
    }

    /// Sets a time that every statement takes in addition.
    pub fn set_slowness(&self, slowness: Duration) {
        lock(&self.state).slowness = slowness;
    }

    /// Returns whether the server is crashed.
    #[must_use]
    pub fn is_crashed(&self) -> bool {
        lock(&self.state).crashed
    }

    /// Ends the process: all sessions break, and open transactions are lost. Log, term and
    /// role remain, as on a disk.
    pub fn crash(&self) {
        let mut state = lock(&self.state);
        state.crashed = true;
        state.contact = None;
        state.holder = None;
        for (_, session) in state.sessions.drain(..) {
            session.closed.cancel();
        }
        drop(state);
        self.notify();
    }

    /// Starts the process again.
    pub fn restart(&self) {
        lock(&self.state).crashed = false;
        self.notify();
    }

    /// Opens a session for a node.
    ///
    /// # Errors
    /// 57P03 when the server is crashed, 53300 at the connection limit.
    pub(crate) fn attach(self: &Arc<Self>, node: NodeId) -> Result<Session, SqlError> {
        let mut state = lock(&self.state);
        if state.crashed {
            return Err(SqlError::new("57P03", "the server is not running"));
        }
        if state.sessions.len() >= self.options.connections {
            return Err(SqlError::new(
                "53300",
                format!(
                    "server {} has {} connections, its limit; close one first",
                    self.endpoint.name, self.options.connections
                ),
            ));
        }
        let id = state.next_session;
        state.next_session += 1;
        let closed = CancellationToken::new();
        state.sessions.insert(
            id,
            Attached {
                node,
                closed: closed.clone(),
            },
        );
        Ok(Session {
            server: self.clone(),
            id,
            closed,
            transaction: None,
        })
    }

    /// Runs a control command for a session.
    async fn control(&self, session: u64, command: &Control) -> ServerStatus {
        match command {
            Control::Status => {}
            Control::Wait { point, timeout } => {
                let deadline = Instant::now() + Duration::from_millis(*timeout);
                let mut changes = self.changes();
                while !lock(&self.state).last().covers(*point) {
                    if !matches!(timeout_at(deadline, changes.changed()).await, Ok(Ok(()))) {
                        break;
                    }
                }
            }
            Control::Fence { term, promoter } => lock(&self.state).fence(*term, promoter),
            Control::Promote { term, promoter } => {
                lock(&self.state).promote(&self.endpoint.name, *term, promoter);
            }
            Control::Follow { term, server } => {
                lock(&self.state).follow(&self.endpoint.name, *term, server);
            }
            Control::Lock { node } => lock(&self.state).take_lock(session, node),
            Control::Terminate { node } => lock(&self.state).terminate(session, node),
        }
        if !matches!(command, Control::Status | Control::Wait { .. }) {
            self.notify();
        }
        self.status()
    }

    /// Returns the term and the primary that this server wants entries from.
    pub(crate) fn following(&self) -> Option<(Term, ServerId)> {
        let state = lock(&self.state);
        match &state.primary {
            Some(primary) if state.role == Role::Replica && !state.crashed => {
                Some((state.term, primary.clone()))
            }
            _ => None,
        }
    }

    /// Reads the entries that a replica lacks, if this server is the primary of the term.
    pub(crate) fn fetch(&self, term: Term, replica: &Self) -> Option<Fetched> {
        let (length, last) = {
            let state = lock(&replica.state);
            (state.log.len(), state.last())
        };
        // Two logs with the same entry at a position agree up to it, since a term has one
        // primary; so the last equal position ends the common part.
        let agrees = |log: &[Arc<LogEntry>]| {
            length <= log.len() && (length == 0 || log[length - 1].point == last)
        };
        let points: Vec<LogPoint> = if agrees(&lock(&self.state).log) {
            Vec::new()
        } else {
            let state = lock(&replica.state);
            state.log.iter().map(|entry| entry.point).collect()
        };
        let state = lock(&self.state);
        if state.role != Role::Primary || state.term != term || state.crashed {
            return None;
        }
        let mut common = length;
        if !agrees(&state.log) {
            common = points.len().min(state.log.len());
            while common > 0 && points[common - 1] != state.log[common - 1].point {
                common -= 1;
            }
        }
        let entries = state.log[common..].iter().take(BATCH).cloned().collect();
        Some(Fetched {
            term,
            primary: self.endpoint.name.clone(),
            common,
            entries,
        })
    }

    /// Applies fetched entries that are due; returns when the next one is.
    ///
    /// Entries are accepted only while the server is still a replica of that primary and term.
    pub(crate) fn accept(&self, fetched: &Fetched) -> Result<Option<Instant>, SqlError> {
        let mut state = lock(&self.state);
        if state.role != Role::Replica
            || state.term != fetched.term
            || state.primary.as_ref() != Some(&fetched.primary)
            || state.crashed
        {
            return Ok(None);
        }
        state.contact = Some(Instant::now());
        let mut changed = false;
        if state.log.len() > fetched.common {
            state.truncate(fetched.common)?;
            changed = true;
        }
        let mut next = None;
        for entry in &fetched.entries {
            let due = entry.at + state.lag;
            if due > Instant::now() {
                next = Some(due);
                break;
            }
            replay(&state.store, entry)?;
            state.log.push(entry.clone());
            changed = true;
        }
        drop(state);
        if changed {
            self.notify();
        }
        Ok(next)
    }

    /// Waits for a slot and takes the statement's time in it.
    async fn occupy(&self, work: Duration) -> Result<Slot<'_>, SqlError> {
        let permit = self
            .slots
            .acquire()
            .await
            .map_err(|_| SqlError::new("57P03", "the server is stopping"))?;
        let slowness = {
            let mut state = lock(&self.state);
            state.running += 1;
            state.slowness
        };
        let slot = Slot {
            server: self,
            _permit: permit,
        };
        pace(&self.owed, self.options.service + slowness + work).await;
        Ok(slot)
    }
}

/// A slot in use.
struct Slot<'a> {
    server: &'a Server,
    _permit: tokio::sync::SemaphorePermit<'a>,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        lock(&self.server.state).running -= 1;
    }
}

/// Applies an entry in one transaction.
fn replay(store: &Store, entry: &LogEntry) -> Result<(), SqlError> {
    if entry.writes.is_empty() {
        return Ok(());
    }
    store.command("BEGIN")?;
    for write in &entry.writes {
        if let Err(error) = store.run(write, &[]) {
            store.command("ROLLBACK")?;
            return Err(error);
        }
    }
    store.command("COMMIT")
}

impl State {
    /// Returns the end of the log, which is what reads see.
    fn last(&self) -> LogPoint {
        self.log
            .last()
            .map_or(LogPoint::default(), |entry| entry.point)
    }

    /// Grants a term once, and only if it is higher; a fenced primary becomes a replica.
    fn fence(&mut self, term: Term, promoter: &NodeId) {
        if term > self.term {
            self.term = term;
            self.promoter = Some(promoter.clone());
            self.role = Role::Replica;
            self.primary = None;
            self.contact = None;
        }
    }

    /// Makes the server primary if the term was granted to the promoter and the server has
    /// followed nobody in it.
    fn promote(&mut self, name: &ServerId, term: Term, promoter: &NodeId) {
        if self.term == term
            && self.promoter.as_ref() == Some(promoter)
            && self.role == Role::Replica
            && self.primary.is_none()
        {
            self.role = Role::Primary;
            self.primary = Some(name.clone());
            self.append(Vec::new());
        }
    }

    /// Follows a primary of the same or a higher term.
    fn follow(&mut self, name: &ServerId, term: Term, server: &ServerId) {
        if term < self.term || server == name || (term == self.term && self.role == Role::Primary) {
            return;
        }
        if term > self.term {
            self.term = term;
            self.promoter = None;
            self.role = Role::Replica;
        }
        if self.primary.as_ref() != Some(server) {
            self.primary = Some(server.clone());
            self.contact = None;
        }
    }

    /// Takes the session lock if it is free, or held by an older session of the same node.
    fn take_lock(&mut self, session: u64, node: &NodeId) {
        if self
            .holder
            .as_ref()
            .is_none_or(|(holder, _)| holder == node)
        {
            self.holder = Some((node.clone(), session));
        }
    }

    /// Closes all sessions of a node except the one that asks.
    fn terminate(&mut self, session: u64, node: &NodeId) {
        self.sessions.retain(|id, attached| {
            let stays = attached.node != *node || *id == session;
            if !stays {
                attached.closed.cancel();
            }
            stays
        });
        self.release_lock();
    }

    /// Frees the lock when its session is gone.
    fn release_lock(&mut self) {
        if let Some((_, session)) = &self.holder
            && !self.sessions.contains_key(session)
        {
            self.holder = None;
        }
    }

    fn append(&mut self, writes: Vec<Bound>) -> LogPoint {
        let point = LogPoint::new(self.term, self.last().position + 1);
        self.log.push(Arc::new(LogEntry {
            point,
            at: Instant::now(),
            writes,
        }));
        point
    }

    /// Cuts the log and rebuilds the data from what is left.
    fn truncate(&mut self, length: usize) -> Result<(), SqlError> {
        let store = Store::open()?;
        for entry in &self.log[..length] {
            replay(&store, entry)?;
        }
        self.store = store;
        self.log.truncate(length);
        Ok(())
    }

    /// Fails when the session was closed: nothing of it may commit after the answer to the
    /// command that closed it, whichever thread its statement runs on.
    fn check_attached(&self, session: u64) -> Result<(), SqlError> {
        if self.sessions.contains_key(&session) {
            return Ok(());
        }
        Err(SqlError::new(
            "57P01",
            "the connection was terminated by an administrator",
        ))
    }

    fn check_writable(&self) -> Result<(), SqlError> {
        match self.role {
            Role::Primary => Ok(()),
            Role::Replica => Err(SqlError::new(
                "25006",
                "this server is a read-only replica; send writes to the primary",
            )),
        }
    }
}

/// An open transaction: a private copy of the data and the statements that ran on it.
#[derive(Debug)]
struct Transaction {
    read_only: bool,
    copy: Option<Store>,
    writes: Vec<(Bound, Answer)>,
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

impl Drop for Session {
    fn drop(&mut self) {
        let mut state = lock(&self.server.state);
        state.sessions.shift_remove(&self.id);
        state.release_lock();
    }
}

impl Session {
    /// Returns the token that is cancelled when the server closes the session.
    pub fn closed(&self) -> CancellationToken {
        self.closed.clone()
    }

    /// Returns the id of the session, unique on its server.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Returns the transaction status as in `ReadyForQuery`: `I`, `T` or `E`.
    pub fn status(&self) -> u8 {
        match &self.transaction {
            None => b'I',
            Some(transaction) if transaction.failed => b'E',
            Some(_) => b'T',
        }
    }

    /// Runs a control command.
    pub async fn control(&mut self, command: &Control) -> ServerStatus {
        let server = self.server.clone();
        server.control(self.id, command).await
    }

    /// Describes a statement without running it.
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
            Some(_) => self.run_inner(parsed, statement).await,
            None => self.run_alone(parsed, statement).await,
        }
    }

    /// Runs a statement outside a transaction.
    async fn run_alone(
        &mut self,
        parsed: sql::Parsed,
        statement: &Statement,
    ) -> Result<Answer, SqlError> {
        let server = self.server.clone();
        let bound = lock(&server.state).store.bind(parsed, statement)?;
        let _slot = server.occupy(database::work(&bound)).await?;
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
    async fn run_inner(
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
        let _slot = server.occupy(database::work(&bound)).await?;
        let is_nested = matches!(
            bound.parsed.word(0).as_str(),
            "SAVEPOINT" | "RELEASE" | "ROLLBACK"
        );
        let is_read = copy.is_read(&bound)? && !is_nested;
        if !is_read && !is_nested {
            if transaction.read_only {
                return Err(SqlError::new("25006", "the transaction is read-only"));
            }
            lock(&server.state).check_writable()?;
        }
        let answer = copy.run(&bound, &statement.results)?;
        if is_nested {
            transaction.failed = false;
        }
        if !is_read || bound.parsed.locking {
            transaction.writes.push((bound, answer.clone()));
        }
        Ok(answer)
    }

    /// Commits: the writes run again on the committed data, and must do the same there as on
    /// the private copy.
    async fn commit(&mut self) -> Result<Answer, SqlError> {
        let Some(transaction) = self.transaction.take() else {
            return Ok(Answer::tag("COMMIT"));
        };
        if transaction.failed {
            return Ok(Answer::tag("ROLLBACK"));
        }
        let server = self.server.clone();
        let _slot = server.occupy(Duration::ZERO).await?;
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

/// Returns whether a statement concerns the session only and has no columns or parameters.
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
