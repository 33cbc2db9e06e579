//! The speed at which the store answers reads, and the traffic that it sends to the nodes.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    ops::AddAssign,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{Response, StatusCode, body::Frame};
use serde_json::Value;
use tokio::{
    sync::{Mutex as FairMutex, oneshot},
    time::{Instant, sleep, sleep_until},
};

/// Size of the pieces in which a body passes a link of limited bandwidth.
const CHUNK_BYTES: usize = 16 * 1024;

pub type HttpResponse = Response<UnsyncBoxBody<Bytes, Infallible>>;

/// Name of a table of the store.
type TableName = String;

/// Builds a response with a complete body.
pub fn response(status: StatusCode, body: &Value) -> HttpResponse {
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
    /// Bytes per second that reach one node; `None` without a limit.
    pub bandwidth: Option<u32>,
}

/// Answers to reads that the store has worked on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub answers: u64,
    pub bytes: u64,
    /// Answers whose node had closed its connection before its turn ended.
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
    /// For each node, held while a piece of an answer passes its link.
    links: Vec<Arc<FairMutex<()>>>,
    /// Traffic to each node, by table.
    traffic: Mutex<BTreeMap<TableName, Vec<Traffic>>>,
}

impl Pace {
    pub fn new(nodes: usize) -> Arc<Self> {
        Arc::new(Self {
            settings: Mutex::default(),
            turn: FairMutex::default(),
            links: (0..nodes).map(|_| Arc::default()).collect(),
            traffic: Mutex::default(),
        })
    }

    fn settings(&self) -> PaceSettings {
        *self.settings.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn set(&self, settings: PaceSettings) {
        *self.settings.lock().unwrap_or_else(PoisonError::into_inner) = settings;
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
            pace.count(node, table, body.len(), sender.is_closed());
            let body = pace.limit(node, body);
            // The receiver is gone when the node has closed its connection.
            let _ = sender.send(Response::from_parts(head, body));
        });
        receiver.await.expect("the turn ends with an answer")
    }

    fn count(&self, node: usize, table: TableName, bytes: usize, is_unread: bool) {
        let mut traffic = self.traffic();
        let nodes = traffic.entry(table).or_default();
        nodes.resize(self.links.len(), Traffic::default());
        nodes[node] += Traffic {
            answers: 1,
            bytes: bytes as u64,
            unread: u64::from(is_unread),
        };
    }

    /// Limits a body to the bandwidth of the node's link, which concurrent answers share.
    fn limit(&self, node: usize, body: Bytes) -> UnsyncBoxBody<Bytes, Infallible> {
        let Some(bandwidth) = self.settings().bandwidth else {
            return Full::new(body).boxed_unsync();
        };
        let link = self.links[node].clone();
        let chunks = stream::unfold((link, body), move |(link, mut body)| async move {
            if body.is_empty() {
                return None;
            }
            let chunk = body.split_to(CHUNK_BYTES.min(body.len()));
            let guard = link.lock().await;
            let share = f64::from(u32::try_from(chunk.len()).unwrap_or(u32::MAX));
            sleep(Duration::from_secs_f64(share / f64::from(bandwidth))).await;
            drop(guard);
            Some((Ok(Frame::data(chunk)), (link, body)))
        });
        StreamBody::new(chunks).boxed_unsync()
    }
}
