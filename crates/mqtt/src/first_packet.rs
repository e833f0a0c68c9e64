//! The first packet of a connection, CONNECT or CONNACK, collected before the protocol library receives it.
//!
//! A peer that never completes it costs a bounded buffer. The receive maximum is removed from it and counted by front and
//! bridge instead: the library counts answers in flight against it, but subtracts answers that it sends again after a
//! session was resumed without having added them, so that its count would go below zero and block the session.

use mqtt_protocol_core::mqtt::packet::{Property, VariableByteInteger};

/// The most bytes of a fixed header: the packet type and a variable byte integer.
const MAX_FIXED_HEADER: usize = 5;
/// The most bytes of a variable byte integer (section 1.5.5).
const MAX_VARIABLE_INTEGER: usize = 4;
/// The index of the protocol level in a CONNECT, behind the protocol name (section 3.1.2).
const CONNECT_LEVEL: usize = 6;
/// The bytes before the properties of a CONNECT: protocol name, level, flags and keep-alive.
const CONNECT_HEADER: usize = 10;
/// The bytes before the properties of a CONNACK: flags and reason code (section 3.2.2).
const CONNACK_HEADER: usize = 2;
/// The protocol level of version 5.
const LEVEL_V5: u8 = 5;

/// What the bytes received so far are.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum FirstPacket {
    /// The start of a packet of the expected kind.
    Partial,
    /// Another packet, or one beyond the limit.
    Refused,
    /// A whole packet of the expected kind.
    Whole {
        /// Its bytes, without the receive maximum.
        packet: Vec<u8>,
        /// The receive maximum that it stated.
        receive_maximum: Option<u16>,
        /// The index of the next packet.
        length: usize,
    },
}

/// The kind of first packet; the value is the first byte of its fixed header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expected {
    /// A CONNECT of either version, from a client.
    Connect = 0x10,
    /// A CONNACK of version 5, from a broker.
    Connack = 0x20,
}

/// Looks for a whole packet of the expected kind, at most `limit` bytes long, at the start of the bytes.
pub(crate) fn first_packet(expected: Expected, bytes: &[u8], limit: usize) -> FirstPacket {
    match bytes.first() {
        None => return FirstPacket::Partial,
        Some(first) if *first == expected as u8 => {}
        Some(_) => return FirstPacket::Refused,
    }
    let Some(body_length) = VariableInteger::read(&bytes[1..]) else {
        return if bytes.len() < MAX_FIXED_HEADER { FirstPacket::Partial } else { FirstPacket::Refused };
    };
    let start = 1 + body_length.size;
    let length = start + body_length.value;
    if length > limit {
        return FirstPacket::Refused;
    }
    if bytes.len() < length {
        return FirstPacket::Partial;
    }
    match without_receive_maximum(expected, &bytes[start..length]) {
        Some(Stripped { body, receive_maximum }) => {
            let mut packet = vec![expected as u8];
            packet.extend(encode_variable_integer(body.len()));
            packet.extend(body);
            FirstPacket::Whole { packet, receive_maximum: Some(receive_maximum), length }
        }
        None => FirstPacket::Whole { packet: bytes[..length].to_vec(), receive_maximum: None, length },
    }
}

/// A variable byte integer (section 1.5.5).
struct VariableInteger {
    value: usize,
    /// Its encoded length in bytes.
    size: usize,
}

impl VariableInteger {
    /// The integer at the start of `bytes`; `None` where it is incomplete or malformed.
    fn read(bytes: &[u8]) -> Option<Self> {
        let mut value = 0usize;
        for (index, byte) in bytes.iter().take(MAX_VARIABLE_INTEGER).enumerate() {
            value |= usize::from(byte & 0x7f) << (7 * index);
            if byte & 0x80 == 0 {
                return Some(VariableInteger { value, size: index + 1 });
            }
        }
        None
    }
}

fn encode_variable_integer(value: usize) -> Vec<u8> {
    let value = u32::try_from(value).ok().and_then(VariableByteInteger::from_u32);
    value.map(|encoded| encoded.as_bytes().to_vec()).unwrap_or_default()
}

/// A packet whose receive maximum was removed.
struct Stripped {
    /// Variable header and payload.
    body: Vec<u8>,
    receive_maximum: u16,
}

/// Removes the receive maximum from the variable header of a version 5 packet. `None` where there is none, or where the
/// packet is malformed, which the library then reports.
fn without_receive_maximum(expected: Expected, body: &[u8]) -> Option<Stripped> {
    let header = match expected {
        Expected::Connect if body.get(CONNECT_LEVEL) == Some(&LEVEL_V5) => CONNECT_HEADER,
        Expected::Connect => return None,
        Expected::Connack => CONNACK_HEADER,
    };
    let VariableInteger { value: length, size } = VariableInteger::read(body.get(header..)?)?;
    let start = header + size;
    let end = start.checked_add(length)?;
    let properties = body.get(start..end)?;
    let mut position = 0;
    while position < properties.len() {
        let parsed = Property::parse(&properties[position..]).ok();
        let (property, used) = parsed.filter(|(_, used)| *used > 0)?;
        if let Property::ReceiveMaximum(maximum) = property {
            let mut stripped = body[..header].to_vec();
            stripped.extend(encode_variable_integer(length - used));
            stripped.extend_from_slice(&properties[..position]);
            stripped.extend_from_slice(&properties[position + used..]);
            stripped.extend_from_slice(&body[end..]);
            return Some(Stripped { body: stripped, receive_maximum: maximum.val() });
        }
        position += used;
    }
    None
}

#[cfg(test)]
mod tests;
