//! Checks at execution time that a server's data is fresh enough for a request.

use std::time::Instant;

use siskinhook_policy::FreshnessAnswer;
use siskinhook_types::{
    Control, Failure, FailureKind, Freshness, LogPoint, Request, TargetSession, Targets, sqlstate,
};

use super::Owner;
use crate::{
    clock::{millis, now, until},
    core::Core,
    counters::count,
};

impl<T: Targets> Owner<T> {
    /// Waits until the server's data meets the freshness that a request requires.
    ///
    /// # Errors
    /// `NotFresh` when the data does not become fresh enough in time.
    pub async fn ensure_fresh(&self, core: &Core<T>, request: &Request) -> Result<(), Failure> {
        let result = self
            .wait_until_fresh(core, &request.freshness, request.deadline)
            .await;
        if result.is_err() {
            count(&core.counters.not_fresh);
        }
        result
    }

    async fn wait_until_fresh(
        &self,
        core: &Core<T>,
        freshness: &Freshness,
        deadline: Instant,
    ) -> Result<(), Failure> {
        let wait_deadline = deadline.min(now() + core.settings.fresh_wait);
        loop {
            match self.group.freshness(&self.server.name, freshness) {
                FreshnessAnswer::Fresh => return Ok(()),
                FreshnessAnswer::NeedAnchor => {
                    let since = freshness.since.unwrap_or_else(now);
                    if !self.group.wait_anchor(since, wait_deadline).await {
                        return Err(self.not_fresh("no majority of its group confirmed its state"));
                    }
                }
                FreshnessAnswer::Wait(point) => {
                    if !self.wait_for_position(point, wait_deadline).await {
                        return Err(self.not_fresh("it lags behind"));
                    }
                }
            }
        }
    }

    /// Waits until the server's log covers a position; returns `false` on a timeout or failure.
    async fn wait_for_position(&self, point: LogPoint, wait_deadline: Instant) -> bool {
        // Only one request at a time asks the server. The next one finds the status that this
        // request received.
        let Some(_guard) = until(wait_deadline, self.catch_up.lock()).await else {
            return false;
        };
        if self.group.covers(&self.server.name, point) {
            return true;
        }
        let started = now();
        let timeout = millis(wait_deadline.saturating_duration_since(started));
        let command = Control::Wait { point, timeout };
        let Ok(mut connection) = self.pool.acquire(wait_deadline).await else {
            return false;
        };
        // Waits slightly longer than the server does, so that an answer that the server sends
        // at its own timeout still arrives.
        let reply_deadline = wait_deadline + std::time::Duration::from_millis(20);
        let Some(Ok(status)) = until(reply_deadline, connection.session.control(&command)).await
        else {
            return false;
        };
        connection.release();
        let covered = status.last.covers(point);
        self.group.record_status(&self.server.name, started, status);
        covered
    }

    fn not_fresh(&self, reason: &str) -> Failure {
        Failure::not_run(
            FailureKind::NotFresh,
            sqlstate::UNAVAILABLE,
            format!(
                "the data of server {} is not fresh enough: {reason}; retry or allow a higher \
                 siskinhook.max_age",
                self.server.name
            ),
        )
    }
}
