//! Whether this node is cut off from the other availability zones.
//!
//! A node that is cut off together with its zone can serve what runs in the zone. Where most
//! groups have too few servers in the zone to acknowledge writes, the other zones go on without
//! them and serve callers better, so such a node leaves the load balancer's rotation. A lost server is no evidence: other nodes have to be out of reach too.

use std::{rc::Rc, time::Duration};

use siskinhook_telemetry::{Event, event};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep, sleep_until, timeout, timeout_at},
};

use crate::{Dialer, Gateway, pool::Target};

/// Time without contact to another zone after which it is sought. Statements bring contact many
/// times a second on a node in use.
const SILENCE: Duration = Duration::from_millis(600);
/// Nodes of other zones, and servers, that are asked for a sign of life at a time; several, since
/// some may be down.
const ASKED: usize = 4;
/// Longest wait for a sign of life; many times the delay between zones.
const ANSWER: Duration = Duration::from_millis(300);
/// Wait for the first node alone; some times the delay between regions.
const FIRST_ANSWER: Duration = Duration::from_millis(60);
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

/// Seeks contact to another zone, to nodes and to servers, and returns whether there is none.
async fn is_cut_off<D: Dialer>(gateway: &Rc<Gateway<D>>, turn: usize) -> bool {
    // One node is enough for an idle node in touch; the others are asked when it is silent.
    if let Some(peer) = gateway.fleet.peers_elsewhere(turn, 1).pop() {
        let reached = timeout(FIRST_ANSWER, gateway.dialer.reaches(peer.address)).await;
        if reached.unwrap_or(false) {
            return false;
        }
    }
    let deadline = Instant::now() + ANSWER;
    let mut asked = Vec::new();
    for peer in gateway.fleet.peers_elsewhere(turn, ASKED) {
        let dialer = gateway.dialer.clone();
        asked.push(spawn_local(async move {
            let reached = timeout_at(deadline, dialer.reaches(peer.address)).await;
            reached.unwrap_or(false)
        }));
    }
    for target in servers_elsewhere(gateway, turn) {
        asked.push(spawn_local(async move { target.replies(deadline).await }));
    }
    let nobody = asked.is_empty();
    let mut reached = false;
    for task in asked {
        // A task that ended without an answer counts as silence.
        reached |= task.await.unwrap_or(false);
    }
    !reached && !nobody
}

/// Returns some servers of other zones; another `turn` gives others.
fn servers_elsewhere<D: Dialer>(gateway: &Gateway<D>, turn: usize) -> Vec<Rc<Target<D>>> {
    let mut found = Vec::new();
    for group in gateway.groups() {
        for target in group.targets.borrow().values() {
            if target.instance.borrow().zone != gateway.zone {
                found.push(target.clone());
            }
        }
    }
    let count = found.len().min(ASKED);
    found.into_iter().cycle().skip(turn).take(count).collect()
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
    let near = groups
        .iter()
        .filter(|group| group.is_whole_in(&gateway.zone));
    event!(
        event,
        node = gateway.node.as_str(), zone = gateway.zone.as_str(), groups = groups.len(),
        whole_here = near.count(), nodes = gateway.fleet.size(), ready = gateway.is_ready();
        "contact to the other availability zones changed"
    );
}
