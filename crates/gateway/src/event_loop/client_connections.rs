//! The client connections of a front end: sockets of the reactor by link of the front end, and the reverse.

use slatevalve_reactor::{Id, Reactor};
use std::collections::HashMap;
use std::hash::Hash;

/// Maps the reactor's connections to the links `Link` by which a front end knows them, both ways.
///
/// A link is in both maps or in neither, and its number is never used again.
pub(crate) struct ClientConnections<Link> {
    /// Makes a link of its number.
    link_of_number: fn(u64) -> Link,
    last_number: u64,
    links: HashMap<Id, Link>,
    sockets: HashMap<Link, Id>,
}

impl<Link: Copy + Eq + Hash> ClientConnections<Link> {
    /// No connections yet.
    pub(crate) fn new(link_of_number: fn(u64) -> Link) -> Self {
        ClientConnections { link_of_number, last_number: 0, links: HashMap::new(), sockets: HashMap::new() }
    }

    /// Adds an accepted connection under a new link.
    pub(crate) fn add(&mut self, connection: Id) -> Link {
        self.last_number += 1;
        let link = (self.link_of_number)(self.last_number);
        self.links.insert(connection, link);
        self.sockets.insert(link, connection);
        link
    }

    /// The link of a connection, where it is a client's.
    pub(crate) fn link(&self, connection: Id) -> Option<Link> {
        self.links.get(&connection).copied()
    }

    /// Forgets a connection that the reactor reported closed; returns its link where it was a client's.
    pub(crate) fn remove(&mut self, connection: Id) -> Option<Link> {
        let link = self.links.remove(&connection)?;
        self.sockets.remove(&link);
        Some(link)
    }

    /// Buffers bytes for a client; does nothing once its connection is gone.
    pub(crate) fn write(&self, reactor: &mut Reactor, link: Link, bytes: &[u8]) {
        if let Some(connection) = self.sockets.get(&link) {
            reactor.write(*connection, bytes);
        }
    }

    /// Closes a client's connection after its buffered bytes are sent, and forgets it.
    pub(crate) fn close_gracefully(&mut self, reactor: &mut Reactor, link: Link) {
        if let Some(connection) = self.sockets.remove(&link) {
            self.links.remove(&connection);
            reactor.close_gracefully(connection);
        }
    }

    /// Like [`ClientConnections::close_gracefully`] for all clients.
    pub(crate) fn close_all_gracefully(&mut self, reactor: &mut Reactor) {
        for (connection, _) in self.links.drain() {
            reactor.close_gracefully(connection);
        }
        self.sockets.clear();
    }
}
