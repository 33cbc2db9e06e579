//! The speed at which the store answers reads, and the traffic that it sends to the nodes.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    fmt::Display,
    ops::AddAssign,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{Response, StatusCode, body::Frame};
use tokio::{
    sync::{Mutex as FairMutex, oneshot},
    time::{Instant, sleep_until},
};

/// Size of the pieces in which a body passes a link of limited bandwidth.
const CHUNK_BYTES: usize = 16 * 1024;

/// Delay of timers within which a link counts as busy without a break.
const TIMER_SLACK: Duration = Duration::from_millis(20);

pub type HttpResponse = Response<UnsyncBoxBody<Bytes, Infallible>>;

/// Name of a table of the store.
type TableName = String;

/// Builds a response with a complete body.
pub fn response(status: StatusCode, body: impl Display) -> HttpResponse {
    let body = Full::new(Bytes::from(body.to_string()));
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

/// Speed of the store. The default is as fast as possible.
#[derive(Clone, Copy, Debug, Default)]
pub struct PaceSettings {
    /// Time that one answer to a read takes. Answers to all nodes take turns.
    pub turn: Duration,
    /// Whether an answer to a feed takes a turn even if it carries no changes.
    pub empty_turns: bool,
    /// Bytes per second that reach one node; `None` without a limit.
    pub bandwidth: Option<u32>,
}

/// Answers to reads that the store has worked on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub answers: u64,
    pub bytes: u64,
    /// Answers whose node closed its connection before it had received all of them.
    pub unread: u64,
}

impl AddAssign for Traffic {
    fn add_assign(&mut self, other: Self) {
        self.answers += other.answers;
        self.bytes += other.bytes;
        self.unread += other.unread;
    }
}

/// Paces the answers of one store and counts them.
pub struct Pace {
    settings: Mutex<PaceSettings>,
    /// Held during a turn. Waiting answers get it in the order of their requests.
    turn: FairMutex<()>,
    /// For each node, the time at which its link has passed all pieces so far. Held while a piece
    /// passes.
    links: Vec<FairMutex<Instant>>,
    /// Traffic to each node, by table.
    traffic: Mutex<BTreeMap<TableName, Vec<Traffic>>>,
}

impl Pace {
    pub fn new(nodes: usize) -> Arc<Self> {
        Arc::new(Self {
            settings: Mutex::default(),
            turn: FairMutex::default(),
            links: (0..nodes).map(|_| FairMutex::new(Instant::now())).collect(),
            traffic: Mutex::default(),
        })
    }

    fn settings(&self) -> PaceSettings {
        *self.settings.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn set(&self, settings: PaceSettings) {
        *self.settings.lock().unwrap_or_else(PoisonError::into_inner) = settings;
    }

    /// Returns whether answers without changes take turns.
    pub fn has_empty_turns(&self) -> bool {
        self.settings().empty_turns
    }

    fn traffic(&self) -> MutexGuard<'_, BTreeMap<TableName, Vec<Traffic>>> {
        self.traffic.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the traffic to each node since the last call, by table.
    pub fn take_traffic(&self) -> BTreeMap<TableName, Vec<Traffic>> {
        std::mem::take(&mut *self.traffic())
    }

    /// Builds an answer in its turn. The turn is used up even if the node closes its connection
    /// meanwhile.
    pub async fn serve(
        self: &Arc<Self>,
        node: usize,
        table: TableName,
        read: impl FnOnce() -> HttpResponse + Send + 'static,
    ) -> HttpResponse {
        let (sender, receiver) = oneshot::channel();
        let pace = self.clone();
        tokio::spawn(async move {
            let guard = pace.turn.lock().await;
            let end = Instant::now() + pace.settings().turn;
            let (head, body) = read().into_parts();
            // A complete body is collected without waiting.
            let Ok(body) = body.collect().await;
            let body = body.to_bytes();
            sleep_until(end).await;
            drop(guard);
            let sent = Traffic {
                answers: 1,
                bytes: body.len() as u64,
                unread: 0,
            };
            pace.count(node, &table, sent);
            let transfer = Transfer {
                pace,
                node,
                table,
                body,
            };
            // The receiver is gone when the node has closed its connection.
            let _ = sender.send(Response::from_parts(head, transfer.into_body()));
        });
        receiver.await.expect("the turn ends with an answer")
    }

    fn count(&self, node: usize, table: &str, traffic: Traffic) {
        let mut tables = self.traffic();
        let nodes = tables.entry(table.to_string()).or_default();
        nodes.resize(self.links.len(), Traffic::default());
        nodes[node] += traffic;
    }
}

/// The rest of an answer on its way to a node.
struct Transfer {
    pace: Arc<Pace>,
    node: usize,
    table: TableName,
    body: Bytes,
}

impl Transfer {
    fn into_body(self) -> UnsyncBoxBody<Bytes, Infallible> {
        let chunks = stream::unfold(self, |mut transfer| async move {
            let chunk = transfer.next_chunk().await?;
            Some((Ok(Frame::data(chunk)), transfer))
        });
        StreamBody::new(chunks).boxed_unsync()
    }

    /// Waits until the next piece has passed the node's link, which concurrent answers share.
    async fn next_chunk(&mut self) -> Option<Bytes> {
        if self.body.is_empty() {
            return None;
        }
        let Some(bandwidth) = self.pace.settings().bandwidth else {
            return Some(std::mem::take(&mut self.body));
        };
        let size = CHUNK_BYTES.min(self.body.len());
        let seconds = f64::from(u32::try_from(size).unwrap_or(u32::MAX)) / f64::from(bandwidth);
        let mut passed_at = self.pace.links[self.node].lock().await;
        // A busy link continues from the planned time, so that late timers do not add up.
        if *passed_at + TIMER_SLACK < Instant::now() {
            *passed_at = Instant::now();
        }
        *passed_at += Duration::from_secs_f64(seconds);
        sleep_until(*passed_at).await;
        drop(passed_at);
        Some(self.body.split_to(size))
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        if !self.body.is_empty() {
            let unread = Traffic {
                unread: 1,
                ..Traffic::default()
            };
            self.pace.count(self.node, &self.table, unread);
        }
    }
}
