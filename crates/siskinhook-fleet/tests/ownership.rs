//! Tests of server ownership: zone preference, member states and stability when members change.

use std::sync::Arc;

use siskinhook_fleet::{OwnerCache, owner, owners, owns};
use siskinhook_types::{FleetView, Member, MemberState, Server};

fn view(zones: &[&str], per_zone: usize) -> FleetView {
    let members = zones.iter().flat_map(|zone| {
        (0..per_zone).map(move |i| {
            let name = format!("{zone}-{i}");
            let member = Member {
                name: name.as_str().into(),
                region: zone.split('-').next().expect("a first part").into(),
                zone: (*zone).into(),
                peer: "127.0.0.1:1".into(),
                link: "127.0.0.1:2".into(),
                state: MemberState::Alive,
                incarnation: 0,
                revision: 0,
            };
            (member.name.clone(), member)
        })
    });
    FleetView {
        local: format!("{}-0", zones[0]).into(),
        members: members.collect(),
    }
}

fn server(name: &str, zone: &str) -> Server {
    Server {
        name: name.into(),
        zone: zone.into(),
        address: "127.0.0.1:3".into(),
        leaving: false,
    }
}

fn set_state(view: &mut FleetView, name: &str, state: MemberState) {
    view.members.get_mut(name).expect("a member").state = state;
}

/// Guards against a changed hash, with which nodes of different versions would compute different
/// owners.
#[test]
fn hash_is_stable() {
    let view = view(&["g-a", "g-b"], 4);
    let owners: Vec<_> = (0..6)
        .map(|i| owner(&view, &server(&format!("db-{i}"), "g-a")).unwrap())
        .collect();
    assert_eq!(
        owners,
        ["g-a-1", "g-a-1", "g-a-3", "g-a-1", "g-a-0", "g-a-0"]
    );
}

/// Guards against an owner in another zone while the server's zone has a live node, and against
/// an owner in another region while the server's region has one.
#[test]
fn zone_comes_first_then_region() {
    let mut view = view(&["g-a", "g-b", "h-a"], 3);
    let db = server("db", "g-a");
    let ranking = owners(&view, &db);
    assert_eq!(ranking.len(), 9);
    assert!(ranking[..3].iter().all(|n| n.starts_with("g-a")));
    assert!(ranking[3..6].iter().all(|n| n.starts_with("g-b")));
    for i in 0..3 {
        set_state(&mut view, &format!("g-a-{i}"), MemberState::Dead);
    }
    assert!(owner(&view, &db).unwrap().starts_with("g-b"));
    assert_eq!(owners(&view, &db).len(), 6);
}

/// Guards against a leaving or paused node that remains owner, and against ownership that moves
/// because of an unconfirmed suspicion.
#[test]
fn leaving_members_rank_last_and_suspects_keep_ownership() {
    let mut view = view(&["g-a", "g-b"], 3);
    let db = server("db", "g-a");
    let first = owner(&view, &db).unwrap();
    view.local = first.clone();
    assert!(owns(&view, &db));
    view.local = "g-b-0".into();
    set_state(&mut view, &first, MemberState::Suspect);
    assert_eq!(owner(&view, &db).unwrap(), first);
    view.local = first.clone();
    assert_ne!(owner(&view, &db).unwrap(), first);
    assert!(!owns(&view, &db));
    set_state(&mut view, &first, MemberState::Leaving);
    assert_eq!(owners(&view, &db).last(), Some(&first));
}

/// Guards against servers that change owner although the state of their owner did not change.
#[test]
fn only_servers_of_a_dead_node_move() {
    let before = view(&["g-a"], 10);
    let mut after = before.clone();
    set_state(&mut after, "g-a-4", MemberState::Dead);
    let mut moved = 0;
    for i in 0..200 {
        let db = server(&format!("db-{i}"), "g-a");
        let (old, new) = (owner(&before, &db).unwrap(), owner(&after, &db).unwrap());
        if old == "g-a-4" {
            moved += 1;
            assert_ne!(new, "g-a-4");
        } else {
            assert_eq!(old, new);
        }
    }
    assert!(moved > 0);
}

/// Guards against cached owners of an older view, or of an older zone of the server.
#[test]
fn cache_agrees_with_function() {
    let cache = OwnerCache::new();
    let mut current = view(&["g-a", "g-b"], 5);
    for round in 0..5 {
        set_state(&mut current, &format!("g-a-{round}"), MemberState::Dead);
        let shared = Arc::new(current.clone());
        for i in 0..50 {
            for zone in ["g-a", "g-b", "g-a"] {
                let db = server(&format!("db-{i}"), zone);
                assert_eq!(cache.owner(&shared, &db), owner(&shared, &db));
            }
        }
    }
}
