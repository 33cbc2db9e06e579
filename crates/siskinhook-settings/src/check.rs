//! Checks of field values and of their consistency with each other.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use crate::{Document, NodeSettings, Problem, SecretSource, Segment};

/// Log levels that the settings accept.
const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// Maximum length of a name in characters. Names become keys and metric labels.
const MAX_NAME_LENGTH: usize = 64;

/// Returns all problems found in the settings.
pub fn check(settings: &NodeSettings, document: &Document) -> Vec<Problem> {
    let mut checker = Checker {
        document,
        problems: Vec::new(),
    };
    check_names(settings, &mut checker);
    check_addresses(settings, &mut checker);
    check_secrets(settings, &mut checker);
    check_failover(settings, &mut checker);
    check_fleet(settings, &mut checker);
    check_limits(settings, &mut checker);
    check_log(settings, &mut checker);
    checker.problems
}

struct Checker<'a> {
    document: &'a Document<'a>,
    problems: Vec<Problem>,
}

impl Checker<'_> {
    /// Records a problem for the field at a dotted path unless the condition holds.
    fn require(&mut self, holds: bool, path: &str, message: impl FnOnce() -> String) {
        if !holds {
            let path: Vec<Segment> = path.split('.').map(Segment::from).collect();
            self.problems.push(self.document.problem(&path, message()));
        }
    }

    /// Records a problem for the field at a path whose keys may contain dots, unless the
    /// condition holds.
    fn require_at(&mut self, holds: bool, path: &[&str], message: impl FnOnce() -> String) {
        if !holds {
            let path: Vec<Segment> = path.iter().map(|key| (*key).into()).collect();
            self.problems.push(self.document.problem(&path, message()));
        }
    }

    fn require_positive(&mut self, value: Duration, path: &str) {
        self.require(!value.is_zero(), path, || {
            "the value is 0; state a positive number of milliseconds".into()
        });
    }
}

fn check_names(settings: &NodeSettings, checker: &mut Checker) {
    for (path, name) in [
        ("name", &settings.name),
        ("region", &settings.region),
        ("zone", &settings.zone),
    ] {
        checker.require(is_name(name), path, || invalid_name(name));
    }
    for (name, operator) in &settings.operators {
        checker.require_at(is_name(name), &["operators", name], || invalid_name(name));
        let partner = &operator.partner;
        checker.require_at(is_name(partner), &["operators", name, "partner"], || {
            invalid_name(partner)
        });
    }
}

fn is_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= MAX_NAME_LENGTH
        && name
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.'))
}

fn invalid_name(name: &str) -> String {
    format!("{name:?} is not a name; use 1 to {MAX_NAME_LENGTH} letters, digits, '-', '_' or '.'")
}

fn check_addresses(settings: &NodeSettings, checker: &mut Checker) {
    let addresses = &settings.addresses;
    let mut seen: HashMap<SocketAddr, &str> = HashMap::new();
    for (path, text) in [
        ("addresses.callers", &addresses.callers),
        ("addresses.links", &addresses.links),
        ("addresses.peers", &addresses.peers),
        ("addresses.operators", &addresses.operators),
        ("addresses.metrics", &addresses.metrics),
    ] {
        let Ok(address) = text.parse::<SocketAddr>() else {
            checker.require(false, path, || invalid_address(text));
            continue;
        };
        // Port 0 requests a free port from the operating system and may occur more than once.
        if address.port() != 0
            && let Some(other) = seen.insert(address, path)
        {
            checker.require(false, path, || {
                format!("{address} is already used by {other}; choose another port")
            });
        }
        let is_dialled = matches!(path, "addresses.links" | "addresses.peers");
        checker.require(!(is_dialled && address.ip().is_unspecified()), path, || {
            format!("{address} cannot be dialled by other nodes; state the IP address of this VM")
        });
    }
    let platform = &settings.platform.address;
    checker.require(
        platform.parse::<SocketAddr>().is_ok(),
        "platform.address",
        || invalid_address(platform),
    );
    for (from, to) in &settings.dial {
        checker.require_at(from.parse::<SocketAddr>().is_ok(), &["dial", from], || {
            invalid_address(from)
        });
        checker.require_at(to.parse::<SocketAddr>().is_ok(), &["dial", from], || {
            invalid_address(to)
        });
    }
}

fn invalid_address(text: &str) -> String {
    format!("{text:?} is not an address; write ip:port, for example \"10.0.0.5:5432\"")
}

fn check_secrets(settings: &NodeSettings, checker: &mut Checker) {
    let callers = settings
        .callers
        .iter()
        .map(|(name, source)| (vec!["callers", name], source));
    let credentials = settings
        .credentials
        .iter()
        .map(|(name, c)| (vec!["credentials", name, "password"], &c.password));
    let operators = settings
        .operators
        .iter()
        .map(|(name, o)| (vec!["operators", name, "token"], &o.token));
    let secrets = [(vec!["secret"], &settings.secret)]
        .into_iter()
        .chain(callers)
        .chain(credentials)
        .chain(operators);
    for (path, source) in secrets {
        let is_refused = matches!(source, SecretSource::Demo(_)) && !settings.demo;
        checker.require_at(!is_refused, &path, || {
            "a secret stands in the text; refer to it by {\"env\": NAME} or {\"file\": PATH}, or \
             set \"demo\": true for a demonstration"
                .into()
        });
    }
    if settings.demo {
        let is_public = settings
            .addresses
            .callers
            .parse::<SocketAddr>()
            .is_ok_and(|a| !a.ip().is_loopback());
        checker.require(!is_public, "demo", || {
            "demo settings accept callers on a loopback address only; use 127.0.0.1 or set \
             \"demo\": false"
                .into()
        });
    }
}

fn check_failover(settings: &NodeSettings, checker: &mut Checker) {
    let failover = &settings.failover;
    checker.require_positive(failover.poll_interval, "failover.poll_interval");
    checker.require_positive(failover.connect_timeout, "failover.connect_timeout");
    checker.require_positive(failover.table_timeout, "failover.table_timeout");
    checker.require_positive(failover.rank_delay, "failover.rank_delay");
    checker.require(
        failover.probe_timeout >= failover.poll_interval * 2,
        "failover.probe_timeout",
        || {
            format!(
                "{} ms is less than two poll intervals of {} ms, so one lost poll replaces a \
                 primary; raise it or lower failover.poll_interval",
                failover.probe_timeout.as_millis(),
                failover.poll_interval.as_millis()
            )
        },
    );
    checker.require(
        failover.idle_interval >= failover.poll_interval,
        "failover.idle_interval",
        || {
            "idle groups would be polled more often than busy ones; state at least \
             failover.poll_interval"
                .into()
        },
    );
}

fn check_fleet(settings: &NodeSettings, checker: &mut Checker) {
    let fleet = &settings.fleet;
    checker.require_positive(fleet.probe_timeout, "fleet.probe_timeout");
    checker.require_positive(fleet.list_interval, "fleet.list_interval");
    checker.require(
        fleet.probe_interval >= fleet.probe_timeout * 2,
        "fleet.probe_interval",
        || {
            format!(
                "{} ms leaves no time for a direct and an indirect probe of {} ms each; raise it \
                 or lower fleet.probe_timeout",
                fleet.probe_interval.as_millis(),
                fleet.probe_timeout.as_millis()
            )
        },
    );
    checker.require(
        fleet.suspicion_timeout >= fleet.probe_interval,
        "fleet.suspicion_timeout",
        || {
            "a suspected node has less than one probe interval to refute; state at least \
             fleet.probe_interval"
                .into()
        },
    );
    checker.require(
        (1..=16).contains(&fleet.gossip_fanout),
        "fleet.gossip_fanout",
        || "state 1 to 16 nodes".into(),
    );
    checker.require(fleet.indirect_probes <= 16, "fleet.indirect_probes", || {
        "state at most 16 nodes".into()
    });
    checker.require_positive(settings.catalogue.poll_interval, "catalogue.poll_interval");
}

fn check_limits(settings: &NodeSettings, checker: &mut Checker) {
    let platform = &settings.platform;
    checker.require_positive(platform.timeout, "platform.timeout");
    checker.require((1..=25).contains(&platform.share), "platform.share", || {
        "the fleet may use at most a quarter of the platform; state 1 to 25 percent".into()
    });
    for (path, value) in [
        ("platform.reads", platform.reads),
        ("platform.writes", platform.writes),
        ("requests.connections", settings.requests.connections),
        ("requests.attempts", settings.requests.attempts),
        ("requests.row_buffer", settings.requests.row_buffer),
        ("log.burst", settings.log.burst),
    ] {
        checker.require(value > 0, path, || {
            "the value is 0; state at least 1".into()
        });
    }
    let requests = &settings.requests;
    checker.require_positive(requests.login_timeout, "requests.login_timeout");
    checker.require_positive(requests.silence, "requests.silence");
    checker.require(
        (64 * 1024..=1024 * 1024 * 1024).contains(&requests.message_size),
        "requests.message_size",
        || "state 65536 to 1073741824 bytes".into(),
    );
    checker.require(
        settings.drain.deadline >= settings.drain.notice,
        "drain.deadline",
        || "the drain would end before new callers are refused; state at least drain.notice".into(),
    );
}

fn check_log(settings: &NodeSettings, checker: &mut Checker) {
    let invalid = |level: &str| {
        format!(
            "{level:?} is no log level; use one of {}",
            LOG_LEVELS.join(", ")
        )
    };
    let level = settings.log.level.as_str();
    checker.require(LOG_LEVELS.contains(&level), "log.level", || invalid(level));
    for (module, level) in &settings.log.modules {
        checker.require_at(
            LOG_LEVELS.contains(&level.as_str()),
            &["log", "modules", module],
            || invalid(level),
        );
    }
}
