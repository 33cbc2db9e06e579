//! Numbered log events and metrics.
