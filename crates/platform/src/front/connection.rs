//! The state of one client connection, and when it is to be closed.

use crate::frame::Scanner;
use slatevalve::Micros;
use slatevalve_engine::Ticket;
use std::collections::BTreeMap;

/// Time in which a connection must bring its first message, and in which each message that began must be complete.
const MESSAGE_TIMEOUT: Micros = Micros(2_000_000);
/// Time after which a connection is closed that interrupted requests and never had a response: it only costs resources. It is
/// not closed at once, as its next request may have been sent already.
const INTERRUPTED_TIMEOUT: Micros = Micros(1_500_000);
/// Time after which a connection without an open request is closed; usual clients close theirs after 4 s.
const IDLE_TIMEOUT: Micros = Micros(5_500_000);
/// Age below which a connection may be just about to send its first request; it is evicted after all others.
const NEW_CONNECTION_AGE: Micros = Micros(100_000);

/// One client connection.
#[derive(Default)]
pub(super) struct Connection {
    pub scanner: Scanner,
    /// The bytes of an incomplete message.
    pub buffer: Vec<u8>,
    /// Open requests by their numbers.
    pub open: BTreeMap<u32, Ticket>,
    /// The highest number of a request.
    pub last_number: u32,
    opened_at: Micros,
    /// When a message or a request last began or completed.
    pub last_active: Micros,
    /// Since when a message has been incomplete.
    pub incomplete_since: Option<Micros>,
    /// Whether a whole message was received.
    received_message: bool,
    /// Whether a response was written.
    pub has_response: bool,
    /// When a request was interrupted first.
    pub interrupted_since: Option<Micros>,
}

/// The order in which idle connections are evicted, lowest first: unused ones before used ones, and the longest idle
/// first, but new connections, and last the one for which room is made, after all others.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    is_newcomer: bool,
    is_new: bool,
    received_message: bool,
    last_active: Micros,
}

impl Connection {
    pub(super) fn new(now: Micros) -> Self {
        Connection { opened_at: now, last_active: now, ..Connection::default() }
    }

    /// Notes that a whole message was received.
    pub(super) fn message_completed(&mut self, now: Micros) {
        self.received_message = true;
        self.incomplete_since = None;
        self.last_active = now;
    }

    /// Keeps the bytes of an incomplete message, if any.
    pub(super) fn keep_incomplete(&mut self, now: Micros, bytes: Vec<u8>) {
        if bytes.is_empty() {
            // The memory of the buffer is released, so that an idle connection costs little.
            self.buffer = Vec::new();
        } else {
            self.incomplete_since.get_or_insert(now);
            self.buffer = bytes;
        }
    }

    pub(super) fn eviction_rank(&self, now: Micros, is_newcomer: bool) -> EvictionRank {
        EvictionRank {
            is_newcomer,
            is_new: elapsed(self.opened_at, now) < NEW_CONNECTION_AGE,
            received_message: self.received_message,
            last_active: self.last_active,
        }
    }

    /// Whether the connection has sent nothing, stopped within a message, been idle for too long or only taken requests back.
    pub(super) fn is_expired(&self, now: Micros) -> bool {
        let is_stalled = self.incomplete_since.is_some_and(|since| elapsed(since, now) > MESSAGE_TIMEOUT);
        let is_unused = !self.received_message && elapsed(self.opened_at, now) > MESSAGE_TIMEOUT;
        let is_idle = self.open.is_empty() && elapsed(self.last_active, now) > IDLE_TIMEOUT;
        let only_interrupts = !self.has_response
            && self.open.is_empty()
            && self.interrupted_since.is_some_and(|since| elapsed(since, now) > INTERRUPTED_TIMEOUT);
        is_stalled || is_unused || is_idle || only_interrupts
    }
}

fn elapsed(since: Micros, now: Micros) -> Micros {
    Micros(now.0.saturating_sub(since.0))
}
