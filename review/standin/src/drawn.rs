//! Disruptions drawn from a seed, as plain data.

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng, seq::SliceRandom as _};

/// Number of nodes of a run.
pub const NODES: usize = 8;
/// Servers of the service at the start of a run.
const SERVERS: usize = 3;
/// Time without disruptions at the start and at the end of a run.
const CALM_MS: u64 = 3000;

/// A server, chosen when the disruption starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    Primary,
    /// The first or second server that is not the primary.
    Replica(usize),
    Index(usize),
}

/// A node, chosen when the disruption starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The sender of the next order.
    Order,
    /// The next node that writes a row of the table `failover`.
    Lease,
    Index(usize),
    All,
}

/// A disruption. Fields that end in `_ms` are milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    Crash {
        target: Target,
        for_ms: u64,
    },
    /// Two servers are down together.
    Pair {
        targets: [Target; 2],
        gap_ms: u64,
        for_ms: [u64; 2],
    },
    /// The server keeps its connections and answers nothing.
    Silence {
        target: Target,
        for_ms: u64,
    },
    /// The server receives no commits.
    Deaf {
        target: Target,
        for_ms: u64,
    },
    /// The server receives commits late.
    Lag {
        target: Target,
        delay_ms: u64,
        for_ms: u64,
    },
    /// The primary reaches no replica.
    Isolate {
        for_ms: u64,
    },
    StoreCut {
        target: Target,
        for_ms: u64,
    },
    /// The server and the nodes with a set bit do not reach each other.
    NodeCut {
        target: Target,
        nodes: u8,
        for_ms: u64,
    },
    /// The store answers 503, or nothing.
    StoreDown {
        is_silent: bool,
        for_ms: u64,
    },
    /// The store turns the nodes with a set bit away.
    Refuse {
        nodes: u8,
        for_ms: u64,
    },
    Kill {
        choice: Choice,
        after_ms: u64,
        for_ms: u64,
    },
    /// The node is stopped and goes on later.
    Stop {
        choice: Choice,
        after_ms: u64,
        for_ms: u64,
    },
    /// The server drains, and a new one starts at its address with its log.
    Release {
        target: Target,
        gap_ms: u64,
    },
    /// A fourth server starts; later it leaves, and its log is gone.
    Join {
        for_ms: u64,
    },
    /// The primary is lost, the order to replace it gets no answer and is carried out late, its sender
    /// is killed, and the primary is back.
    LateOrder(LateOrder),
}

impl Action {
    /// Whether the disruption concerns the primary.
    pub fn needs_primary(&self) -> bool {
        match self {
            Self::Crash { target, .. }
            | Self::Silence { target, .. }
            | Self::Deaf { target, .. }
            | Self::Lag { target, .. }
            | Self::StoreCut { target, .. }
            | Self::NodeCut { target, .. }
            | Self::Release { target, .. } => *target == Target::Primary,
            Self::Pair { .. } | Self::Isolate { .. } | Self::LateOrder(_) => true,
            Self::StoreDown { .. }
            | Self::Refuse { .. }
            | Self::Kill { .. }
            | Self::Stop { .. }
            | Self::Join { .. } => false,
        }
    }
}

/// Fields of [`Action::LateOrder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateOrder {
    /// Whether the primary is silent instead of down.
    pub is_silent: bool,
    /// Time from the order until it is carried out.
    pub late_ms: u64,
    /// If the next order is sent in the meantime, it gets no answer either, and the first one is carried
    /// out this time after it.
    pub follow_ms: Option<u64>,
    /// Time from the order until its server is silent; it goes on when the order takes effect.
    pub hidden: Option<u64>,
    /// How long the server of the next order receives nothing, if that names another one.
    pub behind_ms: Option<u64>,
    /// Time from the order until its sender is killed.
    pub kill_ms: u64,
    /// Time for which the sender is down.
    pub down_ms: u64,
    /// Time from the order until the primary is back.
    pub away_ms: u64,
    /// Replica that receives nothing, and for how long from the order on.
    pub deaf: Option<(usize, u64)>,
    /// Time from the return of the primary until it crashes once more.
    pub again_ms: Option<u64>,
}

/// A disruption and the time of its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    pub at_ms: u64,
    pub action: Action,
}

/// What a run does.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Share of the orders that get no answer and are carried out late.
    pub late_share: f64,
    /// Percentage of the usual time between two disruptions.
    pub pace: u64,
    /// Disruptions, earliest first.
    pub events: Vec<Event>,
}

impl Plan {
    pub fn draw(seed: u64, seconds: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let late_share = rng.random_range(0.3..=0.7);
        let pace = rng.random_range(70..200);
        // Half of the plans consist for the most part of late orders.
        let is_focused = rng.random_bool(0.5);
        let mut events = Vec::new();
        let mut at_ms = CALM_MS + rng.random_range(0..1000);
        if rng.random_bool(0.7) {
            at_ms += mix_orders(&mut rng, at_ms, &mut events);
        }
        let end = (seconds * 1000).saturating_sub(CALM_MS);
        while at_ms < end {
            let action = if is_focused && rng.random_bool(0.6) {
                Action::LateOrder(draw_late_order(&mut rng))
            } else {
                draw_action(&mut rng)
            };
            events.push(Event { at_ms, action });
            // Several start together.
            at_ms += if rng.random_bool(0.3) {
                rng.random_range(0..300)
            } else {
                rng.random_range(500..3500) * pace / 100
            };
        }
        Self {
            late_share,
            pace,
            events,
        }
    }
}

/// Restarts a replica, then some of the nodes. These list the servers in another order, and choose
/// another one of two with the same log. Returns how long it takes.
fn mix_orders(rng: &mut SmallRng, at_ms: u64, events: &mut Vec<Event>) -> u64 {
    let action = Action::Crash {
        target: draw_replica(rng),
        for_ms: rng.random_range(200..500),
    };
    events.push(Event { at_ms, action });
    let count = rng.random_range(2..NODES - 2);
    let mut nodes: [usize; NODES] = std::array::from_fn(|index| index);
    nodes.shuffle(rng);
    for index in nodes.into_iter().take(count) {
        let action = Action::Kill {
            choice: Choice::Index(index),
            after_ms: 0,
            for_ms: rng.random_range(50..500),
        };
        events.push(Event {
            at_ms: at_ms + 1000,
            action,
        });
    }
    2000
}

fn draw_target(rng: &mut SmallRng) -> Target {
    match rng.random_range(0..10) {
        0..4 => Target::Primary,
        4..7 => Target::Replica(rng.random_range(0..SERVERS - 1)),
        _ => Target::Index(rng.random_range(0..SERVERS)),
    }
}

fn draw_replica(rng: &mut SmallRng) -> Target {
    Target::Replica(rng.random_range(0..SERVERS - 1))
}

/// Draws a time of 0.2 to 20 s; most are short, so that the service works in between.
fn draw_outage(rng: &mut SmallRng) -> u64 {
    match rng.random_range(0..10) {
        0..6 => rng.random_range(200..3000),
        6..9 => rng.random_range(3000..8000),
        _ => rng.random_range(8000..=20_000),
    }
}

/// Draws at least one of the nodes, and not all.
fn draw_nodes(rng: &mut SmallRng) -> u8 {
    rng.random_range(1..u8::MAX)
}

fn draw_choice(rng: &mut SmallRng) -> Choice {
    match rng.random_range(0..10) {
        0..4 => Choice::Order,
        4..7 => Choice::Lease,
        _ => Choice::Index(rng.random_range(0..NODES)),
    }
}

fn draw_late_order(rng: &mut SmallRng) -> LateOrder {
    let follow_ms = rng.random_bool(0.6).then(|| rng.random_range(0..700));
    let late_ms = if follow_ms.is_some() {
        rng.random_range(6000..=11_700)
    } else {
        rng.random_range(3700..=6700)
    };
    LateOrder {
        is_silent: rng.random_bool(0.25),
        late_ms,
        follow_ms,
        hidden: rng.random_bool(0.6).then(|| rng.random_range(500..3500)),
        behind_ms: rng.random_bool(0.7).then(|| rng.random_range(500..3000)),
        kill_ms: rng.random_range(0..=200),
        down_ms: rng.random_range(500..8000),
        away_ms: rng.random_range(0..3500),
        deaf: rng.random_bool(0.8).then(|| {
            let last = late_ms + 2500;
            (
                rng.random_range(0..SERVERS - 1),
                rng.random_range(1000..last),
            )
        }),
        again_ms: rng.random_bool(0.7).then(|| rng.random_range(100..3000)),
    }
}

fn draw_action(rng: &mut SmallRng) -> Action {
    match rng.random_range(0..100) {
        0..28 => Action::LateOrder(draw_late_order(rng)),
        28..40 => Action::Crash {
            target: draw_target(rng),
            for_ms: draw_outage(rng),
        },
        40..44 => {
            let is_long = rng.random_bool(0.3);
            let range = if is_long { 15_000..=20_000 } else { 300..=9000 };
            Action::Pair {
                targets: [Target::Primary, draw_replica(rng)],
                gap_ms: rng.random_range(0..1500),
                for_ms: [rng.random_range(range.clone()), rng.random_range(range)],
            }
        }
        44..51 => Action::Silence {
            target: draw_target(rng),
            for_ms: rng.random_range(300..6000),
        },
        51..57 => Action::Deaf {
            target: draw_replica(rng),
            for_ms: rng.random_range(300..7000),
        },
        57..60 => Action::Lag {
            target: draw_replica(rng),
            delay_ms: rng.random_range(20..800),
            for_ms: rng.random_range(1000..8000),
        },
        60..64 => Action::Isolate {
            for_ms: rng.random_range(300..5000),
        },
        64..69 => Action::StoreCut {
            target: draw_target(rng),
            for_ms: rng.random_range(2000..9000),
        },
        69..74 => Action::NodeCut {
            target: draw_target(rng),
            nodes: draw_nodes(rng),
            for_ms: rng.random_range(300..8000),
        },
        74..77 => Action::StoreDown {
            is_silent: rng.random_bool(0.5),
            for_ms: rng.random_range(1000..6000),
        },
        77..80 => Action::Refuse {
            nodes: draw_nodes(rng),
            for_ms: rng.random_range(13_000..=20_000),
        },
        80..88 => Action::Kill {
            choice: if rng.random_bool(0.15) {
                Choice::All
            } else {
                draw_choice(rng)
            },
            after_ms: rng.random_range(0..=500),
            for_ms: rng.random_range(50..5000),
        },
        88..95 => Action::Stop {
            choice: draw_choice(rng),
            after_ms: rng.random_range(0..=500),
            for_ms: rng.random_range(300..=4000),
        },
        95..98 => Action::Release {
            target: draw_target(rng),
            gap_ms: rng.random_range(50..1500),
        },
        _ => Action::Join {
            for_ms: rng.random_range(3000..15_000),
        },
    }
}
