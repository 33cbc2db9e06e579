//! Admission of writes on a server: asks whether a replacement of the primary may be pending.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use siskinhook_telemetry::{Event, event};
use siskinhook_types::{Role, ServerId};
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout_at},
};

use crate::{
    Dialer, ServerOp,
    group::Group,
    pool::{Leased, Target},
    write_permit::{PendingReplacement, ReplacementChecks, WritePermit},
};

/// Time limit for one reading of the lease row, and for the status of the primary, while a write
/// waits; many times their usual latency.
const CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which a write on a new connection waits for an answer on an older one; the time of a few
/// statements.
const CONTACT_WAIT: Duration = Duration::from_millis(40);
/// Interval at which such a write looks for the answer.
const CONTACT_INTERVAL: Duration = Duration::from_millis(8);

/// State of a group's admission of writes.
#[derive(Default)]
pub struct WriteAdmission {
    checks: RefCell<ReplacementChecks>,
    /// Wakes the task that reads the lease row.
    requested: Notify,
    /// Wakes the writes that wait for a reading.
    checked: Notify,
    /// Since when writes have been held back at a primary that answers, because its replacement is
    /// pending; `None` if they are not.
    held_since: Cell<Option<Instant>>,
    /// The primary that received the latest write, and why it did.
    latest: RefCell<Option<(ServerId, WritePermit)>>,
}

impl WriteAdmission {
    /// Waits until a write needs a reading of the lease row.
    pub async fn wait_requested(&self) {
        self.requested.notified().await;
    }

    /// Records a reading of the lease row that was requested at `at`.
    pub fn record_check(&self, at: Instant, pending: Option<PendingReplacement>) {
        self.checks.borrow_mut().record(at, pending);
        self.checked.notify_waiters();
    }

    /// Returns for how long writes have been held back at a primary that answers.
    pub fn held_duration(&self) -> Duration {
        let since = self.held_since.get();
        since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Records that the group has another primary, so that nothing is held back any more.
    pub fn reset_held(&self) {
        self.held_since.set(None);
    }

    fn permits<D: Dialer>(&self, target: &Target<D>, running_since: Instant) -> bool {
        self.permit(target, running_since).is_some()
    }

    fn permit<D: Dialer>(&self, target: &Target<D>, running_since: Instant) -> Option<WritePermit> {
        let checks = self.checks.borrow();
        checks.permit(Instant::now(), running_since, target.led_term())
    }

    /// Logs why writes are sent to a primary, if that has changed.
    fn log_permit<D: Dialer>(&self, target: &Target<D>, running_since: Instant) {
        let Some(permit) = self.permit(target, running_since) else {
            return;
        };
        let instance = target.instance.borrow();
        let current = Some((instance.id.clone(), permit));
        if self.latest.replace(current.clone()) != current {
            event!(
                Event::PermitChanged,
                service = instance.service.as_str(), server = instance.id.as_str(),
                permit:? = permit, led_term = target.led_term(),
                pending:? = self.checks.borrow().pending_term(),
                running = running_since.elapsed().as_millis();
                "writes to the primary are sent for another reason"
            );
        }
    }
}

impl<D: Dialer> Group<D> {
    /// Whether a write may be sent on this connection. Reads the failover lease row if that is
    /// needed to tell. Connections through a relay are checked by the relaying node.
    pub(crate) async fn admits_write(&self, leased: &Leased<D>, deadline: Instant) -> bool {
        let (Some(admission), Some(running_since)) = (&self.admission, leased.running_since())
        else {
            return true;
        };
        let Some(target) = leased.target() else {
            return true;
        };
        let mut running_since = running_since;
        let contact_limit = deadline.min(Instant::now() + CONTACT_WAIT);
        // An older connection that answers shows that the process has been running for longer. That
        // spares a reading of the row for each connection opened under load.
        while !admission.permits(target, running_since)
            && target.is_shared()
            && Instant::now() + CONTACT_INTERVAL < contact_limit
        {
            sleep(CONTACT_INTERVAL).await;
            running_since = leased.running_since().unwrap_or(running_since);
        }
        let permitted = admission.permits(target, running_since)
            || self
                .check_replacement(admission, target, running_since, deadline)
                .await;
        if permitted {
            admission.held_since.set(None);
            admission.log_permit(target, running_since);
            return true;
        }
        // An outage of the table service does not show that a replacement was begun.
        let is_pending = admission.checks.borrow().needs_term(running_since);
        if is_pending && admission.held_since.get().is_none() {
            admission.held_since.set(Some(Instant::now()));
            let server = target.instance.borrow().id.clone();
            event!(
                Event::WritesHeld,
                service = self.service.as_str(), server = server.as_str(),
                term = self.term.get(), led_term = target.led_term(),
                running = running_since.elapsed().as_millis();
                "holding writes back: the primary may have restarted during its replacement"
            );
        }
        false
    }

    /// Has the lease row read and, if a replacement may be pending, asks the primary for its term.
    /// Returns whether the primary may receive writes.
    async fn check_replacement(
        &self,
        admission: &WriteAdmission,
        target: &Rc<Target<D>>,
        running_since: Instant,
        deadline: Instant,
    ) -> bool {
        if admission
            .checks
            .borrow()
            .is_recently_pending(Instant::now())
        {
            return false;
        }
        let limit = deadline.min(Instant::now() + CHECK_TIMEOUT);
        let checked = admission.checked.notified();
        admission.requested.notify_one();
        if timeout_at(limit, checked).await.is_err() {
            return false;
        }
        if admission.permits(target, running_since) {
            return true;
        }
        if !admission.checks.borrow().needs_term(running_since) {
            return false;
        }
        let limit = deadline.min(Instant::now() + CHECK_TIMEOUT);
        let reply = target.send_control(&ServerOp::Status, limit).await;
        let status = reply.and_then(|reply| self.dialer.status(&reply));
        match status {
            Some(status) if status.role == Role::Primary => target.record_led_term(status.term),
            Some(_) => self.record_denial(target),
            None => {}
        }
        admission.permits(target, running_since)
    }
}
