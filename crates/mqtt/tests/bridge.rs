//! The bridge against a broker made of the protocol library's server side.

use mqtt_protocol_core::mqtt::common::Cursor;
use mqtt_protocol_core::mqtt::connection::{Connection, Event};
use mqtt_protocol_core::mqtt::packet::*;
use mqtt_protocol_core::mqtt::result_code::*;
use mqtt_protocol_core::mqtt::{role, Version};
use slatevalve::{ClassId, Micros};
use slatevalve_engine::{Answer, Call, Verdict};
use slatevalve_mqtt::*;

struct Bench {
    bridge: Bridge,
    now: Micros,
    broker: Connection<role::Server>,
    heard: Vec<Packet>,
    /// Ids of publishes that the bridge acknowledged, and `answer` for each of its own, in order.
    sent: Vec<String>,
    calls: Vec<Call>,
    connects: usize,
    finished: usize,
    /// Whether the bridge's packets still reach the broker.
    cut: bool,
}

impl Bench {
    fn new() -> Self {
        let route = Route {
            filter: TopicFilter::parse("charge/+").unwrap(),
            class: ClassId(0),
            tenant: None,
            function: Template::parse("{2}").unwrap(),
            key: None,
        };
        let routes = Routes { routes: vec![route], ..Routes::default() };
        let settings = BridgeSettings { routes, group: Some("g".into()), ..BridgeSettings::default() };
        let (heard, sent, calls) = (Vec::new(), Vec::new(), Vec::new());
        let broker = Connection::new(Version::V5_0);
        let bridge = Bridge::new(settings);
        Bench {
            bridge,
            now: Micros(1_000_000),
            broker,
            heard,
            sent,
            calls,
            connects: 0,
            finished: 0,
            cut: false,
        }
    }

    fn act(&mut self, act: impl FnOnce(&mut Bridge, Micros, &mut Vec<BridgeOutput>)) {
        let mut out = Vec::new();
        act(&mut self.bridge, self.now, &mut out);
        for output in out {
            match output {
                BridgeOutput::Connect => self.connects += 1,
                BridgeOutput::Finish => self.finished += 1,
                BridgeOutput::Call(call) => self.calls.push(*call),
                // Acknowledgements are read here: the broker's library did not send what they are for.
                BridgeOutput::Write(bytes) if bytes[0] == 0x40 => {
                    self.sent.push(u16::from_be_bytes([bytes[2], bytes[3]]).to_string());
                }
                BridgeOutput::Write(bytes) if !self.cut => {
                    if bytes[0] >> 4 == 3 {
                        self.sent.push("answer".into());
                    }
                    let mut cursor = Cursor::new(bytes.as_slice());
                    while (cursor.position() as usize) < bytes.len() {
                        let events = self.broker.recv(&mut cursor);
                        self.broker_events(events);
                    }
                }
                BridgeOutput::Write(_) => {}
            }
        }
    }

    fn broker_events(&mut self, events: Vec<Event>) {
        for event in events {
            match event {
                Event::NotifyPacketReceived(packet) => self.heard.push(packet),
                Event::RequestSendPacket { packet, .. } => {
                    let bytes = packet.to_continuous_buffer();
                    self.act(|b, now, out| b.received(now, &bytes, out));
                }
                _ => {}
            }
        }
    }

    fn broker_send(&mut self, packet: Packet) {
        let events = self.broker.send(packet);
        self.broker_events(events);
    }

    /// Connects; the broker resumes the session or not.
    fn come_up(&mut self, resumed: bool, properties: Vec<Property>) {
        self.now.0 += 20_000_000;
        self.cut = false;
        self.act(|b, now, out| b.advance(now, out));
        self.broker = Connection::new(Version::V5_0);
        self.act(|b, now, out| b.connected(now, out));
        let connack =
            v5_0::Connack::builder().reason_code(ConnectReasonCode::Success).session_present(resumed);
        self.broker_send(connack.props(properties).build().unwrap().into());
        let subscribe = self.heard.iter().rev().find_map(|p| match p {
            Packet::V5_0Subscribe(p) => Some(p.packet_id()),
            _ => None,
        });
        if let Some(id) = subscribe.filter(|_| !resumed) {
            let codes = vec![SubackReasonCode::GrantedQos1];
            self.broker_send(
                v5_0::Suback::builder().packet_id(id).reason_codes(codes).build().unwrap().into(),
            );
        }
    }

    /// A publish from the broker, as bytes, so that ids and flags are the test's.
    fn deliver(&mut self, id: u16, key: &str, dup: bool) {
        let properties = vec![
            ResponseTopic::new("replies/app").unwrap().into(),
            UserProperty::new("key", key).unwrap().into(),
        ];
        let builder = v5_0::Publish::builder().topic_name("charge/card").unwrap().qos(Qos::AtLeastOnce);
        let publish = builder.packet_id(id).dup(dup).props(properties).payload("p").build().unwrap();
        let bytes = publish.to_continuous_buffer();
        self.act(|b, now, out| b.received(now, &bytes, out));
    }

    fn answer(&mut self, call: usize) {
        let verdict = Verdict::Served { payload: b"ok".as_slice().into(), ran: None };
        let (ticket, answer) =
            (self.calls[call].ticket, Answer { verdict, attempts: 1, recorded: false, version: None });
        self.act(|b, now, out| b.answer(now, ticket, &answer, out));
    }

    fn lose(&mut self) {
        self.cut = true;
        self.act(|b, now, _| b.closed(now));
    }

    /// What the bridge sent since the last time.
    fn sent(&mut self) -> Vec<String> {
        std::mem::take(&mut self.sent)
    }
}

#[test]
fn publishes_are_acknowledged_in_their_order_and_behind_their_answers() {
    let mut b = Bench::new();
    b.come_up(false, vec![]);
    let filters = b.heard.iter().find_map(|p| match p {
        Packet::V5_0Subscribe(p) => Some(p.entries()[0].topic_filter().to_string()),
        _ => None,
    });
    assert_eq!(filters.as_deref(), Some("$share/g/charge/+"));
    b.deliver(1, "a", false);
    b.deliver(2, "b", false);
    b.answer(1);
    assert_eq!(b.sent(), ["answer"], "the first is not answered yet");
    b.answer(0);
    assert_eq!(b.sent(), ["answer", "1", "2"]);
}

#[test]
fn a_redelivery_on_the_resumed_session_starts_nothing_and_is_answered_once() {
    let mut b = Bench::new();
    b.come_up(false, vec![]);
    b.deliver(1, "a", false);
    b.lose();
    b.answer(0);
    b.come_up(true, vec![]);
    assert_eq!(b.sent(), ["answer"]);
    b.deliver(1, "a", true);
    assert_eq!((b.calls.len(), b.sent()), (1, vec!["1".to_string()]));
    // Its acknowledgement is lost as well: it is acknowledged again, and not answered again.
    b.lose();
    b.come_up(true, vec![]);
    b.sent();
    b.deliver(1, "a", true);
    assert_eq!((b.calls.len(), b.sent()), (1, vec!["1".to_string()]));
    // The id used again for another message is a new call.
    b.deliver(1, "b", true);
    assert_eq!(b.calls.len(), 2);
}

#[test]
fn what_the_lost_session_had_not_acknowledged_is_published_again() {
    let mut b = Bench::new();
    b.come_up(false, vec![ReceiveMaximum::new(1).unwrap().into()]);
    b.deliver(1, "a", false);
    b.deliver(2, "b", false);
    b.answer(0);
    b.answer(1);
    assert_eq!(b.sent(), ["answer", "1"], "one answer at a time, as the broker's receive maximum says");
    b.lose();
    b.come_up(false, vec![]);
    assert_eq!(b.sent(), ["answer", "answer"]);
    assert_eq!(b.bridge.unacknowledged_answers(), 2);
}

#[test]
fn a_broker_that_is_not_there_is_tried_again_after_growing_waits() {
    let mut b = Bench::new();
    let mut waits = Vec::new();
    for _ in 0..10 {
        b.act(|b, now, out| b.advance(now, out));
        b.act(|b, now, _| b.closed(now));
        let next = b.bridge.next_wake().unwrap();
        waits.push(next.0 - b.now.0);
        b.now = next;
    }
    assert_eq!(b.connects, 10);
    let (least, most) = BridgeSettings::default().backoff;
    assert!(waits.iter().all(|w| (least.0 / 2..=most.0).contains(w)), "{waits:?}");
    assert!(waits[9] > waits[0] * 10, "{waits:?}");
}

#[test]
fn bytes_that_are_no_mqtt_close_the_connection_and_nothing_more() {
    let mut b = Bench::new();
    b.now.0 += 1;
    b.act(|b, now, out| b.advance(now, out));
    b.act(|b, now, out| b.connected(now, out));
    b.act(|b, now, out| b.received(now, b"HTTP/1.1 400 Bad Request\r\n\r\n", out));
    assert_eq!(b.finished, 1);
    b.come_up(false, vec![]);
    assert!(b.bridge.is_connected());
}
