//! Histories of a direct client.

use crate::calls::{routes, Calls, MAX_REST, TOPIC};
use crate::{properties, Step, EXPIRY_S};
use mqtt_protocol_core::mqtt::common::Cursor;
use mqtt_protocol_core::mqtt::connection::{Connection, Event};
use mqtt_protocol_core::mqtt::packet::*;
use mqtt_protocol_core::mqtt::{role, Version};
use slatevalve::Micros;
use slatevalve_mqtt::*;
use std::collections::{BTreeMap, VecDeque};

/// A client with a persistent session, the front, and the packets under way between them.
pub(crate) struct ClientHistory {
    front: Front,
    now: Micros,
    link: u64,
    client: Connection<role::Client>,
    version: Version,
    qos: Qos,
    receive_maximum: u16,
    to_gateway: VecDeque<Vec<u8>>,
    to_client: VecDeque<Vec<u8>>,
    /// When a packet id was used for the current message.
    first_sent_at: BTreeMap<u16, Micros>,
    calls: Calls,
}

impl ClientHistory {
    pub(crate) fn new(version: Version, qos: Qos, receive_maximum: u16) -> Self {
        let routes = routes();
        let mut client = Connection::new(version);
        client.set_auto_pub_response(true);
        let mut history = ClientHistory {
            // The client's library miscounts a stated receive maximum when it resumes a session.
            front: Front::new(FrontSettings {
                routes,
                receive_maximum: u16::MAX,
                ..FrontSettings::default()
            }),
            now: Micros(1_000_000),
            link: 0,
            client,
            version,
            qos,
            receive_maximum,
            to_gateway: VecDeque::new(),
            to_client: VecDeque::new(),
            first_sent_at: BTreeMap::new(),
            calls: Calls::default(),
        };
        history.connect();
        history
    }

    pub(crate) fn take(&mut self, step: Step) {
        match step {
            Step::Publish if !self.calls.is_full() => self.publish(),
            Step::Publish => {}
            Step::ToGateway => self.deliver_to_gateway(),
            Step::ToPeer => self.deliver_to_client(),
            Step::Answer(index) => self.answer(index),
            Step::Break(seconds) => self.break_connection(i64::from(seconds)),
        }
    }

    /// Lets everything arrive and checks that each call was started once and answered once.
    pub(crate) fn finish(mut self) {
        for _ in 0..MAX_REST {
            if self.to_gateway.is_empty() && self.to_client.is_empty() && !self.calls.has_open() {
                break;
            }
            self.deliver_to_gateway();
            self.deliver_to_client();
            self.answer(0);
        }
        self.calls.assert_complete();
        assert_eq!(self.front.owed(self.now, Micros(i64::MAX)), OwedAnswers::default());
    }

    fn connect(&mut self) {
        self.link += 1;
        self.front.opened(self.now, LinkId(self.link));
        let connect: Packet = match self.version {
            Version::V5_0 => {
                let properties = vec![
                    SessionExpiryInterval::new(EXPIRY_S).unwrap().into(),
                    ReceiveMaximum::new(self.receive_maximum).unwrap().into(),
                ];
                let builder = v5_0::Connect::builder().client_id("a").unwrap().clean_start(false);
                builder.props(properties).build().unwrap().into()
            }
            _ => {
                let builder = v3_1_1::Connect::builder().client_id("a").unwrap().clean_session(false);
                builder.build().unwrap().into()
            }
        };
        let events = self.client.send(connect);
        self.handle_client_events(events);
        // The handshake itself is not interrupted: a client publishes only after CONNACK.
        self.deliver_to_gateway();
        self.deliver_to_client();
    }

    fn break_connection(&mut self, seconds: i64) {
        self.to_gateway.clear();
        self.to_client.clear();
        let _ = self.client.notify_closed();
        let mut out = Vec::new();
        self.front.closed(self.now, LinkId(self.link), &mut out);
        self.execute(out);
        self.now.0 += seconds * 1_000_000;
        self.connect();
    }

    fn publish(&mut self) {
        let Ok(id) = self.client.acquire_packet_id() else { return };
        let payload = self.calls.next_payload();
        self.first_sent_at.insert(id, self.now);
        let packet: Packet = match self.version {
            Version::V5_0 => {
                let builder = v5_0::Publish::builder().topic_name(TOPIC).unwrap().qos(self.qos);
                builder.packet_id(id).props(properties(0, false)).payload(payload).build().unwrap().into()
            }
            _ => {
                let builder = v3_1_1::Publish::builder().topic_name(TOPIC).unwrap().qos(self.qos);
                builder.packet_id(id).payload(payload).build().unwrap().into()
            }
        };
        let events = self.client.send(packet);
        self.handle_client_events(events);
    }

    fn answer(&mut self, index: usize) {
        let Some((ticket, answer)) = self.calls.end(index) else { return };
        let mut out = Vec::new();
        self.front.answer(self.now, ticket, &answer, &mut out);
        self.execute(out);
    }

    fn deliver_to_gateway(&mut self) {
        let Some(bytes) = self.to_gateway.pop_front() else { return };
        let mut out = Vec::new();
        self.front.received(self.now, LinkId(self.link), &bytes, &mut out);
        self.execute(out);
    }

    fn deliver_to_client(&mut self) {
        let Some(bytes) = self.to_client.pop_front() else { return };
        let mut cursor = Cursor::new(bytes.as_slice());
        while (cursor.position() as usize) < bytes.len() {
            let events = self.client.recv(&mut cursor);
            self.handle_client_events(events);
        }
    }

    fn execute(&mut self, out: Vec<FrontOutput>) {
        for output in out {
            match output {
                FrontOutput::Write(LinkId(link), bytes) if link == self.link => {
                    self.to_client.push_back(bytes);
                }
                FrontOutput::Write(..) => {}
                FrontOutput::Finish(link) => panic!("the gateway closed {link:?}"),
                FrontOutput::Call(call) => self.calls.start(*call),
                FrontOutput::ClientDisconnected(ticket) => panic!("the session of {ticket:?} ended"),
            }
        }
    }

    fn handle_client_events(&mut self, events: Vec<Event>) {
        for event in events {
            match event {
                Event::RequestSendPacket { packet, .. } => {
                    let bytes = self.sent_form(packet).to_continuous_buffer();
                    self.to_gateway.push_back(bytes);
                }
                Event::NotifyPacketReceived(Packet::V5_0Publish(answer)) => {
                    self.handle_answer(answer.dup(), answer.payload().as_slice());
                }
                Event::NotifyPacketReceived(Packet::V3_1_1Publish(answer)) => {
                    self.handle_answer(answer.dup(), answer.payload().as_slice());
                }
                Event::NotifyError(error) => panic!("{error}"),
                _ => {}
            }
        }
    }

    /// A retransmission with QoS 1 may have been received before; with QoS 2 the library removes those.
    fn handle_answer(&mut self, dup: bool, payload: &[u8]) {
        self.calls.answered(payload, dup && self.qos != Qos::ExactlyOnce);
    }

    /// A publish that is sent again has less message expiry and its properties in another order.
    fn sent_form(&self, packet: Packet) -> Packet {
        let Packet::V5_0Publish(publish) = &packet else { return packet };
        let Some(id) = publish.packet_id().filter(|_| publish.dup()) else { return packet };
        let first_sent_at = self.first_sent_at.get(&id).copied().unwrap_or(self.now);
        let waited_s = u32::try_from((self.now.0 - first_sent_at.0) / 1_000_000).unwrap();
        let builder = v5_0::Publish::builder().topic_name(publish.topic_name()).unwrap().qos(publish.qos());
        let builder = builder.packet_id(id).dup(true).props(properties(waited_s, true));
        builder.payload(publish.payload().as_slice().to_vec()).build().unwrap().into()
    }
}
