//! Simulates a fleet of controllers in virtual time, with seeded message loss, duplication and
//! delay, partitions of zones, pauses and restarts.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use siskinhook_fleet::{
    Action, Answer, Call, CatalogueUpdate, Controller, FleetSettings, Identity, PeerMessage,
    Profile,
};
use siskinhook_types::{Catalogue, Change, MemberState, NodeId, Revision, VmRecord};
use smol_str::SmolStr;

pub const SECOND: Duration = Duration::from_secs(1);

pub struct Node {
    pub controller: Controller,
    pub zone: SmolStr,
    /// Random ID that distinguishes processes of the same node name.
    process: u64,
    paused: Option<Duration>,
    /// Time of the earliest scheduled tick.
    tick_at: Option<Duration>,
    /// Revision in force on this process at its last event.
    revision: Option<Revision>,
}

enum Event {
    Tick(NodeId, u64),
    Request(NodeId, Call, (NodeId, u64)),
    Result((NodeId, u64), Call, Option<PeerMessage>),
    Relayed(NodeId, NodeId, Call, (NodeId, u64), Option<PeerMessage>),
    Catalogue(NodeId, u64, Result<CatalogueUpdate, SmolStr>),
    List(NodeId, u64, Option<Vec<VmRecord>>),
}

/// Nodes, messages in flight, and a platform whose table has one row per change.
pub struct SimulatedFleet {
    start: Instant,
    pub now: Duration,
    events: BTreeMap<u64, Event>,
    order: BinaryHeap<Reverse<(Duration, u64)>>,
    next: u64,
    pub random: SmallRng,
    pub nodes: IndexMap<NodeId, Node>,
    pub loss: f64,
    pub duplicates: f64,
    pub delay: Duration,
    pub cut: Vec<SmolStr>,
    pub table: Vec<Change>,
    pub platform_up: bool,
    /// Number of newest changes in the table that reads do not return yet.
    pub stale: usize,
    pub vms: Vec<VmRecord>,
    pub settings: FleetSettings,
    pub seeds: Vec<SmolStr>,
}

pub fn change(revision: Revision) -> Change {
    Change {
        revision,
        edit: format!("edit-{revision}").into(),
        service: format!("service-{}", revision % 3).into(),
        entry: None,
    }
}

impl SimulatedFleet {
    pub fn new(seed: u64) -> Self {
        println!("seed {seed}");
        Self {
            start: Instant::now(),
            now: Duration::ZERO,
            events: BTreeMap::new(),
            order: BinaryHeap::new(),
            next: 0,
            random: SmallRng::seed_from_u64(seed),
            nodes: IndexMap::new(),
            loss: 0.0,
            duplicates: 0.0,
            delay: Duration::from_millis(2),
            cut: Vec::new(),
            table: Vec::new(),
            platform_up: true,
            stale: 0,
            vms: Vec::new(),
            settings: FleetSettings::default(),
            seeds: Vec::new(),
        }
    }

    pub fn with_nodes(seed: u64, zones: &[&str], per_zone: usize) -> Self {
        let mut fleet = Self::new(seed);
        fleet.start(zones, per_zone);
        fleet
    }

    /// Adds VMs `<zone>-<i>` to the platform's list and starts a node on each.
    pub fn start(&mut self, zones: &[&str], per_zone: usize) {
        for zone in zones {
            for i in 0..per_zone {
                self.list(&format!("{zone}-{i}"), zone);
            }
        }
        for vm in self.vms.clone() {
            self.boot(&vm.name, &vm.zone);
        }
    }

    pub fn list(&mut self, name: &str, zone: &str) {
        self.vms.push(VmRecord {
            name: name.into(),
            region: zone.split('-').next().unwrap_or_default().into(),
            zone: zone.into(),
            address: name.into(),
            leaving: false,
        });
    }

    /// Starts a new process under a name; a former one of that name ends.
    pub fn boot(&mut self, name: &str, zone: &str) {
        let process = self.random.random();
        let profile = Profile {
            region: zone.split('-').next().unwrap_or_default().into(),
            zone: zone.into(),
            peer: name.into(),
            link: name.into(),
        };
        let identity = Identity {
            name: name.into(),
            profile,
            seeds: self.seeds.clone(),
        };
        let node = Node {
            controller: Controller::new(self.settings.clone(), identity, process, self.instant()),
            zone: zone.into(),
            process,
            paused: None,
            tick_at: None,
            revision: None,
        };
        self.nodes.insert(name.into(), node);
        self.run_actions(&name.into());
    }

    pub fn kill(&mut self, name: &str) {
        self.nodes.shift_remove(name);
    }

    pub fn pause(&mut self, name: &str, length: Duration) {
        let until = self.now + length;
        self.node(name).paused = Some(until);
    }

    pub fn node(&mut self, name: &str) -> &mut Node {
        self.nodes.get_mut(name).expect("the node runs")
    }

    /// Adds a change to the platform's table and passes it to a node.
    pub fn edit(&mut self, at: &str) {
        let change = change(self.table.len() as Revision + 1);
        self.table.push(change.clone());
        let now = self.instant();
        self.node(at).controller.receive_changes(now, [change]);
        self.run_actions(&at.into());
    }

    pub fn instant(&self) -> Instant {
        self.start + self.now
    }

    pub fn run(&mut self, length: Duration) {
        self.run_until(length, |_| false);
    }

    /// Runs until the condition holds, checked every 50 ms; returns the elapsed time, or `None` at
    /// the limit.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let begin = self.now;
        while self.now < begin + limit {
            let step = self.now + Duration::from_millis(50);
            while let Some(Reverse((at, id))) = self.order.peek().copied()
                && at <= step
            {
                self.order.pop();
                self.now = self.now.max(at);
                if let Some(event) = self.events.remove(&id) {
                    self.handle(event);
                }
            }
            self.now = step;
            if done(self) {
                return Some(self.now.abs_diff(begin));
            }
        }
        None
    }

    /// Returns the state of `name` in the view of `at`; `None` when it is not a member.
    pub fn state(&self, at: &str, name: &str) -> Option<MemberState> {
        let view = self.nodes.get(at)?.controller.membership().view();
        view.members.get(name).map(|m| m.state)
    }

    /// Returns whether all other running nodes see `name` in the given state.
    pub fn all_see(&self, name: &str, state: Option<MemberState>) -> bool {
        let mut others = self.nodes.keys().filter(|at| *at != name);
        others.all(|at| self.state(at, name) == state)
    }

    /// Returns whether all running nodes see each other as alive.
    pub fn converged(&self) -> bool {
        self.nodes.values().all(|node| {
            let members = node.controller.membership().view().members;
            let state = |name: &NodeId| members.get(name).map(|m| m.state);
            self.nodes
                .keys()
                .all(|name| state(name) == Some(MemberState::Alive))
        })
    }

    pub fn in_force(&self, revision: Revision) -> bool {
        let mut nodes = self.nodes.values();
        nodes.all(|n| n.controller.propagation().revision() == Some(revision))
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        let after = after.max(Duration::from_micros(1));
        self.order.push(Reverse((self.now + after, self.next)));
        self.events.insert(self.next, event);
        self.next += 1;
    }

    fn latency(&mut self) -> Duration {
        self.delay.mul_f64(self.random.random_range(0.2..1.8))
    }

    fn connected(&self, a: &str, b: &str) -> bool {
        let zone = |name: &str| self.nodes.get(name).map(|n| self.cut.contains(&n.zone));
        zone(a).is_some() && zone(a) == zone(b)
    }

    fn running_process(&mut self, name: &NodeId, process: u64) -> Option<&mut Node> {
        self.nodes.get_mut(name).filter(|n| n.process == process)
    }

    fn handle(&mut self, event: Event) {
        let receiver = match &event {
            Event::Tick(name, _)
            | Event::Request(name, ..)
            | Event::Result((name, _), ..)
            | Event::Relayed(name, ..)
            | Event::Catalogue(name, ..)
            | Event::List(name, ..) => name.clone(),
        };
        // A paused node handles its events after the pause.
        let paused = self.nodes.get(&receiver).and_then(|n| n.paused);
        if let Some(until) = paused.filter(|until| *until > self.now) {
            return self.schedule(until.abs_diff(self.now), event);
        }
        let now = self.instant();
        match event {
            Event::Tick(name, process) => {
                let time = self.now;
                let Some(node) = self.running_process(&name, process) else {
                    return;
                };
                if node.tick_at.is_none_or(|at| at > time) {
                    return;
                }
                node.tick_at = None;
                if node.controller.deadline() <= now {
                    node.controller.tick(now);
                }
            }
            Event::Request(to, call, origin) => {
                let Some(node) = self.nodes.get_mut(&to) else {
                    return;
                };
                match node.controller.handle_request(now, call.message.clone()) {
                    Answer::Reply(reply) => self.answer(&to, origin, &call, reply),
                    Answer::Relay {
                        address,
                        message,
                        timeout,
                    } => {
                        let probe = Call {
                            id: 0,
                            address,
                            message,
                            timeout,
                        };
                        let target = probe.address.clone();
                        // The probe of the relaying node is answered at once, and its delay is
                        // added to the answer.
                        let time = self.now;
                        let through = self.connected(&to, &target) && !self.lost();
                        let up = self
                            .nodes
                            .get_mut(&target)
                            .filter(|n| n.paused.is_none_or(|until| until <= time));
                        let result = up.filter(|_| through).map(|n| {
                            let Answer::Reply(r) = n.controller.handle_request(now, probe.message)
                            else {
                                unreachable!("a probe is answered directly")
                            };
                            r
                        });
                        let wait = if result.is_some() {
                            self.latency() * 2
                        } else {
                            timeout
                        };
                        let event = Event::Relayed(to, target, call, origin, result);
                        self.schedule(wait, event);
                    }
                }
            }
            Event::Relayed(at, target, call, origin, result) => {
                let Some(node) = self.nodes.get_mut(&at) else {
                    return;
                };
                let reply =
                    node.controller
                        .relay_completed(now, &origin.0, &target, result.as_ref());
                self.answer(&at, origin, &call, reply);
            }
            Event::Result((name, process), call, result) => {
                if let Some(node) = self.running_process(&name, process) {
                    node.controller.call_completed(now, call.id, result);
                }
            }
            Event::Catalogue(name, process, result) => {
                if let Some(node) = self.running_process(&name, process) {
                    node.controller.read_completed(now, result);
                }
            }
            Event::List(name, process, vms) => {
                if let Some(node) = self.running_process(&name, process) {
                    node.controller.list_completed(now, vms.as_deref());
                }
            }
        }
        self.run_actions(&receiver);
    }

    fn lost(&mut self) -> bool {
        self.loss > 0.0 && self.random.random_bool(self.loss)
    }

    fn answer(&mut self, at: &NodeId, to: (NodeId, u64), call: &Call, reply: PeerMessage) {
        if self.connected(at, &to.0) && !self.lost() {
            let latency = self.latency();
            self.schedule(latency, Event::Result(to, call.clone(), Some(reply)));
        }
    }

    /// Carries out the actions of a node and checks that its revision does not go back.
    fn run_actions(&mut self, name: &NodeId) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        let revision = node.controller.propagation().revision();
        assert!(
            revision >= node.revision,
            "{name} went back from {:?}",
            node.revision
        );
        node.revision = revision;
        let process = node.process;
        let wait = node
            .controller
            .deadline()
            .saturating_duration_since(self.start + self.now);
        let at = self.now + wait;
        if node.tick_at.is_none_or(|earlier| at < earlier) {
            node.tick_at = Some(at);
            self.schedule(wait, Event::Tick(name.clone(), process));
        }
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        for action in node.controller.take_actions() {
            match action {
                Action::Call(call) => {
                    let origin = (name.clone(), process);
                    let expired = Event::Result(origin.clone(), call.clone(), None);
                    self.schedule(call.timeout, expired);
                    let copies = 1 + usize::from(self.random.random_bool(self.duplicates));
                    for _ in 0..copies {
                        if self.connected(name, &call.address) && !self.lost() {
                            let latency = self.latency();
                            let to = call.address.clone();
                            self.schedule(
                                latency,
                                Event::Request(to, call.clone(), origin.clone()),
                            );
                        }
                    }
                }
                Action::ReadCatalogue { after } => {
                    let result = self.read_platform(after);
                    let latency = self.latency();
                    self.schedule(latency, Event::Catalogue(name.clone(), process, result));
                }
                Action::ReadList => {
                    let vms = self.platform_up.then(|| self.vms.clone());
                    let latency = self.latency();
                    self.schedule(latency, Event::List(name.clone(), process, vms));
                }
            }
        }
    }

    fn read_platform(&self, after: Option<Revision>) -> Result<CatalogueUpdate, SmolStr> {
        if !self.platform_up {
            return Err("the platform is down".into());
        }
        let seen = &self.table[..self.table.len().saturating_sub(self.stale)];
        let base = after.unwrap_or_default();
        Ok(CatalogueUpdate {
            snapshot: after.is_none().then(Catalogue::default),
            changes: seen.iter().filter(|c| c.revision > base).cloned().collect(),
        })
    }
}
