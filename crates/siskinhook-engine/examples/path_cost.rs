//! Measures the overhead that the request path adds to a statement, over TCP on loopback.
//!
//! A run compares a statement sent directly to a server of the stand-in, through one node that
//! owns the server, and through two nodes (entry and owner). Everything runs on one machine and
//! each figure includes the time of the stand-in, so the differences are the cost of the path.
//!
//! Run with `cargo run --release -p siskinhook-engine --example path_cost`.
#![allow(clippy::unwrap_used, reason = "a failed run ends here")]
#![allow(clippy::print_stdout, reason = "the result of the run")]

#[path = "../tests/support/tcp.rs"]
mod tcp;

use std::time::{Duration, Instant};

use siskinhook_engine::{PgTargets, SessionOptions};
use siskinhook_standin::{Plan, ServerOptions};
use siskinhook_types::{Part, Purpose, Statement, TargetSession, Targets};
use tcp::{TcpCluster, TcpNode, TcpSession};
use tokio::task::JoinSet;

/// Statements of the single caller whose latency is measured.
const LATENCY_STATEMENTS: usize = 4000;
/// Number of callers in a throughput measurement.
const CALLERS: usize = 32;
/// Duration of a throughput measurement.
const THROUGHPUT_DURATION: Duration = Duration::from_secs(4);

fn statement() -> Statement {
    let sql = "SELECT barista FROM claims WHERE shift_id = $1";
    Statement::with_text_params(sql, ["90".to_owned()])
}

/// A path over which the statement is run.
trait RequestPath: Send + 'static {
    fn run(&mut self) -> impl Future<Output = ()> + Send;
}

struct Direct(<PgTargets as Targets>::Session);

impl RequestPath for Direct {
    async fn run(&mut self) {
        self.0.start(&statement()).await.unwrap();
        while !matches!(self.0.next().await.unwrap(), Part::Done { .. }) {}
    }
}

struct ThroughNode(TcpSession);

impl RequestPath for ThroughNode {
    async fn run(&mut self) {
        let mut answer = self.0.execute(statement()).await.unwrap();
        while let Some(part) = answer.next().await {
            part.unwrap();
        }
    }
}

/// Returns the median and the 99th percentile of the latency in microseconds.
async fn latency(path: &mut impl RequestPath) -> (f64, f64) {
    for _ in 0..LATENCY_STATEMENTS / 4 {
        path.run().await;
    }
    let mut times = Vec::with_capacity(LATENCY_STATEMENTS);
    for _ in 0..LATENCY_STATEMENTS {
        let started = Instant::now();
        path.run().await;
        times.push(started.elapsed().as_secs_f64() * 1e6);
    }
    times.sort_by(f64::total_cmp);
    (
        times[LATENCY_STATEMENTS / 2],
        times[LATENCY_STATEMENTS * 99 / 100],
    )
}

/// Returns the statements per second of concurrent callers and the cores used by the process.
async fn throughput<W: RequestPath>(paths: Vec<W>) -> (f64, f64) {
    let (started, cpu_before) = (Instant::now(), processor_time());
    let mut tasks = JoinSet::new();
    for mut path in paths {
        tasks.spawn(async move {
            let mut count: u32 = 0;
            while started.elapsed() < THROUGHPUT_DURATION {
                path.run().await;
                count += 1;
            }
            count
        });
    }
    let count: u32 = tasks.join_all().await.into_iter().sum();
    let seconds = started.elapsed().as_secs_f64();
    let cores = (processor_time() - cpu_before) / seconds;
    (f64::from(count) / seconds, cores)
}

/// Returns the processor time of this process in seconds, which the kernel counts in 10 ms ticks.
fn processor_time() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    let ticks = |index: usize| fields[index].parse::<f64>().unwrap();
    (ticks(11) + ticks(12)) / 100.0
}

fn session(node: &TcpNode) -> ThroughNode {
    let options = SessionOptions {
        max_age: Some(Duration::from_secs(5)),
        ..SessionOptions::default()
    };
    ThroughNode(
        node.session("claims".into(), "meera".into(), options)
            .unwrap(),
    )
}

async fn direct(cluster: &TcpCluster) -> Direct {
    let (_, catalogue) = tokio::sync::watch::channel(cluster.catalogue.clone());
    let targets = PgTargets::new("direct".into(), catalogue, tcp::options());
    let entry = cluster.catalogue.entries.values().next().unwrap();
    let server = &entry.databases["claims"].servers[0];
    Direct(targets.connect(server, Purpose::Data).await.unwrap())
}

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(measure());
}

async fn measure() {
    let mut plan = Plan::shiftdesk();
    plan.databases.retain(|name, _| name == "claims");
    plan.zones.truncate(1);
    plan.nodes = 2;
    // Statements take no time in the stand-in and do not wait for its slots, so that only the path
    // is measured.
    plan.server = ServerOptions {
        slots: 64,
        connections: 160,
        setup: Duration::ZERO,
        service: Duration::ZERO,
        ..ServerOptions::default()
    };
    // A leaving node owns nothing and forwards everything.
    let cluster = tcp::start(1, plan, &["n2"]).await;
    let (owner, entry) = (&cluster.nodes["n1"], &cluster.nodes["n2"]);
    println!("path       median us  p99 us  statements/s  cores  statements/s per core");
    let mut path = direct(&cluster).await;
    let baseline = latency(&mut path).await;
    let mut paths = Vec::new();
    for _ in 0..CALLERS {
        paths.push(direct(&cluster).await);
    }
    report("direct", baseline, throughput(paths).await);
    for (name, node) in [("one node", owner), ("two nodes", entry)] {
        let measured = latency(&mut session(node)).await;
        let paths = (0..CALLERS).map(|_| session(node)).collect();
        report(name, measured, throughput(paths).await);
        println!(
            "{name}: added median {:.0} us, p99 {:.0} us",
            measured.0 - baseline.0,
            measured.1 - baseline.1
        );
    }
}

fn report(name: &str, latency: (f64, f64), rate: (f64, f64)) {
    println!(
        "{name:<10} {:>9.0} {:>7.0} {:>13.0} {:>6.2} {:>22.0}",
        latency.0,
        latency.1,
        rate.0,
        rate.1,
        rate.0 / rate.1
    );
}
