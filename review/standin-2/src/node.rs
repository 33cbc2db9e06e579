//! Processes of the project's program, with settings like those of a small deployment.

use std::{
    fs::File,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU16, Ordering},
    time::Duration,
};

use serde_json::json;

/// A node and its process.
pub struct Node {
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Ports of nodes, below those that the system gives to outgoing connections.
const PORTS: std::ops::Range<u16> = 20_000..32_000;

/// Returns an address that nobody uses.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let count = PORTS.end - PORTS.start;
    let first = u16::try_from(std::process::id() * 101 % u32::from(count)).unwrap();
    loop {
        let offset = (first + NEXT.fetch_add(1, Ordering::Relaxed)) % count;
        let address = SocketAddr::from(([127, 0, 0, 1], PORTS.start + offset));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl Node {
    /// Writes the settings of a node, as the platform fills in `deploy/node.jsonc`.
    pub fn new(
        index: usize,
        zone: &str,
        store: SocketAddr,
        orders: SocketAddr,
        dir: &Path,
    ) -> Self {
        let name = format!("edge-{zone}-{index}");
        let (callers, readiness) = (free_address(), free_address());
        let settings = dir.join(format!("{name}.jsonc"));
        let text = json!({
            "node": name, "zone": zone, "callers": callers, "readiness": readiness,
            "metrics": free_address(), "relay": free_address(), "store": store, "orders": orders,
            "checks_fence": true, "grace": 6000, "bounds": {"contact": 4000, "drain": 7000},
        });
        std::fs::write(&settings, text.to_string()).unwrap();
        let log = dir.join(format!("{name}.log"));
        Self {
            callers,
            readiness,
            settings,
            log,
            child: None,
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/siskinhook")
            .args(["hosted", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to the process.
    #[allow(dead_code)]
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .arg(signal)
                .arg(child.id().to_string())
                .status();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<bool> {
            let mut stream =
                TcpStream::connect_timeout(&self.readiness, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")?;
            let mut text = String::new();
            stream.read_to_string(&mut text)?;
            Ok(text.starts_with("HTTP/1.1 200"))
        };
        ask().unwrap_or(false)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
