//! Nodes as processes of the project's program.

use std::{
    fs::{self, File},
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use serde_json::json;

/// A node. Dropping it kills the process.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    child: Child,
    /// Whether the process was killed and not started again.
    is_killed: bool,
}

/// Range of the ports of nodes and servers. It lies below the ports that the kernel gives to outgoing
/// connections, so that a server that restarts can bind its port again.
const PORTS: std::ops::Range<u32> = 10_000..30_000;

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Binds a free port. The search starts at a port that depends on the process.
pub fn free_listener() -> std::io::Result<TcpListener> {
    let start = std::process::id().wrapping_mul(97);
    for _ in 0..PORTS.len() {
        let offset = start.wrapping_add(NEXT_PORT.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + offset % (PORTS.end - PORTS.start);
        let port = u16::try_from(port).unwrap_or_default();
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return Ok(listener);
        }
    }
    Err(std::io::Error::other("no port is free"))
}

fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| free_listener().expect("a free port"))
        .collect();
    listeners
        .iter()
        .map(|listener| listener.local_addr().expect("a bound port"))
        .collect()
}

fn start_process(settings: &Path) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"))
        .expect("a log file");
    Command::new("target/release/siskinhook")
        .args(["hosted", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts")
}

impl Node {
    pub fn start(directory: &Path, name: &str, zone: &str, store: SocketAddr) -> Self {
        let addresses = free_addresses(4);
        // The fields of deploy/node.jsonc, with the bounds of the small deployments.
        let settings = json!({
            "node": name, "zone": zone, "callers": addresses[0], "readiness": addresses[1],
            "metrics": addresses[2], "relay": addresses[3], "store": store, "orders": store,
            "checks_fence": true, "grace": 6000, "bounds": {"contact": 4000, "drain": 7000},
        });
        let path = directory.join(format!("{name}.jsonc"));
        fs::write(&path, settings.to_string()).expect("the temporary folder is writable");
        Self {
            name: name.to_string(),
            callers: addresses[0],
            readiness: addresses[1],
            child: start_process(&path),
            settings: path,
            is_killed: false,
        }
    }

    /// Returns the resident memory of the process in bytes, or `None` if it has ended.
    pub fn memory(&mut self) -> Option<u64> {
        if !matches!(self.child.try_wait(), Ok(None)) {
            return None;
        }
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes * 1024)
    }

    /// Kills the process and starts it again.
    pub fn restart(&mut self) {
        self.kill();
        self.start_again();
    }

    /// Kills the process and waits until it has ended. Returns whether it had not been killed before.
    pub fn kill(&mut self) -> bool {
        let _ = self.child.kill();
        let _ = self.child.wait();
        !std::mem::replace(&mut self.is_killed, true)
    }

    /// Returns the number of the process.
    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process unless it was killed.
    pub fn signal(&self, name: &str) {
        if !self.is_killed {
            let number = self.child.id().to_string();
            let _ = Command::new("kill").args([name, &number]).status();
        }
    }

    /// Starts the process of a killed node.
    pub fn start_again(&mut self) {
        self.child = start_process(&self.settings);
        self.is_killed = false;
    }

    /// Whether a line of the node's log contains all texts.
    pub fn has_logged(&self, texts: &[&str]) -> bool {
        let log = fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default();
        log.lines()
            .any(|line| texts.iter().all(|text| line.contains(text)))
    }

    fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<String> {
            let mut stream = TcpStream::connect_timeout(&self.readiness, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer)?;
            Ok(answer)
        };
        ask().is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
    }

    /// Waits until the node is ready; returns whether it is.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
