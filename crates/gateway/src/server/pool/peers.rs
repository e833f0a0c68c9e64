//! Workers in the pool: their addresses and connections.

use super::connections::Connection;
use super::Pool;
use slatevalve::{Micros, ProcessInfo, ProcessLimits, WorkerId};
use slatevalve_reactor::{Id, Reactor};
use std::net::SocketAddr;

/// A worker that is in the worker list or still has a connection.
pub(super) struct Peer {
    /// Used in logs only.
    pub(super) name: String,
    pub(super) address: SocketAddr,
    /// The address, formatted for the `Host` header of requests.
    pub(super) host: String,
    /// Connections without a request, most recently used last.
    pub(super) idle: Vec<Id>,
    /// All connections, in the order they were opened.
    pub(super) connections: Vec<Id>,
    /// When an established connection last ended without the pool closing it, as at the end of a process.
    pub(super) connection_ended_at: Option<Micros>,
    /// Whether new requests may be sent to the worker.
    pub(super) is_listed: bool,
}

impl Peer {
    /// Since when a process must be known to run to be within the limits; `None` if any process is.
    pub(super) fn process_since(&self, limits: ProcessLimits) -> Option<Micros> {
        let is_recent = |at: &Micros| limits.unreplaced_since.is_some_and(|since| *at >= since);
        let ended_at = self.connection_ended_at.filter(is_recent);
        let before_end = ended_at.map(|at| Micros(at.0 - 1));
        limits.since.into_iter().chain(before_end).min()
    }
}

impl Pool {
    /// Adds a worker or updates its address.
    ///
    /// Returns true if the address of a known worker changed. New requests then go to the new address, and
    /// the caller must cancel the requests not yet sent to the old one with [`Pool::cancel_unsent`].
    pub(crate) fn list(
        &mut self,
        reactor: &mut Reactor,
        worker: WorkerId,
        name: &str,
        address: SocketAddr,
    ) -> bool {
        let peer = self.peers.entry(worker).or_insert_with(|| Peer {
            name: name.into(),
            address,
            host: address.to_string(),
            idle: Vec::new(),
            connections: Vec::new(),
            connection_ended_at: None,
            is_listed: true,
        });
        peer.is_listed = true;
        let moved = peer.address != address;
        if moved {
            peer.address = address;
            peer.host = address.to_string();
            self.close_idle(reactor, worker);
            self.retire_connections(worker);
        }
        moved
    }

    /// Removes a worker: no new request is sent to it, and those in flight are completed.
    pub(crate) fn unlist(&mut self, reactor: &mut Reactor, worker: WorkerId) {
        if let Some(peer) = self.peers.get_mut(&worker) {
            peer.is_listed = false;
        }
        self.close_idle(reactor, worker);
        self.remove_peer_if_unused(worker);
    }

    /// A worker's name for logs; `?` for an unknown one.
    pub(crate) fn name(&self, worker: WorkerId) -> &str {
        self.peers.get(&worker).map_or("?", |p| &p.name)
    }

    /// A worker's connections, in the order they were opened.
    pub(super) fn connections_of(&self, worker: WorkerId) -> Vec<Id> {
        self.peers.get(&worker).map(|p| p.connections.clone()).unwrap_or_default()
    }

    /// Records that an established connection to a worker ended without the pool closing it.
    pub(super) fn record_connection_end(&mut self, now: Micros, worker: WorkerId) {
        if let Some(peer) = self.peers.get_mut(&worker) {
            peer.connection_ended_at = Some(now);
        }
    }

    /// What is known of the process at the other end of a connection; `None` if it is not established.
    pub(super) fn process_at(&self, connection: Id) -> Option<ProcessInfo> {
        let connection = self.connections.get(&connection)?;
        let since = connection.process_since?;
        let ended_at = self.peers.get(&connection.worker).and_then(|peer| peer.connection_ended_at);
        Some(ProcessInfo { since, may_be_new: ended_at.is_some_and(|at| since >= at) })
    }

    fn close_idle(&mut self, reactor: &mut Reactor, worker: WorkerId) {
        let idle = self.peers.get_mut(&worker).map(|p| std::mem::take(&mut p.idle)).unwrap_or_default();
        for id in idle {
            self.close_connection(reactor, id);
        }
    }

    /// Marks a worker's connections to be closed once their requests have completed, instead of being reused.
    fn retire_connections(&mut self, worker: WorkerId) {
        for id in self.connections_of(worker) {
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.retired = true;
            }
        }
    }

    pub(super) fn remove_peer_if_unused(&mut self, worker: WorkerId) {
        if self.peers.get(&worker).is_some_and(|p| !p.is_listed && p.connections.is_empty()) {
            self.peers.remove(&worker);
        }
    }

    /// Closes the connection that has been idle for the longest time. Returns whether there was one.
    pub(super) fn close_longest_idle(&mut self, reactor: &mut Reactor) -> bool {
        // Searches the connections, which are few, rather than the workers, of which there may be thousands.
        let is_idle = |id: &Id, connection: &Connection| {
            self.peers.get(&connection.worker).is_some_and(|peer| peer.idle.contains(id))
        };
        let idle = self.connections.iter().filter(|(id, connection)| is_idle(id, connection));
        let longest_idle = idle.min_by_key(|(id, connection)| (connection.deadline, **id));
        let Some(id) = longest_idle.map(|(id, _)| *id) else { return false };
        self.close_connection(reactor, id);
        true
    }
}
