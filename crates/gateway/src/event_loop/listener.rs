//! The public listener of an event loop, and its pause after a failed accept.

use crate::clock::after;
use slatevalve::Micros;
use slatevalve_reactor::{AcceptQueue, Id, Reactor, ReactorEvent};
use std::io;
use std::net::SocketAddr;

/// A TCP listener that accepts no connections for a fixed time after an accept failed.
#[derive(Debug)]
pub(crate) struct Listener {
    id: Id,
    address: SocketAddr,
    /// Length of the pause after a failed accept.
    accept_pause: Micros,
    resume_at: Option<Micros>,
}

impl Listener {
    /// Binds and listens.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub(crate) fn open(reactor: &mut Reactor, address: SocketAddr, accept_pause: Micros) -> io::Result<Self> {
        let (id, address) = reactor.listen(address)?;
        Ok(Listener { id, address, accept_pause, resume_at: None })
    }

    /// Identifies the listener in the reactor's events.
    pub(crate) fn id(&self) -> Id {
        self.id
    }

    /// The bound address, with the port that the system chose where port 0 was asked for.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// When a paused listener accepts again.
    pub(crate) fn resume_at(&self) -> Option<Micros> {
        self.resume_at
    }

    /// Starts the pause after a failed accept; the reactor has stopped watching the listener already.
    pub(crate) fn pause(&mut self, now: Micros) {
        self.resume_at = Some(after(now, self.accept_pause));
    }

    /// Ends the pause once its time is up.
    pub(crate) fn resume_if_due(&mut self, now: Micros, reactor: &mut Reactor) {
        if self.resume_at.is_some_and(|at| at <= now) {
            self.resume_at = None;
            reactor.resume_accepting(self.id);
        }
    }

    /// Closes at once; connections in the kernel's accept queue are reset.
    pub(crate) fn close(&mut self, reactor: &mut Reactor) {
        reactor.close(self.id);
        self.resume_at = None;
    }

    /// Accepts what is in the kernel's accept queue; `accepted` receives the events of these connections.
    pub(crate) fn accept_all(&self, reactor: &mut Reactor, accepted: &mut Vec<ReactorEvent>) -> AcceptQueue {
        reactor.accept_all(self.id, accepted)
    }
}
