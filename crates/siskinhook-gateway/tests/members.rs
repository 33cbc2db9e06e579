//! Tests of the record of a group's servers.

mod support;

use siskinhook_gateway::{Fleet, Instance, Member, MemberRecord, Peer};
use siskinhook_types::Role;
use support::instance;

/// Times of the table's clock in milliseconds.
const START: u64 = 100_000;
const LATER: u64 = START + 60_000;

/// Returns the record of three servers, and their entries.
fn recorded() -> (MemberRecord, Vec<Instance>) {
    let listed: Vec<Instance> = (0..3).map(|index| instance(index, Role::Replica)).collect();
    let mut record = MemberRecord::default();
    for instance in &listed {
        assert!(record.add(instance, START));
    }
    (record, listed)
}

fn ids(record: &MemberRecord) -> Vec<&str> {
    record.members.iter().map(|m| m.server.as_str()).collect()
}

/// Guards against a server that no replacement asks any more because its entry lapsed, although
/// commits may rest on it alone.
#[test]
fn server_without_an_entry_stays_until_its_commits_are_covered() {
    let (mut record, listed) = recorded();
    assert!(!record.remove_accounted(&listed[..2], LATER, |_| false));
    assert_eq!(ids(&record), ["s0", "s1", "s2"]);
    assert!(record.remove_accounted(&listed[..2], LATER, |_| true));
    assert_eq!(ids(&record), ["s0", "s1"]);
}

/// Guards against removing a server on which another node has just let a commit rest.
#[test]
fn confirmed_server_is_not_removed() {
    let (mut record, listed) = recorded();
    assert!(record.confirm(&listed[2], LATER));
    assert!(
        !record.confirm(&listed[2], LATER + 4_000),
        "as good as a new confirmation"
    );
    let is_covered = |_: &Member| true;
    assert!(!record.remove_accounted(&listed[..2], LATER + 14_000, is_covered));
    assert!(record.remove_accounted(&listed[..2], LATER + 15_000, is_covered));
}

/// Guards against a lost primary that is not replaced because of a server whose log another one has
/// taken over.
#[test]
fn server_is_removed_when_another_follows_at_its_address() {
    let (mut record, former) = recorded();
    let mut listed = former.clone();
    listed[2].id = "s9".into();
    listed[2].started += 1;
    assert!(record.add(&listed[2], LATER));
    assert!(
        !record.clone().remove_accounted(&former, LATER, |_| false),
        "an old list does not remove the later server"
    );
    assert!(record.remove_accounted(&listed, LATER, |_| false));
    assert_eq!(ids(&record), ["s0", "s1", "s9"]);
}

/// Guards against taking a process for a former one that had the same id.
#[test]
fn restarted_process_replaces_the_former_one() {
    let (mut record, mut listed) = recorded();
    listed[1].started += 1;
    assert!(record.add(&listed[1], LATER));
    assert_eq!(record.members.len(), 3);
    assert_eq!(record.get(&listed[1]).map(|m| m.confirmed), Some(LATER));
}

/// Guards against a record that keeps a server for good, because the table's clock went back or
/// another writer stated a time in the future.
#[test]
fn times_in_the_future_are_limited() {
    let (mut record, listed) = recorded();
    assert!(record.limit_times(START - 50_000));
    assert!(!record.limit_times(START - 50_000));
    assert!(record.remove_accounted(&listed[..2], START - 35_000, |_| true));
}

/// Guards against all nodes reading the record at once on a slow store, because each takes itself for
/// the first one before it knows the others.
#[test]
fn nodes_have_different_ranks_and_none_before_they_know_each_other() {
    let peer = |index: u16| Peer {
        name: format!("n{index}").into(),
        zone: "z".into(),
        address: ([127, 0, 0, 1], index).into(),
    };
    let peers: Vec<Peer> = (1..=24).map(peer).collect();
    let mut ranks: Vec<usize> = Vec::new();
    for peer in &peers {
        let fleet = Fleet::new(peer.name.clone(), peer.zone.clone());
        assert_eq!(fleet.rank(&"svc".into()), None);
        fleet.set_peers(peers.clone());
        ranks.extend(fleet.rank(&"svc".into()));
    }
    ranks.sort_unstable();
    assert!(ranks.into_iter().eq(0..24));
}
