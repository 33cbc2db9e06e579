//! Nodes as processes of the `siskinhook` program.

use std::{
    collections::BTreeSet,
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Mutex, PoisonError},
};

use rand::Rng;
use rustix::process::{Pid, Signal, kill_process};

/// A node: its settings file, its log file and its process. Dropping it kills the process.
pub struct Node {
    name: String,
    settings_path: PathBuf,
    log_path: PathBuf,
    /// Address on which the node accepts callers.
    pub caller_address: SocketAddr,
    /// Number of processes started so far.
    pub starts: u32,
    child: Option<Child>,
}

/// Range of the ports of the nodes. It lies below the ports that the kernel assigns to outgoing
/// connections, so that a node that restarts can bind its ports again.
const PORT_RANGE: std::ops::Range<u16> = 10_000..30_000;

/// Ports that were given to nodes. A port is free again until its node binds it, so two nodes could
/// draw the same one.
static DRAWN_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

fn free_address() -> SocketAddr {
    let mut drawn = DRAWN_PORTS.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let port = rand::rng().random_range(PORT_RANGE);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && drawn.insert(port) {
            return address;
        }
    }
}

impl Node {
    /// Writes the settings file of a node. The process is not started yet.
    pub fn new(directory: &std::path::Path, index: usize, zone: &str, store: SocketAddr) -> Self {
        let name = format!("n{index}");
        let settings_path = directory.join(format!("{name}.jsonc"));
        let caller_address = free_address();
        let text = serde_json::json!({
            "node": name, "zone": zone, "callers": caller_address, "readiness": free_address(),
            "metrics": free_address(), "relay": free_address(), "store": store,
            "orders": store, "checks_fence": true, "grace": 6000,
        });
        fs::write(&settings_path, text.to_string()).expect("the directory is writable");
        Self {
            log_path: directory.join(format!("{name}.log")),
            name,
            settings_path,
            caller_address,
            starts: 0,
            child: None,
        }
    }

    /// Starts the process unless it is already running.
    pub fn start(&mut self) {
        if self.is_running() {
            return;
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log_path);
        let log = log.expect("the directory is writable");
        let stderr_log = log.try_clone().expect("a descriptor is free");
        let child = Command::new(env!("CARGO_BIN_EXE_siskinhook"))
            .args(["hosted", "--settings"])
            .arg(&self.settings_path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(stderr_log)
            .spawn();
        self.child = Some(child.expect("the program starts"));
        self.starts += 1;
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Sends a signal to the process if it is running.
    pub fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        let pid = self
            .child
            .as_ref()
            .and_then(|child| Pid::from_raw(child.id().cast_signed()));
        if let Some(Err(error)) = pid.map(|pid| kill_process(pid, signal)) {
            println!("{}: {signal:?} could not be sent: {error}", self.name);
        }
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
