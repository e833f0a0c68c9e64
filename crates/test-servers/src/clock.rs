//! The time base of all test servers, plans and traces.

use std::time::{SystemTime, UNIX_EPOCH};

/// The Unix clock, in microseconds.
#[must_use]
pub fn unix_micros() -> i64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    i64::try_from(since_epoch.as_micros()).unwrap_or(i64::MAX)
}
