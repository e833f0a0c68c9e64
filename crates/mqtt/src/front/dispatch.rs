//! Dispatches received packets by type.

use super::{Front, FrontOutput, LinkId};
use crate::packets::{self, RequestedFilter};
use crate::publish::Version;
use mqtt_protocol_core::mqtt::packet::{v5_0, Packet, Property, SubEntry};
use mqtt_protocol_core::mqtt::result_code::DisconnectReasonCode;
use slatevalve::Micros;
use slatevalve_engine::ClientRef;

/// The source of a packet.
#[derive(Clone, Copy)]
struct Sender {
    connection: LinkId,
    client: ClientRef,
    version: Version,
}

impl Front {
    pub(super) fn handle_packet(
        &mut self,
        now: Micros,
        id: LinkId,
        packet: &Packet,
        out: &mut Vec<FrontOutput>,
    ) {
        match packet {
            Packet::V5_0Connect(connect) => return self.handle_connect(now, id, &connect.into(), out),
            Packet::V3_1_1Connect(connect) => return self.handle_connect(now, id, &connect.into(), out),
            _ => {}
        }
        let Some(session) = self.session_of(id) else { return self.close(now, id, out) };
        let sender = Sender { connection: id, client: session.client, version: session.version };
        match packet {
            Packet::V5_0Publish(publish) => self.handle_publish(now, id, sender.client, publish.into(), out),
            Packet::V3_1_1Publish(publish) => {
                self.handle_publish(now, id, sender.client, publish.into(), out)
            }
            Packet::V5_0Disconnect(packet) => self.handle_disconnect(now, sender, packet, out),
            Packet::V3_1_1Disconnect(_) => self.close(now, id, out),
            Packet::V5_0Auth(_) => self.disconnect(now, id, DisconnectReasonCode::ProtocolError, out),
            Packet::V5_0Subscribe(packet) => {
                self.handle_subscribe(now, sender, packet.packet_id(), packet.entries(), out);
            }
            Packet::V3_1_1Subscribe(packet) => {
                self.handle_subscribe(now, sender, packet.packet_id(), packet.entries(), out);
            }
            Packet::V5_0Unsubscribe(packet) => {
                let unsuback = packets::unsuback(sender.version, packet.packet_id(), packet.entries().len());
                self.send_required(now, id, unsuback, out);
            }
            Packet::V3_1_1Unsubscribe(packet) => {
                self.send_required(now, id, packets::unsuback(sender.version, packet.packet_id(), 0), out);
            }
            _ => self.handle_acknowledgement(now, sender, packet, out),
        }
    }

    /// Handles the acknowledgements of publishes in both directions.
    fn handle_acknowledgement(
        &mut self,
        now: Micros,
        sender: Sender,
        packet: &Packet,
        out: &mut Vec<FrontOutput>,
    ) {
        let Sender { connection, client, version } = sender;
        match packet {
            Packet::V5_0Pubrec(pubrec) if pubrec.reason_code().is_some_and(|code| code.is_failure()) => {
                self.answer_acknowledged(now, client, pubrec.packet_id(), out);
            }
            Packet::V5_0Pubrec(pubrec) => {
                self.answer_received(client, pubrec.packet_id());
                self.send_required(now, connection, packets::pubrel(version, pubrec.packet_id()), out);
            }
            Packet::V3_1_1Pubrec(pubrec) => {
                self.answer_received(client, pubrec.packet_id());
                self.send_required(now, connection, packets::pubrel(version, pubrec.packet_id()), out);
            }
            Packet::V5_0Pubrel(pubrel) => {
                self.send_required(now, connection, packets::pubcomp(version, pubrel.packet_id()), out);
            }
            Packet::V3_1_1Pubrel(pubrel) => {
                self.send_required(now, connection, packets::pubcomp(version, pubrel.packet_id()), out);
            }
            Packet::V5_0Puback(puback) => self.answer_acknowledged(now, client, puback.packet_id(), out),
            Packet::V3_1_1Puback(puback) => self.answer_acknowledged(now, client, puback.packet_id(), out),
            Packet::V5_0Pubcomp(pubcomp) => self.answer_acknowledged(now, client, pubcomp.packet_id(), out),
            Packet::V3_1_1Pubcomp(pubcomp) => self.answer_acknowledged(now, client, pubcomp.packet_id(), out),
            _ => {}
        }
    }

    fn handle_subscribe(
        &mut self,
        now: Micros,
        sender: Sender,
        packet_id: u16,
        entries: &[SubEntry],
        out: &mut Vec<FrontOutput>,
    ) {
        let requested = |entry: &SubEntry| RequestedFilter {
            filter: entry.topic_filter().into(),
            qos: entry.sub_opts().qos(),
        };
        let filters: Vec<RequestedFilter> = entries.iter().map(requested).collect();
        let suback = packets::suback(sender.version, packet_id, &filters);
        self.send_required(now, sender.connection, suback, out);
    }

    fn handle_disconnect(
        &mut self,
        now: Micros,
        sender: Sender,
        packet: &v5_0::Disconnect,
        out: &mut Vec<FrontOutput>,
    ) {
        let expiry = packet.props().iter().flatten().find_map(|property| match property {
            Property::SessionExpiryInterval(seconds) => Some(Micros(i64::from(seconds.val()) * 1_000_000)),
            _ => None,
        });
        // DISCONNECT cannot extend a session whose expiry was 0 in CONNECT (section 3.14.2.2.2).
        let session = self.sessions.get_mut(&sender.client).filter(|session| session.expiry.0 > 0);
        if let Some(session) = session {
            session.expiry = expiry.unwrap_or(session.expiry).min(self.settings.max_session_expiry);
        }
        self.close(now, sender.connection, out);
    }
}
