//! Reactor events, and the ids of the sources that they refer to.

use std::io;
use std::net::SocketAddr;

/// Identifies a listener, connection or signal source; never reused within one reactor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(pub(crate) usize);

/// Result of [`Reactor::read`](crate::Reactor::read).
#[derive(Debug)]
pub enum ReadOutcome {
    /// Bytes were read; fewer than were asked for if no more were available.
    Received(Vec<u8>),
    /// No input is available.
    Blocked,
    /// The connection ended; its id is no longer valid.
    Ended {
        /// Total number of bytes that the kernel accepted on the connection.
        written: u64,
    },
}

/// An event reported by [`Reactor::poll`](crate::Reactor::poll).
#[derive(Debug)]
pub enum ReactorEvent {
    /// A peer connected to a listener.
    Accepted {
        /// The listener that accepted the connection.
        listener: Id,
        /// The new connection, which is established.
        connection: Id,
        /// The peer's address; `None` on a Unix socket.
        peer: Option<SocketAddr>,
    },
    /// An outgoing connection is established.
    Connected(Id),
    /// Input is available on a connection that is read on demand: bytes, or the end of the connection. Reported
    /// by each poll until it is read.
    Readable(Id),
    /// Bytes received by one read; message boundaries are not preserved.
    Received(Id, Vec<u8>),
    /// All buffered bytes have been written, after an earlier write had been accepted only in part.
    Drained(Id),
    /// A connection ended, or could not be established.
    Closed {
        /// The connection; the id is no longer valid.
        id: Id,
        /// Whether the connection was ever established.
        connected: bool,
        /// Total number of bytes that the kernel accepted on the connection.
        written: u64,
    },
    /// A [`Waker`](crate::Waker) was used, once or more since the last poll.
    Woken,
    /// A signal registered with [`Reactor::signal`](crate::Reactor::signal) was delivered.
    Signal(i32),
    /// Accepting failed, most likely because no file descriptor was available. The listener is suspended
    /// until [`crate::Reactor::resume_accepting`].
    AcceptFailed {
        /// The suspended listener.
        listener: Id,
        /// The error returned by `accept`.
        error: io::Error,
    },
}
