//! Faults: a seeded series that overlaps, each with its end.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

use crate::{proxy::Link, store::StoreFault};

/// What fails, and for which part of the site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The process is killed and starts again at the end.
    Kill { node: usize },
    /// All processes are killed and start again at the end.
    KillAll,
    /// The process is asked to stop; it starts again after it ended.
    Stop { node: usize },
    /// The process stands still.
    Pause { node: usize },
    /// The way between a node and all servers of a group is disturbed, or to one of them.
    Way {
        node: usize,
        group: usize,
        server: Option<usize>,
        link: Link,
    },
    /// A server crashes; the primary at that time when `server` is `None`.
    Crash { group: usize, server: Option<usize> },
    /// The primary at that time neither sends nor receives commits.
    Deaf { group: usize },
    /// The statements of the primary at that time hang.
    Mute { group: usize },
    /// The replicas of a group apply late.
    Lag { group: usize, lag: Duration },
    /// The store treats one node badly, or all of them.
    Store {
        node: Option<usize>,
        fault: StoreFault,
    },
    /// The store forgets its history.
    Forget,
    /// The operator writes a new configuration.
    Configure,
}

/// A fault with its time.
#[derive(Clone, Copy, Debug)]
pub struct Planned {
    pub at: Duration,
    pub lasts: Duration,
    pub fault: Fault,
}

/// Size of the site that faults hit.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    pub nodes: usize,
    pub groups: usize,
    pub servers: usize,
}

/// Returns the faults of a seed, sorted by time: about one each 400 ms.
pub fn plan(seed: u64, site: Site, length: Duration) -> Vec<Planned> {
    let mut random = SmallRng::seed_from_u64(seed);
    let millis = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    let count = millis / 400;
    let mut planned: Vec<Planned> = (0..count)
        .map(|_| Planned {
            at: Duration::from_millis(random.random_range(0..millis)),
            lasts: Duration::from_millis(random.random_range(50..4000)),
            fault: draw(&mut random, site),
        })
        .collect();
    planned.sort_by_key(|planned| planned.at);
    planned
}

fn draw(random: &mut SmallRng, site: Site) -> Fault {
    let node = random.random_range(0..site.nodes);
    let group = random.random_range(0..site.groups);
    let server = random
        .random_bool(0.5)
        .then(|| random.random_range(0..site.servers));
    match random.random_range(0..100) {
        0..8 => Fault::Kill { node },
        8..10 => Fault::KillAll,
        10..16 => Fault::Stop { node },
        16..26 => Fault::Pause { node },
        26..48 => {
            let slow = Link::Slow(Duration::from_millis(random.random_range(5..200)));
            let links = [Link::Silent, Link::Deaf, Link::Reset, slow];
            let link = links.choose(random).copied().unwrap_or(Link::Reset);
            Fault::Way {
                node,
                group,
                server,
                link,
            }
        }
        48..60 => Fault::Crash { group, server },
        60..66 => Fault::Deaf { group },
        66..70 => Fault::Mute { group },
        70..78 => Fault::Lag {
            group,
            lag: Duration::from_millis(random.random_range(100..3000)),
        },
        78..92 => {
            let slow = StoreFault::Slow(Duration::from_millis(random.random_range(20..700)));
            let faults = [
                StoreFault::Busy,
                StoreFault::Silent,
                StoreFault::Lossy(0.4),
                StoreFault::Late(0.5),
                slow,
            ];
            let fault = faults.choose(random).copied().unwrap_or(StoreFault::Busy);
            let node = random.random_bool(0.5).then_some(node);
            Fault::Store { node, fault }
        }
        92..95 => Fault::Forget,
        _ => Fault::Configure,
    }
}
