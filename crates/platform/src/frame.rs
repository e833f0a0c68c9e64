//! Framing of MessagePack-RPC: incremental detection of message ends, with bounds on size and nesting depth.
//!
//! A length beyond the bound or a nesting that is too deep is rejected as soon as its header is received,
//! before memory is allocated for it. The front end scans all bytes from clients; [`crate::message`] parses
//! complete frames.

use rmp::Marker;
use std::fmt;

/// Limit of a message, in bytes: the largest body that clients may send, 16 KiB, plus its fields.
pub const MAX_MESSAGE: usize = 20 * 1024;
/// Limit of the nesting of arrays and maps; a request has four levels.
const MAX_DEPTH: usize = 6;

/// Why received bytes are not a valid frame. The connection cannot be used any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// They do not start with an array of three or four values.
    NotRpc,
    /// The message is longer than [`MAX_MESSAGE`].
    TooLong,
    /// Arrays and maps are nested more deeply than in any valid message.
    TooDeep,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::NotRpc => f.write_str("message is not an array of three or four values"),
            FrameError::TooLong => write!(f, "message exceeds {MAX_MESSAGE} bytes"),
            FrameError::TooDeep => write!(f, "message exceeds {MAX_DEPTH} levels of nesting"),
        }
    }
}

impl std::error::Error for FrameError {}

/// Finds the end of a message; the scan is resumed when more bytes arrive.
#[derive(Clone, Debug, Default)]
pub struct Scanner {
    /// Number of bytes scanned.
    position: usize,
    /// Number of values still missing on each level of nesting, outermost first; empty at the start of a
    /// message.
    missing: Vec<usize>,
}

/// The header of a MessagePack value.
struct Header {
    /// Size of the header, in bytes.
    size: usize,
    /// Size of the data after the header, in bytes; 0 for an array or a map.
    data: usize,
    /// Number of values in an array or map, keys included; `None` for any other type.
    values: Option<usize>,
}

impl Scanner {
    /// Returns the length of the message at the start of `bytes`, or `None` while it is incomplete. In that
    /// case the next call must pass the same bytes followed by further ones; after a complete message it must
    /// pass the bytes that follow it.
    ///
    /// # Errors
    /// As soon as the bytes are known not to be a valid frame.
    pub fn scan(&mut self, bytes: &[u8]) -> Result<Option<usize>, FrameError> {
        while let Some(header) = parse_header(bytes.get(self.position..).unwrap_or_default()) {
            if self.missing.is_empty() && !matches!(header.values, Some(3 | 4)) {
                return Err(FrameError::NotRpc);
            }
            let next = self.position.saturating_add(header.size).saturating_add(header.data);
            // Each nested value takes at least one byte.
            if next.saturating_add(header.values.unwrap_or(0)) > MAX_MESSAGE {
                return Err(FrameError::TooLong);
            }
            if next > bytes.len() {
                return Ok(None);
            }
            self.position = next;
            match header.values {
                Some(values) if values > 0 => self.enter(values)?,
                _ => self.finish_value(),
            }
            if self.missing.is_empty() {
                return Ok(Some(std::mem::take(&mut self.position)));
            }
        }
        Ok(None)
    }

    /// Starts an array or map that is not empty.
    fn enter(&mut self, values: usize) -> Result<(), FrameError> {
        if self.missing.len() >= MAX_DEPTH {
            return Err(FrameError::TooDeep);
        }
        self.missing.push(values);
        Ok(())
    }

    /// Counts a complete value, and all arrays and maps that it completes.
    fn finish_value(&mut self) {
        while let Some(missing) = self.missing.last_mut() {
            *missing -= 1;
            if *missing > 0 {
                return;
            }
            self.missing.pop();
        }
    }
}

/// Parses the header at the start of `bytes`; `None` while it is incomplete.
fn parse_header(bytes: &[u8]) -> Option<Header> {
    let length = |size: usize| -> Option<usize> {
        let digits = bytes.get(1..=size)?;
        Some(digits.iter().fold(0usize, |value, digit| (value << 8) | usize::from(*digit)))
    };
    let scalar = |size: usize, data: usize| Some(Header { size, data, values: None });
    let container = |size: usize, values: usize| Some(Header { size, data: 0, values: Some(values) });
    match Marker::from_u8(*bytes.first()?) {
        Marker::FixPos(_) | Marker::FixNeg(_) | Marker::Null | Marker::True | Marker::False => scalar(1, 0),
        // Not used by MessagePack. It is treated as a value without data here and rejected when the message
        // is parsed.
        Marker::Reserved => scalar(1, 0),
        Marker::U8 | Marker::I8 => scalar(2, 0),
        Marker::U16 | Marker::I16 => scalar(3, 0),
        Marker::U32 | Marker::I32 | Marker::F32 => scalar(5, 0),
        Marker::U64 | Marker::I64 | Marker::F64 => scalar(9, 0),
        Marker::FixStr(length) => scalar(1, usize::from(length)),
        Marker::Str8 | Marker::Bin8 => scalar(2, length(1)?),
        Marker::Str16 | Marker::Bin16 => scalar(3, length(2)?),
        Marker::Str32 | Marker::Bin32 => scalar(5, length(4)?),
        Marker::FixExt1 => scalar(2, 1),
        Marker::FixExt2 => scalar(2, 2),
        Marker::FixExt4 => scalar(2, 4),
        Marker::FixExt8 => scalar(2, 8),
        Marker::FixExt16 => scalar(2, 16),
        Marker::Ext8 => scalar(3, length(1)?),
        Marker::Ext16 => scalar(4, length(2)?),
        Marker::Ext32 => scalar(6, length(4)?),
        Marker::FixArray(length) => container(1, usize::from(length)),
        Marker::Array16 => container(3, length(2)?),
        Marker::Array32 => container(5, length(4)?),
        Marker::FixMap(length) => container(1, usize::from(length) * 2),
        Marker::Map16 => container(3, length(2)? * 2),
        Marker::Map32 => container(5, length(4)?.saturating_mul(2)),
    }
}
