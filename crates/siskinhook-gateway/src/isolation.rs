//! Detection of a network partition between this node and the other availability zones.
//!
//! A node that is cut off together with its zone can still serve groups whose servers are in the
//! zone. If most groups have too few servers in the zone to acknowledge writes, the other zones
//! continue without them and serve callers better, so the node leaves the load balancer's rotation.
//! Unreachable servers alone are not enough: the nodes of other zones must be unreachable too.

use std::{rc::Rc, time::Duration};

use siskinhook_telemetry::{Event, event};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep, sleep_until, timeout, timeout_at},
};

use crate::{Dialer, Gateway, pool::Target};

/// Time without contact with another zone after which the node sends probes. A node under load has
/// contact many times a second through its statements.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(600);
/// Nodes of other zones, and servers, probed per round. Several of each, since some may be down.
const PROBES_PER_ROUND: usize = 4;
/// Timeout of a probe; many times the network latency between zones.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of the first probe, which goes to a single node; a few times the network latency
/// between regions.
const FIRST_PROBE_TIMEOUT: Duration = Duration::from_millis(60);
/// Interval between probe rounds.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Tracks whether the node is cut off from the other zones; runs until dropped.
pub async fn watch_isolation<D: Dialer>(gateway: Rc<Gateway<D>>) {
    let mut offset = 0;
    loop {
        let due = gateway.fleet.last_contact() + CONTACT_TIMEOUT;
        if Instant::now() < due {
            update(&gateway, false);
            sleep_until(due).await;
            continue;
        }
        let cut_off = is_cut_off(&gateway, offset).await;
        offset += PROBES_PER_ROUND;
        if !cut_off {
            gateway.fleet.record_contact();
        }
        update(&gateway, cut_off);
        sleep(RETRY_INTERVAL).await;
    }
}

/// Probes nodes and servers of other zones and returns whether none of them responds.
async fn is_cut_off<D: Dialer>(gateway: &Rc<Gateway<D>>, offset: usize) -> bool {
    // A single response is enough, so an idle node first probes one node, and others only if that
    // one does not respond.
    if let Some(peer) = gateway.fleet.peers_elsewhere(offset, 1).pop() {
        let reached = timeout(FIRST_PROBE_TIMEOUT, gateway.dialer.reaches(peer.address)).await;
        if reached.unwrap_or(false) {
            return false;
        }
    }
    let deadline = Instant::now() + PROBE_TIMEOUT;
    let mut probes = Vec::new();
    for peer in gateway.fleet.peers_elsewhere(offset, PROBES_PER_ROUND) {
        let dialer = gateway.dialer.clone();
        probes.push(spawn_local(async move {
            let reached = timeout_at(deadline, dialer.reaches(peer.address)).await;
            reached.unwrap_or(false)
        }));
    }
    for target in servers_elsewhere(gateway, offset) {
        probes.push(spawn_local(
            async move { target.is_responsive(deadline).await },
        ));
    }
    let none_probed = probes.is_empty();
    let mut reached = false;
    for task in probes {
        // A task that was cancelled or panicked counts as no response.
        reached |= task.await.unwrap_or(false);
    }
    !reached && !none_probed
}

/// Returns some servers of other zones; `offset` selects which ones.
fn servers_elsewhere<D: Dialer>(gateway: &Gateway<D>, offset: usize) -> Vec<Rc<Target<D>>> {
    let mut found = Vec::new();
    for group in gateway.groups() {
        for target in group.targets.borrow().values() {
            if target.instance.borrow().zone != gateway.zone {
                found.push(target.clone());
            }
        }
    }
    let count = found.len().min(PROBES_PER_ROUND);
    found.into_iter().cycle().skip(offset).take(count).collect()
}

fn update<D: Dialer>(gateway: &Gateway<D>, cut_off: bool) {
    if !gateway.set_cut_off(cut_off) {
        return;
    }
    let event = if cut_off {
        Event::CutOff
    } else {
        Event::Reconnected
    };
    let groups = gateway.groups();
    let committable = groups
        .iter()
        .filter(|group| group.can_commit_in(&gateway.zone));
    event!(
        event,
        node = gateway.node.as_str(), zone = gateway.zone.as_str(), groups = groups.len(),
        whole_here = committable.count(), nodes = gateway.fleet.size(), ready = gateway.is_ready();
        "connectivity to the other availability zones changed"
    );
}
