//! Tests of request encoding, and of reply parsing from arbitrary bytes.

use super::reply::MAX_LINE;
use super::*;
use slatevalve::Outcome;
use slatevalve_worker_protocol::Call;

const WIRE: LineProtocol = LineProtocol { max_streams: 4, reports_queue_depth: true };

fn exec(id: &str) -> WorkerRequest {
    WorkerRequest::Infer(Call {
        function: "7f3a9c21e0b4d655".into(),
        payload: b"a\r\nb".to_vec(),
        request_id: id.into(),
        time_remaining_ms: 1500,
        class: "fare-quote".into(),
        ..Call::default()
    })
}

/// Feeds `bytes` to a reader that expects replies to `requests`; returns the completed requests, the result,
/// and whether the connection is reusable.
fn feed(
    requests: &[WorkerRequest],
    bytes: &[u8],
) -> (Vec<CompletedRequest>, Result<(), MalformedReply>, bool) {
    let mut reader = WIRE.reader();
    requests.iter().enumerate().for_each(|(n, request)| reader.expect(Tag(n as u64), request));
    let mut out = Vec::new();
    let result = reader.feed(bytes, &mut out);
    (out, result, reader.is_reusable())
}

#[test]
fn requests_are_encoded_with_the_clients_id_and_key() {
    let mut request = exec("9b1f03aa5c7e2d41");
    if let WorkerRequest::Infer(call) = &mut request {
        call.key = Some(b"5c0f".to_vec());
    }
    let bytes = WIRE.encode("", Tag(3), &request);
    let expected: &[u8] = b"exec 9b1f03aa5c7e2d41 \
        profile=fare-quote,thing=7f3a9c21e0b4d655,max=1500,replay=5c0f 4\r\na\r\nb\r\n";
    assert_eq!(bytes, expected);
    let load = WorkerRequest::Load { function: "7f".into(), copies: 2 };
    assert_eq!(WIRE.encode("", Tag(4), &load), b"ensure t4 thing=7f,copies=2\r\n");
    assert_eq!(WIRE.encode("", Tag(5), &WorkerRequest::Ready), b"load t5\r\n");
    assert_eq!(WIRE.encode_cancel(&request).unwrap(), b"drop 9b1f03aa5c7e2d41\r\n");
}

#[test]
fn each_status_maps_to_its_outcome() {
    let cases = [
        ("ACK", Outcome::Ok),
        ("NOENT", Outcome::Miss),
        ("AGAIN", Outcome::Full),
        ("EIO", Outcome::Error),
        ("STALE", Outcome::NotSent),
    ];
    for (status, outcome) in cases {
        let bytes = format!("aa {status} queue_fn=3 2\r\nhi\r\n");
        let (out, result, reusable) = feed(&[exec("aa")], bytes.as_bytes());
        assert_eq!((result, reusable, out.len()), (Ok(()), true, 1), "{status}");
        assert_eq!(out[0].reply.outcome, outcome);
        let queue_depth = matches!(status, "ACK" | "AGAIN").then_some(3);
        assert_eq!(out[0].reply.queue_depth, queue_depth);
        assert_eq!(out[0].reply.payload, if status == "ACK" { b"hi".to_vec() } else { vec![] });
    }
    let (out, _, _) = feed(&[exec("aa")], b"aa ACK - 0\r\n\r\n");
    assert_eq!(out[0].reply.queue_depth, Some(0), "a missing queue depth counts as 0");
}

#[test]
fn replies_are_parsed_in_any_order_and_from_any_fragments() {
    let bytes = b"bb ACK - 4\r\n\r\n\r\n\r\nt2 READY report=backlog:2.5;util:0.5 0\r\n\r\naa EIO - 0\r\n\r\n";
    let requests = [exec("aa"), exec("bb"), WorkerRequest::Ready];
    for step in 1..bytes.len() {
        let mut reader = WIRE.reader();
        requests.iter().enumerate().for_each(|(n, request)| reader.expect(Tag(n as u64), request));
        let mut out = Vec::new();
        for fragment in bytes.chunks(step) {
            reader.feed(fragment, &mut out).unwrap();
        }
        let order: Vec<u64> = out.iter().map(|completed| completed.tag.0).collect();
        assert_eq!(order, [1, 2, 0]);
        assert_eq!(out[0].reply.payload, b"\r\n\r\n");
        assert_eq!(out[1].reply.report.unwrap().queue, Some(2.5));
        assert!(reader.is_reusable());
    }
}

#[test]
fn an_unsolicited_reply_leaves_the_awaited_one_valid_and_prevents_reuse() {
    let unknown = b"zz ACK - 1\r\nx\r\naa ACK - 2\r\nhi\r\n";
    let duplicate = b"aa ACK - 2\r\nhi\r\naa ACK - 2\r\nhi\r\n";
    let incomplete = b"aa ACK - 2\r\nhi\r\naa AC";
    for bytes in [&unknown[..], duplicate, incomplete] {
        let (out, result, reusable) = feed(&[exec("aa")], bytes);
        assert_eq!((result, reusable, out.len()), (Ok(()), false, 1));
        assert_eq!(out[0].reply.payload, b"hi");
    }
}

#[test]
fn malformed_replies_are_rejected_within_bounds() {
    let long = vec![b'x'; MAX_LINE];
    let cases: [&[u8]; 7] = [
        b"\xff\xfe\r\n",
        b"aa ACK - 3000000000\r\n",
        b"aa ACK - 99999999999999999999999\r\n",
        b"aa ACK - -1\r\n",
        b"aa ACK - 2\r\nhiXX",
        b"aa WHAT - 0\r\n\r\n",
        &long,
    ];
    for bytes in cases {
        let (out, result, _) = feed(&[exec("aa")], bytes);
        assert_eq!((out.len(), result), (0, Err(MalformedReply)), "{bytes:?}");
    }
    // A truncated reply is only incomplete.
    let (out, result, reusable) = feed(&[exec("aa")], b"aa ACK - 5\r\nhi");
    assert_eq!((out.len(), result, reusable), (0, Ok(()), false));
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..proptest::test_runner::Config::default()
    })]

    #[test]
    fn arbitrary_bytes_neither_panic_the_reader_nor_complete_more_than_one_request(
        fragments in proptest::collection::vec(proptest::collection::vec(0u8..=255, 0..90), 0..8),
        start in proptest::sample::select(vec![&b""[..], b"aa ACK ", b"aa ACK - 40\r\n", b"aa ACK - 0\r\n\r\n"]),
    ) {
        let mut reader = WIRE.reader();
        reader.expect(Tag(0), &exec("aa"));
        let mut out = Vec::new();
        let mut input = vec![start.to_vec()];
        input.extend(fragments);
        for fragment in &input {
            if reader.feed(fragment, &mut out).is_err() {
                break;
            }
        }
        proptest::prop_assert!(out.len() <= 1);
    }
}
