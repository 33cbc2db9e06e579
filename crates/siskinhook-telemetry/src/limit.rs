//! Rate limit of repeated events.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Time over which lines of one event are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Events tracked at a time; more distinct ones start over with empty counts.
const TRACKED: usize = 4096;

/// What to do with a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Write it; this many earlier lines of the event were suppressed and not yet reported.
    Write(u64),
    /// Suppress it.
    Suppress,
}

/// Lets a number of lines of each event through per second. Pure: the clock is passed in.
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
    /// Creates a limit of `burst` lines per event and second.
    #[must_use]
    pub fn new(burst: u32) -> Self {
        Self {
            burst,
            windows: HashMap::new(),
        }
    }

    /// Decides on a line of the event with this key.
    pub fn check(&mut self, key: u64, now: Instant) -> Decision {
        if self.windows.len() >= TRACKED && !self.windows.contains_key(&key) {
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
