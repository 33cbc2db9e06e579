//! The scenarios: load, faults and the figures of one run.

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
    load::{Action, Broken, Flow, Load, Proxy, Record},
    naive::Naive,
};

/// Names of all scenarios.
pub const NAMES: [&str; 14] = [
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

/// Time in which nodes and connections come up before the load starts.
const WARM_UP: Duration = Duration::from_secs(5);
/// Time after which the load balancer stops sending callers to a node that is gone.
const BALANCER: Duration = Duration::from_secs(2);
/// Time in which the groups recover after the end, before their data is compared.
const RECOVERY: Duration = Duration::from_secs(10);
/// Start and length of the hold of a peak, after a rise of 2 s.
const PEAK: (f64, f64) = (7.0, 5.0);
/// Factor of the peak.
const FACTOR: f64 = 10.0;
/// Milliseconds that a short statement holds a server's slot.
const SERVICE: f64 = 4.5;
/// Start of long work in the billing scenario.
const BILLING: Duration = Duration::from_secs(8);

enum Event {
    Fault(Fault),
    Kill(usize),
    Leave(usize),
}

struct Script {
    length: u64,
    /// Statements per second per database: listings, own reads, writes.
    rates: (f64, f64, f64),
    events: Vec<(u64, Event)>,
    /// Seconds after which writes must have been interrupted; the gap counts from there.
    fault: Option<u64>,
}

/// Figures of one run.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    pub statements: usize,
    pub succeeded: usize,
    pub refused: usize,
    pub unknown: usize,
    /// Failures by cause.
    pub causes: IndexMap<String, usize>,
    pub replica_share: f64,
    /// Milliseconds.
    pub gap: Option<f64>,
    /// Share of the servers' slots filled with statements that succeeded, during the peak.
    pub goodput: Option<f64>,
    /// 99th percentile of the latency of statements that succeeded in the peak, in
    /// milliseconds.
    pub peak: Option<f64>,
    /// Waits of short statements beside long work in milliseconds.
    pub waits: Vec<f64>,
    pub broken: Broken,
}

/// A fleet view in which all nodes are alive, for the choice of the node that a fault hits.
fn owner(site: &Site, server: &str) -> anyhow::Result<usize> {
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
        .context("no such server")?;
    let owner = siskinhook_fleet::owner(&view, server).context("no owner")?;
    let index = site.nodes().iter().position(|node| node.name == owner);
    index.context("the owner is no node of the site")
}

/// Load of a scenario, without its faults.
fn load_of(name: &str) -> Script {
    // Two slots per server, in statements per second.
    let capacity = 2000.0 / SERVICE;
    let (length, fault, rates) = match name {
        "calm-day" => (60, None, (60.0, 15.0, 30.0)),
        // Half of the capacity before the peak: writes on one server, reads on two.
        "swing" => (20, None, (0.8 * capacity, 0.2 * capacity, 0.5 * capacity)),
        "billing" => (30, None, (60.0, 15.0, 30.0)),
        "replica-behind" => (20, None, (60.0, 15.0, 30.0)),
        "slow-primary" => (20, Some(5), (60.0, 5.0, 10.0)),
        "platform-down" => (610, Some(300), (10.0, 5.0, 10.0)),
        // Long enough to see both sides of a cut come together again.
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

/// Load and faults of a scenario; faults hit the group of `database`.
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
    let first = owner(site, &server("a"))?;
    let mut script = load_of(name);
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
        "node-dies" => vec![(5, Event::Kill(first))],
        "node-cut-off" => {
            let cut = Cut::Name(site.nodes()[first].name.clone());
            let away = Event::Fault(Fault::Cut(cut.clone()));
            vec![(5, away), (7, Event::Leave(first)), (15, heal(cut))]
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
            let second = owner(site, &server("b"))?;
            vec![(5, crash), (5, Event::Kill(second)), (15, restart)]
        }
        _ => bail!("{name:?} is no scenario; use one of {}", NAMES.join(", ")),
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
    tokio::spawn(watch_caps(site.clone(), load.clone()));
    sleep(WARM_UP).await;
    let start = Instant::now();
    let end = start + Duration::from_secs(script.length);
    start_flows(name, &databases, &script, &load, seed, end);
    for (at, event) in &script.events {
        sleep_until(start + Duration::from_secs(*at)).await;
        match event {
            Event::Fault(fault) => site.apply(fault)?,
            Event::Leave(node) => load.remove_node(*node),
            Event::Kill(node) => {
                load.proxy().kill(*node);
                let (load, node) = (load.clone(), *node);
                tokio::spawn(async move {
                    sleep(BALANCER).await;
                    load.remove_node(node);
                });
            }
        }
    }
    sleep_until(end).await;
    load.settle().await;
    sleep(RECOVERY).await;
    let mut stored = IndexMap::new();
    for database in &databases {
        stored.insert(database.clone(), rows(site, database).await?);
    }
    let (records, broken) = load.finish(&stored);
    let reads = load.proxy().reads();
    let kept = &stored[&database];
    let run = Run {
        name,
        site,
        database: &database,
        script: &script,
        start,
        records: &records,
        kept,
        broken,
        reads,
    };
    Ok(run.figures())
}

fn start_flows<P: Proxy>(
    name: &str,
    databases: &[DatabaseId],
    script: &Script,
    load: &Load<P>,
    seed: u64,
    end: Instant,
) {
    let (listings, own, writes) = script.rates;
    let swing = name == "swing";
    let flows = [
        (Action::Listing, listings),
        (Action::Own, own),
        (Action::Write, writes / 2.0),
        (Action::WriteOnce, writes / 2.0),
        (Action::Billing, 1.5),
        (Action::Report, 3.0),
    ];
    for (place, database) in databases.iter().enumerate() {
        for (kind, (action, rate)) in flows.iter().enumerate() {
            let long = matches!(action, Action::Billing | Action::Report);
            if (long && (name != "billing" || place > 0)) || (swing && place > 0) {
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
            let seed = seed.wrapping_mul(100) + place as u64 * 10 + kind as u64;
            let load = load.clone();
            let shape = move |at: Duration| match (swing, long) {
                (true, _) => {
                    let rise = (at.as_secs_f64() - (PEAK.0 - 2.0)) / 2.0;
                    let over = at.as_secs_f64() > PEAK.0 + PEAK.1;
                    1.0 + (FACTOR - 1.0) * if over { 0.0 } else { rise.clamp(0.0, 1.0) }
                }
                (false, true) if at < BILLING => 0.0,
                _ => 1.0,
            };
            tokio::spawn(async move { load.flow(flow, seed, end, shape).await });
        }
    }
}

/// Counts moments at which a server has more connections than its limit.
async fn watch_caps<P: Proxy>(site: Arc<Site>, load: Load<P>) {
    let limit = site.plan().server.connections;
    loop {
        for server in site.servers().values() {
            if server.status().connections as usize > limit {
                load.count_cap();
            }
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Reads the numbers that the present primary holds, and how often.
async fn rows(site: &Site, database: &DatabaseId) -> anyhow::Result<IndexMap<u64, u64>> {
    let entry = site.entry();
    let group = entry.databases.get(database).context("no such database")?;
    let targets = site.targets(&Endpoint::client("check"));
    for _ in 0..100 {
        let leads = |server: &&siskinhook_types::Server| {
            let server = site.servers().get(&server.name);
            server.is_some_and(|s| s.status().role == Role::Primary && !s.is_crashed())
        };
        let term = |server: &&siskinhook_types::Server| {
            site.servers().get(&server.name).map(|s| s.status().term)
        };
        let primary = group.servers.iter().filter(leads).max_by_key(term);
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

/// Converts a count.
fn float(count: impl TryInto<u32>) -> f64 {
    f64::from(count.try_into().unwrap_or(u32::MAX))
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

/// Returns a percentile of values; `None` without values.
pub fn percentile(values: &[f64], percent: usize) -> Option<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (percent * sorted.len()).div_ceil(100).max(1);
    sorted.get(rank - 1).copied()
}

/// Raw results of a run.
struct Run<'a> {
    name: &'a str,
    site: &'a Site,
    database: &'a DatabaseId,
    script: &'a Script,
    start: Instant,
    records: &'a [Record],
    /// Numbers that the primary holds at the end.
    kept: &'a IndexMap<u64, u64>,
    broken: Broken,
    reads: (u64, u64),
}

impl Run<'_> {
    fn figures(&self) -> Figures {
        let Self {
            name,
            site,
            database,
            script,
            start,
            records,
            kept,
            broken,
            reads,
        } = *self;
        let verdict = |wanted: Verdict| {
            let failures = records.iter().filter_map(|r| r.failure.as_ref());
            failures.filter(|f| f.verdict == wanted).count()
        };
        let mut figures = Figures {
            statements: records.len(),
            succeeded: records.iter().filter(|r| r.is_ok()).count(),
            refused: verdict(Verdict::NotRun),
            unknown: verdict(Verdict::MayHaveRun),
            replica_share: float(reads.0) / float((reads.0 + reads.1).max(1)),
            broken,
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
            // A write that was acknowledged and lost is no sign of service.
            let done = done.filter(|r| kept.contains_key(&r.number));
            let mut times: Vec<Instant> = done.map(|r| r.ended).filter(|at| *at < end).collect();
            times.extend([fault, end]);
            times.sort();
            let gaps = times.windows(2).map(|pair| pair[1] - pair[0]);
            figures.gap = gaps.max().map(millis);
        }
        if name == "swing" {
            let from = start + Duration::from_secs_f64(PEAK.0);
            let to = from + Duration::from_secs_f64(PEAK.1);
            let good = records
                .iter()
                .filter(|r| r.is_ok() && from <= r.ended && r.ended < to);
            let latencies: Vec<f64> = good.map(|r| millis(r.latency())).collect();
            let busy = float(latencies.len()) * SERVICE / 1000.0;
            let slots = 3.0 * float(site.plan().server.slots);
            figures.goodput = Some(busy / (slots * PEAK.1));
            figures.peak = percentile(&latencies, 99);
        }
        if name == "billing" {
            figures.waits = waits(records, database, start);
        }
        figures
    }
}

/// Latency of short statements beside long work above the median of the time before it.
fn waits(records: &[Record], database: &DatabaseId, start: Instant) -> Vec<f64> {
    let mut waits = Vec::new();
    for action in [
        Action::Listing,
        Action::Own,
        Action::Write,
        Action::WriteOnce,
    ] {
        let all = records
            .iter()
            .filter(|r| r.database == *database && r.action == action);
        let (before, beside): (Vec<&Record>, Vec<&Record>) =
            all.partition(|r| r.sent < start + BILLING);
        let before: Vec<f64> = before.iter().map(|r| millis(r.latency())).collect();
        let usual = percentile(&before, 50).unwrap_or_default();
        waits.extend(
            beside
                .iter()
                .map(|r| (millis(r.latency()) - usual).max(0.0)),
        );
    }
    waits
}
