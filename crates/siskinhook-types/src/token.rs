//! Log points and causal tokens.

use std::{fmt, str::FromStr};

use crate::{DatabaseId, Position, Term, value_type};

value_type! {
    /// A point in the log of a database group: the term in which an entry was written and the
    /// position of the entry.
    #[derive(Copy, Default, PartialOrd, Ord, Hash)]
    pub struct LogPoint {
        /// Term of the primary that wrote the entry.
        pub term: Term,
        /// Position of the entry.
        pub position: Position,
    }

    /// Causal token of a caller's write: data at or past this point contains the write.
    pub struct Token {
        /// Database the token belongs to.
        pub database: DatabaseId,
        /// Log point of the write.
        pub point: LogPoint,
    }
}

impl LogPoint {
    /// Creates a log point.
    #[must_use]
    pub const fn new(term: Term, position: Position) -> Self {
        Self { term, position }
    }

    /// Returns whether a server whose log ends at `self` contains the acknowledged entry `other`.
    ///
    /// The position alone is not enough: a replaced primary can have a longer log whose tail
    /// was never acknowledged.
    #[must_use]
    pub const fn covers(self, other: Self) -> bool {
        self.term >= other.term && self.position >= other.position
    }
}

impl fmt::Display for LogPoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.term, self.position)
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.database, self.point)
    }
}

/// Error for a text that is not a valid token or log point.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseTokenError {
    text: String,
}

impl fmt::Display for ParseTokenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is not a token; expected database:term:position as reported after a write",
            self.text
        )
    }
}

impl std::error::Error for ParseTokenError {}

impl FromStr for LogPoint {
    type Err = ParseTokenError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseTokenError { text: text.into() };
        let (term, position) = text.split_once(':').ok_or_else(error)?;
        Ok(Self {
            term: term.parse().map_err(|_| error())?,
            position: position.parse().map_err(|_| error())?,
        })
    }
}

impl FromStr for Token {
    type Err = ParseTokenError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseTokenError { text: text.into() };
        let (database, point) = text.split_once(':').ok_or_else(error)?;
        if database.is_empty() {
            return Err(error());
        }
        Ok(Self {
            database: database.into(),
            point: point.parse().map_err(|_| error())?,
        })
    }
}
