//! Registry of open sessions, listed for operators.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use indexmap::IndexMap;
use siskinhook_types::{CallerId, DatabaseId, SessionId, value_type};

value_type! {
    /// A session as operators see it.
    pub struct SessionInfo {
        /// Database of the session.
        pub database: DatabaseId,
        /// Authenticated caller.
        pub caller: CallerId,
        /// Session name from the startup options; empty if the caller set none.
        pub session: SessionId,
        /// Address that the caller connected from.
        pub address: SocketAddr,
    }
}

/// Open sessions of a front end. Clones share the same list.
#[derive(Clone, Debug, Default)]
pub(crate) struct SessionRegistry {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    last_number: u64,
    sessions: IndexMap<u64, SessionInfo>,
}

/// Guard of a registered session; dropping it removes the session from the registry.
#[derive(Debug)]
pub(crate) struct Registration {
    sessions: SessionRegistry,
    number: u64,
}

impl SessionRegistry {
    pub(crate) fn add(&self, info: SessionInfo) -> Registration {
        let mut inner = self.lock();
        inner.last_number += 1;
        let number = inner.last_number;
        inner.sessions.insert(number, info);
        Registration {
            sessions: self.clone(),
            number,
        }
    }

    pub(crate) fn list(&self) -> Vec<SessionInfo> {
        self.lock().sessions.values().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.sessions.lock().sessions.swap_remove(&self.number);
    }
}
