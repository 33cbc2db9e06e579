//! Tests of reads while a replaced primary still believes that it leads.

mod support;

use std::rc::Rc;

use assert_matches::assert_matches;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use siskinhook_gateway::{
    BootInstant, Gateway, GatewaySettings, Leadership, Refusal, Session, Watermark,
};
use siskinhook_types::{LogPoint, Role, Term};
use support::{FakeDialer, World, ask, node, node_with, world};
use tokio::task::{LocalSet, spawn_local};

/// Seeds of the random interleavings.
const SEEDS: std::ops::Range<u64> = 0..3000;
/// Steps of one interleaving.
const STEPS: u32 = 120;

/// Creates a node on a platform that does not demote a replaced primary.
fn careful_node(world: &World) -> Rc<Gateway<FakeDialer>> {
    let confirm_leader = true;
    let settings = GatewaySettings {
        confirm_leader,
        ..GatewaySettings::default()
    };
    node_with("n1", world, 1, settings)
}

/// Promotes the second server; the first one does not learn of it.
fn promote_unnoticed(world: &World) {
    let mut world = world.borrow_mut();
    for index in [1, 2] {
        world[index].term = 2;
        world[index].position += 3;
        world[index].received = world[index].position;
    }
    world[1].role = Role::Primary;
}

async fn local(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

/// Guards against a read at a primary that was cut off together with the reader and replaced: it
/// lacks the commits that the new primary acknowledged.
#[tokio::test(start_paused = true)]
async fn cut_off_reader_does_not_trust_a_superseded_primary() {
    local(async {
        let world = world();
        let gateway = careful_node(&world);
        let mut session = Session::open(&gateway, "strong").unwrap();
        assert!(ask(&mut session, "READ 1").await.result.is_ok());
        promote_unnoticed(&world);
        for index in [1, 2] {
            world.borrow_mut()[index].reachable = false;
        }
        let ran = world.borrow()[0].ran.len();
        let answer = ask(&mut session, "READ 1").await;
        assert_matches!(answer.result, Err((Refusal::Busy, _)));
        ask(&mut session, "BEGIN").await;
        let answer = ask(&mut session, "READ 1").await;
        assert_matches!(answer.result, Err((Refusal::Busy, _)));
        assert_eq!(
            world.borrow()[0].ran.len(),
            ran,
            "a read ran on the old log"
        );
    })
    .await;
}

/// Guards against a read at a superseded primary that the reader, but not the promoter, reaches,
/// and against leaving that server in the belief that it leads.
#[tokio::test(start_paused = true)]
async fn superseded_primary_is_left_and_demoted() {
    local(async {
        let world = world();
        let gateway = careful_node(&world);
        let mut session = Session::open(&gateway, "strong").unwrap();
        assert!(ask(&mut session, "READ 1").await.result.is_ok());
        promote_unnoticed(&world);
        let ran = world.borrow()[0].ran.len();
        let answer = ask(&mut session, "READ 1").await;
        assert!(answer.result.is_ok(), "{answer:?}");
        assert_eq!(answer.point, Some(LogPoint::new(2, 13)));
        assert_eq!(
            world.borrow()[0].ran.len(),
            ran,
            "a read ran on the old log"
        );
        assert_eq!(world.borrow()[0].role, Role::Replica);
    })
    .await;
}

/// Guards against trusting the primary while a promotion is under way: its replicas are paused, and
/// the new primary may lead at any moment.
#[tokio::test(start_paused = true)]
async fn paused_replicas_confirm_nothing() {
    local(async {
        let world = world();
        let gateway = careful_node(&world);
        for index in [1, 2] {
            world.borrow_mut()[index].paused_term = 2;
        }
        let mut session = Session::open(&gateway, "strong").unwrap();
        let answer = ask(&mut session, "READ 1").await;
        assert_matches!(answer.result, Err((Refusal::Busy, _)));
        world.borrow_mut()[2].paused_term = 0;
        let answer = ask(&mut session, "READ 1").await;
        assert!(answer.result.is_ok(), "{answer:?}");
    })
    .await;
}

/// Guards against trusting a replica that restarted after it was paused: it has lost the pause and
/// knows only the old term. Likewise for a primary that is back after it was cut off.
#[tokio::test(start_paused = true)]
async fn servers_confirm_nothing_just_after_an_outage() {
    local(async {
        for server in [0, 2] {
            let world = world();
            let gateway = careful_node(&world);
            let mut session = Session::open(&gateway, "strong").unwrap();
            assert!(ask(&mut session, "READ 1").await.result.is_ok());
            for index in [1, server] {
                world.borrow_mut()[index].reachable = false;
            }
            let mut bounded = Session::open(&gateway, "bounded").unwrap();
            for _ in 0..4 {
                ask(&mut session, "READ 1").await;
                ask(&mut bounded, "READ 1").await;
            }
            world.borrow_mut()[server].reachable = true;
            let ran = world.borrow()[0].ran.len();
            let answer = ask(&mut session, "READ 1").await;
            assert_matches!(answer.result, Err((Refusal::Busy, _)));
            assert_eq!(world.borrow()[0].ran.len(), ran, "server {server}");
        }
    })
    .await;
}

/// Guards against one question to a replica per read at a crest, and against any question where the
/// platform demotes a replaced primary itself.
#[tokio::test(start_paused = true)]
async fn concurrent_reads_share_a_confirmation() {
    local(async {
        let world = world();
        let gateway = careful_node(&world);
        let reads: Vec<_> = (0..10)
            .map(|_| {
                let mut session = Session::open(&gateway, "strong").unwrap();
                spawn_local(async move { ask(&mut session, "READ 1").await.result.is_ok() })
            })
            .collect();
        for read in reads {
            assert!(read.await.unwrap());
        }
        let asked = gateway.counters.confirmations.get();
        assert!((1..=2).contains(&asked), "{asked} questions for 10 reads");
        let plain = node("n2", &world);
        let mut session = Session::open(&plain, "strong").unwrap();
        assert!(ask(&mut session, "READ 1").await.result.is_ok());
        assert_eq!(plain.counters.confirmations.get(), 0);
    })
    .await;
}

/// Guards against a bounded read that is refused although an acknowledged commit has proved the
/// log position, and against one that runs when all proofs are older than its bound.
#[tokio::test(start_paused = true)]
async fn commit_confirms_the_primary() {
    let at = BootInstant::from_boot;
    let millis = std::time::Duration::from_millis;
    let mut leadership = Leadership::default();
    let claim = |ms, position| Watermark {
        at: at(millis(ms)),
        point: LogPoint::new(1, position),
    };
    assert_eq!(leadership.claim(claim(10, 5)), None);
    assert_eq!(leadership.confirm(1, at(millis(10))), [claim(10, 5)]);
    assert_eq!(leadership.confirmation(1), Some(at(millis(10))));
    // A later claim is proved only up to the confirmation.
    let proved = leadership.claim(claim(30, 8));
    assert_eq!(
        proved,
        Some(Watermark {
            at: at(millis(10)),
            ..claim(30, 8)
        })
    );
    assert_eq!(leadership.confirm(1, at(millis(40))), [claim(30, 8)]);
    assert_eq!(leadership.confirmation(2), None);
}

/// A server of the interleavings.
#[derive(Clone, Copy, Default)]
struct Replica {
    log: LogPoint,
    term: Term,
    paused: bool,
}

/// Group of three servers whose first one leads term 1 and is never demoted.
#[derive(Default)]
struct Model {
    now: u64,
    servers: [Replica; 3],
    /// Leader of term 2, once promoted.
    promoted: Option<usize>,
    /// Time and log point of each acknowledged commit.
    acknowledged: Vec<(u64, LogPoint)>,
}

/// Question on its way: when it was sent, and to which server.
type Question = (u64, usize);

impl Model {
    fn new() -> Self {
        let server = Replica {
            log: LogPoint::new(1, 0),
            term: 1,
            paused: false,
        };
        Self {
            servers: [server; 3],
            ..Self::default()
        }
    }

    /// Commits at a server that believes it leads, and acknowledges once a replica received it.
    fn commit(&mut self, random: &mut SmallRng, leader: usize) {
        let term = self.servers[leader].term;
        self.servers[leader].log = LogPoint::new(term, self.servers[leader].log.position + 1);
        let log = self.servers[leader].log;
        let mut received = false;
        for index in (0..3).filter(|index| *index != leader) {
            let server = &mut self.servers[index];
            if server.term == term && !server.paused && random.random_bool(0.7) {
                server.log = log;
                received = true;
            }
        }
        if received {
            self.acknowledged.push((self.now, log));
        }
    }

    /// Promotes the replica with the longer log once both are paused.
    fn promote(&mut self) {
        if self.promoted.is_none() && self.servers[1].paused && self.servers[2].paused {
            let chosen = if self.servers[1].log >= self.servers[2].log {
                1
            } else {
                2
            };
            // The log ends in the old term until the first commit of the new primary.
            let log = self.servers[chosen].log;
            for index in [1, 2] {
                self.servers[index] = Replica {
                    log,
                    term: 2,
                    paused: false,
                };
            }
            self.promoted = Some(chosen);
        }
    }

    /// Returns whether the watermark holds all commits acknowledged before its time.
    fn covers(&self, watermark: Watermark) -> bool {
        self.acknowledged
            .iter()
            .all(|(at, log)| time(*at) >= watermark.at || *log <= watermark.point)
    }
}

fn time(step: u64) -> BootInstant {
    BootInstant::from_boot(std::time::Duration::from_millis(step))
}

/// What a node takes as proof of a claim.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Proof {
    /// The confirmation that the gateway requires.
    Confirmation,
    /// The word of the server itself.
    Claim,
}

/// Plays one interleaving. Returns the number of watermarks, and whether one of them is wrong.
fn play(seed: u64, proof: Proof) -> (usize, bool) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut model = Model::new();
    let mut leadership = Leadership::default();
    let mut questions: Vec<Question> = Vec::new();
    let (mut count, mut wrong) = (0, false);
    for _ in 0..STEPS {
        model.now += u64::from(random.random_bool(0.8));
        let mut proved = Vec::new();
        match random.random_range(0..12) {
            0..=2 => model.commit(&mut random, 0),
            3 | 4 => {
                if let Some(leader) = model.promoted {
                    model.commit(&mut random, leader);
                }
            }
            5 => {
                let index = random.random_range(1..3);
                model.servers[index].paused |= model.promoted.is_none() && random.random_bool(0.3);
            }
            6 => model.promote(),
            7..=9 => questions.push((model.now, random.random_range(0..3))),
            _ if questions.is_empty() => {}
            _ => {
                // Answers arrive in any order, some never.
                let index = random.random_range(0..questions.len());
                let (sent, server) = questions.swap_remove(index);
                let state = model.servers[server];
                let leads = server == 0 || model.promoted == Some(server);
                let claim = Watermark {
                    at: time(sent),
                    point: state.log,
                };
                if leads && proof == Proof::Claim {
                    proved.push(claim);
                } else if leads {
                    proved.extend(leadership.claim(claim));
                } else if !state.paused {
                    proved = leadership.confirm(state.term, time(sent));
                }
            }
        }
        count += proved.len();
        wrong |= proved.iter().any(|watermark| !model.covers(*watermark));
    }
    (count, wrong)
}

/// Guards against a watermark that misses an acknowledged commit, over random interleavings of
/// commits, pauses, a promotion and delayed answers. A node that trusts the word of a primary fails
/// the same check.
#[test]
fn watermarks_hold_every_acknowledged_commit() {
    let mut total = 0;
    for seed in SEEDS {
        let (count, wrong) = play(seed, Proof::Confirmation);
        assert!(!wrong, "seed {seed}");
        total += count;
    }
    assert!(total > 10_000, "only {total} watermarks were checked");
    let found = SEEDS.into_iter().any(|seed| play(seed, Proof::Claim).1);
    assert!(found, "the check finds no fault");
}
