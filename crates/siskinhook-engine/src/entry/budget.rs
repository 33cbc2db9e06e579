//! The node's retry budget.

use std::{
    sync::{Mutex, PoisonError},
    time::Instant,
};

use siskinhook_policy::{RetryBudget, RetrySettings};

use crate::clock::now;

/// The retry budget of a node.
pub struct Budget(Mutex<RetryBudget>);

impl Budget {
    pub fn new(seed: u64) -> Self {
        Self(Mutex::new(RetryBudget::new(RetrySettings::default(), seed)))
    }

    /// Counts a first attempt.
    pub fn on_request(&self) {
        self.lock().on_request();
    }

    /// Takes a retry and returns when it starts; `None` when the budget is used up.
    pub fn try_retry(&self, attempt: u32) -> Option<Instant> {
        self.lock().try_retry(attempt, now())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, RetryBudget> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
