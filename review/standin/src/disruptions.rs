//! Carries drawn disruptions out.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use rand::{SeedableRng as _, rngs::SmallRng};

use crate::{
    drawn::{Action, Choice, LateOrder, Plan, Target},
    node::Node,
    scenarios::{Broken, Writers, finish, millis},
    site::{Delay, Network, Server, Site, unix_millis},
};

/// Time from an order until its server leads.
const PROMOTION_TIME: Duration = Duration::from_millis(300);
/// Time for which a disruption waits for an order or a row of the table `failover`.
const ORDER_LIMIT: Duration = Duration::from_secs(6);
/// Longest time for which a disruption waits for the order after a late one.
const NEXT_LIMIT: Duration = Duration::from_secs(12);
/// Longest time for which the server of a late order is silent.
const HIDDEN_LIMIT: Duration = Duration::from_secs(8);
/// Time for which a server drains.
const DRAIN_TIME: Duration = Duration::from_secs(7);
/// Index of the server that joins.
const JOINING: usize = 3;

struct Run {
    site: Arc<Site>,
    nodes: Vec<Mutex<Node>>,
    names: Vec<String>,
    /// Whether a disruption waits for an order and handles it.
    has_late_order: AtomicBool,
}

/// Clients write while the disruptions of a seed happen.
pub fn run(
    site: &Arc<Site>,
    nodes: Vec<Node>,
    has_trouble: bool,
    seed: u64,
    seconds: u64,
) -> Broken {
    let plan = Plan::draw(seed, seconds);
    let since_start = u64::try_from(site.started.elapsed().as_millis()).unwrap_or_default();
    site.note(&format!(
        "seed {seed}, {seconds} s, share of late orders {:.2}, pace {}%, started at {} (Unix ms)",
        plan.late_share,
        plan.pace,
        unix_millis() - since_start
    ));
    for event in &plan.events {
        site.note(&format!("plan: {} ms {:?}", event.at_ms, event.action));
    }
    let late_share = if has_trouble { plan.late_share } else { 0.0 };
    {
        let mut world = site.lock();
        world.promotion_time = PROMOTION_TIME;
        world.network = Some(Network {
            rng: SmallRng::seed_from_u64(seed),
            late_share,
            next_delay: None,
        });
    }
    let delivery = site.clone();
    thread::spawn(move || delivery.run_delivery());
    let writers = Writers::start(site, &nodes);
    let run = Run {
        site: site.clone(),
        names: nodes.iter().map(|node| node.name.clone()).collect(),
        nodes: nodes.into_iter().map(Mutex::new).collect(),
        has_late_order: AtomicBool::new(false),
    };
    let started = Instant::now();
    thread::scope(|scope| {
        for event in plan.events.iter().filter(|_| has_trouble) {
            sleep(millis(event.at_ms).saturating_sub(started.elapsed()));
            let run = &run;
            scope.spawn(move || run.carry_out(event.action));
        }
        sleep(millis(seconds * 1000).saturating_sub(started.elapsed()));
    });
    sleep(millis(4000));
    finish(site, writers)
}

impl Run {
    fn node(&self, index: usize) -> MutexGuard<'_, Node> {
        self.nodes[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn resolve(&self, target: Target) -> usize {
        let world = self.site.lock();
        let servers = &world.servers;
        let leads = |index: &usize| servers[*index].is_primary;
        let primary = (0..servers.len())
            .filter(leads)
            .max_by_key(|index| servers[*index].term);
        let replica = |nth: usize| {
            let mut others = (0..servers.len()).filter(|index| {
                Some(*index) != primary && (*index != JOINING || servers[*index].is_up)
            });
            others.nth(nth)
        };
        match target {
            Target::Primary => primary.unwrap_or_default(),
            Target::Replica(nth) => replica(nth).unwrap_or_default(),
            Target::Index(index) => index,
        }
    }

    fn name(&self, index: usize) -> String {
        self.site.lock().servers[index].id.clone()
    }

    /// Waits for the next order, or the next row of the table `failover`; returns the node's index.
    fn wait_for_sender(&self, is_order: bool, after: Instant) -> Option<usize> {
        while after.elapsed() < ORDER_LIMIT {
            let world = self.site.lock();
            let last = if is_order {
                &world.last_order
            } else {
                &world.last_lease
            };
            if let Some((name, _)) = last.as_ref().filter(|(_, at)| *at > after) {
                return self.names.iter().position(|known| known == name);
            }
            drop(world);
            sleep(millis(2));
        }
        None
    }

    fn choose(&self, choice: Choice) -> Vec<usize> {
        match choice {
            Choice::Index(index) => vec![index],
            Choice::All => (0..self.nodes.len()).collect(),
            Choice::Order => Vec::from_iter(self.wait_for_sender(true, Instant::now())),
            Choice::Lease => Vec::from_iter(self.wait_for_sender(false, Instant::now())),
        }
    }

    fn crash(&self, index: usize, time: Duration) {
        if self.site.crash(index) {
            sleep(time);
            self.site.restart(index);
        }
    }

    fn kill(&self, nodes: &[usize], time: Duration) {
        let mut killed = Vec::new();
        for index in nodes {
            if self.node(*index).kill() {
                killed.push(*index);
                self.site
                    .note(&format!("node {} is killed", self.names[*index]));
            }
        }
        sleep(time);
        for index in killed {
            self.node(index).start_again();
            self.site
                .note(&format!("node {} starts again", self.names[index]));
        }
    }

    fn stop(&self, index: usize, time: Duration) {
        let process = {
            let node = self.node(index);
            node.signal("-STOP");
            node.process()
        };
        self.site
            .note(&format!("node {} is stopped", self.names[index]));
        sleep(time);
        let node = self.node(index);
        if node.process() == process {
            node.signal("-CONT");
        }
        self.site
            .note(&format!("node {} goes on", self.names[index]));
    }

    fn release(&self, index: usize, gap: Duration) {
        let before = self.name(index);
        self.site.drain(index);
        sleep(DRAIN_TIME);
        if self.name(index) == before && self.site.crash(index) {
            self.site.remove_entry(index);
            sleep(gap);
            self.site.restart(index);
        }
    }

    fn join(&self, time: Duration) {
        if self.site.lock().servers[JOINING].is_up {
            return;
        }
        self.site.join(JOINING);
        let before = self.name(JOINING);
        sleep(time);
        let leads = || self.site.lock().servers[JOINING].is_primary;
        if self.name(JOINING) != before || leads() {
            return;
        }
        self.site.drain(JOINING);
        sleep(DRAIN_TIME);
        // A primary stays, since its log would be gone with it.
        if self.name(JOINING) == before && !leads() && self.site.crash(JOINING) {
            self.site.remove_entry(JOINING);
            self.site.clear(JOINING);
        }
    }

    fn late_order(&self, order: LateOrder) {
        let index = self.resolve(Target::Primary);
        let deaf = order
            .deaf
            .map(|(nth, time)| (self.resolve(Target::Replica(nth)), time));
        let started = Instant::now();
        let set_delay = |delay: Option<Delay>| {
            if let Some(network) = &mut self.site.lock().network {
                network.next_delay = delay;
            }
        };
        set_delay(Some(Delay {
            time: millis(order.late_ms),
            follow: order.follow_ms.map(millis),
        }));
        if order.is_silent {
            self.site.disrupt(index, "is silent", |server| {
                server.silent_until = Some(started + ORDER_LIMIT);
            });
        } else if !self.site.crash(index) {
            set_delay(None);
            return;
        }
        let sender = self.wait_for_sender(true, started);
        let ordered_at = Instant::now();
        if sender.is_none() {
            set_delay(None);
        }
        if let Some((replica, time)) = deaf {
            self.site.disrupt(replica, "receives nothing", |server| {
                server.deaf_until = Some(ordered_at + millis(time));
            });
        }
        thread::scope(|scope| {
            if let Some(node) = sender {
                scope.spawn(move || {
                    sleep(millis(order.kill_ms));
                    self.kill(&[node], millis(order.down_ms));
                });
            }
            if let Some(from) = order.hidden.filter(|_| sender.is_some()) {
                let named = self.site.lock().last_named.clone();
                scope.spawn(move || {
                    sleep(millis(from));
                    self.hide(&named);
                });
            }
            if let Some(time) = order.behind_ms.filter(|_| sender.is_some()) {
                scope.spawn(move || self.delay_next(ordered_at, millis(time)));
            }
            sleep(millis(order.away_ms));
            if order.is_silent {
                self.site
                    .disrupt(index, "goes on", |server| server.silent_until = None);
            } else {
                self.site.restart(index);
            }
            if let Some(time) = order.again_ms {
                sleep(millis(time));
                self.crash(index, millis(order.away_ms + 1000));
            }
        });
    }

    /// Lets the server of the next order receive nothing, if it is another one than that of the last.
    fn delay_next(&self, ordered_at: Instant, time: Duration) {
        let named = self.site.lock().last_named.clone();
        while ordered_at.elapsed() < NEXT_LIMIT {
            sleep(millis(2));
            let world = self.site.lock();
            if world.last_named == named {
                continue;
            }
            let is_next = |server: &Server| server.id == world.last_named;
            let next = world.servers.iter().position(is_next);
            drop(world);
            if let Some(index) = next {
                self.site.disrupt(index, "receives nothing", |server| {
                    server.deaf_until = Some(Instant::now() + time);
                });
            }
            return;
        }
    }

    /// Keeps a server silent until it leads.
    fn hide(&self, id: &str) {
        let index = {
            let world = self.site.lock();
            world.servers.iter().position(|server| server.id == id)
        };
        if let Some(index) = index {
            let end = Instant::now() + HIDDEN_LIMIT;
            self.site.disrupt(index, "is silent", |server| {
                server.silent_until = Some(end);
            });
            while Instant::now() < end && !self.site.lock().servers[index].is_primary {
                sleep(millis(2));
            }
            self.site
                .disrupt(index, "goes on", |server| server.silent_until = None);
        }
    }

    fn selected(&self, nodes: u8) -> Vec<String> {
        let names = self.names.iter().enumerate();
        let names = names.filter(|(index, _)| nodes & (1 << index) != 0);
        names.map(|(_, name)| name.clone()).collect()
    }

    fn carry_out(&self, action: Action) {
        let site = &self.site;
        site.note(&format!("starts: {action:?}"));
        let is_led = |server: &Server| server.is_up && server.is_primary;
        if action.needs_primary() && !site.lock().servers.iter().any(is_led) {
            site.note("skipped: no server leads");
            return;
        }
        match action {
            Action::Crash { target, for_ms } => self.crash(self.resolve(target), millis(for_ms)),
            Action::Pair {
                targets,
                gap_ms,
                for_ms,
            } => {
                let [first, second] = targets.map(|target| self.resolve(target));
                thread::scope(|scope| {
                    scope.spawn(|| self.crash(first, millis(for_ms[0])));
                    sleep(millis(gap_ms));
                    self.crash(second, millis(for_ms[1]));
                });
            }
            Action::NodeCut {
                target,
                nodes,
                for_ms,
            } => self.cut_nodes(self.resolve(target), nodes, millis(for_ms)),
            Action::StoreDown { is_silent, for_ms } => {
                {
                    let store = &mut site.lock().store;
                    let end = if is_silent {
                        &mut store.silent_until
                    } else {
                        &mut store.down_until
                    };
                    *end = Some(Instant::now() + millis(for_ms));
                }
                site.changed.notify_all();
            }
            Action::Refuse { nodes, for_ms } => {
                let refused = self.selected(nodes).into_iter();
                let end = Instant::now() + millis(for_ms);
                let refused = refused.map(|name| (name, end));
                site.lock().store.refused.extend(refused);
                site.changed.notify_all();
            }
            Action::Kill {
                choice,
                after_ms,
                for_ms,
            } => {
                let nodes = self.choose(choice);
                sleep(millis(after_ms));
                self.kill(&nodes, millis(for_ms));
            }
            Action::Stop {
                choice,
                after_ms,
                for_ms,
            } => {
                let nodes = self.choose(choice);
                sleep(millis(after_ms));
                for index in nodes {
                    self.stop(index, millis(for_ms));
                }
            }
            Action::Release { target, gap_ms } => {
                self.release(self.resolve(target), millis(gap_ms));
            }
            Action::Join { for_ms } => self.join(millis(for_ms)),
            Action::LateOrder(order) => {
                // Two at a time would leave the service without a primary most of the time.
                if self.has_late_order.swap(true, Ordering::Relaxed) {
                    site.note("skipped: another order is awaited");
                    return;
                }
                self.late_order(order);
                self.has_late_order.store(false, Ordering::Relaxed);
            }
            _ => self.disrupt(action),
        }
    }

    fn cut_nodes(&self, index: usize, nodes: u8, time: Duration) {
        let (names, end) = (self.selected(nodes), Instant::now() + time);
        let text = format!("is cut off from {}", names.join(" "));
        self.site.disrupt(index, &text, |server| {
            let cuts = names.iter().map(|name| (name.clone(), end));
            server.cut_nodes.extend(cuts);
        });
        sleep(time);
        self.site.close_unreachable(index, &names, time);
    }

    /// Starts a condition of a server that ends by itself.
    fn disrupt(&self, action: Action) {
        let site = &self.site;
        let until = |time: u64| Instant::now() + millis(time);
        match action {
            Action::Silence { target, for_ms } => {
                site.disrupt(self.resolve(target), "is silent", |server| {
                    server.silent_until = Some(until(for_ms));
                });
            }
            Action::Deaf { target, for_ms } => {
                site.disrupt(self.resolve(target), "receives nothing", |server| {
                    server.deaf_until = Some(until(for_ms));
                });
            }
            Action::Lag {
                target,
                delay_ms,
                for_ms,
            } => site.disrupt(self.resolve(target), "receives late", |server| {
                server.lag = Some((until(for_ms), millis(delay_ms)));
            }),
            Action::Isolate { for_ms } => {
                site.disrupt(
                    self.resolve(Target::Primary),
                    "reaches no replica",
                    |server| {
                        server.isolated_until = Some(until(for_ms));
                    },
                );
            }
            Action::StoreCut { target, for_ms } => {
                site.disrupt(
                    self.resolve(target),
                    "is cut off from the store",
                    |server| {
                        server.cut_until = Some(until(for_ms));
                    },
                );
            }
            _ => {}
        }
    }
}
