//! Type aliases for identifiers and counters.

use smol_str::SmolStr;

/// Name of a node, unique in the fleet.
pub type NodeId = SmolStr;
/// Name of a database server (a target), unique in the catalogue.
pub type ServerId = SmolStr;
/// Name of a database, unique in the catalogue; callers connect to it by this name.
pub type DatabaseId = SmolStr;
/// Name of a database service, the key of a catalogue entry.
pub type ServiceId = SmolStr;
/// Name of a partner who owns catalogue entries.
pub type PartnerId = SmolStr;
/// Name of an availability zone.
pub type Zone = SmolStr;
/// Name of a region.
pub type Region = SmolStr;
/// Name of a caller's session.
pub type SessionId = SmolStr;
/// Name of a caller: the user name with which it authenticated.
pub type CallerId = SmolStr;
/// Caller-chosen id that makes a request idempotent.
pub type RequestId = SmolStr;
/// Term of a database group; a higher term supersedes a lower one.
pub type Term = u64;
/// Position in the log of a database group, counted in committed entries.
pub type Position = u64;
/// Revision number of the catalogue.
pub type Revision = u64;
/// Number of an exchange on one link, increasing from 1.
pub type ExchangeId = u64;
