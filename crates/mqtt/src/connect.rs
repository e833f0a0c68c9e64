//! The first packet of a connection, from either side: collected here, so that a peer that never sends one whole costs a bounded
//! buffer, and rid of one property before the library sees it.
//!
//! The library counts answers in flight against the peer's receive maximum, but takes answers that it sends
//! again after a session was resumed out of that count without ever having put them in; the count would go below
//! zero and stop the session for good. So front and bridge keep that count themselves, and the library is not told of the
//! receive maximum.

use mqtt_protocol_core::mqtt::packet::{Property, VariableByteInteger};

/// What the bytes so far are.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum FirstPacket {
    /// More are needed.
    Partial,
    /// No CONNECT, or one beyond the limit.
    Refused,
    /// A whole CONNECT.
    Whole {
        /// Its bytes, without the receive maximum.
        packet: Vec<u8>,
        /// The receive maximum that it stated.
        receive_maximum: Option<u16>,
        /// Where the next packet begins.
        length: usize,
    },
}

/// Which first packet is expected, with its fixed header's first byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expected {
    /// A CONNECT of either version, from a client.
    Connect = 0x10,
    /// A CONNACK of version 5, from a broker.
    Connack = 0x20,
}

/// Looks for a whole packet of the expected kind at the start of the bytes, at most `limit` long.
pub(crate) fn first_packet(expected: Expected, bytes: &[u8], limit: usize) -> FirstPacket {
    match bytes.first() {
        None => return FirstPacket::Partial,
        Some(first) if *first == expected as u8 => {}
        Some(_) => return FirstPacket::Refused,
    }
    let Some((body, start)) = variable_integer(&bytes[1..]) else {
        return if bytes.len() < 5 { FirstPacket::Partial } else { FirstPacket::Refused };
    };
    let (start, length) = (1 + start, 1 + start + body);
    if length > limit {
        return FirstPacket::Refused;
    }
    if bytes.len() < length {
        return FirstPacket::Partial;
    }
    let (packet, receive_maximum) = match without_receive_maximum(expected, &bytes[start..length]) {
        Some((body, maximum)) => {
            let mut packet = vec![expected as u8];
            packet.extend(encoded(body.len()));
            packet.extend(body);
            (packet, Some(maximum))
        }
        None => (bytes[..length].to_vec(), None),
    };
    FirstPacket::Whole { packet, receive_maximum, length }
}

/// A variable byte integer (section 1.5.5) and its length.
fn variable_integer(bytes: &[u8]) -> Option<(usize, usize)> {
    let mut value = 0usize;
    for (n, byte) in bytes.iter().take(4).enumerate() {
        value |= usize::from(byte & 0x7f) << (7 * n);
        if byte & 0x80 == 0 {
            return Some((value, n + 1));
        }
    }
    None
}

fn encoded(value: usize) -> Vec<u8> {
    let value = u32::try_from(value).ok().and_then(VariableByteInteger::from_u32);
    value.map(|v| v.as_bytes().to_vec()).unwrap_or_default()
}

/// The variable header and payload of a version 5 packet without its receive maximum, and that. `None` where
/// there is none, or where the packet is malformed, which the library then says.
fn without_receive_maximum(expected: Expected, body: &[u8]) -> Option<(Vec<u8>, u16)> {
    let before = match expected {
        // Protocol name (6 bytes), level, flags, keep-alive (2 bytes): section 3.1.2.
        Expected::Connect if body.get(6) == Some(&5) => 10,
        Expected::Connect => return None,
        // Acknowledge flags and reason code: section 3.2.2.
        Expected::Connack => 2,
    };
    let (length, size) = variable_integer(body.get(before..)?)?;
    let start = before + size;
    let properties = body.get(start..start.checked_add(length)?)?;
    let mut at = 0;
    while at < properties.len() {
        let (property, used) = Property::parse(&properties[at..]).ok().filter(|p| p.1 > 0)?;
        if let Property::ReceiveMaximum(maximum) = property {
            let mut out = body[..before].to_vec();
            out.extend(encoded(length - used));
            out.extend_from_slice(&properties[..at]);
            out.extend_from_slice(&properties[at + used..]);
            out.extend_from_slice(&body[start + length..]);
            return Some((out, maximum.val()));
        }
        at += used;
    }
    None
}

#[cfg(test)]
mod tests {
    use super::*;
    use mqtt_protocol_core::mqtt::packet::{v5_0, ReceiveMaximum, SessionExpiryInterval};

    fn connect(properties: Vec<Property>) -> Vec<u8> {
        let builder = v5_0::Connect::builder().client_id("c").unwrap().props(properties);
        builder.build().unwrap().to_continuous_buffer()
    }

    #[test]
    fn the_receive_maximum_is_taken_out_and_the_rest_stays() {
        let expiry: Property = SessionExpiryInterval::new(7).unwrap().into();
        let with = connect(vec![ReceiveMaximum::new(3).unwrap().into(), expiry.clone()]);
        let without = connect(vec![expiry]);
        let whole = FirstPacket::Whole { packet: without, receive_maximum: Some(3), length: with.len() };
        assert_eq!(first_packet(Expected::Connect, &with, 100), whole);
        for cut in 0..with.len() {
            assert_eq!(first_packet(Expected::Connect, &with[..cut], 100), FirstPacket::Partial);
        }
    }

    #[test]
    fn other_packets_and_those_beyond_the_limit_are_refused_early() {
        assert_eq!(first_packet(Expected::Connect, &[0x30, 0], 100), FirstPacket::Refused);
        assert_eq!(
            first_packet(Expected::Connect, &[0x10, 0xff, 0xff, 0xff, 0x7f], 100),
            FirstPacket::Refused
        );
        assert_eq!(
            first_packet(Expected::Connect, &[0x10, 0xff, 0xff, 0xff, 0xff], 100),
            FirstPacket::Refused
        );
    }
}
