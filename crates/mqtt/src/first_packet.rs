//! Buffers the first packet of a connection, CONNECT or CONNACK, before passing it to the protocol library.
//!
//! The buffer is bounded, for peers that never complete the packet. The receive maximum is removed from the
//! packet and enforced by front and bridge instead: the library counts answers in flight against it, but
//! after a session was resumed it subtracts retransmitted answers that it never added, so its count would go
//! below zero and block the session.

use mqtt_protocol_core::mqtt::packet::{Property, VariableByteInteger};

/// Maximum size of a fixed header: the packet type and a variable byte integer.
const MAX_FIXED_HEADER: usize = 5;
/// Maximum size of a variable byte integer (section 1.5.5).
const MAX_VARIABLE_INTEGER: usize = 4;
/// Offset of the protocol level in a CONNECT, after the protocol name (section 3.1.2).
const CONNECT_LEVEL: usize = 6;
/// Bytes before the properties of a CONNECT: protocol name, level, flags and keep-alive.
const CONNECT_HEADER: usize = 10;
/// Bytes before the properties of a CONNACK: flags and reason code (section 3.2.2).
const CONNACK_HEADER: usize = 2;
/// The protocol level of version 5.
const LEVEL_V5: u8 = 5;

/// The result of parsing the bytes received so far.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum FirstPacket {
    /// The bytes are the beginning of a packet of the expected kind.
    Partial,
    /// The packet is of another kind, malformed or larger than the limit.
    Rejected,
    /// A complete packet of the expected kind.
    Complete {
        /// The encoded packet without the receive maximum.
        packet: Vec<u8>,
        /// The removed receive maximum, if the packet contained one.
        receive_maximum: Option<u16>,
        /// Length of the packet as received, which is the offset of the next one.
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

/// Parses a packet of the expected kind, at most `limit` bytes long, at the start of `bytes`.
pub(crate) fn first_packet(expected: Expected, bytes: &[u8], limit: usize) -> FirstPacket {
    match bytes.first() {
        None => return FirstPacket::Partial,
        Some(first) if *first == expected as u8 => {}
        Some(_) => return FirstPacket::Rejected,
    }
    let Some(body_length) = VariableInteger::read(&bytes[1..]) else {
        return if bytes.len() < MAX_FIXED_HEADER { FirstPacket::Partial } else { FirstPacket::Rejected };
    };
    let start = 1 + body_length.size;
    let length = start + body_length.value;
    if length > limit {
        return FirstPacket::Rejected;
    }
    if bytes.len() < length {
        return FirstPacket::Partial;
    }
    match without_receive_maximum(expected, &bytes[start..length]) {
        Some(Stripped { body, receive_maximum }) => {
            let mut packet = vec![expected as u8];
            packet.extend(encode_variable_integer(body.len()));
            packet.extend(body);
            FirstPacket::Complete { packet, receive_maximum: Some(receive_maximum), length }
        }
        None => FirstPacket::Complete { packet: bytes[..length].to_vec(), receive_maximum: None, length },
    }
}

/// A variable byte integer (section 1.5.5).
struct VariableInteger {
    value: usize,
    /// Encoded length in bytes.
    size: usize,
}

impl VariableInteger {
    /// Reads the integer at the start of `bytes`; `None` if it is incomplete or malformed.
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

/// Removes the receive maximum from the variable header of a version 5 packet. `None` where there is none, or
/// where the packet is malformed, which the library then reports.
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
