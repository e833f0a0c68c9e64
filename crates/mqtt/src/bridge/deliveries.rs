//! Tracks which of the broker's publishes were accepted and when each is acknowledged, and sends the answers.

use super::{Bridge, BridgeOutput, PendingReply, Stage};
use crate::packets;
use crate::publish::{InboundPublish, OutboundPublish, Version};
use crate::rejection::Rejection;
use crate::request::{CallRequest, Declined};
use mqtt_protocol_core::mqtt::result_code::MqttError;
use slatevalve::Micros;
use slatevalve_engine::{Reason, Ticket};
use std::collections::{BTreeMap, VecDeque};
use tracing::{info, warn};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Delivery {
    /// Distinguishes the publish from a later one with the same packet id.
    fingerprint: u64,
    state: DeliveryState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DeliveryState {
    /// The call is open under this ticket.
    Open(Ticket),
    /// The call is answered, but the publish is not acknowledged.
    Answered,
    /// The acknowledgement was sent; the broker may not have received it.
    Acknowledged,
}

/// The accepted publishes with packet ids.
#[derive(Default)]
pub(super) struct Deliveries {
    /// Kept when a session is resumed.
    by_packet_id: BTreeMap<u16, Delivery>,
    /// Packet ids without acknowledgement, in order of receipt on this connection.
    unacknowledged: VecDeque<u16>,
}

impl Deliveries {
    pub(super) fn connection_lost(&mut self) {
        self.unacknowledged.clear();
    }

    pub(super) fn session_lost(&mut self) {
        self.by_packet_id.clear();
    }

    /// Records a received packet id and returns whether it is a redelivery of an accepted publish.
    fn receive(&mut self, id: u16, publish: &InboundPublish, is_resumed: bool) -> bool {
        self.unacknowledged.push_back(id);
        let fingerprint = publish.fingerprint();
        let delivery = self.by_packet_id.get_mut(&id).filter(|delivery| delivery.fingerprint == fingerprint);
        let Some(delivery) = delivery.filter(|_| publish.dup && is_resumed) else { return false };
        if delivery.state == DeliveryState::Acknowledged {
            delivery.state = DeliveryState::Answered;
        }
        true
    }

    fn open(&mut self, publish: &InboundPublish, ticket: Ticket) {
        if let Some(id) = publish.packet_id {
            let delivery =
                Delivery { fingerprint: publish.fingerprint(), state: DeliveryState::Open(ticket) };
            self.by_packet_id.insert(id, delivery);
        }
    }

    fn answered(&mut self, packet_id: Option<u16>, ticket: Ticket) {
        let delivery = packet_id.and_then(|id| self.by_packet_id.get_mut(&id));
        if let Some(delivery) = delivery.filter(|delivery| delivery.state == DeliveryState::Open(ticket)) {
            delivery.state = DeliveryState::Answered;
        }
    }

    /// Takes the next packet id to acknowledge: the oldest one, once its call is answered.
    fn take_answered(&mut self) -> Option<u16> {
        let id = *self.unacknowledged.front()?;
        let delivery = self.by_packet_id.get_mut(&id)?;
        if delivery.state != DeliveryState::Answered {
            return None;
        }
        delivery.state = DeliveryState::Acknowledged;
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
        if self.stopped_accepting {
            return;
        }
        self.redeliveries.received(&publish);
        if let Some(id) = publish.packet_id {
            if self.deliveries.receive(id, &publish, self.is_resumed) {
                return self.acknowledge(now, out);
            }
        }
        let reason = match CallRequest::read(&self.settings.routes, None, &publish) {
            Ok(request) => return self.start_call(publish, request, out),
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

    fn start_call(&mut self, publish: InboundPublish, mut request: CallRequest, out: &mut Vec<BridgeOutput>) {
        let ticket = self.ticket_source.ticket();
        let address = std::mem::take(&mut request.reply_address);
        let client = self.ticket_source.client_named(address.response_topic.as_deref().unwrap_or_default());
        self.deliveries.open(&publish, ticket);
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
        self.deliveries.open(publish, ticket);
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
