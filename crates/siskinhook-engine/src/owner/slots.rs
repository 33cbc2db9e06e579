//! Execution slots of a server: drives the queue state machine of `siskinhook-policy`.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::Instant,
};

use indexmap::IndexMap;
use siskinhook_policy::{Load, SlotAction, SlotQueue, SlotSettings, Ticket};
use siskinhook_types::{Class, Failure, Limits, Request};
use tokio::sync::{Notify, oneshot};
use tokio_util::sync::CancellationToken;

use crate::{
    Counters,
    clock::{now, sleep_until},
    core::deadline_passed,
    counters::{add, count},
};

struct State {
    queue: SlotQueue,
    waiting: IndexMap<u64, oneshot::Sender<bool>>,
    /// When the timer task wakes up next, or `None` if it waits for a notification only.
    wakeup_at: Option<Instant>,
}

/// The execution slots of one server and the queue of statements that wait for one.
pub struct Slots {
    state: Mutex<State>,
    wakeup: Notify,
    next_id: AtomicU64,
    counters: Arc<Counters>,
}

/// A slot, or a place in the queue. Dropping it without calling `finish` frees it.
pub struct Slot {
    slots: Arc<Slots>,
    id: u64,
    finished: bool,
}

impl Slots {
    /// Creates the slots and starts the task that expires queued statements.
    pub fn start(limits: &Limits, counters: Arc<Counters>, stop: CancellationToken) -> Arc<Self> {
        let settings = SlotSettings {
            slots: limits.slots,
            queue: limits.queue,
            ..SlotSettings::default()
        };
        let slots = Arc::new(Self {
            state: Mutex::new(State {
                queue: SlotQueue::new(settings),
                waiting: IndexMap::new(),
                wakeup_at: None,
            }),
            wakeup: Notify::new(),
            next_id: AtomicU64::new(1),
            counters,
        });
        tokio::spawn(slots.clone().run_timer(stop));
        slots
    }

    /// Returns the current load of the server.
    pub fn load(&self) -> Load {
        self.lock().queue.load(now())
    }

    /// Waits for a slot.
    ///
    /// # Errors
    /// Fails when the queue refuses the statement, or when its deadline passes in the queue.
    pub async fn acquire(
        self: &Arc<Self>,
        request: &Request,
        pinned: bool,
    ) -> Result<Slot, Failure> {
        let started = now();
        let id = self.next_id.fetch_add(1, Relaxed);
        let ticket = Ticket {
            id,
            caller: request.caller.clone(),
            class: request.class,
            fingerprint: fingerprint(&request.statement.sql),
            deadline: request.deadline,
            pinned,
        };
        let (sender, receiver) = oneshot::channel();
        {
            let mut state = self.lock();
            state.queue.push(ticket, started)?;
            state.waiting.insert(id, sender);
            state.dispatch();
            let next = state.queue.next_deadline();
            if next.is_some_and(|next| state.wakeup_at.is_none_or(|wakeup_at| next < wakeup_at)) {
                self.wakeup.notify_one();
            }
        }
        let slot = Slot {
            slots: self.clone(),
            id,
            finished: false,
        };
        let granted = receiver.await.unwrap_or(false);
        self.record_wait(request.class, started);
        if granted {
            Ok(slot)
        } else {
            Err(deadline_passed("a slot"))
        }
    }

    fn record_wait(&self, class: Class, started: Instant) {
        let waited = now().saturating_duration_since(started);
        let micros = u64::try_from(waited.as_micros()).unwrap_or(u64::MAX);
        let (waits, sum) = match class {
            Class::Short => (&self.counters.short_waits, &self.counters.short_wait_micros),
            Class::Long => (&self.counters.long_waits, &self.counters.long_wait_micros),
        };
        count(waits);
        add(sum, micros);
    }

    /// Expires statements that waited past their deadline.
    async fn run_timer(self: Arc<Self>, stop: CancellationToken) {
        loop {
            let next = {
                let mut state = self.lock();
                state.dispatch();
                state.wakeup_at = state.queue.next_deadline();
                state.wakeup_at
            };
            // Without a deadline there is nothing to expire until the next push.
            let timer = async {
                match next {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                () = self.wakeup.notified() => {}
                () = timer => {}
                () = stop.cancelled() => {
                    // Statements in flight on a retired owner still use the queue, so the task
                    // ends only once no statement waits.
                    if self.lock().queue.next_deadline().is_none() {
                        return;
                    }
                    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                }
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn dispatch(&mut self) {
        for action in self.queue.poll(now()) {
            let (id, granted) = match action {
                SlotAction::Start(id) => (id, true),
                SlotAction::Expire(id) => (id, false),
            };
            if let Some(sender) = self.waiting.swap_remove(&id) {
                // If the waiter is gone, dropping its `Slot` frees the slot.
                let _ = sender.send(granted);
            }
        }
    }
}

impl Slot {
    /// Frees the slot and records the statement's run time.
    pub fn finish(mut self) {
        self.finished = true;
        let mut state = self.slots.lock();
        state.queue.finish(self.id, now());
        state.dispatch();
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let mut state = self.slots.lock();
        state.waiting.swap_remove(&self.id);
        state.queue.cancel(self.id);
        state.dispatch();
    }
}

/// Hashes a statement text. `DefaultHasher::new` uses fixed keys, so that runs are repeatable.
fn fingerprint(sql: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    sql.hash(&mut hasher);
    hasher.finish()
}
