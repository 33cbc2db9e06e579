//! Durations as whole milliseconds in the settings file.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer};

/// Writes a duration as milliseconds.
pub fn serialize<S: Serializer>(value: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(u64::try_from(value.as_millis()).unwrap_or(u64::MAX))
}

/// Reads a duration from milliseconds.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(Duration::from_millis)
}
