//! Gauges that vanish when nobody sets them any more.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use opentelemetry::{KeyValue, metrics::Meter};

/// Age from which a value is not exported. A node that no longer owns a server must not show
/// its last queue for ever.
const EXPIRY: Duration = Duration::from_secs(15);

type Series = HashMap<Option<String>, (f64, Instant)>;

/// A gauge with at most one label.
#[derive(Clone, Debug)]
pub struct Sampled {
    series: Arc<Mutex<Series>>,
    clock: fn() -> Instant,
}

impl Sampled {
    /// Registers a gauge whose label, if any, has the key `label`.
    pub fn new(meter: &Meter, name: String, label: &'static str, clock: fn() -> Instant) -> Self {
        let series: Arc<Mutex<Series>> = Arc::default();
        let observed = series.clone();
        meter
            .f64_observable_gauge(name)
            .with_callback(move |observer| {
                let now = clock();
                let mut series = observed.lock().unwrap_or_else(PoisonError::into_inner);
                series.retain(|_, (_, set)| now.saturating_duration_since(*set) < EXPIRY);
                for (value, (number, _)) in series.iter() {
                    match value {
                        Some(value) => {
                            observer.observe(*number, &[KeyValue::new(label, value.clone())]);
                        }
                        None => observer.observe(*number, &[]),
                    }
                }
            })
            .build();
        Self { series, clock }
    }

    /// Sets the value for a label.
    pub fn set(&self, label: Option<&str>, value: f64) {
        let now = (self.clock)();
        self.series
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(label.map(Into::into), (value, now));
    }
}
