//! The key-value registry's [`Client`] on sockets of a [`Reactor`]: the same for the gateway's loop, the stand-in worker's
//! and a command's. It carries bytes and decides nothing.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use slatevalve_reactor::{Id, Reactor, ReactorEvent};
use slatevalve_registry::{Channel, Client, ClientEvent, ClientSettings, SocketAction};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// See the crate's documentation.
pub struct Link {
    client: Client,
    endpoints: Vec<SocketAddr>,
    sockets: BTreeMap<Channel, Id>,
    heard: Vec<ClientEvent>,
}

impl Link {
    /// A link to members at these addresses, in the order of the settings' endpoints.
    pub fn new(settings: ClientSettings, endpoints: Vec<SocketAddr>) -> Self {
        let (sockets, heard) = (BTreeMap::new(), Vec::new());
        Link { client: Client::new(settings), endpoints, sockets, heard }
    }

    /// The client.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// The client, to ask it for something.
    pub fn client_mut(&mut self) -> &mut Client {
        &mut self.client
    }

    /// When [`Link::advance`] is due, in microseconds.
    pub fn next_wake(&self, now_us: i64) -> i64 {
        self.client.next_wake(now_us)
    }

    /// Lets time pass.
    pub fn advance(&mut self, now_us: i64, reactor: &mut Reactor) {
        let mut todo = Vec::new();
        self.client.advance(now_us, &mut todo, &mut self.heard);
        self.carry_out(now_us, reactor, todo);
    }

    /// What was heard since the last time.
    pub fn take_events(&mut self) -> Vec<ClientEvent> {
        std::mem::take(&mut self.heard)
    }

    /// Takes a happening on one of its sockets; `false` where it is of another's.
    pub fn handle_event(&mut self, now_us: i64, reactor: &mut Reactor, event: &ReactorEvent) -> bool {
        let id = match event {
            ReactorEvent::Connected(id) | ReactorEvent::Received(id, _) | ReactorEvent::Closed { id, .. } => {
                *id
            }
            _ => return false,
        };
        let Some(channel) = self.sockets.iter().find(|(_, i)| **i == id).map(|(c, _)| *c) else {
            return false;
        };
        let mut todo = Vec::new();
        match event {
            ReactorEvent::Connected(_) => self.client.connected(now_us, channel, &mut todo),
            ReactorEvent::Received(_, bytes) => {
                self.client.received(now_us, channel, bytes, &mut todo, &mut self.heard);
            }
            _ => {
                self.sockets.remove(&channel);
                self.client.closed(now_us, channel, &mut todo, &mut self.heard);
            }
        }
        // An answer may be followed by a request at once.
        self.client.advance(now_us, &mut todo, &mut self.heard);
        self.carry_out(now_us, reactor, todo);
        true
    }

    fn carry_out(&mut self, now_us: i64, reactor: &mut Reactor, todo: Vec<SocketAction>) {
        for what in todo {
            match what {
                SocketAction::Open(channel, endpoint) => {
                    let opened = self.endpoints.get(endpoint).and_then(|a| reactor.connect(*a).ok());
                    match opened {
                        Some(id) => drop(self.sockets.insert(channel, id)),
                        None => {
                            let mut more = Vec::new();
                            self.client.closed(now_us, channel, &mut more, &mut self.heard);
                            self.carry_out(now_us, reactor, more);
                        }
                    }
                }
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
}
