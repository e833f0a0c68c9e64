//! The front with clients that use the protocol library: sessions, quality of service, and rejected input.

mod bench;
mod redelivery;

use bench::*;
use mqtt_protocol_core::mqtt::packet::*;
use mqtt_protocol_core::mqtt::result_code::*;
use mqtt_protocol_core::mqtt::Version;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use slatevalve::{ClassId, Micros};
use slatevalve_engine::{Answer, Reason, Repeat, Verdict};
use slatevalve_mqtt::*;

#[test]
fn an_answer_is_published_to_the_response_topic_with_the_correlation_data() {
    let mut b = Bench::new(settings());
    b.connect(1, Version::V5_0, v5_connect("a", true, vec![]));
    let properties = vec![
        ResponseTopic::new("replies/a").unwrap().into(),
        CorrelationData::new(b"c1").unwrap().into(),
        UserProperty::new("budget-ms", "250").unwrap().into(),
    ];
    b.publish(1, v5_publish("quote/fare", Qos::AtLeastOnce, 7, properties));
    let call = &b.calls[0];
    assert_eq!((&*call.function, call.class, call.budget), ("fare", ClassId(0), Micros(250_000)));
    assert_eq!(call.repeat, Repeat::Unmarked);
    b.answer(0, &served(3));
    let received = b.take_received(1);
    assert!(matches!(&received[..2], [Packet::V5_0Connack(_), Packet::V5_0Puback(p)] if p.packet_id() == 7));
    let Packet::V5_0Publish(answer) = &received[2] else { panic!("{received:?}") };
    assert_eq!((answer.topic_name(), answer.payload().as_slice()), ("replies/a", &b"xxx"[..]));
    assert!(answer.props().iter().any(|p| matches!(p, Property::CorrelationData(d) if d.val() == b"c1")));
}

#[test]
fn a_resumed_session_receives_queued_answers_and_an_expired_one_abandons_its_calls() {
    let mut b = Bench::new(settings());
    b.connect(1, Version::V5_0, v5_connect("a", true, vec![expiry(30)]));
    b.publish(1, v5_publish("charge/card", Qos::AtLeastOnce, 1, vec![key("k")]));
    b.publish(1, v5_publish("charge/card", Qos::AtLeastOnce, 2, vec![key("l")]));
    b.disconnect(1);
    b.answer(0, &served(1));
    b.connect(2, Version::V5_0, v5_connect("a", false, vec![expiry(30)]));
    assert!(matches!(&b.received[&LinkId(2)][0], Packet::V5_0Connack(p) if p.session_present()));
    assert_eq!(b.outcomes(2), ["served"]);
    b.disconnect(2);
    b.advance_by(31);
    assert_eq!(b.disconnected, [b.calls[1].ticket]);
    b.connect(3, Version::V5_0, v5_connect("a", false, vec![]));
    assert!(matches!(&b.take_received(3)[0], Packet::V5_0Connack(p) if !p.session_present()));
}

#[test]
fn a_session_without_expiry_abandons_its_calls_when_its_connection_ends() {
    let mut b = Bench::new(settings());
    b.connect(1, Version::V5_0, v5_connect("a", true, vec![]));
    b.publish(1, v5_publish("quote/fare", Qos::AtMostOnce, 0, vec![]));
    b.disconnect(1);
    assert_eq!(b.disconnected, [b.calls[0].ticket]);
    b.answer(0, &served(1));
    assert!(b.take_received(1).iter().all(|p| !matches!(p, Packet::V5_0Publish(_))));
}

#[test]
fn an_unacknowledged_answer_is_resent_with_the_same_id_on_the_resumed_session() {
    let mut b = Bench::new(settings());
    b.acknowledge = false;
    let limit = || vec![expiry(30), ReceiveMaximum::new(1).unwrap().into()];
    b.connect(1, Version::V5_0, v5_connect("a", true, limit()));
    for n in 1..=2 {
        b.publish(1, v5_publish("quote/fare", Qos::AtLeastOnce, n, vec![]));
    }
    b.answer(0, &served(1));
    b.answer(1, &served(1));
    let sent: Vec<Option<u16>> = b
        .take_received(1)
        .iter()
        .filter_map(|p| match p {
            Packet::V5_0Publish(p) => Some(p.packet_id()),
            _ => None,
        })
        .collect();
    assert_eq!(sent.len(), 1, "the client's receive maximum permits one unacknowledged answer");
    let first = sent[0];
    b.disconnect(1);
    b.acknowledge = true;
    b.connect(2, Version::V5_0, v5_connect("a", false, limit()));
    let received = b.take_received(2);
    let answers = received.iter().filter_map(|p| match p {
        Packet::V5_0Publish(p) => Some((p.dup(), p.packet_id())),
        _ => None,
    });
    let mut answers: Vec<(bool, Option<u16>)> = answers.collect();
    answers.sort_unstable();
    assert!(matches!(answers[..], [(false, _), (true, id)] if id == first), "{answers:?}");
    // The retransmission left the count of unacknowledged answers correct: further answers are sent.
    b.publish(2, v5_publish("quote/fare", Qos::AtLeastOnce, 9, vec![]));
    b.answer(2, &served(1));
    assert_eq!(b.outcomes(2), ["served"]);
}

#[test]
fn a_second_connection_of_a_client_takes_over_its_session_and_receives_the_answer() {
    let mut b = Bench::new(settings());
    b.connect(1, Version::V5_0, v5_connect("a", true, vec![expiry(30)]));
    b.publish(1, v5_publish("quote/fare", Qos::AtLeastOnce, 1, vec![]));
    b.connect(2, Version::V5_0, v5_connect("a", false, vec![expiry(30)]));
    assert_eq!(b.closed, [LinkId(1)]);
    let received = b.take_received(1);
    let code = received.iter().find_map(|p| match p {
        Packet::V5_0Disconnect(p) => p.reason_code(),
        _ => None,
    });
    assert_eq!(code, Some(DisconnectReasonCode::SessionTakenOver));
    b.answer(0, &served(1));
    assert_eq!((b.outcomes(1).len(), b.outcomes(2)), (0, vec!["served".to_string()]));
}

/// The client id that a client was assigned by the CONNACK, the first packet that it received.
fn assigned_id(b: &mut Bench, link: u64) -> Option<String> {
    let received = b.take_received(link);
    let Some(Packet::V5_0Connack(connack)) = received.first() else { panic!("{received:?}") };
    connack.props().iter().find_map(|property| match property {
        Property::AssignedClientIdentifier(id) => Some(id.val().to_string()),
        _ => None,
    })
}

/// Guards against a session, with its answers, that is handed to another client: ids differ between processes
/// and from those of all sessions (review/3).
#[test]
fn assigned_client_ids_differ_between_processes_and_from_those_of_sessions() {
    let front = |instance: &str| Bench::new(FrontSettings { instance: instance.into(), ..settings() });
    let (mut earlier, mut b) = (front("a"), front("b"));
    earlier.connect(1, Version::V5_0, v5_connect("", true, vec![expiry(30)]));
    let taken = assigned_id(&mut earlier, 1).unwrap();
    b.connect(1, Version::V5_0, v5_connect(&taken, false, vec![expiry(30)]));
    // The id that would be assigned next is in use.
    b.connect(2, Version::V5_0, v5_connect("slatevalve-b-1", false, vec![expiry(30)]));
    b.connect(3, Version::V5_0, v5_connect("", false, vec![expiry(30)]));
    let assigned = assigned_id(&mut b, 3).unwrap();
    assert!(![taken.as_str(), "slatevalve-b-1"].contains(&assigned.as_str()), "{assigned}");
    assert!(b.closed.is_empty(), "no session was taken over");
}

#[test]
fn keys_from_correlation_data_are_scoped_to_the_client_and_explicit_keys_are_global() {
    let mut b = Bench::new(settings());
    b.connect(1, Version::V5_0, v5_connect("a", true, vec![]));
    b.connect(2, Version::V5_0, v5_connect("b", true, vec![]));
    for link in [1, 2] {
        let correlation = vec![CorrelationData::new(b"1").unwrap().into()];
        b.publish(link, v5_publish("charge/card", Qos::AtLeastOnce, 1, correlation));
        b.publish(link, v5_publish("charge/card", Qos::AtLeastOnce, 2, vec![key("k")]));
    }
    assert_ne!(b.calls[0].key, b.calls[2].key);
    assert_eq!(b.calls[1].key, b.calls[3].key);
}

#[test]
fn rejected_publishes_are_acknowledged_with_their_reason_codes() {
    let mut b = Bench::new(settings());
    b.connect(1, Version::V5_0, v5_connect("a", true, vec![]));
    let invalid_budget = vec![UserProperty::new("budget-ms", "soon").unwrap().into()];
    b.publish(1, v5_publish("nowhere/x", Qos::AtLeastOnce, 1, vec![]));
    b.publish(1, v5_publish("quote/fare", Qos::AtLeastOnce, 2, invalid_budget));
    b.publish(1, v5_publish("nowhere/x", Qos::ExactlyOnce, 3, vec![]));
    for n in 4..=8 {
        b.publish(1, v5_publish("quote/fare", Qos::AtLeastOnce, n, vec![]));
    }
    let codes: Vec<u8> = b
        .take_received(1)
        .iter()
        .filter_map(|p| match p {
            Packet::V5_0Puback(p) => Some(p.reason_code().map_or(0, |c| c as u8)),
            Packet::V5_0Pubrec(p) => Some(p.reason_code().map_or(0, |c| c as u8)),
            _ => None,
        })
        .collect();
    assert_eq!(codes, [0x90, 0x83, 0x90, 0, 0, 0, 0, 0x97]);
    assert_eq!((b.calls.len(), b.closed.len()), (4, 0));
}

#[test]
fn a_wildcard_in_the_response_topic_is_rejected_and_a_retained_publish_closes_the_connection() {
    let mut b = Bench::new(settings());
    b.connect(1, Version::V5_0, v5_connect("a", true, vec![]));
    // The library does not encode such a packet, so the test modifies the bytes of a valid one.
    let valid =
        v5_publish("quote/fare", Qos::AtLeastOnce, 1, vec![ResponseTopic::new("replies/a").unwrap().into()]);
    let mut bytes = valid.to_continuous_buffer();
    let at = bytes.windows(9).position(|w| w == b"replies/a").unwrap();
    bytes[at + 8] = b'#';
    b.send_bytes(1, &bytes);
    assert!(b.calls.is_empty());
    b.connect(2, Version::V5_0, v5_connect("b", true, vec![]));
    let retained = v5_0::Publish::builder().topic_name("quote/x").unwrap().retain(true).build().unwrap();
    b.send_bytes(2, &retained.to_continuous_buffer());
    assert!(b.calls.is_empty() && b.closed.contains(&LinkId(2)));
}

#[test]
fn an_answer_beyond_the_clients_maximum_packet_size_is_sent_without_the_result() {
    let mut b = Bench::new(settings());
    b.connect(1, Version::V5_0, v5_connect("a", true, vec![MaximumPacketSize::new(200).unwrap().into()]));
    b.publish(1, v5_publish("quote/fare", Qos::AtLeastOnce, 1, vec![]));
    b.answer(0, &served(500));
    assert_eq!(b.outcomes(1), ["served"]);
}

#[test]
fn topic_aliases_are_resolved() {
    let mut b = Bench::new(settings());
    b.connect(1, Version::V5_0, v5_connect("a", true, vec![]));
    let alias = || -> Property { TopicAlias::new(3).unwrap().into() };
    b.publish(1, v5_publish("quote/fare", Qos::AtMostOnce, 0, vec![alias()]));
    let again = v5_0::Publish::builder().props(vec![alias()]).payload("p").build().unwrap();
    b.publish(1, again);
    assert_eq!(b.calls.iter().map(|c| &*c.function).collect::<Vec<_>>(), ["fare", "fare"]);
}

#[test]
fn version_3_1_1_receives_answers_on_a_topic_generated_from_client_id_and_outcome() {
    let mut b = Bench::new(settings());
    let connect =
        v3_1_1::Connect::builder().client_id("old/app").unwrap().clean_session(true).build().unwrap();
    b.connect(1, Version::V3_1_1, connect.into());
    let publish = |topic: &str, id: u16| -> Packet {
        let builder = v3_1_1::Publish::builder().topic_name(topic).unwrap().qos(Qos::AtLeastOnce);
        builder.packet_id(id).payload("p").build().unwrap().into()
    };
    for (topic, id) in [("old/card/ride-1", 4), ("nowhere", 5)] {
        b.clients.get_mut(&LinkId(1)).unwrap().register_packet_id(id).unwrap();
        b.send(1, publish(topic, id));
    }
    assert_eq!(b.calls[0].key.as_deref(), Some(&b"k:ride-1"[..]));
    let refused =
        Answer { verdict: Verdict::Refused(Reason::NoCapacity), attempts: 0, recorded: false, version: None };
    b.answer(0, &refused);
    let topics: Vec<String> = b
        .take_received(1)
        .iter()
        .filter_map(|p| match p {
            Packet::V3_1_1Publish(p) => Some(p.topic_name().to_string()),
            _ => None,
        })
        .collect();
    assert_eq!(topics, ["slatevalve/reply/old%2Fapp/refused/5", "slatevalve/reply/old%2Fapp/refused/4"]);
}

#[test]
fn silent_connections_are_closed_before_and_after_connect() {
    let mut b = Bench::new(settings());
    b.front.opened(b.now, LinkId(1));
    let keep_alive = v5_0::Connect::builder().client_id("a").unwrap().keep_alive(10).build().unwrap();
    b.connect(2, Version::V5_0, keep_alive.into());
    b.advance_by(6);
    assert_eq!(b.closed, [LinkId(1)]);
    b.advance_by(10);
    assert_eq!(b.closed, [LinkId(1), LinkId(2)]);
}

#[test]
fn subscriptions_to_exact_topics_are_granted_and_wildcards_are_not() {
    let mut b = Bench::new(settings());
    b.connect(1, Version::V5_0, v5_connect("a", true, vec![]));
    b.clients.get_mut(&LinkId(1)).unwrap().register_packet_id(1).unwrap();
    let entry = |f: &str| SubEntry::new(f, SubOpts::new()).unwrap();
    let entries = vec![entry("replies/a"), entry("replies/#"), entry("$share/g/x")];
    b.send(1, v5_0::Subscribe::builder().packet_id(1).entries(entries).build().unwrap().into());
    let codes = b.take_received(1).into_iter().find_map(|p| match p {
        Packet::V5_0Suback(p) => Some(p.reason_codes()),
        _ => None,
    });
    let codes: Vec<u8> = codes.unwrap().into_iter().map(|c| c as u8).collect();
    assert_eq!(codes, [0x00, 0xa2, 0x9e]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Arbitrary bytes from one client do not affect the calls of another.
    #[test]
    fn bytes_from_one_client_do_not_affect_another(
        start in 0usize..4,
        pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..60), 1..8),
        flips in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4),
    ) {
        let mut b = Bench::new(settings());
        b.connect(1, Version::V5_0, v5_connect("good", true, vec![]));
        let mut bytes: Vec<u8> = match start {
            0 => Vec::new(),
            1 => v5_connect("bad", true, vec![expiry(5)]).to_continuous_buffer(),
            2 => v3_1_1::Connect::builder().client_id("bad").unwrap().build().unwrap().to_continuous_buffer(),
            _ => {
                let publish = v5_publish("quote/fare", Qos::ExactlyOnce, 3, vec![key("k")]);
                [v5_connect("bad", true, vec![]).to_continuous_buffer(), publish.to_continuous_buffer()].concat()
            }
        };
        for (at, value) in flips {
            if !bytes.is_empty() {
                let at = at.index(bytes.len());
                bytes[at] = value;
            }
        }
        b.front.opened(b.now, LinkId(2));
        b.send_bytes(2, &bytes);
        for piece in pieces {
            b.send_bytes(2, &piece);
        }
        prop_assert!(!b.closed.contains(&LinkId(1)));
        let before = b.calls.len();
        b.publish(1, v5_publish("quote/fare", Qos::AtLeastOnce, 1, vec![]));
        prop_assert_eq!(b.calls.len(), before + 1);
        b.answer(before, &served(1));
        prop_assert_eq!(b.outcomes(1), vec!["served".to_string()]);
    }
}
