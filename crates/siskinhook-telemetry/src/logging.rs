//! Logger setup.

use std::{
    collections::hash_map::DefaultHasher,
    hash::{Hash, Hasher},
    io::Write,
    sync::{Mutex, PoisonError},
    time::{Instant, SystemTime},
};

use anyhow::{Context, Result};
use log::{LevelFilter, Log, Metadata, Record, kv::Key};
use siskinhook_settings::LogSettings;

use crate::{Decision, Event, RateLimit, format};

/// Sets up logging of the process to standard error.
///
/// # Errors
/// Fails when a level is unknown or logging is already set up.
pub fn init(settings: &LogSettings) -> Result<()> {
    let (level, logger) = logger(
        settings,
        Box::new(std::io::stderr()),
        Instant::now,
        SystemTime::now,
    )?;
    log::set_boxed_logger(logger).context("logging is already set up; call init once")?;
    log::set_max_level(level);
    Ok(())
}

/// Creates a logger that writes to `output`, and returns it with the most verbose level that it
/// writes.
///
/// `clock` is used for the rate limit, `time` for the timestamps of the lines.
///
/// # Errors
/// Fails when a level is unknown.
pub fn logger(
    settings: &LogSettings,
    output: Box<dyn Write + Send>,
    clock: impl Fn() -> Instant + Send + Sync + 'static,
    time: impl Fn() -> SystemTime + Send + Sync + 'static,
) -> Result<(LevelFilter, Box<dyn Log>)> {
    let log_format = settings.format;
    let mut dispatch = fern::Dispatch::new()
        .format(move |out, message, record| {
            let line = format::format_line(log_format, message, record, time());
            out.finish(format_args!("{line}"));
        })
        .level(parse_level(&settings.level)?);
    for (module, text) in &settings.modules {
        dispatch = dispatch.level_for(module.to_string(), parse_level(text)?);
    }
    let (max, inner) = dispatch.chain(output).into_log();
    let rate_limited = RateLimitedLogger {
        inner,
        limit: Mutex::new(RateLimit::new(settings.burst)),
        clock,
    };
    Ok((max, Box::new(rate_limited)))
}

fn parse_level(text: &str) -> Result<LevelFilter> {
    text.parse().with_context(|| {
        format!("{text:?} is no log level; use off, error, warn, info, debug or trace")
    })
}

/// Logger that limits the rate of repeated events and reports how many lines it suppressed.
struct RateLimitedLogger<C> {
    inner: Box<dyn Log>,
    limit: Mutex<RateLimit>,
    clock: C,
}

impl<C: Fn() -> Instant + Send + Sync> Log for RateLimitedLogger<C> {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let decision = self
            .limit
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .check(rate_limit_key(record), (self.clock)());
        match decision {
            Decision::Suppress => {}
            Decision::Write(0) => self.inner.log(record),
            Decision::Write(count) => {
                self.inner.log(record);
                self.report_suppressed(record, count);
            }
        }
    }

    fn flush(&self) {
        self.inner.flush();
    }
}

impl<C> RateLimitedLogger<C> {
    fn report_suppressed(&self, record: &Record<'_>, count: u64) {
        let event = Event::LinesSuppressed;
        let suppressed_event = event_number(record);
        let pairs: [(&str, log::kv::Value<'_>); 3] = [
            ("event", event.number().into()),
            ("of", suppressed_event.unwrap_or_default().into()),
            ("suppressed", count.into()),
        ];
        self.inner.log(
            &Record::builder()
                .level(event.info().level)
                .target(record.target())
                .key_values(&pairs)
                .args(format_args!("further lines of an event were suppressed"))
                .build(),
        );
    }
}

/// Keys that name the object of an event. Events about different objects are limited
/// separately.
const OBJECT_KEYS: [&str; 5] = ["database", "server", "node", "service", "zone"];

/// Returns the key under which the lines of a record are counted: module, event number and object,
/// or the source location instead of the number if the record has none.
fn rate_limit_key(record: &Record<'_>) -> u64 {
    let mut hasher = DefaultHasher::new();
    record.target().hash(&mut hasher);
    match event_number(record) {
        Some(number) => number.hash(&mut hasher),
        None => (record.file(), record.line()).hash(&mut hasher),
    }
    for object in OBJECT_KEYS {
        if let Some(value) = record.key_values().get(Key::from(object)) {
            (object, value.to_string()).hash(&mut hasher);
        }
    }
    hasher.finish()
}

fn event_number(record: &Record<'_>) -> Option<u64> {
    record.key_values().get(Key::from("event"))?.to_u64()
}
