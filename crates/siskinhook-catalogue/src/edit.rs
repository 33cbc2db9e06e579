//! Edits of the catalogue and their outcomes.

use std::fmt;

use siskinhook_types::{Entry, PartnerId, Revision, ServiceId, value_type};
use smol_str::SmolStr;

value_type! {
    /// Author, origin, reason and time of an edit.
    pub struct Author {
        /// Name of the operator.
        pub operator: SmolStr,
        /// Partner of the operator.
        pub partner: PartnerId,
        /// Node and address that the edit came through.
        pub origin: SmolStr,
        /// Reason that the operator states.
        pub reason: String,
        /// Time in milliseconds since the Unix epoch, by the clock of the accepting node.
        pub time: u64,
    }

    /// A proposed edit of one catalogue entry.
    pub struct Edit {
        /// Idempotency key chosen by the operator's tool; an id is applied at most once.
        pub id: SmolStr,
        /// Service whose entry is edited.
        pub service: ServiceId,
        /// The new entry; `None` removes it.
        pub entry: Option<Entry>,
        /// Revision of the entry that the operator started from; 0 when there was no entry.
        pub base: Revision,
        /// Author of the edit.
        pub author: Author,
        /// Whether the operator confirmed the effects that `dangerous_effects` reports.
        pub confirmed: bool,
        /// Revision that the edit undoes, if it is an undo.
        pub undoes: Option<Revision>,
    }

    /// A request to undo the change that made a revision.
    pub struct UndoRequest {
        /// Revision to undo.
        pub revision: Revision,
        /// Id of the new edit.
        pub id: SmolStr,
        /// Author of the undo.
        pub author: Author,
        /// Whether the operator confirmed the effects that `dangerous_effects` reports.
        pub confirmed: bool,
    }

    /// An accepted edit.
    pub struct Accepted {
        /// Revision that the edit made.
        pub revision: Revision,
        /// Whether an earlier request with the same edit id was accepted, so that this one changed
        /// nothing.
        pub repeated: bool,
    }

    /// An entry with its revision.
    pub struct EntryView {
        /// Revision of the last change of the entry; the base of the next edit.
        pub revision: Revision,
        /// The entry.
        pub entry: Entry,
    }

    /// Reason why an edit was not accepted.
    pub enum EditError {
        /// The entry is invalid; each text names a field, its fault and the remedy.
        Invalid(Vec<String>),
        /// The edit can interrupt service and was not confirmed; each text is one effect.
        Dangerous(Vec<String>),
        /// The entry belongs to another partner.
        NotOwner {
            /// Service of the entry.
            service: ServiceId,
            /// Partner who owns the entry.
            owner: PartnerId,
            /// Partner of the operator.
            partner: PartnerId,
        },
        /// The entry changed since the base revision of the edit.
        Stale {
            /// Service of the entry.
            service: ServiceId,
            /// Current revision of the entry; 0 when it was removed.
            revision: Revision,
            /// Operator who made the last change, when known.
            operator: Option<SmolStr>,
            /// Unified diff of the changes since the base revision.
            difference: String,
        },
        /// The entry already equals the proposed one.
        Unchanged(ServiceId),
        /// The edit id belongs to a different edit that was accepted before.
        IdUsed {
            /// Id of the edit.
            id: SmolStr,
            /// Revision that the earlier edit made.
            revision: Revision,
        },
        /// The revision does not exist or cannot be undone; the text states the reason.
        NoUndo(String),
        /// The platform could not be reached, or other edits were accepted first each time; the
        /// edit was not applied.
        Unavailable(String),
        /// The platform's answer was lost and the edit id could not be looked up: the edit may
        /// have been accepted.
        Unknown {
            /// Id of the edit.
            id: SmolStr,
            /// Reason why the last attempt failed.
            reason: String,
        },
    }
}

impl fmt::Display for EditError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(faults) => {
                write!(
                    f,
                    "not accepted, the entry has faults:{}",
                    IndentedLines(faults)
                )
            }
            Self::Dangerous(effects) => write!(
                f,
                "not accepted, the edit needs a confirmation (--confirm) because it:{}",
                IndentedLines(effects)
            ),
            Self::NotOwner {
                service,
                owner,
                partner,
            } => write!(
                f,
                "not accepted, entry {service} belongs to partner {owner}, not to {partner}; ask \
                 an operator of {owner}"
            ),
            Self::Stale {
                service,
                revision,
                operator,
                difference,
            } => {
                write!(
                    f,
                    "not accepted, entry {service} changed since you read it: "
                )?;
                match revision {
                    0 => f.write_str("it was removed")?,
                    revision => write!(f, "revision {revision}")?,
                }
                if let Some(operator) = operator {
                    write!(f, " by {operator}")?;
                }
                write!(f, "; repeat the edit on its current form\n{difference}")
            }
            Self::Unchanged(service) => write!(
                f,
                "not accepted, entry {service} already has this form; nothing to do"
            ),
            Self::IdUsed { id, revision } => write!(
                f,
                "not accepted, edit id {id} was used for a different edit, revision {revision}; \
                 choose a new id"
            ),
            Self::NoUndo(reason) => write!(f, "not accepted, {reason}"),
            Self::Unavailable(reason) => write!(
                f,
                "not accepted, the catalogue is unchanged: {reason}; try again with the same \
                 edit id"
            ),
            Self::Unknown { id, reason } => write!(
                f,
                "the edit may have been accepted: {reason}; try again with --id {id}, it is \
                 applied at most once"
            ),
        }
    }
}

impl std::error::Error for EditError {}

/// Formats each text on a line of its own, indented.
struct IndentedLines<'a>(&'a [String]);

impl fmt::Display for IndentedLines<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|line| write!(f, "\n  {line}"))
    }
}
