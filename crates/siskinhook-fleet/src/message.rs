//! Messages between nodes and their wire format.
//!
//! Serialized field names have one letter, because field names make up most of a probe. Nodes
//! of different versions exchange these messages, so the serialized names must not change.

use siskinhook_types::{
    Catalogue, Change, MemberState, NodeId, Region, Revision, Zone, value_type,
};
use smol_str::SmolStr;

value_type! {
    /// Location and addresses of a node.
    pub struct Profile {
        /// Region of the node.
        #[serde(rename = "r")]
        pub region: Region,
        /// Availability zone of the node.
        #[serde(rename = "z")]
        pub zone: Zone,
        /// Address that accepts [`PeerMessage`] requests, as `ip:port`.
        #[serde(rename = "p")]
        pub peer: SmolStr,
        /// Address that accepts links from other nodes, as `ip:port`.
        #[serde(rename = "l")]
        pub link: SmolStr,
    }

    /// State of one member at one incarnation, as spread by gossip.
    pub struct MemberUpdate {
        /// Name of the member.
        #[serde(rename = "n")]
        pub name: NodeId,
        /// Incarnation of the member that the state applies to.
        #[serde(rename = "i", default, skip_serializing_if = "is_zero")]
        pub incarnation: u64,
        /// State of the member, encoded as a digit.
        #[serde(rename = "s", with = "state_code")]
        pub state: MemberState,
        /// Milliseconds until a suspect member is declared dead, unless it refutes the suspicion.
        #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
        pub remaining: Option<u64>,
        /// Location and addresses; present when the member is alive or leaving, and in member
        /// lists.
        #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
        pub profile: Option<Profile>,
    }

    /// State of the sender and member updates, carried by every probe, push and answer.
    pub struct Digest {
        /// Name of the sender.
        #[serde(rename = "f")]
        pub from: NodeId,
        /// Incarnation of the sender.
        #[serde(rename = "i", default, skip_serializing_if = "is_zero")]
        pub incarnation: u64,
        /// Catalogue revision in force on the sender; `None` while it has no catalogue.
        #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
        pub revision: Option<Revision>,
        /// Set when the sender does not know the receiver's current incarnation. The receiver then
        /// sends a `Hello`.
        #[serde(rename = "w", default, skip_serializing_if = "is_false")]
        pub wants_hello: bool,
        /// Member updates piggybacked on the message.
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
        /// Introduces the sender; its digest includes an update about itself. Answer: `Members`.
        #[serde(rename = "h")]
        Hello {
            /// The sender's digest.
            #[serde(rename = "d")]
            digest: Digest,
            /// Whether the answer lists all members, or just the receiver and the sender.
            #[serde(rename = "a")]
            all: bool,
        },
        /// Pushes member updates and catalogue changes. Answer: `Ack`.
        #[serde(rename = "n")]
        Gossip {
            /// The sender's digest.
            #[serde(rename = "d")]
            digest: Digest,
            /// Catalogue changes in revision order.
            #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
            changes: Vec<Change>,
        },
        /// Asks for the changes after a revision, or for the whole catalogue. Answer: `Changes` or
        /// `Snapshot`, or `Ack` from a node that has no catalogue.
        #[serde(rename = "g")]
        Pull {
            /// Revision in force on the sender; `None` requests the whole catalogue.
            #[serde(rename = "r")]
            after: Option<Revision>,
        },
        /// Forwards an operator's request to drain, or to undrain, to the receiver. Answer:
        /// `Drained`.
        #[serde(rename = "d")]
        Drain {
            /// Whether to drain; false cancels a drain.
            #[serde(rename = "d")]
            drain: bool,
            /// Incarnation of the receiver in the sender's view. The receiver refuses a request
            /// with any other incarnation. Each drain and undrain raises it, so a replayed request
            /// has no effect.
            #[serde(rename = "i")]
            incarnation: u64,
        },
        /// Answer to `Drain`: whether the request was accepted.
        #[serde(rename = "e")]
        Drained(bool),
        /// Confirms a request or a successful probe.
        #[serde(rename = "a")]
        Ack(Digest),
        /// Answer to `Relay`: the target did not answer the probe.
        #[serde(rename = "x")]
        Unreachable(Digest),
        /// Answer to `Hello`: members that the answering node knows, including itself.
        #[serde(rename = "m")]
        Members {
            /// The answering node's digest.
            #[serde(rename = "d")]
            digest: Digest,
            /// Updates for the requested members.
            #[serde(rename = "m")]
            members: Vec<MemberUpdate>,
        },
        /// Answer to `Pull`: changes in revision order; empty when there are none.
        #[serde(rename = "c")]
        Changes(Vec<Change>),
        /// Answer to `Pull`: the whole catalogue.
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

    /// Returns the kind of message as a label for traffic reports.
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

/// Serializes a member state as a digit.
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
