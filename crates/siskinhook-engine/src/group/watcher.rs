//! Drives the state machine of a group, which decides on polls, failover and repair.

use std::{
    sync::{Arc, Weak},
    time::Instant,
};

use futures::{StreamExt, stream::FuturesUnordered};
use serde_json::json;
use siskinhook_policy::{FailoverTrace, LeaseAnswer, WatchAction};
use siskinhook_types::{
    Batch, CommitOutcome, Condition, Control, Platform, RowWrite, ServerId, ServerStatus, Targets,
    Term,
};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::Group;
use crate::{
    EngineEvent,
    clock::{millis, now, sleep_until, until},
    counters::{add, count},
};

/// An input of the state machine.
#[derive(Debug)]
pub enum Input {
    /// A request needs an anchor made at or after the instant.
    AnchorNeeded(Instant),
    /// The status of a server, which was requested at `started`.
    Status {
        server: ServerId,
        started: Instant,
        status: ServerStatus,
    },
    /// A probe that was sent at `started` failed.
    Failed { server: ServerId, started: Instant },
    /// The answer to a control command that was sent at `started`.
    Control {
        server: ServerId,
        command: Control,
        answer: Result<ServerStatus, ()>,
        started: Instant,
    },
    /// The platform's answer to the claim of a term.
    Lease { term: Term, answer: LeaseAnswer },
}

/// Runs the state machine of a group until `stop` is cancelled or the group is dropped.
pub async fn run<T: Targets, P: Platform>(
    group: Weak<Group<T>>,
    platform: P,
    mut inputs: mpsc::UnboundedReceiver<Input>,
    stop: CancellationToken,
) {
    let mut work = FuturesUnordered::new();
    let mut input = None;
    loop {
        let tick = {
            let Some(group) = group.upgrade() else { return };
            for action in group.apply(input.take()) {
                work.push(perform(group.clone(), platform.clone(), action));
            }
            group.announce_anchor();
            group.watch().next_tick(now())
        };
        input = tokio::select! {
            biased;
            () = stop.cancelled() => return,
            input = inputs.recv() => input,
            Some(input) = work.next() => input,
            () = sleep_until(tick) => None,
        };
    }
}

impl<T: Targets> Group<T> {
    fn apply(&self, input: Option<Input>) -> Vec<WatchAction> {
        let at = now();
        let mut watch = self.watch();
        let Some(input) = input else {
            return watch.tick(at);
        };
        match input {
            Input::AnchorNeeded(since) => watch.request_anchor(since, at),
            Input::Status {
                server,
                started,
                status,
            } => watch.on_status(&server, started, status, at),
            Input::Failed { server, started } => watch.on_failure(&server, started, at),
            Input::Control {
                server,
                command,
                answer,
                started,
            } => watch.on_control(&server, &command, answer, started, at),
            Input::Lease { term, answer } => watch.on_lease(term, answer, at),
        }
    }

    /// Publishes the newest anchor to the requests that wait for one.
    fn announce_anchor(&self) {
        let newest = self.anchor();
        self.anchor.send_if_modified(|anchor| {
            let changed = *anchor != newest;
            *anchor = newest;
            changed
        });
    }

    /// Logs a change of the primary. If this node made the promotion, also counts it and reports
    /// it to the audit trail.
    fn primary_changed(&self, primary: Option<&(ServerId, Term)>, trace: Option<FailoverTrace>) {
        let database = self.database.as_str();
        match primary {
            Some((server, term)) => log::info!(target: "siskinhook::engine", event = 2010,
                database = database, server = server.as_str(), term = *term;
                "the primary of the group is known"),
            None => log::warn!(target: "siskinhook::engine", event = 2011, database = database;
                "the group has no known primary"),
        }
        let Some(trace) = trace else { return };
        let total = trace.detection + trace.claim + trace.fencing + trace.promotion;
        count(&self.core.counters.promotions);
        add(&self.core.counters.failover_gap_millis, millis(total));
        log::warn!(target: "siskinhook::engine", event = 2012, database = database,
            detection = millis(trace.detection), claim = millis(trace.claim),
            fencing = millis(trace.fencing), promotion = millis(trace.promotion);
            "this node promoted a new primary; phases in milliseconds");
        if let Some((server, term)) = primary {
            // Sending fails when nothing records the audit trail, which is not an error.
            let _ = self.core.events.send(EngineEvent::Promoted {
                database: self.database.clone(),
                server: server.clone(),
                term: *term,
                trace,
            });
        }
    }
}

/// Performs an action of the state machine and returns the resulting input, if any.
async fn perform<T: Targets, P: Platform>(
    group: Arc<Group<T>>,
    platform: P,
    action: WatchAction,
) -> Option<Input> {
    let started = now();
    match action {
        WatchAction::Probe {
            server,
            fresh_connection,
        } => Some(group.probe(server, fresh_connection, started).await),
        WatchAction::Control { server, command } => {
            let answer = group.control(&server, &command).await.map_err(|_| ());
            Some(Input::Control {
                server,
                command,
                answer,
                started,
            })
        }
        WatchAction::Lease { term } => {
            let lease_deadline = started + group.core.settings.platform_timeout;
            let answer = until(lease_deadline, group.claim(&platform, term)).await;
            let answer = answer.unwrap_or(LeaseAnswer::Unavailable);
            Some(Input::Lease { term, answer })
        }
        WatchAction::PrimaryChanged { primary, trace } => {
            group.primary_changed(primary.as_ref(), trace);
            None
        }
    }
}

impl<T: Targets> Group<T> {
    async fn probe(&self, server: ServerId, fresh: bool, started: Instant) -> Input {
        count(&self.core.counters.polls);
        let reply_deadline = started + self.core.settings.probe_timeout;
        let command = Control::Status;
        let answer = match self.connections(&server) {
            Ok(pair) if fresh => pair.control.send_on_new(&command, reply_deadline).await,
            Ok(pair) => pair.control.send(&command, reply_deadline).await,
            Err(failure) => Err(failure),
        };
        match answer {
            Ok(status) => Input::Status {
                server,
                started,
                status,
            },
            Err(_) => Input::Failed { server, started },
        }
    }

    /// Claims a term in the platform's table, so that two promoters do not compete. The row is
    /// only a hint: the terms stored on the servers decide.
    async fn claim<P: Platform>(&self, platform: &P, term: Term) -> LeaseAnswer {
        let key = smol_str::format_smolstr!("promotion/{}", self.database);
        let Ok(row) = platform.get(&key).await else {
            return LeaseAnswer::Unavailable;
        };
        let claimed = row.as_ref().and_then(|row| row.value.get("term")?.as_u64());
        if claimed.is_some_and(|claimed| claimed >= term) {
            return LeaseAnswer::Held;
        }
        let node = self.core.identity.node.as_str();
        let batch = Batch {
            conditions: vec![Condition {
                key: key.clone(),
                version: row.map_or(0, |row| row.version),
            }],
            writes: vec![RowWrite {
                key,
                value: Some(json!({ "node": node, "term": term })),
            }],
        };
        match platform.commit(batch).await {
            Ok(CommitOutcome::Applied) => LeaseAnswer::Granted,
            Ok(CommitOutcome::Conflict { .. }) => LeaseAnswer::Held,
            Err(_) => LeaseAnswer::Unavailable,
        }
    }
}
