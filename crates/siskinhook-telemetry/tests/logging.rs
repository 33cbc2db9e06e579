//! Tests of logging: line format, levels, suppression of repeated events, and hidden secrets.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime},
};

use log::{Level, Log, Record, kv::Value};
use siskinhook_settings::{LogFormat, LogSettings};
use siskinhook_telemetry::{Decision, Event, FleetLog, RateLimit, logger, statement_shape};
use siskinhook_types::{
    FleetView, Member,
    MemberState::{self, Alive, Dead, Leaving, Suspect},
};
use smol_str::SmolStr;

#[derive(Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl Write for Output {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        self.0
            .lock()
            .expect("no test panics while writing")
            .extend(data);
        Ok(data.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Output {
    fn lines(&self) -> Vec<String> {
        let data = self.0.lock().expect("no test panics while writing").clone();
        let text = String::from_utf8(data).expect("lines are UTF-8");
        text.lines().map(Into::into).collect()
    }
}

struct Setup {
    output: Output,
    now: Arc<Mutex<Instant>>,
    logger: Box<dyn Log>,
}

fn setup(settings: &LogSettings) -> Setup {
    let output = Output::default();
    let now = Arc::new(Mutex::new(Instant::now()));
    let clock = now.clone();
    let (_, logger) = logger(
        settings,
        Box::new(output.clone()),
        move || {
            *clock
                .lock()
                .expect("no test panics while reading the clock")
        },
        || SystemTime::UNIX_EPOCH,
    )
    .expect("the settings are valid");
    Setup {
        output,
        now,
        logger,
    }
}

fn log_record(
    setup: &Setup,
    level: Level,
    target: &str,
    pairs: &[(&str, Value<'_>)],
    message: &str,
) {
    let mut record = Record::builder();
    record.level(level).target(target).key_values(&pairs);
    setup
        .logger
        .log(&record.args(format_args!("{message}")).build());
}

#[test]
fn text_and_json_lines_carry_event_and_keys() {
    let pairs = [
        ("event", Value::from(2003_u64)),
        ("database", Value::from("shifts")),
    ];
    let setup_text = setup(&LogSettings::default());
    log_record(
        &setup_text,
        Level::Warn,
        "siskinhook_engine",
        &pairs,
        "promoted",
    );
    assert_eq!(
        setup_text.output.lines(),
        [
            "1970-01-01T00:00:00.000Z WARN  siskinhook_engine event=2003 database=\"shifts\": promoted"
        ]
    );
    let settings = LogSettings {
        format: LogFormat::Json,
        ..LogSettings::default()
    };
    let setup_json = setup(&settings);
    log_record(
        &setup_json,
        Level::Warn,
        "siskinhook_engine",
        &pairs,
        "promoted",
    );
    assert_eq!(
        setup_json.output.lines(),
        [
            r#"{"time":"1970-01-01T00:00:00.000Z","level":"WARN","module":"siskinhook_engine","message":"promoted","event":2003,"database":"shifts"}"#
        ]
    );
}

/// A secret that is passed to a log macro by mistake must not reach the log.
#[test]
fn secrets_and_values_are_hidden() {
    for format in [LogFormat::Text, LogFormat::Json] {
        let setup = setup(&LogSettings {
            format,
            ..LogSettings::default()
        });
        for key in ["password", "token", "fleet_secret", "sql", "parameters"] {
            log_record(
                &setup,
                Level::Info,
                "m",
                &[(key, Value::from("hunter2"))],
                "x",
            );
        }
        let lines = setup.output.lines();
        assert_eq!(lines.len(), 5);
        assert!(
            lines
                .iter()
                .all(|l| !l.contains("hunter2") && l.contains("[hidden]"))
        );
    }
    assert_eq!(
        statement_shape("SELECT name, 'it''s' FROM t -- 42\nWHERE id=12.5 AND b = $1 AND c = E'x'"),
        "SELECT name, ? FROM t WHERE id=? AND b = $1 AND c = ?"
    );
    assert!(!statement_shape("SELECT $$hunter2$$, B'0101', X'1F', N'hunter2'").contains("hunter2"));
    assert!(!statement_shape("SELECT 'hunter2").contains("hunter2"));
}

/// Without escaping, a message with a line break could forge another log line.
#[test]
fn message_stays_on_one_line() {
    let setup = setup(&LogSettings::default());
    log_record(&setup, Level::Info, "m", &[], "a\nb\u{1b}[31m");
    assert_eq!(
        setup.output.lines(),
        ["1970-01-01T00:00:00.000Z INFO  m: a\\nb\\u{1b}[31m"]
    );
}

#[test]
fn levels_apply_by_module() {
    let mut settings = LogSettings::default();
    settings
        .modules
        .insert("siskinhook_fleet".into(), "debug".into());
    settings.modules.insert("noisy".into(), "off".into());
    let setup = setup(&settings);
    for target in ["siskinhook_fleet", "siskinhook_engine", "noisy"] {
        log_record(&setup, Level::Debug, target, &[], "debug");
        log_record(&setup, Level::Error, target, &[], "error");
    }
    let lines = setup.output.lines();
    assert_eq!(lines.len(), 3, "{lines:?}");
    assert!(lines[0].contains("DEBUG siskinhook_fleet"));
}

#[test]
fn repeated_events_are_suppressed_and_counted() {
    let setup = setup(&LogSettings {
        burst: 3,
        ..LogSettings::default()
    });
    // The log macros pass plain integer literals as i32.
    let event = |number: i32| [("event", Value::from(number))];
    for _ in 0..50 {
        log_record(&setup, Level::Warn, "m", &event(2031), "lost");
    }
    log_record(&setup, Level::Warn, "m", &event(2030), "hung");
    let other = [
        ("event", Value::from(2031)),
        ("server", Value::from("shifts-2")),
    ];
    log_record(&setup, Level::Warn, "m", &other, "lost");
    assert_eq!(setup.output.lines().len(), 5);
    *setup.now.lock().unwrap() += Duration::from_secs(1);
    log_record(&setup, Level::Warn, "m", &event(2031), "lost");
    let lines = setup.output.lines();
    assert_eq!(lines.len(), 7);
    assert!(
        lines[6].contains("event=1090 of=2031 suppressed=47"),
        "{}",
        lines[6]
    );
}

#[test]
fn rate_limit_resets_each_second() {
    let start = Instant::now();
    let mut limit = RateLimit::new(1);
    assert_eq!(limit.check(1, start), Decision::Write(0));
    assert_eq!(
        limit.check(1, start + Duration::from_millis(999)),
        Decision::Suppress
    );
    assert_eq!(limit.check(2, start), Decision::Write(0));
    assert_eq!(
        limit.check(1, start + Duration::from_secs(1)),
        Decision::Write(1)
    );
    assert_eq!(
        limit.check(1, start + Duration::from_secs(2)),
        Decision::Write(0)
    );
}

#[test]
fn macro_compiles_with_and_without_keys() {
    siskinhook_telemetry::event!(Event::NodeStarted; "started");
    let zone = "ahd-a";
    siskinhook_telemetry::event!(Event::NodeReady, zone = zone, after:% = 3; "ready in {zone}");
    assert_eq!(Event::NodeReady.number(), 1005);
}

/// Each membership change is logged once. The first view after a start is the baseline and logs
/// none.
#[test]
fn fleet_log_reports_changes_once() {
    const NONE: [u64; 0] = [];
    static LINES: Mutex<Vec<u64>> = Mutex::new(Vec::new());
    struct CollectEvents;
    impl Log for CollectEvents {
        fn enabled(&self, _: &log::Metadata<'_>) -> bool {
            true
        }
        fn log(&self, record: &Record<'_>) {
            let event = record
                .key_values()
                .get("event".into())
                .and_then(|v| v.to_u64());
            if record.target().ends_with("fleet") {
                LINES
                    .lock()
                    .expect("no test panics while logging")
                    .extend(event);
            }
        }
        fn flush(&self) {}
    }
    // No other test of this file sets the logger of the process.
    log::set_boxed_logger(Box::new(CollectEvents)).unwrap();
    log::set_max_level(log::LevelFilter::Info);
    let view = |states: &[MemberState], revision| FleetView {
        local: "n0".into(),
        members: states
            .iter()
            .enumerate()
            .map(|(index, state)| {
                let name = SmolStr::from(format!("n{index}"));
                let member = Member {
                    name: name.clone(),
                    region: "r".into(),
                    zone: "z".into(),
                    peer: "127.0.0.1:1".into(),
                    link: "127.0.0.1:2".into(),
                    state: *state,
                    incarnation: 1,
                    revision,
                };
                (name, member)
            })
            .collect(),
    };
    let mut fleet = FleetLog::default();
    let mut observe_events = |states: &[MemberState], revision| {
        fleet.observe(&view(states, revision));
        std::mem::take(&mut *LINES.lock().unwrap())
    };
    assert_eq!(observe_events(&[Alive, Alive, Alive], 0), NONE);
    assert_eq!(observe_events(&[Alive, Alive, Alive], 7), [3020]);
    assert_eq!(observe_events(&[Alive, Suspect, Alive], 7), [3002]);
    assert_eq!(observe_events(&[Alive, Suspect, Alive], 7), NONE);
    assert_eq!(observe_events(&[Alive, Alive, Leaving], 7), [3005, 3004]);
    assert_eq!(
        observe_events(&[Alive, Suspect, Dead], 7),
        [3002, 3003, 3006]
    );
    assert_eq!(
        observe_events(&[Alive, Alive, Dead, Alive], 8),
        [3020, 3005, 3001, 3007]
    );
}
