//! The cases of the two tables in the module documentation.

use super::AcceptedPublishes;
use crate::publish::InboundPublish;
use mqtt_protocol_core::mqtt::packet::{
    ContentType, CorrelationData, MessageExpiryInterval, Property, Qos, ResponseTopic,
    SubscriptionIdentifier, TopicAlias, UserProperty,
};
use slatevalve::Micros;

const RECEIVE_MAXIMUM: u16 = 16;
/// When the first delivery arrives.
const RECEIVED_AT: Micros = Micros(100_000_000);
/// When the connection of the second delivery is made.
const CONNECTED_AT: Micros = Micros(105_000_000);

fn user(name: &str, value: &str) -> Property {
    UserProperty::new(name, value).unwrap().into()
}

fn expiry(seconds: u32) -> Property {
    MessageExpiryInterval::new(seconds).unwrap().into()
}

fn correlation(data: &str) -> Property {
    CorrelationData::new(data.as_bytes().to_vec()).unwrap().into()
}

fn reply_to(topic: &str) -> Property {
    ResponseTopic::new(topic).unwrap().into()
}

fn publish(dup: bool, properties: Vec<Property>) -> InboundPublish {
    InboundPublish {
        topic: "charge/card".into(),
        qos: Qos::AtLeastOnce,
        dup,
        retain: false,
        packet_id: Some(7),
        payload: b"p".as_slice().into(),
        properties,
    }
}

/// How far the first delivery of a message got before the connection ended.
#[derive(Clone, Copy, Debug, PartialEq)]
enum First {
    Accepted,
    Acknowledged,
}

/// Whether `second` is the same message as `first`, on another connection.
fn is_same(state: First, first: &InboundPublish, second: &InboundPublish) -> bool {
    let mut accepted = AcceptedPublishes::new(RECEIVE_MAXIMUM);
    accepted.connected(RECEIVED_AT);
    assert!(!accepted.receive(first));
    accepted.accept(RECEIVED_AT, first);
    if state == First::Acknowledged {
        accepted.acknowledge(7);
    }
    accepted.connected(CONNECTED_AT);
    accepted.receive(second)
}

#[test]
fn a_message_is_identified_by_all_that_its_deliveries_have_in_common() {
    let properties = || vec![reply_to("r"), correlation("1"), user("key", "k"), user("a", "b")];
    let with = |property: Property| [properties(), vec![property]].concat();
    let first = publish(false, properties());
    let same = [
        properties(),
        vec![user("key", "k"), correlation("1"), user("a", "b"), reply_to("r")],
        with(TopicAlias::new(3).unwrap().into()),
        with(SubscriptionIdentifier::new(9).unwrap().into()),
    ];
    let other = [
        vec![reply_to("r"), correlation("2"), user("key", "k"), user("a", "b")],
        vec![reply_to("s"), correlation("1"), user("key", "k"), user("a", "b")],
        vec![reply_to("r"), correlation("1"), user("a", "b"), user("key", "k")],
        vec![reply_to("r"), correlation("1"), user("key", "k")],
        with(user("repeat", "true")),
        with(ContentType::new("text").unwrap().into()),
    ];
    for state in [First::Accepted, First::Acknowledged] {
        for properties in &same {
            let second = publish(true, properties.clone());
            assert!(is_same(state, &first, &second), "{state:?} {properties:?}");
        }
        for properties in &other {
            let second = publish(true, properties.clone());
            assert!(!is_same(state, &first, &second), "{state:?} {properties:?}");
        }
        let second = publish(true, properties());
        assert!(!is_same(state, &first, &InboundPublish { dup: false, ..second.clone() }));
        assert!(!is_same(state, &first, &InboundPublish { topic: "charge/cash".into(), ..second.clone() }));
        assert!(!is_same(state, &first, &InboundPublish { qos: Qos::ExactlyOnce, ..second.clone() }));
        assert!(!is_same(
            state,
            &first,
            &InboundPublish { payload: b"q".as_slice().into(), ..second.clone() }
        ));
        assert!(!is_same(state, &first, &InboundPublish { packet_id: Some(8), ..second }));
    }
}

#[test]
fn the_message_expiry_only_becomes_less_by_the_time_between_two_deliveries() {
    // Message expiries of both deliveries, 5 s apart, and whether they can be one message once the first one is
    // acknowledged.
    let cases = [
        (Some(60), Some(60), true),
        (Some(60), Some(56), true),
        (Some(60), Some(55), true),
        (Some(60), Some(54), true),
        (Some(60), Some(1), true),
        (Some(60), Some(57), false),
        (Some(60), Some(61), false),
        (Some(60), None, false),
        (None, Some(60), false),
        (None, None, true),
        // A broker that does not send 0.
        (Some(3), Some(1), true),
        (Some(3), Some(2), false),
    ];
    for (first, second, expected) in cases {
        let delivery = |dup, seconds: Option<u32>| publish(dup, seconds.map(expiry).into_iter().collect());
        let (first, second) = (delivery(false, first), delivery(true, second));
        assert_eq!(is_same(First::Acknowledged, &first, &second), expected, "{first:?} {second:?}");
        assert!(is_same(First::Accepted, &first, &second), "the packet id is in use: {first:?} {second:?}");
    }
}

#[test]
fn a_message_can_be_delivered_again_until_the_peer_has_its_acknowledgement() {
    type Step = fn(&mut AcceptedPublishes);
    // What happens after the acknowledgement, and whether the publish can be delivered again after it.
    let cases: [(&str, Step, bool); 6] = [
        ("nothing", |_| {}, true),
        ("an answer from before", |a| a.answer_received(1), true),
        ("an answer that is not received", |a| a.answer_sent(2), true),
        (
            "an answer from after",
            |a| {
                a.answer_sent(2);
                a.answer_received(2);
            },
            false,
        ),
        (
            "an answer that is received on a later connection",
            |a| {
                a.answer_sent(2);
                a.connected(CONNECTED_AT);
                a.answer_received(2);
            },
            true,
        ),
        (
            "another message under the packet id",
            |a| assert!(!a.receive(&publish(false, vec![correlation("other")]))),
            false,
        ),
    ];
    for (name, step, expected) in cases {
        let mut accepted = AcceptedPublishes::new(RECEIVE_MAXIMUM);
        accepted.connected(RECEIVED_AT);
        accepted.accept(RECEIVED_AT, &publish(false, vec![]));
        accepted.answer_sent(1);
        accepted.acknowledge(7);
        step(&mut accepted);
        accepted.connected(CONNECTED_AT);
        assert_eq!(accepted.receive(&publish(true, vec![])), expected, "{name}");
    }
}

#[test]
fn the_record_holds_the_latest_publishes_that_may_be_delivered_again() {
    let mut accepted = AcceptedPublishes::new(RECEIVE_MAXIMUM);
    let with_id = |id, dup| InboundPublish { packet_id: Some(id), ..publish(dup, vec![]) };
    for id in 1..=u16::MAX {
        accepted.accept(RECEIVED_AT, &with_id(id, false));
        accepted.acknowledge(id);
    }
    accepted.connected(CONNECTED_AT);
    assert!(accepted.by_packet_id.len() <= super::MIN_LIMIT);
    assert!(accepted.receive(&with_id(u16::MAX, true)));
    assert!(accepted.receive(&with_id(u16::MAX - 4_000, true)));
    assert!(!accepted.receive(&with_id(1, true)));
}
