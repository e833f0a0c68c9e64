//! The bridge with a broker that uses the server side of the protocol library.

use mqtt_protocol_core::mqtt::common::Cursor;
use mqtt_protocol_core::mqtt::connection::{Connection, Event};
use mqtt_protocol_core::mqtt::packet::*;
use mqtt_protocol_core::mqtt::result_code::*;
use mqtt_protocol_core::mqtt::{role, Version};
use slatevalve::{ClassId, Micros};
use slatevalve_engine::{Answer, Call, Repeat, Verdict};
use slatevalve_mqtt::*;

struct Bench {
    bridge: Bridge,
    now: Micros,
    broker: Connection<role::Server>,
    received: Vec<Packet>,
    /// In order: the packet id of each publish that the bridge acknowledged, and `answer` for each answer.
    sent: Vec<String>,
    calls: Vec<Call>,
    connects: usize,
    finished: usize,
    /// Whether the bridge's packets are lost instead of reaching the broker.
    is_link_down: bool,
    /// Whether the broker acknowledges answers.
    broker_acknowledges: bool,
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
        let (received, sent, calls) = (Vec::new(), Vec::new(), Vec::new());
        let broker = Connection::new(Version::V5_0);
        let bridge = Bridge::new(settings);
        Bench {
            bridge,
            now: Micros(1_000_000),
            broker,
            received,
            sent,
            calls,
            connects: 0,
            finished: 0,
            is_link_down: false,
            broker_acknowledges: false,
        }
    }

    fn drive(&mut self, action: impl FnOnce(&mut Bridge, Micros, &mut Vec<BridgeOutput>)) {
        let mut out = Vec::new();
        action(&mut self.bridge, self.now, &mut out);
        for output in out {
            match output {
                BridgeOutput::Connect => self.connects += 1,
                BridgeOutput::Finish => self.finished += 1,
                BridgeOutput::Call(call) => self.calls.push(*call),
                // Acknowledgements are not passed to the broker's library, which did not send the publishes.
                BridgeOutput::Write(bytes) if bytes[0] == 0x40 => {
                    self.sent.push(u16::from_be_bytes([bytes[2], bytes[3]]).to_string());
                }
                BridgeOutput::Write(bytes) if !self.is_link_down => {
                    if bytes[0] >> 4 == 3 {
                        self.sent.push("answer".into());
                    }
                    let mut cursor = Cursor::new(bytes.as_slice());
                    while (cursor.position() as usize) < bytes.len() {
                        let events = self.broker.recv(&mut cursor);
                        self.execute_broker_events(events);
                    }
                }
                BridgeOutput::Write(_) => {}
            }
        }
    }

    fn execute_broker_events(&mut self, events: Vec<Event>) {
        for event in events {
            match event {
                Event::NotifyPacketReceived(packet) => self.received.push(packet),
                Event::RequestSendPacket { packet, .. } => {
                    let bytes = packet.to_continuous_buffer();
                    self.drive(|b, now, out| b.received(now, &bytes, out));
                }
                _ => {}
            }
        }
    }

    fn broker_send(&mut self, packet: Packet) {
        let events = self.broker.send(packet);
        self.execute_broker_events(events);
    }

    /// Connects to the broker, which resumes the session if `resumed` is set.
    fn connect(&mut self, resumed: bool, properties: Vec<Property>) {
        self.now.0 += 20_000_000;
        self.is_link_down = false;
        self.drive(|b, now, out| b.advance(now, out));
        self.broker = Connection::new(Version::V5_0);
        self.broker.set_auto_pub_response(self.broker_acknowledges);
        self.drive(|b, now, out| b.connected(now, out));
        let connack =
            v5_0::Connack::builder().reason_code(ConnectReasonCode::Success).session_present(resumed);
        self.broker_send(connack.props(properties).build().unwrap().into());
        let subscribe = self.received.iter().rev().find_map(|p| match p {
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

    /// Delivers a publish from the broker, without its library so that the test sets packet id and DUP flag.
    fn deliver(&mut self, id: u16, key: &str, dup: bool) {
        self.deliver_to("charge/card", id, key, dup);
    }

    fn deliver_to(&mut self, topic: &str, id: u16, key: &str, dup: bool) {
        let properties = vec![
            ResponseTopic::new("replies/app").unwrap().into(),
            UserProperty::new("key", key).unwrap().into(),
        ];
        self.deliver_with(topic, id, properties, dup);
    }

    /// Delivers a call without a key, with a message expiry in seconds.
    fn deliver_expiring(&mut self, id: u16, expiry_s: u32, dup: bool) {
        let properties = vec![
            MessageExpiryInterval::new(expiry_s).unwrap().into(),
            ResponseTopic::new("replies/app").unwrap().into(),
        ];
        self.deliver_with("charge/card", id, properties, dup);
    }

    fn deliver_with(&mut self, topic: &str, id: u16, properties: Vec<Property>, dup: bool) {
        let builder = v5_0::Publish::builder().topic_name(topic).unwrap().qos(Qos::AtLeastOnce);
        let publish = builder.packet_id(id).dup(dup).props(properties).payload("p").build().unwrap();
        let bytes = publish.to_continuous_buffer();
        self.drive(|b, now, out| b.received(now, &bytes, out));
    }

    fn answer(&mut self, call: usize) {
        let verdict = Verdict::Served { payload: b"ok".as_slice().into(), ran: None };
        let (ticket, answer) =
            (self.calls[call].ticket, Answer { verdict, attempts: 1, recorded: false, version: None });
        self.drive(|b, now, out| b.answer(now, ticket, &answer, out));
    }

    /// Outcomes of the answers that the broker received since the last call.
    fn take_outcomes(&mut self) -> Vec<String> {
        let outcome = |p: &v5_0::Publish| {
            p.props().iter().find_map(|property| match property {
                Property::UserProperty(p) if p.key() == "outcome" => Some(p.val().to_string()),
                _ => None,
            })
        };
        let received = std::mem::take(&mut self.received);
        let publishes = received.iter().filter_map(|packet| match packet {
            Packet::V5_0Publish(publish) => Some(publish),
            _ => None,
        });
        publishes.filter_map(outcome).collect()
    }

    fn lose_connection(&mut self) {
        self.is_link_down = true;
        self.drive(|b, now, _| b.closed(now));
    }

    /// Acknowledgements and answers that the bridge sent since the last call.
    fn take_sent(&mut self) -> Vec<String> {
        std::mem::take(&mut self.sent)
    }
}

#[test]
fn publishes_are_acknowledged_in_order_and_after_their_answers() {
    let mut b = Bench::new();
    b.connect(false, vec![]);
    let filters = b.received.iter().find_map(|p| match p {
        Packet::V5_0Subscribe(p) => Some(p.entries()[0].topic_filter().to_string()),
        _ => None,
    });
    assert_eq!(filters.as_deref(), Some("$share/g/charge/+"));
    b.deliver(1, "a", false);
    b.deliver(2, "b", false);
    b.answer(1);
    assert_eq!(b.take_sent(), ["answer"], "the first publish is not answered yet");
    b.answer(0);
    assert_eq!(b.take_sent(), ["answer", "1", "2"]);
}

#[test]
fn a_redelivery_on_a_resumed_session_starts_no_call_and_is_answered_once() {
    let mut b = Bench::new();
    b.connect(false, vec![]);
    b.deliver(1, "a", false);
    b.lose_connection();
    b.answer(0);
    b.connect(true, vec![]);
    assert_eq!(b.take_sent(), ["answer"]);
    b.deliver(1, "a", true);
    assert_eq!((b.calls.len(), b.take_sent()), (1, vec!["1".to_string()]));
    // The acknowledgement is lost as well: the publish is acknowledged again but not answered again.
    b.lose_connection();
    b.connect(true, vec![]);
    b.take_sent();
    b.deliver(1, "a", true);
    assert_eq!((b.calls.len(), b.take_sent()), (1, vec!["1".to_string()]));
    // The packet id is reused for another message, which is a new call.
    b.deliver(1, "b", true);
    assert_eq!(b.calls.len(), 2);
}

/// Guards against a call that runs and is answered a second time because the broker counted its message expiry
/// down before it delivered the publish again (review/10).
#[test]
fn a_redelivery_with_less_message_expiry_starts_no_call_and_is_answered_once() {
    for answered_before in [false, true] {
        let mut b = Bench::new();
        b.connect(false, vec![]);
        b.deliver_expiring(1, 60, false);
        b.deliver_expiring(2, 60, false);
        b.lose_connection();
        if answered_before {
            b.answer(0);
        }
        b.connect(true, vec![]);
        // In another order than at first.
        for (id, expiry_s) in [(2, 39), (1, 40)] {
            b.deliver_expiring(id, expiry_s, true);
        }
        b.lose_connection();
        b.connect(true, vec![]);
        for (id, expiry_s) in [(1, 19), (2, 19)] {
            b.deliver_expiring(id, expiry_s, true);
        }
        assert_eq!(b.calls.len(), 2, "answered before: {answered_before}");
        b.take_sent();
        if !answered_before {
            b.answer(0);
        }
        b.answer(1);
        let answers = b.take_sent().iter().filter(|sent| *sent == "answer").count();
        assert_eq!(answers, if answered_before { 1 } else { 2 });
        assert_eq!(b.calls.len(), 2, "answered before: {answered_before}");
    }
}

/// Guards against the same after the acknowledgement was sent and lost.
#[test]
fn a_redelivery_with_less_message_expiry_after_a_lost_acknowledgement_is_acknowledged_again() {
    let mut b = Bench::new();
    b.connect(false, vec![]);
    b.deliver_expiring(1, 60, false);
    b.answer(0);
    b.lose_connection();
    b.connect(true, vec![]);
    b.take_sent();
    b.deliver_expiring(1, 40, true);
    assert_eq!((b.calls.len(), b.take_sent()), (1, vec!["1".to_string()]));
    // A message that did not wait for the 20 s is another one.
    b.lose_connection();
    b.connect(true, vec![]);
    b.deliver_expiring(1, 55, true);
    assert_eq!(b.calls.len(), 2);
}

/// Guards against a second run for a broker that goes back to an earlier state of the session: it has
/// acknowledged later answers and still delivers a publish again.
#[test]
fn a_redelivery_by_a_broker_that_lost_acknowledgements_starts_no_call() {
    let mut b = Bench::new();
    b.broker_acknowledges = true;
    b.connect(false, vec![]);
    b.deliver_expiring(1, 60, false);
    b.deliver_expiring(2, 60, false);
    b.answer(0);
    b.answer(1);
    assert_eq!(b.bridge.unacknowledged_answers(), 0);
    b.lose_connection();
    b.connect(true, vec![]);
    b.take_sent();
    b.deliver_expiring(1, 39, true);
    b.deliver_expiring(2, 39, true);
    assert_eq!((b.calls.len(), b.take_sent()), (2, vec!["1".to_string(), "2".to_string()]));
}

#[test]
fn unacknowledged_answers_of_a_lost_session_are_published_again() {
    let mut b = Bench::new();
    b.connect(false, vec![ReceiveMaximum::new(1).unwrap().into()]);
    b.deliver(1, "a", false);
    b.deliver(2, "b", false);
    b.answer(0);
    b.answer(1);
    assert_eq!(
        b.take_sent(),
        ["answer", "1"],
        "the broker's receive maximum permits one unacknowledged answer"
    );
    b.lose_connection();
    b.connect(false, vec![]);
    assert_eq!(b.take_sent(), ["answer", "answer"]);
    assert_eq!(b.bridge.unacknowledged_answers(), 2);
}

#[test]
fn an_unreachable_broker_is_retried_with_growing_backoff() {
    let mut b = Bench::new();
    let mut backoffs = Vec::new();
    for _ in 0..10 {
        b.drive(|b, now, out| b.advance(now, out));
        b.drive(|b, now, _| b.closed(now));
        let next = b.bridge.next_wake().unwrap();
        backoffs.push(next.0 - b.now.0);
        b.now = next;
    }
    assert_eq!(b.connects, 10);
    let (min, max) = BridgeSettings::default().backoff;
    assert!(backoffs.iter().all(|w| (min.0 / 2..=max.0).contains(w)), "{backoffs:?}");
    assert!(backoffs[9] > backoffs[0] * 10, "{backoffs:?}");
}

#[test]
fn non_mqtt_bytes_from_the_broker_close_only_the_connection() {
    let mut b = Bench::new();
    b.now.0 += 1;
    b.drive(|b, now, out| b.advance(now, out));
    b.drive(|b, now, out| b.connected(now, out));
    b.drive(|b, now, out| b.received(now, b"HTTP/1.1 400 Bad Request\r\n\r\n", out));
    assert_eq!(b.finished, 1);
    b.connect(false, vec![]);
    assert!(b.bridge.is_connected());
}

/// Guards against a charge that runs twice after a restart: the connection to the broker is cut before all
/// publishes that an earlier process received were redelivered.
#[test]
fn redeliveries_of_a_session_from_an_earlier_process_are_covered_once_a_new_publish_arrived() {
    let mut b = Bench::new();
    b.connect(true, vec![]);
    b.deliver(1, "a", true);
    b.lose_connection();
    b.connect(true, vec![]);
    b.deliver(2, "b", true);
    assert_eq!(b.calls[1].repeat, Repeat::Marked { covered_since: None }, "it was not redelivered before");
    b.deliver(3, "c", false);
    assert_eq!(b.calls[2].repeat, Repeat::Unmarked);
    let covered_since = Some(b.now);
    b.lose_connection();
    b.connect(true, vec![]);
    b.deliver(4, "d", true);
    assert_eq!(b.calls[3].repeat, Repeat::Marked { covered_since });
}

/// Guards against a refusal of a redelivered publish that an earlier process, with other routes, accepted.
#[test]
fn a_redelivery_without_a_route_is_failed_and_a_new_publish_is_refused() {
    let mut b = Bench::new();
    b.connect(true, vec![]);
    b.deliver_to("no/route", 1, "a", true);
    assert_eq!(b.take_outcomes(), ["failed"]);
    b.deliver_to("no/route", 2, "b", false);
    assert_eq!(b.take_outcomes(), ["refused"]);
}
