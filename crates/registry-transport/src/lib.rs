//! Runs the registry's [`Client`] on sockets of a [`Reactor`], for the event loops of gateways, relays, test
//! workers and commands. It only transfers bytes and events between the two; all decisions are made by the
//! client.
#![forbid(unsafe_code)]

use slatevalve_reactor::{Id, Reactor, ReactorEvent};
use slatevalve_registry::{Channel, Client, ClientEvent, ClientSettings, SocketAction};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A client with its sockets. Times are in microseconds of a monotonic clock.
pub struct Link {
    client: Client,
    endpoints: Vec<SocketAddr>,
    sockets: BTreeMap<Channel, Id>,
    events: Vec<ClientEvent>,
}

impl Link {
    /// Creates a link to the given addresses, which are in the order of [`ClientSettings::endpoints`].
    pub fn new(settings: ClientSettings, endpoints: Vec<SocketAddr>) -> Self {
        Link { client: Client::new(settings), endpoints, sockets: BTreeMap::new(), events: Vec::new() }
    }

    /// Returns the client, to read its state.
    #[must_use]
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Returns the client, to send requests or change this process's entry.
    pub fn client_mut(&mut self) -> &mut Client {
        &mut self.client
    }

    /// Returns when [`Link::advance`] is due if no event occurs earlier.
    #[must_use]
    pub fn next_wake(&self, now_us: i64) -> i64 {
        self.client.next_wake(now_us)
    }

    /// Handles the passage of time, such as timeouts and due requests.
    pub fn advance(&mut self, now_us: i64, reactor: &mut Reactor) {
        let mut actions = Vec::new();
        self.client.advance(now_us, &mut actions, &mut self.events);
        self.execute(now_us, reactor, actions);
    }

    /// Removes and returns the client's events since the last call.
    pub fn take_events(&mut self) -> Vec<ClientEvent> {
        std::mem::take(&mut self.events)
    }

    /// Handles an event of one of the link's sockets; returns `false` if the event is not from one of them.
    pub fn handle_event(&mut self, now_us: i64, reactor: &mut Reactor, event: &ReactorEvent) -> bool {
        let (ReactorEvent::Connected(id) | ReactorEvent::Received(id, _) | ReactorEvent::Closed { id, .. }) =
            event
        else {
            return false;
        };
        let Some(channel) = self.channel_of(*id) else { return false };
        let mut actions = Vec::new();
        match event {
            ReactorEvent::Connected(_) => self.client.connected(now_us, channel, &mut actions),
            ReactorEvent::Received(_, bytes) => {
                self.client.received(now_us, channel, bytes, &mut actions, &mut self.events);
            }
            _ => {
                self.sockets.remove(&channel);
                self.client.closed(now_us, channel, &mut actions, &mut self.events);
            }
        }
        // After a response the next request may already be due.
        self.client.advance(now_us, &mut actions, &mut self.events);
        self.execute(now_us, reactor, actions);
        true
    }

    fn channel_of(&self, id: Id) -> Option<Channel> {
        self.sockets.iter().find(|(_, socket)| **socket == id).map(|(channel, _)| *channel)
    }

    fn execute(&mut self, now_us: i64, reactor: &mut Reactor, actions: Vec<SocketAction>) {
        for action in actions {
            match action {
                SocketAction::Open(channel, endpoint) => self.open(now_us, reactor, channel, endpoint),
                SocketAction::Write(channel, bytes) => {
                    if let Some(id) = self.sockets.get(&channel) {
                        reactor.write(*id, &bytes);
                    }
                }
                SocketAction::Close(channel) => {
                    if let Some(id) = self.sockets.remove(&channel) {
                        reactor.close(id);
                    }
                }
            }
        }
    }

    /// Connects to an endpoint; a failure is reported to the client as a closed connection.
    fn open(&mut self, now_us: i64, reactor: &mut Reactor, channel: Channel, endpoint: usize) {
        let address = self.endpoints.get(endpoint);
        if let Some(id) = address.and_then(|address| reactor.connect(*address).ok()) {
            self.sockets.insert(channel, id);
            return;
        }
        let mut actions = Vec::new();
        self.client.closed(now_us, channel, &mut actions, &mut self.events);
        self.execute(now_us, reactor, actions);
    }
}
