//! Drains the node on an operator's request, and returns it to service when the drain is cancelled.

use std::time::{Duration, Instant};

use siskinhook_fleet::{Fleet, Intent};
use siskinhook_frontend::Phase;
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::node::NodeEngine;

/// Task that drains the node and returns it to service as its intent changes.
pub(crate) struct DrainTask {
    pub(crate) name: SmolStr,
    pub(crate) fleet: Fleet,
    pub(crate) engine: NodeEngine,
    pub(crate) phase: watch::Sender<Phase>,
    /// Time between announcing the drain and refusing new callers.
    pub(crate) notice: Duration,
}

impl DrainTask {
    /// Runs until the intent is to stop. If a drain is in progress then, the node stays draining.
    pub(crate) async fn follow_intent(self) {
        let mut intent = self.fleet.intent();
        while wait_for_change(&mut intent, Intent::Serve).await == Intent::Drain {
            self.announce_drain().await;
            let wait = wait_for_change(&mut intent, Intent::Drain);
            if tokio::time::timeout(self.notice, wait).await.is_err() {
                self.refuse_work().await;
            }
            if wait_for_change(&mut intent, Intent::Drain).await == Intent::Stop {
                return;
            }
            self.resume().await;
        }
    }

    async fn announce_drain(&self) {
        log::info!(target: "siskinhook::node", event = 1001_u32; "node {} is draining", self.name);
        self.fleet.announce_leaving().await;
    }

    /// Refuses new work. Work in flight has no deadline, because the process keeps running.
    async fn refuse_work(&self) {
        self.engine.drain(Instant::now()).await;
        self.phase.send_replace(Phase::Draining);
    }

    async fn resume(&self) {
        self.engine.resume();
        self.phase.send_replace(Phase::Serving);
        self.fleet.announce_staying().await;
        log::info!(target: "siskinhook::node", event = 1004_u32; "node {} serves again", self.name);
    }
}

/// Waits until the intent differs from `old` and returns the new intent.
async fn wait_for_change(intent: &mut watch::Receiver<Intent>, old: Intent) -> Intent {
    let new = intent.wait_for(|intent| *intent != old).await;
    // The channel stays open: the caller holds a handle of the fleet, which keeps the sender alive.
    new.map_or(Intent::Stop, |intent| *intent)
}
