//! Edits of the catalogue and their outcomes.

use std::fmt;

use siskinhook_types::{Entry, PartnerId, Revision, ServiceId, value_type};
use smol_str::SmolStr;

value_type! {
    /// Who makes an edit, and why.
    pub struct Author {
        /// Operator.
        pub operator: SmolStr,
        /// Partner of the operator.
        pub partner: PartnerId,
        /// Node and address that the edit came through.
        pub origin: SmolStr,
        /// Reason that the operator states.
        pub reason: String,
        /// Time in milliseconds since the Unix epoch, by the accepting node.
        pub time: u64,
    }

    /// A proposed edit of one entry.
    pub struct Edit {
        /// Id chosen by the operator's tool; the same id is applied at most once.
        pub id: SmolStr,
        /// Service that the edit concerns.
        pub service: ServiceId,
        /// The new entry; `None` removes it.
        pub entry: Option<Entry>,
        /// Revision that made the entry as the operator saw it; 0 when there was none.
        pub base: Revision,
        /// Who makes the edit.
        pub author: Author,
        /// Whether the operator confirmed the effects that `dangerous_effects` reports.
        pub confirmed: bool,
        /// Revision that the edit undoes.
        pub undoes: Option<Revision>,
    }

    /// A request to undo the change that made a revision.
    pub struct UndoRequest {
        /// Revision to undo.
        pub revision: Revision,
        /// Id of the new edit.
        pub id: SmolStr,
        /// Who undoes.
        pub author: Author,
        /// Whether the operator confirmed the effects that `dangerous_effects` reports.
        pub confirmed: bool,
    }

    /// An accepted edit.
    pub struct Accepted {
        /// Revision that the edit made.
        pub revision: Revision,
        /// Whether the edit id had been accepted before, so that nothing was applied now.
        pub repeated: bool,
    }

    /// An entry with the revision that made it.
    pub struct EntryView {
        /// Revision that made this form; the base of the next edit.
        pub revision: Revision,
        /// The entry.
        pub entry: Entry,
    }

    /// Why an edit was not accepted.
    pub enum EditError {
        /// The edit has faults, each with field and remedy.
        Invalid(Vec<String>),
        /// The edit can interrupt service and was not confirmed.
        Dangerous(Vec<String>),
        /// The entry belongs to another partner.
        NotOwner {
            /// Service of the entry.
            service: ServiceId,
            /// Partner who owns it.
            owner: PartnerId,
            /// Partner of the operator.
            partner: PartnerId,
        },
        /// The entry changed after the operator read it.
        Stale {
            /// Service of the entry.
            service: ServiceId,
            /// Revision that made the current form; 0 when the entry was removed.
            revision: Revision,
            /// Operator who made it, when known.
            operator: Option<SmolStr>,
            /// What changed since the base of the edit.
            difference: String,
        },
        /// The edit would change nothing.
        Unchanged(ServiceId),
        /// The edit id was used for a different edit.
        IdUsed {
            /// The id.
            id: SmolStr,
            /// Revision that the first edit made.
            revision: Revision,
        },
        /// There is no such revision, or it cannot be undone.
        NoUndo(String),
        /// The platform could not be reached; the edit was not accepted.
        Unavailable(String),
        /// The platform's answer was lost and the edit id could not be looked up: the edit may
        /// have been accepted.
        Unknown {
            /// Id of the edit.
            id: SmolStr,
            /// What happened.
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

/// Writes each line on its own, indented.
struct IndentedLines<'a>(&'a [String]);

impl fmt::Display for IndentedLines<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|line| write!(f, "\n  {line}"))
    }
}
