//! Where one MessagePack value ends, found as its bytes come, within bounds of size and depth.
//!
//! It guards against lengths that are huge, values without end and deep nesting: each is refused at the byte that says
//! so, before anything is held for it. Called by the front for every byte that a client sends; [`crate::message`] reads
//! what is whole.

use rmp::Marker;

/// Most bytes of one message: a body of 16 KiB, the longest that clients may send, and its fields.
pub const MAX_MESSAGE: usize = 20 * 1024;
/// Values within values at most; a request has four levels.
const MAX_DEPTH: usize = 6;

/// Why bytes are no message. The connection is of no use afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// It does not begin as an array of three or four values.
    NotRpc,
    /// It is longer than [`MAX_MESSAGE`].
    TooLong,
    /// It is nested more deeply than any message.
    TooDeep,
}

/// How far one message has been looked at. It is asked again with the same bytes and more.
#[derive(Clone, Debug, Default)]
pub struct Scanner {
    at: usize,
    /// Values still to come on each level; empty at the start.
    open: Vec<usize>,
}

/// A value's head: its length in bytes, the data behind it, and the values in it.
struct Head {
    head: usize,
    data: usize,
    values: Option<usize>,
}

impl Scanner {
    /// The length of the message at the start of `bytes`, once it is whole; the scanner then stands at a new start.
    ///
    /// # Errors
    /// As soon as the bytes can become no message.
    pub fn scan(&mut self, bytes: &[u8]) -> Result<Option<usize>, FrameError> {
        loop {
            let Some(head) = head(bytes.get(self.at..).unwrap_or_default()) else { return Ok(None) };
            if self.open.is_empty() && !matches!(head.values, Some(3 | 4)) {
                return Err(FrameError::NotRpc);
            }
            let next = self.at.saturating_add(head.head).saturating_add(head.data);
            // Each value has a byte of its own at least.
            if next.saturating_add(head.values.unwrap_or(0)) > MAX_MESSAGE {
                return Err(FrameError::TooLong);
            }
            if next > bytes.len() {
                return Ok(None);
            }
            self.at = next;
            match head.values {
                Some(values) if values > 0 => {
                    if self.open.len() >= MAX_DEPTH {
                        return Err(FrameError::TooDeep);
                    }
                    self.open.push(values);
                }
                _ => {
                    while let Some(left) = self.open.last_mut() {
                        *left -= 1;
                        if *left > 0 {
                            break;
                        }
                        self.open.pop();
                    }
                    if self.open.is_empty() {
                        return Ok(Some(std::mem::take(&mut self.at)));
                    }
                }
            }
        }
    }
}

/// The head of the value at the start of `bytes`, where enough of it is there.
fn head(bytes: &[u8]) -> Option<Head> {
    let length = |size: usize| -> Option<usize> {
        let digits = bytes.get(1..=size)?;
        Some(digits.iter().fold(0usize, |n, d| (n << 8) | usize::from(*d)))
    };
    let plain = |head: usize, data: usize| Some(Head { head, data, values: None });
    let holds = |head: usize, values: usize| Some(Head { head, data: 0, values: Some(values) });
    match Marker::from_u8(*bytes.first()?) {
        Marker::FixPos(_) | Marker::FixNeg(_) | Marker::Null | Marker::True | Marker::False => plain(1, 0),
        // Never used by the format; as a value without data it is refused by whoever reads the message.
        Marker::Reserved => plain(1, 0),
        Marker::U8 | Marker::I8 => plain(2, 0),
        Marker::U16 | Marker::I16 => plain(3, 0),
        Marker::U32 | Marker::I32 | Marker::F32 => plain(5, 0),
        Marker::U64 | Marker::I64 | Marker::F64 => plain(9, 0),
        Marker::FixStr(n) => plain(1, usize::from(n)),
        Marker::Str8 | Marker::Bin8 => plain(2, length(1)?),
        Marker::Str16 | Marker::Bin16 => plain(3, length(2)?),
        Marker::Str32 | Marker::Bin32 => plain(5, length(4)?),
        Marker::FixExt1 => plain(2, 1),
        Marker::FixExt2 => plain(2, 2),
        Marker::FixExt4 => plain(2, 4),
        Marker::FixExt8 => plain(2, 8),
        Marker::FixExt16 => plain(2, 16),
        Marker::Ext8 => plain(3, length(1)?),
        Marker::Ext16 => plain(4, length(2)?),
        Marker::Ext32 => plain(6, length(4)?),
        Marker::FixArray(n) => holds(1, usize::from(n)),
        Marker::Array16 => holds(3, length(2)?),
        Marker::Array32 => holds(5, length(4)?),
        Marker::FixMap(n) => holds(1, usize::from(n) * 2),
        Marker::Map16 => holds(3, length(2)? * 2),
        Marker::Map32 => holds(5, length(4)?.saturating_mul(2)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn scan(bytes: &[u8]) -> Result<Option<usize>, FrameError> {
        Scanner::default().scan(bytes)
    }

    #[test]
    fn a_message_is_whole_at_its_last_byte_however_its_bytes_come() {
        let mut bytes = vec![0x94, 0, 7, 0xa4, b'c', b'a', b'l', b'l', 0x92, 0x81, 0xa1, b'k', 0xa1, b'v'];
        bytes.extend([0xc4, 3, 1, 2, 3]);
        let whole = bytes.len();
        bytes.extend([0x93, 2]);
        let mut scanner = Scanner::default();
        for end in 0..whole {
            assert_eq!(scanner.scan(&bytes[..end]), Ok(None), "{end}");
        }
        assert_eq!(scanner.scan(&bytes), Ok(Some(whole)));
        assert_eq!(scanner.scan(&bytes[whole..]), Ok(None));
    }

    #[test]
    fn lengths_beyond_the_bound_are_refused_before_their_bytes_come() {
        assert_eq!(scan(&[0x94, 0, 1, 0xc6, 0x03, 0x93, 0x87, 0x00]), Err(FrameError::TooLong));
        assert_eq!(scan(&[0x94, 0, 1, 0xdd, 0xff, 0xff, 0xff, 0xff]), Err(FrameError::TooLong));
        assert_eq!(scan(&[0x94, 0, 1, 0xdf, 0xff, 0xff, 0xff, 0xff]), Err(FrameError::TooLong));
        let mut long = vec![0x94, 0, 1, 0xa1, b'c'];
        long.extend([0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91]);
        assert_eq!(scan(&long), Err(FrameError::TooDeep));
    }

    #[test]
    fn what_does_not_begin_as_rpc_is_refused_at_its_first_byte() {
        for first in [b'G', 0x92, 0x95, 0xc1, 0x00, 0xff, 0x84] {
            assert_eq!(scan(&[first]), Err(FrameError::NotRpc), "{first}");
        }
    }
}
