//! Events of the reactor and the ids they refer to.

use std::io;
use std::net::SocketAddr;

/// Identifies a listener, connection or signal source; never reused within one reactor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(pub(crate) usize);

/// An event reported by [`Reactor::poll`](crate::Reactor::poll).
#[derive(Debug)]
pub enum ReactorEvent {
    /// A peer connected to a listener.
    Accepted {
        /// The listener.
        listener: Id,
        /// The new connection.
        connection: Id,
        /// The peer's address; none on a Unix socket.
        peer: Option<SocketAddr>,
    },
    /// An outgoing connection is established.
    Connected(Id),
    /// Bytes were received.
    Received(Id, Vec<u8>),
    /// All buffered bytes have been written, after the kernel had accepted only a part of them.
    Drained(Id),
    /// The connection ended; its id is no longer valid.
    Closed {
        /// The connection.
        id: Id,
        /// Whether the connection was ever established.
        connected: bool,
        /// Total bytes that the kernel accepted.
        written: u64,
    },
    /// A [`Waker`](crate::Waker) was used, once or more since the last poll.
    Woken,
    /// A signal registered with [`Reactor::signal`](crate::Reactor::signal) was delivered.
    Signal(i32),
    /// Accepting failed, most likely because no file descriptor was available. The listener is suspended until
    /// [`crate::Reactor::resume_accepting`].
    AcceptFailed {
        /// The listener.
        listener: Id,
        /// The cause.
        error: io::Error,
    },
}
