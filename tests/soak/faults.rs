//! The faults of a run: a random schedule that is the same for the same seed. Faults may overlap,
//! and each one ends.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

use crate::{proxy::Link, store::StoreFault};

/// A fault and the part of the site that it affects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The process of a node is killed and restarted.
    Kill { node: usize },
    /// The processes of all nodes are killed and restarted.
    KillAll,
    /// The process of a node receives SIGTERM. It is killed if it still runs later, and restarted.
    Terminate { node: usize },
    /// The process of a node is suspended (SIGSTOP) and resumed.
    Pause { node: usize },
    /// The network between a node and one server of a group is disturbed, or all of them when
    /// `server` is `None`.
    Network {
        node: usize,
        group: usize,
        server: Option<usize>,
        link: Link,
    },
    /// A server crashes and restarts: the current primary when `server` is `None`.
    Crash { group: usize, server: Option<usize> },
    /// The current primary neither sends nor receives commits.
    ReplicationCut { group: usize },
    /// Statements on the current primary hang.
    Hang { group: usize },
    /// The replicas of a group apply commits this late.
    Lag { group: usize, lag: Duration },
    /// The store misbehaves towards one node, or towards all nodes when `node` is `None`.
    Store {
        node: Option<usize>,
        fault: StoreFault,
    },
    /// The store drops its change history.
    DropHistory,
    /// The store goes away for a moment and comes back from a copy made when the fault began.
    RestoreStore,
    /// The operator writes a new version of the configuration.
    Reconfigure,
    /// The entry of a live replica is gone until the end of the fault, and all nodes are killed and
    /// restarted. Then the other replicas receive nothing, and the primary crashes.
    ForgottenReplica { group: usize },
}

/// A fault with the time at which it starts.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    /// Start of the fault, counted from the start of the fault window.
    pub at: Duration,
    pub duration: Duration,
    pub fault: Fault,
}

/// Number of nodes, of groups, and of servers in each group.
#[derive(Clone, Copy, Debug)]
pub struct SiteSize {
    pub nodes: usize,
    pub groups: usize,
    pub servers: usize,
}

/// Returns the faults of a seed, sorted by start time: on average one for each 400 ms.
pub fn plan(seed: u64, site: SiteSize, fault_window: Duration) -> Vec<PlannedFault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let millis = u64::try_from(fault_window.as_millis()).unwrap_or(u64::MAX);
    let count = millis / 400;
    let mut planned: Vec<PlannedFault> = (0..count)
        .map(|_| PlannedFault {
            at: Duration::from_millis(rng.random_range(0..millis)),
            duration: Duration::from_millis(rng.random_range(50..4000)),
            fault: random_fault(&mut rng, site),
        })
        .collect();
    // A generator of its own, so that the other faults of a seed stay as they were.
    let mut rng = SmallRng::seed_from_u64(!seed);
    if rng.random_bool(0.5) {
        planned.push(PlannedFault {
            at: Duration::from_millis(rng.random_range(0..millis / 2)),
            duration: Duration::from_millis(rng.random_range(300..1500)),
            fault: Fault::ForgottenReplica {
                group: rng.random_range(0..site.groups),
            },
        });
    }
    planned.sort_by_key(|planned| planned.at);
    planned
}

fn random_fault(rng: &mut SmallRng, site: SiteSize) -> Fault {
    let node = rng.random_range(0..site.nodes);
    let group = rng.random_range(0..site.groups);
    let server = rng
        .random_bool(0.5)
        .then(|| rng.random_range(0..site.servers));
    match rng.random_range(0..100) {
        0..8 => Fault::Kill { node },
        8..10 => Fault::KillAll,
        10..16 => Fault::Terminate { node },
        16..26 => Fault::Pause { node },
        26..48 => {
            let slow = Link::Delayed(Duration::from_millis(rng.random_range(5..200)));
            let links = [Link::Stalled, Link::AnswersStalled, Link::Reset, slow];
            let link = links.choose(rng).copied().unwrap_or(Link::Reset);
            Fault::Network {
                node,
                group,
                server,
                link,
            }
        }
        48..60 => Fault::Crash { group, server },
        60..66 => Fault::ReplicationCut { group },
        66..70 => Fault::Hang { group },
        70..78 => Fault::Lag {
            group,
            lag: Duration::from_millis(rng.random_range(100..3000)),
        },
        78..92 => {
            let slow = StoreFault::Slow(Duration::from_millis(rng.random_range(20..700)));
            let faults = [
                StoreFault::Busy,
                StoreFault::Unresponsive,
                StoreFault::LoseAnswers(0.4),
                StoreFault::DelayOrders(0.5),
                slow,
            ];
            let fault = faults.choose(rng).copied().unwrap_or(StoreFault::Busy);
            let node = rng.random_bool(0.5).then_some(node);
            Fault::Store { node, fault }
        }
        92..95 => Fault::DropHistory,
        95..98 => Fault::RestoreStore,
        _ => Fault::Reconfigure,
    }
}
