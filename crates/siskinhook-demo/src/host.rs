//! Runs a node on a thread of its own, where it can be paused and killed.

use std::{
    sync::{Arc, Condvar, Mutex, PoisonError},
    thread,
};

use anyhow::Context;
use siskinhook_node::{Listeners, Node};
use siskinhook_settings::NodeSettings;
use tokio::{
    runtime::{Builder, Handle},
    sync::oneshot,
};

/// A node on its own thread with a single-threaded runtime.
///
/// Blocking that thread freezes the node as a stopped process would: no timer, no answer, and
/// the node does not notice until it goes on.
pub struct NodeHost {
    settings: NodeSettings,
    running: Mutex<Running>,
}

/// One run of the node.
struct Running {
    handle: Handle,
    pause: Arc<Pause>,
    end: Option<oneshot::Sender<End>>,
    ended: Option<oneshot::Receiver<bool>>,
}

#[derive(Default)]
struct Pause {
    paused: Mutex<bool>,
    resumed: Condvar,
}

enum End {
    Drain,
    Kill,
}

impl NodeHost {
    /// Starts a node and waits until it can serve callers.
    ///
    /// # Errors
    /// Fails when the node or its thread cannot be started.
    pub async fn start(settings: NodeSettings, listeners: Listeners) -> anyhow::Result<Self> {
        let (running, ready) = launch(settings.clone(), listeners).await?;
        ready.await.context("the node's thread ended")?;
        Ok(Self {
            settings,
            running: Mutex::new(running),
        })
    }

    /// Ends the node at once and starts it again on its addresses. Does not wait until it can
    /// serve callers.
    ///
    /// # Errors
    /// Fails when the node cannot be started.
    pub async fn restart(&self) -> anyhow::Result<()> {
        self.kill();
        self.ended().await;
        let listeners = Listeners::bind(&self.settings.addresses)?;
        let (running, _) = launch(self.settings.clone(), listeners).await?;
        *lock(&self.running) = running;
        Ok(())
    }

    /// Freezes the node.
    pub fn pause(&self) {
        let running = lock(&self.running);
        *lock(&running.pause.paused) = true;
        let pause = Arc::clone(&running.pause);
        running.handle.spawn(async move { pause.block() });
    }

    /// Lets a frozen node go on.
    pub fn resume(&self) {
        lock(&self.running).resume();
    }

    /// Ends the node at once: its connections break, nothing is announced.
    pub fn kill(&self) {
        lock(&self.running).end(End::Kill);
    }

    /// Drains the node; returns whether all work was finished.
    pub async fn drain(&self) -> bool {
        lock(&self.running).end(End::Drain);
        self.ended().await
    }

    async fn ended(&self) -> bool {
        let ended = lock(&self.running).ended.take();
        match ended {
            Some(ended) => ended.await.unwrap_or(false),
            None => false,
        }
    }
}

impl Running {
    fn resume(&self) {
        *lock(&self.pause.paused) = false;
        self.pause.resumed.notify_all();
    }

    fn end(&mut self, end: End) {
        self.resume();
        if let Some(sender) = self.end.take() {
            let _ = sender.send(end);
        }
    }
}

/// Starts a node on a thread of its own. The receiver tells when it can serve callers.
async fn launch(
    settings: NodeSettings,
    listeners: Listeners,
) -> anyhow::Result<(Running, oneshot::Receiver<()>)> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot create a runtime")?;
    let handle = runtime.handle().clone();
    let (end, ending) = oneshot::channel();
    let (ended_in, ended) = oneshot::channel();
    let (started_in, started) = oneshot::channel();
    let (ready_in, ready) = oneshot::channel();
    let name = settings.name.to_string();
    let run = move || {
        let finished = runtime.block_on(async {
            let node = match Node::start(settings, listeners).await {
                Ok(node) => node,
                Err(error) => {
                    let _ = started_in.send(Err(error));
                    return false;
                }
            };
            let _ = started_in.send(Ok(()));
            let mut ending = ending;
            let end = tokio::select! {
                biased;
                end = &mut ending => end,
                () = node.ready() => {
                    let _ = ready_in.send(());
                    ending.await
                }
            };
            match end.unwrap_or(End::Kill) {
                End::Drain => node.drain().await,
                End::Kill => false,
            }
        });
        runtime.shutdown_background();
        let _ = ended_in.send(finished);
    };
    thread::Builder::new()
        .name(name)
        .spawn(run)
        .context("cannot start a thread for the node")?;
    started.await.context("the node's thread ended")??;
    let running = Running {
        handle,
        pause: Arc::default(),
        end: Some(end),
        ended: Some(ended),
    };
    Ok((running, ready))
}

impl Pause {
    /// Blocks the node's only thread until it is resumed.
    fn block(&self) {
        let mut paused = lock(&self.paused);
        while *paused {
            paused = self
                .resumed
                .wait(paused)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
