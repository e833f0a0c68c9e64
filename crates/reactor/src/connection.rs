//! State of one connection.

use crate::write_buffer::WriteBuffer;
use socket2::Socket;

/// Phase of a connection's graceful close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClosePhase {
    /// Not closing.
    Open,
    /// The buffered bytes are being written, after which the connection is half-closed. It is no longer read.
    Flushing,
    /// Half-closed, and reported to its owner as closed; further bytes from the peer are read and discarded.
    Lingering {
        /// Number of bytes that may still be read before the connection is closed.
        remaining: usize,
    },
}

/// When the input of a connection is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Intake {
    /// During a poll.
    Eager,
    /// When the owner reads it; a poll only reports that input is available.
    OnDemand,
    /// Not at all until the owner resumes reading on demand.
    Paused,
}

/// A connection, established or still connecting.
pub(crate) struct Connection {
    pub(crate) stream: Socket,
    /// Whether the connection was ever established.
    pub(crate) connected: bool,
    pub(crate) output: WriteBuffer,
    /// Whether the poller watches for writability.
    pub(crate) watches_writes: bool,
    /// Whether the connection is in `Reactor::scheduled_writes`.
    pub(crate) write_scheduled: bool,
    pub(crate) close_phase: ClosePhase,
    pub(crate) intake: Intake,
    /// Whether a write failed, so that the connection ends once its input has been read.
    pub(crate) write_failed: bool,
}

impl Connection {
    /// Creates the state of a connection that is still connecting.
    pub(crate) fn opening(stream: Socket) -> Self {
        Connection {
            stream,
            connected: false,
            output: WriteBuffer::default(),
            watches_writes: true,
            write_scheduled: false,
            close_phase: ClosePhase::Open,
            intake: Intake::Eager,
            write_failed: false,
        }
    }

    /// Creates the state of an accepted connection.
    pub(crate) fn established(stream: Socket, intake: Intake) -> Self {
        Connection { connected: true, watches_writes: false, intake, ..Connection::opening(stream) }
    }

    pub(crate) fn is_lingering(&self) -> bool {
        matches!(self.close_phase, ClosePhase::Lingering { .. })
    }

    /// Whether to poll for readability.
    pub(crate) fn needs_readability(&self) -> bool {
        match self.close_phase {
            ClosePhase::Open => self.intake != Intake::Paused,
            ClosePhase::Flushing => false,
            ClosePhase::Lingering { .. } => true,
        }
    }

    /// Whether to poll for writability: until the connection is established, and while bytes are pending.
    pub(crate) fn needs_writability(&self) -> bool {
        !self.connected || self.output.pending() > 0
    }
}
