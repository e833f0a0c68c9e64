//! The state of one connection.

use crate::write_buffer::WriteBuffer;
use socket2::Socket;

/// How far a connection's graceful close has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClosePhase {
    /// The connection is open.
    Open,
    /// The connection is half-closed as soon as its buffered bytes are written; it is no longer read.
    Flushing,
    /// Half-closed, and closed for its owner; what the peer still sends is read and discarded.
    Lingering {
        /// Number of bytes still read before the connection is closed.
        remaining: usize,
    },
}

/// A connection, established or being opened.
pub(crate) struct Connection {
    pub(crate) stream: Socket,
    /// Whether the connection was ever established.
    pub(crate) connected: bool,
    pub(crate) output: WriteBuffer,
    /// Whether the poller watches for writability.
    pub(crate) watches_writes: bool,
    /// Whether the connection is listed to be written at the next poll.
    pub(crate) write_scheduled: bool,
    pub(crate) close_phase: ClosePhase,
}

impl Connection {
    /// A connection that is being opened.
    pub(crate) fn opening(stream: Socket) -> Self {
        Connection {
            stream,
            connected: false,
            output: WriteBuffer::default(),
            watches_writes: true,
            write_scheduled: false,
            close_phase: ClosePhase::Open,
        }
    }

    /// A connection that a listener accepted.
    pub(crate) fn established(stream: Socket) -> Self {
        Connection { connected: true, watches_writes: false, ..Connection::opening(stream) }
    }

    pub(crate) fn is_lingering(&self) -> bool {
        matches!(self.close_phase, ClosePhase::Lingering { .. })
    }

    /// Whether the poller is to watch for writability: until established, and while bytes are pending.
    pub(crate) fn needs_writability(&self) -> bool {
        !self.connected || self.output.pending() > 0
    }
}
