//! Types and traits shared by the crates of siskinhook: identifiers, catalogue entries, requests
//! and responses, failures with their verdicts, and the interfaces of links, targets and the
//! platform.

mod catalogue;
mod failure;
mod fleet;
mod freshness;
mod ids;
mod macros;
mod platform;
mod request;
mod statement;
mod target;
mod token;

pub use catalogue::{Database, Entry, Limits, Server};
pub use failure::{Failure, FailureKind, Verdict, sqlstate};
pub use fleet::{Catalogue, Change, FleetView, Member, MemberState};
pub use freshness::Freshness;
pub use ids::{
    CallerId, DatabaseId, ExchangeId, NodeId, PartnerId, Position, Region, RequestId, Revision,
    ServerId, ServiceId, SessionId, Term, Zone,
};
pub use platform::{
    Batch, CommitOutcome, Condition, Platform, PlatformError, Reading, Row, RowWrite, VmRecord,
};
pub use request::{Class, Kind, Link, Links, Request};
pub use statement::{Column, Part, Protocol, Statement};
pub use target::{Control, Purpose, Role, ServerStatus, TargetSession, Targets};
pub use token::{LogPoint, ParseTokenError, Token};
