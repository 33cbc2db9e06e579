//! The table of numbered events.

use log::Level;

/// Number, level and explanation of an event.
#[derive(Clone, Copy, Debug)]
pub struct EventInfo {
    /// The event.
    pub event: Event,
    /// Level that it is logged at.
    pub level: Level,
    /// Name, in lower case with underscores.
    pub name: &'static str,
    /// What it means.
    pub meaning: &'static str,
    /// What an operator does.
    pub action: &'static str,
}

impl Event {
    /// Returns the number of the event.
    #[must_use]
    pub const fn number(self) -> u64 {
        self as u64
    }

    /// Returns level and explanation of the event.
    #[must_use]
    pub fn info(self) -> &'static EventInfo {
        &EVENTS[self.index()]
    }
}

/// Declares the enum and the table from one list, so that they cannot differ.
macro_rules! events {
    ($($event:ident = $number:literal, $level:ident, $name:literal, $meaning:literal, $action:literal;)*) => {
        /// A numbered event: 1000 node, 2000 engine and failover, 3000 fleet and catalogue, 4000
        /// front end, 5000 platform, 6000 operators. Numbers are never given to another event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        #[repr(u64)]
        pub enum Event {
            $(#[doc = $meaning] $event = $number,)*
        }

        /// All events, in the order of their numbers.
        pub const EVENTS: &[EventInfo] = &[
            $(EventInfo {
                event: Event::$event,
                level: Level::$level,
                name: $name,
                meaning: $meaning,
                action: $action,
            },)*
        ];

        impl Event {
            const fn index(self) -> usize {
                enum Index { $($event,)* }
                match self { $(Self::$event => Index::$event as usize,)* }
            }
        }
    };
}

events! {
    NodeStarted = 1001, Info, "node_started",
        "The node started and listens.",
        "Nothing.";
    SettingsRefused = 1002, Error, "settings_refused",
        "The settings have faults; the node does not start.",
        "Correct the lines named in the message; `siskinhook check` shows them without starting.";
    NodeReady = 1003, Info, "node_ready",
        "The node has a catalogue and serves callers.",
        "Nothing.";
    NodeWaiting = 1004, Warn, "node_waiting",
        "The node cannot serve yet; the message says what it waits for.",
        "If it lasts, check the platform and that other nodes can be reached.";
    NodeDraining = 1005, Info, "node_draining",
        "The node announced that it is leaving and finishes the requests in progress.",
        "Nothing; `siskinctl undrain` takes it back while the process runs.";
    NodeDrained = 1006, Info, "node_drained",
        "All requests in progress are finished.",
        "The VM can be stopped.";
    DrainDeadline = 1007, Warn, "drain_deadline",
        "The drain deadline passed with requests in progress, which are cut off.",
        "Raise drain.deadline if long work must finish, or drain at a quieter time.";
    NodeStopped = 1008, Info, "node_stopped",
        "The process ends.",
        "Nothing.";
    NodePaused = 1009, Warn, "node_paused",
        "The node did not run for longer than the suspicion timeout and gave up its servers.",
        "Look for overload or migration of the VM if it repeats.";
    ListenFailed = 1010, Error, "listen_failed",
        "An address of the settings cannot be listened on.",
        "Correct the address, or stop the process that holds the port.";
    LinesSuppressed = 1090, Warn, "lines_suppressed",
        "Lines of one event came faster than log.burst; `suppressed` of them were not written.",
        "Read the event with number `of`; the metrics count all of them.";

    PrimaryDead = 2001, Warn, "primary_dead",
        "The primary answered neither probes nor replicas within the timeout.",
        "Nothing; a promotion follows. Find out what happened to the server.";
    PromotionStarted = 2002, Warn, "promotion_started",
        "This node raises the term of a group in order to promote a server.",
        "Nothing.";
    PromotionDone = 2003, Warn, "promotion_done",
        "A server became primary in a new term.",
        "Replace the lost server; add the new one first, then remove the old one.";
    PromotionFailed = 2004, Error, "promotion_failed",
        "A promotion did not reach a majority or was overtaken by a higher term.",
        "Nothing if a promotion_done of a higher term follows; else bring servers back.";
    PromotionDeferred = 2005, Info, "promotion_deferred",
        "Another node holds the promotion row, so this one waits.",
        "Nothing.";
    PromotionAlone = 2006, Warn, "promotion_alone",
        "The platform's table did not respond in time; the node promotes after its rank delay.",
        "Nothing; terms keep two promoters apart.";
    NoMajority = 2007, Error, "no_majority",
        "No majority of a group can be reached; writes are refused.",
        "Restore the network or the servers; nothing can be promoted safely until then.";
    ServerFollows = 2008, Info, "server_follows",
        "A server with an older term or another primary was told to follow the primary.",
        "Nothing.";
    OwnerLocked = 2020, Info, "owner_locked",
        "This node holds the owner lock of a server and opens data connections.",
        "Nothing.";
    OwnerWaits = 2021, Warn, "owner_waits",
        "The owner lock of a server is held by a node that is still alive.",
        "Nothing if owner_locked follows within seconds; else compare the members of both nodes.";
    HolderTerminated = 2022, Warn, "holder_terminated",
        "The connections of the former owner of a server were terminated.",
        "Nothing.";
    OwnerLockLost = 2023, Warn, "owner_lock_lost",
        "This node lost the owner lock and closed its data connections.",
        "Nothing.";
    ConnectionHung = 2030, Warn, "connection_hung",
        "A server connection was silent while a new one answered; it was closed.",
        "Look at the network path to the server if it repeats.";
    ConnectionLost = 2031, Warn, "connection_lost",
        "A server connection broke; statements on it are resolved.",
        "Look at the server's log if it repeats.";
    ConnectionLimit = 2032, Error, "connection_limit",
        "A server refused a connection within the limit of its entry.",
        "Find who else uses the server, or lower the limit in the entry.";
    ReplicaBehind = 2040, Warn, "replica_behind",
        "A replica is too far behind for the reads that ask for it; they go elsewhere.",
        "Look at the replica's load and its replication.";
    ReplicaBack = 2041, Info, "replica_back",
        "A replica that was behind serves reads again.",
        "Nothing.";
    WriteUnconfirmed = 2050, Warn, "write_unconfirmed",
        "A write was not confirmed by a majority in time; the caller was told that it may have run.",
        "Nothing; callers with a request id get the outcome.";
    OutcomeFound = 2051, Info, "outcome_found",
        "The outcome of a request that may have run was determined by its request id.",
        "Nothing.";
    OutcomeUnknown = 2052, Warn, "outcome_unknown",
        "The outcome of a request that may have run could not be determined in time.",
        "The caller repeats it with the same request id.";
    OverloadBegan = 2060, Warn, "overload_began",
        "Work for a server is refused because the expected wait is too long.",
        "Look at refusals and waits; raise limits only if the server has room.";
    OverloadEnded = 2061, Info, "overload_ended",
        "Work for a server is accepted again.",
        "Nothing.";
    LongWork = 2062, Info, "long_work",
        "A statement was learnt to be long and now leaves one slot to short work.",
        "State its class in the client if this is wrong.";
    RetriesExhausted = 2063, Warn, "retries_exhausted",
        "The retry budget is used up; failures are reported to callers at once.",
        "Look for the failure that causes the retries.";
    TargetLeaving = 2070, Info, "target_leaving",
        "A server is marked as leaving and gets no new work.",
        "Nothing; wait for target_drained before it is stopped.";
    TargetDrained = 2071, Info, "target_drained",
        "A leaving server has no work in progress.",
        "The server can be stopped.";
    LinkLost = 2080, Warn, "link_lost",
        "A link to another node broke during a request.",
        "Look at the other node and the network if it repeats.";
    LinkProtocol = 2081, Error, "link_protocol",
        "A node sent a message that does not fit the exchange; the link was closed.",
        "Check that all nodes run compatible versions.";

    MemberJoined = 3001, Info, "member_joined",
        "A node joined the fleet.",
        "Nothing.";
    MemberSuspect = 3002, Warn, "member_suspect",
        "A node did not answer direct and indirect probes.",
        "Nothing; member_alive or member_dead follows.";
    MemberDead = 3003, Warn, "member_dead",
        "A suspected node did not refute in time; others take over its servers.",
        "Nothing; the platform replaces the VM.";
    MemberLeaving = 3004, Info, "member_leaving",
        "A node announced that it is leaving.",
        "Nothing.";
    MemberAlive = 3005, Info, "member_alive",
        "A suspected node answered again.",
        "Look at its load and network if it repeats.";
    CutOff = 3006, Error, "cut_off",
        "This node reaches less than half of the nodes that it knows.",
        "Look at the network of the zone. The zone serves what it can by itself.";
    Reconnected = 3007, Info, "reconnected",
        "This node reaches most of the fleet again.",
        "Nothing.";
    ServerGained = 3010, Info, "server_gained",
        "This node became owner of a server.",
        "Nothing.";
    ServerReleased = 3011, Info, "server_released",
        "This node is no longer owner of a server.",
        "Nothing.";
    CatalogueApplied = 3020, Info, "catalogue_applied",
        "A revision of the catalogue is in force on this node.",
        "Nothing.";
    CatalogueBehind = 3021, Warn, "catalogue_behind",
        "This node knows of a later revision and could not get the changes yet.",
        "If it lasts over ten seconds, look at the platform and the peers.";
    CatalogueMissing = 3022, Error, "catalogue_missing",
        "Neither a peer nor the platform has given this node a catalogue.",
        "Restore the platform or the path to a node that has a catalogue.";
    CatalogueLoaded = 3023, Info, "catalogue_loaded",
        "A new node got its catalogue from the platform or from a peer.",
        "Nothing.";
    PeerRefused = 3030, Warn, "peer_refused",
        "A connection of another node did not prove the shared secret.",
        "Check the secret of the node named; unknown addresses are a security matter.";
    SnapshotUnreadable = 3040, Warn, "snapshot_unreadable",
        "A catalogue snapshot is missing or damaged; all changes are read instead.",
        "Nothing; the next snapshot replaces it.";
    SnapshotNotWritten = 3041, Warn, "snapshot_not_written",
        "A catalogue snapshot could not be written; the edit itself was accepted.",
        "Nothing; the next edit tries again.";
    AuditWaiting = 3050, Warn, "audit_waiting",
        "Audit records of this node wait because the platform cannot be written.",
        "Restore the platform before the node is stopped, or these records are lost.";
    AuditDropped = 3051, Error, "audit_dropped",
        "The queue of audit records was full and the oldest was dropped.",
        "Keep the log of the node: it holds the same events.";

    CallerConnected = 4001, Debug, "caller_connected",
        "A caller logged in.",
        "Nothing.";
    LoginRefused = 4002, Warn, "login_refused",
        "A caller gave a wrong user or password.",
        "Check the credentials of the caller; repeated attempts are a security matter.";
    CallerProtocol = 4003, Warn, "caller_protocol",
        "A caller broke the protocol and was disconnected.",
        "Look at the client library of the caller.";
    CallerLimit = 4004, Error, "caller_limit",
        "The node has as many caller connections as it may have.",
        "Check the load balancer; add nodes or raise requests.connections.";
    CallerSlow = 4005, Warn, "caller_slow",
        "A caller reads its response slowly and holds a slot or a connection.",
        "Look at the caller.";
    IdleTransaction = 4006, Warn, "idle_transaction",
        "A transaction was idle for too long and was rolled back.",
        "Look at the caller: it holds a server connection during the pause.";
    SessionResumed = 4007, Debug, "session_resumed",
        "A caller continued a session by its name or token.",
        "Nothing.";
    SettingRefused = 4008, Info, "setting_refused",
        "A caller set a siskinhook setting to an invalid value.",
        "Look at the caller.";

    PlatformSlow = 5001, Warn, "platform_slow",
        "The platform answers slowly; this node sends fewer calls.",
        "Look at the platform. Statements and failovers continue.";
    PlatformDown = 5002, Error, "platform_down",
        "The platform does not answer; edits are refused.",
        "Restore the platform. Statements and failovers continue.";
    PlatformBack = 5003, Info, "platform_back",
        "The platform answers again.",
        "Nothing.";
    AnswerLost = 5004, Warn, "answer_lost",
        "The answer to a write was lost; its id is looked up.",
        "Nothing.";
    ShareUsed = 5005, Warn, "share_used",
        "This node used up its share of the platform; calls wait or are refused.",
        "Nothing if short; else look for what calls so often in the metrics.";

    EditAccepted = 6001, Info, "edit_accepted",
        "An edit of the catalogue was accepted.",
        "Nothing.";
    EditRefused = 6002, Info, "edit_refused",
        "An edit was refused; the message gives the reason.",
        "Correct the edit.";
    EditConflict = 6003, Info, "edit_conflict",
        "An edit was refused because the entry had changed.",
        "Repeat the edit on the current form.";
    EditUnknown = 6004, Warn, "edit_unknown",
        "It could not be determined whether an edit was accepted.",
        "Repeat it with the same edit id once the platform answers.";
    OperatorRefused = 6005, Warn, "operator_refused",
        "A request to the operator interface had no valid operator name and token.",
        "Check the token; repeated attempts are a security matter.";
    DrainRequested = 6006, Info, "drain_requested",
        "An operator told the node to drain or to serve again.",
        "Nothing.";
}
