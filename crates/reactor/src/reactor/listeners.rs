//! Listeners on TCP and Unix sockets, and accepting of connections.

use super::Reactor;
use crate::connection::{Connection, Intake};
use crate::event::{Id, ReactorEvent};
use crate::registry::{Listener, Source};
use polling::Event;
use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use std::fs::{self, Permissions};
use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;
use std::path::Path;

/// Limit of connections accepted from one listener per poll, so that other sources are not starved.
const ACCEPTS_PER_POLL: usize = 64;
/// Length of the kernel's accept queue.
const LISTEN_BACKLOG: i32 = 1024;
/// Permissions of a Unix socket: only its owner may connect.
const UNIX_SOCKET_MODE: u32 = 0o600;

/// State of a listener's accept queue in the kernel after accepting from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptQueue {
    /// All queued connections were accepted.
    Empty,
    /// Accepting failed; the queue may still contain connections.
    Unknown,
}

impl Reactor {
    /// Listens on a TCP address; port 0 lets the kernel choose. Returns the listener and the address that was
    /// bound.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn listen(&mut self, address: SocketAddr) -> io::Result<(Id, SocketAddr)> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        socket.set_nonblocking(true)?;
        let bound = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok((self.registry.register(eager_listener(socket), Event::readable)?, bound))
    }

    /// Listens on a Unix socket to which only its owner may connect (mode 0600). A socket file left behind by
    /// an earlier process is replaced; one that a process listens on is not.
    ///
    /// # Errors
    /// If the path cannot be bound, or a process listens on it.
    pub fn listen_unix(&mut self, path: &Path) -> io::Result<Id> {
        match UnixStream::connect(path) {
            Ok(_) => return Err(io::ErrorKind::AddrInUse.into()),
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => fs::remove_file(path)?,
            Err(_) => {}
        }
        let socket = Socket::new(Domain::UNIX, Type::STREAM, None)?;
        socket.bind(&SockAddr::unix(path)?)?;
        // No process can connect before `listen`, so the permissions apply from the start.
        fs::set_permissions(path, Permissions::from_mode(UNIX_SOCKET_MODE))?;
        socket.listen(LISTEN_BACKLOG)?;
        socket.set_nonblocking(true)?;
        self.registry.register(eager_listener(socket), Event::readable)
    }

    /// Has connections that a listener accepts from now on read on demand; see [`Reactor::read_on_demand`].
    ///
    /// The kernel keeps at most `receive_buffer` bytes of unread input of each; it may round that number up.
    pub fn accept_on_demand(&mut self, listener: Id, receive_buffer: usize) {
        if let Some(listener) = self.registry.listener_mut(listener) {
            listener.intake = Intake::OnDemand;
            // Accepted sockets inherit the size. If it cannot be set, the system's own limit applies.
            let _ = listener.socket.set_recv_buffer_size(receive_buffer);
        }
    }

    /// Resumes accepting after [`ReactorEvent::AcceptFailed`].
    pub fn resume_accepting(&mut self, listener: Id) {
        if self.registry.listener(listener).is_some() {
            self.registry.set_interest(listener, Event::readable(listener.0));
        }
    }

    /// Accepts all connections in a listener's queue and appends their events to `out`. The result indicates
    /// whether accepting failed, in which case the queue may still contain connections.
    pub fn accept_all(&mut self, listener: Id, out: &mut Vec<ReactorEvent>) -> AcceptQueue {
        for _ in 0..LISTEN_BACKLOG as usize / ACCEPTS_PER_POLL {
            let before = out.len();
            self.accept(listener, out);
            if matches!(out.last(), Some(ReactorEvent::AcceptFailed { .. })) {
                return AcceptQueue::Unknown;
            }
            if out.len() == before {
                break;
            }
        }
        AcceptQueue::Empty
    }

    /// Accepts queued connections, up to the limit per poll.
    pub(super) fn accept(&mut self, listener: Id, out: &mut Vec<ReactorEvent>) {
        for _ in 0..ACCEPTS_PER_POLL {
            let Some(Listener { socket, intake }) = self.registry.listener(listener) else { return };
            let intake = *intake;
            match socket.accept() {
                Ok((stream, peer)) => out.extend(self.register_accepted(listener, stream, &peer, intake)),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    // Polling is level-triggered: if the listener stayed polled, every poll would report the
                    // error again.
                    self.registry.set_interest(listener, Event::none(listener.0));
                    out.push(ReactorEvent::AcceptFailed { listener, error });
                    return;
                }
            }
        }
    }

    /// Registers an accepted connection. One that cannot be set up is closed without an event.
    fn register_accepted(
        &mut self,
        listener: Id,
        stream: Socket,
        peer: &SockAddr,
        intake: Intake,
    ) -> Option<ReactorEvent> {
        // Fails on Unix sockets, which have no Nagle's algorithm to disable.
        let _ = stream.set_tcp_nodelay(true);
        stream.set_nonblocking(true).ok()?;
        let source = Source::Connection(Connection::established(stream, intake));
        let connection = self.registry.register(source, Event::readable).ok()?;
        Some(ReactorEvent::Accepted { listener, connection, peer: peer.as_socket() })
    }
}

/// A listener whose connections are read during polls.
fn eager_listener(socket: Socket) -> Source {
    Source::Listener(Listener { socket, intake: Intake::Eager })
}
