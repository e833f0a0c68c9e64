//! One of the client's two connections: its state, the request in flight and the response received so far.

use super::request::Request;
use slatevalve_http::{Limits, MessageDecoder, Side};

/// Whether a connection is open, and the request that it carries.
#[derive(Debug)]
pub(super) enum ConnectionState {
    Closed,
    /// Not connected yet; the request is sent once it is.
    Connecting(Request),
    Idle,
    Busy(Request),
}

/// One of the two connections.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) state: ConnectionState,
    pub(super) reader: MessageDecoder,
    /// The status and the body of the response in progress.
    pub(super) status: u16,
    pub(super) body: Vec<u8>,
    /// When the connection was opened, or the request was sent.
    pub(super) started_us: i64,
    /// Whether the peer closes the connection after this response.
    pub(super) closes_after_response: bool,
    /// The `Retry-After` of a response 429 or 503.
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

    /// Returns the request that is in flight, or that the connection is being opened for.
    pub(super) fn request(&self) -> Option<&Request> {
        match &self.state {
            ConnectionState::Connecting(request) | ConnectionState::Busy(request) => Some(request),
            ConnectionState::Closed | ConnectionState::Idle => None,
        }
    }

    /// Returns whether a request can be sent, after opening the connection if need be.
    pub(super) fn is_available(&self) -> bool {
        matches!(self.state, ConnectionState::Closed | ConnectionState::Idle)
    }

    pub(super) fn is_busy(&self) -> bool {
        matches!(self.state, ConnectionState::Busy(_))
    }
}
