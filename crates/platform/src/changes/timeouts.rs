//! Timeouts of a poll of the change log, which adapt to a slow log.
//!
//! A connection attempt or poll that is aborted too soon starts again at the end of the log's queue, and may
//! never be served. The timeouts are doubled whenever one expires, and halved again when an answer arrives
//! well before its timeout.

use slatevalve::Micros;

/// Shortest timeout for establishing a connection.
const CONNECT_TIMEOUT: Micros = Micros(250_000);
/// Shortest time allowed for an answer in addition to the `timeout` parameter of the poll.
const RESPONSE_GRACE: Micros = Micros(300_000);
/// Limit of the doublings. Four timeouts in a row, with the polls' own wait and the backoff in between, take
/// less than the 7 s after which the platform treats the log's events as delivered.
const DOUBLINGS_MAX: u32 = 3;

#[derive(Debug, Default)]
pub(super) struct Timeouts {
    doublings: u32,
}

impl Timeouts {
    /// Timeout for establishing a connection.
    pub(super) fn connect(&self) -> Micros {
        Micros(CONNECT_TIMEOUT.0 << self.doublings)
    }

    /// Time allowed for an answer in addition to the `timeout` parameter of the poll.
    pub(super) fn response_grace(&self) -> Micros {
        Micros(RESPONSE_GRACE.0 << self.doublings)
    }

    /// Records an expired timeout.
    pub(super) fn expired(&mut self) {
        self.doublings = (self.doublings + 1).min(DOUBLINGS_MAX);
    }

    /// Records an answer that arrived `time_left` before its timeout.
    pub(super) fn answered(&mut self, time_left: Micros) {
        if time_left.0 > self.response_grace().0 / 2 {
            self.doublings = self.doublings.saturating_sub(1);
        }
    }
}
