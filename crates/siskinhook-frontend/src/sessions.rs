//! The list of sessions that operators see.

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
        /// Caller.
        pub caller: CallerId,
        /// Name that the caller gave the session at its start, if any.
        pub session: SessionId,
        /// Address that the caller connected from.
        pub address: SocketAddr,
    }
}

/// Sessions of a front end; clones share the list.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sessions {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    number: u64,
    sessions: IndexMap<u64, SessionInfo>,
}

/// A session's place in the list; dropping it removes the session.
#[derive(Debug)]
pub(crate) struct Listed {
    sessions: Sessions,
    number: u64,
}

impl Sessions {
    pub(crate) fn add(&self, info: SessionInfo) -> Listed {
        let mut inner = self.lock();
        inner.number += 1;
        let number = inner.number;
        inner.sessions.insert(number, info);
        Listed {
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

impl Drop for Listed {
    fn drop(&mut self) {
        self.sessions.lock().sessions.swap_remove(&self.number);
    }
}
