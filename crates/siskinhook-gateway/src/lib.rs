//! Caller sessions over pooled connections to replicated groups.
//!
//! A node runs each statement over pooled connections to the servers. A read runs only on a server
//! whose log is known to be fresh enough, and only one node at a time replaces a lost primary.
//! Everything runs on one thread. The wire protocols are behind the traits `Dialer`, `Connection`,
//! `Orders` and `siskinhook_types::Platform`.

mod attempt;
mod call_limit;
mod clock;
mod commit_evidence;
mod confirmation;
mod connection;
mod counters;
mod departures;
mod failover;
mod feed;
mod fleet;
mod gateway;
mod group;
mod isolation;
mod leadership;
mod members;
mod model;
mod pool;
mod relay;
mod request;
mod session;
mod session_memory;
mod statement;
mod successor;
mod watermarks;
mod write_admission;
mod write_permit;

pub use call_limit::AdaptiveLimit;
pub use clock::BootInstant;
pub use commit_evidence::is_held;
pub use connection::{
    Connection, ConnectionError, Dialer, ReplicationStatus, ServerOp, ServerReply, TargetCode,
};
pub use counters::{Counter, Counters};
pub use departures::Departures;
pub use failover::{Discovery, OrderOutcome, Orders, watch_group};
pub use feed::{Feed, FeedCall, FeedSettings};
pub use fleet::{Fleet, Path, Peer};
pub use gateway::{Gateway, GatewaySettings};
pub use group::Group;
pub use isolation::watch_isolation;
pub use leadership::Leadership;
pub use members::{Member, MemberRecord};
pub use model::{Configuration, Consistency, Instance, Route, Service};
pub use pool::Contact;
pub use relay::{Relay, RelayedRequest};
pub use session::{Arrival, Session};
pub use statement::{Answer, Command, PreparedStatement, Query, Refusal, TransactionState};
pub use successor::{Departed, PendingOrder, Report, choose_ordered_successor, choose_successor};
pub use watermarks::{Watermark, Watermarks};
pub use write_permit::{PendingReplacement, REPLACEMENT_LIFETIME, ReplacementChecks, WritePermit};
