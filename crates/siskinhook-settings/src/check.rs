//! Checks that concern the values of fields and how they fit together.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use crate::{Document, NodeSettings, Problem, SecretSource, Segment};

/// Log levels that the settings accept.
const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// Longest name that the checks accept; names become keys and metric labels.
const NAME_LENGTH: usize = 64;

/// Returns all faults of the settings.
pub fn check(settings: &NodeSettings, document: &Document) -> Vec<Problem> {
    let mut faults = Faults {
        document,
        problems: Vec::new(),
    };
    check_names(settings, &mut faults);
    check_addresses(settings, &mut faults);
    check_secrets(settings, &mut faults);
    check_failover(settings, &mut faults);
    check_fleet(settings, &mut faults);
    check_limits(settings, &mut faults);
    check_log(settings, &mut faults);
    faults.problems
}

struct Faults<'a> {
    document: &'a Document<'a>,
    problems: Vec<Problem>,
}

impl Faults<'_> {
    /// Records a fault at a dotted path unless the condition holds.
    fn need(&mut self, holds: bool, path: &str, message: impl FnOnce() -> String) {
        if !holds {
            let path: Vec<Segment> = path.split('.').map(Segment::from).collect();
            self.problems.push(self.document.problem(&path, message()));
        }
    }

    /// Records a fault at a path whose last key may contain dots.
    fn need_at(&mut self, holds: bool, path: &[&str], message: impl FnOnce() -> String) {
        if !holds {
            let path: Vec<Segment> = path.iter().map(|key| (*key).into()).collect();
            self.problems.push(self.document.problem(&path, message()));
        }
    }

    fn need_positive(&mut self, value: Duration, path: &str) {
        self.need(!value.is_zero(), path, || {
            "the value is 0; state a positive number of milliseconds".into()
        });
    }
}

fn check_names(settings: &NodeSettings, faults: &mut Faults) {
    for (path, name) in [
        ("name", &settings.name),
        ("region", &settings.region),
        ("zone", &settings.zone),
    ] {
        faults.need(is_name(name), path, || not_name(name));
    }
    for (name, operator) in &settings.operators {
        faults.need_at(is_name(name), &["operators", name], || not_name(name));
        let partner = &operator.partner;
        faults.need_at(is_name(partner), &["operators", name, "partner"], || {
            not_name(partner)
        });
    }
}

fn is_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= NAME_LENGTH
        && name
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.'))
}

fn not_name(name: &str) -> String {
    format!("{name:?} is not a name; use 1 to {NAME_LENGTH} letters, digits, '-', '_' or '.'")
}

fn check_addresses(settings: &NodeSettings, faults: &mut Faults) {
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
            faults.need(false, path, || not_address(text));
            continue;
        };
        // Port 0 asks the system for a free port and may repeat.
        if address.port() != 0
            && let Some(other) = seen.insert(address, path)
        {
            faults.need(false, path, || {
                format!("{address} is already used by {other}; choose another port")
            });
        }
        let dialled = matches!(path, "addresses.links" | "addresses.peers");
        faults.need(!(dialled && address.ip().is_unspecified()), path, || {
            format!("{address} cannot be dialled by other nodes; state the IP address of this VM")
        });
    }
    let platform = &settings.platform.address;
    faults.need(
        platform.parse::<SocketAddr>().is_ok(),
        "platform.address",
        || not_address(platform),
    );
    for (from, to) in &settings.dial {
        faults.need_at(from.parse::<SocketAddr>().is_ok(), &["dial", from], || {
            not_address(from)
        });
        faults.need_at(to.parse::<SocketAddr>().is_ok(), &["dial", from], || {
            not_address(to)
        });
    }
}

fn not_address(text: &str) -> String {
    format!("{text:?} is not an address; write ip:port, for example \"10.0.0.5:5432\"")
}

fn check_secrets(settings: &NodeSettings, faults: &mut Faults) {
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
        let refused = matches!(source, SecretSource::Demo(_)) && !settings.demo;
        faults.need_at(!refused, &path, || {
            "a secret stands in the text; refer to it by {\"env\": NAME} or {\"file\": PATH}, or \
             set \"demo\": true for a demonstration"
                .into()
        });
    }
    if settings.demo {
        let public = settings
            .addresses
            .callers
            .parse::<SocketAddr>()
            .is_ok_and(|a| !a.ip().is_loopback());
        faults.need(!public, "demo", || {
            "demo settings accept callers on a loopback address only; use 127.0.0.1 or set \
             \"demo\": false"
                .into()
        });
    }
}

fn check_failover(settings: &NodeSettings, faults: &mut Faults) {
    let failover = &settings.failover;
    faults.need_positive(failover.poll_interval, "failover.poll_interval");
    faults.need_positive(failover.connect_timeout, "failover.connect_timeout");
    faults.need_positive(failover.table_timeout, "failover.table_timeout");
    faults.need_positive(failover.rank_delay, "failover.rank_delay");
    faults.need(
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
    faults.need(
        failover.idle_interval >= failover.poll_interval,
        "failover.idle_interval",
        || {
            "idle groups would be polled more often than busy ones; state at least \
             failover.poll_interval"
                .into()
        },
    );
}

fn check_fleet(settings: &NodeSettings, faults: &mut Faults) {
    let fleet = &settings.fleet;
    faults.need_positive(fleet.probe_timeout, "fleet.probe_timeout");
    faults.need_positive(fleet.list_interval, "fleet.list_interval");
    faults.need(
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
    faults.need(
        fleet.suspicion_timeout >= fleet.probe_interval,
        "fleet.suspicion_timeout",
        || {
            "a suspected node has less than one probe interval to refute; state at least \
             fleet.probe_interval"
                .into()
        },
    );
    faults.need(
        (1..=16).contains(&fleet.gossip_fanout),
        "fleet.gossip_fanout",
        || "state 1 to 16 nodes".into(),
    );
    faults.need(fleet.indirect_probes <= 16, "fleet.indirect_probes", || {
        "state at most 16 nodes".into()
    });
    faults.need_positive(settings.catalogue.poll_interval, "catalogue.poll_interval");
}

fn check_limits(settings: &NodeSettings, faults: &mut Faults) {
    let platform = &settings.platform;
    faults.need_positive(platform.timeout, "platform.timeout");
    faults.need((1..=25).contains(&platform.share), "platform.share", || {
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
        faults.need(value > 0, path, || {
            "the value is 0; state at least 1".into()
        });
    }
    let requests = &settings.requests;
    faults.need_positive(requests.login_timeout, "requests.login_timeout");
    faults.need_positive(requests.silence, "requests.silence");
    faults.need(
        (64 * 1024..=1024 * 1024 * 1024).contains(&requests.message_size),
        "requests.message_size",
        || "state 65536 to 1073741824 bytes".into(),
    );
    faults.need(
        settings.drain.deadline >= settings.drain.notice,
        "drain.deadline",
        || "the drain would end before new callers are refused; state at least drain.notice".into(),
    );
}

fn check_log(settings: &NodeSettings, faults: &mut Faults) {
    let bad = |level: &str| {
        format!(
            "{level:?} is no log level; use one of {}",
            LEVELS.join(", ")
        )
    };
    let level = settings.log.level.as_str();
    faults.need(LEVELS.contains(&level), "log.level", || bad(level));
    for (module, level) in &settings.log.modules {
        faults.need_at(
            LEVELS.contains(&level.as_str()),
            &["log", "modules", module],
            || bad(level),
        );
    }
}
