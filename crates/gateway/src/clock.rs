//! Monotonic clock of the gateway, in microseconds, with conversion from Unix time for times that other
//! processes report.
//!
//! Only event loops and commands read it; all other code takes the time as an argument.

use slatevalve::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Reading of the clock at its start, in microseconds. One day, so that times shortly before the start are
/// positive too.
const ORIGIN_US: i64 = 86_400_000_000;

/// A monotonic clock that also records the Unix time of its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_start_us: i64,
}

impl Clock {
    /// Starts a clock.
    #[must_use]
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_start_us: i64::try_from(unix.as_micros()).unwrap_or(i64::MAX) }
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> Micros {
        let elapsed_us = i64::try_from(self.start.elapsed().as_micros()).unwrap_or(i64::MAX);
        Micros(ORIGIN_US.saturating_add(elapsed_us))
    }

    /// Converts a time of this clock to an [`Instant`]; times before the start become the start.
    #[must_use]
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.0.saturating_sub(ORIGIN_US).max(0) as u64)
    }

    /// The Unix time at the clock's start, in milliseconds.
    #[must_use]
    pub fn start_unix_ms(&self) -> i64 {
        self.unix_start_us / 1_000
    }

    /// Converts a Unix time in milliseconds to this clock, using the current reading of the Unix clock. Never
    /// returns 0, which means an unknown time.
    #[must_use]
    pub fn at_present_unix_ms(&self, millis: f64) -> Micros {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let age_us = unix.as_micros() as f64 - millis * 1_000.0;
        Micros(self.now().0.saturating_sub(age_us as i64).max(1))
    }

    /// Converts a Unix time in milliseconds to this clock, using the offset between the clocks at the start.
    /// Never returns 0, which means an unknown time.
    #[must_use]
    pub fn at_unix_ms(&self, millis: f64) -> Micros {
        let since_start_us = (millis * 1_000.0) as i64 - self.unix_start_us;
        Micros(ORIGIN_US.saturating_add(since_start_us).max(1))
    }
}

/// The time `delay` after `time`.
#[must_use]
pub(crate) fn after(time: Micros, delay: Micros) -> Micros {
    Micros(time.0 + delay.0)
}

/// The time `delay` before `time`.
#[must_use]
pub(crate) fn before(time: Micros, delay: Micros) -> Micros {
    Micros(time.0 - delay.0)
}

/// The duration from `earlier` to `later`.
#[must_use]
pub(crate) fn elapsed(earlier: Micros, later: Micros) -> Micros {
    Micros(later.0 - earlier.0)
}
