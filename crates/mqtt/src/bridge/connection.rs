//! The connection to the broker: connecting, backoff, timers, and packets through the protocol library.

use super::{Bridge, BridgeOutput, BridgeSettings, LibraryTimer, Stage};
use crate::first_packet::{first_packet, Expected, FirstPacket};
use crate::redelivery::RedeliveryRecord;
use crate::{after, after_millis};
use mqtt_protocol_core::mqtt::common::Cursor;
use mqtt_protocol_core::mqtt::connection::{Connection, ConnectionOptions, Event};
use mqtt_protocol_core::mqtt::packet::{
    v5_0, GenericPacketTrait, Packet, Property, Qos, SessionExpiryInterval, SubEntry, SubOpts,
};
use mqtt_protocol_core::mqtt::result_code::{ConnectReasonCode, MqttError};
use mqtt_protocol_core::mqtt::{role, Version};
use rand::RngExt;
use slatevalve::Micros;
use std::panic::{catch_unwind, AssertUnwindSafe};
use tracing::{error, info, warn};

/// Limits the doublings of the backoff, so that the shift cannot overflow.
const MAX_DOUBLINGS: u32 = 20;

/// Creates a connection of the protocol library.
pub(super) fn new_library_connection(settings: &BridgeSettings) -> Connection<role::Client> {
    let options = ConnectionOptions::new()
        .maximum_packet_size_recv(settings.max_packet)
        .receive_maximum(settings.receive_maximum);
    Connection::with_options(Version::V5_0, options)
}

impl Bridge {
    /// Handles an established connection by sending CONNECT.
    pub fn connected(&mut self, now: Micros, out: &mut Vec<BridgeOutput>) {
        self.opening = Some(Vec::new());
        self.deliveries.connected(now);
        let connect = connect_packet(&self.settings);
        self.send_required(now, connect, out);
    }

    /// Handles a connection that ended or could not be established.
    pub fn closed(&mut self, now: Micros) {
        if !matches!(self.stage, Stage::Disconnected { .. }) {
            self.connection_lost(now);
        }
    }

    /// The time of the next timer, when [`Bridge::advance`] must be called.
    #[must_use]
    pub fn next_wake(&self) -> Option<Micros> {
        let stage = match self.stage {
            Stage::Disconnected { retry_at: at } | Stage::Connecting { deadline: at } => Some(at),
            Stage::Connected => None,
        };
        self.timers.values().map(|timer| timer.at).chain(stage).min()
    }

    /// Handles timers that are due: retries, keep-alives and timeouts.
    pub fn advance(&mut self, now: Micros, out: &mut Vec<BridgeOutput>) {
        match self.stage {
            Stage::Disconnected { retry_at } if retry_at <= now => {
                self.stage = Stage::Connecting { deadline: after(now, self.settings.connect_timeout) };
                return out.push(BridgeOutput::Connect);
            }
            Stage::Connecting { deadline } if deadline <= now => {
                warn!("the broker did not accept the connection within the connect timeout");
                return self.close(now, out);
            }
            _ => {}
        }
        let due = self.timers.iter().filter(|(_, timer)| timer.at <= now);
        let due: Vec<u8> = due.map(|(number, _)| *number).collect();
        for number in due {
            if let Some(timer) = self.timers.remove(&number) {
                let events = self.mqtt.notify_timer_fired(timer.kind);
                self.execute(now, events, out);
            }
        }
    }

    /// Handles bytes that were read from the connection.
    pub fn received(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<BridgeOutput>) {
        let limit = self.settings.max_packet as usize;
        let Some(buffer) = &mut self.opening else { return self.feed(now, bytes, out) };
        buffer.extend_from_slice(bytes);
        match first_packet(Expected::Connack, buffer, limit) {
            FirstPacket::Partial => {}
            FirstPacket::Rejected => {
                warn!("the broker's first packet is not a valid CONNACK");
                self.close(now, out);
            }
            FirstPacket::Complete { packet, receive_maximum, length } => {
                let rest = buffer.split_off(length);
                self.opening = None;
                self.send_maximum = usize::from(receive_maximum.unwrap_or(u16::MAX));
                self.feed(now, &packet, out);
                self.feed(now, &rest, out);
            }
        }
    }

    /// Closes the connection and schedules a retry.
    pub(super) fn close(&mut self, now: Micros, out: &mut Vec<BridgeOutput>) {
        if !matches!(self.stage, Stage::Disconnected { .. }) {
            out.push(BridgeOutput::Finish);
            self.connection_lost(now);
        }
    }

    fn connection_lost(&mut self, now: Micros) {
        self.mqtt.notify_closed();
        self.timers.clear();
        self.opening = None;
        self.deliveries.connection_lost();
        let (shortest, longest) = self.settings.backoff;
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let backoff = shortest.0.saturating_mul(1 << doublings).min(longest.0).max(1);
        self.failures += 1;
        // Jitter over the upper half keeps gateways that lost a broker at the same time from reconnecting at
        // the same time.
        let backoff = self.random.random_range(backoff / 2..=backoff);
        self.stage = Stage::Disconnected { retry_at: after(now, Micros(backoff)) };
    }

    /// Passes received bytes to the library and handles the packets in them.
    fn feed(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<BridgeOutput>) {
        let mut cursor = Cursor::new(bytes);
        while (cursor.position() as usize) < bytes.len() && !matches!(self.stage, Stage::Disconnected { .. })
        {
            let mqtt = &mut self.mqtt;
            let Ok(events) = catch_unwind(AssertUnwindSafe(|| mqtt.recv(&mut cursor))) else {
                warn!("the protocol library panicked on the broker's bytes");
                return self.close(now, out);
            };
            if let Some(error) = self.execute(now, events, out) {
                warn!(%error, "the broker sent an invalid packet");
                return self.close(now, out);
            }
        }
    }

    /// Executes the library's events and returns the last error among them.
    fn execute(&mut self, now: Micros, events: Vec<Event>, out: &mut Vec<BridgeOutput>) -> Option<MqttError> {
        let mut last_error = None;
        for event in events {
            match event {
                Event::NotifyPacketReceived(packet) => self.handle_packet(now, &packet, out),
                Event::RequestSendPacket { packet, .. } => {
                    out.push(BridgeOutput::Write(packet.to_continuous_buffer()));
                }
                Event::RequestTimerReset { kind, duration_ms } => {
                    let timer = LibraryTimer { kind, at: after_millis(now, duration_ms) };
                    self.timers.insert(kind as u8, timer);
                }
                Event::RequestTimerCancel(kind) => {
                    self.timers.remove(&(kind as u8));
                }
                Event::NotifyError(error) => last_error = Some(error),
                Event::RequestClose => self.close(now, out),
                Event::NotifyPacketIdReleased(_) => {}
            }
        }
        last_error
    }

    /// Sends a packet.
    ///
    /// # Errors
    /// If the packet could not be encoded or the library rejects it.
    pub(super) fn send(
        &mut self,
        now: Micros,
        packet: Result<Packet, MqttError>,
        out: &mut Vec<BridgeOutput>,
    ) -> Result<(), MqttError> {
        let events = self.mqtt.send(packet?);
        self.execute(now, events, out).map_or(Ok(()), Err)
    }

    /// Sends a packet that the protocol requires, and closes the connection if that fails.
    pub(super) fn send_required(
        &mut self,
        now: Micros,
        packet: Result<Packet, MqttError>,
        out: &mut Vec<BridgeOutput>,
    ) {
        if let Err(error) = self.send(now, packet, out) {
            warn!(%error, "cannot send a required packet to the broker");
            self.close(now, out);
        }
    }

    fn handle_packet(&mut self, now: Micros, packet: &Packet, out: &mut Vec<BridgeOutput>) {
        match packet {
            Packet::V5_0Connack(connack) if connack.reason_code() == ConnectReasonCode::Success => {
                self.session_accepted(now, connack.session_present(), out);
            }
            Packet::V5_0Connack(connack) => {
                error!(reason = ?connack.reason_code(), "the broker refused the connection");
                self.close(now, out);
            }
            Packet::V5_0Suback(suback) => {
                if let Some(code) = suback.reason_codes().iter().find(|code| code.is_failure()) {
                    error!(reason = ?code, "the broker refused a subscription");
                    self.close(now, out);
                }
            }
            Packet::V5_0Publish(publish) => self.handle_publish(now, publish.into(), out),
            Packet::V5_0Puback(puback) => {
                self.unacknowledged.remove(&puback.packet_id());
                self.send_outbox(now, out);
            }
            Packet::V5_0Disconnect(_) => self.close(now, out),
            _ => {}
        }
    }

    fn session_accepted(&mut self, now: Micros, is_resumed: bool, out: &mut Vec<BridgeOutput>) {
        info!(resumed = is_resumed, "the broker accepted the connection");
        self.stage = Stage::Connected;
        self.failures = 0;
        if !is_resumed {
            self.redeliveries = RedeliveryRecord::of_new_session();
            // Packet ids of the lost session are invalid. The library dropped unacknowledged answers with the
            // session, so they are queued again here.
            self.deliveries.session_lost();
            self.pending.values_mut().for_each(|reply| reply.packet_id = None);
            for (_, publish) in std::mem::take(&mut self.unacknowledged).into_iter().rev() {
                self.outbox.push_front(publish);
            }
            self.subscribe(now, out);
        }
        self.redeliveries.connected(now);
        self.send_outbox(now, out);
    }

    fn subscribe(&mut self, now: Micros, out: &mut Vec<BridgeOutput>) {
        let Ok(packet_id) = self.mqtt.acquire_packet_id() else { return self.close(now, out) };
        let subscribe = subscribe_packet(&self.settings, packet_id);
        self.send_required(now, subscribe, out);
    }
}

fn connect_packet(settings: &BridgeSettings) -> Result<Packet, MqttError> {
    let expiry: Property = SessionExpiryInterval::new(settings.session_expiry_s)?.into();
    let builder = v5_0::Connect::builder().client_id(settings.client_id.as_str())?;
    let builder = builder.clean_start(false).keep_alive(settings.keep_alive_s).props(vec![expiry]);
    Ok(builder.build()?.into())
}

/// A SUBSCRIBE to the filters of all routes, as shared subscriptions if a group is set (section 4.8.2).
fn subscribe_packet(settings: &BridgeSettings, packet_id: u16) -> Result<Packet, MqttError> {
    let options = SubOpts::new().set_qos(Qos::AtLeastOnce);
    let entries = settings.routes.routes.iter().map(|route| match &settings.group {
        Some(group) => SubEntry::new(format!("$share/{group}/{}", route.filter), options),
        None => SubEntry::new(route.filter.to_string(), options),
    });
    let entries = entries.collect::<Result<Vec<_>, _>>()?;
    Ok(v5_0::Subscribe::builder().packet_id(packet_id).entries(entries).build()?.into())
}
