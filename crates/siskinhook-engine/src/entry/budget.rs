//! The retry budget that all requests of a node share.

use std::{
    sync::{Mutex, PoisonError},
    time::Instant,
};

use siskinhook_policy::{RetryBudget, RetrySettings};

use crate::clock::now;

/// Retry budget of a node.
pub struct Budget(Mutex<RetryBudget>);

impl Budget {
    pub fn new(seed: u64) -> Self {
        Self(Mutex::new(RetryBudget::new(RetrySettings::default(), seed)))
    }

    /// Counts the first attempt of a request.
    pub fn on_request(&self) {
        self.lock().on_request();
    }

    /// Withdraws a retry from the budget and returns its start time, or `None` if the budget is
    /// used up.
    pub fn try_retry(&self, attempt: u32) -> Option<Instant> {
        self.lock().try_retry(attempt, now())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, RetryBudget> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
