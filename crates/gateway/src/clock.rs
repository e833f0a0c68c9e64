//! The gateway's clock: monotonic, in microseconds, with a conversion from the Unix clock for times that others report.
//!
//! Only the event loops and commands read it; everything below them takes the time as an argument.

use slatevalve::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The clock's time at its start, in microseconds: one day, so that times before the start are positive too.
const ORIGIN_US: i64 = 86_400_000_000;

/// A monotonic clock with a fixed offset to the Unix clock, taken at its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_start_us: i64,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_start_us: i64::try_from(unix.as_micros()).unwrap_or(i64::MAX) }
    }

    /// The time now.
    #[must_use]
    pub fn now(&self) -> Micros {
        let elapsed_us = i64::try_from(self.start.elapsed().as_micros()).unwrap_or(i64::MAX);
        Micros(ORIGIN_US.saturating_add(elapsed_us))
    }

    /// Converts a time of this clock to the system's monotonic clock; times before the start become the start.
    #[must_use]
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.0.saturating_sub(ORIGIN_US).max(0) as u64)
    }

    /// The Unix time at this clock's start, in milliseconds.
    #[must_use]
    pub fn start_unix_ms(&self) -> i64 {
        self.unix_start_us / 1_000
    }

    /// Converts a Unix time in milliseconds to this clock by the Unix clock as it is now. Never 0, which stands for an unknown
    /// time.
    #[must_use]
    pub fn at_present_unix_ms(&self, millis: f64) -> Micros {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let age_us = unix.as_micros() as f64 - millis * 1_000.0;
        Micros(self.now().0.saturating_sub(age_us as i64).max(1))
    }

    /// Converts a Unix time in milliseconds to this clock, by the offset at its start. Never 0, which stands for an unknown time.
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

/// The duration from `earlier` to `later`.
#[must_use]
pub(crate) fn elapsed(earlier: Micros, later: Micros) -> Micros {
    Micros(later.0 - earlier.0)
}
