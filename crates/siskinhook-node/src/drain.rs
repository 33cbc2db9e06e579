//! Drains the node when operators ask for it, and takes a drain back.

use std::time::{Duration, Instant};

use siskinhook_fleet::{Fleet, Intent};
use siskinhook_frontend::Phase;
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::node::NodeEngine;

/// What a drain moves through its states.
pub(crate) struct Drain {
    pub(crate) name: SmolStr,
    pub(crate) fleet: Fleet,
    pub(crate) engine: NodeEngine,
    pub(crate) phase: watch::Sender<Phase>,
    /// Time between the announcement and the refusal of callers.
    pub(crate) notice: Duration,
}

impl Drain {
    /// Follows the intent until it is to stop. Leaves the node draining if it is then.
    pub(crate) async fn follow(self) {
        let mut intent = self.fleet.intent();
        while changed_from(&mut intent, Intent::Serve).await == Intent::Drain {
            self.announce().await;
            let wait = changed_from(&mut intent, Intent::Drain);
            if tokio::time::timeout(self.notice, wait).await.is_err() {
                self.refuse().await;
            }
            if changed_from(&mut intent, Intent::Drain).await == Intent::Stop {
                return;
            }
            self.resume().await;
        }
    }

    async fn announce(&self) {
        log::info!(target: "siskinhook::node", event = 1001_u32; "node {} is draining", self.name);
        self.fleet.announce_leaving().await;
    }

    /// Refuses new work. The work in flight ends by itself, without a deadline: the node stays.
    async fn refuse(&self) {
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

/// Waits until the intent differs from `old`.
async fn changed_from(intent: &mut watch::Receiver<Intent>, old: Intent) -> Intent {
    let changed = intent.wait_for(|intent| *intent != old).await;
    // The sender lives as long as the fleet's handles, one of which the caller holds.
    changed.map_or(Intent::Stop, |intent| *intent)
}
