//! Tracks which of the broker's publishes were accepted and when each is acknowledged, and sends the answers.

use super::{Bridge, BridgeOutput, PendingReply, Stage};
use crate::accepted::AcceptedPublishes;
use crate::packets;
use crate::publish::{InboundPublish, OutboundPublish, Version};
use crate::rejection::Rejection;
use crate::request::{CallRequest, Declined};
use mqtt_protocol_core::mqtt::result_code::MqttError;
use slatevalve::Micros;
use slatevalve_engine::{Reason, Ticket};
use std::collections::{BTreeMap, VecDeque};
use tracing::{info, warn};

/// The state of the call of a publish that is not acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallState {
    Open(Ticket),
    Answered,
}

/// The accepted publishes with packet ids.
pub(super) struct Deliveries {
    /// Kept when a session is resumed.
    accepted: AcceptedPublishes,
    /// The calls of publishes that are not acknowledged, by packet id. Kept when a session is resumed.
    calls: BTreeMap<u16, CallState>,
    /// Packet ids without acknowledgement, in order of receipt on this connection.
    unacknowledged: VecDeque<u16>,
    receive_maximum: u16,
}

impl Deliveries {
    pub(super) fn new(receive_maximum: u16) -> Self {
        Deliveries {
            accepted: AcceptedPublishes::new(receive_maximum),
            calls: BTreeMap::new(),
            unacknowledged: VecDeque::new(),
            receive_maximum,
        }
    }

    /// Handles an established connection, before the broker says whether it resumes the session.
    pub(super) fn connected(&mut self, now: Micros) {
        self.accepted.connected(now);
    }

    pub(super) fn connection_lost(&mut self) {
        self.unacknowledged.clear();
    }

    pub(super) fn session_lost(&mut self) {
        *self = Deliveries::new(self.receive_maximum);
    }

    /// Number of accepted publishes that were not acknowledged.
    pub(super) fn unacknowledged(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether a publish is a redelivery of an accepted one, which is then acknowledged again.
    fn receive_again(&mut self, id: u16, publish: &InboundPublish) -> bool {
        if !self.accepted.receive(publish) {
            return false;
        }
        self.received(id);
        // Without a call it was acknowledged before, and the broker did not receive the acknowledgement.
        self.calls.entry(id).or_insert(CallState::Answered);
        true
    }

    /// Records the packet id of a publish that is to be acknowledged on this connection.
    fn received(&mut self, id: u16) {
        if !self.unacknowledged.contains(&id) {
            self.unacknowledged.push_back(id);
        }
    }

    fn open(&mut self, now: Micros, publish: &InboundPublish, ticket: Ticket) {
        if let Some(id) = publish.packet_id {
            self.received(id);
            self.accepted.accept(now, publish);
            self.calls.insert(id, CallState::Open(ticket));
        }
    }

    fn answered(&mut self, packet_id: Option<u16>, ticket: Ticket) {
        let call = packet_id.and_then(|id| self.calls.get_mut(&id));
        if let Some(call) = call.filter(|call| **call == CallState::Open(ticket)) {
            *call = CallState::Answered;
        }
    }

    /// Takes the next packet id to acknowledge: the oldest one, once its call is answered.
    fn take_answered(&mut self) -> Option<u16> {
        let id = *self.unacknowledged.front()?;
        if self.calls.get(&id) != Some(&CallState::Answered) {
            return None;
        }
        self.calls.remove(&id);
        self.accepted.acknowledge(id);
        self.unacknowledged.pop_front()
    }
}

impl Bridge {
    pub(super) fn handle_publish(
        &mut self,
        now: Micros,
        publish: InboundPublish,
        out: &mut Vec<BridgeOutput>,
    ) {
        let packet_id = publish.packet_id;
        if packet_id.is_some_and(|id| self.deliveries.receive_again(id, &publish)) {
            return self.acknowledge(now, out);
        }
        if self.stopped_accepting {
            return;
        }
        self.redeliveries.received(&publish);
        let reason = match CallRequest::read(&self.settings.routes, None, &publish) {
            Ok(request) => return self.start_call(now, publish, request, out),
            Err(Declined::Refused(reason)) => reason,
            Err(Declined::Rejected(rejection)) => {
                info!(topic = %publish.topic, why = %rejection, "publish rejected");
                match rejection {
                    Rejection::Quota => Reason::TooManyOpen,
                    _ => Reason::NoRoute,
                }
            }
        };
        self.decline_call(now, &publish, reason, out);
    }

    fn start_call(
        &mut self,
        now: Micros,
        publish: InboundPublish,
        mut request: CallRequest,
        out: &mut Vec<BridgeOutput>,
    ) {
        let ticket = self.ticket_source.ticket();
        let address = std::mem::take(&mut request.reply_address);
        let client = self.ticket_source.client_named(address.response_topic.as_deref().unwrap_or_default());
        self.deliveries.open(now, &publish, ticket);
        self.pending.insert(ticket, PendingReply { packet_id: publish.packet_id, address });
        let repeat = publish.repeat(self.redeliveries.covered_since());
        let call = request.call(ticket, client, publish.payload, repeat);
        out.push(BridgeOutput::Call(Box::new(call)));
    }

    /// Answers a publish that makes no call, if it has a response topic.
    fn decline_call(
        &mut self,
        now: Micros,
        publish: &InboundPublish,
        reason: Reason,
        out: &mut Vec<BridgeOutput>,
    ) {
        let ticket = self.ticket_source.ticket();
        self.deliveries.open(now, publish, ticket);
        let reply = PendingReply { packet_id: publish.packet_id, address: publish.reply_address() };
        self.pending.insert(ticket, reply);
        let answer = publish.declined(reason, self.redeliveries.covered_since());
        self.answer(now, ticket, &answer, out);
    }

    /// Completes a call whose answer, if any, is in the outbox.
    pub(super) fn complete(
        &mut self,
        now: Micros,
        packet_id: Option<u16>,
        ticket: Ticket,
        out: &mut Vec<BridgeOutput>,
    ) {
        self.deliveries.answered(packet_id, ticket);
        self.send_outbox(now, out);
        self.acknowledge(now, out);
    }

    /// Acknowledges publishes in order of receipt, as far as their answers were sent.
    fn acknowledge(&mut self, now: Micros, out: &mut Vec<BridgeOutput>) {
        while self.stage == Stage::Connected && self.outbox.is_empty() {
            let Some(id) = self.deliveries.take_answered() else { return };
            self.send_required(now, packets::v5_puback(id, None), out);
        }
    }

    /// Sends queued answers, as far as the broker's receive maximum permits, and acknowledges the publishes
    /// that they answer.
    pub(super) fn send_outbox(&mut self, now: Micros, out: &mut Vec<BridgeOutput>) {
        while self.stage == Stage::Connected && self.unacknowledged.len() < self.send_maximum {
            let Some(publish) = self.outbox.pop_front() else { break };
            let Ok(packet_id) = self.mqtt.acquire_packet_id() else {
                return self.outbox.push_front(publish);
            };
            self.send_answer(now, publish, packet_id, out);
        }
        self.acknowledge(now, out);
    }

    /// Sends one answer, without its result if the packet exceeds the broker's maximum packet size.
    fn send_answer(
        &mut self,
        now: Micros,
        publish: OutboundPublish,
        packet_id: u16,
        out: &mut Vec<BridgeOutput>,
    ) {
        let mut sent = self.send(now, publish.packet(Version::V5, Some(packet_id)), out);
        if sent == Err(MqttError::PacketTooLarge) {
            sent = self.send(now, publish.without_result().packet(Version::V5, Some(packet_id)), out);
        }
        match sent {
            Ok(()) => {
                self.unacknowledged.insert(packet_id, publish);
            }
            Err(error) => {
                warn!(topic = %publish.topic, %error, "cannot send an answer to the broker");
                let _ = self.mqtt.release_packet_id(packet_id);
            }
        }
    }
}
