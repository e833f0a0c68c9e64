//! The bridge to an MQTT broker, and its connection.

use slatevalve::Micros;
use slatevalve_engine::{Call, Ticket};
use slatevalve_mqtt::{Bridge, BridgeOutput, TicketSource};
use slatevalve_reactor::{Id, Reactor};
use std::net::SocketAddr;

/// The bridge's number among the sources of tickets; clients that connect to the gateway are 1.
const BRIDGE_TICKET_SOURCE: u8 = 2;

/// The bridge and its connection to the broker.
pub(super) struct BridgeLink {
    pub(super) bridge: Bridge,
    broker: SocketAddr,
    connection: Option<Id>,
}

impl BridgeLink {
    /// Not connected; the bridge asks for its connection by an output.
    pub(super) fn new(bridge: Bridge, broker: SocketAddr) -> Self {
        BridgeLink { bridge, broker, connection: None }
    }

    /// The broker's connection closed.
    pub(super) fn closed(&mut self, now: Micros) {
        self.connection = None;
        self.bridge.closed(now);
    }

    /// Whether the bridge has bytes that its broker has still to get.
    pub(super) fn has_unsent(&self) -> bool {
        self.bridge.is_connected() && self.bridge.unacknowledged_answers() > 0
    }

    /// Executes an output of the bridge; returns the call where it is one.
    pub(super) fn execute(
        &mut self,
        now: Micros,
        reactor: &mut Reactor,
        output: BridgeOutput,
    ) -> Option<Box<Call>> {
        match output {
            BridgeOutput::Connect => match reactor.connect(self.broker) {
                Ok(id) => self.connection = Some(id),
                Err(_) => self.bridge.closed(now),
            },
            BridgeOutput::Write(bytes) => {
                if let Some(id) = self.connection {
                    reactor.write(id, &bytes);
                }
            }
            BridgeOutput::Finish => {
                if let Some(id) = self.connection.take() {
                    reactor.close_gracefully(id);
                }
            }
            BridgeOutput::Call(call) => return Some(call),
        }
        None
    }
}

/// The bridge, where a connection is its own.
pub(super) fn by_connection(bridge: &mut Option<BridgeLink>, connection: Id) -> Option<&mut BridgeLink> {
    bridge.as_mut().filter(|link| link.connection == Some(connection))
}

/// The bridge, where it made a ticket.
pub(super) fn by_ticket(bridge: &mut Option<BridgeLink>, ticket: Ticket) -> Option<&mut BridgeLink> {
    bridge.as_mut().filter(|_| TicketSource::front_of(ticket) == BRIDGE_TICKET_SOURCE)
}
