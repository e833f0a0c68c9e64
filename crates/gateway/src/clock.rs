//! The gateway's clock: monotonic, in the module's microseconds, with a way from the Unix clock for what others
//! tell. The shell alone reads it; everything else is handed the time.

use slatevalve::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What the clock shows when it starts: later than 0, so that times before the start have their place.
const ORIGIN: i64 = 86_400_000_000;

/// See the module's documentation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_start_us: i64,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_start_us: i64::try_from(unix.as_micros()).unwrap_or(i64::MAX) }
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        Micros(ORIGIN.saturating_add(i64::try_from(self.start.elapsed().as_micros()).unwrap_or(i64::MAX)))
    }

    /// A time of this clock as the system's.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.0.saturating_sub(ORIGIN).max(0) as u64)
    }

    /// The Unix clock at the start, in milliseconds.
    pub fn unix_ms(&self) -> i64 {
        self.unix_start_us / 1_000
    }

    /// A time of the Unix clock, in milliseconds, as this clock shows it; never 0, which means unknown.
    pub fn at_unix_ms(&self, millis: f64) -> Micros {
        let since_start = (millis * 1_000.0) as i64 - self.unix_start_us;
        Micros(ORIGIN.saturating_add(since_start).max(1))
    }
}
