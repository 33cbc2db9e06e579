//! Messages between nodes. Field names are short, because most of a probe is names.

use siskinhook_types::{
    Catalogue, Change, MemberState, NodeId, Region, Revision, Zone, value_type,
};
use smol_str::SmolStr;

value_type! {
    /// Where a node runs and how it is reached.
    pub struct Profile {
        /// Region.
        #[serde(rename = "r")]
        pub region: Region,
        /// Zone.
        #[serde(rename = "z")]
        pub zone: Zone,
        /// Address of the control interface as `ip:port`.
        #[serde(rename = "p")]
        pub peer: SmolStr,
        /// Address that accepts links as `ip:port`.
        #[serde(rename = "l")]
        pub link: SmolStr,
    }

    /// Gossip about one member.
    pub struct MemberUpdate {
        /// The member.
        #[serde(rename = "n")]
        pub name: NodeId,
        /// Incarnation that the rumour is about.
        #[serde(rename = "i", default, skip_serializing_if = "is_zero")]
        pub incarnation: u64,
        /// State.
        #[serde(rename = "s", with = "state_code")]
        pub state: MemberState,
        /// Milliseconds that a suspect member has left to refute.
        #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
        pub remaining: Option<u64>,
        /// Profile; present when the member is alive or leaving, and in member lists.
        #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
        pub profile: Option<Profile>,
    }

    /// What every probe, push and answer tells about the sender and the fleet.
    pub struct Digest {
        /// Sender.
        #[serde(rename = "f")]
        pub from: NodeId,
        /// Incarnation of the sender.
        #[serde(rename = "i", default, skip_serializing_if = "is_zero")]
        pub incarnation: u64,
        /// Catalogue revision in force on the sender; `None` while it has no catalogue.
        #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
        pub revision: Option<Revision>,
        /// Whether the sender does not know the receiver's incarnation and asks it to introduce
        /// itself.
        #[serde(rename = "w", default, skip_serializing_if = "is_false")]
        pub unknown: bool,
        /// Rumours.
        #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
        pub updates: Vec<MemberUpdate>,
    }

    /// A request between nodes or its answer.
    pub enum PeerMessage {
        /// Asks whether the receiver is alive. Answer: `Ack`.
        #[serde(rename = "p")]
        Probe(Digest),
        /// Asks the receiver to probe another node. Answer: `Ack`, or `Unreachable`.
        #[serde(rename = "q")]
        Relay {
            /// The sender's digest.
            #[serde(rename = "d")]
            digest: Digest,
            /// The node to probe.
            #[serde(rename = "t")]
            target: NodeId,
        },
        /// Introduces the sender, whose digest has a rumour about itself. Answer: `Members`.
        #[serde(rename = "h")]
        Hello {
            /// The sender's digest.
            #[serde(rename = "d")]
            digest: Digest,
            /// Whether the answer lists all members, or the receiver only.
            #[serde(rename = "a")]
            all: bool,
        },
        /// Pushes news. Answer: `Ack`.
        #[serde(rename = "n")]
        Gossip {
            /// The sender's digest.
            #[serde(rename = "d")]
            digest: Digest,
            /// Changes of the catalogue, in order.
            #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
            changes: Vec<Change>,
        },
        /// Asks for the changes after a revision, or for the whole catalogue. Answer:
        /// `Changes`, or `Snapshot`.
        #[serde(rename = "g")]
        Pull {
            /// Revision in force on the sender; `None` while it has no catalogue.
            #[serde(rename = "r")]
            after: Option<Revision>,
        },
        /// Passes an operator's request to drain on to the named node. Answer: `Drained`.
        #[serde(rename = "d")]
        Drain {
            /// Whether to drain; false takes a drain back.
            #[serde(rename = "d")]
            drain: bool,
            /// Incarnation of the receiver in the sender's view. The receiver refuses another
            /// one, and each drain and undrain raises it, so a replayed request has no effect.
            #[serde(rename = "i")]
            incarnation: u64,
        },
        /// Whether the request to drain was accepted.
        #[serde(rename = "e")]
        Drained(bool),
        /// The receiver is alive.
        #[serde(rename = "a")]
        Ack(Digest),
        /// The node to probe did not answer the relay.
        #[serde(rename = "x")]
        Unreachable(Digest),
        /// Members that the answering node knows, itself included.
        #[serde(rename = "m")]
        Members {
            /// The answering node's digest.
            #[serde(rename = "d")]
            digest: Digest,
            /// The members.
            #[serde(rename = "m")]
            members: Vec<MemberUpdate>,
        },
        /// Changes in order; empty when the answering node has nothing newer.
        #[serde(rename = "c")]
        Changes(Vec<Change>),
        /// The whole catalogue.
        #[serde(rename = "s")]
        Snapshot(Catalogue),
    }
}

impl PeerMessage {
    /// Returns the sender's digest, if the message has one.
    #[must_use]
    pub fn digest(&self) -> Option<&Digest> {
        match self {
            Self::Probe(digest)
            | Self::Relay { digest, .. }
            | Self::Hello { digest, .. }
            | Self::Gossip { digest, .. }
            | Self::Ack(digest)
            | Self::Unreachable(digest)
            | Self::Members { digest, .. } => Some(digest),
            Self::Pull { .. }
            | Self::Changes(_)
            | Self::Snapshot(_)
            | Self::Drain { .. }
            | Self::Drained(_) => None,
        }
    }

    /// Returns the name of the kind of message, for metrics and reports.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Probe(_) => "probe",
            Self::Relay { .. } => "relay",
            Self::Hello { .. } => "hello",
            Self::Gossip { .. } => "news",
            Self::Pull { .. } => "pull",
            Self::Drain { .. } => "drain",
            Self::Drained(_) => "drained",
            Self::Ack(_) => "ack",
            Self::Unreachable(_) => "unreachable",
            Self::Members { .. } => "members",
            Self::Changes(_) => "changes",
            Self::Snapshot(_) => "snapshot",
        }
    }
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "signature set by serde")]
fn is_zero(number: &u64) -> bool {
    *number == 0
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "signature set by serde")]
fn is_false(flag: &bool) -> bool {
    !*flag
}

/// Encodes a state as a digit.
mod state_code {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};
    use siskinhook_types::MemberState;

    const STATES: [MemberState; 4] = [
        MemberState::Alive,
        MemberState::Leaving,
        MemberState::Suspect,
        MemberState::Dead,
    ];

    #[expect(clippy::trivially_copy_pass_by_ref, reason = "signature set by serde")]
    pub fn serialize<S: Serializer>(state: &MemberState, out: S) -> Result<S::Ok, S::Error> {
        out.serialize_u8(match state {
            MemberState::Alive => 0,
            MemberState::Leaving => 1,
            MemberState::Suspect => 2,
            MemberState::Dead => 3,
        })
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(data: D) -> Result<MemberState, D::Error> {
        let code = u8::deserialize(data)?;
        STATES
            .get(usize::from(code))
            .copied()
            .ok_or_else(|| D::Error::custom(format!("member state {code} is not one of 0 to 3")))
    }
}
