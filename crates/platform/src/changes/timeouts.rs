//! Time limits of an exchange with the change log, which adapt to a log that is slow.
//!
//! A connection or an answer that is given up too soon starts anew at the end of the log's queue, and may never be served. The
//! limits are doubled with each that was reached, and halved again while answers come well within them.

use slatevalve::Micros;

/// Least time for a connection to be established.
const CONNECT_TIMEOUT: Micros = Micros(250_000);
/// Least time for an answer beyond the wait that the poll asked for.
const RESPONSE_GRACE: Micros = Micros(300_000);
/// Doublings at most: four limits in a row, with the waits and the backoff in between, stay within the 7 s after which the
/// platform counts the log's news as told.
const DOUBLINGS_MAX: u32 = 3;

/// The current limits.
#[derive(Debug, Default)]
pub(super) struct Timeouts {
    doublings: u32,
}

impl Timeouts {
    /// Time for a connection to be established.
    pub(super) fn connect(&self) -> Micros {
        Micros(CONNECT_TIMEOUT.0 << self.doublings)
    }

    /// Time for an answer beyond the wait that the poll asked for.
    pub(super) fn response_grace(&self) -> Micros {
        Micros(RESPONSE_GRACE.0 << self.doublings)
    }

    /// A limit was reached.
    pub(super) fn reached(&mut self) {
        self.doublings = (self.doublings + 1).min(DOUBLINGS_MAX);
    }

    /// An answer came so much before its limit.
    pub(super) fn answered(&mut self, time_left: Micros) {
        if time_left.0 > self.response_grace().0 / 2 {
            self.doublings = self.doublings.saturating_sub(1);
        }
    }
}
