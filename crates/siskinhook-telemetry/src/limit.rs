//! Rate limit for repeated log events.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Length of the time window in which the lines of one event are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Maximum number of events with a window. When one more is seen, all windows are discarded and
/// counting starts over.
const MAX_WINDOWS: usize = 4096;

/// Decision whether a log line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Write the line. The value is the number of lines of the event that were suppressed since the
    /// last written one.
    Write(u64),
    /// Suppress the line.
    Suppress,
}

/// Limits the lines of each event per second. The caller passes in the current time.
#[derive(Debug)]
pub struct RateLimit {
    burst: u32,
    windows: HashMap<u64, Window>,
}

#[derive(Debug)]
struct Window {
    start: Instant,
    written: u32,
    suppressed: u64,
}

impl RateLimit {
    /// Creates a rate limit of `burst` lines per event and second.
    #[must_use]
    pub fn new(burst: u32) -> Self {
        Self {
            burst,
            windows: HashMap::new(),
        }
    }

    /// Decides whether a line of the event with this key is written, and counts it.
    pub fn check(&mut self, key: u64, now: Instant) -> Decision {
        if self.windows.len() >= MAX_WINDOWS && !self.windows.contains_key(&key) {
            self.windows.clear();
        }
        let window = self.windows.entry(key).or_insert(Window {
            start: now,
            written: 0,
            suppressed: 0,
        });
        if now.saturating_duration_since(window.start) >= WINDOW {
            window.start = now;
            window.written = 0;
        }
        if window.written >= self.burst {
            window.suppressed += 1;
            return Decision::Suppress;
        }
        window.written += 1;
        Decision::Write(std::mem::take(&mut window.suppressed))
    }
}
