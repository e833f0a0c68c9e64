//! Public listener of an event loop, with a pause after a failed accept.

use crate::clock::after;
use slatevalve::Micros;
use slatevalve_reactor::{AcceptQueue, Id, Reactor, ReactorEvent};
use std::io;
use std::net::SocketAddr;

/// Unread input of a client that the kernel keeps: a few of the largest requests.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;

/// A TCP listener that stops accepting for a fixed time after a failed accept.
#[derive(Debug)]
pub(crate) struct Listener {
    id: Id,
    address: SocketAddr,
    /// Duration of the pause after a failed accept.
    accept_pause: Micros,
    resume_at: Option<Micros>,
}

impl Listener {
    /// Binds the address and listens on it. Accepted connections are read on demand.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub(crate) fn open(reactor: &mut Reactor, address: SocketAddr, accept_pause: Micros) -> io::Result<Self> {
        let (id, address) = reactor.listen(address)?;
        reactor.accept_on_demand(id, RECEIVE_BUFFER_BYTES);
        Ok(Listener { id, address, accept_pause, resume_at: None })
    }

    /// The listener's id in reactor events.
    pub(crate) fn id(&self) -> Id {
        self.id
    }

    /// The bound address; for port 0, with the port chosen by the system.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// When a paused listener accepts again; `None` if it is not paused.
    pub(crate) fn resume_at(&self) -> Option<Micros> {
        self.resume_at
    }

    /// Starts the pause after a failed accept. The reactor has already stopped polling the listener.
    pub(crate) fn pause(&mut self, now: Micros) {
        self.resume_at = Some(after(now, self.accept_pause));
    }

    /// Ends the pause if it has expired.
    pub(crate) fn resume_if_due(&mut self, now: Micros, reactor: &mut Reactor) {
        if self.resume_at.is_some_and(|at| at <= now) {
            self.resume_at = None;
            reactor.resume_accepting(self.id);
        }
    }

    /// Closes the listener immediately. Connections in the kernel's accept queue are reset.
    pub(crate) fn close(&mut self, reactor: &mut Reactor) {
        reactor.close(self.id);
        self.resume_at = None;
    }

    /// Accepts all connections in the kernel's accept queue and appends their events to `accepted`.
    pub(crate) fn accept_all(&self, reactor: &mut Reactor, accepted: &mut Vec<ReactorEvent>) -> AcceptQueue {
        reactor.accept_all(self.id, accepted)
    }
}
