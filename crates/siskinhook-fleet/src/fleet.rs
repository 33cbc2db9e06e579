//! The I/O shell: one task per node that drives the [`Controller`].

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

/// Requests of other nodes that wait for the task.
const COMMAND_QUEUE_CAPACITY: usize = 256;

/// Handle to the task that keeps membership and catalogue of a node.
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

/// What is wanted of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intent {
    /// It serves.
    Serve,
    /// It finishes its work and stays as an empty node until it is to serve again.
    Drain,
    /// It finishes its work and ends.
    Stop,
}

impl Intent {
    /// Returns what an operator's request to drain, or to serve again, asks for.
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

/// A finished piece of I/O.
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
    /// Starts the task. `seed` determines all random choices.
    ///
    /// Must be called within a tokio runtime.
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

    /// Returns the members as the node sees them. A new view is published when the state,
    /// incarnation or address of a member changes.
    #[must_use]
    pub fn view(&self) -> watch::Receiver<Arc<FleetView>> {
        self.view.clone()
    }

    /// Returns the catalogue in force; revision 0 while there is none.
    #[must_use]
    pub fn catalogue(&self) -> watch::Receiver<Arc<Catalogue>> {
        self.catalogue.clone()
    }

    /// Returns the status: pauses, and what the node waits for.
    #[must_use]
    pub fn status(&self) -> watch::Receiver<FleetStatus> {
        self.status.clone()
    }

    /// Returns what operators and the process want of the node. The node's drain follows this
    /// value; the fleet task does not act on it.
    #[must_use]
    pub fn intent(&self) -> watch::Receiver<Intent> {
        self.intent.subscribe()
    }

    /// Changes what is wanted of the node. Returns false when the node is to stop already,
    /// which nothing takes back.
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

    /// Answers a request of another node; `None` when the task has ended.
    pub async fn receive(&self, message: PeerMessage) -> Option<PeerMessage> {
        if let PeerMessage::Drain { drain, incarnation } = message {
            let accepted = self.accept_drain(drain, incarnation);
            return Some(PeerMessage::Drained(accepted));
        }
        let (reply, answer) = oneshot::channel();
        self.send(Command::Request(message, reply)).await;
        answer.await.ok()
    }

    /// Announces to all nodes that this one is leaving; it then ranks last as owner.
    pub async fn announce_leaving(&self) {
        self.send(Command::Leave).await;
    }

    /// Announces that the node stays after all, with a higher incarnation; it then takes its
    /// ownerships back. Without effect unless the node had announced that it is leaving.
    pub async fn announce_staying(&self) {
        self.send(Command::Stay).await;
    }

    /// Spreads a change that the platform accepted.
    pub async fn publish(&self, change: Change) {
        self.send(Command::Publish(change)).await;
    }

    /// Announces that the node is gone and ends the task once the announcement was sent.
    pub async fn stop(&self) {
        let (reply, stopped) = oneshot::channel();
        self.send(Command::Stop(reply)).await;
        // The sender is dropped when the task ends.
        let _ = stopped.await;
    }

    async fn send(&self, command: Command) {
        if self.commands.send(command).await.is_err() {
            log::debug!("the fleet task has ended; a command to it was dropped");
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
                    // An I/O task that panicked has no result; its call stays unanswered.
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

    /// Waits for the last announcement to be sent; each call has its own timeout.
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
                // The caller may have given up.
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
                    log::warn!(event = 3022_u32; "the catalogue could not be read from the platform: {reason}");
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
                log::warn!(event = 1008_u32; "this node was paused or held dead by others; it gives up its servers");
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
