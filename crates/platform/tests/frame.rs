//! Tests of framing: message ends, and the bounds of size and depth.

use slatevalve_platform::frame::{FrameError, Scanner};

fn scan(bytes: &[u8]) -> Result<Option<usize>, FrameError> {
    Scanner::default().scan(bytes)
}

#[test]
fn a_message_is_complete_exactly_at_its_last_byte() {
    let mut bytes = vec![0x94, 0, 7, 0xa4, b'c', b'a', b'l', b'l', 0x92, 0x81, 0xa1, b'k', 0xa1, b'v'];
    bytes.extend([0xc4, 3, 1, 2, 3]);
    let length = bytes.len();
    bytes.extend([0x93, 2]);
    let mut scanner = Scanner::default();
    for end in 0..length {
        assert_eq!(scanner.scan(&bytes[..end]), Ok(None), "{end}");
    }
    assert_eq!(scanner.scan(&bytes), Ok(Some(length)));
    assert_eq!(scanner.scan(&bytes[length..]), Ok(None));
}

#[test]
fn messages_beyond_the_bounds_are_rejected_before_their_content_arrives() {
    assert_eq!(scan(&[0x94, 0, 1, 0xc6, 0x03, 0x93, 0x87, 0x00]), Err(FrameError::TooLong));
    assert_eq!(scan(&[0x94, 0, 1, 0xdd, 0xff, 0xff, 0xff, 0xff]), Err(FrameError::TooLong));
    assert_eq!(scan(&[0x94, 0, 1, 0xdf, 0xff, 0xff, 0xff, 0xff]), Err(FrameError::TooLong));
    let mut nested = vec![0x94, 0, 1, 0xa1, b'c'];
    nested.extend([0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91]);
    assert_eq!(scan(&nested), Err(FrameError::TooDeep));
}

#[test]
fn input_that_is_not_rpc_is_rejected_at_its_first_byte() {
    for first in [b'G', 0x92, 0x95, 0xc1, 0x00, 0xff, 0x84] {
        assert_eq!(scan(&[first]), Err(FrameError::NotRpc), "{first}");
    }
}
