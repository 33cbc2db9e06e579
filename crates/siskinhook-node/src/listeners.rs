//! Listening sockets of a node.

use std::net::{SocketAddr, TcpListener};

use anyhow::Context;
use siskinhook_settings::Addresses;

/// Bound listening sockets of a node.
///
/// They are bound before the node starts, so that a port in use is reported before anything else
/// happens, and so that the demo can let the operating system choose the ports.
#[derive(Debug)]
pub struct Listeners {
    /// PostgreSQL wire protocol for callers.
    pub callers: TcpListener,
    /// Links from other nodes.
    pub links: TcpListener,
    /// Control messages from other nodes.
    pub peers: TcpListener,
    /// Operator interface.
    pub operators: TcpListener,
    /// Metrics, health and readiness.
    pub metrics: TcpListener,
}

impl Listeners {
    /// Binds the addresses from the settings.
    ///
    /// # Errors
    /// Fails when an address cannot be bound. The error names the address and its setting.
    pub fn bind(addresses: &Addresses) -> anyhow::Result<Self> {
        Ok(Self {
            callers: bind("callers", &addresses.callers)?,
            links: bind("links", &addresses.links)?,
            peers: bind("peers", &addresses.peers)?,
            operators: bind("operators", &addresses.operators)?,
            metrics: bind("metrics", &addresses.metrics)?,
        })
    }

    /// Returns the bound addresses. They differ from the settings where a configured port is 0.
    ///
    /// # Errors
    /// Fails when the operating system does not return the local address of a socket.
    pub fn addresses(&self) -> anyhow::Result<Addresses> {
        let address_text = |listener: &TcpListener| -> anyhow::Result<smol_str::SmolStr> {
            let address: SocketAddr = listener.local_addr().context("no local address")?;
            Ok(smol_str::format_smolstr!("{address}"))
        };
        Ok(Addresses {
            callers: address_text(&self.callers)?,
            links: address_text(&self.links)?,
            peers: address_text(&self.peers)?,
            operators: address_text(&self.operators)?,
            metrics: address_text(&self.metrics)?,
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
