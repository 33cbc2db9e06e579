//! The tokio task of a node that drives the [`Controller`] and does its I/O.

use std::{future::Future, sync::Arc, time::Instant};

use siskinhook_types::{Catalogue, Change, FleetView, MemberState, NodeId, Platform, VmRecord};
use smol_str::{SmolStr, ToSmolStr};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinSet,
    time::{sleep_until, timeout},
};

use crate::{
    Action, Answer, CallId, CatalogueUpdate, Controller, FleetSettings, FleetStatus, Identity,
    PeerMessage, Peers, reader::read_catalogue,
};

/// Maximum number of queued commands, including requests from other nodes.
const COMMAND_QUEUE_CAPACITY: usize = 256;

/// Handle to the task that maintains the membership and the catalogue of a node.
///
/// The task ends after [`Fleet::stop`], or when all handles are dropped.
#[derive(Clone, Debug)]
pub struct Fleet {
    commands: mpsc::Sender<Command>,
    view: watch::Receiver<Arc<FleetView>>,
    catalogue: watch::Receiver<Arc<Catalogue>>,
    status: watch::Receiver<FleetStatus>,
    intent: watch::Sender<Intent>,
}

/// Target state of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intent {
    /// The node serves.
    Serve,
    /// The node finishes its work and idles until it is to serve again.
    Drain,
    /// The node finishes its work and its process exits.
    Stop,
}

impl Intent {
    /// Returns the intent of an operator's request: `true` to drain, `false` to serve again.
    #[must_use]
    pub const fn from_drain(drain: bool) -> Self {
        if drain { Self::Drain } else { Self::Serve }
    }
}

#[derive(Debug)]
enum Command {
    Request(PeerMessage, oneshot::Sender<PeerMessage>),
    Publish(Change),
    Leave,
    Stay,
    Stop(oneshot::Sender<()>),
}

/// Result of an I/O operation.
enum Completion {
    Call(CallId, Option<PeerMessage>),
    Relay {
        from: NodeId,
        target: NodeId,
        result: Option<PeerMessage>,
        reply: oneshot::Sender<PeerMessage>,
    },
    Catalogue(Result<CatalogueUpdate, SmolStr>),
    List(Option<Vec<VmRecord>>),
}

impl Fleet {
    /// Starts the task; must be called within a tokio runtime. `seed` initializes the random
    /// number generators.
    pub fn start<P: Peers, S: Platform>(
        settings: FleetSettings,
        identity: Identity,
        seed: u64,
        peers: P,
        platform: S,
    ) -> Self {
        let controller = Controller::new(settings.clone(), identity, seed, now());
        let (commands, inbox) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let (view, view_out) = watch::channel(Arc::new(controller.membership().view()));
        let (catalogue, catalogue_out) = watch::channel(Arc::default());
        let (status, status_out) = watch::channel(controller.status());
        let task = Task {
            settings,
            controller,
            peers,
            platform,
            inbox,
            pending: JoinSet::new(),
            view,
            catalogue,
            status,
        };
        tokio::spawn(task.run());
        Self {
            commands,
            view: view_out,
            catalogue: catalogue_out,
            status: status_out,
            intent: watch::Sender::new(Intent::Serve),
        }
    }

    /// Returns the local view of the members. A new view is published when the state, incarnation
    /// or address of a member changes.
    #[must_use]
    pub fn view(&self) -> watch::Receiver<Arc<FleetView>> {
        self.view.clone()
    }

    /// Returns the catalogue in force; an empty catalogue of revision 0 while there is none.
    #[must_use]
    pub fn catalogue(&self) -> watch::Receiver<Arc<Catalogue>> {
        self.catalogue.clone()
    }

    /// Returns the status of the node.
    #[must_use]
    pub fn status(&self) -> watch::Receiver<FleetStatus> {
        self.status.clone()
    }

    /// Returns the target state of the node, as set by operators and the process. The drain logic
    /// of the node acts on it; the fleet task does not.
    #[must_use]
    pub fn intent(&self) -> watch::Receiver<Intent> {
        self.intent.subscribe()
    }

    /// Sets the target state of the node. Returns false when it is already [`Intent::Stop`], which
    /// is final.
    #[must_use]
    pub fn set_intent(&self, intent: Intent) -> bool {
        let mut accepted = false;
        self.intent.send_if_modified(|current| {
            accepted = *current != Intent::Stop;
            let modified = accepted && *current != intent;
            if modified {
                *current = intent;
            }
            modified
        });
        accepted
    }

    fn accept_drain(&self, drain: bool, incarnation: u64) -> bool {
        let known = {
            let view = self.view.borrow();
            let local = view.members.get(&view.local);
            local.is_some_and(|local| local.incarnation == incarnation)
        };
        known && self.set_intent(Intent::from_drain(drain))
    }

    /// Handles a request from another node and returns the answer; `None` when the task has ended.
    pub async fn receive(&self, message: PeerMessage) -> Option<PeerMessage> {
        if let PeerMessage::Drain { drain, incarnation } = message {
            let accepted = self.accept_drain(drain, incarnation);
            return Some(PeerMessage::Drained(accepted));
        }
        let (reply, answer) = oneshot::channel();
        self.send(Command::Request(message, reply)).await;
        answer.await.ok()
    }

    /// Announces to all nodes that this one is leaving, so that it ranks last as owner.
    pub async fn announce_leaving(&self) {
        self.send(Command::Leave).await;
    }

    /// Cancels [`Fleet::announce_leaving`] with a higher incarnation, so that the node owns its
    /// servers again. Has no effect when the node is not leaving.
    pub async fn announce_staying(&self) {
        self.send(Command::Stay).await;
    }

    /// Applies a change that the platform has accepted and pushes it to other nodes.
    pub async fn publish(&self, change: Change) {
        self.send(Command::Publish(change)).await;
    }

    /// Announces that the node has stopped, and ends the task after the announcement was sent.
    pub async fn stop(&self) {
        let (reply, stopped) = oneshot::channel();
        self.send(Command::Stop(reply)).await;
        // An error only means that the task dropped the sender when it ended.
        let _ = stopped.await;
    }

    async fn send(&self, command: Command) {
        if self.commands.send(command).await.is_err() {
            log::debug!("fleet task has ended; dropping a command");
        }
    }
}

struct Task<P, S> {
    settings: FleetSettings,
    controller: Controller,
    peers: P,
    platform: S,
    inbox: mpsc::Receiver<Command>,
    pending: JoinSet<Completion>,
    view: watch::Sender<Arc<FleetView>>,
    catalogue: watch::Sender<Arc<Catalogue>>,
    status: watch::Sender<FleetStatus>,
}

impl<P: Peers, S: Platform> Task<P, S> {
    async fn run(mut self) {
        loop {
            let deadline = tokio::time::Instant::from_std(self.controller.deadline());
            tokio::select! {
                command = self.inbox.recv() => match command {
                    Some(Command::Stop(reply)) => {
                        self.controller.stop(now());
                        self.controller.tick(now());
                        self.start_actions();
                        self.wait_for_pending().await;
                        drop(reply);
                        return;
                    }
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                Some(completion) = self.pending.join_next() => {
                    // An I/O task that panicked has no result, so its call is never completed.
                    if let Ok(completion) = completion {
                        self.handle_completion(completion);
                    }
                }
                () = sleep_until(deadline) => self.controller.tick(now()),
            }
            self.start_actions();
            self.publish_state();
        }
    }

    /// Waits until all pending I/O is done. Each operation has its own timeout.
    async fn wait_for_pending(&mut self) {
        while self.pending.join_next().await.is_some() {}
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Request(message, reply) => self.handle_request(message, reply),
            Command::Publish(change) => self.controller.receive_changes(now(), [change]),
            Command::Leave => self.controller.leave(now()),
            Command::Stay => self.controller.cancel_leave(now()),
            Command::Stop(_) => {}
        }
    }

    fn handle_request(&mut self, message: PeerMessage, reply: oneshot::Sender<PeerMessage>) {
        let relay = match &message {
            PeerMessage::Relay { digest, target } => Some((digest.from.clone(), target.clone())),
            _ => None,
        };
        match (self.controller.handle_request(now(), message), relay) {
            (Answer::Reply(answer), _) => {
                // The requesting side may have timed out.
                let _ = reply.send(answer);
            }
            (
                Answer::Relay {
                    address,
                    message,
                    timeout: limit,
                },
                Some((from, target)),
            ) => {
                let peers = self.peers.clone();
                self.pending.spawn(async move {
                    let call = peers.call(&address, message);
                    let result = timeout(limit, call).await.ok().and_then(Result::ok);
                    Completion::Relay {
                        from,
                        target,
                        result,
                        reply,
                    }
                });
            }
            (Answer::Relay { .. }, None) => {}
        }
    }

    fn handle_completion(&mut self, completion: Completion) {
        match completion {
            Completion::Call(id, result) => self.controller.call_completed(now(), id, result),
            Completion::Relay {
                from,
                target,
                result,
                reply,
            } => {
                let answer =
                    self.controller
                        .relay_completed(now(), &from, &target, result.as_ref());
                let _ = reply.send(answer);
            }
            Completion::Catalogue(result) => {
                if let Err(reason) = &result {
                    log::warn!(event = 3022_u32; "cannot read the catalogue from the platform, retrying: {reason}");
                }
                self.controller.read_completed(now(), result);
            }
            Completion::List(vms) => self.controller.list_completed(now(), vms.as_deref()),
        }
    }

    fn start_actions(&mut self) {
        for action in self.controller.take_actions() {
            match action {
                Action::Call(call) => {
                    let peers = self.peers.clone();
                    self.pending.spawn(async move {
                        let result = timeout(call.timeout, peers.call(&call.address, call.message));
                        Completion::Call(call.id, result.await.ok().and_then(Result::ok))
                    });
                }
                Action::ReadCatalogue { after } => {
                    let platform = self.platform.clone();
                    let limit = self.settings.call_timeout;
                    self.pending.spawn(async move {
                        let read = read_catalogue(&platform, after);
                        Completion::Catalogue(with_timeout(limit, read).await)
                    });
                }
                Action::ReadList => {
                    let platform = self.platform.clone();
                    let limit = self.settings.call_timeout;
                    self.pending.spawn(async move {
                        Completion::List(with_timeout(limit, platform.vms()).await.ok())
                    });
                }
            }
        }
    }

    fn publish_state(&mut self) {
        if self.controller.take_view_changed() {
            let view = Arc::new(self.controller.membership().view());
            log_state_changes(&self.view.borrow(), &view);
            self.view.send_replace(view);
        }
        if self.controller.take_catalogue_changed()
            && let Some(catalogue) = self.controller.propagation().catalogue()
        {
            log::debug!("catalogue revision {} is in force", catalogue.revision);
            self.catalogue.send_replace(Arc::clone(catalogue));
        }
        let status = self.controller.status();
        if *self.status.borrow() != status {
            if status.pauses > self.status.borrow().pauses {
                log::warn!(event = 1008_u32; "this node was paused or declared dead by other nodes; giving up ownership of its servers");
            }
            self.status.send_replace(status);
        }
    }
}

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

async fn with_timeout<T, E: ToString>(
    limit: std::time::Duration,
    work: impl Future<Output = Result<T, E>>,
) -> Result<T, SmolStr> {
    match timeout(limit, work).await {
        Ok(result) => result.map_err(|e| e.to_string().to_smolstr()),
        Err(_) => Err(format!("no answer within {} ms", limit.as_millis()).to_smolstr()),
    }
}

fn log_state_changes(before: &FleetView, after: &FleetView) {
    for (name, member) in &after.members {
        let old = before.members.get(name).map(|m| m.state);
        if old == Some(member.state) || (old.is_none() && member.state == MemberState::Alive) {
            continue;
        }
        log::debug!("node {name} in zone {} is {:?}", member.zone, member.state);
    }
}
