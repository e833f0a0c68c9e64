//! First packets: the receive maximum is removed, and invalid packets are rejected before they are complete.

use super::*;
use mqtt_protocol_core::mqtt::packet::{v5_0, ReceiveMaximum, SessionExpiryInterval};

fn connect(properties: Vec<Property>) -> Vec<u8> {
    let builder = v5_0::Connect::builder().client_id("c").unwrap().props(properties);
    builder.build().unwrap().to_continuous_buffer()
}

#[test]
fn only_the_receive_maximum_is_removed() {
    let expiry: Property = SessionExpiryInterval::new(7).unwrap().into();
    let with = connect(vec![ReceiveMaximum::new(3).unwrap().into(), expiry.clone()]);
    let without = connect(vec![expiry]);
    let complete = FirstPacket::Complete { packet: without, receive_maximum: Some(3), length: with.len() };
    assert_eq!(first_packet(Expected::Connect, &with, 100), complete);
    for cut in 0..with.len() {
        assert_eq!(first_packet(Expected::Connect, &with[..cut], 100), FirstPacket::Partial);
    }
}

#[test]
fn unexpected_malformed_and_oversized_packets_are_rejected_early() {
    assert_eq!(first_packet(Expected::Connect, &[0x30, 0], 100), FirstPacket::Rejected);
    assert_eq!(first_packet(Expected::Connect, &[0x10, 0xff, 0xff, 0xff, 0x7f], 100), FirstPacket::Rejected);
    assert_eq!(first_packet(Expected::Connect, &[0x10, 0xff, 0xff, 0xff, 0xff], 100), FirstPacket::Rejected);
}
