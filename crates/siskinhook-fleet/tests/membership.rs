//! Tests of the membership state machine with single messages, and of their wire format.

use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use siskinhook_fleet::{
    Action, Answer, Call, Controller, Digest, FleetSettings, Identity, MemberUpdate, Membership,
    PeerMessage, Profile,
};
use siskinhook_types::{
    MemberState::{self, Alive, Dead, Suspect},
    VmRecord,
};

const SECOND: Duration = Duration::from_secs(1);

fn profile(name: &str) -> Profile {
    Profile {
        region: "g".into(),
        zone: "g-a".into(),
        peer: name.into(),
        link: name.into(),
    }
}

fn node(name: &str, now: Instant) -> Membership {
    node_with(FleetSettings::default(), name, now)
}

fn node_with(settings: FleetSettings, name: &str, now: Instant) -> Membership {
    Membership::new(settings, name.into(), profile(name), Vec::new(), 1, now)
}

/// Returns a push from a third node with one member update.
fn gossip(name: &str, state: MemberState, incarnation: u64) -> PeerMessage {
    let update = MemberUpdate {
        name: name.into(),
        incarnation,
        state,
        remaining: None,
        profile: (state == Alive).then(|| profile(name)),
    };
    PeerMessage::Gossip {
        digest: Digest {
            from: "c".into(),
            incarnation: 0,
            revision: None,
            wants_hello: false,
            updates: vec![update],
        },
        changes: Vec::new(),
    }
}

fn state(at: &Membership, name: &str) -> Option<MemberState> {
    at.view().members.get(name).map(|m| m.state)
}

/// Passes calls between two nodes for five rounds; calls to other nodes are not answered.
fn exchange(now: Instant, a: &mut Membership, b: &mut Membership) {
    for _ in 0..5 {
        let deliver = |from: &mut Membership, to: &mut Membership, name: &str| {
            for Call {
                id,
                address,
                message,
                ..
            } in from.take_calls()
            {
                if address == name
                    && let Answer::Reply(reply) = to.handle_request(now, &message)
                {
                    from.call_completed(now, id, Some(&reply));
                }
            }
        };
        deliver(a, b, "b");
        deliver(b, a, "a");
    }
}

/// Guards against a member that stays dead in the view of a node that missed its refutation,
/// although the two exchange probes. Found by `agrees_with_a_full_mesh_after_faults`.
#[test]
fn probe_repairs_a_missed_refutation() {
    let mut now = Instant::now();
    let (mut a, mut b) = (node("a", now), node("b", now));
    a.handle_request(now, &gossip("b", Alive, 0));
    b.handle_request(now, &gossip("a", Alive, 0));
    a.handle_request(now, &gossip("b", Suspect, 0));
    b.handle_request(now, &gossip("b", Suspect, 0));
    assert_eq!(b.view().members["b"].incarnation, 1);
    for _ in 0..4 {
        now += SECOND;
        a.tick(now);
        b.tick(now);
    }
    assert_eq!(state(&a, "b"), Some(Dead));
    a.take_calls();
    exchange(now, &mut a, &mut b);
    assert_eq!(state(&a, "b"), Some(Alive));
}

/// Guards against a member that is declared dead on another node's report. After a partition, a
/// stale report from the other side would remove live members at once.
#[test]
fn reported_death_only_makes_a_member_suspect() {
    let now = Instant::now();
    let mut a = node("a", now);
    a.handle_request(now, &gossip("b", Alive, 3));
    a.handle_request(now, &gossip("b", Dead, 2));
    assert_eq!(state(&a, "b"), Some(Alive));
    a.handle_request(now, &gossip("b", Dead, 3));
    assert_eq!(state(&a, "b"), Some(Suspect));
    a.handle_request(now, &gossip("b", Dead, 3));
    assert_eq!(state(&a, "b"), Some(Suspect));
    a.handle_request(now, &gossip("b", Alive, 4));
    assert_eq!(state(&a, "b"), Some(Alive));
    a.handle_request(now, &gossip("b", Suspect, 3));
    assert_eq!(state(&a, "b"), Some(Alive));
}

/// Guards against a late report that restarts the whole suspicion timeout (with 320 nodes, a death
/// was known everywhere only after 10.9 s), and against a timeout too short for a refutation.
#[test]
fn late_suspicion_does_not_restart_the_timeout() {
    let mut now = Instant::now();
    let settings = FleetSettings {
        suspicion_timeout: 3 * SECOND,
        ..FleetSettings::default()
    };
    let mut early = node_with(settings.clone(), "a", now);
    let mut late = node_with(settings, "d", now);
    for at in [&mut early, &mut late] {
        at.handle_request(now, &gossip("b", Alive, 0));
    }
    early.handle_request(now, &gossip("b", Suspect, 0));
    now += 2 * SECOND;
    early.tick(now);
    let message = PeerMessage::Gossip {
        digest: early.digest(Some(&"b".into()), 0),
        changes: Vec::new(),
    };
    late.tick(now);
    late.handle_request(now, &message);
    let mut dead_after = Vec::new();
    for _ in 0..30 {
        now += SECOND / 10;
        early.tick(now);
        late.tick(now);
        dead_after.push((state(&early, "b"), state(&late, "b")));
    }
    // `early` has 1 s of its 3 s left; `late` starts with the minimum of 1.5 s.
    assert_eq!(dead_after[8], (Some(Suspect), Some(Suspect)));
    assert_eq!(dead_after[9], (Some(Dead), Some(Suspect)));
    assert_eq!(dead_after[13], (Some(Dead), Some(Suspect)));
    assert_eq!(dead_after[14], (Some(Dead), Some(Dead)));
}

/// Guards against a dead member that stays alive because a node of another name answers at its
/// reused address.
#[test]
fn ack_from_another_node_does_not_count() {
    let mut now = Instant::now();
    let mut a = node("a", now);
    a.handle_request(now, &gossip("b", Alive, 0));
    let mut other = node("d", now);
    let mut suspected = false;
    for _ in 0..4 {
        now += SECOND;
        a.tick(now);
        for call in a.take_calls() {
            let reply = match other.handle_request(now, &call.message) {
                Answer::Reply(reply) => reply,
                // The relaying node reaches itself instead of `b`.
                Answer::Relay { .. } => {
                    let result = PeerMessage::Ack(other.digest(None, 0));
                    other.relay_completed(now, Some(&"a".into()), &"b".into(), Some(&result))
                }
            };
            a.call_completed(now, call.id, Some(&reply));
        }
        suspected |= state(&a, "b") == Some(Suspect);
    }
    assert!(suspected);
}

/// Guards against messages that other versions cannot read, and against fields that enlarge
/// probes.
#[test]
fn wire_format_is_stable() {
    let now = Instant::now();
    let mut a = node("a", now);
    let probe = gossip("b", Alive, 0);
    let text = serde_json::to_string(&probe).unwrap();
    let expected =
        r#"{"n":{"d":{"f":"c","u":[{"n":"b","s":0,"p":{"r":"g","z":"g-a","p":"b","l":"b"}}]}}}"#;
    assert_eq!(text, expected);
    assert_eq!(serde_json::from_str::<PeerMessage>(&text).unwrap(), probe);
    a.set_revision(7);
    let reply = a.handle_request(now, &PeerMessage::Pull { after: None });
    assert_matches!(reply, Answer::Reply(ack) => {
        assert_eq!(serde_json::to_string(&ack).unwrap(), r#"{"a":{"f":"a","r":7}}"#);
    });
}

/// Guards against a cost per node for reading the list of VMs that grows with the fleet.
#[test]
fn long_lists_are_read_less_often() {
    let reads = |count: usize| {
        let vm = |i| VmRecord {
            name: format!("n-{i}").into(),
            region: "g".into(),
            zone: "g-a".into(),
            address: format!("n-{i}").into(),
            leaving: false,
        };
        let vms: Vec<VmRecord> = (0..count).map(vm).collect();
        let identity = Identity {
            name: "n-0".into(),
            profile: profile("n-0"),
            seeds: Vec::new(),
        };
        let mut now = Instant::now();
        let end = now + 3600 * SECOND;
        let mut controller = Controller::new(FleetSettings::default(), identity, 1, now);
        let mut reads = 0;
        while now < end {
            controller.tick(now);
            for action in controller.take_actions() {
                if matches!(action, Action::ReadList) {
                    reads += 1;
                    controller.list_completed(now, Some(&vms));
                }
            }
            now = controller.deadline().max(now);
        }
        reads
    };
    let (short, long) = (reads(100), reads(600));
    assert!((40..=120).contains(&short), "{short}");
    assert!((6..=20).contains(&long), "{long}");
}

/// Guards against a drain that cannot be cancelled, because other nodes continue to rank the node
/// last or a delayed older announcement overrides the newer one.
#[test]
fn leave_can_be_cancelled() {
    let now = Instant::now();
    let (mut a, mut b) = (node("a", now), node("b", now));
    a.handle_request(now, &gossip("b", Alive, 0));
    b.handle_request(now, &gossip("a", Alive, 0));
    exchange(now, &mut a, &mut b);
    let before = b.view().members["a"].incarnation;
    a.leave(now);
    a.tick(now + SECOND);
    exchange(now + SECOND, &mut a, &mut b);
    assert_eq!(state(&b, "a"), Some(MemberState::Leaving));
    let leaving = b.view().members["a"].incarnation;
    a.cancel_leave(now + SECOND);
    a.tick(now + 2 * SECOND);
    exchange(now + 2 * SECOND, &mut a, &mut b);
    assert_eq!(state(&b, "a"), Some(Alive));
    assert_eq!(state(&a, "a"), Some(Alive));
    assert!(before < leaving && leaving < b.view().members["a"].incarnation);
    // The first announcement arrives again, late.
    b.handle_request(
        now + 2 * SECOND,
        &gossip("a", MemberState::Leaving, leaving),
    );
    assert_eq!(state(&b, "a"), Some(Alive));
}
