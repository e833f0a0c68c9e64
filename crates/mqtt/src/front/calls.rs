//! Turns publishes into calls or refuses them, and sends answers as far as the client's connection and
//! receive maximum permit.

use super::{Front, FrontOutput, LinkId};
use crate::packets;
use crate::publish::{InboundPublish, OutboundPublish, ReplyAddress, Version};
use crate::rejection::Rejection;
use crate::request::{CallRequest, Declined};
use crate::session::{PendingReply, QueuedAnswer};
use mqtt_protocol_core::mqtt::packet::Qos;
use mqtt_protocol_core::mqtt::result_code::{DisconnectReasonCode, MqttError};
use slatevalve::Micros;
use slatevalve_engine::{Answer, ClientRef, Reason};
use tracing::{info, warn};

impl Front {
    pub(super) fn handle_publish(
        &mut self,
        now: Micros,
        id: LinkId,
        client: ClientRef,
        publish: InboundPublish,
        out: &mut Vec<FrontOutput>,
    ) {
        let Some(session) = self.sessions.get_mut(&client) else { return };
        let version = session.version;
        session.redeliveries.received(&publish);
        if publish.retain && version == Version::V5 {
            // CONNACK announced that retained messages are not supported (section 3.2.2.3.5).
            self.forget_received(id, &publish);
            return self.disconnect(now, id, DisconnectReasonCode::RetainNotSupported, out);
        }
        // A publish that is sent again because its acknowledgement was lost already has a call or an answer.
        if session.accepted.receive(&publish) {
            return self.acknowledge(now, id, client, &publish, None, out);
        }
        let request = match session.open_calls_and_answers() < self.settings.session_quota {
            true => CallRequest::read(&self.settings.routes, Some(&session.client_id), &publish),
            false => Err(Rejection::Quota.into()),
        };
        let may_be_accepted_before = publish.may_be_accepted_before(session.redeliveries.covered_since());
        let Some(request) = without_untrue_rejection(request, may_be_accepted_before) else {
            self.forget_received(id, &publish);
            return self.disconnect(now, id, DisconnectReasonCode::QuotaExceeded, out);
        };
        let is_answered = is_answered(&request, version);
        if is_answered {
            session.accepted.accept(now, &publish);
        }
        let rejection = request.as_ref().err().and_then(|declined| declined.rejection());
        self.acknowledge(now, id, client, &publish, rejection, out);
        if let Some(rejection) = rejection {
            info!(link = id.0, topic = %publish.topic, why = %rejection, "publish rejected");
        }
        match request {
            Ok(request) => self.start_call(now, client, publish, request, out),
            Err(Declined::Refused(reason)) => self.decline_call(now, client, &publish, reason, out),
            Err(Declined::Rejected(_)) if is_answered => {
                self.decline_call(now, client, &publish, Reason::NoRoute, out);
            }
            Err(Declined::Rejected(_)) => {}
        }
    }

    /// Sends the first acknowledgement of a publish.
    fn acknowledge(
        &mut self,
        now: Micros,
        id: LinkId,
        client: ClientRef,
        publish: &InboundPublish,
        rejection: Option<Rejection>,
        out: &mut Vec<FrontOutput>,
    ) {
        let (Some(session), Some(packet_id)) = (self.sessions.get_mut(&client), publish.packet_id) else {
            return;
        };
        session.accepted.acknowledge(packet_id);
        if let Some(packet) = packets::acknowledge(session.version, publish, rejection).transpose() {
            self.send_required(now, id, packet, out);
        }
    }

    /// Makes the protocol library pass on a publish with QoS 2 again if the client resends it, because it was
    /// not accepted.
    fn forget_received(&mut self, id: LinkId, publish: &InboundPublish) {
        let (Some(connection), Some(packet_id)) = (self.connections.get_mut(&id), publish.packet_id) else {
            return;
        };
        let mut received = connection.mqtt.get_qos2_publish_handled();
        if received.remove(&packet_id) {
            connection.mqtt.restore_qos2_publish_handled(received);
        }
    }

    fn start_call(
        &mut self,
        now: Micros,
        client: ClientRef,
        publish: InboundPublish,
        mut request: CallRequest,
        out: &mut Vec<FrontOutput>,
    ) {
        let ticket = self.ticket_source.ticket();
        let Some(session) = self.sessions.get_mut(&client) else { return };
        let address = std::mem::take(&mut request.reply_address);
        let reply = pending_reply(now, &publish, address);
        session.pending.insert(ticket, reply);
        self.tickets.insert(ticket, client);
        let repeat = publish.repeat(session.redeliveries.covered_since());
        let call = request.call(ticket, client, publish.payload, repeat);
        out.push(FrontOutput::Call(Box::new(call)));
    }

    /// Answers a publish that makes no call.
    fn decline_call(
        &mut self,
        now: Micros,
        client: ClientRef,
        publish: &InboundPublish,
        reason: Reason,
        out: &mut Vec<FrontOutput>,
    ) {
        let Some(session) = self.sessions.get_mut(&client) else { return };
        let answer = publish.declined(reason, session.redeliveries.covered_since());
        let reply = pending_reply(now, publish, publish.reply_address());
        self.queue_answer(now, client, reply, &answer, out);
    }

    /// Queues the answer to a call, and sends it if the client's connection permits.
    pub(super) fn queue_answer(
        &mut self,
        now: Micros,
        client: ClientRef,
        reply: PendingReply,
        answer: &Answer,
        out: &mut Vec<FrontOutput>,
    ) {
        let Some(session) = self.sessions.get_mut(&client) else { return };
        let topic = session.reply_topic(&reply, answer.verdict.as_str());
        let documents = self.settings.documents.as_deref();
        let PendingReply { address, qos, received_at, .. } = reply;
        let publish = OutboundPublish::answer(topic, qos, address.correlation, answer, documents);
        session.outbox.push_back(QueuedAnswer { publish, received_at });
        self.send_outbox(now, client, out);
    }

    /// Handles the first packet by which the client shows that it received an answer.
    pub(super) fn answer_received(&mut self, client: ClientRef, packet_id: u16) {
        if let Some(session) = self.sessions.get_mut(&client) {
            session.accepted.answer_received(packet_id);
        }
    }

    /// Handles the client's final acknowledgement of an answer.
    pub(super) fn answer_acknowledged(
        &mut self,
        now: Micros,
        client: ClientRef,
        packet_id: u16,
        out: &mut Vec<FrontOutput>,
    ) {
        if let Some(session) = self.sessions.get_mut(&client) {
            session.unacknowledged.remove(&packet_id);
        }
        self.answer_received(client, packet_id);
        self.send_outbox(now, client, out);
    }

    /// Sends queued answers, as far as the connection and the client's receive maximum permit.
    pub(super) fn send_outbox(&mut self, now: Micros, client: ClientRef, out: &mut Vec<FrontOutput>) {
        loop {
            let Some(session) = self.sessions.get_mut(&client) else { return };
            let (Some(id), Some(next)) = (session.connection, session.outbox.front()) else { return };
            let Some(connection) = self.connections.get_mut(&id) else { return };
            let mut packet_id = None;
            if next.publish.qos != Qos::AtMostOnce {
                if session.unacknowledged.len() >= connection.receive_maximum {
                    return;
                }
                let Ok(acquired) = connection.mqtt.acquire_packet_id() else { return };
                packet_id = Some(acquired);
            }
            let Some(QueuedAnswer { publish, received_at }) = session.outbox.pop_front() else { return };
            if let Some(packet_id) = packet_id {
                session.unacknowledged.insert(packet_id, received_at);
                session.accepted.answer_sent(packet_id);
            }
            self.send_answer(now, id, client, &publish, packet_id, out);
        }
    }

    /// Sends one answer, without its result if the packet exceeds the client's maximum packet size.
    fn send_answer(
        &mut self,
        now: Micros,
        id: LinkId,
        client: ClientRef,
        publish: &OutboundPublish,
        packet_id: Option<u16>,
        out: &mut Vec<FrontOutput>,
    ) {
        let Some(version) = self.sessions.get(&client).map(|session| session.version) else { return };
        let mut sent = self.send(now, id, publish.packet(version, packet_id), out);
        if sent == Err(MqttError::PacketTooLarge) {
            sent = self.send(now, id, publish.without_result().packet(version, packet_id), out);
        }
        let Err(error) = sent else { return };
        warn!(link = id.0, topic = %publish.topic, %error, "cannot send an answer to its client");
        if let (Some(packet_id), Some(session)) = (packet_id, self.sessions.get_mut(&client)) {
            session.unacknowledged.remove(&packet_id);
            if let Some(connection) = self.connections.get_mut(&id) {
                let _ = connection.mqtt.release_packet_id(packet_id);
            }
        }
    }
}

/// Replaces a rejection that would wrongly say that the publish was never accepted. `None` if no answer can do
/// so either, as the session's quota is used up.
fn without_untrue_rejection(
    request: Result<CallRequest, Declined>,
    may_be_accepted_before: bool,
) -> Option<Result<CallRequest, Declined>> {
    match request {
        Err(Declined::Rejected(rejection)) if rejection.depends_on_gateway() && may_be_accepted_before => {
            let is_quota = rejection == Rejection::Quota;
            (!is_quota).then_some(Err(Declined::Refused(Reason::NoRoute)))
        }
        request => Some(request),
    }
}

/// Whether a publish gets an answer. Version 3.1.1 has no reason codes, so only an answer can report a
/// rejection; beyond the session's quota there is no room for one.
fn is_answered(request: &Result<CallRequest, Declined>, version: Version) -> bool {
    match request {
        Ok(_) | Err(Declined::Refused(_)) => true,
        Err(Declined::Rejected(rejection)) => version == Version::V3 && *rejection != Rejection::Quota,
    }
}

/// The record of a call that was received at `now`.
fn pending_reply(now: Micros, publish: &InboundPublish, address: ReplyAddress) -> PendingReply {
    PendingReply {
        address,
        qos: publish.qos,
        call_name: publish.packet_id.unwrap_or(0).to_string(),
        received_at: now,
    }
}
