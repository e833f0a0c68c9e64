//! The state of the event loop and its steps: socket events, the client's events, and the relay's actions.

use super::{RelayError, RelaySettings};
use crate::relay::{Peer, Relay, RelayAction};
use slatevalve_reactor::{Id, Reactor, ReactorEvent};
use slatevalve_registry::{ClientEvent, RelayRecord, RELAYS};
use slatevalve_registry_transport::Link;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Maximum number of bytes buffered for one router; a router that reads too slowly is disconnected.
const BUFFERED_BYTES_MAX: usize = 16 * 1024 * 1024;
const SIGTERM: i32 = 15;
const SIGINT: i32 = 2;
/// Interval of the checks for expired entries and for a stale cache.
const TICK_US: i64 = 100_000;
/// Minimum interval between writes of the number of routers to the registry.
const ANNOUNCE_INTERVAL_US: i64 = 1_000_000;
/// How long an orderly stop waits for the response to the revocation of the relay's own lease.
const REVOKE_TIMEOUT_US: i64 = 1_000_000;
/// The relay's clock at its start. It is above 0 so that times before the start can be represented.
const START_US: i64 = 1_000_000_000;

/// Whether the event loop continues.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Flow {
    Continue,
    Stop,
}

/// The routers' connections: the relay's ids and the reactor's ids, mapped in both directions.
#[derive(Default)]
struct Peers {
    last_peer: Peer,
    sockets: HashMap<Peer, Id>,
    by_socket: HashMap<Id, Peer>,
}

impl Peers {
    fn next_peer(&mut self) -> Peer {
        self.last_peer += 1;
        self.last_peer
    }

    fn insert(&mut self, peer: Peer, socket: Id) {
        self.sockets.insert(peer, socket);
        self.by_socket.insert(socket, peer);
    }

    fn remove(&mut self, socket: Id) -> Option<Peer> {
        let peer = self.by_socket.remove(&socket)?;
        self.sockets.remove(&peer);
        Some(peer)
    }
}

/// An orderly stop in progress.
#[derive(Clone, Copy)]
struct Stopping {
    /// The ticket of the revocation of the relay's lease, if it has one.
    revocation: Option<u64>,
    deadline_us: i64,
}

/// The pending write of the number of routers to the registry.
#[derive(Default)]
struct Announcement {
    /// The number to write; none if the registry has the current one.
    routers: Option<usize>,
    /// No write happens before this time.
    not_before_us: i64,
}

/// The event loop's state; see the module's documentation.
pub(super) struct RelayServer {
    reactor: Reactor,
    link: Link,
    relay: Relay,
    peers: Peers,
    started: Instant,
    actions: Vec<RelayAction>,
    announcement: Announcement,
    /// Set once a signal was received.
    stopping: Option<Stopping>,
    /// Whether the relay served requests when this was last logged.
    was_serving: bool,
    /// When the relay is next updated from the client.
    update_due_us: i64,
}

/// Encodes the relay's own record.
fn record(routers: usize) -> Vec<u8> {
    serde_json::to_vec(&RelayRecord { routers }).unwrap_or_default()
}

impl RelayServer {
    /// Opens the sockets. Returns the server and the address on which it listens.
    pub(super) fn start(settings: RelaySettings) -> Result<(Self, SocketAddr), RelayError> {
        let mut reactor = Reactor::new(BUFFERED_BYTES_MAX).map_err(RelayError::Loop)?;
        for signal in [SIGTERM, SIGINT] {
            reactor.signal(signal).map_err(RelayError::Loop)?;
        }
        let listening = reactor.listen(settings.listen);
        let (_, address) = listening.map_err(|error| RelayError::Listen(settings.listen, error))?;
        let mut client = settings.client;
        client.own = Some((format!("{}{RELAYS}{}", client.prefix, settings.name), record(0)));
        let relay = Relay::new(settings.limits, &settings.name, settings.instance, &client.prefix);
        let mut link = Link::new(client, settings.addresses);
        // Relays are few, so their delays can be short.
        link.client_mut().set_clients(1);
        let server = RelayServer {
            reactor,
            link,
            relay,
            peers: Peers::default(),
            started: Instant::now(),
            actions: Vec::new(),
            announcement: Announcement::default(),
            stopping: None,
            was_serving: false,
            update_due_us: 0,
        };
        Ok((server, address))
    }

    /// Returns the present time of the relay's monotonic clock.
    fn now_us(&self) -> i64 {
        START_US + i64::try_from(self.started.elapsed().as_micros()).unwrap_or(i64::MAX / 2)
    }

    /// Runs the event loop until a signal ends it.
    pub(super) fn run(&mut self) -> io::Result<()> {
        let mut events = Vec::new();
        loop {
            let now_us = self.now_us();
            let wait_us = (self.link.next_wake(now_us).min(now_us + TICK_US) - now_us).clamp(0, TICK_US);
            self.reactor.poll(Some(Duration::from_micros(wait_us as u64)), &mut events)?;
            if self.iterate(self.now_us(), &mut events) == Flow::Stop {
                return Ok(());
            }
        }
    }

    /// Runs one iteration of the event loop.
    fn iterate(&mut self, now_us: i64, events: &mut Vec<ReactorEvent>) -> Flow {
        for event in events.drain(..) {
            if self.link.handle_event(now_us, &mut self.reactor, &event) {
                self.update_due_us = now_us;
            } else if self.handle_event(now_us, event) == Flow::Stop {
                return Flow::Stop;
            }
        }
        self.link.advance(now_us, &mut self.reactor);
        for event in self.link.take_events() {
            if self.handle_client_event(event) == Flow::Stop {
                return Flow::Stop;
            }
        }
        let is_stopped =
            |stopping: &Stopping| stopping.revocation.is_none() || now_us >= stopping.deadline_us;
        if self.stopping.as_ref().is_some_and(is_stopped) {
            return Flow::Stop;
        }
        self.advance_relay(now_us);
        self.execute_actions();
        self.announce(now_us);
        Flow::Continue
    }

    /// Handles a signal, or an event of the listener or of a router's connection. The first signal starts an
    /// orderly stop, a second one stops at once.
    fn handle_event(&mut self, now_us: i64, event: ReactorEvent) -> Flow {
        match event {
            ReactorEvent::Signal(_) if self.stopping.is_some() => return Flow::Stop,
            ReactorEvent::Signal(_) => {
                let revocation = self.link.client_mut().leave();
                self.stopping = Some(Stopping { revocation, deadline_us: now_us + REVOKE_TIMEOUT_US });
            }
            ReactorEvent::Accepted { connection, .. } => self.accept(connection),
            ReactorEvent::Received(socket, bytes) => {
                if let Some(peer) = self.peers.by_socket.get(&socket) {
                    self.relay.received(now_us, *peer, &bytes, &mut self.actions);
                }
            }
            ReactorEvent::Closed { id: socket, .. } => {
                if let Some(peer) = self.peers.remove(socket) {
                    self.relay.closed(peer);
                }
            }
            ReactorEvent::AcceptFailed { listener, .. } => self.reactor.resume_accepting(listener),
            ReactorEvent::Connected(_)
            | ReactorEvent::Drained(_)
            | ReactorEvent::Readable(_)
            | ReactorEvent::Woken => {}
        }
        Flow::Continue
    }

    fn accept(&mut self, socket: Id) {
        let peer = self.peers.next_peer();
        if self.relay.opened(peer) {
            self.peers.insert(peer, socket);
        } else {
            self.reactor.close(socket);
        }
    }

    fn handle_client_event(&mut self, event: ClientEvent) -> Flow {
        match event {
            ClientEvent::Routers(count) => self.relay.set_counted_routers(count),
            ClientEvent::Failed(reason) => warn!(%reason, "registry: request failed"),
            ClientEvent::WatchFault(fault) => {
                warn!(?fault, "registry: the list is compared anew, or the watch restarted")
            }
            ClientEvent::LeaseLost => warn!("registry: our lease was lost; registering again"),
            ClientEvent::Registered => info!("registered"),
            ClientEvent::Answered(ticket, _) => {
                if self.stopping.is_some_and(|stopping| stopping.revocation == Some(ticket)) {
                    return Flow::Stop;
                }
            }
            ClientEvent::Changes(_) => {}
        }
        Flow::Continue
    }

    /// Updates the relay and advances its timers. An update compares all keys, so it happens only after
    /// events of the client and once per tick, not for each request of a router.
    fn advance_relay(&mut self, now_us: i64) {
        if now_us >= self.update_due_us {
            self.update_due_us = now_us + TICK_US;
            self.relay.update(now_us, self.link.client().watch_state(), &mut self.actions);
        }
        self.relay.advance(now_us, &mut self.actions);
        if self.relay.is_serving() != self.was_serving {
            self.was_serving = self.relay.is_serving();
            info!(serves = self.was_serving, workers = self.link.client().watch_state().len(), "relay");
        }
    }

    fn execute_actions(&mut self) {
        for action in self.actions.drain(..) {
            match action {
                RelayAction::Write(peer, bytes) => {
                    if let Some(socket) = self.peers.sockets.get(&peer) {
                        self.reactor.write(*socket, &bytes);
                    }
                }
                RelayAction::Finish(peer) => {
                    if let Some(socket) = self.peers.sockets.get(&peer) {
                        self.reactor.close_gracefully(*socket);
                    }
                }
                RelayAction::Announce(routers) => self.announcement.routers = Some(routers),
            }
        }
    }

    /// Writes the number of routers to the registry, if it changed and the minimum interval has passed.
    fn announce(&mut self, now_us: i64) {
        if now_us < self.announcement.not_before_us {
            return;
        }
        if let Some(routers) = self.announcement.routers.take() {
            self.announcement.not_before_us = now_us + ANNOUNCE_INTERVAL_US;
            self.link.client_mut().announce(record(routers));
        }
    }
}
