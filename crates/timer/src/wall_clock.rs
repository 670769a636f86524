//! The time of day, which may jump and differ between nodes.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the time of day in milliseconds of Unix time; 0 if the clock is set before 1970.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
