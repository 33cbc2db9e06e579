//! Failures of requests: cause, SQLSTATE and whether the statement may have run.

use std::fmt;

use smol_str::SmolStr;

use crate::{NodeId, value_type};

/// SQLSTATE codes that siskinhook itself reports.
pub mod sqlstate {
    /// The outcome of a statement is not known (transaction resolution unknown).
    pub const MAY_HAVE_RUN: &str = "08007";
    /// The connection to the target could not be opened or was lost; the statement did not run.
    pub const CONNECTION_FAILURE: &str = "08006";
    /// The request was refused because of load (too many connections).
    pub const OVERLOAD: &str = "53300";
    /// The deadline passed before the statement ran (query canceled).
    pub const DEADLINE: &str = "57014";
    /// The node is shutting down.
    pub const SHUTDOWN: &str = "57P01";
    /// No server can serve the request now.
    pub const UNAVAILABLE: &str = "57P03";
    /// A setting has an invalid value.
    pub const INVALID_VALUE: &str = "22023";
    /// The feature is not supported.
    pub const NOT_SUPPORTED: &str = "0A000";
    /// The database is not in the catalogue.
    pub const UNKNOWN_DATABASE: &str = "3D000";
    /// A write was sent to a server that is not the primary.
    pub const READ_ONLY: &str = "25006";
    /// A node or target broke the protocol.
    pub const PROTOCOL: &str = "08P01";
}

value_type! {
    /// Whether the statement of a failed request may have run.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub enum Verdict {
        /// It is certain that the statement did not run.
        NotRun,
        /// The statement may have run.
        MayHaveRun,
        /// The statement ran; the failure is its result or occurred afterwards.
        Ran,
    }

    /// Cause of a failure. Only causes that are handled differently are distinguished.
    pub enum FailureKind {
        /// The target reported an error for this statement.
        Statement,
        /// The server's data is not fresh enough for the read and would not catch up in time.
        NotFresh,
        /// The node that received the request does not own the server. Holds the owner, if the
        /// node knows it.
        NotOwner(Option<NodeId>),
        /// The request needs the primary, and the server is not the primary.
        NotPrimary,
        /// The request was refused because of overload.
        Overload,
        /// The deadline passed.
        Deadline,
        /// A connection was lost, was terminated or stopped responding.
        ConnectionLost,
        /// A write could not be confirmed by a majority of the group; the primary may have been
        /// replaced.
        NotConfirmed,
        /// No server or node can serve the request now.
        Unavailable,
        /// The node is draining.
        Draining,
        /// The request is invalid.
        BadRequest,
    }

    /// A failed request: the cause, and whether the statement may have run.
    pub struct Failure {
        /// Whether the statement may have run.
        pub verdict: Verdict,
        /// Cause of the failure.
        pub kind: FailureKind,
        /// SQLSTATE reported to the caller.
        pub code: SmolStr,
        /// Message for the caller: the object concerned, the reason and the remedy.
        pub message: String,
        /// Suggested delay before a retry, in milliseconds.
        pub retry_after: Option<u64>,
    }
}

impl Failure {
    /// Creates a failure with the verdict `NotRun`.
    pub fn not_run(kind: FailureKind, code: &str, message: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            kind,
            code: code.into(),
            message: message.into(),
            retry_after: None,
        }
    }

    /// Creates a failure with the verdict `MayHaveRun` and the SQLSTATE for an unknown outcome.
    pub fn may_have_run(kind: FailureKind, message: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            kind,
            code: sqlstate::MAY_HAVE_RUN.into(),
            message: message.into(),
            retry_after: None,
        }
    }

    /// Creates the failure of a statement that ran and was rejected by the target.
    pub fn ran(code: &str, message: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::Ran,
            kind: FailureKind::Statement,
            code: code.into(),
            message: message.into(),
            retry_after: None,
        }
    }

    /// Adapts a failure that occurred after the statement was sent: the verdict `NotRun` becomes
    /// `MayHaveRun`.
    #[must_use]
    pub fn after_sending(mut self) -> Self {
        if self.verdict == Verdict::NotRun {
            self.verdict = Verdict::MayHaveRun;
            self.code = sqlstate::MAY_HAVE_RUN.into();
        }
        self
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not run",
            Self::MayHaveRun => "may have run",
            Self::Ran => "ran",
        })
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}, {})", self.message, self.verdict, self.code)
    }
}

impl std::error::Error for Failure {}
