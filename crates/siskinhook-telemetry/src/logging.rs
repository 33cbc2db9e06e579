//! Logging set-up.

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

/// Sets up logging to standard error for the process.
///
/// # Errors
/// A level is unknown, or logging was set up before.
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

/// Creates a logger that writes to `output`, with the clocks passed in; returns it with the
/// highest level that it writes.
///
/// # Errors
/// A level is unknown.
pub fn logger(
    settings: &LogSettings,
    output: Box<dyn Write + Send>,
    clock: impl Fn() -> Instant + Send + Sync + 'static,
    time: impl Fn() -> SystemTime + Send + Sync + 'static,
) -> Result<(LevelFilter, Box<dyn Log>)> {
    let form = settings.format;
    let mut dispatch = fern::Dispatch::new()
        .format(move |out, message, record| {
            let line = format::line(form, message, record, time());
            out.finish(format_args!("{line}"));
        })
        .level(level(&settings.level)?);
    for (module, text) in &settings.modules {
        dispatch = dispatch.level_for(module.to_string(), level(text)?);
    }
    let (max, inner) = dispatch.chain(output).into_log();
    let limited = Limited {
        inner,
        limit: Mutex::new(RateLimit::new(settings.burst)),
        clock,
    };
    Ok((max, Box::new(limited)))
}

fn level(text: &str) -> Result<LevelFilter> {
    text.parse().with_context(|| {
        format!("{text:?} is no log level; use off, error, warn, info, debug or trace")
    })
}

/// Suppresses repeated events and reports how many lines were suppressed.
struct Limited<C> {
    inner: Box<dyn Log>,
    limit: Mutex<RateLimit>,
    clock: C,
}

impl<C: Fn() -> Instant + Send + Sync> Log for Limited<C> {
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
            .check(key(record), (self.clock)());
        match decision {
            Decision::Suppress => {}
            Decision::Write(0) => self.inner.log(record),
            Decision::Write(count) => {
                self.inner.log(record);
                self.report(record, count);
            }
        }
    }

    fn flush(&self) {
        self.inner.flush();
    }
}

impl<C> Limited<C> {
    fn report(&self, record: &Record<'_>, count: u64) {
        let event = Event::LinesSuppressed;
        let source = event_number(record);
        let pairs: [(&str, log::kv::Value<'_>); 3] = [
            ("event", event.number().into()),
            ("of", source.unwrap_or_default().into()),
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

/// Keys that name what an event is about; events of different objects are not repeats.
const OBJECTS: [&str; 5] = ["database", "server", "node", "service", "zone"];

/// Lines are counted by module, event number and object; lines without a number by their place.
fn key(record: &Record<'_>) -> u64 {
    let mut hasher = DefaultHasher::new();
    record.target().hash(&mut hasher);
    match event_number(record) {
        Some(number) => number.hash(&mut hasher),
        None => (record.file(), record.line()).hash(&mut hasher),
    }
    for object in OBJECTS {
        if let Some(value) = record.key_values().get(Key::from(object)) {
            (object, value.to_string()).hash(&mut hasher);
        }
    }
    hasher.finish()
}

fn event_number(record: &Record<'_>) -> Option<u64> {
    record.key_values().get(Key::from("event"))?.to_u64()
}
