//! A connection of the client: its state, the request in flight and the response received so far.

use super::request::Request;
use slatevalve_http::{Limits, MessageDecoder, Side};

/// The state of a connection, with the request that it carries or is being opened for.
#[derive(Debug)]
pub(super) enum ConnectionState {
    Closed,
    /// The connection is being opened; the request is sent once it is established.
    Connecting(Request),
    /// Open, without a request in flight.
    Idle,
    /// Open, with this request in flight.
    Busy(Request),
}

/// A connection and the response that it is receiving.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) state: ConnectionState,
    pub(super) reader: MessageDecoder,
    /// Status of the response in progress, once its head is received.
    pub(super) status: u16,
    /// Body of the response in progress, as far as it is received and not yet processed.
    pub(super) body: Vec<u8>,
    /// When opening the connection started, or the last request was sent; request timeouts count from here.
    pub(super) started_us: i64,
    /// Whether the server announced that it closes the connection after this response.
    pub(super) closes_after_response: bool,
    /// The `Retry-After` header of a 429 or 503 response.
    pub(super) retry_after_us: Option<i64>,
}

impl Connection {
    pub(super) fn new() -> Self {
        let limits = Limits { body: usize::MAX, ..Limits::default() };
        Connection {
            state: ConnectionState::Closed,
            reader: MessageDecoder::new(Side::Response, limits),
            status: 0,
            body: Vec::new(),
            started_us: 0,
            closes_after_response: false,
            retry_after_us: None,
        }
    }

    /// Returns the request in flight, or the one that the connection is being opened for.
    pub(super) fn request(&self) -> Option<&Request> {
        match &self.state {
            ConnectionState::Connecting(request) | ConnectionState::Busy(request) => Some(request),
            ConnectionState::Closed | ConnectionState::Idle => None,
        }
    }

    /// Returns whether a request can be sent now, or after opening the connection.
    pub(super) fn is_available(&self) -> bool {
        matches!(self.state, ConnectionState::Closed | ConnectionState::Idle)
    }

    pub(super) fn is_busy(&self) -> bool {
        matches!(self.state, ConnectionState::Busy(_))
    }
}
