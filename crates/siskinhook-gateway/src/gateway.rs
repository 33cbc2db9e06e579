//! State of one node: configuration, discovered servers and readiness.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    fmt::Write as _,
    rc::Rc,
    time::Duration,
};

use indexmap::IndexMap;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use siskinhook_telemetry::{Event, event};
use siskinhook_types::{NodeId, ServerId, ServiceId, Zone};
use tokio::{
    sync::{Notify, watch},
    time::{Instant, MissedTickBehavior, interval, sleep_until},
};

use crate::{
    BootInstant, Configuration, Counters, Dialer, Instance, Route, fleet::Fleet, group::Group,
    session_memory::SharedBytes,
};

/// Interval at which idle connections are checked; shorter than their idle timeouts.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Number of servers whose latest report is remembered, at most; some twenty bytes each. A fleet of
/// 690 databases replaces far fewer servers in the seconds that a restore goes back.
const MAX_REPORTS: usize = 8192;

/// Delay of the event loop from which it is logged: a quarter of the shortest call timeout.
const LATE_LOOP: Duration = Duration::from_millis(200);

/// Settings of a gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GatewaySettings {
    /// Whether a replaced primary may go on believing that it leads, because the platform does not
    /// demote it. Reads on a primary then need the confirmation of a replica.
    pub confirm_leader: bool,
    /// Whether nodes replace primaries, so that one which restarts may be about to be replaced.
    /// Writes then wait until the failover lease row shows that it is not.
    pub replace_primaries: bool,
    /// Time for which a lost primary is not replaced when only lost servers may hold some
    /// acknowledged commits. After it they are given up; `None` for never.
    pub abandon_after: Option<Duration>,
}

/// The gateway of one node. It runs on a single thread.
pub struct Gateway<D: Dialer> {
    /// Name of the node.
    pub node: NodeId,
    /// Random id that distinguishes this process from earlier ones of the same node.
    pub process: u64,
    /// Availability zone of the node.
    pub zone: Zone,
    settings: GatewaySettings,
    /// Counters of the node.
    pub counters: Rc<Counters>,
    /// Opens connections to servers.
    pub dialer: Rc<D>,
    /// The nodes that share the servers' connections.
    pub fleet: Rc<Fleet>,
    configuration: RefCell<Rc<Configuration>>,
    groups: RefCell<IndexMap<ServiceId, Rc<Group<D>>>>,
    /// Discovered servers of services that the configuration does not contain yet.
    unassigned: RefCell<HashMap<ServerId, Instance>>,
    /// Start and sequence number of the latest report of each server, also of servers that left.
    reports: RefCell<HashMap<ServerId, (u64, u64)>>,
    /// Wakes tasks that wait for a new group, or for the node to be initialized.
    pub configured: Notify,
    /// When the node stops to serve callers; `None` until it is told to stop.
    stop_time: watch::Sender<Option<Instant>>,
    discovered: Cell<bool>,
    /// When the platform's store last answered about each table that the node follows.
    store_answers: RefCell<IndexMap<&'static str, BootInstant>>,
    /// Tables about which the store did not answer the latest call in time, so that this node may be
    /// behind.
    unanswered: RefCell<HashSet<&'static str>>,
    /// How late the event loop last woke a task whose time had come.
    loop_delay: Cell<Duration>,
    random: RefCell<SmallRng>,
    /// Memory that the values and prepared statements of all sessions share.
    pub(crate) session_bytes: SharedBytes,
}

impl<D: Dialer> Gateway<D> {
    /// Creates the gateway of a node. In production the seed must differ between processes, since
    /// the process id and all jitter derive from it.
    pub fn new(
        node: NodeId,
        zone: Zone,
        dialer: D,
        seed: u64,
        settings: GatewaySettings,
    ) -> Rc<Self> {
        let fleet = Rc::new(Fleet::new(node.clone(), zone.clone()));
        let mut random = SmallRng::seed_from_u64(seed);
        Rc::new(Self {
            node,
            process: random.random(),
            random: RefCell::new(random),
            zone,
            settings,
            counters: Rc::default(),
            dialer: Rc::new(dialer),
            fleet,
            configuration: RefCell::default(),
            groups: RefCell::default(),
            unassigned: RefCell::default(),
            reports: RefCell::default(),
            configured: Notify::new(),
            stop_time: watch::Sender::default(),
            discovered: Cell::default(),
            store_answers: RefCell::default(),
            unanswered: RefCell::default(),
            session_bytes: SharedBytes::default(),
            loop_delay: Cell::default(),
        })
    }

    /// Returns a random duration between half of `duration` and all of it.
    pub fn jitter(&self, duration: Duration) -> Duration {
        duration.mul_f64(self.random.borrow_mut().random_range(0.5..=1.0))
    }

    /// Returns the version of the current configuration, or 0 before the first one.
    pub fn version(&self) -> u64 {
        self.configuration.borrow().version
    }

    /// Returns the current configuration.
    pub fn configuration(&self) -> Rc<Configuration> {
        self.configuration.borrow().clone()
    }

    /// Applies a configuration if it is newer than the current one. Returns whether it was applied.
    pub fn configure(&self, configuration: Configuration, source: &str) -> bool {
        let old = self.version();
        if configuration.version <= old {
            return false;
        }
        event!(
            Event::ConfigurationApplied,
            version = configuration.version, replaces = old,
            routes = configuration.routes.len(), source = source;
            "a configuration is in force"
        );
        for (name, service) in &configuration.services {
            let known = self.groups.borrow().get(name).cloned();
            if let Some(group) = known {
                group.configure(service);
                continue;
            }
            let group = Rc::new(Group::new(
                name.clone(),
                service,
                self.settings,
                self.dialer.clone(),
                self.fleet.clone(),
                self.counters.clone(),
            ));
            self.groups.borrow_mut().insert(name.clone(), group);
        }
        *self.configuration.borrow_mut() = Rc::new(configuration);
        let unassigned = std::mem::take(&mut *self.unassigned.borrow_mut());
        for instance in unassigned.into_values() {
            self.assign(instance);
        }
        self.configured.notify_waiters();
        true
    }

    /// Adds or updates a server, unless the same process has reported something later. An older
    /// entry comes from a store that was restored; it may show a server as ready that has left.
    pub fn discover(&self, instance: Instance) {
        if self.is_outdated(&instance) {
            event!(
                Event::EntryOutdated,
                server = instance.id.as_str(), started = instance.started,
                sequence = instance.sequence;
                "ignored an entry that is older than the server's latest one"
            );
            return;
        }
        let report = (instance.started, instance.sequence);
        let former = self
            .reports
            .borrow_mut()
            .insert(instance.id.clone(), report);
        // A process that starts again under the same id knows nothing of the former one.
        if former.is_some_and(|(started, _)| started > 0 && instance.started > started)
            && let Some(group) = self.group(&instance.service)
        {
            group.record_erasure(&instance);
        }
        self.assign(instance);
    }

    /// Whether the server process of an entry has reported something later.
    fn is_outdated(&self, instance: &Instance) -> bool {
        let reports = self.reports.borrow();
        let latest = reports.get(&instance.id);
        instance.started > 0
            && latest.is_some_and(|&(started, sequence)| {
                started == instance.started && sequence > instance.sequence
            })
    }

    /// Passes a server to the group of its service.
    fn assign(&self, instance: Instance) {
        match self.group(&instance.service) {
            Some(group) => group.upsert(instance),
            None => {
                self.unassigned
                    .borrow_mut()
                    .insert(instance.id.clone(), instance);
            }
        }
    }

    /// Removes a server that left its service.
    pub fn forget(&self, id: &ServerId) {
        self.unassigned.borrow_mut().remove(id);
        self.prune_reports();
        for group in self.groups() {
            if group.targets.borrow().contains_key(id) {
                group.remove(id);
            }
        }
    }

    /// Bounds the memory for reports of servers that left.
    fn prune_reports(&self) {
        if self.reports.borrow().len() > MAX_REPORTS {
            let known = self.servers();
            self.reports.borrow_mut().retain(|id, _| known.contains(id));
        }
    }

    /// Returns the ids of all known servers.
    pub fn servers(&self) -> Vec<ServerId> {
        let mut ids: Vec<ServerId> = self.unassigned.borrow().keys().cloned().collect();
        for group in self.groups() {
            ids.extend(group.targets.borrow().keys().cloned());
        }
        ids
    }

    /// Returns all groups.
    pub fn groups(&self) -> Vec<Rc<Group<D>>> {
        self.groups.borrow().values().cloned().collect()
    }

    /// Returns the group of a service.
    pub fn group(&self, service: &ServiceId) -> Option<Rc<Group<D>>> {
        self.groups.borrow().get(service).cloned()
    }

    /// Returns the route of a database.
    pub fn route(&self, database: &str) -> Option<Rc<Route>> {
        self.configuration.borrow().routes.get(database).cloned()
    }

    /// Records an answer of the platform's store that tells the state of a table at `as_of` or
    /// later.
    pub fn record_store_answer(&self, table: &'static str, as_of: BootInstant) {
        let mut answers = self.store_answers.borrow_mut();
        let latest = answers.entry(table).or_insert(as_of);
        *latest = as_of.max(*latest);
        self.unanswered.borrow_mut().remove(table);
    }

    /// Records that a call to the platform's store about a table failed or is overdue, or that its
    /// answer tells an old state.
    pub fn record_store_failure(&self, table: &'static str) {
        self.unanswered.borrow_mut().insert(table);
    }

    /// Whether the store may have changed a table since this node last knew it, because the latest
    /// call about it was not answered in time.
    pub fn may_be_behind(&self, table: &str) -> bool {
        self.unanswered.borrow().contains(table)
    }

    /// Returns the age of what this node knows about a table of the platform's store, or zero before
    /// the first answer.
    pub fn store_silence(&self, table: &str) -> Duration {
        let answers = self.store_answers.borrow();
        answers.get(table).map_or(Duration::ZERO, |answered| {
            BootInstant::now().elapsed_since(*answered)
        })
    }

    /// Returns all metrics of the node in the text format of Prometheus.
    pub fn metrics(&self) -> String {
        const NAME: &str = "siskinhook_gateway_store_silence_seconds";
        const DELAY: &str = "siskinhook_gateway_loop_delay_seconds";
        let mut text = self.counters.text();
        // Writing to a String cannot fail.
        let _ = writeln!(
            text,
            "# HELP {NAME} Age of what the node knows about a table of the platform's store.\n# TYPE {NAME} gauge"
        );
        for table in self.store_answers.borrow().keys() {
            let seconds = self.store_silence(table).as_secs_f64();
            let _ = writeln!(text, "{NAME}{{table=\"{table}\"}} {seconds:.3}");
        }
        let _ = writeln!(
            text,
            "# HELP {DELAY} How late the event loop last woke a task.\n# TYPE {DELAY} gauge\n{DELAY} {:.3}",
            self.loop_delay.get().as_secs_f64()
        );
        text
    }

    /// Records that the list of servers has been read completely.
    pub fn set_discovered(&self) {
        self.discovered.set(true);
        self.configured.notify_waiters();
    }

    /// Whether the node should receive callers: it is initialized, not draining, and no other zone
    /// would serve them better.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.is_initialized() && !self.is_out_of_rotation()
    }

    /// Sets whether the node is cut off from the other zones. Returns whether the value changed.
    pub(crate) fn set_cut_off(&self, cut_off: bool) -> bool {
        self.fleet.set_cut_off(cut_off)
    }

    /// Whether the node is cut off from the other zones.
    pub fn is_cut_off(&self) -> bool {
        self.fleet.is_cut_off()
    }

    /// Returns a receiver that tracks whether the node is cut off from the other zones.
    pub fn isolation(&self) -> watch::Receiver<bool> {
        self.fleet.isolation()
    }

    /// Whether the node leaves the load balancer's rotation: it is cut off, and its zone cannot
    /// commit writes of most groups by itself, so other zones serve callers better.
    pub fn is_out_of_rotation(&self) -> bool {
        if !self.is_cut_off() {
            return false;
        }
        let groups = self.groups();
        let committable = groups
            .iter()
            .filter(|group| group.can_commit_in(&self.zone));
        committable.count() * 2 < groups.len()
    }

    /// Whether the configuration and the list of servers have been read.
    pub fn is_initialized(&self) -> bool {
        self.is_configured() && self.discovered.get()
    }

    /// Whether a configuration has been read. Before that the node does not know which databases
    /// exist.
    pub fn is_configured(&self) -> bool {
        self.version() > 0
    }

    /// Waits until the configuration and the list of servers have been read.
    pub async fn wait_initialized(&self) {
        loop {
            let configured = self.configured.notified();
            if self.is_initialized() {
                return;
            }
            configured.await;
        }
    }

    /// Makes the node report that it is not ready. Statements are answered until `until`.
    pub fn drain(&self, until: Instant) {
        self.stop_time.send_replace(Some(until));
    }

    /// Whether the node is about to stop and accepts no new work.
    pub fn is_draining(&self) -> bool {
        self.stop_time.borrow().is_some()
    }

    /// Returns the time until which statements are answered, if the node is about to stop.
    pub(crate) fn stop_time(&self) -> Option<Instant> {
        *self.stop_time.borrow()
    }

    /// Waits until the node answers no more statements.
    pub async fn stopped(&self) {
        let mut stop_time = self.stop_time.subscribe();
        // Fails only if the sender is dropped, which lives as long as the node.
        if let Ok(until) = stop_time.wait_for(Option::is_some).await.map(|time| *time)
            && let Some(until) = until
        {
            sleep_until(until).await;
        }
    }

    /// Records how late a task was woken.
    fn record_loop_delay(&self, delay: Duration) {
        self.loop_delay.set(delay);
        if delay >= LATE_LOOP {
            event!(
                Event::LoopLate, delay = delay.as_millis();
                "a task was woken late: the process did not run, or another task kept the thread"
            );
        }
    }

    /// Closes idle connections periodically; runs until dropped.
    pub async fn sweep(self: Rc<Self>) {
        let mut ticks = interval(SWEEP_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let due = ticks.tick().await;
            self.record_loop_delay(due.elapsed());
            for group in self.groups() {
                for target in group.targets.borrow().values() {
                    target.sweep();
                }
            }
        }
    }
}
