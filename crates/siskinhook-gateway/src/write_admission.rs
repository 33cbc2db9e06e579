//! Admission of writes on a server: asks whether a replacement of the primary may be pending.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use siskinhook_telemetry::{Event, event};
use siskinhook_types::{Role, ServerId, Term};
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
/// Minimum time between two readings of the row for the same replica process, while commits wait for
/// evidence. Every reading is charged.
const WITNESS_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between two questions to a primary for its term, which take a slot of the server.
const TERM_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which such a write looks for the answer.
const CONTACT_INTERVAL: Duration = Duration::from_millis(8);

/// A replica whose log does not count as evidence of commits.
struct DoubtedWitness {
    server: ServerId,
    /// Time since which its process has certainly been running.
    running_since: Instant,
}

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
    /// The latest replica whose log did not count as evidence, until it does.
    doubted: RefCell<Option<DoubtedWitness>>,
    /// When the latest reading of the row for a replica was requested.
    witness_read_at: Cell<Option<Instant>>,
    /// When a primary was last asked for its term.
    term_asked: Cell<Option<Instant>>,
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

    /// Returns for how long writes have been held back at a primary that answers, in the latest known
    /// `term`. A pending replacement of an earlier term was completed.
    pub fn held_duration(&self, term: Term) -> Duration {
        let pending = self.checks.borrow().pending_term();
        let since = self.held_since.get().filter(|_| pending >= Some(term));
        since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Records that the group has another primary, so that nothing is held back any more.
    pub fn reset_held(&self) {
        self.held_since.set(None);
    }

    /// Records a replica whose log does not count as evidence. A reading for each process suffices,
    /// unless a commit waits: every reading is charged.
    fn doubt_witness(&self, doubt: DoubtedWitness, is_needed: bool) {
        let read_at = self.witness_read_at.get();
        if is_needed && read_at.is_none_or(|at| at < doubt.running_since) {
            self.read_for_witness();
        }
        *self.doubted.borrow_mut() = Some(doubt);
    }

    fn read_for_witness(&self) {
        self.witness_read_at.set(Some(Instant::now()));
        self.requested.notify_one();
    }

    /// Records that the log of a replica counts as evidence.
    fn trust_witness(&self, server: &ServerId) {
        let mut doubted = self.doubted.borrow_mut();
        doubted.take_if(|doubt| doubt.server == *server);
    }

    /// Has the row read again because a commit waits for evidence, if the log of a replica does not
    /// count for want of a reading.
    pub fn await_witness(&self) {
        let read_at = self.witness_read_at.get();
        let is_due = read_at.is_none_or(|at| at.elapsed() >= WITNESS_INTERVAL);
        if is_due && self.doubted.borrow().is_some() {
            self.read_for_witness();
        }
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
                pending = self.checks.borrow().pending_term().unwrap_or_default(),
                running = running_since.elapsed().as_millis();
                "writes to the primary are sent for another reason"
            );
        }
    }
}

impl<D: Dialer> Group<D> {
    /// Whether the log that a replica reported in `term`, when it was asked at `sent_at` over this
    /// connection, counts as evidence of commits. If it does not, the lease row is read. A relaying
    /// node may have connected anew, so its replies show no process and do not count.
    pub(crate) fn admits_witness(&self, leased: &Leased<D>, sent_at: Instant, term: Term) -> bool {
        let Some(admission) = &self.admission else {
            return true;
        };
        let (Some(target), Some(running_since)) = (leased.target(), leased.running_since()) else {
            return false;
        };
        let server = target.instance.borrow().id.clone();
        let checks = admission.checks.borrow();
        // The replica's log ends in a former term until the first commit of a new one.
        let latest = term.max(self.term.get());
        if checks.admits_witness(sent_at, running_since, latest) {
            target.set_witness(true);
            admission.trust_witness(&server);
            return checks.admits_witness(sent_at, running_since, term);
        }
        // Otherwise an older connection soon shows that the process has been running for longer.
        let is_certain = !target.is_shared();
        if is_certain {
            target.set_witness(false);
        }
        // The logs of other replicas may suffice until the process has outlived all replacements.
        let is_needed = is_certain && self.lacks_witnesses();
        let doubt = DoubtedWitness {
            server,
            running_since,
        };
        admission.doubt_witness(doubt, is_needed);
        false
    }

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
        let reason = "holding writes back: the primary may have restarted during its replacement";
        self.hold_writes(admission, target, running_since, reason);
        false
    }

    /// Records that writes are held back because the logs of the replicas do not count as evidence.
    pub(crate) fn hold_unwitnessed(&self, primary: &Target<D>) {
        let Some(admission) = &self.admission else {
            return;
        };
        let doubted = admission.doubted.borrow();
        if let Some(doubt) = doubted.as_ref() {
            let reason = "holding writes back: a replica may have restarted during a replacement";
            self.hold_writes(admission, primary, doubt.running_since, reason);
        }
    }

    /// Records that writes are held back at the primary if a replacement is pending that began before a
    /// process may have started. Other nodes may relay writes to a server that does not lead; that says
    /// nothing about the primary.
    fn hold_writes(
        &self,
        admission: &WriteAdmission,
        target: &Target<D>,
        running_since: Instant,
        reason: &str,
    ) {
        // An outage of the table service does not show that a replacement was begun.
        let is_pending = admission.checks.borrow().needs_term(running_since);
        if is_pending && self.is_leader(target) && admission.held_since.get().is_none() {
            admission.held_since.set(Some(Instant::now()));
            let server = target.instance.borrow().id.clone();
            event!(
                Event::WritesHeld,
                service = self.service.as_str(), server = server.as_str(),
                term = self.term.get(), led_term = target.led_term(),
                running = running_since.elapsed().as_millis();
                "{reason}"
            );
        }
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
        let is_recent = admission
            .checks
            .borrow()
            .is_recently_pending(Instant::now());
        if !is_recent {
            let limit = deadline.min(Instant::now() + CHECK_TIMEOUT);
            let checked = admission.checked.notified();
            admission.requested.notify_one();
            if timeout_at(limit, checked).await.is_err() {
                return false;
            }
            if admission.permits(target, running_since) {
                return true;
            }
        }
        // A recent reading may have been for a replica, so the term was not asked for then.
        if admission.checks.borrow().needs_term(running_since) {
            self.ask_term(admission, target, deadline).await;
        }
        admission.permits(target, running_since)
    }

    /// Asks the primary for its term if replicas may be of a later one than a pending replacement, and
    /// no server has shown such a term.
    pub(crate) async fn learn_term(&self) {
        let (Some(admission), Some(primary)) = (&self.admission, self.leader()) else {
            return;
        };
        let pending = admission.checks.borrow().pending_term();
        if pending.is_some_and(|term| self.term.get() <= term) {
            let deadline = Instant::now() + CHECK_TIMEOUT;
            self.ask_term(admission, &primary, deadline).await;
        }
    }

    async fn ask_term(
        &self,
        admission: &WriteAdmission,
        target: &Rc<Target<D>>,
        deadline: Instant,
    ) {
        let asked_at = admission.term_asked.get();
        if asked_at.is_some_and(|at| at.elapsed() < TERM_INTERVAL) {
            return;
        }
        admission.term_asked.set(Some(Instant::now()));
        let limit = deadline.min(Instant::now() + CHECK_TIMEOUT);
        let reply = target.send_control(&ServerOp::Status, limit).await;
        let status = reply.and_then(|reply| self.dialer.status(&reply));
        match status {
            Some(status) if status.role == Role::Primary => {
                target.record_led_term(status.term);
                self.term.set(self.term.get().max(status.term));
            }
            Some(_) => self.record_denial(target),
            None => {}
        }
    }
}
