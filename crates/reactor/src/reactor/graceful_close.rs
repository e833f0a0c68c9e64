//! Graceful close: once the buffered bytes are written, the connection is half-closed and read to its end for
//! a bounded time (lingering close), so that the peer can read everything that was sent to it.

use super::Reactor;
use crate::connection::ClosePhase;
use crate::event::{Id, ReactorEvent};
use crate::write_buffer::is_transient;
use std::collections::VecDeque;
use std::io::Read;
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// Default limit of connections in lingering close. When it is exceeded, the longest lingering one is closed.
pub const MAX_LINGERING: usize = 16;
/// Default limit of closing connections whose buffered bytes are being written. When it is exceeded, the one that
/// has been closing for the longest time is closed.
pub const MAX_FLUSHING: usize = 64;
/// Longest time for which a half-closed connection is read.
const LINGERING_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit of bytes read and discarded from a half-closed connection.
const LINGERING_BYTES_MAX: usize = 1024 * 1024;
/// Limit of the time for writing the buffered bytes of a closing connection, whose peer may never read them.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

struct Closing {
    id: Id,
    /// When it was queued.
    since: Instant,
}

/// Connections in graceful close. Both queues are ordered by time, earliest first.
pub(super) struct GracefulClose {
    /// Connections whose buffered bytes are being written. May contain connections that have since been
    /// written or closed.
    flushing: VecDeque<Closing>,
    lingering: VecDeque<Closing>,
    max_lingering: usize,
    max_flushing: usize,
}

impl Default for GracefulClose {
    fn default() -> Self {
        GracefulClose {
            flushing: VecDeque::new(),
            lingering: VecDeque::new(),
            max_lingering: MAX_LINGERING,
            max_flushing: MAX_FLUSHING,
        }
    }
}

impl GracefulClose {
    /// Time until the next timeout of a connection in graceful close.
    pub(super) fn next_timeout(&self) -> Option<Duration> {
        let lingering = self.lingering.front().map(|c| LINGERING_TIMEOUT.saturating_sub(c.since.elapsed()));
        let flushing = self.flushing.front().map(|c| FLUSH_TIMEOUT.saturating_sub(c.since.elapsed()));
        lingering.into_iter().chain(flushing).min()
    }

    pub(super) fn forget_lingering(&mut self, id: Id) {
        self.lingering.retain(|c| c.id != id);
    }
}

impl Reactor {
    /// Closes a connection gracefully.
    ///
    /// Its buffered bytes are written first, within at most 5 s. Then it is half-closed, the next poll
    /// reports [`ReactorEvent::Closed`], and further bytes from the peer are read and discarded, for at most
    /// 0.5 s and 1 MiB.
    pub fn close_gracefully(&mut self, id: Id) {
        let Some(connection) = self.registry.connection_mut(id) else { return };
        if connection.close_phase != ClosePhase::Open {
            return;
        }
        if connection.output.pending() == 0 {
            return self.half_close(id);
        }
        connection.close_phase = ClosePhase::Flushing;
        self.closing.flushing.push_back(Closing { id, since: Instant::now() });
        self.update_interest(id);
        self.limit_flushing();
    }

    /// Closes the connections that have been flushing for the longest time while there are too many.
    fn limit_flushing(&mut self) {
        if self.closing.flushing.len() <= self.closing.max_flushing {
            return;
        }
        let registry = &self.registry;
        let is_flushing = |id| registry.connection(id).is_some_and(|c| c.close_phase == ClosePhase::Flushing);
        self.closing.flushing.retain(|closing| is_flushing(closing.id));
        while self.closing.flushing.len() > self.closing.max_flushing {
            let Some(longest) = self.closing.flushing.pop_front() else { return };
            self.close_and_report(longest.id);
        }
    }

    /// Removes the limits of connections in lingering close and of those whose bytes are being written, which
    /// are [`MAX_LINGERING`] and [`MAX_FLUSHING`] by default.
    pub fn allow_any_number_of_closing(&mut self) {
        self.closing.max_lingering = usize::MAX;
        self.closing.max_flushing = usize::MAX;
    }

    /// Number of connections in lingering close.
    #[must_use]
    pub fn lingering(&self) -> usize {
        self.closing.lingering.len()
    }

    /// Shuts down the write side of a connection, reports its end to the owner, and begins its lingering
    /// close.
    pub(super) fn half_close(&mut self, id: Id) {
        let Some(connection) = self.registry.connection_mut(id) else { return };
        if !connection.connected || connection.stream.shutdown(Shutdown::Write).is_err() {
            return self.close_and_report(id);
        }
        let written = connection.output.written();
        connection.close_phase = ClosePhase::Lingering { remaining: LINGERING_BYTES_MAX };
        self.deferred_events.push(ReactorEvent::Closed { id, connected: true, written });
        self.update_interest(id);
        self.closing.lingering.push_back(Closing { id, since: Instant::now() });
        while self.closing.lingering.len() > self.closing.max_lingering {
            self.close_longest_lingering();
        }
    }

    /// Reads and discards bytes from a lingering connection; closes it at its end, on an error or at the
    /// limit.
    pub(super) fn read_lingering(&mut self, id: Id, remaining: usize) {
        let Some(connection) = self.registry.connection_mut(id) else { return };
        match connection.stream.read(&mut self.read_buffer) {
            Ok(count) if count > 0 && count < remaining => {
                connection.close_phase = ClosePhase::Lingering { remaining: remaining - count };
            }
            Err(e) if is_transient(&e) => {}
            _ => self.close(id),
        }
    }

    /// Closes the connections whose lingering or flushing has timed out.
    pub(super) fn expire_closing(&mut self) {
        while self.closing.lingering.front().is_some_and(|c| c.since.elapsed() >= LINGERING_TIMEOUT) {
            self.close_longest_lingering();
        }
        while let Some(Closing { id, since }) = self.closing.flushing.front() {
            let (id, since) = (*id, *since);
            let is_flushing =
                self.registry.connection(id).is_some_and(|c| c.close_phase == ClosePhase::Flushing);
            if is_flushing && since.elapsed() < FLUSH_TIMEOUT {
                break;
            }
            self.closing.flushing.pop_front();
            if is_flushing {
                self.close_and_report(id);
            }
        }
    }

    fn close_longest_lingering(&mut self) {
        if let Some(connection) = self.closing.lingering.pop_front() {
            self.close(connection.id);
        }
    }
}
