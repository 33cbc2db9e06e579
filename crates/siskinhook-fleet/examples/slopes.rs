//! Measures the control plane for several sizes of the fleet, with all nodes in one process.
//!
//! Time is simulated by tokio's paused clock; messages are encoded and decoded as on a real
//! network. The framing and the CPU time of a real call are measured over loopback first. Run with
//! `cargo run --release -p siskinhook-fleet --example slopes -- [--nodes N]... [--json]`.

#[path = "../tests/support/fake_platform.rs"]
mod fake_platform;

use std::{
    collections::BTreeMap,
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use fake_platform::FakePlatform;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rustix::time::{ClockId, clock_gettime};
use serde::Serialize;
use siskinhook_fleet::{
    Digest, Fleet, FleetSettings, Identity, MemoryNetwork, MemorySettings, OwnerCache, PeerMessage,
    Peers, Profile, RpcPeers, Secret, Traffic, owner, serve,
};
use siskinhook_types::{
    Catalogue, Change, Database, Entry, FleetView, Limits, Member, MemberState, Server, VmRecord,
};
use tokio::{net::TcpStream, runtime, time::sleep};

/// Number of databases per node: 690 databases for 620 nodes.
const DATABASES_PER_NODE: f64 = 690.0 / 620.0;
/// Number of zones; the first four are in one region, the others in a second one.
const ZONES: usize = 8;
/// Simulated seconds over which the idle fleet is measured.
const IDLE_SECONDS: u64 = 120;
/// Number of calls measured over loopback.
const CALLS: u32 = 1000;

mod flags {
    xflags::xflags! {
        cmd slopes {
            /// Number of nodes; can be repeated. Default: 8, 32, 128, 320 and 620.
            repeated --nodes count: usize
            /// First seed. Default: 1.
            optional --seed seed: u64
            /// Number of seeds. Default: 1.
            optional --seeds count: u64
            /// Share of lost messages in the idle fleet. Default: 0.
            optional --loss share: f64
            /// Prints one JSON object per run.
            optional --json
        }
    }
}

#[derive(Serialize)]
struct Call {
    request_framing: usize,
    answer_framing: usize,
    cpu_micros: f64,
    /// Microseconds to compute the owner of a server among 620 members.
    owner_micros: f64,
    /// Microseconds to look up the owner in the cache.
    cached_micros: f64,
}

#[derive(Serialize)]
struct Report {
    nodes: usize,
    databases: usize,
    seed: u64,
    loss: f64,
    /// Simulated seconds until all nodes see each other as alive and have the catalogue.
    join: Option<f64>,
    /// Bytes that a node sends per second when idle; it receives the same number on average.
    sent: f64,
    /// Messages that a node sends per second when idle.
    messages: BTreeMap<&'static str, f64>,
    /// Calls that a node makes per second when idle.
    calls: f64,
    /// Share of a core per idle node, for state machines and message encoding.
    cpu: f64,
    /// `cpu` plus the measured CPU time of real calls.
    cpu_with_calls: f64,
    /// Resident memory per node in KB. Measured in the first run only, because later runs reuse the
    /// memory of the process.
    memory: Option<f64>,
    /// Reads of the platform per second by all nodes together when idle.
    reads: f64,
    /// Number of refuted suspicions in the idle fleet, at the given loss.
    false_suspicions: u64,
    /// Bytes that a node sends in total for one change.
    change_bytes: f64,
    /// Seconds until a change is in force on all nodes: median and maximum.
    change: [f64; 2],
    /// Bytes that a node sends in total for one death.
    death_bytes: f64,
    /// Seconds until all nodes know of a death: median and maximum.
    death: [f64; 2],
    /// Partition between the regions for ten minutes.
    cut: Cut,
}

#[derive(Serialize)]
struct Cut {
    /// Bytes that a node sends per second in the first minute of the partition.
    first: f64,
    /// Bytes that a node sends per second in the last five minutes of the partition.
    late: f64,
    /// Bytes that a node sends per second in the first minute after the partition.
    healed: f64,
    /// Seconds after the partition until all nodes see each other as alive again.
    merge: Option<f64>,
}

fn main() -> anyhow::Result<()> {
    let flags = flags::Slopes::from_env_or_exit();
    let call = runtime::Runtime::new()?.block_on(measure_call())?;
    if flags.json {
        println!("{}", serde_json::to_string(&call)?);
    } else {
        println!(
            "a call over loopback: {} + {} bytes of framing, {:.0} us CPU on both sides; \
             owner among 620 members: {:.1} us, cached {:.2} us",
            call.request_framing,
            call.answer_framing,
            call.cpu_micros,
            call.owner_micros,
            call.cached_micros
        );
    }
    let sizes = if flags.nodes.is_empty() {
        vec![8, 32, 128, 320, 620]
    } else {
        flags.nodes
    };
    let first = flags.seed.unwrap_or(1);
    let mut runs = 0;
    for nodes in sizes {
        for seed in first..first + flags.seeds.unwrap_or(1) {
            let runtime = runtime::Builder::new_current_thread()
                .enable_all()
                .start_paused(true)
                .build()?;
            let loss = flags.loss.unwrap_or_default();
            let run = run(nodes, seed, loss, &call, runs == 0);
            runs += 1;
            let report = runtime.block_on(run);
            if flags.json {
                println!("{}", serde_json::to_string(&report)?);
            } else {
                print_report(&report);
            }
        }
    }
    Ok(())
}

fn print_report(report: &Report) {
    println!(
        "{} nodes, {} databases, seed {}, loss {}:\n  \
         joined after {:.1} s; {:.0} bytes/s sent, {:.2} calls/s, {:.3}% of a core \
         ({:.3}% with real calls), {:.0} KB; platform {:.1} reads/s; {} false suspicions\n  \
         change: {:.2} s median, {:.2} s worst, {:.0} bytes; \
         death: {:.1} s median, {:.1} s worst, {:.0} bytes\n  \
         regions cut: {:.0} bytes/s sent in the first minute, {:.0} later, {:.0} after healing; \
         merged after {:.1} s\n  messages/s: {:.3?}",
        report.nodes,
        report.databases,
        report.seed,
        report.loss,
        report.join.unwrap_or(f64::NAN),
        report.sent,
        report.calls,
        report.cpu * 100.0,
        report.cpu_with_calls * 100.0,
        report.memory.unwrap_or(f64::NAN),
        report.reads,
        report.false_suspicions,
        report.change[0],
        report.change[1],
        report.change_bytes,
        report.death[0],
        report.death[1],
        report.death_bytes,
        report.cut.first,
        report.cut.late,
        report.cut.healed,
        report.cut.merge.unwrap_or(f64::NAN),
        report.messages,
    );
}

struct Running {
    network: MemoryNetwork,
    platform: FakePlatform,
    fleets: Vec<(String, Fleet)>,
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
async fn run(nodes: usize, seed: u64, loss: f64, call: &Call, first: bool) -> Report {
    let base = resident_kilobytes();
    let mut random = SmallRng::seed_from_u64(seed);
    let mut running = start(nodes, seed, loss, call, &mut random).await;
    let join = running.wait(120, 100, Running::converged).await;
    // Wait until the member updates of the start are no longer sent.
    sleep(Duration::from_mins(5)).await;
    drop(running.network.take_traffic());
    let refutations = running.incarnations();
    let (reads, cpu) = (running.platform.contents().reads, cpu_seconds());
    sleep(Duration::from_secs(IDLE_SECONDS)).await;
    let cpu = (cpu_seconds() - cpu) / (nodes as f64 * IDLE_SECONDS as f64);
    let reads = (running.platform.contents().reads - reads) as f64 / IDLE_SECONDS as f64;
    let traffic = running.network.take_traffic();
    let false_suspicions = running.incarnations() - refutations;
    let per_node = |count: u64| count as f64 / nodes as f64;
    let sent = per_node(bytes(&traffic)) / IDLE_SECONDS as f64;
    let messages: BTreeMap<_, _> = traffic
        .iter()
        .map(|(kind, t)| (*kind, per_node(t.messages) / IDLE_SECONDS as f64))
        .collect();
    let calls = ["probe", "relay", "hello", "news", "pull"];
    let calls = calls.iter().filter_map(|kind| messages.get(kind)).sum();
    let memory = first.then(|| resident_kilobytes().saturating_sub(base) as f64 / nodes as f64);

    let extra = |traffic: &BTreeMap<_, Traffic>, time: f64| {
        (per_node(bytes(traffic)) - sent * time).max(0.0)
    };
    let mut changes = Vec::new();
    let mut change_bytes = 0.0;
    for _ in 0..10 {
        drop(running.network.take_traffic());
        let at = random.random_range(0..nodes);
        running.edit(at).await;
        let time = running.wait(30, 10, Running::in_force).await;
        changes.push(time.unwrap_or(f64::INFINITY));
        sleep(Duration::from_secs(5)).await;
        let time = 5.0 + time.unwrap_or(30.0);
        change_bytes += extra(&running.network.take_traffic(), time) / 10.0;
    }
    let mut deaths = Vec::new();
    let mut death_bytes = 0.0;
    for _ in 0..3 {
        drop(running.network.take_traffic());
        let (name, fleet) = running
            .fleets
            .swap_remove(random.random_range(1..running.fleets.len()));
        running.network.remove(&name);
        drop(fleet);
        let time = running.wait(60, 100, |r| r.knows_dead(&name)).await;
        deaths.push(time.unwrap_or(f64::INFINITY));
        sleep(Duration::from_secs(15)).await;
        let time = 15.0 + time.unwrap_or(60.0);
        death_bytes += extra(&running.network.take_traffic(), time) / 3.0;
    }
    let cut = running.cut().await;
    Report {
        nodes,
        databases: databases(nodes),
        seed,
        loss,
        join,
        sent,
        calls,
        cpu,
        cpu_with_calls: cpu + calls * call.cpu_micros / 1e6,
        memory,
        reads,
        false_suspicions,
        change_bytes,
        change: median_and_worst(changes),
        death_bytes,
        death: median_and_worst(deaths),
        cut,
        messages,
    }
}

async fn start(nodes: usize, seed: u64, loss: f64, call: &Call, random: &mut SmallRng) -> Running {
    let network = MemoryNetwork::new(MemorySettings {
        seed,
        loss,
        request_framing: call.request_framing,
        answer_framing: call.answer_framing,
        ..MemorySettings::default()
    });
    let platform = FakePlatform::default();
    let vms: Vec<VmRecord> = (0..nodes).map(vm).collect();
    {
        let mut contents = platform.contents();
        contents.snapshot = catalogue(databases(nodes));
        contents.vms.clone_from(&vms);
    }
    let mut fleets = Vec::new();
    for vm in vms {
        let peers = network.add(&vm.address, &vm.region, &vm.zone);
        let identity = Identity {
            name: vm.name.clone(),
            profile: Profile {
                region: vm.region,
                zone: vm.zone,
                peer: vm.address.clone(),
                link: vm.address.replace(":7400", ":7401").into(),
            },
            seeds: Vec::new(),
        };
        let settings = FleetSettings::default();
        let fleet = Fleet::start(settings, identity, random.random(), peers, platform.clone());
        network.attach(&vm.address, fleet.clone());
        fleets.push((vm.address.to_string(), fleet));
        // Spread the starts of all nodes over 10 s.
        sleep(Duration::from_secs(10) / u32::try_from(nodes).unwrap_or(u32::MAX)).await;
    }
    Running {
        network,
        platform,
        fleets,
    }
}

impl Running {
    /// Waits until the condition holds, checked every `step` milliseconds; returns the simulated
    /// seconds, or `None` after `limit` seconds.
    async fn wait(&self, limit: u64, step: u64, done: impl Fn(&Self) -> bool) -> Option<f64> {
        let start = tokio::time::Instant::now();
        while start.elapsed() < Duration::from_secs(limit) {
            if done(self) {
                return Some(start.elapsed().as_secs_f64());
            }
            sleep(Duration::from_millis(step)).await;
        }
        None
    }

    /// Partitions the regions from each other for ten minutes, then measures how they merge.
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    async fn cut(&self) -> Cut {
        let nodes = self.fleets.len() as f64;
        let rate = async |seconds: u64| {
            drop(self.network.take_traffic());
            sleep(Duration::from_secs(seconds)).await;
            bytes(&self.network.take_traffic()) as f64 / nodes / seconds as f64
        };
        self.network.cut(&["zone-4", "zone-5", "zone-6", "zone-7"]);
        let first = rate(60).await;
        sleep(Duration::from_mins(4)).await;
        let late = rate(300).await;
        self.network.cut(&[]);
        let (healed, merge) = tokio::join!(rate(60), self.wait(300, 500, Running::converged));
        Cut {
            first,
            late,
            healed,
            merge,
        }
    }

    fn converged(&self) -> bool {
        self.in_force()
            && self.fleets.iter().all(|(_, fleet)| {
                let view = fleet.view().borrow().clone();
                let alive = |m: &&Member| m.state == MemberState::Alive;
                view.members.values().filter(alive).count() == self.fleets.len()
            })
    }

    fn in_force(&self) -> bool {
        let revision = self.platform.contents().revision();
        let mut fleets = self.fleets.iter();
        fleets.all(|(_, fleet)| fleet.catalogue().borrow().revision == revision)
    }

    fn knows_dead(&self, address: &str) -> bool {
        self.fleets.iter().all(|(_, fleet)| {
            let view = fleet.view().borrow().clone();
            let mut members = view.members.values();
            members.all(|m| m.peer != address || m.state == MemberState::Dead)
        })
    }

    /// Returns the sum of the incarnations of all nodes; each refuted suspicion adds one.
    fn incarnations(&self) -> u64 {
        let local = |fleet: &Fleet| {
            let view = fleet.view().borrow().clone();
            view.members.get(&view.local).map_or(0, |m| m.incarnation)
        };
        self.fleets.iter().map(|(_, fleet)| local(fleet)).sum()
    }

    async fn edit(&self, at: usize) {
        let change = {
            let mut contents = self.platform.contents();
            let change = Change {
                revision: contents.revision() + 1,
                edit: "0192f7a4-6c1e-7000-8000-000000000001".into(),
                service: "service-1".into(),
                entry: Some(entry(1)),
            };
            contents.changes.push(change.clone());
            change
        };
        self.fleets[at].1.publish(change).await;
    }
}

fn vm(i: usize) -> VmRecord {
    let zone = i % ZONES;
    VmRecord {
        name: format!("node-{i:04}").into(),
        region: ["guj-west", "hr-jug"][zone / 4].into(),
        zone: format!("zone-{zone}").into(),
        address: format!("10.{zone}.{}.{}:7400", i / 250, i % 250).into(),
        leaving: false,
    }
}

#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts are far below 2^52"
)]
fn databases(nodes: usize) -> usize {
    (nodes as f64 * DATABASES_PER_NODE).round() as usize
}

/// Builds a catalogue of services with three databases each, as in the current deployment.
fn catalogue(databases: usize) -> Catalogue {
    let entries = (0..databases.div_ceil(3)).map(|i| (format!("service-{i}").into(), entry(i)));
    Catalogue {
        revision: 1000,
        entries: entries.collect(),
    }
}

fn entry(service: usize) -> Entry {
    let database = |i: usize| Database {
        servers: (0..3)
            .map(|s| Server {
                name: format!("service-{service}-db-{i}-{s}").into(),
                zone: format!("zone-{}", (service + s) % ZONES).into(),
                address: format!("10.9.{}.{}:5432", service % 250, i * 3 + s).into(),
                leaving: false,
            })
            .collect(),
    };
    Entry {
        name: format!("service-{service}").into(),
        owner: "sabarmati".into(),
        class: siskinhook_types::Class::default(),
        limits: Limits::default(),
        max_age: Some(2000),
        credentials: format!("secrets/service-{service}").into(),
        databases: (0..3)
            .map(|i| (format!("service-{service}-db-{i}").into(), database(i)))
            .collect(),
    }
}

/// Measures the framing and the CPU time of a real call over loopback.
async fn measure_call() -> anyhow::Result<Call> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let secret = Secret::new("a secret of the usual length, 32");
    // A single node that answers probes.
    let network = MemoryNetwork::new(MemorySettings::default());
    let peers = network.add("10.0.0.1:7400", "r", "z");
    let identity = Identity {
        name: "node-0001".into(),
        profile: Profile {
            region: "r".into(),
            zone: "z".into(),
            peer: "10.0.0.1:7400".into(),
            link: "10.0.0.1:7401".into(),
        },
        seeds: Vec::new(),
    };
    let fleet = Fleet::start(
        FleetSettings::default(),
        identity,
        1,
        peers,
        FakePlatform::default(),
    );
    // A TCP relay in front of the server counts the bytes of one call.
    let counter = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let front = counter.local_addr()?;
    let _server = serve(
        listener,
        front.to_string().into(),
        secret.clone(),
        fleet.clone(),
    )?;
    let (sent, received) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let counts = (Arc::clone(&sent), Arc::clone(&received));
    let relay = tokio::spawn(async move {
        let (mut near, _) = counter.accept().await?;
        let mut far = TcpStream::connect(address).await?;
        let (up, down) = tokio::io::copy_bidirectional(&mut near, &mut far).await?;
        counts.0.store(up, Ordering::Relaxed);
        counts.1.store(down, Ordering::Relaxed);
        anyhow::Ok(())
    });
    let client = RpcPeers::new(secret.clone());
    let probe = PeerMessage::Probe(Digest {
        from: "node-0002".into(),
        incarnation: 0,
        revision: Some(1000),
        wants_hello: false,
        updates: Vec::new(),
    });
    let answer = client.call(&front.to_string(), probe.clone()).await?;
    relay.await??;
    let framing = |count: &AtomicU64, message: &PeerMessage| -> anyhow::Result<usize> {
        let total = usize::try_from(count.load(Ordering::Relaxed))?;
        Ok(total - serde_json::to_vec(message)?.len())
    };
    let request_framing = framing(&sent, &probe)?;
    let answer_framing = framing(&received, &answer)?;

    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?.to_string();
    let _direct = serve(listener, address.as_str().into(), secret, fleet)?;
    let start = cpu_seconds();
    for _ in 0..CALLS {
        client.call(&address, probe.clone()).await?;
    }
    let cpu_micros = (cpu_seconds() - start) * 1e6 / f64::from(CALLS);
    let (owner_micros, cached_micros) = measure_owner();
    Ok(Call {
        request_framing,
        answer_framing,
        cpu_micros,
        owner_micros,
        cached_micros,
    })
}

fn measure_owner() -> (f64, f64) {
    let member = |vm: VmRecord| Member {
        name: vm.name,
        region: vm.region,
        zone: vm.zone,
        peer: vm.address.clone(),
        link: vm.address,
        state: MemberState::Alive,
        incarnation: 0,
        revision: 0,
    };
    let members = (0..620).map(vm).map(|vm| (vm.name.clone(), member(vm)));
    let view = Arc::new(FleetView {
        local: vm(0).name,
        members: members.collect(),
    });
    let catalogue = catalogue(690);
    let databases = catalogue
        .entries
        .values()
        .flat_map(|e| e.databases.values());
    let servers: Vec<&Server> = databases.flat_map(|d| &d.servers).collect();
    let cache = OwnerCache::new();
    let mut times = [0.0; 3];
    for (round, time) in times.iter_mut().enumerate() {
        let start = cpu_seconds();
        for server in &servers {
            let found = match round {
                0 => owner(&view, server),
                _ => cache.owner(&view, server),
            };
            assert!(found.is_some());
        }
        *time =
            (cpu_seconds() - start) * 1e6 / f64::from(u32::try_from(servers.len()).unwrap_or(1));
    }
    (times[0], times[2])
}

fn bytes(traffic: &BTreeMap<&'static str, Traffic>) -> u64 {
    traffic.values().map(|t| t.bytes).sum()
}

fn median_and_worst(mut values: Vec<f64>) -> [f64; 2] {
    values.sort_by(f64::total_cmp);
    [values[values.len() / 2], values[values.len() - 1]]
}

#[expect(clippy::cast_precision_loss, reason = "seconds are far below 2^52")]
fn cpu_seconds() -> f64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// Returns the resident memory of the process in KB; 0 where `/proc` is missing.
fn resident_kilobytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
        .unwrap_or(0)
}
