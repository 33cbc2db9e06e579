//! Faults that can be injected into a site, and the demo commands for them.

use anyhow::{Context, bail};
use siskinhook_types::{NodeId, ServerId, value_type};

use crate::{network::Cut, platform::PlatformState};

/// Usage text of the `siskinctl demo` commands, printed with errors.
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
    /// A fault to inject, or a command that ends one.
    #[serde(rename_all = "kebab-case")]
    pub enum Fault {
        /// Cuts off a part of the network.
        Cut(Cut),
        /// Heals a cut.
        Heal {
            /// Cut that the fault concerns.
            cut: Cut,
            /// Whether the connections across the cut stay silent for good.
            silent: bool,
        },
        /// Makes the open connections that the cut would affect silent for good. New connections
        /// work.
        Silence(Cut),
        /// Delays the messages that the cut would affect; 0 ends the delay.
        Delay {
            /// Cut that the fault concerns.
            cut: Cut,
            /// Delay added in each direction, in milliseconds.
            milliseconds: u64,
        },
        /// Sets the replication lag of a server.
        Lag {
            /// Server that the fault concerns.
            server: ServerId,
            /// Time from the commit to the replay on this server, in milliseconds.
            milliseconds: u64,
        },
        /// Slows down every statement on a server.
        Slow {
            /// Server that the fault concerns.
            server: ServerId,
            /// Time added to each statement, in milliseconds.
            milliseconds: u64,
        },
        /// Changes the state of the platform.
        Platform(PlatformState),
        /// Crashes the process of a server.
        Crash(ServerId),
        /// Restarts the process of a server.
        Restart(ServerId),
        /// A fault of a node process, which the callback set with `Site::on_node` carries out.
        Node(NodeFault),
    }

    /// A fault of a node process.
    #[serde(rename_all = "kebab-case")]
    pub enum NodeFault {
        /// Pauses the process.
        Pause(NodeId),
        /// Resumes a paused process.
        Resume(NodeId),
        /// Kills the process.
        Kill(NodeId),
    }
}

impl NodeFault {
    /// Returns the node that the fault concerns.
    #[must_use]
    pub fn node(&self) -> &NodeId {
        match self {
            Self::Pause(node) | Self::Resume(node) | Self::Kill(node) => node,
        }
    }
}

impl Fault {
    /// Parses the words of a demo command.
    ///
    /// # Errors
    /// Fails with the list of commands if the words are not one of them.
    pub fn parse(words: &[String]) -> anyhow::Result<Self> {
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let parse_millis = |text: &str| {
            text.parse()
                .with_context(|| format!("{text:?} is not a number of milliseconds"))
        };
        Ok(match *words.as_slice() {
            ["cut", ref cut_words @ ..] => Self::Cut(parse_cut(cut_words)?),
            ["heal", ref cut_words @ .., "silent"] => Self::Heal {
                cut: parse_cut(cut_words)?,
                silent: true,
            },
            ["heal", ref cut_words @ ..] => Self::Heal {
                cut: parse_cut(cut_words)?,
                silent: false,
            },
            ["silence", ref cut_words @ ..] => Self::Silence(parse_cut(cut_words)?),
            ["delay", ref cut_words @ .., milliseconds] => Self::Delay {
                cut: parse_cut(cut_words)?,
                milliseconds: parse_millis(milliseconds)?,
            },
            ["lag", server, milliseconds] => Self::Lag {
                server: server.into(),
                milliseconds: parse_millis(milliseconds)?,
            },
            ["slow", server, milliseconds] => Self::Slow {
                server: server.into(),
                milliseconds: parse_millis(milliseconds)?,
            },
            ["platform", "up"] => Self::Platform(PlatformState::Up),
            ["platform", "down"] => Self::Platform(PlatformState::Down),
            ["platform", "slow", milliseconds] => {
                Self::Platform(PlatformState::Slow(parse_millis(milliseconds)?))
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
            _ => return unknown_command(&words),
        })
    }
}

fn parse_cut(words: &[&str]) -> anyhow::Result<Cut> {
    Ok(match *words {
        ["zone", zone] => Cut::Zone(zone.into()),
        ["platform", zone] => Cut::Platform(zone.into()),
        ["server" | "node", name] => Cut::Name(name.into()),
        ["pair", first, second] => Cut::Pair(first.into(), second.into()),
        _ => return unknown_command(words),
    })
}

fn unknown_command<T>(words: &[&str]) -> anyhow::Result<T> {
    bail!(
        "{:?} is not a demo command; use one of:\n{DEMO_COMMANDS}",
        words.join(" ")
    )
}
