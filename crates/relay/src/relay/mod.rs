//! Serves routers: lists and watches of workers from the watch cache, and the routers' own entries. No I/O:
//! the inputs are times and the bytes received on each connection, the outputs [`RelayAction`]s.

mod requests;
mod watches;

use crate::entries::Entries;
use crate::watch_cache::{CacheUpdate, WatchCache};
use requests::{CachedList, Rejection};
use slatevalve_http::{Message, MessageReader, Side};
use slatevalve_registry::serve::answer;
use slatevalve_registry::wire::WATCH;
use slatevalve_registry::{Freshness, WatchState};
use std::collections::BTreeMap;
use watches::{Watch, WatchEnd};

const STATUS_OK: u16 = 200;

/// Limits of a [`Relay`]. Times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of connections, and of leases.
    pub peers: usize,
    /// Maximum number of events kept for routers that were disconnected.
    pub events: usize,
    /// How long a watch from a revision that the cache has not reached waits before it is rejected.
    pub hold_us: i64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { peers: 8_192, events: 20_000, hold_us: 1_500_000 }
    }
}

/// The id of a router's connection. The owner of the sockets assigns it and does not reuse it.
pub type Peer = u64;

/// An action for the owner of the sockets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayAction {
    /// Write these bytes.
    Write(Peer, Vec<u8>),
    /// Close the connection once all bytes are written.
    Finish(Peer),
    /// Write this number of routers into the relay's record in the registry.
    Announce(usize),
}

/// A router's connection.
struct Connection {
    reader: MessageReader,
    /// The watch that was requested on it; no other request may follow.
    watch: Option<Watch>,
}

/// The watch cache with the routers' connections, watches and entries; see the module's documentation.
pub struct Relay {
    limits: Limits,
    prefix: String,
    cache: WatchCache,
    entries: Entries,
    connections: BTreeMap<Peer, Connection>,
    /// Whether the cache was current at the last update, so that requests are served.
    is_serving: bool,
    /// The total number of routers by the registry's last count, those at relays included.
    counted_routers: usize,
    /// The number of this relay's routers that was last written to the registry.
    announced_routers: usize,
    /// The last encoded list, because hundreds of routers request the same one.
    cached_list: Option<CachedList>,
}

impl Relay {
    /// Creates a relay for the keys below a prefix. The name and `instance`, a random number of the process,
    /// determine the ids of its leases. It rejects all requests until the first [`Relay::update`] with a
    /// current state.
    pub fn new(limits: Limits, name: &str, instance: u64, prefix: &str) -> Self {
        Relay {
            prefix: prefix.into(),
            cache: WatchCache::new(limits.events),
            entries: Entries::new(name, instance, limits.peers),
            connections: BTreeMap::new(),
            is_serving: false,
            counted_routers: 0,
            announced_routers: 0,
            cached_list: None,
            limits,
        }
    }

    /// Returns whether requests are served, which is the case while the cache is current.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.is_serving
    }

    /// Sets the total number of routers that the registry's client counted, those at relays included.
    pub fn set_counted_routers(&mut self, routers: usize) {
        self.counted_routers = routers;
    }

    /// Handles a new connection. Returns `false` if there are too many; it is then to be closed.
    pub fn opened(&mut self, peer: Peer) -> bool {
        if self.connections.len() >= self.limits.peers {
            return false;
        }
        let reader = MessageReader::new(Side::Request, slatevalve_http::Limits::default());
        self.connections.insert(peer, Connection { reader, watch: None });
        true
    }

    /// Handles a closed connection.
    pub fn closed(&mut self, peer: Peer) {
        self.connections.remove(&peer);
    }

    /// Handles bytes received on a connection.
    pub fn received(&mut self, now_us: i64, peer: Peer, bytes: &[u8], actions: &mut Vec<RelayAction>) {
        let Some(connection) = self.connections.get_mut(&peer) else { return };
        match connection.reader.feed(bytes) {
            Ok(None) => {}
            // The response to a watch does not end, so another request on the same connection cannot be
            // answered.
            Ok(Some(_)) if connection.watch.is_some() => actions.push(RelayAction::Finish(peer)),
            Ok(Some(request)) => self.handle_request(now_us, peer, &request, actions),
            Err(_) => actions.push(RelayAction::Finish(peer)),
        }
    }

    fn handle_request(&mut self, now_us: i64, peer: Peer, request: &Message, actions: &mut Vec<RelayAction>) {
        if !self.is_serving {
            let rejection = Rejection::unavailable("this relay hears nothing of its registry");
            return actions.push(rejection.to_action(peer));
        }
        let (path, body) = (request.head.target.as_str(), request.body.as_slice());
        if path == WATCH {
            return self.handle_watch_request(now_us, peer, body, actions);
        }
        actions.push(match self.serve(now_us, path, body) {
            Ok(body) => RelayAction::Write(peer, answer(STATUS_OK, "", &body)),
            Err(rejection) => rejection.to_action(peer),
        });
    }

    /// Updates the cache from the registry's client. To be called after each event of the client, and
    /// periodically to detect that its state has become stale.
    pub fn update(&mut self, now_us: i64, watch_state: &WatchState, actions: &mut Vec<RelayAction>) {
        let is_current = watch_state.freshness(now_us) == Freshness::Current;
        if is_current {
            let (cluster, revision) = (watch_state.cluster(), watch_state.confirmed_revision());
            match self.cache.update(cluster, revision, watch_state.entries()) {
                CacheUpdate::Unchanged => {}
                CacheUpdate::Events(events) => self.send_events(&events, actions),
                CacheUpdate::Reset => self.end_watches(WatchEnd::Compacted, actions),
            }
        } else if self.is_serving {
            self.end_watches(WatchEnd::Unavailable, actions);
        }
        self.is_serving = is_current;
    }

    /// Handles the passage of time: removes expired entries, and starts or rejects watches that wait for the
    /// cache.
    pub fn advance(&mut self, now_us: i64, actions: &mut Vec<RelayAction>) {
        self.entries.expire(now_us);
        let routers = self.entries.count();
        if routers != self.announced_routers {
            self.announced_routers = routers;
            actions.push(RelayAction::Announce(routers));
        }
        self.advance_pending_watches(now_us, actions);
    }
}
