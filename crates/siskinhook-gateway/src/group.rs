//! The servers of one service: current primary, terms, log watermarks, and the choice of a server
//! for reads.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use indexmap::IndexMap;
use siskinhook_telemetry::{Event, event};
use siskinhook_types::{LogPoint, Role, ServerId, ServiceId, Term, Zone};
use tokio::{sync::Notify, time::Instant};

use crate::{
    BootInstant, Counters, Departed, Dialer, GatewaySettings, Instance, Leadership, Member,
    MemberRecord, Report, Service, Watermark, Watermarks,
    commit_evidence::{Commit, CommitEvidence, LISTING_LIFETIME},
    confirmation::Confirmation,
    departures::Departures,
    fleet::Fleet,
    members::RELIANCE_LIFETIME,
    pool::Target,
    write_admission::WriteAdmission,
};

/// Cost factor for a server in another zone, since traffic between zones is charged.
const OTHER_ZONE_FACTOR: f64 = 1.3;
/// Cost factor for a read on the primary, whose slots are needed for writes.
const PRIMARY_FACTOR: f64 = 2.0;
/// Time for which a server may still report that it is not the primary after its promotion was
/// ordered; promotions take up to a second.
const PROMOTION_GRACE: Duration = Duration::from_secs(2);

/// Servers without an entry that are kept, at most; a group has a few servers.
const MAX_UNLISTED: usize = 16;

/// Returns until when nodes may rely on a server without an entry, as of `now` by the table's clock.
fn reliance_end(member: &Member, now: u64) -> BootInstant {
    let confirmed = BootInstant::now().minus(member.idle_for(now));
    confirmed.plus(RELIANCE_LIFETIME)
}

/// The servers of a service.
pub struct Group<D: Dialer> {
    /// Name of the service.
    pub service: ServiceId,
    pub(crate) targets: RefCell<IndexMap<ServerId, Rc<Target<D>>>>,
    /// Servers whose entry is missing although they were reached. They receive no statements of
    /// callers, but may still acknowledge commits with the primary.
    unlisted: RefCell<IndexMap<ServerId, Rc<Target<D>>>>,
    pub(crate) watermarks: RefCell<Watermarks>,
    departures: RefCell<Departures>,
    /// Claims of the primary; `None` if a replaced primary knows at once that it was replaced.
    pub(crate) leadership: Option<RefCell<Leadership>>,
    pub(crate) confirmation: Confirmation,
    /// Admission of writes; `None` if this node replaces no primary.
    pub(crate) admission: Option<WriteAdmission>,
    pub(crate) evidence: CommitEvidence,
    /// Servers without an entry that may hold commits, and since when this process knows that the
    /// entry is missing.
    absent: RefCell<IndexMap<ServerId, BootInstant>>,
    /// Wakes the task that keeps the record of the group's servers.
    pub(crate) members_changed: Notify,
    /// The server that last showed that it is the primary, and the term of its log then.
    last_primary: RefCell<Option<(ServerId, Term)>>,
    /// When this process began to serve the group.
    started: Instant,
    /// Server that this node regards as the primary.
    leader: RefCell<Option<ServerId>>,
    /// Highest term that any server reported.
    pub(crate) term: Cell<Term>,
    /// Highest term in which a server showed that it is the primary, by accepting a write or a
    /// transaction that may write.
    proved_term: Cell<Term>,
    pub(crate) sync_replicas: Cell<usize>,
    max_connections: Cell<usize>,
    /// Consecutive writes without an answer.
    pub(crate) unanswered_writes: Cell<u32>,
    /// Server whose promotion was ordered, and until when it may still deny that it is the primary.
    pending_promotion: RefCell<Option<(ServerId, Instant)>>,
    /// When this node's latest order to promote a server was accepted.
    promotion_ordered_at: Cell<Option<Instant>>,
    /// When the group lost its known primary; `None` while it has one.
    leaderless_since: Cell<Option<Instant>>,
    /// Wakes the failover controller.
    pub(crate) failover_wakeup: Rc<Notify>,
    /// Wakes statements that wait for a primary.
    pub(crate) topology_changed: Notify,
    pub(crate) dialer: Rc<D>,
    pub(crate) fleet: Rc<Fleet>,
    counters: Rc<Counters>,
}

impl<D: Dialer> Group<D> {
    pub(crate) fn new(
        service: ServiceId,
        settings: &Service,
        gateway: GatewaySettings,
        dialer: Rc<D>,
        fleet: Rc<Fleet>,
        counters: Rc<Counters>,
    ) -> Self {
        let mut departures = Departures::new(gateway.abandon_after);
        departures.add_start(BootInstant::now());
        Self {
            service,
            targets: RefCell::default(),
            unlisted: RefCell::default(),
            watermarks: RefCell::default(),
            departures: RefCell::new(departures),
            leadership: gateway.confirm_leader.then(RefCell::default),
            confirmation: Confirmation::default(),
            admission: gateway.replace_primaries.then(WriteAdmission::default),
            evidence: CommitEvidence::default(),
            absent: RefCell::default(),
            members_changed: Notify::new(),
            last_primary: RefCell::default(),
            started: Instant::now(),
            leader: RefCell::default(),
            term: Cell::default(),
            proved_term: Cell::default(),
            sync_replicas: Cell::new(settings.sync_replicas),
            max_connections: Cell::new(settings.connections),
            unanswered_writes: Cell::default(),
            pending_promotion: RefCell::default(),
            promotion_ordered_at: Cell::default(),
            leaderless_since: Cell::new(Some(Instant::now())),
            failover_wakeup: Rc::default(),
            topology_changed: Notify::new(),
            dialer,
            fleet,
            counters,
        }
    }

    pub(crate) fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns for how long this process has served the group; what happened before, it did not see.
    pub(crate) fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    /// Applies changed settings of the service.
    pub(crate) fn configure(&self, settings: &Service) {
        self.sync_replicas.set(settings.sync_replicas);
        self.max_connections.set(settings.connections);
        for target in self.targets.borrow().values() {
            target.set_max_connections(settings.connections);
        }
    }

    /// Adds or updates a server.
    pub(crate) fn upsert(&self, instance: Instance) {
        let id = instance.id.clone();
        let known = self.targets.borrow().get(&id).cloned();
        let same = known.filter(|target| {
            let old = target.instance.borrow();
            old.started == instance.started
                && old.address == instance.address
                && !target.is_retired()
        });
        if same
            .as_ref()
            .is_some_and(|target| *target.instance.borrow() == instance)
        {
            return;
        }
        let is_primary = instance.role == Role::Primary;
        let draining = instance.draining;
        let was_primary = same
            .as_ref()
            .is_some_and(|target| target.instance.borrow().role == Role::Primary);
        event!(
            Event::TargetKnown,
            server = id.as_str(), service = self.service.as_str(), started = instance.started,
            primary = is_primary, draining = draining;
            "the server's entry was added or updated"
        );
        if let Some(target) = same {
            if instance.sequence > target.instance.borrow().sequence {
                target.record_renewal();
            }
            *target.instance.borrow_mut() = instance;
        } else {
            let former = self.relist(&instance);
            let target = self.new_target(instance, self.fleet.clone());
            if let Some(former) = former {
                target.resume(&former);
            }
            if let Some(old) = self.targets.borrow_mut().insert(id.clone(), target) {
                old.retire();
            }
            self.absent.borrow_mut().shift_remove(&id);
            self.members_changed.notify_one();
        }
        // An entry behind which nobody has answered yet may be of another writer, so it does not
        // take the place of a primary that answers.
        let has_answered = self.target(&id).is_some_and(|target| target.has_answered());
        let is_credible = has_answered || self.has_lost_leader();
        if is_primary && !was_primary && is_credible {
            self.leaderless_since.set(None);
            self.set_leader(
                Some(id.clone()),
                "the server's entry says that it is the primary",
            );
        }
        if draining || (!is_primary && self.leader.borrow().as_ref() == Some(&id) && was_primary) {
            self.failover_wakeup.notify_one();
        }
        self.topology_changed.notify_waiters();
    }

    fn new_target(&self, instance: Instance, fleet: Rc<Fleet>) -> Rc<Target<D>> {
        Target::new(
            instance,
            self.max_connections.get(),
            self.dialer.clone(),
            fleet,
            self.counters.clone(),
            self.failover_wakeup.clone(),
        )
    }

    /// Records that a server was the primary in `term`, as another node knew. Once demoted it looks like a
    /// replica, but its log counts as that of the former primary.
    pub(crate) fn record_former(&self, id: &ServerId, term: Term) {
        let mut last_primary = self.last_primary.borrow_mut();
        if last_primary
            .as_ref()
            .is_none_or(|(_, known)| *known <= term)
        {
            *last_primary = Some((id.clone(), term));
        }
    }

    /// Returns the server that was the primary in the latest term that is known.
    pub(crate) fn latest_primary(&self) -> Option<ServerId> {
        let (server, term) = self.last_primary()?;
        (term >= self.term.get()).then_some(server)
    }

    /// Returns when the process of a server started, if it is known.
    pub(crate) fn started(&self, id: &ServerId) -> Option<u64> {
        let unlisted = || self.unlisted.borrow().get(id).cloned();
        let target = self.target(id).or_else(unlisted)?;
        Some(target.instance.borrow().started)
    }

    /// Returns the server that last showed that it is the primary, and the term of its log then.
    pub(crate) fn last_primary(&self) -> Option<(ServerId, Term)> {
        self.last_primary.borrow().clone()
    }

    /// Whether the server was the primary in the latest term that is known.
    pub(crate) fn is_last_primary(&self, id: &ServerId) -> bool {
        self.latest_primary().as_ref() == Some(id)
    }

    /// Records that a server started again under its id without the log that it had.
    pub(crate) fn record_erasure(&self, instance: &Instance) {
        if !self.is_last_primary(&instance.id) {
            let mut departures = self.departures.borrow_mut();
            departures.add_erased(instance.address, BootInstant::now());
        }
        // Its log is not that of the former primary.
        self.last_primary
            .borrow_mut()
            .take_if(|(server, _)| *server == instance.id);
        if self.leader.borrow().as_ref() == Some(&instance.id) {
            self.leaderless_since.set(Some(Instant::now()));
            self.set_leader(None, "it started again without its log");
            self.failover_wakeup.notify_one();
        }
    }

    /// Removes the server of a new entry from those without one. Returns it if it is the same process,
    /// whose log is as it was.
    fn relist(&self, instance: &Instance) -> Option<Rc<Target<D>>> {
        let unlisted = self.unlisted.borrow_mut().shift_remove(&instance.id)?;
        if unlisted.instance.borrow().started != instance.started {
            return None;
        }
        self.departures.borrow_mut().remove(instance.address);
        Some(unlisted)
    }

    /// Keeps a server that was removed, if it was reached and did not announce that it leaves. Its
    /// entry may have lapsed because it does not reach the platform's store.
    fn keep_unlisted(&self, target: &Target<D>) {
        if target.is_draining() || target.outage().is_some() {
            return;
        }
        let instance = target.instance.borrow().clone();
        let id = instance.id.clone();
        // Other nodes do not relay to a server without an entry, so it is reached directly.
        let fleet = Fleet::new(self.fleet.node().clone(), instance.zone.clone());
        let unlisted = self.new_target(instance, Rc::new(fleet));
        unlisted.resume(target);
        self.add_unlisted(id, unlisted);
    }

    fn add_unlisted(&self, id: ServerId, target: Rc<Target<D>>) {
        let mut unlisted = self.unlisted.borrow_mut();
        if unlisted.len() >= MAX_UNLISTED {
            unlisted.shift_remove_index(0);
        }
        unlisted.insert(id, target);
    }

    /// Returns the listed servers that are not regarded as the primary.
    pub(crate) fn replicas(&self) -> Vec<Rc<Target<D>>> {
        let leader = self.leader.borrow();
        let targets = self.targets.borrow();
        let replicas = targets
            .iter()
            .filter(|(id, _)| Some(*id) != leader.as_ref());
        replicas.map(|(_, target)| target.clone()).collect()
    }

    /// Returns the listed servers that a replacement has to count on.
    pub(crate) fn existing_targets(&self) -> Vec<Rc<Target<D>>> {
        let targets = self.targets.borrow();
        let existing = targets.values().filter(|target| target.may_exist());
        existing.cloned().collect()
    }

    /// Returns the entries of the listed servers.
    pub(crate) fn listed(&self) -> Vec<Instance> {
        let targets = self.targets.borrow();
        let instances = targets.values().map(|target| target.instance.borrow());
        instances.map(|instance| instance.clone()).collect()
    }

    /// Records that a server has no entry. Returns since when this process knows that.
    pub(crate) fn record_absence(&self, id: &ServerId) -> BootInstant {
        let mut absent = self.absent.borrow_mut();
        if absent.len() >= MAX_UNLISTED && !absent.contains_key(id) {
            absent.shift_remove_index(0);
        }
        *absent.entry(id.clone()).or_insert_with(BootInstant::now)
    }

    /// Whether the record of the group's servers may account for servers that left.
    pub(crate) fn needs_record(&self) -> bool {
        self.departures.borrow().has_uncovered()
    }

    /// Takes over what the record of the group's servers said when the table's clock showed `now`. Those
    /// without an entry are asked in a replacement, and count as departed unless they answer.
    pub(crate) fn adopt(&self, record: &MemberRecord, now: u64) {
        let recorded: Vec<SocketAddr> = record.members.iter().map(|m| m.address).collect();
        self.departures.borrow_mut().keep_recorded(&recorded);
        let listed = self.listed();
        for member in &record.members {
            // The log of a listed server includes what was at its address.
            let is_known = |instance: &Instance| {
                instance.id == member.server || instance.address == member.address
            };
            if let Some(target) = self.target(&member.server) {
                // Only servers that answered a node are recorded.
                target.record_answer();
            }
            if listed.iter().any(is_known) {
                continue;
            }
            let since = self.record_absence(&member.server);
            let relied_until = reliance_end(member, now);
            // The commits that callers know of are on replicas beside the primary that made them.
            if !self.is_last_primary(&member.server) {
                let mut departures = self.departures.borrow_mut();
                if !departures.contains(member.address) {
                    departures.add(member.address, since);
                }
                departures.extend(member.address, relied_until);
            }
            if self.unlisted.borrow().contains_key(&member.server) {
                continue;
            }
            let instance = Instance {
                id: member.server.clone(),
                service: self.service.clone(),
                address: member.address,
                zone: member.zone.clone(),
                draining: false,
                role: Role::Replica,
                started: member.started,
                sequence: 0,
            };
            let fleet = Fleet::new(self.fleet.node().clone(), instance.zone.clone());
            let target = self.new_target(instance, Rc::new(fleet));
            self.add_unlisted(member.server.clone(), target);
        }
    }

    /// Whether the record names a server that has no entry.
    pub(crate) fn is_absent(&self, member: &Member) -> bool {
        !self.targets.borrow().contains_key(&member.server)
    }

    /// Whether the listed replicas hold all commits that callers know of and that may rest on a server
    /// without an entry, as of `now` by the table's clock: it does not answer this node, and a later
    /// commit than any node could rest on it is on listed replicas.
    pub(crate) fn is_covered(&self, member: &Member, now: u64) -> bool {
        let absent = self.record_absence(&member.server);
        let since = absent.plus(LISTING_LIFETIME).max(reliance_end(member, now));
        let unlisted = self.unlisted.borrow();
        let answers = unlisted
            .get(&member.server)
            .is_some_and(|t| t.outage().is_none());
        !answers && self.evidence.covers(since)
    }

    /// Returns the servers without an entry that may be alive.
    pub(crate) fn unlisted(&self) -> Vec<Rc<Target<D>>> {
        self.unlisted.borrow().values().cloned().collect()
    }

    /// Forgets a server without an entry that does not answer.
    pub(crate) fn forget_unlisted(&self, id: &ServerId) {
        self.unlisted.borrow_mut().shift_remove(id);
    }

    /// Removes a server that left the service.
    pub(crate) fn remove(&self, id: &ServerId) {
        let removed = self.targets.borrow_mut().shift_remove(id);
        let address = removed.as_ref().map(|t| t.instance.borrow().address);
        if let Some(target) = removed {
            self.keep_unlisted(&target);
            target.retire();
            event!(
                Event::TargetGone,
                server = id.as_str(), service = self.service.as_str();
                "the server was removed"
            );
        }
        self.record_absence(id);
        self.members_changed.notify_one();
        let was_primary = self.leader.borrow().as_ref() == Some(id);
        if was_primary {
            let claimant = self.claimant();
            if claimant.is_none() {
                self.leaderless_since.set(Some(Instant::now()));
            }
            self.set_leader(claimant, "the previous primary was removed");
        } else if let Some(address) = address {
            self.departures
                .borrow_mut()
                .add(address, BootInstant::now());
        }
        self.failover_wakeup.notify_one();
    }

    /// Returns a server whose entry says that it is the primary.
    fn claimant(&self) -> Option<ServerId> {
        let targets = self.targets.borrow();
        let claims = |target: &Target<D>| target.instance.borrow().role == Role::Primary;
        let (id, _) = targets.iter().find(|(_, target)| claims(target))?;
        Some(id.clone())
    }

    /// Returns the server with this id.
    pub(crate) fn target(&self, id: &ServerId) -> Option<Rc<Target<D>>> {
        self.targets.borrow().get(id).cloned()
    }

    /// Returns the primary, if this node knows one.
    pub(crate) fn leader(&self) -> Option<Rc<Target<D>>> {
        let id = self.leader.borrow().clone()?;
        self.targets.borrow().get(&id).cloned()
    }

    /// Whether this node regards the server as the primary.
    pub(crate) fn is_leader(&self, target: &Target<D>) -> bool {
        let leader = self.leader.borrow();
        leader.as_ref() == Some(&target.instance.borrow().id)
    }

    /// Whether the primary is in `zone` and reachable.
    pub(crate) fn has_primary_in(&self, zone: &Zone) -> bool {
        self.leader().is_some_and(|leader| {
            leader.outage().is_none() && leader.instance.borrow().zone == *zone
        })
    }

    /// Whether `zone` can acknowledge writes by itself: it has the primary and as many replicas as
    /// a commit needs. Otherwise the other zones replace the primary when `zone` is cut off.
    pub(crate) fn can_commit_in(&self, zone: &Zone) -> bool {
        let targets = self.targets.borrow();
        let usable =
            |target: &&Rc<Target<D>>| target.is_usable() && target.instance.borrow().zone == *zone;
        self.has_primary_in(zone)
            && targets.values().filter(usable).count() > self.sync_replicas.get()
    }

    /// Whether no primary is known, or the known one is not reached or no longer exists.
    pub(crate) fn has_lost_leader(&self) -> bool {
        self.leader()
            .is_none_or(|leader| leader.outage().is_some() || leader.is_retired())
    }

    /// Returns the id of the server that this node regards as the primary.
    #[must_use]
    pub fn leader_id(&self) -> Option<ServerId> {
        self.leader.borrow().clone()
    }

    pub(crate) fn set_leader(&self, id: Option<ServerId>, reason: &str) {
        if *self.leader.borrow() == id {
            return;
        }
        event!(
            Event::LeaderChanged,
            service = self.service.as_str(), server = id.as_deref().unwrap_or("none"),
            term = self.term.get();
            "the primary known to this node changed: {reason}"
        );
        *self.leader.borrow_mut() = id;
        if let Some(admission) = &self.admission {
            admission.reset_held();
        }
        self.unanswered_writes.set(0);
        self.topology_changed.notify_waiters();
    }

    /// Records a log position that a server reported, which may have a newer term.
    pub(crate) fn record_position(&self, point: LogPoint) {
        if point.term > self.term.get() {
            self.term.set(point.term);
        }
    }

    /// Records that a server was the primary at `at`, with the end of its log.
    pub(crate) fn record_primary(&self, target: &Target<D>, at: BootInstant, point: LogPoint) {
        let known = self
            .proved_term
            .replace(self.proved_term.get().max(point.term));
        // The first term that this process sees may have begun before the recorded departures.
        if known > 0 && point.term > known {
            self.departures.borrow_mut().clear();
        }
        self.record_position(point);
        target.record_led_term(point.term);
        if point.term >= self.term.get() {
            let id = target.instance.borrow().id.clone();
            let known = self
                .last_primary
                .replace(Some((id.clone(), point.term)))
                .map(|(server, _)| server);
            if known.is_some_and(|known| known != id) {
                let ordered_at = self.promotion_ordered_at.get();
                // 0 if this node has ordered no promotion.
                let since_order = ordered_at.map_or(0, |at| at.elapsed().as_millis());
                event!(
                    Event::PrimaryProved,
                    service = self.service.as_str(), server = id.as_str(), term = point.term,
                    position = point.position,
                    since_order = since_order,
                    uptime = self.uptime().as_millis();
                    "the server showed that it leads"
                );
            }
            self.leaderless_since.set(None);
            target.last_denial.set(None);
            self.set_leader(Some(id), "it opened a transaction that may write");
        }
        let claim = Watermark { at, point };
        let proved = match &self.leadership {
            Some(leadership) => leadership.borrow_mut().claim(claim),
            None => Some(claim),
        };
        self.add_watermarks(proved);
    }

    /// Records a commit that the primary acknowledged and a replica received, which confirms that the
    /// server led.
    pub(crate) fn record_commit(&self, commit: &Commit<'_, D>) {
        if self.sync_replicas.get() > 0 {
            self.record_confirmation(commit.point.term, commit.sent_at);
        }
    }

    /// Records that a replica of `term` was not paused at `at`.
    pub(crate) fn record_confirmation(&self, term: Term, at: BootInstant) {
        if let Some(leadership) = &self.leadership {
            let proved = leadership.borrow_mut().confirm(term, at);
            self.add_watermarks(proved);
        }
    }

    fn add_watermarks(&self, watermarks: impl IntoIterator<Item = Watermark>) {
        for watermark in watermarks {
            self.watermarks.borrow_mut().add(watermark);
            self.departures.borrow_mut().record_watermark(watermark);
        }
    }

    /// Records a write whose answer did not come, or could not be passed on.
    pub(crate) fn record_unanswered_write(&self) {
        let count = self.unanswered_writes.get().saturating_add(1);
        self.unanswered_writes.set(count);
        self.failover_wakeup.notify_one();
    }

    /// Returns the departed replicas that the choice of a successor must take into account, apart
    /// from those at `reporting` addresses, where the logs are known.
    pub(crate) fn departed(&self, reporting: &[SocketAddr]) -> Departed {
        let now = BootInstant::now();
        let lost = self.lost_duration();
        self.departures.borrow().departed(now, lost, reporting)
    }

    /// Returns the number of servers that were listed since a replacement began and are not among its
    /// reports. They are no departures any more, but their logs are not known.
    pub(crate) fn count_unasked(&self, reports: &[Report]) -> usize {
        let is_counted = |target: &&Rc<Target<D>>| {
            let server = &target.instance.borrow().id;
            let mut known = reports.iter().filter(|r| r.server == *server);
            known.any(|r| r.listed || r.former || r.status.is_some())
        };
        let targets = self.existing_targets();
        targets.iter().filter(|t| !is_counted(t)).count()
    }

    /// Returns the servers that a replacement does not ask although they may hold commits, with the
    /// reason.
    pub(crate) fn not_asked(&self) -> Vec<(Option<ServerId>, Option<SocketAddr>, &'static str)> {
        let mut not_asked = Vec::new();
        for (id, target) in &*self.targets.borrow() {
            if !target.may_exist() {
                let address = target.instance.borrow().address;
                let reason = "its entry does not count, since nobody has answered behind it";
                not_asked.push((Some(id.clone()), Some(address), reason));
            }
        }
        let departures = self.departures.borrow();
        for address in departures.outdated(BootInstant::now(), self.lost_duration()) {
            let reason =
                "its departure does not count any more: the primary has been lost for long";
            not_asked.push((None, address, reason));
        }
        not_asked
    }

    /// Returns for how long the primary has been lost.
    fn lost_duration(&self) -> Duration {
        let outage = self.leader().and_then(|leader| leader.outage());
        let unreached = outage.map_or(Duration::ZERO, |(time, _)| time);
        unreached.max(self.leaderless_duration())
    }

    /// Records that a server accepted the order to become the primary.
    pub(crate) fn record_promotion(&self, id: &ServerId) {
        *self.pending_promotion.borrow_mut() = Some((id.clone(), Instant::now() + PROMOTION_GRACE));
        self.promotion_ordered_at.set(Some(Instant::now()));
        self.set_leader(Some(id.clone()), "its promotion was ordered");
        // Callers do not reach a server without an entry, so it is replaced in turn.
        let is_listed = self.targets.borrow().contains_key(id);
        self.leaderless_since.set((!is_listed).then(Instant::now));
    }

    /// Whether an accepted promotion is so recent that it may not have taken effect yet.
    pub(crate) fn is_promotion_pending(&self) -> bool {
        let pending_promotion = self.pending_promotion.borrow();
        pending_promotion
            .as_ref()
            .is_some_and(|(_, until)| Instant::now() < *until)
    }

    /// Returns for how long writes have been held back at a primary that answers.
    pub(crate) fn held_duration(&self) -> Duration {
        let admission = self.admission.as_ref();
        admission.map_or(Duration::ZERO, |a| a.held_duration(self.term.get()))
    }

    /// Returns for how long the group has had no known primary.
    pub(crate) fn leaderless_duration(&self) -> Duration {
        self.leaderless_since
            .get()
            .map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Records that a server denied being the primary. If it was regarded as the primary, the
    /// server whose last denial is oldest becomes the next candidate; among equals, one whose entry
    /// says that it is the primary.
    pub(crate) fn record_denial(&self, target: &Target<D>) {
        let id = target.instance.borrow().id.clone();
        target.last_denial.set(Some(Instant::now()));
        if self.leader.borrow().as_ref() != Some(&id) {
            return;
        }
        let pending_promotion = self.pending_promotion.borrow().clone();
        if pending_promotion.is_some_and(|(server, until)| server == id && Instant::now() < until) {
            return;
        }
        if self.leaderless_since.get().is_none() {
            self.leaderless_since.set(Some(Instant::now()));
        }
        let next = self
            .targets
            .borrow()
            .iter()
            .filter(|(other, target)| **other != id && target.outage().is_none())
            .min_by_key(|(_, target)| {
                let claims = target.instance.borrow().role == Role::Primary;
                (target.last_denial.get(), !claims)
            })
            .map(|(other, _)| other.clone());
        if next.is_some() {
            self.set_leader(next, "the previous one denied being the primary");
        }
        self.failover_wakeup.notify_one();
    }

    /// Chooses the server for a read: the one with the lowest expected latency, weighted by cost,
    /// among those not tried yet.
    pub(crate) fn choose_reader(&self, zone: &Zone, tried: &[ServerId]) -> Option<Rc<Target<D>>> {
        let leader = self.leader.borrow().clone();
        let targets = self.targets.borrow();
        let cost = |id: &ServerId, target: &Target<D>| {
            let other_zone = target.instance.borrow().zone != *zone;
            let is_primary = Some(id) == leader.as_ref();
            target.expected_latency()
                * if other_zone { OTHER_ZONE_FACTOR } else { 1.0 }
                * if is_primary { PRIMARY_FACTOR } else { 1.0 }
        };
        targets
            .iter()
            .filter(|(id, target)| target.is_usable() && !tried.contains(id))
            .min_by(|(a, x), (b, y)| cost(a, x).total_cmp(&cost(b, y)))
            .map(|(_, target)| target.clone())
    }
}
