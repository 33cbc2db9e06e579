//! One attempt to run a statement on one connection.

use std::{
    collections::BTreeMap,
    fmt,
    hash::{DefaultHasher, Hash, Hasher},
};

use bytes::Bytes;
use siskinhook_types::{LogPoint, Term};
use smol_str::{SmolStr, format_smolstr};
use tokio::time::{Instant, timeout_at};

use crate::{
    BootInstant, Connection, ConnectionError, Dialer, PreparedStatement, ServerOp, ServerReply,
    TargetCode, TransactionState,
    group::Group,
    pool::{Leased, Pooled},
};

/// Prepared statements on one connection before it is reset, which bounds the servers' memory.
const MAX_PREPARED: usize = 200;

/// A caller's statement as sent to a server.
#[derive(Clone, Copy)]
pub struct Statement<'a> {
    pub id: &'a str,
    pub text: &'a [u8],
    /// The prepared statement and its arguments, to be run instead of `text`.
    pub prepared: Option<(&'a PreparedStatement, &'a [u8])>,
    pub writes: bool,
    /// Session values that the connection must have.
    pub values: &'a BTreeMap<Bytes, Bytes>,
}

impl<'a> Statement<'a> {
    /// Creates an empty statement, for running only a check.
    pub const fn empty(values: &'a BTreeMap<Bytes, Bytes>) -> Self {
        Self {
            id: "",
            text: b"",
            prepared: None,
            writes: false,
            values,
        }
    }
}

/// Check that the server must pass before the statement is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// No check; the server itself refuses a statement that it may not run.
    None,
    /// The server must be the primary.
    IsPrimary,
    /// The server must open the statement's transaction.
    Begin {
        read_only: bool,
        after: Option<LogPoint>,
    },
}

impl Check {
    /// Whether a server that passes the check claims to be the primary.
    pub const fn claims_primary(self) -> bool {
        matches!(
            self,
            Self::IsPrimary
                | Self::Begin {
                    read_only: false,
                    ..
                }
        )
    }
}

/// Why an attempt failed.
#[derive(Debug)]
pub enum AttemptError {
    /// The statement was not sent; the connection broke.
    NotSent(ConnectionError),
    /// The statement was not sent because the server rejected the set-up or the check. The
    /// connection is unchanged.
    Rejected(TargetCode),
    /// The statement was sent and the connection broke.
    Lost(ConnectionError),
    /// The statement was not sent: the server claims to lead this term, but no replica confirms it.
    Unconfirmed(Term),
    /// The statement was not sent: the server is a primary whose replacement may be pending.
    Replaceable,
    /// The statement was not sent: this node reaches too few replicas to tell whether its commit
    /// would outlast the primary.
    Unwitnessed,
    /// The deadline passed; `true` if the statement had been sent.
    Deadline(bool),
}

impl fmt::Display for AttemptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(error) => write!(f, "not sent: {error}"),
            Self::Rejected(code) => write!(f, "not sent: the server answered {code:?}"),
            Self::Lost(error) => write!(f, "sent, no answer: {error}"),
            Self::Unconfirmed(_) => {
                f.write_str("not sent: no replica confirms that the server leads")
            }
            Self::Replaceable => {
                f.write_str("not sent: a replacement of the primary may be pending")
            }
            Self::Unwitnessed => f.write_str("not sent: too few replicas are reached"),
            Self::Deadline(false) => f.write_str("not sent: no reply to the set-up in time"),
            Self::Deadline(true) => f.write_str("sent, no answer in time"),
        }
    }
}

/// Sets the statement's session state on a connection and runs the check. Returns the end of the
/// server's log if the server claims to be the primary.
pub async fn prepare<D: Dialer>(
    group: &Group<D>,
    leased: &mut Leased<D>,
    statement: &Statement<'_>,
    check: Check,
    deadline: Instant,
) -> Result<Option<LogPoint>, AttemptError> {
    let target = leased.target().cloned();
    let Some(entry) = leased.pooled() else {
        return Err(AttemptError::NotSent(ConnectionError::Closed(
            "already released".into(),
        )));
    };
    let stale_replies = entry.conn.outstanding();
    queue_setup(entry, statement);
    let changed = entry.conn.outstanding() > stale_replies;
    let (sent_at, started) = (BootInstant::now(), Instant::now());
    match check {
        Check::None => {}
        Check::IsPrimary => {
            let read_only = false;
            let after = None;
            entry.conn.push(&ServerOp::Begin { read_only, after });
            entry.conn.push(&ServerOp::Rollback);
        }
        Check::Begin { read_only, after } => entry.conn.push(&ServerOp::Begin { read_only, after }),
    }
    let replies = entry.conn.outstanding();
    if replies == 0 {
        return Ok(None);
    }
    let exchange = async {
        entry.conn.flush().await?;
        let mut last_position = None;
        let mut refused = None;
        for index in 0..replies {
            let reply = entry.conn.next().await?;
            if index < stale_replies {
                continue;
            }
            if let Err((code, _)) = &reply.result {
                refused.get_or_insert(*code);
            } else if reply.point.is_some() {
                last_position = reply.point;
            }
        }
        Ok::<_, ConnectionError>((last_position, refused))
    };
    let (point, refused) = match timeout_at(deadline, exchange).await {
        Ok(Ok(result)) => result,
        Ok(Err(error)) => return Err(AttemptError::NotSent(error)),
        Err(_) => return Err(AttemptError::Deadline(false)),
    };
    leased.record_reply(started);
    if let Some(code) = refused {
        // The refused values or statements are recorded as set, so the connection cannot be reused.
        if changed && code == TargetCode::Busy {
            let reason = "the server refused the session set-up".into();
            return Err(AttemptError::NotSent(ConnectionError::Closed(reason)));
        }
        return Err(AttemptError::Rejected(code));
    }
    if let (true, Some(target), Some(point)) = (check.claims_primary(), target, point) {
        group.counters().primary_checks.add(1);
        target.record_success();
        group.record_primary(&target, sent_at, point);
        return Ok(Some(point));
    }
    Ok(None)
}

/// Queues the requests that set the session's values and the prepared statement on the connection.
fn queue_setup<C: Connection>(entry: &mut Pooled<C>, statement: &Statement<'_>) {
    let stale = entry
        .values
        .keys()
        .any(|name| !statement.values.contains_key(name));
    if stale || entry.prepared.len() > MAX_PREPARED {
        queue_reset(entry);
    }
    for (name, value) in statement.values {
        if entry.values.get(name) != Some(value) {
            entry.conn.push(&ServerOp::Set { name, value });
            entry.values.insert(name.clone(), value.clone());
        }
    }
    let Some((stmt, _)) = statement.prepared else {
        return;
    };
    let name = prepared_name(stmt);
    if !entry.prepared.contains(&name) {
        let (writes, text) = (stmt.writes, stmt.text.as_ref());
        let name = name.as_str();
        entry.conn.push(&ServerOp::Prepare { name, writes, text });
        entry.prepared.insert(name.into());
    }
}

/// Queues a reset of the connection if any session state is set on it. Returns whether it did.
pub fn queue_reset<C: Connection>(entry: &mut Pooled<C>) -> bool {
    let has_setup = entry.is_set_up();
    if has_setup {
        entry.conn.push(&ServerOp::Reset);
        entry.values.clear();
        entry.prepared.clear();
    }
    has_setup
}

/// Returns the server-side name of a prepared statement, which all sessions share.
fn prepared_name(stmt: &PreparedStatement) -> SmolStr {
    let mut hasher = DefaultHasher::new();
    stmt.hash(&mut hasher);
    format_smolstr!("p{:016x}", hasher.finish())
}

/// Sends the statement and waits for the reply.
pub async fn run<D: Dialer>(
    group: &Group<D>,
    leased: &mut Leased<D>,
    statement: &Statement<'_>,
    after: Option<LogPoint>,
    deadline: Instant,
) -> Result<ServerReply, AttemptError> {
    let target = leased.target().cloned();
    let Some(entry) = leased.pooled() else {
        return Err(AttemptError::NotSent(ConnectionError::Closed(
            "already released".into(),
        )));
    };
    let id = statement.id;
    if let Some((stmt, arguments)) = statement.prepared {
        let name = prepared_name(stmt);
        let name = name.as_str();
        entry.conn.push(&ServerOp::Execute {
            id,
            after,
            name,
            arguments,
        });
    } else {
        let text = statement.text;
        entry.conn.push(&ServerOp::Forward { id, after, text });
    }
    let started = Instant::now();
    let conn = &mut entry.conn;
    let exchange = async {
        conn.flush().await?;
        conn.next().await
    };
    match timeout_at(deadline, exchange).await {
        Ok(Ok(reply)) => {
            leased.record_reply(started);
            if let Some(target) = target.filter(|_| reply.point.is_some()) {
                target.record_success();
                if reply.result.is_ok() {
                    if let Some(end) = reply.point.filter(|_| !group.is_leader(&target)) {
                        group.record_log(leased, &target, started, end);
                    }
                    target.record_latency(started.elapsed());
                }
            }
            Ok(reply)
        }
        Ok(Err(error)) => Err(AttemptError::Lost(error)),
        Err(_) => Err(AttemptError::Deadline(true)),
    }
}

/// Returns the connection to the pool after rolling back an open transaction.
pub async fn release<D: Dialer>(mut leased: Leased<D>, state: TransactionState) {
    if state != TransactionState::Idle {
        let Some(entry) = leased.pooled() else {
            return;
        };
        entry.conn.push(&ServerOp::Rollback);
        // Dropping the lease closes a connection that cannot be written to.
        if entry.conn.flush().await.is_err() {
            return;
        }
    }
    leased.return_to_pool();
}
