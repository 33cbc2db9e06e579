//! Sections of the node settings.

use std::time::Duration;

use indexmap::IndexMap;
use siskinhook_types::{PartnerId, value_type};
use smol_str::SmolStr;

use crate::{SecretSource, millis};

value_type! {
    /// Addresses the node listens on, each as `ip:port`. Other nodes dial `links` and `peers`
    /// as configured here.
    #[serde(deny_unknown_fields)]
    pub struct Addresses {
        /// Address for callers (PostgreSQL protocol).
        pub callers: SmolStr,
        /// Address for links from other nodes.
        pub links: SmolStr,
        /// Address for control traffic from other nodes (JSON-RPC).
        pub peers: SmolStr,
        /// Address of the operator interface (JSON-RPC).
        pub operators: SmolStr,
        /// Address of the HTTP endpoint with `/metrics`, `/health` and `/ready`.
        pub metrics: SmolStr,
    }

    /// Platform services, and the share of their capacity that the fleet may use.
    #[serde(deny_unknown_fields)]
    pub struct PlatformSettings {
        /// Address of the platform's interface as `ip:port`.
        pub address: SmolStr,
        /// Time limit of a call, in milliseconds.
        #[serde(default = "PlatformSettings::default_timeout", with = "millis")]
        pub timeout: Duration,
        /// Total number of reads per second that the platform serves.
        #[serde(default = "PlatformSettings::default_reads")]
        pub reads: u32,
        /// Total number of writes per second that the platform serves.
        #[serde(default = "PlatformSettings::default_writes")]
        pub writes: u32,
        /// Percentage of the capacity that the whole fleet may use.
        #[serde(default = "PlatformSettings::default_share")]
        pub share: u32,
    }

    /// User name and password for targets.
    #[serde(deny_unknown_fields)]
    pub struct Credential {
        /// User name.
        pub user: SmolStr,
        /// Source of the password.
        pub password: SecretSource,
    }

    /// Account of a partner's operator.
    #[serde(deny_unknown_fields)]
    pub struct OperatorAccount {
        /// Partner whose entries the operator may edit.
        pub partner: PartnerId,
        /// Source of the token that authenticates the operator.
        pub token: SecretSource,
    }

    /// Monitoring and failover of database groups.
    #[serde(default, deny_unknown_fields)]
    pub struct Failover {
        /// Milliseconds between polls of a group in use.
        #[serde(with = "millis")]
        pub poll_interval: Duration,
        /// Milliseconds between polls of a group without statements.
        #[serde(with = "millis")]
        pub idle_interval: Duration,
        /// Milliseconds after which an unanswered probe counts against the primary; increased by
        /// the observed round-trip times.
        #[serde(with = "millis")]
        pub probe_timeout: Duration,
        /// Milliseconds that a promoter waits for the platform's table before it continues
        /// without it.
        #[serde(with = "millis")]
        pub table_timeout: Duration,
        /// Milliseconds that a promoter waits, for each rank, when the table did not respond.
        #[serde(with = "millis")]
        pub rank_delay: Duration,
        /// Time limit for opening a connection to a server, in milliseconds.
        #[serde(with = "millis")]
        pub connect_timeout: Duration,
    }

    /// Membership and gossip.
    #[serde(default, deny_unknown_fields)]
    pub struct Fleet {
        /// Milliseconds between probes of other nodes.
        #[serde(with = "millis")]
        pub probe_interval: Duration,
        /// Milliseconds after which an unanswered probe is repeated through other nodes.
        #[serde(with = "millis")]
        pub probe_timeout: Duration,
        /// Milliseconds after which a suspected node is declared dead unless it refutes the
        /// suspicion.
        #[serde(with = "millis")]
        pub suspicion_timeout: Duration,
        /// Number of nodes that are asked to probe a node indirectly.
        pub indirect_probes: u32,
        /// Number of nodes to which an update is sent by gossip.
        pub gossip_fanout: u32,
        /// Milliseconds between reads of the platform's list of VMs.
        #[serde(with = "millis")]
        pub list_interval: Duration,
    }

    /// Catalogue propagation.
    #[serde(default, deny_unknown_fields)]
    pub struct CatalogueSettings {
        /// Milliseconds between polls of the platform's table, with random jitter.
        #[serde(with = "millis")]
        pub poll_interval: Duration,
    }

    /// Connections and requests of callers.
    #[serde(default, deny_unknown_fields)]
    pub struct Requests {
        /// Maximum number of caller connections per node.
        pub connections: u32,
        /// Maximum number of servers and owners tried in one round for a request, including the
        /// first one.
        pub attempts: u32,
        /// Maximum number of response rows buffered per caller.
        pub row_buffer: u32,
        /// Maximum size of a message from a caller, in bytes.
        pub message_size: u32,
        /// Milliseconds within which a caller must complete its login.
        #[serde(with = "millis")]
        pub login_timeout: Duration,
        /// Milliseconds after which an idle link to another node is closed.
        #[serde(with = "millis")]
        pub idle_link: Duration,
        /// Milliseconds without any response after which a server connection is checked by a
        /// probe over a new connection.
        #[serde(with = "millis")]
        pub silence: Duration,
    }

    /// Graceful shutdown of the node.
    #[serde(default, deny_unknown_fields)]
    pub struct Drain {
        /// Milliseconds that requests in progress have to finish.
        #[serde(with = "millis")]
        pub deadline: Duration,
        /// Milliseconds between reporting not ready and refusing new callers, so that the load
        /// balancer has time to react.
        #[serde(with = "millis")]
        pub notice: Duration,
    }

    /// Format of the log lines.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum LogFormat {
        /// One line of human-readable text per log record.
        Text,
        /// One JSON object per line.
        Json,
    }

    /// Log output.
    #[serde(default, deny_unknown_fields)]
    pub struct LogSettings {
        /// Format of the log lines.
        pub format: LogFormat,
        /// Default log level: `error`, `warn`, `info`, `debug`, `trace` or `off`.
        pub level: SmolStr,
        /// Log levels of individual modules, by the module name that log lines show, for example
        /// `siskinhook::engine`.
        pub modules: IndexMap<SmolStr, SmolStr>,
        /// Maximum number of log lines per second for each event. Further lines are suppressed and
        /// counted.
        pub burst: u32,
    }
}

impl PlatformSettings {
    /// Creates the default settings for the platform at an address.
    #[must_use]
    pub fn new(address: impl Into<SmolStr>) -> Self {
        Self {
            address: address.into(),
            timeout: Self::default_timeout(),
            reads: Self::default_reads(),
            writes: Self::default_writes(),
            share: Self::default_share(),
        }
    }

    const fn default_timeout() -> Duration {
        Duration::from_secs(2)
    }

    const fn default_reads() -> u32 {
        2000
    }

    // The platform serves "several hundred" writes per second; the lower end is assumed.
    const fn default_writes() -> u32 {
        300
    }

    // The fleet stays under a quarter of the capacity; the rest of the quarter absorbs bursts.
    const fn default_share() -> u32 {
        20
    }
}

impl Default for Failover {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_millis(250),
            idle_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(750),
            table_timeout: Duration::from_millis(300),
            rank_delay: Duration::from_millis(400),
            connect_timeout: Duration::from_millis(500),
        }
    }
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(600),
            probe_timeout: Duration::from_millis(300),
            suspicion_timeout: Duration::from_millis(1200),
            indirect_probes: 3,
            gossip_fanout: 4,
            list_interval: Duration::from_secs(10),
        }
    }
}

impl Default for CatalogueSettings {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_secs(10),
        }
    }
}

impl Default for Requests {
    fn default() -> Self {
        Self {
            connections: 4000, // 2,600 expected per node; the rest covers one lost node in three
            attempts: 4,
            row_buffer: 64,
            message_size: 16 * 1024 * 1024,
            login_timeout: Duration::from_secs(5),
            idle_link: Duration::from_secs(30),
            silence: Duration::from_millis(1500),
        }
    }
}

impl Default for Drain {
    fn default() -> Self {
        Self {
            deadline: Duration::from_secs(30),
            notice: Duration::from_secs(2),
        }
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::Text,
            level: "info".into(),
            modules: IndexMap::new(),
            burst: 10,
        }
    }
}
