//! Relaying of other nodes' statements to a server whose connections this node holds.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use bytes::Bytes;
use siskinhook_telemetry::{Event, event};
use siskinhook_types::{LogPoint, ServerId, ServiceId};
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::{
    Connection, ConnectionError, Dialer, Gateway, ServerOp, ServerReply, TargetCode,
    TransactionState, attempt,
    group::Group,
    pool::{AcquireError, Leased, Target},
};

/// Timeout for acquiring a connection. The requesting node knows the statement's deadline and
/// retries within it.
const ACQUIRE_TIMEOUT: Duration = Duration::from_millis(400);
/// Queue priority of relayed statements: they wait behind control requests only.
const RELAY_PRIORITY: u8 = 1;

/// Prefix of a request whose reply is passed on only if the server's log counts as evidence of commits.
const WITNESS_PREFIX: &[u8] = b"WITNESS ";

/// A request that another node sends for relaying.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayedRequest {
    /// Id of the statement.
    pub id: SmolStr,
    /// Text of the request, forwarded unchanged.
    pub text: Bytes,
}

/// The relay side of one connection from another node. It occupies a connection to the server from
/// the first request until no transaction is open and no session state is set on it.
pub struct Relay<D: Dialer> {
    group: Rc<Group<D>>,
    target: Rc<Target<D>>,
    leased: Option<Leased<D>>,
    /// Whether session values or prepared statements are set on the connection.
    has_setup: bool,
    /// Whether a prepared statement on the connection writes.
    has_prepared_write: bool,
    state: TransactionState,
}

impl<D: Dialer> Relay<D> {
    /// Opens a relay to a server; `None` if this node is draining or does not hold the server's
    /// connections.
    pub fn open(gateway: &Gateway<D>, service: &ServiceId, server: &ServerId) -> Option<Self> {
        let group = gateway.group(service)?;
        let target = group.target(server)?;
        if gateway.is_draining() || !target.is_holder() {
            event!(
                Event::RelayRefused, server = server.as_str(), nodes = gateway.fleet.size();
                "refused to relay for another node: draining, or not a holder of the server's connections"
            );
            return None;
        }
        Some(Self {
            group,
            target,
            leased: None,
            has_setup: false,
            has_prepared_write: false,
            state: TransactionState::Idle,
        })
    }

    /// Whether the relay occupies a connection to the server.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.leased.is_some()
    }

    /// Forwards requests in order and returns the replies.
    ///
    /// # Errors
    /// The connection to the server broke after a request was sent.
    pub async fn forward(
        &mut self,
        requests: &[RelayedRequest],
    ) -> Result<Vec<ServerReply>, ConnectionError> {
        let mut leased = match self.leased.take() {
            Some(leased) => leased,
            None => match self.acquire().await {
                Ok(leased) => leased,
                Err(code) => {
                    self.log_refusal(requests, code);
                    return Ok(requests.iter().map(|_| refused_reply(code)).collect());
                }
            },
        };
        let mut writes = false;
        for request in requests {
            writes |= self.may_write(request);
        }
        let deadline = Instant::now() + ACQUIRE_TIMEOUT;
        if writes && !self.group.admits_write(&leased, deadline).await {
            self.log_refusal(requests, TargetCode::Busy);
            let refused = requests.iter().map(|_| ServerReply {
                state: self.state,
                ..refused_reply(TargetCode::Busy)
            });
            let replies = refused.collect();
            if self.state == TransactionState::Idle && !self.has_setup {
                leased.return_to_pool();
            } else {
                self.leased = Some(leased);
            }
            return Ok(replies);
        }
        let Some(pooled) = leased.pooled() else {
            return Err(ConnectionError::Closed("already released".into()));
        };
        let sent_at = Instant::now();
        let stale_replies = pooled.conn.outstanding();
        let skipped_replies = stale_replies + usize::from(attempt::queue_reset(pooled));
        for RelayedRequest { id, text } in requests {
            let (id, after) = (id.as_str(), None);
            let text = text.strip_prefix(WITNESS_PREFIX).unwrap_or(text);
            pooled.conn.push(&ServerOp::Forward { id, after, text });
            match words(text).next() {
                Some(b"SET" | b"PREPARE") => self.has_setup = true,
                Some(b"RESET") => self.has_setup = false,
                _ => {}
            }
        }
        pooled.conn.flush().await?;
        for _ in 0..skipped_replies {
            pooled.conn.next().await?;
        }
        let mut replies = Vec::with_capacity(requests.len());
        for _ in requests {
            replies.push(pooled.conn.next().await?);
        }
        self.target.record_success();
        leased.record_reply(sent_at);
        self.state = replies.last().map_or(self.state, |reply| reply.state);
        for (request, reply) in requests.iter().zip(&mut replies) {
            if request.text.starts_with(WITNESS_PREFIX) && !self.admits(&leased, sent_at, reply) {
                *reply = refused_reply(TargetCode::Busy);
            }
        }
        if self.state == TransactionState::Idle && !self.has_setup {
            leased.return_to_pool();
        } else {
            self.leased = Some(leased);
        }
        Ok(replies)
    }

    /// Whether a reply of the server counts as evidence of commits.
    fn admits(&self, leased: &Leased<D>, sent_at: Instant, reply: &ServerReply) -> bool {
        let is_admitted = |end: LogPoint| self.group.admits_witness(leased, sent_at, end.term);
        let admits = reply.point.is_some_and(is_admitted);
        if let Some(admission) = self.group.admission.as_ref().filter(|_| !admits) {
            // A commit of the other node may wait for it.
            admission.await_witness();
        }
        admits
    }

    /// Whether a request may commit a write, alone or later with its transaction. Called once for
    /// each request, in order.
    fn may_write(&mut self, request: &RelayedRequest) -> bool {
        let mut words = words(&request.text);
        match words.next() {
            Some(b"WRITE") => true,
            Some(b"PREPARE") => {
                self.has_prepared_write |= words.nth(1) == Some(b"WRITE");
                false
            }
            Some(b"RESET") => {
                self.has_prepared_write = false;
                false
            }
            Some(b"EXECUTE") => self.has_prepared_write,
            _ => false,
        }
    }

    fn log_refusal(&self, requests: &[RelayedRequest], code: TargetCode) {
        let server = self.target.instance.borrow().id.clone();
        event!(
            Event::AttemptFailed,
            request = requests.last().map_or("", |request| request.id.as_str()),
            server = server.as_str(), code:? = code;
            "cannot relay a statement of another node: no usable connection to the server in time"
        );
    }

    async fn acquire(&self) -> Result<Leased<D>, TargetCode> {
        let deadline = Instant::now() + ACQUIRE_TIMEOUT;
        let values = BTreeMap::new();
        match self.target.acquire(&values, RELAY_PRIORITY, deadline).await {
            Ok(leased) if leased.is_direct() => Ok(leased),
            Ok(leased) => {
                leased.return_to_pool();
                Err(TargetCode::Unreachable)
            }
            Err(AcquireError::Deadline) => Err(TargetCode::Busy),
            Err(AcquireError::Unreachable | AcquireError::Gone) => Err(TargetCode::Unreachable),
        }
    }
}

fn words(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    text.split(|byte| *byte == b' ')
}

/// Creates the reply to a request that was not forwarded.
fn refused_reply(code: TargetCode) -> ServerReply {
    ServerReply {
        rows: Vec::new(),
        result: Err((code, "not passed on".into())),
        state: TransactionState::Idle,
        point: None,
    }
}
