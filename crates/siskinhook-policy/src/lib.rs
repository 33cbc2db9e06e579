//! Decisions about routing, freshness, queues, retries and promotion as pure state machines.
