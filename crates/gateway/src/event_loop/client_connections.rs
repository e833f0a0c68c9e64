//! Client connections of a front end: maps reactor connections to the front end's links and back.

use slatevalve_reactor::{Id, Reactor};
use std::collections::HashMap;
use std::hash::Hash;

/// Two-way map between reactor connections and the ids (`Link`) that a front end uses for them.
///
/// A link is in both maps or in neither. Link numbers are never reused.
pub(crate) struct ClientConnections<Link> {
    /// Constructs a link from its number.
    link_of_number: fn(u64) -> Link,
    last_number: u64,
    links: HashMap<Id, Link>,
    sockets: HashMap<Link, Id>,
}

impl<Link: Copy + Eq + Hash> ClientConnections<Link> {
    /// Creates an empty map.
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

    /// The link of a connection; `None` if it is not a client connection.
    pub(crate) fn link(&self, connection: Id) -> Option<Link> {
        self.links.get(&connection).copied()
    }

    /// Removes a connection that the reactor reported closed; returns its link if it was a client connection.
    pub(crate) fn remove(&mut self, connection: Id) -> Option<Link> {
        let link = self.links.remove(&connection)?;
        self.sockets.remove(&link);
        Some(link)
    }

    /// Buffers bytes for a client; does nothing if its connection has been removed.
    pub(crate) fn write(&self, reactor: &mut Reactor, link: Link, bytes: &[u8]) {
        if let Some(connection) = self.sockets.get(&link) {
            reactor.write(*connection, bytes);
        }
    }

    /// Removes a client connection and closes it once its buffered bytes are sent.
    pub(crate) fn close_gracefully(&mut self, reactor: &mut Reactor, link: Link) {
        if let Some(connection) = self.sockets.remove(&link) {
            self.links.remove(&connection);
            reactor.close_gracefully(connection);
        }
    }

    /// Same as [`ClientConnections::close_gracefully`], for all clients.
    pub(crate) fn close_all_gracefully(&mut self, reactor: &mut Reactor) {
        for (connection, _) in self.links.drain() {
            reactor.close_gracefully(connection);
        }
        self.sockets.clear();
    }
}
