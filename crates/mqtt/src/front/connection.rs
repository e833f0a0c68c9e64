//! Client connections: passes bytes and packets to the protocol library and executes its events.

use super::{Front, FrontOutput, FrontSettings, LinkId};
use crate::packets;
use crate::{after, after_millis};
use mqtt_protocol_core::mqtt::common::Cursor;
use mqtt_protocol_core::mqtt::connection::{Connection, ConnectionOptions, Event, TimerKind};
use mqtt_protocol_core::mqtt::packet::{GenericPacketTrait, Packet};
use mqtt_protocol_core::mqtt::result_code::{DisconnectReasonCode, MqttError};
use mqtt_protocol_core::mqtt::{role, Version};
use slatevalve::Micros;
use slatevalve_engine::ClientRef;
use std::panic::{catch_unwind, AssertUnwindSafe};
use tracing::{info, warn};

/// The state of a connection.
pub(super) enum Stage {
    /// The CONNECT is incomplete; holds the bytes received so far.
    Opening(Vec<u8>),
    /// The connection carries the session of this client.
    Open(ClientRef),
}

/// What is due at a deadline.
#[derive(Clone, Copy)]
pub(super) enum DeadlineKind {
    /// The CONNECT must have arrived.
    Connect,
    /// A timer of the protocol library.
    Library(TimerKind),
}

#[derive(Clone, Copy)]
pub(super) struct Deadline {
    pub kind: DeadlineKind,
    pub at: Micros,
}

pub(super) struct ClientConnection {
    pub mqtt: Connection<role::Server>,
    pub stage: Stage,
    pub opened_at: Micros,
    /// Maximum number of unacknowledged answers that the client accepts.
    pub receive_maximum: usize,
    pub deadline: Option<Deadline>,
    /// Whether a timer is set for the connection. There is at most one, and it may fire before the deadline.
    pub timer_set: bool,
}

impl ClientConnection {
    pub(super) fn new(now: Micros, settings: &FrontSettings) -> Self {
        // To the library, 0 means no receive maximum, in which case 65,535 applies (section 3.2.2.3.3).
        let receive_maximum = if settings.receive_maximum < u16::MAX { settings.receive_maximum } else { 0 };
        let options = ConnectionOptions::new()
            .maximum_packet_size_recv(settings.max_packet)
            .receive_maximum(receive_maximum);
        let mut mqtt = Connection::with_options(Version::Undetermined, options);
        mqtt.set_auto_ping_response(true);
        ClientConnection {
            mqtt,
            stage: Stage::Opening(Vec::new()),
            opened_at: now,
            receive_maximum: usize::from(u16::MAX),
            deadline: Some(Deadline {
                kind: DeadlineKind::Connect,
                at: after(now, settings.connect_timeout),
            }),
            timer_set: false,
        }
    }
}

/// Packets and errors from the library's events, for the caller to handle.
#[derive(Default)]
pub(super) struct Executed {
    packets: Vec<Packet>,
    error: Option<MqttError>,
}

impl Front {
    /// Passes received bytes to the library and handles the packets in them.
    pub(super) fn feed(&mut self, now: Micros, id: LinkId, bytes: &[u8], out: &mut Vec<FrontOutput>) {
        let mut cursor = Cursor::new(bytes);
        while (cursor.position() as usize) < bytes.len() {
            let Some(connection) = self.connections.get_mut(&id) else { return };
            // If the library panics on a peer's bytes, only that peer's connection is closed.
            let events = catch_unwind(AssertUnwindSafe(|| connection.mqtt.recv(&mut cursor)));
            let Ok(events) = events else {
                warn!(link = id.0, "closed: the protocol library panicked on the peer's bytes");
                return self.close(now, id, out);
            };
            let Executed { packets, error } = self.execute(now, id, events, out);
            for packet in packets {
                self.handle_packet(now, id, &packet, out);
            }
            if let Some(error) = error {
                info!(link = id.0, %error, "closed: the peer sent an invalid packet");
                return self.close(now, id, out);
            }
        }
    }

    /// Executes the library's events and returns received packets and the last error.
    pub(super) fn execute(
        &mut self,
        now: Micros,
        id: LinkId,
        events: Vec<Event>,
        out: &mut Vec<FrontOutput>,
    ) -> Executed {
        let mut executed = Executed::default();
        for event in events {
            match event {
                Event::NotifyPacketReceived(packet) => executed.packets.push(packet),
                Event::RequestSendPacket { packet, .. } => {
                    out.push(FrontOutput::Write(id, packet.to_continuous_buffer()));
                }
                Event::RequestTimerReset { kind, duration_ms } => {
                    let deadline =
                        Deadline { kind: DeadlineKind::Library(kind), at: after_millis(now, duration_ms) };
                    self.set_deadline(id, Some(deadline));
                    self.set_timer(id);
                }
                Event::RequestTimerCancel(_) => self.set_deadline(id, None),
                Event::NotifyError(error) => executed.error = Some(error),
                Event::RequestClose => self.close(now, id, out),
                Event::NotifyPacketIdReleased(_) => {}
            }
        }
        executed
    }

    fn set_deadline(&mut self, id: LinkId, deadline: Option<Deadline>) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.deadline = deadline;
        }
    }

    /// Sends a packet.
    ///
    /// # Errors
    /// If the packet could not be encoded or the library rejects it.
    pub(super) fn send(
        &mut self,
        now: Micros,
        id: LinkId,
        packet: Result<Packet, MqttError>,
        out: &mut Vec<FrontOutput>,
    ) -> Result<(), MqttError> {
        let Some(connection) = self.connections.get_mut(&id) else { return Ok(()) };
        let events = connection.mqtt.send(packet?);
        self.execute(now, id, events, out).error.map_or(Ok(()), Err)
    }

    /// Sends a packet that the protocol requires, and closes the connection if that fails.
    pub(super) fn send_required(
        &mut self,
        now: Micros,
        id: LinkId,
        packet: Result<Packet, MqttError>,
        out: &mut Vec<FrontOutput>,
    ) {
        if let Err(error) = self.send(now, id, packet, out) {
            warn!(link = id.0, %error, "closed: cannot send a required packet");
            self.close(now, id, out);
        }
    }

    /// Closes a connection without a DISCONNECT.
    pub(super) fn close(&mut self, now: Micros, id: LinkId, out: &mut Vec<FrontOutput>) {
        if self.connections.contains_key(&id) {
            out.push(FrontOutput::Finish(id));
            self.remove_connection(now, id, out);
        }
    }

    /// Closes a connection, with a DISCONNECT that states the reason if the protocol version has one.
    pub(super) fn disconnect(
        &mut self,
        now: Micros,
        id: LinkId,
        code: DisconnectReasonCode,
        out: &mut Vec<FrontOutput>,
    ) {
        let version = self.session_of(id).map(|session| session.version);
        if let Some(Ok(Some(packet))) = version.map(|version| packets::disconnect(version, code)) {
            let _ = self.send(now, id, Ok(packet), out);
        }
        self.close(now, id, out);
    }
}
