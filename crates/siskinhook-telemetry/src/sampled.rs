//! Gauges whose values expire unless they are set again.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use opentelemetry::{KeyValue, metrics::Meter};

/// Age from which a value is no longer exported. Otherwise, a node that no longer owns a server
/// would export its last queue length forever.
const MAX_VALUE_AGE: Duration = Duration::from_secs(15);

type Series = HashMap<Option<String>, (f64, Instant)>;

/// A gauge with at most one label, whose values expire after `MAX_VALUE_AGE`.
#[derive(Clone, Debug)]
pub struct SampledGauge {
    series: Arc<Mutex<Series>>,
    clock: fn() -> Instant,
}

impl SampledGauge {
    /// Registers a gauge. `label` is the key of its label and unused for values without a label.
    pub fn new(meter: &Meter, name: String, label: &'static str, clock: fn() -> Instant) -> Self {
        let series: Arc<Mutex<Series>> = Arc::default();
        let exported_series = series.clone();
        meter
            .f64_observable_gauge(name)
            .with_callback(move |observer| {
                let now = clock();
                let mut series = exported_series
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                series.retain(|_, (_, set)| now.saturating_duration_since(*set) < MAX_VALUE_AGE);
                for (label_value, (number, _)) in series.iter() {
                    match label_value {
                        Some(label_value) => {
                            observer.observe(*number, &[KeyValue::new(label, label_value.clone())]);
                        }
                        None => observer.observe(*number, &[]),
                    }
                }
            })
            .build();
        Self { series, clock }
    }

    /// Sets the gauge for a label value, or without a label.
    pub fn set(&self, label: Option<&str>, value: f64) {
        let now = (self.clock)();
        self.series
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(label.map(Into::into), (value, now));
    }
}
