//! Calls and answers of the front: a publish becomes a call or is refused, an answer goes out as far as the client's
//! connection and receive maximum allow. Called by the front's packet handling alone.

use super::{Front, FrontOutput, LinkId};
use crate::intake::{self, Asked, Rejection};
use crate::packets::{self, Inbound, Outbound, Version};
use crate::session::Waiting;
use mqtt_protocol_core::mqtt::packet::{Property, Qos};
use mqtt_protocol_core::mqtt::result_code::{DisconnectReasonCode, MqttError};
use slatevalve::Micros;
use slatevalve_engine::{Answer, ClientRef, Reason, Verdict};
use tracing::{info, warn};

impl Front {
    pub(super) fn publish(
        &mut self,
        now: Micros,
        id: LinkId,
        client: ClientRef,
        publish: Inbound,
        out: &mut Vec<FrontOutput>,
    ) {
        let Some(session) = self.sessions.get(&client) else { return };
        let version = session.version;
        if publish.retain && version == Version::V5 {
            // CONNACK said that nothing is retained (section 3.2.2.3.5).
            return self.dismiss(now, id, DisconnectReasonCode::RetainNotSupported, out);
        }
        let read = match session.load() < self.settings.session_quota {
            true => intake::read(&self.settings.routes, Some(&session.client_id), &publish),
            false => Err(Rejection::Quota),
        };
        let ack = packets::acknowledge(version, &publish, read.as_ref().err().copied());
        if let Some(ack) = ack.transpose() {
            self.must_send(now, id, ack, out);
        }
        // A message that is sent again as its acknowledgement was lost: its answer is owed or under way already.
        if read.is_ok() && self.sessions.get_mut(&client).is_some_and(|s| s.is_redelivery(&publish)) {
            return;
        }
        match read {
            Ok(Ok(asked)) => self.take(client, publish, asked, out),
            Ok(Err(reason)) => self.refuse(now, client, &publish, reason, out),
            Err(rejection) => {
                info!(link = id.0, topic = %publish.topic, why = %rejection, "publish refused");
                // Without reason codes an answer is the only way to say so.
                if version == Version::V3 && rejection != Rejection::Quota {
                    self.refuse(now, client, &publish, Reason::NoRoute, out);
                }
            }
        }
    }

    fn take(&mut self, client: ClientRef, publish: Inbound, mut asked: Asked, out: &mut Vec<FrontOutput>) {
        let ticket = self.numbers.ticket();
        let Some(session) = self.sessions.get_mut(&client) else { return };
        let waiting = Waiting {
            response_topic: asked.response_topic.take(),
            correlation: asked.correlation.take(),
            qos: publish.qos,
            call: call_name(&publish),
        };
        session.waiting.insert(ticket, waiting);
        self.tickets.insert(ticket, client);
        let covered_since = session.covered_since;
        out.push(FrontOutput::Call(Box::new(asked.call(ticket, client, publish.payload, covered_since))));
    }

    /// Answers a publish that makes no call.
    fn refuse(
        &mut self,
        now: Micros,
        client: ClientRef,
        publish: &Inbound,
        reason: Reason,
        out: &mut Vec<FrontOutput>,
    ) {
        let Some(session) = self.sessions.get_mut(&client) else { return };
        let property = |find: fn(&Property) -> Option<Vec<u8>>| publish.properties.iter().find_map(find);
        let response_topic = property(|p| match p {
            Property::ResponseTopic(p) => Some(p.val().as_bytes().to_vec()),
            _ => None,
        });
        let correlation = property(|p| match p {
            Property::CorrelationData(p) => Some(p.val().to_vec()),
            _ => None,
        });
        let waiting = Waiting {
            response_topic: response_topic.and_then(|t| String::from_utf8(t).ok()),
            correlation,
            qos: publish.qos,
            call: call_name(publish),
        };
        let answer =
            Answer { verdict: Verdict::Refused(reason), attempts: 0, recorded: false, version: None };
        let topic = session.reply_topic(&waiting, answer.verdict.word());
        let by = self.settings.documents.as_deref();
        session.outbox.push_back(Outbound::answer(topic, waiting.qos, waiting.correlation, &answer, by));
        self.pump(now, client, out);
    }

    pub(super) fn acknowledged(
        &mut self,
        now: Micros,
        client: ClientRef,
        packet: u16,
        out: &mut Vec<FrontOutput>,
    ) {
        if let Some(session) = self.sessions.get_mut(&client) {
            session.unacknowledged.remove(&packet);
        }
        self.pump(now, client, out);
    }

    /// Sends what waits, as far as the connection and the client's receive maximum allow.
    pub(super) fn pump(&mut self, now: Micros, client: ClientRef, out: &mut Vec<FrontOutput>) {
        loop {
            let Some(session) = self.sessions.get_mut(&client) else { return };
            let (Some(id), Some(next)) = (session.link, session.outbox.front()) else { return };
            let Some(link) = self.links.get_mut(&id) else { return };
            let mut packet_id = None;
            if next.qos != Qos::AtMostOnce {
                if session.unacknowledged.len() >= link.receive_maximum {
                    return;
                }
                match link.mqtt.acquire_packet_id() {
                    Ok(number) => packet_id = Some(number),
                    Err(_) => return,
                }
            }
            let version = session.version;
            let Some(outbound) = session.outbox.pop_front() else { return };
            session.unacknowledged.extend(packet_id);
            let mut sent = self.send(now, id, outbound.packet(version, packet_id), out);
            if sent == Err(MqttError::PacketTooLarge) {
                sent = self.send(now, id, outbound.without_result().packet(version, packet_id), out);
            }
            if let Err(error) = sent {
                warn!(link = id.0, topic = %outbound.topic, %error, "an answer cannot be sent to its client");
                if let (Some(number), Some(session)) = (packet_id, self.sessions.get_mut(&client)) {
                    session.unacknowledged.remove(&number);
                    if let Some(link) = self.links.get_mut(&id) {
                        let _ = link.mqtt.release_packet_id(number);
                    }
                }
            }
        }
    }
}

/// What a reply topic without properties names a call by: the packet id, 0 for QoS 0.
fn call_name(publish: &Inbound) -> String {
    publish.packet_id.unwrap_or(0).to_string()
}
