//! Serde format that writes a duration as whole milliseconds.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer};

/// Serializes a duration as a number of milliseconds.
pub fn serialize<S: Serializer>(value: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(u64::try_from(value.as_millis()).unwrap_or(u64::MAX))
}

/// Deserializes a duration from a number of milliseconds.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(Duration::from_millis)
}
