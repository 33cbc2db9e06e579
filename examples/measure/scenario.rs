//! The scenarios: their load and faults, and the figures of one run.

use std::{sync::Arc, time::Duration};

use anyhow::{Context, bail};
use indexmap::IndexMap;
use siskinhook_standin::{Cut, Endpoint, Fault, Plan, PlatformState, Site};
use siskinhook_types::{
    DatabaseId, FleetView, Member, MemberState, Part, Purpose, Role, ServerId, Statement,
    TargetSession, Targets, Verdict,
};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::{
    cluster::{Cluster, fields},
    load::{Action, Flow, Load, Proxy, Record, Violations},
    naive::Naive,
};

/// Names of the scenarios.
pub const SCENARIOS: [&str; 14] = [
    "calm-day",
    "primary-crash",
    "swing",
    "billing",
    "primary-zone-cut",
    "slow-primary",
    "replica-behind",
    "node-dies",
    "node-cut-off",
    "platform-down",
    "platform-answers-lost",
    "zone-cut-off",
    "silent-connections",
    "two-faults",
];

/// Time for nodes and connections to start before the load starts.
const WARM_UP: Duration = Duration::from_secs(5);
/// Time after which the load balancer stops sending callers to a killed node.
const BALANCER_DELAY: Duration = Duration::from_secs(2);
/// Time for the servers to recover after the load, before their data is checked.
const RECOVERY: Duration = Duration::from_secs(10);
/// Start and length of the peak in seconds; the load rises for 2 s before it.
const PEAK_WINDOW: (f64, f64) = (7.0, 5.0);
/// Rate during the peak, as a multiple of the normal rate.
const PEAK_FACTOR: f64 = 10.0;
/// Milliseconds for which a short statement occupies a slot of its server.
const SHORT_SERVICE_MS: f64 = 4.5;
/// Time after which the billing scenario sends long statements.
const BILLING_START: Duration = Duration::from_secs(8);

/// A scheduled event of a scenario.
enum Event {
    Fault(Fault),
    /// Kills a node.
    Kill(usize),
    /// Removes a node from the load balancer.
    RemoveFromBalancer(usize),
}

/// Load and events of a scenario. Times are in seconds since the start of the load.
struct Script {
    length: u64,
    /// Statements per second and database: listings, reads of the caller's own writes, writes.
    rates: (f64, f64, f64),
    events: Vec<(u64, Event)>,
    /// Time of the fault from which the failover gap is measured.
    fault: Option<u64>,
}

/// Figures of one run.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    pub statements: usize,
    pub succeeded: usize,
    /// Statements that failed with the verdict "not run".
    pub not_run: usize,
    /// Statements that failed with the verdict "may have run".
    pub may_have_run: usize,
    /// Failures by cause.
    pub causes: IndexMap<String, usize>,
    /// Share of the reads that replicas ran.
    pub replica_share: f64,
    /// Longest time without a successful write after the fault, in milliseconds.
    pub gap: Option<f64>,
    /// Share of the servers' slots used by statements that succeeded, during the peak.
    pub goodput: Option<f64>,
    /// 99th percentile of the latency of statements that succeeded during the peak, in
    /// milliseconds.
    pub peak_p99: Option<f64>,
    /// Extra latency of short statements while long statements run, in milliseconds.
    pub short_waits: Vec<f64>,
    pub violations: Violations,
}

/// Returns the index of the node that owns `server` while all nodes are alive, so that a fault can
/// hit this node.
fn owner_index(site: &Site, server: &str) -> anyhow::Result<usize> {
    let nodes = site.nodes().iter();
    let member = |node: &Endpoint| Member {
        name: node.name.clone(),
        region: site.plan().region.clone(),
        zone: node.zone.clone(),
        peer: node.name.clone(),
        link: node.name.clone(),
        state: MemberState::Alive,
        incarnation: 1,
        revision: 1,
    };
    let view = FleetView {
        local: site.nodes()[0].name.clone(),
        members: nodes
            .map(|node| (node.name.clone(), member(node)))
            .collect(),
    };
    let entry = site.entry();
    let mut servers = entry.databases.values().flat_map(|d| &d.servers);
    let server = servers
        .find(|s| s.name == server)
        .context("the entry has no such server")?;
    let owner = siskinhook_fleet::owner(&view, server).context("the server has no owner")?;
    let index = site.nodes().iter().position(|node| node.name == owner);
    index.context("the owner is not a node of the site")
}

/// Returns the script of a scenario without its events.
fn script_without_events(name: &str) -> Script {
    // Capacity of a server in short statements per second: two slots, one statement each.
    let capacity = 2000.0 / SHORT_SERVICE_MS;
    let (length, fault, rates) = match name {
        "calm-day" => (60, None, (60.0, 15.0, 30.0)),
        // Half of the capacity before the peak: writes on one server, reads on two.
        "swing" => (20, None, (0.8 * capacity, 0.2 * capacity, 0.5 * capacity)),
        "billing" => (30, None, (60.0, 15.0, 30.0)),
        "replica-behind" => (20, None, (60.0, 15.0, 30.0)),
        "slow-primary" => (20, Some(5), (60.0, 5.0, 10.0)),
        "platform-down" => (610, Some(300), (10.0, 5.0, 10.0)),
        // Long enough to include the recovery after the cut is healed.
        "primary-zone-cut" | "zone-cut-off" | "node-cut-off" => (45, Some(5), (60.0, 15.0, 30.0)),
        _ => (20, Some(5), (60.0, 15.0, 30.0)),
    };
    Script {
        length,
        rates,
        events: Vec::new(),
        fault,
    }
}

/// Returns the script of a scenario; its faults hit the servers of `database`.
fn script(name: &str, site: &Site, database: &DatabaseId) -> anyhow::Result<Script> {
    let server = |letter: &str| -> ServerId { format!("{database}-{letter}").into() };
    let zone = |letter: &str| -> anyhow::Result<Cut> {
        Ok(Cut::Zone(
            site.server(&server(letter))?.endpoint().zone.clone(),
        ))
    };
    let heal = |cut| Event::Fault(Fault::Heal { cut, silent: false });
    let (crash, restart) = (Event::Fault(Fault::Crash(server("a"))), server("a"));
    let restart = Event::Fault(Fault::Restart(restart));
    let platform = |state| Event::Fault(Fault::Platform(state));
    let primary_owner = owner_index(site, &server("a"))?;
    let mut script = script_without_events(name);
    script.events = match name {
        "calm-day" | "swing" | "billing" => Vec::new(),
        "primary-crash" => vec![(5, crash), (15, restart)],
        "primary-zone-cut" => {
            let cut = zone("a")?;
            vec![(5, Event::Fault(Fault::Cut(cut.clone()))), (15, heal(cut))]
        }
        "slow-primary" => {
            let slow = |milliseconds| {
                let server = server("a");
                Event::Fault(Fault::Slow {
                    server,
                    milliseconds,
                })
            };
            vec![(5, slow(100)), (15, slow(0))]
        }
        "replica-behind" => {
            let lag = |milliseconds| {
                let server = server("b");
                Event::Fault(Fault::Lag {
                    server,
                    milliseconds,
                })
            };
            vec![(5, lag(10_000)), (15, lag(0))]
        }
        "node-dies" => vec![(5, Event::Kill(primary_owner))],
        "node-cut-off" => {
            let cut = Cut::Name(site.nodes()[primary_owner].name.clone());
            let cut_off = Event::Fault(Fault::Cut(cut.clone()));
            vec![
                (5, cut_off),
                (7, Event::RemoveFromBalancer(primary_owner)),
                (15, heal(cut)),
            ]
        }
        "platform-down" => {
            let down = platform(PlatformState::Down);
            vec![
                (5, down),
                (300, crash),
                (330, restart),
                (605, platform(PlatformState::Up)),
            ]
        }
        "platform-answers-lost" => {
            let lost = platform(PlatformState::LoseAnswers(500));
            vec![
                (2, lost),
                (5, crash),
                (15, restart),
                (16, platform(PlatformState::Up)),
            ]
        }
        "zone-cut-off" => {
            let cut = zone("b")?;
            vec![(5, Event::Fault(Fault::Cut(cut.clone()))), (15, heal(cut))]
        }
        "silent-connections" => {
            vec![(5, Event::Fault(Fault::Silence(Cut::Name(server("a")))))]
        }
        "two-faults" => {
            let replica_owner = owner_index(site, &server("b"))?;
            vec![(5, crash), (5, Event::Kill(replica_owner)), (15, restart)]
        }
        _ => bail!(
            "unknown scenario {name:?}; use one of {}",
            SCENARIOS.join(", ")
        ),
    };
    Ok(script)
}

/// Runs a scenario once, with siskinhook or with the naive version.
pub fn run(name: &str, plan: Plan, seed: u64, naive: bool) -> anyhow::Result<Figures> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()?;
    runtime.block_on(async {
        let mut plan = plan;
        for statements in plan.databases.values_mut() {
            statements.push("CREATE TABLE ledger (n bigint NOT NULL, cost bigint)".into());
            statements.push("CREATE INDEX ledger_n ON ledger (n)".into());
        }
        let site = Arc::new(Site::local(seed, plan)?);
        if naive {
            let proxy = Naive::start(&site, seed);
            measure(name, &site, proxy, seed).await
        } else {
            let proxy = Cluster::start(&site, seed);
            measure(name, &site, proxy, seed).await
        }
    })
}

/// Runs the script of a scenario against a proxy and returns its figures.
async fn measure<P: Proxy>(
    name: &str,
    site: &Arc<Site>,
    proxy: P,
    seed: u64,
) -> anyhow::Result<Figures> {
    let databases: Vec<DatabaseId> = site.plan().databases.keys().cloned().collect();
    let database = databases[0].clone();
    let script = script(name, site, &database)?;
    let load = Load::new(proxy, site.nodes().len());
    tokio::spawn(watch_connection_caps(site.clone(), load.clone()));
    sleep(WARM_UP).await;
    let start = Instant::now();
    let end = start + Duration::from_secs(script.length);
    start_flows(name, &databases, &script, &load, seed, end);
    for (at, event) in &script.events {
        sleep_until(start + Duration::from_secs(*at)).await;
        match event {
            Event::Fault(fault) => site.apply(fault)?,
            Event::RemoveFromBalancer(node) => load.remove_node(*node),
            Event::Kill(node) => {
                load.proxy().kill(*node);
                let (load, node) = (load.clone(), *node);
                tokio::spawn(async move {
                    sleep(BALANCER_DELAY).await;
                    load.remove_node(node);
                });
            }
        }
    }
    sleep_until(end).await;
    load.wait_idle().await;
    sleep(RECOVERY).await;
    let mut stored = IndexMap::new();
    for database in &databases {
        stored.insert(database.clone(), ledger_rows(site, database).await?);
    }
    let (records, violations) = load.finish(&stored);
    let reads = load.proxy().reads();
    let stored_rows = &stored[&database];
    let run = RunData {
        name,
        site,
        database: &database,
        script: &script,
        start,
        records: &records,
        stored_rows,
        violations,
        reads,
    };
    Ok(run.figures())
}

/// Starts the callers of a scenario.
fn start_flows<P: Proxy>(
    name: &str,
    databases: &[DatabaseId],
    script: &Script,
    load: &Load<P>,
    seed: u64,
    end: Instant,
) {
    let (listings, own_reads, writes) = script.rates;
    let swing = name == "swing";
    let flows = [
        (Action::Listing, listings),
        (Action::OwnRead, own_reads),
        (Action::Write, writes / 2.0),
        (Action::WriteOnce, writes / 2.0),
        (Action::Billing, 1.5),
        (Action::Report, 3.0),
    ];
    for (database_index, database) in databases.iter().enumerate() {
        for (flow_index, (action, rate)) in flows.iter().enumerate() {
            let long = matches!(action, Action::Billing | Action::Report);
            if (long && (name != "billing" || database_index > 0)) || (swing && database_index > 0)
            {
                continue;
            }
            let flow = Flow {
                database: database.clone(),
                action: *action,
                rate: *rate,
                deadline: Duration::from_secs(if long {
                    20
                } else if swing {
                    2
                } else {
                    8
                }),
            };
            let seed = seed.wrapping_mul(100) + database_index as u64 * 10 + flow_index as u64;
            let load = load.clone();
            let shape = move |at: Duration| match (swing, long) {
                (true, _) => {
                    let rise = (at.as_secs_f64() - (PEAK_WINDOW.0 - 2.0)) / 2.0;
                    let over = at.as_secs_f64() > PEAK_WINDOW.0 + PEAK_WINDOW.1;
                    1.0 + (PEAK_FACTOR - 1.0) * if over { 0.0 } else { rise.clamp(0.0, 1.0) }
                }
                (false, true) if at < BILLING_START => 0.0,
                _ => 1.0,
            };
            tokio::spawn(async move { load.send_flow(flow, seed, end, shape).await });
        }
    }
}

/// Samples the connections of each server every 20 ms and counts those above the limit.
async fn watch_connection_caps<P: Proxy>(site: Arc<Site>, load: Load<P>) {
    let limit = site.plan().server.connections;
    loop {
        for server in site.servers().values() {
            if server.status().connections as usize > limit {
                load.count_over_cap();
            }
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Reads from the current primary how often it holds each number.
async fn ledger_rows(site: &Site, database: &DatabaseId) -> anyhow::Result<IndexMap<u64, u64>> {
    let entry = site.entry();
    let group = entry
        .databases
        .get(database)
        .context("the entry has no such database")?;
    let targets = site.targets(&Endpoint::client("check"));
    for _ in 0..100 {
        let is_primary = |server: &&siskinhook_types::Server| {
            let server = site.servers().get(&server.name);
            server.is_some_and(|s| s.status().role == Role::Primary && !s.is_crashed())
        };
        let term = |server: &&siskinhook_types::Server| {
            site.servers().get(&server.name).map(|s| s.status().term)
        };
        let primary = group.servers.iter().filter(is_primary).max_by_key(term);
        let read = async {
            let mut session = targets.connect(primary?, Purpose::Data).await.ok()?;
            let sql = "SELECT n, count(*) FROM ledger GROUP BY n";
            session.start(&Statement::simple(sql)).await.ok()?;
            let mut rows = IndexMap::new();
            loop {
                match session.next().await.ok()? {
                    Part::Row { data, .. } => {
                        let row = fields(&data);
                        rows.insert(row[0].parse().ok()?, row[1].parse().ok()?);
                    }
                    Part::Done { .. } => return Some(rows),
                    _ => {}
                }
            }
        };
        if let Ok(Some(rows)) = timeout(Duration::from_secs(5), read).await {
            return Ok(rows);
        }
        sleep(Duration::from_millis(200)).await;
    }
    bail!("the primary of {database} cannot be read at the end of the run")
}

/// Converts a count; saturates at `u32::MAX`.
fn to_f64(count: impl TryInto<u32>) -> f64 {
    f64::from(count.try_into().unwrap_or(u32::MAX))
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

/// Returns a percentile by the nearest-rank method; `None` without values.
pub fn percentile(values: &[f64], percent: usize) -> Option<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (percent * sorted.len()).div_ceil(100).max(1);
    sorted.get(rank - 1).copied()
}

/// Raw results of a run.
struct RunData<'a> {
    name: &'a str,
    site: &'a Site,
    database: &'a DatabaseId,
    script: &'a Script,
    start: Instant,
    records: &'a [Record],
    /// How often the primary holds each number at the end.
    stored_rows: &'a IndexMap<u64, u64>,
    violations: Violations,
    reads: (u64, u64),
}

impl RunData<'_> {
    fn figures(&self) -> Figures {
        let Self {
            name,
            site,
            database,
            script,
            start,
            records,
            stored_rows,
            violations,
            reads,
        } = *self;
        let count_verdict = |counted: Verdict| {
            let failures = records.iter().filter_map(|r| r.failure.as_ref());
            failures.filter(|f| f.verdict == counted).count()
        };
        let mut figures = Figures {
            statements: records.len(),
            succeeded: records.iter().filter(|r| r.is_ok()).count(),
            not_run: count_verdict(Verdict::NotRun),
            may_have_run: count_verdict(Verdict::MayHaveRun),
            replica_share: to_f64(reads.0) / to_f64((reads.0 + reads.1).max(1)),
            violations,
            ..Figures::default()
        };
        for failure in records.iter().filter_map(|r| r.failure.as_ref()) {
            let cause = format!("{:?} ({})", failure.kind, failure.verdict);
            *figures.causes.entry(cause).or_default() += 1;
        }
        if let Some(fault) = script.fault {
            let fault = start + Duration::from_secs(fault);
            let end = start + Duration::from_secs(script.length);
            let done = records.iter().filter(|r| r.is_ok() && r.action.is_write());
            let done = done.filter(|r| r.database == *database && r.ended >= fault);
            // A write that was acknowledged and then lost does not count as served.
            let done = done.filter(|r| stored_rows.contains_key(&r.number));
            let mut times: Vec<Instant> = done.map(|r| r.ended).filter(|at| *at < end).collect();
            times.extend([fault, end]);
            times.sort();
            let gaps = times.windows(2).map(|pair| pair[1] - pair[0]);
            figures.gap = gaps.max().map(millis);
        }
        if name == "swing" {
            let from = start + Duration::from_secs_f64(PEAK_WINDOW.0);
            let to = from + Duration::from_secs_f64(PEAK_WINDOW.1);
            let succeeded_in_peak = records
                .iter()
                .filter(|r| r.is_ok() && from <= r.ended && r.ended < to);
            let latencies: Vec<f64> = succeeded_in_peak.map(|r| millis(r.latency())).collect();
            let busy = to_f64(latencies.len()) * SHORT_SERVICE_MS / 1000.0;
            let slots = 3.0 * to_f64(site.plan().server.slots);
            figures.goodput = Some(busy / (slots * PEAK_WINDOW.1));
            figures.peak_p99 = percentile(&latencies, 99);
        }
        if name == "billing" {
            figures.short_waits = short_waits(records, database, start);
        }
        figures
    }
}

/// Returns by how much the latency of each short statement that ran beside long work exceeds the
/// median before the long work, by kind of statement.
fn short_waits(records: &[Record], database: &DatabaseId, start: Instant) -> Vec<f64> {
    let mut short_waits = Vec::new();
    for action in [
        Action::Listing,
        Action::OwnRead,
        Action::Write,
        Action::WriteOnce,
    ] {
        let all = records
            .iter()
            .filter(|r| r.database == *database && r.action == action);
        let (before, beside): (Vec<&Record>, Vec<&Record>) =
            all.partition(|r| r.sent < start + BILLING_START);
        let before: Vec<f64> = before.iter().map(|r| millis(r.latency())).collect();
        let baseline = percentile(&before, 50).unwrap_or_default();
        short_waits.extend(
            beside
                .iter()
                .map(|r| (millis(r.latency()) - baseline).max(0.0)),
        );
    }
    short_waits
}
