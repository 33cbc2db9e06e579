//! Whether this node is cut off from the other availability zones.
//!
//! A node that is cut off together with its zone can serve what runs in the zone. Callers whose
//! databases are led elsewhere are better served by other zones, so such a node leaves the load
//! balancer's rotation. A lost server is no evidence: other nodes have to be out of reach too.

use std::{rc::Rc, time::Duration};

use siskinhook_telemetry::{Event, event};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep, sleep_until},
};

use crate::{Dialer, Gateway};

/// Time without contact to another zone after which it is sought. Statements bring contact many
/// times a second on a node in use.
const SILENCE: Duration = Duration::from_millis(600);
/// Nodes of other zones that are asked for a sign of life at a time; several, since some may be
/// down.
const ASKED: usize = 4;
/// Interval of further attempts while there is no contact.
const RETRY: Duration = Duration::from_millis(250);

/// Keeps the node's knowledge of its contact to other zones up to date, until dropped.
pub async fn watch_isolation<D: Dialer>(gateway: Rc<Gateway<D>>) {
    let mut turn = 0;
    loop {
        let due = gateway.fleet.contact() + SILENCE;
        if Instant::now() < due {
            update(&gateway, false);
            sleep_until(due).await;
            continue;
        }
        let cut = is_cut_off(&gateway, turn).await;
        turn += ASKED;
        if !cut {
            gateway.fleet.set_contact();
        }
        update(&gateway, cut);
        sleep(RETRY).await;
    }
}

/// Seeks contact to another zone and returns whether there is none.
async fn is_cut_off<D: Dialer>(gateway: &Rc<Gateway<D>>, turn: usize) -> bool {
    let peers = gateway.fleet.peers_elsewhere(turn, ASKED);
    if peers.is_empty() {
        return are_servers_silent(gateway);
    }
    let asked: Vec<_> = peers
        .into_iter()
        .map(|peer| {
            let dialer = gateway.dialer.clone();
            spawn_local(async move { dialer.reaches(peer.address).await })
        })
        .collect();
    let mut reached = false;
    for task in asked {
        // A task that ended without an answer counts as a node without an answer.
        reached |= task.await.unwrap_or(false);
    }
    !reached
}

/// Whether there are servers in other zones and none of them answers.
fn are_servers_silent<D: Dialer>(gateway: &Gateway<D>) -> bool {
    let mut silent = false;
    for group in gateway.groups() {
        for target in group.targets.borrow().values() {
            if target.instance.borrow().zone == gateway.zone {
                continue;
            }
            if target.failing().is_none() {
                return false;
            }
            silent = true;
        }
    }
    silent
}

fn update<D: Dialer>(gateway: &Gateway<D>, cut: bool) {
    if !gateway.set_cut_off(cut) {
        return;
    }
    let event = if cut {
        Event::CutOff
    } else {
        Event::Reconnected
    };
    let groups = gateway.groups();
    let near = groups.iter().filter(|group| group.leads_in(&gateway.zone));
    event!(
        event,
        node = gateway.node.as_str(), zone = gateway.zone.as_str(), groups = groups.len(),
        led_here = near.count(), nodes = gateway.fleet.size(), ready = gateway.is_ready();
        "contact to the other availability zones changed"
    );
}
