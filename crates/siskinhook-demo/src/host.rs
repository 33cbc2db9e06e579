//! Runs a node on its own thread, where it can be paused, killed and restarted.

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
/// Blocking this thread freezes the node like a stopped process: no timer fires, nothing is
/// answered, and the node notices the pause only after it has resumed.
pub struct NodeHost {
    settings: NodeSettings,
    running: Mutex<Running>,
}

/// One run of the node.
struct Running {
    handle: Handle,
    pause: Arc<Pause>,
    stop: Option<oneshot::Sender<StopMode>>,
    stopped: Option<oneshot::Receiver<bool>>,
}

/// Flag that keeps the node's thread blocked while it is set.
#[derive(Default)]
struct Pause {
    paused: Mutex<bool>,
    resumed: Condvar,
}

/// How a node stops.
enum StopMode {
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
        ready
            .await
            .context("the node's thread ended before the node was ready")?;
        Ok(Self {
            settings,
            running: Mutex::new(running),
        })
    }

    /// Kills the node and starts it again on the same addresses. Does not wait until it can
    /// serve callers.
    ///
    /// # Errors
    /// Fails when the node cannot be started.
    pub async fn restart(&self) -> anyhow::Result<()> {
        self.kill();
        self.wait_stopped().await;
        let listeners = Listeners::bind(&self.settings.addresses)?;
        let (running, _) = launch(self.settings.clone(), listeners).await?;
        *lock(&self.running) = running;
        Ok(())
    }

    /// Freezes the node until [`NodeHost::resume`] is called or the node is stopped.
    pub fn pause(&self) {
        let running = lock(&self.running);
        *lock(&running.pause.paused) = true;
        let pause = Arc::clone(&running.pause);
        running.handle.spawn(async move { pause.block() });
    }

    /// Resumes a frozen node.
    pub fn resume(&self) {
        lock(&self.running).resume();
    }

    /// Stops the node at once: its connections break and it announces nothing.
    pub fn kill(&self) {
        lock(&self.running).stop(StopMode::Kill);
    }

    /// Drains the node. Returns whether all work was finished.
    pub async fn drain(&self) -> bool {
        lock(&self.running).stop(StopMode::Drain);
        self.wait_stopped().await
    }

    /// Waits until the node has stopped. Returns whether all its work was finished; `false` if
    /// another call has already waited for this run.
    async fn wait_stopped(&self) -> bool {
        let stopped = lock(&self.running).stopped.take();
        match stopped {
            Some(stopped) => stopped.await.unwrap_or(false),
            None => false,
        }
    }
}

impl Running {
    fn resume(&self) {
        *lock(&self.pause.paused) = false;
        self.pause.resumed.notify_all();
    }

    fn stop(&mut self, stop: StopMode) {
        self.resume();
        if let Some(sender) = self.stop.take() {
            let _ = sender.send(stop);
        }
    }
}

/// Starts a node on its own thread. The receiver completes when the node can serve callers.
async fn launch(
    settings: NodeSettings,
    listeners: Listeners,
) -> anyhow::Result<(Running, oneshot::Receiver<()>)> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot create a runtime")?;
    let handle = runtime.handle().clone();
    let (stop, stop_rx) = oneshot::channel();
    let (stopped_tx, stopped) = oneshot::channel();
    let (started_tx, started) = oneshot::channel();
    let (ready_tx, ready) = oneshot::channel();
    let name = settings.name.to_string();
    let run = move || {
        let finished = runtime.block_on(async {
            let node = match Node::start(settings, listeners).await {
                Ok(node) => node,
                Err(error) => {
                    let _ = started_tx.send(Err(error));
                    return false;
                }
            };
            let _ = started_tx.send(Ok(()));
            let mut stop_rx = stop_rx;
            let stop = tokio::select! {
                biased;
                stop = &mut stop_rx => stop,
                () = node.ready() => {
                    let _ = ready_tx.send(());
                    stop_rx.await
                }
            };
            match stop.unwrap_or(StopMode::Kill) {
                StopMode::Drain => node.drain().await,
                StopMode::Kill => false,
            }
        });
        runtime.shutdown_background();
        let _ = stopped_tx.send(finished);
    };
    thread::Builder::new()
        .name(name)
        .spawn(run)
        .context("cannot start a thread for the node")?;
    started
        .await
        .context("the node's thread ended before the node started")??;
    let running = Running {
        handle,
        pause: Arc::default(),
        stop: Some(stop),
        stopped: Some(stopped),
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
