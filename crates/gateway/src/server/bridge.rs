//! The bridge to an MQTT broker and its TCP connection.

use slatevalve::Micros;
use slatevalve_engine::{Call, Ticket};
use slatevalve_mqtt::{Bridge, BridgeOutput, TicketSource};
use slatevalve_reactor::{Id, Reactor};
use std::net::SocketAddr;

/// The bridge's number as a source of tickets; the front end for connecting clients has number 1.
const BRIDGE_TICKET_SOURCE: u8 = 2;

/// The bridge and its connection to the broker.
pub(super) struct BridgeLink {
    pub(super) bridge: Bridge,
    broker: SocketAddr,
    connection: Option<Id>,
}

impl BridgeLink {
    /// Starts unconnected; the bridge requests its connection with [`BridgeOutput::Connect`].
    pub(super) fn new(bridge: Bridge, broker: SocketAddr) -> Self {
        BridgeLink { bridge, broker, connection: None }
    }

    /// Handles the close of the connection to the broker.
    pub(super) fn closed(&mut self, now: Micros) {
        self.connection = None;
        self.bridge.closed(now);
    }

    /// Number of answers that the broker has not acknowledged, and of publishes not acknowledged to it.
    pub(super) fn owed(&self) -> usize {
        self.bridge.unacknowledged_answers() + self.bridge.unacknowledged_publishes()
    }

    /// Executes an output of the bridge; returns the call if the output is one.
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

/// The bridge, if the connection is the one to its broker.
pub(super) fn by_connection(bridge: &mut Option<BridgeLink>, connection: Id) -> Option<&mut BridgeLink> {
    bridge.as_mut().filter(|link| link.connection == Some(connection))
}

/// The bridge, if it issued the ticket.
pub(super) fn by_ticket(bridge: &mut Option<BridgeLink>, ticket: Ticket) -> Option<&mut BridgeLink> {
    bridge.as_mut().filter(|_| TicketSource::front_of(ticket) == BRIDGE_TICKET_SOURCE)
}
