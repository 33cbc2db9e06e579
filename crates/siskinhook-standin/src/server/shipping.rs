//! Log shipping from a primary to its replicas.

use std::sync::Arc;

use siskinhook_types::{LogPoint, Role, ServerId, Term};
use tokio::time::Instant;

use super::{
    Server,
    state::{LogEntry, replay},
};
use crate::{database::SqlError, lock};

/// Maximum number of entries in one fetch. The next fetch follows immediately.
const BATCH_ENTRIES: usize = 256;

/// Log entries that a replica fetched from its primary.
#[derive(Debug)]
pub(crate) struct FetchedEntries {
    term: Term,
    primary: ServerId,
    /// Number of leading entries that both logs share.
    common_length: usize,
    entries: Vec<Arc<LogEntry>>,
}

impl Server {
    /// Returns the term and the primary that this server replicates from; `None` if it is not a
    /// replica that follows a primary.
    pub(crate) fn following(&self) -> Option<(Term, ServerId)> {
        let state = lock(&self.state);
        match &state.primary {
            Some(primary) if state.role == Role::Replica && !state.crashed => {
                Some((state.term, primary.clone()))
            }
            _ => None,
        }
    }

    /// Returns the entries that a replica lacks, if this server is the primary of the term.
    pub(crate) fn fetch(&self, term: Term, replica: &Self) -> Option<FetchedEntries> {
        let (length, last) = {
            let state = lock(&replica.state);
            (state.log.len(), state.last_point())
        };
        // If two logs have the same entry at a position, they agree up to it, because a term has
        // only one primary. So the last position with equal entries ends the common prefix.
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
        let mut common_length = length;
        if !agrees(&state.log) {
            common_length = points.len().min(state.log.len());
            while common_length > 0
                && points[common_length - 1] != state.log[common_length - 1].point
            {
                common_length -= 1;
            }
        }
        let entries = state.log[common_length..]
            .iter()
            .take(BATCH_ENTRIES)
            .cloned()
            .collect();
        Some(FetchedEntries {
            term,
            primary: self.endpoint.name.clone(),
            common_length,
            entries,
        })
    }

    /// Applies the fetched entries that are due, and returns the time at which the next one is due.
    ///
    /// Entries are ignored unless the server is still a replica of that primary in that term.
    pub(crate) fn apply_fetched(
        &self,
        fetched: &FetchedEntries,
    ) -> Result<Option<Instant>, SqlError> {
        let mut state = lock(&self.state);
        if state.role != Role::Replica
            || state.term != fetched.term
            || state.primary.as_ref() != Some(&fetched.primary)
            || state.crashed
        {
            return Ok(None);
        }
        state.last_contact = Some(Instant::now());
        let mut changed = false;
        if state.log.len() > fetched.common_length {
            state.truncate(fetched.common_length)?;
            changed = true;
        }
        let mut next = None;
        for entry in &fetched.entries {
            let due = entry.committed_at + state.lag;
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
