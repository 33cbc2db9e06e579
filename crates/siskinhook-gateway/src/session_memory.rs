//! Session values and prepared statements, with a bound on the memory that they take (pure).

use std::{
    cell::Cell,
    collections::{BTreeMap, HashMap},
    rc::Rc,
};

use bytes::Bytes;

use crate::PreparedStatement;

/// Bytes that one session may keep: two messages of the maximum length of 1 MiB.
const MAX_SESSION_BYTES: usize = 2 << 20;
/// Bytes that all sessions of a process may keep beyond `RESERVED_BYTES` each: a fifth of the 160 MB
/// that the smallest deployments allow a process.
const MAX_SHARED_BYTES: usize = 32 << 20;
/// Bytes of each session that do not count toward `MAX_SHARED_BYTES`, so that sessions which keep
/// much do not use up what others need. The 4000 connections for which a process has descriptors
/// reserve 32 MB at most.
const RESERVED_BYTES: usize = 8 << 10;
/// Bytes that an entry takes besides its texts: two allocations with their reference counts, and its
/// slot in a map that is half empty.
const ENTRY_BYTES: usize = 256;

/// Bytes that all sessions of a process keep beyond `RESERVED_BYTES` each.
pub type SharedBytes = Rc<Cell<usize>>;

/// The bound that a new entry would exceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitExceeded {
    /// The bound of the session.
    Session,
    /// The bound of all sessions of the process.
    Process,
}

/// Session values and prepared statements of one session.
pub struct SessionMemory {
    values: BTreeMap<Bytes, Bytes>,
    prepared: HashMap<Bytes, PreparedStatement>,
    used: usize,
    shared: SharedBytes,
}

impl SessionMemory {
    pub fn new(shared: SharedBytes) -> Self {
        Self {
            values: BTreeMap::new(),
            prepared: HashMap::new(),
            used: 0,
            shared,
        }
    }

    pub const fn values(&self) -> &BTreeMap<Bytes, Bytes> {
        &self.values
    }

    /// Sets a session value. If it exceeds a bound, the value stays as it was.
    pub fn set(&mut self, name: &Bytes, value: &Bytes) -> Result<(), LimitExceeded> {
        let old = self.values.get(name).map(|old| entry_bytes(name, old));
        self.resize(old.unwrap_or(0), entry_bytes(name, value))?;
        self.values.insert(unshared(name), unshared(value));
        Ok(())
    }

    /// Adds a prepared statement. If it exceeds a bound, a statement of that name stays as it was.
    pub fn prepare(&mut self, name: &Bytes, stmt: &PreparedStatement) -> Result<(), LimitExceeded> {
        let old = self.prepared.get(name);
        let old = old.map(|old| entry_bytes(name, &old.text));
        self.resize(old.unwrap_or(0), entry_bytes(name, &stmt.text))?;
        let text = unshared(&stmt.text);
        let stmt = PreparedStatement { text, ..*stmt };
        self.prepared.insert(unshared(name), stmt);
        Ok(())
    }

    pub fn prepared(&self, name: &Bytes) -> Option<PreparedStatement> {
        self.prepared.get(name).cloned()
    }

    /// Removes a prepared statement. Returns whether it existed.
    pub fn deallocate(&mut self, name: &Bytes) -> bool {
        let Some(stmt) = self.prepared.remove(name) else {
            return false;
        };
        self.set_used(self.used - entry_bytes(name, &stmt.text));
        true
    }

    /// Accounts for an entry that takes `new` bytes instead of `old`. One that does not grow is
    /// always accepted.
    fn resize(&mut self, old: usize, new: usize) -> Result<(), LimitExceeded> {
        let used = self.used - old + new;
        if new > old && used > MAX_SESSION_BYTES {
            return Err(LimitExceeded::Session);
        }
        let added = shared_part(used).saturating_sub(shared_part(self.used));
        if self.shared.get() + added > MAX_SHARED_BYTES {
            return Err(LimitExceeded::Process);
        }
        self.set_used(used);
        Ok(())
    }

    fn set_used(&mut self, used: usize) {
        let others = self.shared.get() - shared_part(self.used);
        self.shared.set(others + shared_part(used));
        self.used = used;
    }
}

impl Drop for SessionMemory {
    fn drop(&mut self) {
        self.set_used(0);
    }
}

const fn shared_part(used: usize) -> usize {
    used.saturating_sub(RESERVED_BYTES)
}

const fn entry_bytes(name: &Bytes, text: &Bytes) -> usize {
    ENTRY_BYTES + name.len() + text.len()
}

/// Copies a part of a message, so that the session does not keep the whole message.
fn unshared(part: &Bytes) -> Bytes {
    Bytes::copy_from_slice(part)
}
