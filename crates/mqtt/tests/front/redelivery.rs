//! Publishes that clients send again, with the DUP flag or marked by themselves.

use crate::bench::*;
use mqtt_protocol_core::mqtt::packet::*;
use mqtt_protocol_core::mqtt::result_code::*;
use mqtt_protocol_core::mqtt::Version;
use slatevalve_engine::Repeat;
use slatevalve_mqtt::*;

/// Guards against a redelivery that counts as never accepted although an earlier process may have run it: the
/// client may not know that its session is a new one, as the CONNACK may have been lost.
#[test]
fn a_redelivery_is_covered_only_once_the_client_has_sent_a_new_publish_in_the_session() {
    for has_sent_new in [false, true] {
        let mut b = Bench::new(settings());
        b.connect(1, Version::V5_0, v5_connect("a", false, vec![expiry(30)]));
        let opened = b.now;
        b.publish(1, v5_publish("charge/card", Qos::AtLeastOnce, 1, vec![key("k")]).set_dup(true));
        assert_eq!(b.calls[0].repeat, Repeat::Marked { covered_since: None });
        if has_sent_new {
            b.publish(1, v5_publish("charge/card", Qos::AtLeastOnce, 2, vec![key("l")]));
        }
        b.disconnect(1);
        b.advance_by(5);
        b.connect(2, Version::V5_0, v5_connect("a", false, vec![expiry(30)]));
        b.publish(2, v5_publish("charge/card", Qos::AtLeastOnce, 3, vec![key("m")]).set_dup(true));
        let redelivered = b.calls.last().unwrap();
        let covered_since = has_sent_new.then_some(opened);
        assert_eq!(redelivered.repeat, Repeat::Marked { covered_since }, "{has_sent_new}");
        assert_eq!(b.calls[0].client, redelivered.client);
    }
}

/// Guards against a repeat by the client itself that counts as never accepted: what it repeats, it may have
/// sent to an earlier process.
#[test]
fn a_repeat_that_the_client_marks_is_never_covered() {
    let mut b = Bench::new(settings());
    b.connect(1, Version::V5_0, v5_connect("a", false, vec![expiry(30)]));
    b.publish(1, v5_publish("charge/card", Qos::AtLeastOnce, 1, vec![key("k")]));
    b.disconnect(1);
    b.connect(2, Version::V5_0, v5_connect("a", false, vec![expiry(30)]));
    let mark = UserProperty::new("repeat", "true").unwrap().into();
    b.publish(2, v5_publish("charge/card", Qos::AtLeastOnce, 2, vec![key("l"), mark]).set_dup(true));
    assert_eq!(b.calls[1].repeat, Repeat::Marked { covered_since: None });
}

/// Guards against refusals and reason codes for a redelivery that an earlier process, with other routes or
/// other open calls, may have accepted.
#[test]
fn a_redelivery_that_makes_no_call_is_never_refused() {
    for qos in [Qos::AtLeastOnce, Qos::ExactlyOnce] {
        let mut b = Bench::new(settings());
        b.connect(1, Version::V5_0, v5_connect("a", false, vec![expiry(30)]));
        b.publish(1, v5_publish("no/route", qos, 1, vec![]).set_dup(true));
        let received = b.take_received(1);
        let is_accepted = |packet: &Packet| match packet {
            Packet::V5_0Puback(p) => p.reason_code().is_none_or(|code| code.is_success()),
            Packet::V5_0Pubrec(p) => p.reason_code().is_none_or(|code| code.is_success()),
            _ => false,
        };
        assert!(received.iter().any(is_accepted), "{received:?}");
        b.received.insert(LinkId(1), received);
        assert_eq!(b.outcomes(1), ["failed"]);
        // Up to the quota, further publishes have calls; beyond it, a redelivery gets no reason code.
        for id in 2..=5 {
            b.publish(1, v5_publish("quote/fare", qos, id, vec![]));
        }
        b.take_received(1);
        b.publish(1, v5_publish("charge/card", qos, 6, vec![key("k")]).set_dup(true));
        let received = b.take_received(1);
        assert!(
            matches!(&received[..], [Packet::V5_0Disconnect(p)] if p.reason_code() == Some(DisconnectReasonCode::QuotaExceeded)),
            "{received:?}"
        );
    }
}

#[test]
fn a_publish_without_a_key_that_is_resent_on_a_resumed_session_starts_no_second_call() {
    let mut b = Bench::new(settings());
    b.connect(1, Version::V5_0, v5_connect("a", false, vec![expiry(30)]));
    b.publish(1, v5_publish("quote/fare", Qos::AtLeastOnce, 1, vec![]));
    b.disconnect(1);
    b.connect(2, Version::V5_0, v5_connect("a", false, vec![expiry(30)]));
    b.publish(2, v5_publish("quote/fare", Qos::AtLeastOnce, 1, vec![]).set_dup(true));
    assert_eq!(b.calls.len(), 1);
    b.answer(0, &served(1));
    assert_eq!(b.outcomes(2), ["served"]);
    // The id is reused for another message, whose first transmission was lost: that is a new call.
    b.publish(2, v5_publish("quote/trip", Qos::AtLeastOnce, 1, vec![]).set_dup(true));
    assert_eq!(b.calls.len(), 2);
}

/// Guards against a call that runs twice because its second transmission names its topic by another alias or
/// states its properties in another order.
#[test]
fn a_publish_that_is_resent_in_another_form_starts_no_second_call() {
    let alias = |alias: u16| -> Property { TopicAlias::new(alias).unwrap().into() };
    let mark = || -> Property { ContentType::new("text").unwrap().into() };
    let less: Property = MessageExpiryInterval::new(8).unwrap().into();
    let more: Property = MessageExpiryInterval::new(10).unwrap().into();
    let forms = [
        (vec![alias(3), mark()], vec![mark()]),
        (vec![mark()], vec![alias(3), mark()]),
        (vec![alias(3)], vec![alias(4)]),
        (vec![key("k"), mark()], vec![mark(), key("k")]),
        (vec![more], vec![less]),
    ];
    for (first, second) in forms {
        let mut b = Bench::new(settings());
        b.connect(1, Version::V5_0, v5_connect("a", false, vec![expiry(30)]));
        b.publish(1, v5_publish("quote/fare", Qos::AtLeastOnce, 1, first));
        b.disconnect(1);
        b.advance_by(2);
        b.connect(2, Version::V5_0, v5_connect("a", false, vec![expiry(30)]));
        b.publish(2, v5_publish("quote/fare", Qos::AtLeastOnce, 1, second.clone()).set_dup(true));
        assert_eq!(b.calls.len(), 1, "{second:?}");
    }
}

/// Guards against two answers to a publish that makes no call: version 3.1.1 has no reason codes, so that it is
/// answered, and it is resent if its acknowledgement is lost.
#[test]
fn a_publish_without_a_route_that_version_3_1_1_resends_is_answered_once() {
    let mut b = Bench::new(settings());
    b.acknowledge = false;
    let connect =
        || v3_1_1::Connect::builder().client_id("a").unwrap().clean_session(false).build().unwrap().into();
    let publish = |dup: bool| {
        let builder = v3_1_1::Publish::builder().topic_name("nowhere").unwrap().qos(Qos::AtLeastOnce);
        builder.packet_id(5).dup(dup).payload("p").build().unwrap().to_continuous_buffer()
    };
    let answers = |packets: &[Packet], dup: bool| {
        packets.iter().filter(|p| matches!(p, Packet::V3_1_1Publish(p) if p.dup() == dup)).count()
    };
    b.connect(1, Version::V3_1_1, connect());
    b.send_bytes(1, &publish(false));
    assert_eq!(answers(&b.take_received(1), false), 1);
    b.disconnect(1);
    b.connect(2, Version::V3_1_1, connect());
    b.send_bytes(2, &publish(true));
    let received = b.take_received(2);
    assert_eq!((answers(&received, true), answers(&received, false)), (1, 0), "{received:?}");
}

/// Guards against a publish that is taken and never answered, because an earlier one with the same content had
/// its packet id (review/8).
#[test]
fn a_packet_id_names_a_new_message_once_the_client_has_the_acknowledgement() {
    for qos in [Qos::AtLeastOnce, Qos::ExactlyOnce] {
        let mut b = Bench::new(settings());
        b.connect(1, Version::V5_0, v5_connect("a", false, vec![expiry(30)]));
        b.publish(1, v5_publish("quote/fare", qos, 1, vec![]));
        b.answer(0, &served(1));
        assert_eq!(b.outcomes(1), ["served"]);
        if qos == Qos::ExactlyOnce {
            let pubrel = v5_0::Pubrel::builder().packet_id(1).build().unwrap();
            b.send_bytes(1, &pubrel.to_continuous_buffer());
        }
        b.disconnect(1);
        b.connect(2, Version::V5_0, v5_connect("a", false, vec![expiry(30)]));
        b.publish(2, v5_publish("quote/fare", qos, 1, vec![]).set_dup(true));
        assert_eq!(b.calls.len(), 2, "{qos:?}");
        b.answer(1, &served(1));
        assert_eq!(b.outcomes(2), ["served"]);
    }
}

/// Guards against a publish with QoS 2 that is taken and never answered: the client resends it after the gateway
/// closed the connection in place of accepting it.
#[test]
fn a_qos_2_publish_that_was_not_accepted_makes_a_call_when_it_is_resent() {
    let mut b = Bench::new(settings());
    b.connect(1, Version::V5_0, v5_connect("a", false, vec![expiry(30)]));
    for id in 2..=5 {
        b.publish(1, v5_publish("quote/fare", Qos::ExactlyOnce, id, vec![]));
    }
    b.publish(1, v5_publish("charge/card", Qos::ExactlyOnce, 6, vec![key("k")]).set_dup(true));
    assert_eq!(b.closed, [LinkId(1)], "beyond the quota");
    b.answer(0, &served(1));
    b.connect(2, Version::V5_0, v5_connect("a", false, vec![expiry(30)]));
    b.publish(2, v5_publish("charge/card", Qos::ExactlyOnce, 6, vec![key("k")]).set_dup(true));
    assert_eq!(b.calls.len(), 5);
}

#[test]
fn a_qos_2_publish_starts_one_call_however_often_it_is_sent_before_its_pubrel() {
    let mut b = Bench::new(settings());
    b.connect(1, Version::V5_0, v5_connect("a", true, vec![]));
    let publish = v5_publish("charge/card", Qos::ExactlyOnce, 5, vec![key("k")]);
    // Sent as raw bytes, because the library would not send the same packet twice on one connection.
    b.clients.clear();
    b.send_bytes(1, &publish.to_continuous_buffer());
    b.send_bytes(1, &publish.clone().set_dup(true).to_continuous_buffer());
    assert_eq!(b.calls.len(), 1);
    let released = |b: &Bench| b.written.windows(4).any(|w| w == [0x70, 2, 0, 5]);
    assert!(!released(&b));
    b.send_bytes(1, &v5_0::Pubrel::builder().packet_id(5).build().unwrap().to_continuous_buffer());
    assert!(released(&b), "no PUBCOMP");
    b.send_bytes(1, &publish.to_continuous_buffer());
    assert_eq!(b.calls.len(), 2, "after PUBREL the id belongs to a new message");
}
