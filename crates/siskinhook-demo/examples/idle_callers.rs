//! Measures the resident memory of a node per idle caller connection.
//!
//! The measurement takes three processes, started by hand, so that the node's process contains
//! nothing else:
//!
//! 1. `siskinhook standin` prints the platform's address.
//! 2. `idle_callers node PLATFORM SECONDS` starts a node and prints its address for callers.
//!    Then it prints, once per second, the open files and the resident memory (`VmRSS` of
//!    `/proc/self/status`, which is the resident part of `/proc/self/statm` in KB), with the
//!    growth per open file since the first line. It exits after `SECONDS`.
//! 3. `idle_callers clients ADDRESS COUNT SECONDS` opens `COUNT` authenticated connections to
//!    the node, keeps them idle and closes them after `SECONDS`. With `used` as the last
//!    argument, each connection reads a row first.
//!
//! Each caller is one open file of the node, so the growth per open file is the growth per
//! caller. Socket buffers are kernel memory and not part of the figure.

use std::{fs, net::SocketAddr, time::Duration};

use anyhow::{Context, bail};
use indexmap::IndexMap;
use siskinhook_node::{Listeners, Node};
use siskinhook_settings::{
    Addresses, CatalogueSettings, Credential, Drain, Failover, Fleet, LogSettings, NodeSettings,
    PlatformSettings, Requests, SecretSource,
};
use tokio::time::sleep;
use tokio_postgres::{Client, Config, NoTls};

/// Number of connections that are opened concurrently.
const CONNECT_BATCH: usize = 32;

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> anyhow::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match *arguments.as_slice() {
        ["node", platform, seconds] => node(platform, seconds.parse()?).await,
        ["clients", address, count, seconds] => {
            clients(address.parse()?, count.parse()?, seconds.parse()?, false).await
        }
        ["clients", address, count, seconds, "used"] => {
            clients(address.parse()?, count.parse()?, seconds.parse()?, true).await
        }
        _ => bail!("usage: node PLATFORM SECONDS | clients ADDRESS COUNT SECONDS [used]"),
    }
}

fn settings(platform: &str) -> NodeSettings {
    let any_port = || "127.0.0.1:0".into();
    let demo_secret = |text: &str| SecretSource::Demo(text.into());
    NodeSettings {
        name: "n1".into(),
        region: "guj-west".into(),
        zone: "ahd-a".into(),
        addresses: Addresses {
            callers: any_port(),
            links: any_port(),
            peers: any_port(),
            operators: any_port(),
            metrics: any_port(),
        },
        platform: PlatformSettings::new(platform),
        dial: IndexMap::new(),
        demo: true,
        secret: demo_secret("demo-fleet-secret"),
        callers: IndexMap::from([("demo".into(), demo_secret("demo"))]),
        credentials: IndexMap::from([(
            "standin".into(),
            Credential {
                user: "siskinhook".into(),
                password: demo_secret("siskinhook"),
            },
        )]),
        operators: IndexMap::new(),
        failover: Failover::default(),
        fleet: Fleet::default(),
        catalogue: CatalogueSettings::default(),
        requests: Requests::default(),
        drain: Drain::default(),
        log: LogSettings::default(),
    }
}

/// Runs a node and prints its memory usage once per second.
async fn node(platform: &str, seconds: u64) -> anyhow::Result<()> {
    let mut settings = settings(platform);
    let listeners = Listeners::bind(&settings.addresses)?;
    settings.addresses = listeners.addresses()?;
    println!("callers: {}", settings.addresses.callers);
    let node = Node::start(settings, listeners).await?;
    node.ready().await;
    // Excludes the connections that an owner opens to its servers from the growth.
    sleep(Duration::from_secs(2)).await;
    let (first_files, first_resident) = process_usage()?;
    for _ in 0..seconds {
        let (files, resident) = process_usage()?;
        let further_files = files.saturating_sub(first_files);
        let growth = resident.saturating_sub(first_resident) * 1024;
        let bytes_per_file = growth.checked_div(further_files).unwrap_or_default();
        println!(
            "{files} open files, {resident} KB resident, {bytes_per_file} bytes per further file"
        );
        sleep(Duration::from_secs(1)).await;
    }
    node.drain().await;
    Ok(())
}

/// Returns the number of open files and the resident memory in KB of this process.
fn process_usage() -> anyhow::Result<(usize, usize)> {
    let status = fs::read_to_string("/proc/self/status")?;
    let mut lines = status.lines();
    let line = lines.find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next());
    let kilobytes = kilobytes.context("/proc/self/status has no VmRSS")?;
    Ok((fs::read_dir("/proc/self/fd")?.count(), kilobytes.parse()?))
}

/// Opens connections to a node and keeps them idle.
async fn clients(
    address: SocketAddr,
    count: usize,
    seconds: u64,
    used: bool,
) -> anyhow::Result<()> {
    let mut open = Vec::new();
    while open.len() < count {
        let batch = (0..CONNECT_BATCH.min(count - open.len())).map(|_| connect(address, used));
        open.extend(futures::future::try_join_all(batch).await?);
    }
    println!("{} connections are open", open.len());
    sleep(Duration::from_secs(seconds)).await;
    Ok(())
}

async fn connect(address: SocketAddr, used: bool) -> anyhow::Result<Client> {
    let mut config = Config::new();
    config
        .host("127.0.0.1")
        .port(address.port())
        .user("demo")
        .password("demo")
        .dbname("shifts");
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    if used {
        client.simple_query("SELECT count(*) FROM shifts").await?;
    }
    Ok(client)
}
