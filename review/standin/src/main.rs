//! Runs one of the review's scripts: `review-standin CASE RECORD`.
//!
//! Starts stand-ins of the platform and of one service with three servers, eight nodes of the
//! project's program, and clients. Exits with 1 if the rule was broken, with 0 if it held, and with
//! 2 if the case could not run. With `TROUBLE=0` in the environment the disruption is left out.
//!
//! Other variables change single cases: `KILL=0` leaves out the kill of the nodes in `forgotten`, and
//! `KILL=early` kills them before the store is back; `AWAY_S` is the number of seconds for which the
//! replica of `late` is down (66); with `CRASH=0` the second replica of `alone` receives nothing
//! instead of crashing; with `CUT=0` the new server of `successor` reaches the store. `drawn` takes its
//! disruptions from the number `SEED` (0) and lasts `SECONDS` (60). `KEEP` keeps the nodes' logs.

mod client;
mod database;
mod disruptions;
mod drawn;
mod http;
mod node;
mod scenarios;
mod site;

use std::{env, fs::File, path::Path, process::ExitCode, sync::Arc, thread, time::Duration};

use node::Node;
use scenarios::Kill;
use serde_json::json;
use site::Site;

/// Zones of the servers; the last one starts only in a release.
const SERVER_ZONES: [&str; 4] = ["split-a", "split-b", "sinj-a", "split-b"];
/// Zones of the nodes, two in each.
const ZONES: [&str; 4] = ["split-a", "split-b", "sinj-a", "omis-a"];

fn route(host: &str, kind: &str) -> serde_json::Value {
    json!({
        "name": format!("r-{host}"), "host": host, "prefix": "/", "kind": kind, "timeout_ms": 800,
        "latency_slo_ms": 200, "priority": 1, "service": site::SERVICE, "max_attempts": 2,
        "max_staleness_ms": 1500,
    })
}

/// Starts the stand-ins and the nodes.
fn start(site: &Arc<Site>, directory: &Path) -> std::io::Result<Vec<Node>> {
    for index in 0..SERVER_ZONES.len() {
        let listener = node::free_listener()?;
        site.lock().servers[index].port = listener.local_addr()?.port();
        database::serve(site, index, listener);
        let site = site.clone();
        thread::spawn(move || site.run_reports(index));
    }
    let configuration = json!({
        "version": 7,
        "routes": [route("orders", "primary"), route("stock", "bounded_staleness")],
        "services": [{"name": site::SERVICE, "max_conns": site::MAX_CONNECTIONS, "sync_replicas": 1}],
        "limits": {"tx_idle_ms": 5000},
    });
    site.lock().store.put_json("op", "config", &configuration);
    let expiry = site.clone();
    thread::spawn(move || expiry.run_expiry());
    let node = |index: usize| {
        let zone = ZONES[index / 2];
        let name = format!("edge-{zone}-{}", index % 2 + 1);
        let listener = node::free_listener()?;
        let address = listener.local_addr()?;
        http::serve(site, listener, &name);
        Ok(Node::start(directory, &name, zone, address))
    };
    (0..drawn::NODES).map(node).collect()
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, record] = arguments.as_slice() else {
        eprintln!("usage: review-standin CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let kill = match env::var("KILL").as_deref() {
        Ok("0") => Kill::Never,
        Ok("early") => Kill::BeforeStore,
        _ => Kill::AfterRemoval,
    };
    let crashes_replica = env::var("CRASH").as_deref() != Ok("0");
    let cuts_new_server = env::var("CUT").as_deref() != Ok("0");
    let away = env::var("AWAY_S").ok().and_then(|text| text.parse().ok());
    let away = Duration::from_secs(away.unwrap_or(66));
    let number = |name: &str| env::var(name).ok().and_then(|text| text.parse().ok());
    let seed = number("SEED").unwrap_or_default();
    let seconds = number("SECONDS").unwrap_or(60);
    let directory = env::temp_dir().join(format!("review-{}", std::process::id()));
    let Ok(file) = File::create(record) else {
        eprintln!("cannot write {record}");
        return ExitCode::from(2);
    };
    if std::fs::create_dir_all(&directory).is_err() {
        return ExitCode::from(2);
    }
    let site = Site::new(file, &SERVER_ZONES);
    let result = match start(&site, &directory) {
        Ok(mut nodes) if nodes.iter().all(Node::wait_ready) => {
            site.note(&format!("{} nodes are ready", nodes.len()));
            match case.as_str() {
                "restart" => scenarios::restart(&site, &nodes, has_trouble),
                "lapse" => scenarios::lapse(&site, &nodes, has_trouble),
                "forgotten" => scenarios::forgotten(&site, &mut nodes, has_trouble, kill),
                "late" => scenarios::late(&site, &nodes, has_trouble, away),
                "alone" => scenarios::alone(&site, &nodes, has_trouble, crashes_replica),
                "successor" => scenarios::successor(&site, &nodes, has_trouble, cuts_new_server),
                "join" => scenarios::join(&site, &nodes, has_trouble),
                "memory" => scenarios::memory(&site, &mut nodes, has_trouble),
                "text" => scenarios::text(&site, &nodes, has_trouble),
                "drawn" => disruptions::run(&site, nodes, has_trouble, seed, seconds),
                _ => Err(format!("there is no case {case}")),
            }
        }
        Ok(_) => Err("a node was not ready in time".into()),
        Err(error) => Err(error.to_string()),
    };
    if env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&directory);
    }
    match result {
        Ok(broken) => {
            for line in &broken {
                site.note(&format!("BROKEN {line}"));
                println!("BROKEN {line}");
            }
            let verdict = if broken.is_empty() {
                "the rule held"
            } else {
                "the rule was broken"
            };
            site.note(verdict);
            println!("{verdict}");
            ExitCode::from(u8::from(!broken.is_empty()))
        }
        Err(reason) => {
            site.note(&format!("could not run: {reason}"));
            eprintln!("could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
