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

/// Logs an event of the table with its number and level: `event!(Event::NodeStarted, node =
/// name.as_str(); "started on {address}")`. Keys come before the semicolon and may be left out.
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
