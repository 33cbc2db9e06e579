//! Errors of siskinctl and their exit codes.

use std::fmt;

use jsonrpsee::types::ErrorObjectOwned;
use siskinhook_catalogue::EditError;

use crate::codes;

/// Reason why a command failed. Its exit code tells scripts how to go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExitError {
    /// 1: the request was refused, or another error occurred.
    Failed(String),
    /// 2: wrong arguments.
    Usage(String),
    /// 3: the entry or edit has faults, needs a confirmation or belongs to another partner.
    NotAccepted(String),
    /// 4: the entry changed since the base revision of the edit.
    Conflict(String),
    /// 5: no node or no platform could be reached; nothing was done.
    Unavailable(String),
    /// 6: the request may have taken effect; repeat it, and if it is an edit, with the same id.
    Unknown(String),
    /// 7: the operator name or the token is wrong.
    Unauthenticated(String),
    /// 8: a wait timed out.
    TimedOut(String),
}

impl ExitError {
    /// Returns the exit code of the process.
    #[must_use]
    pub const fn code(&self) -> u8 {
        match self {
            Self::Failed(_) => 1,
            Self::Usage(_) => 2,
            Self::NotAccepted(_) => 3,
            Self::Conflict(_) => 4,
            Self::Unavailable(_) => 5,
            Self::Unknown(_) => 6,
            Self::Unauthenticated(_) => 7,
            Self::TimedOut(_) => 8,
        }
    }

    /// Returns whether the request may succeed on another node.
    #[must_use]
    pub const fn is_retryable(&self) -> bool {
        matches!(self, Self::Unavailable(_) | Self::Unknown(_))
    }
}

impl From<&ErrorObjectOwned> for ExitError {
    fn from(object: &ErrorObjectOwned) -> Self {
        let message = object.message().to_owned();
        match object.code() {
            codes::UNAUTHENTICATED => Self::Unauthenticated(message),
            codes::UNAVAILABLE => Self::Unavailable(message),
            codes::EDIT => {
                let data = object.data().map(|data| serde_json::from_str(data.get()));
                match data {
                    Some(Ok(EditError::Stale { .. })) => Self::Conflict(message),
                    Some(Ok(EditError::Unavailable(_))) => Self::Unavailable(message),
                    Some(Ok(EditError::Unknown { .. })) => Self::Unknown(message),
                    _ => Self::NotAccepted(message),
                }
            }
            _ => Self::Failed(message),
        }
    }
}

impl From<std::io::Error> for ExitError {
    fn from(error: std::io::Error) -> Self {
        Self::Failed(format!("cannot write the output: {error}"))
    }
}

impl fmt::Display for ExitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (Self::Failed(message)
        | Self::Usage(message)
        | Self::NotAccepted(message)
        | Self::Conflict(message)
        | Self::Unavailable(message)
        | Self::Unknown(message)
        | Self::Unauthenticated(message)
        | Self::TimedOut(message)) = self;
        f.write_str(message)
    }
}

impl std::error::Error for ExitError {}
