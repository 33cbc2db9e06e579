//! Numbered log events and metrics.

mod endpoint;
mod events;
mod fleet;
mod format;
mod limit;
mod logging;
mod metrics;
mod names;
mod sampled;
mod shape;

pub use endpoint::{Readiness, serve};
pub use events::{EVENTS, Event, EventInfo};
pub use fleet::FleetLog;
pub use limit::{Decision, RateLimit};
pub use logging::{init, logger};
pub use metrics::Metrics;
pub use names::{METRICS, MetricInfo, MetricKind};
pub use shape::statement_shape;

/// Logs an event with its number and level from the table of events.
///
/// Example: `event!(Event::NodeStarted, node = name.as_str(); "started on {address}")`. The
/// key-values before the semicolon are optional.
#[macro_export]
macro_rules! event {
    ($event:expr, $($key:ident $(:$capture:tt)? = $value:expr),+; $($message:tt)+) => {
        ::log::log!(
            $event.info().level,
            event = $event.number(), $($key $(:$capture)? = $value),+;
            $($message)+
        )
    };
    ($event:expr; $($message:tt)+) => {
        ::log::log!($event.info().level, event = $event.number(); $($message)+)
    };
}
