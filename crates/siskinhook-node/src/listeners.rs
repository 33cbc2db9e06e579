//! The listening sockets of a node.

use std::net::{SocketAddr, TcpListener};

use anyhow::Context;
use siskinhook_settings::Addresses;

/// Bound sockets of a node. They are bound before the node starts, so that a port in use is
/// reported before anything else happens, and so that the demo can let the system choose ports.
#[derive(Debug)]
pub struct Listeners {
    /// PostgreSQL protocol for callers.
    pub callers: TcpListener,
    /// Links from other nodes.
    pub links: TcpListener,
    /// Control traffic from other nodes.
    pub peers: TcpListener,
    /// Operator interface.
    pub operators: TcpListener,
    /// Metrics, health and readiness.
    pub metrics: TcpListener,
}

impl Listeners {
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    /// Fails when an address cannot be bound, naming it and its setting.
    pub fn bind(addresses: &Addresses) -> anyhow::Result<Self> {
        Ok(Self {
            callers: bind("callers", &addresses.callers)?,
            links: bind("links", &addresses.links)?,
            peers: bind("peers", &addresses.peers)?,
            operators: bind("operators", &addresses.operators)?,
            metrics: bind("metrics", &addresses.metrics)?,
        })
    }

    /// Returns the addresses as bound; they differ from the settings when a port is 0.
    ///
    /// # Errors
    /// Fails when the system does not tell an address.
    pub fn addresses(&self) -> anyhow::Result<Addresses> {
        let text = |listener: &TcpListener| -> anyhow::Result<smol_str::SmolStr> {
            let address: SocketAddr = listener.local_addr().context("no local address")?;
            Ok(smol_str::format_smolstr!("{address}"))
        };
        Ok(Addresses {
            callers: text(&self.callers)?,
            links: text(&self.links)?,
            peers: text(&self.peers)?,
            operators: text(&self.operators)?,
            metrics: text(&self.metrics)?,
        })
    }
}

fn bind(setting: &str, address: &str) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(address).with_context(|| {
        format!(
            "cannot listen on {address} (setting addresses.{setting}); choose a free port and an \
             address of this VM"
        )
    })?;
    listener
        .set_nonblocking(true)
        .with_context(|| format!("cannot use the socket on {address}"))?;
    Ok(listener)
}
