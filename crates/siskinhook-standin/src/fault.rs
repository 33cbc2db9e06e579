//! Faults that a site injects, and the words that an operator types for them.

use anyhow::{Context, bail};
use siskinhook_types::{NodeId, ServerId, value_type};

use crate::{network::Cut, platform::PlatformState};

/// The commands of `siskinctl demo`, as its errors list them.
pub const DEMO_COMMANDS: &str = "\
cut zone ZONE | cut platform ZONE | cut server SERVER | cut node NODE | cut pair NAME NAME
heal zone ZONE | heal platform ZONE | heal server SERVER | heal node NODE | heal pair NAME NAME
  (add `silent` to leave the connections that were cut silent for good)
delay zone ZONE MILLISECONDS | delay server SERVER MILLISECONDS | delay node NODE MILLISECONDS
silence zone ZONE | silence server SERVER | silence node NODE
lag SERVER MILLISECONDS | slow SERVER MILLISECONDS | crash server SERVER | restart server SERVER
platform up | platform down | platform slow MILLISECONDS | platform lose-answers [PER-MILLE]
pause node NODE | resume node NODE | kill node NODE
state";

value_type! {
    /// A fault, or the end of one.
    #[serde(rename_all = "kebab-case")]
    pub enum Fault {
        /// Cuts a part of the network off.
        Cut(Cut),
        /// Heals a cut.
        Heal {
            /// The cut.
            cut: Cut,
            /// Whether the connections over it stay silent for good.
            silent: bool,
        },
        /// Makes the open connections over a would-be cut silent for good; new ones work.
        Silence(Cut),
        /// Delays messages over a would-be cut; 0 ends the delay.
        Delay {
            /// The cut.
            cut: Cut,
            /// Milliseconds added each way.
            milliseconds: u64,
        },
        /// Sets the replication lag of a server.
        Lag {
            /// The server.
            server: ServerId,
            /// Milliseconds after the commit.
            milliseconds: u64,
        },
        /// Makes every statement on a server take longer.
        Slow {
            /// The server.
            server: ServerId,
            /// Milliseconds added.
            milliseconds: u64,
        },
        /// Changes how the platform works.
        Platform(PlatformState),
        /// Ends the process of a server.
        Crash(ServerId),
        /// Starts the process of a server again.
        Restart(ServerId),
        /// A fault of a node, which the owner of the site carries out.
        Node(NodeFault),
    }

    /// A fault of a node's process.
    #[serde(rename_all = "kebab-case")]
    pub enum NodeFault {
        /// Stops the process without ending it.
        Pause(NodeId),
        /// Lets a stopped process go on.
        Resume(NodeId),
        /// Ends the process at once.
        Kill(NodeId),
    }
}

impl NodeFault {
    /// Returns the node.
    #[must_use]
    pub fn node(&self) -> &NodeId {
        match self {
            Self::Pause(node) | Self::Resume(node) | Self::Kill(node) => node,
        }
    }
}

impl Fault {
    /// Reads a fault from the words of an operator.
    ///
    /// # Errors
    /// Fails with a list of the possible words.
    pub fn parse(words: &[String]) -> anyhow::Result<Self> {
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let number = |text: &str| {
            text.parse()
                .with_context(|| format!("{text:?} is not a number of milliseconds"))
        };
        Ok(match *words.as_slice() {
            ["cut", ref place @ ..] => Self::Cut(cut(place)?),
            ["heal", ref place @ .., "silent"] => Self::Heal {
                cut: cut(place)?,
                silent: true,
            },
            ["heal", ref place @ ..] => Self::Heal {
                cut: cut(place)?,
                silent: false,
            },
            ["silence", ref place @ ..] => Self::Silence(cut(place)?),
            ["delay", ref place @ .., milliseconds] => Self::Delay {
                cut: cut(place)?,
                milliseconds: number(milliseconds)?,
            },
            ["lag", server, milliseconds] => Self::Lag {
                server: server.into(),
                milliseconds: number(milliseconds)?,
            },
            ["slow", server, milliseconds] => Self::Slow {
                server: server.into(),
                milliseconds: number(milliseconds)?,
            },
            ["platform", "up"] => Self::Platform(PlatformState::Up),
            ["platform", "down"] => Self::Platform(PlatformState::Down),
            ["platform", "slow", milliseconds] => {
                Self::Platform(PlatformState::Slow(number(milliseconds)?))
            }
            ["platform", "lose-answers"] => Self::Platform(PlatformState::LoseAnswers(1000)),
            ["platform", "lose-answers", share] => Self::Platform(PlatformState::LoseAnswers(
                share
                    .parse()
                    .with_context(|| format!("{share:?} is not a number per mille"))?,
            )),
            ["crash", "server", server] => Self::Crash(server.into()),
            ["restart", "server", server] => Self::Restart(server.into()),
            ["pause", "node", node] => Self::Node(NodeFault::Pause(node.into())),
            ["resume", "node", node] => Self::Node(NodeFault::Resume(node.into())),
            ["kill", "node", node] => Self::Node(NodeFault::Kill(node.into())),
            _ => return unknown(&words),
        })
    }
}

fn cut(words: &[&str]) -> anyhow::Result<Cut> {
    Ok(match *words {
        ["zone", zone] => Cut::Zone(zone.into()),
        ["platform", zone] => Cut::Platform(zone.into()),
        ["server" | "node", name] => Cut::Name(name.into()),
        ["pair", first, second] => Cut::Pair(first.into(), second.into()),
        _ => return unknown(words),
    })
}

fn unknown<T>(words: &[&str]) -> anyhow::Result<T> {
    bail!(
        "{:?} is not a demo command; use one of:\n{DEMO_COMMANDS}",
        words.join(" ")
    )
}
