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
    handle: Handle,
    pause: Arc<Pause>,
    end: Mutex<Option<oneshot::Sender<End>>>,
    ended: Mutex<Option<oneshot::Receiver<bool>>>,
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
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .context("cannot create a runtime")?;
        let handle = runtime.handle().clone();
        let (end, ending) = oneshot::channel();
        let (ended_in, ended) = oneshot::channel();
        let (started_in, started) = oneshot::channel();
        let name = settings.name.to_string();
        let run = move || {
            let finished = runtime.block_on(async {
                let node = match Node::start(settings, listeners).await {
                    Ok(node) => {
                        node.ready().await;
                        let _ = started_in.send(Ok(()));
                        node
                    }
                    Err(error) => {
                        let _ = started_in.send(Err(error));
                        return false;
                    }
                };
                match ending.await.unwrap_or(End::Kill) {
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
        Ok(Self {
            handle,
            pause: Arc::default(),
            end: Mutex::new(Some(end)),
            ended: Mutex::new(Some(ended)),
        })
    }

    /// Freezes the node.
    pub fn pause(&self) {
        *lock(&self.pause.paused) = true;
        let pause = Arc::clone(&self.pause);
        self.handle.spawn(async move { pause.block() });
    }

    /// Lets a frozen node go on.
    pub fn resume(&self) {
        *lock(&self.pause.paused) = false;
        self.pause.resumed.notify_all();
    }

    /// Ends the node at once: its connections break, nothing is announced.
    pub fn kill(&self) {
        self.end(End::Kill);
    }

    /// Drains the node; returns whether all work was finished.
    pub async fn drain(&self) -> bool {
        self.end(End::Drain);
        let ended = lock(&self.ended).take();
        match ended {
            Some(ended) => ended.await.unwrap_or(false),
            None => false,
        }
    }

    fn end(&self, end: End) {
        self.resume();
        if let Some(sender) = lock(&self.end).take() {
            let _ = sender.send(end);
        }
    }
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
