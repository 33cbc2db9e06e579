//! Tests of the fleet task over loopback and over the in-process network.

#[path = "support/fake_platform.rs"]
mod fake_platform;

use std::{net::TcpListener, time::Duration};

use fake_platform::FakePlatform;
use siskinhook_fleet::{
    Digest, Fleet, FleetSettings, Identity, MemoryNetwork, MemorySettings, PeerMessage, Peers,
    Profile, RpcPeers, Secret, serve,
};
use siskinhook_types::{Catalogue, Change, MemberState, VmRecord};
use tokio::time::timeout;

fn vm(name: &str, address: &str) -> VmRecord {
    VmRecord {
        name: name.into(),
        region: "g".into(),
        zone: "g-a".into(),
        address: address.into(),
        leaving: false,
    }
}

fn identity(vm: &VmRecord) -> Identity {
    Identity {
        name: vm.name.clone(),
        profile: Profile {
            region: vm.region.clone(),
            zone: vm.zone.clone(),
            peer: vm.address.clone(),
            link: vm.address.clone(),
        },
        seeds: Vec::new(),
    }
}

fn change(revision: u64) -> Change {
    Change {
        revision,
        edit: format!("edit-{revision}").into(),
        service: "service".into(),
        entry: None,
    }
}

/// Starts nodes on an in-process network.
fn start_in_memory(
    platform: &FakePlatform,
    loss: f64,
    vms: &[VmRecord],
) -> (MemoryNetwork, Vec<Fleet>) {
    let network = MemoryNetwork::new(MemorySettings {
        loss,
        ..MemorySettings::default()
    });
    platform.contents().vms = vms.to_vec();
    let start = |(seed, vm): (u64, &VmRecord)| {
        let peers = network.add(&vm.address, &vm.region, &vm.zone);
        let settings = FleetSettings::default();
        let fleet = Fleet::start(settings, identity(vm), seed, peers, platform.clone());
        network.attach(&vm.address, fleet.clone());
        fleet
    };
    let fleets = (1..).zip(vms).map(start).collect();
    (network, fleets)
}

/// Waits until a member has the given state in the view of a node.
async fn wait_for_state(fleet: &Fleet, name: &str, state: MemberState) {
    let mut view = fleet.view();
    let wait = view.wait_for(|v| v.members.get(name).map(|m| m.state) == Some(state));
    let result = timeout(Duration::from_mins(1), wait).await;
    assert!(
        result.is_ok_and(|r| r.is_ok()),
        "{name} does not become {state:?}"
    );
}

async fn wait_for_revision(fleet: &Fleet, revision: u64) {
    let mut catalogue = fleet.catalogue();
    let wait = catalogue.wait_for(|c| c.revision == revision);
    let result = timeout(Duration::from_mins(1), wait).await;
    assert!(
        result.is_ok_and(|r| r.is_ok()),
        "revision {revision} does not come into force"
    );
}

/// Guards against nodes that fail to join or to propagate a change over real connections, and
/// against a request that is accepted although it was signed with another secret.
#[tokio::test]
async fn nodes_join_over_loopback() {
    let platform = FakePlatform::default();
    let secret = Secret::new("secret");
    let listeners: Vec<TcpListener> = (0..3)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let addresses: Vec<String> = listeners
        .iter()
        .map(|l| l.local_addr().unwrap().to_string())
        .collect();
    let names = ["node-0", "node-1", "node-2"];
    platform.contents().vms = names
        .iter()
        .zip(&addresses)
        .map(|(n, a)| vm(n, a))
        .collect();
    let vms = platform.contents().vms.clone();
    let mut fleets = Vec::new();
    let mut servers = Vec::new();
    for ((seed, vm), listener) in (1..).zip(&vms).zip(listeners) {
        let peers = RpcPeers::new(secret.clone());
        let settings = FleetSettings::default();
        let fleet = Fleet::start(settings, identity(vm), seed, peers, platform.clone());
        let server = serve(listener, vm.address.clone(), secret.clone(), fleet.clone());
        servers.push(server.unwrap());
        fleets.push(fleet);
    }
    for fleet in &fleets {
        for name in names {
            wait_for_state(fleet, name, MemberState::Alive).await;
        }
    }
    platform.contents().changes.push(change(1));
    fleets[0].publish(change(1)).await;
    for fleet in &fleets {
        wait_for_revision(fleet, 1).await;
    }

    let probe = PeerMessage::Probe(Digest {
        from: "node-1".into(),
        incarnation: 0,
        revision: None,
        wants_hello: false,
        updates: Vec::new(),
    });
    let ack = RpcPeers::new(secret)
        .call(&addresses[0], probe.clone())
        .await;
    assert_eq!(ack.unwrap().kind(), "ack");
    let error = RpcPeers::new(Secret::new("other"))
        .call(&addresses[0], probe)
        .await
        .unwrap_err();
    assert!(error.reason.contains("wrong MAC"), "{error}");
}

/// Guards against a request that was signed for one node but is accepted by another.
#[tokio::test]
async fn request_for_another_node_is_rejected() {
    let (_network, fleets) = start_in_memory(&FakePlatform::default(), 0.0, &[vm("a", "a")]);
    let secret = Secret::new("secret");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let _server = serve(
        listener,
        "10.0.0.1:7400".into(),
        secret.clone(),
        fleets[0].clone(),
    );
    let pull = PeerMessage::Pull { after: None };
    let error = RpcPeers::new(secret)
        .call(&address, pull)
        .await
        .unwrap_err();
    assert!(error.reason.contains("wrong MAC"), "{error}");
}

/// Guards against a clean shutdown that other nodes detect only by suspicion, and against requests
/// that hang after it.
#[tokio::test(start_paused = true)]
async fn other_nodes_see_leave_and_stop() {
    let vms = [vm("a", "a"), vm("b", "b"), vm("c", "c")];
    let (_network, fleets) = start_in_memory(&FakePlatform::default(), 0.0, &vms);
    for fleet in &fleets {
        wait_for_state(fleet, "a", MemberState::Alive).await;
    }
    fleets[0].announce_leaving().await;
    wait_for_state(&fleets[0], "a", MemberState::Leaving).await;
    wait_for_state(&fleets[1], "a", MemberState::Leaving).await;
    let start = tokio::time::Instant::now();
    fleets[0].stop().await;
    wait_for_state(&fleets[1], "a", MemberState::Dead).await;
    assert!(start.elapsed() < FleetSettings::default().suspicion_timeout);
    let pull = PeerMessage::Pull { after: None };
    assert_eq!(fleets[0].receive(pull).await, None);
}

/// Guards against a new node that misses the snapshot or the changes after it, against an empty
/// catalogue that comes into force during an outage, and against a status without the reason for
/// the missing catalogue.
#[tokio::test(start_paused = true)]
async fn nodes_load_snapshot_and_changes_after_an_outage() {
    let platform = FakePlatform::default();
    platform.contents().snapshot = Catalogue {
        revision: 640,
        ..Catalogue::default()
    };
    let changes = (641..=800).map(change);
    platform.contents().changes = changes.collect();
    platform.contents().down = true;
    let (_network, fleets) = start_in_memory(&platform, 0.0, &[vm("a", "a"), vm("b", "b")]);
    tokio::time::sleep(Duration::from_mins(1)).await;
    let status = fleets[0].status().borrow().clone();
    assert!(!status.has_contact);
    let reason = status.waits_for.unwrap();
    assert!(reason.contains("the platform is down"), "{reason}");
    platform.contents().down = false;
    let start = tokio::time::Instant::now();
    for fleet in &fleets {
        wait_for_revision(fleet, 800).await;
        assert_eq!(fleet.status().borrow().waits_for, None);
    }
    // Reads resume within the backoff limit after the outage.
    assert!(start.elapsed() < FleetSettings::default().backoff_limit + Duration::from_secs(1));
}

/// Guards against a zone that does not rejoin after a partition of the in-process network.
#[tokio::test(start_paused = true)]
async fn cut_zone_rejoins() {
    let mut vms = [vm("a", "a"), vm("b", "b"), vm("c", "c")];
    vms[2].zone = "g-b".into();
    let (network, fleets) = start_in_memory(&FakePlatform::default(), 0.02, &vms);
    wait_for_state(&fleets[0], "c", MemberState::Alive).await;
    wait_for_state(&fleets[2], "a", MemberState::Alive).await;
    network.cut(&["g-b"]);
    wait_for_state(&fleets[0], "c", MemberState::Dead).await;
    wait_for_state(&fleets[2], "a", MemberState::Dead).await;
    network.cut(&[]);
    wait_for_state(&fleets[0], "c", MemberState::Alive).await;
    wait_for_state(&fleets[2], "a", MemberState::Alive).await;
}
