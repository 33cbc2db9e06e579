//! Fault injection into a site.

use std::time::Duration;

use anyhow::Context;
use siskinhook_types::{NodeId, Zone};

use super::Site;
use crate::{fault::Fault, network::Cut};

impl Site {
    /// Injects a fault, or ends one.
    ///
    /// # Errors
    /// Fails if the fault names something that is not part of the site.
    pub fn apply(&self, fault: &Fault) -> anyhow::Result<()> {
        match fault {
            Fault::Cut(cut) => {
                self.check_cut(cut)?;
                self.network.cut(cut.clone());
            }
            Fault::Heal { cut, silent } => {
                self.check_cut(cut)?;
                self.network.heal(cut, *silent);
            }
            Fault::Silence(cut) => {
                self.check_cut(cut)?;
                self.network.silence(cut);
            }
            Fault::Delay { cut, milliseconds } => {
                self.check_cut(cut)?;
                self.network
                    .delay(cut, Duration::from_millis(*milliseconds));
            }
            Fault::Lag {
                server,
                milliseconds,
            } => self
                .server(server)?
                .set_lag(Duration::from_millis(*milliseconds)),
            Fault::Slow {
                server,
                milliseconds,
            } => self
                .server(server)?
                .set_slowness(Duration::from_millis(*milliseconds)),
            Fault::Platform(state) => self.platform.set_state(*state),
            Fault::Crash(server) => self.server(server)?.crash(),
            Fault::Restart(server) => self.server(server)?.restart(),
            Fault::Node(fault) => {
                self.check_node(fault.node())?;
                let callback = self
                    .node_fault_handler
                    .as_ref()
                    .context("this site has no nodes of its own; start the demo for that")?;
                callback(fault)?;
            }
        }
        Ok(())
    }

    fn check_cut(&self, cut: &Cut) -> anyhow::Result<()> {
        match cut {
            Cut::Zone(zone) | Cut::Platform(zone) => self.check_zone(zone),
            Cut::Name(name) => self
                .check_node(name)
                .or_else(|_| self.server(name).map(|_| ())),
            Cut::Pair(first, second) => [first, second].into_iter().try_for_each(|name| {
                self.check_zone(name)
                    .or_else(|_| self.check_node(name))
                    .or_else(|_| self.server(name).map(|_| ()))
            }),
        }
    }

    fn check_zone(&self, zone: &Zone) -> anyhow::Result<()> {
        let is_known = self.plan.zones.contains(zone);
        is_known.then_some(()).with_context(|| {
            format!(
                "there is no zone {zone}; the zones are {}",
                self.plan.zones.join(", ")
            )
        })
    }

    fn check_node(&self, node: &NodeId) -> anyhow::Result<()> {
        let is_known = self.nodes.iter().any(|endpoint| endpoint.name == *node);
        is_known.then_some(()).with_context(|| {
            format!(
                "there is no node {node}; the nodes are n1 to n{}",
                self.nodes.len()
            )
        })
    }
}
