//! Validation of a catalogue entry, on its own and against the other entries.

use std::{collections::HashMap, fmt, net::SocketAddr};

use siskinhook_settings::{Segment, path_text};
use siskinhook_types::{Catalogue, Database, Entry, Limits};

/// Connections per server reserved for control: the control connections of its owner and of the
/// other nodes that monitor its group, and one for confirmations of writes.
pub const RESERVED_CONNECTIONS: u32 = 4;

/// Maximum name length in bytes; names are used as keys, log values and metric labels.
const MAX_NAME_LENGTH: usize = 64;

/// Maximum servers per group: every write waits for a majority, and the monitoring nodes poll
/// every server.
const MAX_GROUP_SIZE: usize = 9;

/// Maximum deadline: one hour.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Maximum value of `max_age`: one day.
const MAX_AGE_MS: u64 = 86_400_000;

/// A validation error of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the invalid field.
    pub path: Vec<Segment>,
    /// What is wrong with the field and how to correct it.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", path_text(&self.path), self.message)
    }
}

/// Validates an entry on its own and returns its faults.
///
/// A database without servers is not a fault here: `CatalogueStore` refuses it for a new database
/// and asks for a confirmation for an existing one.
#[must_use]
pub fn check_entry(entry: &Entry) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (field, name) in [("name", &entry.name), ("owner", &entry.owner)] {
        check_name(&mut faults, &[field.into()], name);
    }
    if !is_name(&entry.credentials) {
        // The value may be a secret, so the message does not repeat it.
        push_fault(
            &mut faults,
            &["credentials".into()],
            "the value is not the name of a credential; name one of the `credentials` in the \
             node settings, and never write the secret itself"
                .into(),
        );
    }
    check_limits(&mut faults, &entry.limits);
    if entry.max_age.is_some_and(|age| age > MAX_AGE_MS) {
        push_fault(
            &mut faults,
            &["max_age".into()],
            format!("the age is over one day; state at most {MAX_AGE_MS} ms"),
        );
    }
    if entry.databases.is_empty() {
        push_fault(
            &mut faults,
            &["databases".into()],
            "the entry has no database; add one, or remove the entry".into(),
        );
    }
    let mut names = HashMap::new();
    let mut addresses = HashMap::new();
    for (id, database) in &entry.databases {
        let path = [Segment::from("databases"), id.as_str().into()];
        check_name(&mut faults, &path, id);
        check_group(&mut faults, &path, database);
        for (index, server) in database.servers.iter().enumerate() {
            let field = |name: &str| {
                let mut field = path.to_vec();
                field.extend(["servers".into(), index.into(), name.into()]);
                field
            };
            check_name(&mut faults, &field("name"), &server.name);
            check_name(&mut faults, &field("zone"), &server.zone);
            check_address(&mut faults, &field("address"), &server.address);
            if let Some(other) = names.insert(&server.name, id) {
                push_fault(
                    &mut faults,
                    &field("name"),
                    format!(
                        "server {} is already listed in database {other}; give it another name",
                        server.name
                    ),
                );
            }
            if let Some(other) = addresses.insert(&server.address, &server.name) {
                push_fault(
                    &mut faults,
                    &field("address"),
                    format!(
                        "{} is already the address of server {other}; correct one of the two",
                        server.address
                    ),
                );
            }
        }
    }
    faults
}

/// Validates an entry against the other entries of the catalogue and returns its faults: each
/// database, server and address may belong to one entry only.
#[must_use]
pub fn check_catalogue(entry: &Entry, catalogue: &Catalogue) -> Vec<Fault> {
    let mut faults = Vec::new();
    for other in catalogue.entries.values().filter(|e| e.name != entry.name) {
        for (id, database) in &entry.databases {
            let path = [Segment::from("databases"), id.as_str().into()];
            if other.databases.contains_key(id) {
                push_fault(
                    &mut faults,
                    &path,
                    format!(
                        "database {id} belongs to entry {}; choose another name",
                        other.name
                    ),
                );
            }
            for (index, server) in database.servers.iter().enumerate() {
                let taken = other
                    .databases
                    .values()
                    .flat_map(|d| &d.servers)
                    .find(|s| s.name == server.name || s.address == server.address);
                if let Some(taken) = taken {
                    let mut path = path.to_vec();
                    path.extend(["servers".into(), index.into()]);
                    push_fault(
                        &mut faults,
                        &path,
                        format!(
                            "entry {} lists server {} at {}; a server has one name, one address \
                             and one entry, correct name or address",
                            other.name, taken.name, taken.address
                        ),
                    );
                }
            }
        }
    }
    faults
}

fn push_fault(faults: &mut Vec<Fault>, path: &[Segment], message: String) {
    faults.push(Fault {
        path: path.to_vec(),
        message,
    });
}

/// Returns whether a text is a valid name.
pub fn is_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= MAX_NAME_LENGTH
        && name
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.'))
}

fn check_name(faults: &mut Vec<Fault>, path: &[Segment], name: &str) {
    if !is_name(name) {
        push_fault(
            faults,
            path,
            format!(
                "{name:?} is not a name; use 1 to {MAX_NAME_LENGTH} letters, digits, '-', '_' \
                 or '.'"
            ),
        );
    }
}

fn check_address(faults: &mut Vec<Fault>, path: &[Segment], text: &str) {
    let usable = text
        .parse::<SocketAddr>()
        .is_ok_and(|a| a.port() != 0 && !a.ip().is_unspecified());
    if !usable {
        push_fault(
            faults,
            path,
            format!("{text:?} is not an address; write ip:port, for example \"10.0.0.5:5432\""),
        );
    }
}

fn check_group(faults: &mut Vec<Fault>, path: &[Segment], database: &Database) {
    let size = database.servers.len();
    let mut path = path.to_vec();
    path.push("servers".into());
    if size == 2 {
        push_fault(
            faults,
            &path,
            "a group of 2 has no majority once one server is lost; list 3 servers, or 1 to do \
             without failover"
                .into(),
        );
    }
    if size > MAX_GROUP_SIZE {
        push_fault(
            faults,
            &path,
            format!("the group has {size} servers; list at most {MAX_GROUP_SIZE}"),
        );
    }
}

fn check_limits(faults: &mut Vec<Fault>, limits: &Limits) {
    let path = |field: &str| [Segment::from("limits"), field.into()];
    if limits.slots == 0 {
        push_fault(
            faults,
            &path("slots"),
            "without a slot no statement runs; state at least 1".into(),
        );
    }
    // A smaller limit leaves no connection for statements. That takes the servers out of use, which
    // is allowed with a confirmation.
    if limits.connections > RESERVED_CONNECTIONS
        && limits.slots > limits.connections - RESERVED_CONNECTIONS
    {
        push_fault(
            faults,
            &path("slots"),
            format!(
                "{} slots need {} connections, {RESERVED_CONNECTIONS} of them for control; \
                 lower slots to {} or raise connections",
                limits.slots,
                limits.slots.saturating_add(RESERVED_CONNECTIONS),
                limits.connections - RESERVED_CONNECTIONS
            ),
        );
    }
    if !(1..=1_000_000).contains(&limits.queue) {
        push_fault(
            faults,
            &path("queue"),
            format!(
                "{} requests are out of range; state 1 to 1000000",
                limits.queue
            ),
        );
    }
    if !(1..=MAX_DEADLINE_MS).contains(&limits.deadline) {
        push_fault(
            faults,
            &path("deadline"),
            format!(
                "{} ms is out of range; state 1 to {MAX_DEADLINE_MS}",
                limits.deadline
            ),
        );
    }
}
