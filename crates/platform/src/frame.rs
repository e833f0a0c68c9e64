//! Framing of MessagePack-RPC: the end of a message, found as its bytes arrive, within bounds of size and depth.
//!
//! A huge length, a value without end or deep nesting is rejected at the byte that states it, before memory is reserved for
//! it. The front scans every byte of a client; [`crate::message`] reads whole frames.

use rmp::Marker;
use std::fmt;

/// The longest message, in bytes: a body of 16 KiB, the longest that clients may send, and its fields.
pub const MAX_MESSAGE: usize = 20 * 1024;
/// The deepest nesting of arrays and maps; a request has four levels.
const MAX_DEPTH: usize = 6;

/// Why bytes cannot become a message. The connection cannot be used any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// They do not begin as an array of three or four values.
    NotRpc,
    /// The message is longer than [`MAX_MESSAGE`].
    TooLong,
    /// The message is nested more deeply than any valid one.
    TooDeep,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FrameError::NotRpc => "not an array of three or four values",
            FrameError::TooLong => "longer than the longest message",
            FrameError::TooDeep => "nested too deeply",
        })
    }
}

impl std::error::Error for FrameError {}

/// The scan of one message, resumed as more of its bytes arrive.
#[derive(Clone, Debug, Default)]
pub struct Scanner {
    /// Bytes that were scanned.
    position: usize,
    /// The values that are missing on each level of nesting, outermost first; empty at the start of a message.
    missing: Vec<usize>,
}

/// The head of a MessagePack value.
struct Head {
    /// Bytes of the head itself.
    head: usize,
    /// Bytes of data behind the head.
    data: usize,
    /// Values within an array or a map; `None` for a value of another type.
    values: Option<usize>,
}

impl Scanner {
    /// The length of the message at the start of `bytes`, once it is whole; `None` before. Called again with the same bytes
    /// and more until then, after that with the bytes behind the message.
    ///
    /// # Errors
    /// As soon as the bytes cannot become a message.
    pub fn scan(&mut self, bytes: &[u8]) -> Result<Option<usize>, FrameError> {
        while let Some(head) = read_head(bytes.get(self.position..).unwrap_or_default()) {
            if self.missing.is_empty() && !matches!(head.values, Some(3 | 4)) {
                return Err(FrameError::NotRpc);
            }
            let next = self.position.saturating_add(head.head).saturating_add(head.data);
            // Each value within is at least one byte.
            if next.saturating_add(head.values.unwrap_or(0)) > MAX_MESSAGE {
                return Err(FrameError::TooLong);
            }
            if next > bytes.len() {
                return Ok(None);
            }
            self.position = next;
            match head.values {
                Some(values) if values > 0 => self.enter(values)?,
                _ => self.finish_value(),
            }
            if self.missing.is_empty() {
                return Ok(Some(std::mem::take(&mut self.position)));
            }
        }
        Ok(None)
    }

    /// Enters an array or map that is not empty.
    fn enter(&mut self, values: usize) -> Result<(), FrameError> {
        if self.missing.len() >= MAX_DEPTH {
            return Err(FrameError::TooDeep);
        }
        self.missing.push(values);
        Ok(())
    }

    /// Counts a complete value, and each array and map that it completes.
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

/// The head of the value at the start of `bytes`; `None` until all its bytes are there.
fn read_head(bytes: &[u8]) -> Option<Head> {
    let length = |size: usize| -> Option<usize> {
        let digits = bytes.get(1..=size)?;
        Some(digits.iter().fold(0usize, |value, digit| (value << 8) | usize::from(*digit)))
    };
    let scalar = |head: usize, data: usize| Some(Head { head, data, values: None });
    let container = |head: usize, values: usize| Some(Head { head, data: 0, values: Some(values) });
    match Marker::from_u8(*bytes.first()?) {
        Marker::FixPos(_) | Marker::FixNeg(_) | Marker::Null | Marker::True | Marker::False => scalar(1, 0),
        // Not used by the format; treated as a value without data, it is rejected when the message is read.
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
