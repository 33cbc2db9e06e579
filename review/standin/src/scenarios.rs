//! The scripts. Each returns what broke the rule.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle, sleep},
    time::{Duration, Instant},
};

use crate::{client::Client, node::Node, site::Site};

pub type Broken = Result<Vec<String>, String>;

/// Clients that write one item after the other, and note what was acknowledged.
pub struct Writers {
    is_over: Arc<AtomicBool>,
    acknowledged: Arc<Mutex<Vec<String>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Writers {
    pub fn start(site: &Arc<Site>, nodes: &[Node]) -> Self {
        let (is_over, acknowledged) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let next = Arc::new(AtomicU64::new(1));
        let start = |node: &Node| {
            let (site, is_over, next) = (site.clone(), is_over.clone(), next.clone());
            let acknowledged: Arc<Mutex<Vec<String>>> = Arc::clone(&acknowledged);
            let address = node.callers;
            thread::spawn(move || {
                let mut client = None;
                while !is_over.load(Ordering::Relaxed) {
                    sleep(Duration::from_millis(40));
                    if client.is_none() {
                        client = Client::open(address, "orders");
                    }
                    let Some(open) = client.as_mut() else {
                        continue;
                    };
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let id = format!("w{number}");
                    let text = format!("WRITE item{number} data{number}");
                    site.note(&format!("client sends {id} {text}"));
                    match open.query(&id, text.as_bytes()).map(|answer| answer.result) {
                        Some(Ok(signature)) => {
                            site.note(&format!(
                                "client gets {id} acknowledged, signed {signature}"
                            ));
                            let mut list =
                                acknowledged.lock().unwrap_or_else(PoisonError::into_inner);
                            list.push(id);
                        }
                        Some(Err(error)) => site.note(&format!("client gets {id} {error}")),
                        None => {
                            site.note(&format!("client gets no answer to {id}"));
                            client = None;
                        }
                    }
                }
            })
        };
        let threads = nodes.iter().map(start).collect();
        Self {
            is_over,
            acknowledged,
            threads,
        }
    }

    /// Stops the clients and returns what was acknowledged.
    fn stop(self) -> Vec<String> {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        let list = self
            .acknowledged
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        list.clone()
    }
}

pub fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Waits for an order to promote a server; returns the index of that server.
fn wait_for_order(site: &Site, limit: Duration) -> Option<usize> {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        let world = site.lock();
        if let Some(id) = &world.ordered {
            return world.servers.iter().position(|s| s.id == *id);
        }
        drop(world);
        sleep(millis(5));
    }
    None
}

/// Stops the clients and returns what broke the rule.
pub fn finish(site: &Site, writers: Writers) -> Broken {
    let acknowledged = writers.stop();
    let promotions = site.lock().promoted.len();
    site.note(&format!(
        "{} writes acknowledged, {promotions} promotions",
        acknowledged.len()
    ));
    if acknowledged.len() < 50 {
        return Err("hardly any write was acknowledged".into());
    }
    Ok(site.lost(&acknowledged))
}

/// A primary and, just after, a replica restart.
pub fn restart(site: &Arc<Site>, nodes: &[Node], has_trouble: bool) -> Broken {
    let writers = Writers::start(site, nodes);
    sleep(millis(4000));
    if has_trouble {
        site.crash(0);
        let crashed_at = Instant::now();
        let ordered = wait_for_order(site, millis(580));
        sleep(millis(600).saturating_sub(crashed_at.elapsed()));
        site.restart(0);
        let ordered = ordered.or_else(|| wait_for_order(site, millis(3000)));
        let replica = if ordered == Some(1) { 2 } else { 1 };
        sleep(millis(100));
        site.crash(replica);
        sleep(millis(200));
        site.restart(replica);
    }
    sleep(millis(4000));
    finish(site, writers)
}

/// The entries lapse while the store is down, and one replica is cut off from the store when it
/// returns. Then the other replica receives nothing, and the primary crashes.
pub fn lapse(site: &Arc<Site>, nodes: &[Node], has_trouble: bool) -> Broken {
    let writers = Writers::start(site, nodes);
    sleep(millis(4000));
    if has_trouble {
        let started = Instant::now();
        let wait_until = |time: u64| sleep(millis(time).saturating_sub(started.elapsed()));
        let set_down = |is_down: bool| {
            site.lock().store.is_down = is_down;
            site.note(if is_down {
                "store: down"
            } else {
                "store: back"
            });
            site.changed.notify_all();
        };
        let set_cut = |is_cut: bool| {
            site.lock().servers[1].is_store_cut = is_cut;
            site.note(&format!("server 1 is cut off from the store: {is_cut}"));
        };
        let set_deaf = |is_deaf: bool| {
            let mut world = site.lock();
            world.servers[2].is_deaf = is_deaf;
            site.note(&format!("server 2 receives nothing: {is_deaf}"));
            site.replicate(&mut world);
        };
        set_down(true);
        wait_until(4400);
        set_cut(true);
        wait_until(4500);
        set_down(false);
        wait_until(8100);
        set_deaf(true);
        wait_until(8700);
        site.crash(0);
        wait_until(9100);
        set_deaf(false);
        wait_until(9400);
        set_cut(false);
        wait_until(13_000);
        site.restart(0);
    }
    sleep(millis(4000));
    finish(site, writers)
}

/// Waits until all nodes have removed a server.
fn wait_for_removal(site: &Site, nodes: &[Node], server: usize, limit: Duration) -> bool {
    let server = format!("\"server\":\"{}\"", site.lock().servers[server].id);
    let until = Instant::now() + limit;
    while Instant::now() < until {
        let is_removed = |node: &Node| node.has_logged(&["\"event\":3032", &server]);
        if nodes.iter().all(is_removed) {
            return true;
        }
        sleep(millis(20));
    }
    false
}

/// When all nodes are killed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Kill {
    Never,
    /// Before the store is back, so that no node sees the removal of a server.
    BeforeStore,
    /// Once all nodes have removed a server.
    AfterRemoval,
}

fn kill_all(site: &Site, nodes: &mut [Node]) {
    for node in nodes.iter_mut() {
        node.kill();
    }
    site.note("all nodes are killed");
    nodes.iter_mut().for_each(Node::start_again);
}

/// The entries lapse while the store is down, and one replica stays cut off from the store. All nodes
/// are killed and start again. Then the other replica receives nothing, and the primary crashes.
pub fn forgotten(site: &Arc<Site>, nodes: &mut [Node], has_trouble: bool, kill: Kill) -> Broken {
    let writers = Writers::start(site, nodes);
    sleep(millis(4000));
    if has_trouble {
        let set_down = |is_down: bool| {
            site.lock().store.is_down = is_down;
            let state = if is_down { "down" } else { "back" };
            site.note(&format!("store: {state}"));
            site.changed.notify_all();
        };
        let set_cut = |is_cut: bool| {
            site.lock().servers[1].is_store_cut = is_cut;
            site.note(&format!("server 1 is cut off from the store: {is_cut}"));
        };
        let set_deaf = |is_deaf: bool| {
            let mut world = site.lock();
            world.servers[2].is_deaf = is_deaf;
            site.note(&format!("server 2 receives nothing: {is_deaf}"));
            site.replicate(&mut world);
        };
        set_down(true);
        sleep(millis(4400));
        set_cut(true);
        sleep(millis(100));
        if kill == Kill::BeforeStore {
            kill_all(site, nodes);
        }
        set_down(false);
        if kill != Kill::BeforeStore {
            if !wait_for_removal(site, nodes, 1, millis(8000)) {
                return Err("the nodes did not remove the server".into());
            }
            site.note("all nodes have removed server 1");
        }
        if kill == Kill::AfterRemoval {
            kill_all(site, nodes);
        }
        if !nodes.iter().all(Node::wait_ready) {
            return Err("a node was not ready in time".into());
        }
        site.note("all nodes are ready");
        // After the return of the store the other servers' entries are back within 1.2 s.
        let is_early = kill == Kill::BeforeStore;
        sleep(millis(if is_early { 1500 } else { 500 }));
        set_deaf(true);
        sleep(millis(600));
        site.crash(0);
        sleep(millis(400));
        set_deaf(false);
        let is_ordered = wait_for_order(site, millis(6000)).is_some();
        site.note(&format!("a promotion was ordered: {is_ordered}"));
        set_cut(false);
        sleep(millis(3500));
        site.restart(0);
    }
    sleep(millis(4000));
    finish(site, writers)
}

/// A replica is lost. After `away` a server starts at its address with its log and follows the
/// primary, but does not reach the store. Then the other replica receives nothing, and the primary
/// crashes.
pub fn late(site: &Arc<Site>, nodes: &[Node], has_trouble: bool, away: Duration) -> Broken {
    let writers = Writers::start(site, nodes);
    sleep(millis(4000));
    if has_trouble {
        let set_cut = |is_cut: bool| {
            site.lock().servers[1].is_store_cut = is_cut;
            site.note(&format!("server 1 is cut off from the store: {is_cut}"));
        };
        let set_deaf = |is_deaf: bool| {
            let mut world = site.lock();
            world.servers[2].is_deaf = is_deaf;
            site.note(&format!("server 2 receives nothing: {is_deaf}"));
            site.replicate(&mut world);
        };
        site.crash(1);
        sleep(away);
        set_cut(true);
        site.restart(1);
        sleep(millis(1500));
        set_deaf(true);
        sleep(millis(600));
        site.crash(0);
        sleep(millis(400));
        set_deaf(false);
        let is_ordered = wait_for_order(site, millis(6000)).is_some();
        site.note(&format!("a promotion was ordered: {is_ordered}"));
        set_cut(false);
        sleep(millis(3500));
        site.restart(0);
    }
    sleep(millis(4000));
    finish(site, writers)
}

/// A replica is lost, and a server at its address follows the primary without reaching the store.
/// While the loss counts, the other replica crashes, so that the nodes reach none, and then the
/// primary. Without `crashes_replica` the other replica receives nothing instead.
pub fn alone(site: &Arc<Site>, nodes: &[Node], has_trouble: bool, crashes_replica: bool) -> Broken {
    let writers = Writers::start(site, nodes);
    sleep(millis(4000));
    if has_trouble {
        let set_cut = |is_cut: bool| {
            site.lock().servers[1].is_store_cut = is_cut;
            site.note(&format!("server 1 is cut off from the store: {is_cut}"));
        };
        let set_deaf = |is_deaf: bool| {
            let mut world = site.lock();
            world.servers[2].is_deaf = is_deaf;
            site.note(&format!("server 2 receives nothing: {is_deaf}"));
            site.replicate(&mut world);
        };
        site.crash(1);
        sleep(millis(8000));
        set_cut(true);
        site.restart(1);
        sleep(millis(1500));
        if crashes_replica {
            site.crash(2);
        } else {
            set_deaf(true);
        }
        sleep(millis(600));
        site.crash(0);
        sleep(millis(400));
        if crashes_replica {
            site.restart(2);
        } else {
            set_deaf(false);
        }
        let is_ordered = wait_for_order(site, millis(6000)).is_some();
        site.note(&format!("a promotion was ordered: {is_ordered}"));
        set_cut(false);
        sleep(millis(3500));
        site.restart(0);
    }
    sleep(millis(4000));
    finish(site, writers)
}

/// A replica leaves as it announced, and a new server at its address follows the primary without
/// reaching the store. Then the other replica receives nothing, and the primary crashes. Without
/// `cuts_new_server` the new server reaches the store.
pub fn successor(
    site: &Arc<Site>,
    nodes: &[Node],
    has_trouble: bool,
    cuts_new_server: bool,
) -> Broken {
    let writers = Writers::start(site, nodes);
    sleep(millis(4000));
    if has_trouble {
        let set_cut = |is_cut: bool| {
            site.lock().servers[1].is_store_cut = is_cut;
            site.note(&format!("server 1 is cut off from the store: {is_cut}"));
        };
        let set_deaf = |is_deaf: bool| {
            let mut world = site.lock();
            world.servers[2].is_deaf = is_deaf;
            site.note(&format!("server 2 receives nothing: {is_deaf}"));
            site.replicate(&mut world);
        };
        site.drain(1);
        sleep(millis(7200));
        site.leave(1);
        sleep(millis(400));
        if cuts_new_server {
            set_cut(true);
        }
        site.restart(1);
        sleep(millis(3000));
        set_deaf(true);
        sleep(millis(600));
        site.crash(0);
        sleep(millis(400));
        set_deaf(false);
        let is_ordered = wait_for_order(site, millis(6000)).is_some();
        site.note(&format!("a promotion was ordered: {is_ordered}"));
        set_cut(false);
        sleep(millis(3500));
        site.restart(0);
    }
    sleep(millis(4000));
    finish(site, writers)
}

/// A primary restarts, and the new server of a release starts.
pub fn join(site: &Arc<Site>, nodes: &[Node], has_trouble: bool) -> Broken {
    let writers = Writers::start(site, nodes);
    sleep(millis(4000));
    if has_trouble {
        site.crash(0);
        sleep(millis(600));
        site.restart(0);
        sleep(millis(200));
    }
    site.join(3);
    sleep(millis(5000));
    finish(site, writers)
}

/// Clients whose texts are not UTF-8.
pub fn text(site: &Arc<Site>, nodes: &[Node], has_trouble: bool) -> Broken {
    // "Omi\u{161}" and "Omi\u{107}" in ISO 8859-2, or in UTF-8 without the disruption.
    let items: [&[u8]; 2] = if has_trouble {
        [b"omi\xb9", b"omi\xe6"]
    } else {
        ["omi\u{161}".as_bytes(), "omi\u{107}".as_bytes()]
    };
    let mut broken = Vec::new();
    let mut sent: Vec<(Vec<u8>, Vec<u8>)> = Vec::new();
    let mut clients = Vec::new();
    for node in &nodes[..2] {
        clients.push(Client::open(node.callers, "orders").ok_or("no session")?);
    }
    let mut ask = |client: usize, id: &str, text: &[u8]| {
        site.note(&format!(
            "client {client} sends {id} {}",
            text.escape_ascii()
        ));
        sent.push((id.into(), text.into()));
        let answer = clients[client].query(id, text);
        match &answer {
            Some(answer) => {
                let rows: Vec<String> = answer
                    .rows
                    .iter()
                    .map(|r| r.escape_ascii().to_string())
                    .collect();
                site.note(&format!(
                    "client {client} gets {id} {:?} rows {rows:?}",
                    answer.result
                ));
            }
            None => site.note(&format!("client {client} gets no answer to {id}")),
        }
        answer.filter(|answer| answer.result.is_ok())
    };
    let mut data = Vec::new();
    for (client, item) in items.iter().enumerate() {
        let own = format!("coil-of-client-{client}");
        let text = [b"WRITE ", *item, b" ", own.as_bytes()].concat();
        data.push((ask(client, &format!("w{client}"), &text).is_some(), own));
    }
    for (client, item) in items.iter().enumerate() {
        let text = [b"READ ", *item].concat();
        let Some(answer) = ask(client, &format!("r{client}"), &text) else {
            continue;
        };
        let (is_acknowledged, own) = &data[client];
        if *is_acknowledged && answer.rows != [own.as_bytes()] {
            let rows: Vec<String> = answer
                .rows
                .iter()
                .map(|r| r.escape_ascii().to_string())
                .collect();
            broken.push(format!(
                "MIXED: client {client} wrote {own:?} to its item and reads {rows:?}"
            ));
        }
    }
    let world = site.lock();
    for (id, text) in &world.runs {
        if !sent.contains(&(id.clone(), text.clone())) {
            let (id, text) = (id.escape_ascii(), text.escape_ascii());
            broken.push(format!(
                "UNASKED: a server ran {id} with the text {text}, which nobody sent"
            ));
        }
    }
    if world.runs.is_empty() && !has_trouble {
        return Err("no statement ran".into());
    }
    Ok(broken)
}

/// Memory limit of a process on the small deployments (`memory_mb`).
const MEMORY_LIMIT: u64 = 260 << 20;
/// Size of the shapes that a client prepares; a message has at most 1 MiB.
const SHAPE_BYTES: usize = 1_000_000;

/// Two clients prepare many statements, one at each of two nodes. The platform kills a process that
/// exceeds its memory and starts it again.
pub fn memory(site: &Arc<Site>, nodes: &mut [Node], has_trouble: bool) -> Broken {
    let writers = Writers::start(site, nodes);
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for (number, node) in nodes.iter().enumerate().take(2) {
        let (site, is_over, address) = (site.clone(), is_over.clone(), node.callers);
        threads.push(thread::spawn(move || {
            while has_trouble && !is_over.load(Ordering::Relaxed) {
                sleep(millis(500));
                let Some(mut client) = Client::open(address, "orders") else {
                    continue;
                };
                let mut count = 0;
                let mut last = "no answer".to_string();
                while !is_over.load(Ordering::Relaxed) && count < 400 {
                    // 1 MB each 20 ms is less than half of the link of the machine.
                    sleep(millis(20));
                    let head = format!("PREPARE s{count} READ {count:08}");
                    let text = [head.as_bytes(), &vec![b'q'; SHAPE_BYTES]].concat();
                    match client.query(&format!("p{count}"), &text) {
                        Some(answer) => last = format!("{:?}", answer.result),
                        None => break,
                    }
                    count += 1;
                }
                site.note(&format!(
                    "rude client {number}: {count} PREPARE of 1 MB answered, the last one {last}"
                ));
            }
        }));
    }
    let mut ends = vec![0; nodes.len()];
    let mut peak = vec![0; nodes.len()];
    let until = Instant::now() + Duration::from_secs(if has_trouble { 75 } else { 20 });
    while Instant::now() < until && ends.iter().filter(|count| **count >= 3).count() < 2 {
        sleep(millis(10));
        for (index, node) in nodes.iter_mut().enumerate() {
            let memory = node.memory();
            peak[index] = peak[index].max(memory.unwrap_or_default());
            if memory.is_none_or(|bytes| bytes > MEMORY_LIMIT) {
                ends[index] += 1;
                let (name, size) = (&node.name, memory.unwrap_or_default() >> 20);
                site.note(&format!(
                    "platform: {name} has {size} MB, the limit is 260 MB: killed, restarted"
                ));
                node.restart();
            }
        }
    }
    is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let acknowledged = writers.stop().len();
    let most: Vec<u64> = peak.iter().map(|bytes| bytes >> 20).collect();
    site.note(&format!(
        "{acknowledged} writes acknowledged; most memory in MB {most:?}, ends {ends:?}"
    ));
    if acknowledged < 50 {
        return Err("hardly any write was acknowledged".into());
    }
    let ended = ends.iter().filter(|count| **count >= 3).count();
    Ok((ended >= 2)
        .then(|| {
            format!("Fault: on {ended} of 8 machines a process exceeded its memory three times")
        })
        .into_iter()
        .collect())
}
