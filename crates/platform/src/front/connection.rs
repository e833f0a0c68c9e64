//! State of one client connection, and the rules for closing or evicting it.

use crate::frame::Scanner;
use slatevalve::Micros;
use slatevalve_engine::Ticket;
use std::collections::BTreeMap;

/// Time within which the first message must arrive on a new connection, and within which a message must be
/// complete after its first byte.
const MESSAGE_TIMEOUT: Micros = Micros(2_000_000);
/// Time after which a connection is closed that only sent requests and interrupted them, without any
/// response: it consumes resources without a result. It is not closed immediately, because its next request
/// may already be in transit.
const INTERRUPTED_TIMEOUT: Micros = Micros(1_500_000);
/// Time after which a connection without an open request is closed. Normal clients close idle connections
/// after 4 s.
const IDLE_TIMEOUT: Micros = Micros(5_500_000);
/// Connections younger than this are evicted after all older ones, because their first request may still be
/// in transit.
const NEW_CONNECTION_AGE: Micros = Micros(100_000);

#[derive(Default)]
pub(super) struct Connection {
    pub scanner: Scanner,
    /// Bytes of an incomplete message.
    pub buffer: Vec<u8>,
    /// Open requests by request number.
    pub open: BTreeMap<u32, Ticket>,
    /// Highest request number so far.
    pub last_number: u32,
    opened_at: Micros,
    /// When input of the client last waited to be handled.
    input_waited_at: Option<Micros>,
    /// When the last message was completed or the last call answered; initially when the connection was
    /// opened.
    pub last_active: Micros,
    /// When the first bytes of the incomplete message arrived; `None` without one.
    pub incomplete_since: Option<Micros>,
    /// Whether a complete message was ever received.
    received_message: bool,
    /// Whether a response was ever written.
    pub has_response: bool,
    /// When the client first interrupted a request.
    pub interrupted_since: Option<Micros>,
}

/// The order in which idle connections are evicted, lowest first. Connections that never sent a complete
/// message come before those that did; within each group, the longest idle one comes first. Connections
/// younger than [`NEW_CONNECTION_AGE`] come after all older ones, and the connection that exceeded the limit
/// comes last.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    exceeds_limit: bool,
    is_new: bool,
    received_message: bool,
    last_active: Micros,
}

impl Connection {
    pub(super) fn new(now: Micros) -> Self {
        Connection { opened_at: now, last_active: now, ..Connection::default() }
    }

    /// Restarts the timeouts, as input of the client waits to be handled.
    pub(super) fn restart_timeouts(&mut self, now: Micros) {
        self.last_active = now;
        self.input_waited_at = Some(now);
        self.incomplete_since = self.incomplete_since.map(|_| now);
    }

    /// Records a complete message.
    pub(super) fn message_completed(&mut self, now: Micros) {
        self.received_message = true;
        self.incomplete_since = None;
        self.last_active = now;
    }

    /// Stores the bytes of an incomplete message, if any.
    pub(super) fn keep_incomplete(&mut self, now: Micros, mut bytes: Vec<u8>) {
        if bytes.is_empty() {
            // Releases the buffer's memory, so that idle connections take little.
            self.buffer = Vec::new();
        } else {
            self.incomplete_since.get_or_insert(now);
            bytes.shrink_to_fit();
            self.buffer = bytes;
        }
    }

    pub(super) fn eviction_rank(&self, now: Micros, exceeds_limit: bool) -> EvictionRank {
        EvictionRank {
            exceeds_limit,
            is_new: elapsed(self.opened_at, now) < NEW_CONNECTION_AGE,
            received_message: self.received_message,
            last_active: self.last_active,
        }
    }

    /// Whether the connection is to be closed: it sent nothing, stopped within a message, was idle for too
    /// long, or only sent requests that it then interrupted.
    pub(super) fn is_expired(&self, now: Micros) -> bool {
        let is_stalled = self.incomplete_since.is_some_and(|since| elapsed(since, now) > MESSAGE_TIMEOUT);
        let waits_since = self.input_waited_at.unwrap_or(self.opened_at);
        let is_unused = !self.received_message && elapsed(waits_since, now) > MESSAGE_TIMEOUT;
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
