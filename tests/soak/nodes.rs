//! The nodes: processes of the real program.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
};

use rand::Rng;
use rustix::process::{Pid, Signal, kill_process};

/// One node.
pub struct Node {
    name: String,
    settings: PathBuf,
    log: PathBuf,
    /// Where it accepts callers.
    pub callers: SocketAddr,
    child: Option<Child>,
}

/// Ports of the nodes, below those that the kernel gives to outgoing connections: a node that
/// starts again needs the port that it had.
const PORTS: std::ops::Range<u16> = 10_000..30_000;

fn free_address() -> SocketAddr {
    loop {
        let port = rand::rng().random_range(PORTS);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl Node {
    /// Writes the settings of a node that is not started yet.
    pub fn new(folder: &std::path::Path, index: usize, zone: &str, store: SocketAddr) -> Self {
        let name = format!("n{index}");
        let settings = folder.join(format!("{name}.jsonc"));
        let callers = free_address();
        let text = serde_json::json!({
            "node": name, "zone": zone, "callers": callers, "readiness": free_address(),
            "metrics": free_address(), "relay": free_address(), "store": store,
            "orders": store, "grace": 6000,
        });
        fs::write(&settings, text.to_string()).expect("the folder is writable");
        Self {
            log: folder.join(format!("{name}.log")),
            name,
            settings,
            callers,
            child: None,
        }
    }

    /// Starts the process, unless it runs.
    pub fn start(&mut self) {
        if self.is_running() {
            return;
        }
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the folder is writable");
        let errors = log.try_clone().expect("a descriptor is free");
        let child = Command::new(env!("CARGO_BIN_EXE_siskinhook"))
            .args(["hosted", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = Some(child.expect("the program starts"));
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        let pid = self
            .child
            .as_ref()
            .and_then(|child| Pid::from_raw(child.id().cast_signed()));
        if let Some(Err(error)) = pid.map(|pid| kill_process(pid, signal)) {
            println!("{}: {signal:?} was not sent: {error}", self.name);
        }
    }

    /// Ends the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
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
