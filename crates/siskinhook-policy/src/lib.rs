//! Decisions about routing, freshness, queues, retries and promotion as pure state machines.
//!
//! Inputs are events and an `Instant`; outputs are actions. Nothing here reads a clock, opens a
//! socket or starts a task, and random numbers come from a seed.

mod confirm;
mod freshness;
mod retry;
mod select;
mod silence;
mod slots;
mod times;
mod watch;

pub use confirm::{Confirmation, Outcome};
pub use freshness::{Anchor, FreshnessAnswer, required_point};
pub use retry::{RetryBudget, RetrySettings};
pub use select::{Candidate, SelectSettings, choose_server};
pub use silence::{SilenceSettings, SilenceWatch};
pub use slots::{Load, SlotAction, SlotQueue, SlotSettings, Ticket};
pub use times::ServiceTimes;
pub use watch::{
    FailoverTrace, GroupConfig, GroupWatch, LeaseAnswer, ServerView, WatchAction, WatchSettings,
};
