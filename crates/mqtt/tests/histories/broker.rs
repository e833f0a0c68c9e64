//! Histories of a broker with the session of one bridge.

use crate::calls::{routes, Calls, MAX_REST, TOPIC};
use crate::{properties, Step};
use mqtt_protocol_core::mqtt::common::Cursor;
use mqtt_protocol_core::mqtt::connection::{Connection, Event};
use mqtt_protocol_core::mqtt::packet::*;
use mqtt_protocol_core::mqtt::result_code::{ConnectReasonCode, SubackReasonCode};
use mqtt_protocol_core::mqtt::{role, Version};
use slatevalve::Micros;
use slatevalve_mqtt::*;
use std::collections::{BTreeMap, VecDeque};

/// Longer than the bridge's longest backoff.
const BACKOFF: Micros = Micros(20_000_000);

/// A message that the bridge has not acknowledged.
struct Message {
    payload: Vec<u8>,
    first_sent_at: Micros,
}

/// A broker that keeps the session, the bridge, and the packets under way between them.
pub(crate) struct BrokerHistory {
    bridge: Bridge,
    now: Micros,
    /// Parses the bridge's packets and acknowledges answers.
    broker: Connection<role::Server>,
    has_session: bool,
    /// The bridge's receive maximum.
    receive_maximum: usize,
    /// The broker's receive maximum.
    send_maximum: u16,
    to_gateway: VecDeque<Vec<u8>>,
    to_broker: VecDeque<Vec<u8>>,
    unacknowledged: BTreeMap<u16, Message>,
    calls: Calls,
}

impl BrokerHistory {
    pub(crate) fn new(receive_maximum: u16, send_maximum: u16) -> Self {
        let routes = routes();
        let mut history = BrokerHistory {
            bridge: Bridge::new(BridgeSettings { routes, receive_maximum, ..BridgeSettings::default() }),
            now: Micros(1_000_000),
            broker: Connection::new(Version::V5_0),
            has_session: false,
            receive_maximum: usize::from(receive_maximum),
            send_maximum,
            to_gateway: VecDeque::new(),
            to_broker: VecDeque::new(),
            unacknowledged: BTreeMap::new(),
            calls: Calls::default(),
        };
        history.connect();
        history
    }

    pub(crate) fn take(&mut self, step: Step) {
        match step {
            Step::Publish => self.publish(),
            Step::ToGateway => self.deliver_to_gateway(),
            Step::ToPeer => self.deliver_to_broker(),
            Step::Answer(index) => self.answer(index),
            Step::Break(seconds) => self.break_connection(i64::from(seconds)),
        }
    }

    /// Lets everything arrive and checks that each call was started once and answered once.
    pub(crate) fn finish(mut self) {
        for _ in 0..MAX_REST {
            if self.to_gateway.is_empty() && self.to_broker.is_empty() && !self.calls.has_open() {
                break;
            }
            self.deliver_to_gateway();
            self.deliver_to_broker();
            self.answer(0);
        }
        self.calls.assert_complete();
        let unacknowledged: Vec<&u16> = self.unacknowledged.keys().collect();
        assert!(unacknowledged.is_empty(), "publishes without acknowledgement: {unacknowledged:?}");
        let owed = (self.bridge.unacknowledged_answers(), self.bridge.unacknowledged_publishes());
        assert_eq!(owed, (0, 0), "answers and publishes that the bridge takes for unacknowledged");
    }

    fn drive(&mut self, action: impl FnOnce(&mut Bridge, Micros, &mut Vec<BridgeOutput>)) {
        let mut out = Vec::new();
        action(&mut self.bridge, self.now, &mut out);
        for output in out {
            match output {
                BridgeOutput::Write(bytes) => self.to_broker.push_back(bytes),
                BridgeOutput::Connect => {}
                BridgeOutput::Finish => panic!("the bridge closed the connection"),
                BridgeOutput::Call(call) => self.calls.start(*call),
            }
        }
    }

    fn connect(&mut self) {
        self.now.0 += BACKOFF.0;
        self.drive(|bridge, now, out| bridge.advance(now, out));
        self.broker = Connection::new(Version::V5_0);
        self.broker.set_auto_pub_response(true);
        self.drive(|bridge, now, out| bridge.connected(now, out));
        // The handshake itself is not interrupted.
        self.deliver_to_broker();
        let connack = v5_0::Connack::builder().reason_code(ConnectReasonCode::Success);
        let connack = connack.session_present(self.has_session);
        let maximum = ReceiveMaximum::new(self.send_maximum).unwrap().into();
        self.send(connack.props(vec![maximum]).build().unwrap().into());
        self.has_session = true;
        let resent: Vec<Vec<u8>> =
            self.unacknowledged.iter().map(|(id, message)| self.publish_bytes(*id, message, true)).collect();
        self.to_gateway.extend(resent);
        self.deliver_to_gateway();
    }

    fn break_connection(&mut self, seconds: i64) {
        self.to_gateway.clear();
        self.to_broker.clear();
        self.drive(|bridge, now, _| bridge.closed(now));
        self.now.0 += seconds * 1_000_000;
        self.connect();
    }

    /// Publishes under the lowest free packet id, as far as the bridge's receive maximum permits.
    fn publish(&mut self) {
        if self.calls.is_full() || self.unacknowledged.len() >= self.receive_maximum {
            return;
        }
        let Some(id) = (1..).find(|id| !self.unacknowledged.contains_key(id)) else { return };
        let payload = self.calls.next_payload();
        let message = Message { payload, first_sent_at: self.now };
        let bytes = self.publish_bytes(id, &message, false);
        self.to_gateway.push_back(bytes);
        self.unacknowledged.insert(id, message);
    }

    fn publish_bytes(&self, id: u16, message: &Message, dup: bool) -> Vec<u8> {
        let waited_s = u32::try_from((self.now.0 - message.first_sent_at.0) / 1_000_000).unwrap();
        let builder = v5_0::Publish::builder().topic_name(TOPIC).unwrap().qos(Qos::AtLeastOnce);
        let builder = builder.packet_id(id).dup(dup).props(properties(waited_s, dup));
        builder.payload(message.payload.clone()).build().unwrap().to_continuous_buffer()
    }

    fn answer(&mut self, index: usize) {
        if let Some((ticket, answer)) = self.calls.end(index) {
            self.drive(|bridge, now, out| bridge.answer(now, ticket, &answer, out));
        }
    }

    fn deliver_to_gateway(&mut self) {
        if let Some(bytes) = self.to_gateway.pop_front() {
            self.drive(|bridge, now, out| bridge.received(now, &bytes, out));
        }
    }

    fn deliver_to_broker(&mut self) {
        let Some(bytes) = self.to_broker.pop_front() else { return };
        // The broker's library did not send the publishes, so their acknowledgements are read here.
        if bytes[0] >> 4 == 4 {
            self.unacknowledged.remove(&u16::from_be_bytes([bytes[2], bytes[3]]));
            return;
        }
        let mut cursor = Cursor::new(bytes.as_slice());
        while (cursor.position() as usize) < bytes.len() {
            let events = self.broker.recv(&mut cursor);
            self.handle_broker_events(events);
        }
    }

    fn send(&mut self, packet: Packet) {
        let events = self.broker.send(packet);
        self.handle_broker_events(events);
    }

    fn handle_broker_events(&mut self, events: Vec<Event>) {
        for event in events {
            match event {
                Event::RequestSendPacket { packet, .. } => {
                    self.to_gateway.push_back(packet.to_continuous_buffer());
                }
                Event::NotifyPacketReceived(Packet::V5_0Subscribe(subscribe)) => {
                    let codes = vec![SubackReasonCode::GrantedQos1];
                    let builder = v5_0::Suback::builder().packet_id(subscribe.packet_id());
                    self.send(builder.reason_codes(codes).build().unwrap().into());
                }
                Event::NotifyPacketReceived(Packet::V5_0Publish(answer)) => {
                    self.calls.answered(answer.payload().as_slice(), answer.dup());
                }
                Event::NotifyError(error) => panic!("{error}"),
                _ => {}
            }
        }
    }
}
