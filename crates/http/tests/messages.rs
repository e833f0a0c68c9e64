//! Parsing of whole messages: framing, limits, and malformed or truncated input.

use slatevalve_http::{Limits, Message, MessageError, MessageReader, Side};

fn parse(side: Side, bytes: &[u8]) -> Result<Option<Message>, MessageError> {
    MessageReader::new(side, Limits { head: 512, body: 64 }).feed(bytes)
}

#[test]
fn a_message_in_pieces_of_any_size_is_parsed_the_same() {
    let bytes: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
        4\r\nabcd\r\n3;x=y\r\nefg\r\n0\r\nT: v\r\n\r\n";
    for piece_length in 1..bytes.len() {
        let mut reader = MessageReader::new(Side::Response, Limits { head: 512, body: 64 });
        let mut message = None;
        for piece in bytes.chunks(piece_length) {
            assert!(message.is_none());
            message = reader.feed(piece).unwrap();
        }
        assert_eq!(message.expect("a complete message").body, b"abcdefg");
        assert!(reader.is_idle());
    }
}

#[test]
fn ambiguous_framing_is_an_error() {
    let two_lengths = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na";
    let length_and_chunks =
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    let signed_length = b"HTTP/1.1 200 OK\r\nContent-Length: +1\r\n\r\na";
    for bytes in [&two_lengths[..], length_and_chunks, signed_length] {
        assert_eq!(parse(Side::Response, bytes), Err(MessageError::Framing));
    }
}

#[test]
fn heads_bodies_and_chunks_beyond_the_limits_are_rejected() {
    let long_header = format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "x".repeat(600));
    assert_eq!(parse(Side::Request, long_header.as_bytes()), Err(MessageError::HeadTooLong));
    let many_headers = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(70));
    assert_eq!(parse(Side::Request, many_headers.as_bytes()), Err(MessageError::HeadTooLong));
    let body = b"POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n";
    assert_eq!(parse(Side::Request, body), Err(MessageError::BodyTooLong));
    let huge = b"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n";
    assert_eq!(parse(Side::Request, huge), Err(MessageError::BodyTooLong));
    let chunk = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n";
    assert_eq!(parse(Side::Response, chunk), Err(MessageError::BodyTooLong));
}

#[test]
fn a_truncated_message_is_an_error_but_a_close_between_messages_is_not() {
    let mut reader = MessageReader::new(Side::Response, Limits::default());
    assert_eq!(reader.end(), Ok(None));
    assert_eq!(reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab"), Ok(None));
    assert_eq!(reader.end(), Err(MessageError::Truncated));
    let mut reader = MessageReader::new(Side::Response, Limits::default());
    assert_eq!(reader.feed(b"HTTP/1.1 200 OK\r\n\r\nab"), Ok(None));
    let message = reader.end().unwrap().expect("a message that ends with the connection");
    assert!(message.head.closes_connection && message.body == b"ab");
}

#[test]
fn bytes_after_a_message_are_an_error() {
    let two = b"GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n";
    assert_eq!(parse(Side::Request, two), Err(MessageError::Trailing));
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..proptest::test_runner::Config::default()
    })]

    #[test]
    fn arbitrary_bytes_cause_no_panic_and_no_body_beyond_the_limit(
        pieces in proptest::collection::vec(proptest::collection::vec(0u8..=255, 0..80), 0..8),
        start in proptest::sample::select(vec![
            &b""[..], b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"HTTP/1.1 200 OK\r\n",
            b"POST /v2/models/a/infer HTTP/1.1\r\nContent-Length: 9\r\n\r\n",
        ]),
    ) {
        for side in [Side::Request, Side::Response] {
            let mut reader = MessageReader::new(side, Limits { head: 128, body: 32 });
            let mut input = vec![start.to_vec()];
            input.extend(pieces.iter().cloned());
            for piece in &input {
                match reader.feed(piece) {
                    Ok(Some(message)) => proptest::prop_assert!(message.body.len() <= 32),
                    Ok(None) => {}
                    Err(_) => break,
                }
            }
            let _ = reader.end();
        }
    }
}
