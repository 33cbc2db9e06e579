//! Shipping of log entries from a primary to its replicas.

use std::sync::Arc;

use siskinhook_types::{LogPoint, Role, ServerId, Term};
use tokio::time::Instant;

use super::{
    Server,
    state::{LogEntry, replay},
};
use crate::{database::SqlError, lock};

/// Entries that a replica fetches at a time; the next fetch follows at once.
const BATCH: usize = 256;

/// What a replica fetched from its primary.
#[derive(Debug)]
pub(crate) struct Fetched {
    term: Term,
    primary: ServerId,
    /// Entries that both logs share.
    common: usize,
    entries: Vec<Arc<LogEntry>>,
}

impl Server {
    /// Returns the term and the primary that this server wants entries from.
    pub(crate) fn following(&self) -> Option<(Term, ServerId)> {
        let state = lock(&self.state);
        match &state.primary {
            Some(primary) if state.role == Role::Replica && !state.crashed => {
                Some((state.term, primary.clone()))
            }
            _ => None,
        }
    }

    /// Reads the entries that a replica lacks, if this server is the primary of the term.
    pub(crate) fn fetch(&self, term: Term, replica: &Self) -> Option<Fetched> {
        let (length, last) = {
            let state = lock(&replica.state);
            (state.log.len(), state.last())
        };
        // Two logs with the same entry at a position agree up to it, since a term has one
        // primary; so the last equal position ends the common part.
        let agrees = |log: &[Arc<LogEntry>]| {
            length <= log.len() && (length == 0 || log[length - 1].point == last)
        };
        let points: Vec<LogPoint> = if agrees(&lock(&self.state).log) {
            Vec::new()
        } else {
            let state = lock(&replica.state);
            state.log.iter().map(|entry| entry.point).collect()
        };
        let state = lock(&self.state);
        if state.role != Role::Primary || state.term != term || state.crashed {
            return None;
        }
        let mut common = length;
        if !agrees(&state.log) {
            common = points.len().min(state.log.len());
            while common > 0 && points[common - 1] != state.log[common - 1].point {
                common -= 1;
            }
        }
        let entries = state.log[common..].iter().take(BATCH).cloned().collect();
        Some(Fetched {
            term,
            primary: self.endpoint.name.clone(),
            common,
            entries,
        })
    }

    /// Applies fetched entries that are due; returns when the next one is.
    ///
    /// Entries are accepted only while the server is still a replica of that primary and term.
    pub(crate) fn accept(&self, fetched: &Fetched) -> Result<Option<Instant>, SqlError> {
        let mut state = lock(&self.state);
        if state.role != Role::Replica
            || state.term != fetched.term
            || state.primary.as_ref() != Some(&fetched.primary)
            || state.crashed
        {
            return Ok(None);
        }
        state.contact = Some(Instant::now());
        let mut changed = false;
        if state.log.len() > fetched.common {
            state.truncate(fetched.common)?;
            changed = true;
        }
        let mut next = None;
        for entry in &fetched.entries {
            let due = entry.at + state.lag;
            if due > Instant::now() {
                next = Some(due);
                break;
            }
            replay(&state.store, entry)?;
            state.log.push(entry.clone());
            changed = true;
        }
        drop(state);
        if changed {
            self.notify();
        }
        Ok(next)
    }
}
