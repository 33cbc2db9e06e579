//! Property tests with random faults: no revision goes back, and some time after the last fault
//! each node has the same view as a naive full mesh, in which each node asks every other one.

mod support;

use std::{collections::BTreeMap, time::Duration};

use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};
use siskinhook_types::MemberState::{Alive, Dead};
use support::{SECOND, SimulatedFleet};

const ZONES: [&str; 3] = ["g-a", "g-b", "h-a"];
const PER_ZONE: usize = 3;
/// Time after the last fault within which reachable nodes must see each other as alive and
/// unreachable ones as dead. Twice the longest time between two attempts to reach a dead member
/// (1.5 times 30 s).
const CONVERGENCE_BOUND: Duration = Duration::from_secs(90);

#[derive(Clone, Debug)]
enum Step {
    Edit(usize),
    Kill(usize),
    Boot(usize),
    Pause(usize, u32),
    Cut(Vec<usize>),
    Loss(f64, f64, u64),
    Platform { up: bool, stale: usize },
    Run(u32),
    Check,
}

fn step() -> impl Strategy<Value = Step> {
    let node = || 0..ZONES.len() * PER_ZONE;
    prop_oneof![
        4 => node().prop_map(Step::Edit),
        1 => node().prop_map(Step::Kill),
        2 => node().prop_map(Step::Boot),
        1 => (node(), 1_u32..40).prop_map(|(n, s)| Step::Pause(n, s)),
        1 => proptest::sample::subsequence(vec![0, 1, 2], 0..=1).prop_map(Step::Cut),
        1 => (0.0..0.3, 0.0..0.3, 1_u64..300).prop_map(|(l, d, ms)| Step::Loss(l, d, ms)),
        1 => (any::<bool>(), 0_usize..4).prop_map(|(up, stale)| Step::Platform { up, stale }),
        3 => (0_u32..20).prop_map(Step::Run),
        1 => Just(Step::Check),
    ]
}

/// Returns, for each node, the nodes that it can reach and the newest revision that it can get.
fn full_mesh(fleet: &SimulatedFleet) -> BTreeMap<String, (Vec<String>, u64)> {
    let side = |name: &str| fleet.cut.contains(&fleet.nodes[name].zone);
    let see = |at: &str| {
        let reached = fleet.nodes.keys().filter(|name| side(name) == side(at));
        let reached: Vec<String> = reached.map(ToString::to_string).collect();
        let revision = |name: &String| {
            fleet.nodes[name.as_str()]
                .controller
                .propagation()
                .revision()
        };
        let newest = reached
            .iter()
            .filter_map(revision)
            .max()
            .unwrap_or_default();
        let table = if fleet.platform_up {
            fleet.table.len() - fleet.stale.min(fleet.table.len())
        } else {
            0
        };
        (reached, newest.max(table as u64))
    };
    let names = fleet.nodes.keys();
    names.map(|at| (at.to_string(), see(at))).collect()
}

/// Returns, for each node, the members that it sees as alive and its revision.
fn observed(fleet: &SimulatedFleet) -> BTreeMap<String, (Vec<String>, u64)> {
    let see = |name: &str| {
        let controller = &fleet.nodes[name].controller;
        let members = controller.membership().view().members;
        let mut alive: Vec<String> = Vec::new();
        for member in fleet.nodes.keys() {
            match members.get(member).map(|m| m.state) {
                Some(Alive) => alive.push(member.to_string()),
                Some(Dead) | None => {}
                // Neither alive nor dead; the suffix makes it differ from any full-mesh result.
                Some(state) => alive.push(format!("{member} {state:?}")),
            }
        }
        (
            alive,
            controller.propagation().revision().unwrap_or_default(),
        )
    };
    let names = fleet.nodes.keys();
    names.map(|name| (name.to_string(), see(name))).collect()
}

fn check(fleet: &mut SimulatedFleet) -> Result<(), TestCaseError> {
    fleet.loss = 0.0;
    fleet.duplicates = 0.0;
    fleet.delay = Duration::from_millis(2);
    // Wait for pauses that have not ended yet; they take less than 40 s.
    fleet.run(40 * SECOND + CONVERGENCE_BOUND);
    prop_assert_eq!(observed(fleet), full_mesh(fleet));
    Ok(())
}

/// Returns the name and the zone of a node.
fn vm(i: usize) -> (String, &'static str) {
    let zone = ZONES[i / PER_ZONE];
    (format!("{zone}-{}", i % PER_ZONE), zone)
}

fn apply(fleet: &mut SimulatedFleet, step: &Step) -> Result<(), TestCaseError> {
    match step {
        Step::Edit(i) if fleet.nodes.contains_key(vm(*i).0.as_str()) => fleet.edit(&vm(*i).0),
        Step::Kill(i) if fleet.nodes.len() > 2 => fleet.kill(&vm(*i).0),
        Step::Boot(i) => fleet.boot(&vm(*i).0, vm(*i).1),
        Step::Pause(i, seconds) if fleet.nodes.contains_key(vm(*i).0.as_str()) => {
            fleet.pause(&vm(*i).0, *seconds * SECOND);
        }
        Step::Cut(zones) => fleet.cut = zones.iter().map(|z| ZONES[*z].into()).collect(),
        Step::Loss(loss, duplicates, delay) => {
            fleet.loss = *loss;
            fleet.duplicates = *duplicates;
            fleet.delay = Duration::from_millis(*delay);
        }
        Step::Platform { up, stale } => {
            fleet.platform_up = *up;
            fleet.stale = *stale;
        }
        Step::Run(seconds) => fleet.run(*seconds * SECOND),
        Step::Check => check(fleet)?,
        _ => {}
    }
    Ok(())
}

/// Creates a test runner with a fixed seed, so that each run checks the same cases. The environment
/// variables `FLEET_SEED` and `FLEET_CASES` select other ones.
fn runner(cases: u32, seed: u64) -> TestRunner {
    let set = |name: &str| std::env::var(name).ok()?.parse().ok();
    let seed = set("FLEET_SEED").unwrap_or(seed);
    let cases = set("FLEET_CASES").map_or(cases, |n| u32::try_from(n).unwrap_or(cases));
    println!("proptest seed {seed}");
    TestRunner::new(ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    })
}

/// Guards against views and catalogues that do not converge after a mix of faults, and, at each
/// event, against a revision that goes back.
#[test]
fn agrees_with_a_full_mesh_after_faults() {
    let steps = (any::<u64>(), proptest::collection::vec(step(), 1..40));
    let result = runner(48, 1).run(&steps, |(seed, steps)| {
        let mut fleet = SimulatedFleet::new(seed);
        // The full mesh knows all addresses, so the nodes get them as seeds, in case they start
        // while the platform's list is unavailable.
        let names = (0..ZONES.len() * PER_ZONE).map(|i| vm(i).0.into());
        fleet.seeds = names.collect();
        fleet.start(&ZONES, PER_ZONE);
        for step in &steps {
            apply(&mut fleet, step)?;
        }
        fleet.cut.clear();
        fleet.platform_up = true;
        fleet.stale = 0;
        check(&mut fleet)?;
        prop_assert!(fleet.in_force(fleet.table.len() as u64));
        Ok(())
    });
    assert!(result.is_ok(), "{}", result.unwrap_err());
}

/// Guards against live members that are declared dead because of message loss alone, and stay
/// dead.
#[test]
fn message_loss_alone_does_not_keep_members_dead() {
    let result = runner(12, 2).run(&any::<u64>(), |seed| {
        let mut fleet = SimulatedFleet::with_nodes(seed, &ZONES, PER_ZONE);
        fleet.run(30 * SECOND);
        fleet.loss = 0.1;
        fleet.duplicates = 0.1;
        let mut dead = BTreeMap::new();
        for _ in 0..300 {
            fleet.run(SECOND);
            for at in fleet.nodes.keys() {
                for name in fleet.nodes.keys() {
                    if fleet.state(at, name) == Some(Dead) {
                        let seconds = dead.entry((at.clone(), name.clone())).or_insert(0);
                        *seconds += 1;
                        prop_assert!(
                            *seconds * SECOND <= CONVERGENCE_BOUND,
                            "{at} sees {name} as dead for too long"
                        );
                    } else {
                        dead.remove(&(at.clone(), name.clone()));
                    }
                }
            }
        }
        Ok(())
    });
    assert!(result.is_ok(), "{}", result.unwrap_err());
}

/// Guards against changes and deaths that spread too slowly when 2% of the messages are lost.
#[test]
fn changes_and_deaths_spread_quickly_under_loss() {
    let result = runner(24, 3).run(&any::<u64>(), |seed| {
        let mut fleet = SimulatedFleet::with_nodes(seed, &["g-a", "g-b", "g-c", "g-d"], 8);
        prop_assert!(
            fleet
                .run_until(60 * SECOND, SimulatedFleet::converged)
                .is_some()
        );
        fleet.loss = 0.02;
        fleet.edit("g-a-0");
        let time = fleet.run_until(3 * SECOND, |f| f.in_force(1));
        prop_assert!(time.is_some(), "the change is not in force after 3 s");
        fleet.kill("g-b-1");
        let time = fleet.run_until(15 * SECOND, |f| f.all_see("g-b-1", Some(Dead)));
        prop_assert!(time.is_some(), "the death is not known after 15 s");
        Ok(())
    });
    assert!(result.is_ok(), "{}", result.unwrap_err());
}
