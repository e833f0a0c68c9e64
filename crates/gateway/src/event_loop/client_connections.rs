//! Client connections of a front end: maps reactor connections to the front end's links and back, and decides
//! when their input is read.

use super::client_output::{ClientOutput, OutputChanges};
use super::input_queue::{InputQueue, Turn, TurnRead};
use slatevalve::Micros;
use slatevalve_reactor::{Id, Reactor, ReadOutcome};
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
    input: InputQueue,
    output: ClientOutput,
}

/// Input of a client, read in one turn.
pub(crate) struct ClientRead<Link> {
    /// The client's link; it has been removed if the connection has ended.
    pub(crate) link: Link,
    /// What was read; `None` if the connection has ended.
    pub(crate) input: Option<Vec<u8>>,
    pub(crate) turn: Turn,
    pub(crate) read: TurnRead,
}

impl<Link: Copy + Eq + Hash> ClientConnections<Link> {
    /// Creates an empty map. All clients together may have `max_unwritten` bytes waiting to be read by them.
    pub(crate) fn new(link_of_number: fn(u64) -> Link, max_unwritten: usize) -> Self {
        ClientConnections {
            link_of_number,
            last_number: 0,
            links: HashMap::new(),
            sockets: HashMap::new(),
            input: InputQueue::default(),
            output: ClientOutput::new(max_unwritten),
        }
    }

    /// Adds an accepted connection under a new link. Its input is read in turns.
    pub(crate) fn add(&mut self, connection: Id) -> Link {
        self.last_number += 1;
        let link = (self.link_of_number)(self.last_number);
        self.links.insert(connection, link);
        self.sockets.insert(link, connection);
        self.input.add(connection);
        link
    }

    /// Whether a connection is a client's.
    pub(crate) fn contains(&self, connection: Id) -> bool {
        self.links.contains_key(&connection)
    }

    /// Removes a connection that the reactor reported closed; returns its link if it was a client connection.
    pub(crate) fn remove(&mut self, connection: Id) -> Option<Link> {
        let link = self.links.remove(&connection)?;
        self.sockets.remove(&link);
        self.forget(connection);
        Some(link)
    }

    fn forget(&mut self, connection: Id) {
        self.input.remove(connection);
        self.output.remove(connection);
    }

    /// Begins an iteration of the loop, before its events are handled: clients that do not read get no turns,
    /// others get them again. Returns the links of clients that have to be closed because all together have
    /// too many bytes waiting.
    pub(crate) fn begin_iteration(&mut self, reactor: &mut Reactor) -> Vec<Link> {
        self.input.begin_iteration();
        let OutputChanges { suspended, resumed, closed } = self.output.check(reactor);
        for id in suspended {
            self.input.suspend(id);
            reactor.pause_reading(id);
        }
        for id in resumed {
            self.input.resume(id);
            reactor.read_on_demand(id);
        }
        closed.into_iter().filter_map(|id| self.close(reactor, id)).collect()
    }

    /// Records that input is available on a client connection, and may have been since `since`.
    pub(crate) fn mark_readable(&mut self, connection: Id, since: Micros) {
        self.input.mark_readable(connection, since);
    }

    /// Whether input waits to be read.
    pub(crate) fn has_input(&self) -> bool {
        self.input.has_waiting()
    }

    /// Reads the input of the next client, if one waits for its turn. The caller handles it and then calls
    /// [`ClientConnections::end_turn`].
    pub(crate) fn read_next(&mut self, now: Micros, reactor: &mut Reactor) -> Option<ClientRead<Link>> {
        let turn = self.input.next_turn(now)?;
        let link = *self.links.get(&turn.connection)?;
        let input = match reactor.read(turn.connection, turn.max_bytes) {
            ReadOutcome::Received(bytes) => Some(bytes),
            ReadOutcome::Blocked => Some(Vec::new()),
            ReadOutcome::Ended { .. } => {
                self.remove(turn.connection);
                None
            }
        };
        let bytes = input.as_ref().map_or(0, Vec::len);
        let unread = if bytes >= turn.max_bytes { reactor.unread(turn.connection) } else { 0 };
        Some(ClientRead { link, input, turn, read: TurnRead { bytes, unread } })
    }

    /// The links of the clients whose input waits to be read.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = Link> + '_ {
        self.input.waiting().filter_map(|id| self.links.get(&id).copied())
    }

    /// Ends a turn that took `time`.
    pub(crate) fn end_turn(&mut self, now: Micros, turn: Turn, read: TurnRead, time: Micros) {
        self.input.end_turn(now, turn, read, time);
    }

    /// Closes the connections that their clients have closed behind input that has been waiting, and returns
    /// their links.
    pub(crate) fn close_departed(&mut self, now: Micros, reactor: &mut Reactor) -> Vec<Link> {
        let stale = self.input.stale(now);
        if stale.is_empty() {
            return Vec::new();
        }
        let departed = reactor.closed_by_peers(&stale);
        departed.into_iter().filter_map(|id| self.close(reactor, id)).collect()
    }

    /// Closes a connection at once.
    fn close(&mut self, reactor: &mut Reactor, connection: Id) -> Option<Link> {
        reactor.close(connection);
        self.remove(connection)
    }

    /// Buffers bytes for a client; does nothing if its connection has been removed.
    pub(crate) fn write(&mut self, reactor: &mut Reactor, link: Link, bytes: &[u8]) {
        if let Some(connection) = self.sockets.get(&link) {
            reactor.write(*connection, bytes);
            self.output.buffered(*connection, reactor.pending(*connection));
        }
    }

    /// Whether bytes are buffered for a client.
    pub(crate) fn has_unwritten(&self, reactor: &Reactor) -> bool {
        self.links.keys().any(|connection| reactor.pending(*connection) > 0)
    }

    /// Removes a client connection and closes it once its buffered bytes are sent.
    pub(crate) fn close_gracefully(&mut self, reactor: &mut Reactor, link: Link) {
        if let Some(connection) = self.sockets.remove(&link) {
            self.links.remove(&connection);
            self.forget(connection);
            reactor.close_gracefully(connection);
        }
    }

    /// Same as [`ClientConnections::close_gracefully`], for all clients.
    pub(crate) fn close_all_gracefully(&mut self, reactor: &mut Reactor) {
        let links: Vec<Link> = self.sockets.keys().copied().collect();
        for link in links {
            self.close_gracefully(reactor, link);
        }
    }
}
