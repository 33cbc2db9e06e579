//! Property tests with random faults on three servers and three watchers.
//!
//! They guard against lost or duplicated writes, acknowledgements by a replaced primary, two
//! primaries in one term, and groups that stay without a primary.

#![allow(clippy::unwrap_used)]

mod model;

use model::{Fault, FaultKind, Model};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

fn fault_kind() -> impl Strategy<Value = FaultKind> {
    let server = 0..3_usize;
    let watcher = 0..3_usize;
    prop_oneof![
        server.clone().prop_map(FaultKind::ServerDown),
        server.clone().prop_map(FaultKind::ZoneCut),
        server.clone().prop_map(FaultKind::LinkCut),
        (watcher.clone(), server.clone()).prop_map(|(w, s)| FaultKind::PathCut(w, s)),
        server.prop_map(FaultKind::Lag),
        watcher.clone().prop_map(FaultKind::WatcherPaused),
        watcher.prop_map(FaultKind::WatcherCrash),
        (0..4_usize).prop_map(FaultKind::PromoterCrash),
        Just(FaultKind::TableDown),
        Just(FaultKind::AnswersLost),
        Just(FaultKind::SlowNetwork),
    ]
}

fn faults() -> impl Strategy<Value = Vec<Fault>> {
    let fault = (fault_kind(), 500..4000_u64, 50..4000_u64).prop_map(|(kind, at, length)| Fault {
        kind,
        at,
        until: at + length,
    });
    let fault = fault.boxed();
    // Each case takes down or isolates the first primary, so that at least one failover happens.
    let primary_lost = prop_oneof![Just(FaultKind::ServerDown(0)), Just(FaultKind::ZoneCut(0))];
    let primary_lost =
        (primary_lost, 1000..2000_u64, 1000..6000_u64).prop_map(|(kind, at, length)| Fault {
            kind,
            at,
            until: at + length,
        });
    (primary_lost, vec(fault, 1..9)).prop_map(|(primary_lost, mut faults)| {
        faults.push(primary_lost);
        faults
    })
}

fn run(seed: u8, cases: u32) {
    println!("seed {seed}");
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 2000,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, random);
    let result = runner.run(&(any::<u64>(), faults()), |(seed, faults)| {
        Model::new(seed, faults).run().map_err(TestCaseError::fail)
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn faults_seed_1() {
    run(1, 500);
}

#[test]
fn faults_seed_2() {
    run(2, 500);
}

#[test]
fn faults_seed_3() {
    run(3, 500);
}

#[test]
fn faults_seed_4() {
    run(4, 500);
}
