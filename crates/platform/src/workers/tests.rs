//! Requests as lines, and replies from arbitrary bytes.

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

fn heard(
    orders: &[WorkerRequest],
    bytes: &[u8],
) -> (Vec<CompletedRequest>, Result<(), MalformedReply>, bool) {
    let mut reader = WIRE.reader();
    orders.iter().enumerate().for_each(|(n, o)| reader.expect(Tag(n as u64), o));
    let mut out = Vec::new();
    let fed = reader.feed(bytes, &mut out);
    (out, fed, reader.is_reusable())
}

#[test]
fn requests_are_lines_with_the_clients_own_id_and_key() {
    let mut order = exec("9b1f03aa5c7e2d41");
    if let WorkerRequest::Infer(call) = &mut order {
        call.key = Some(b"5c0f".to_vec());
    }
    let bytes = WIRE.encode("", Tag(3), &order);
    let wanted: &[u8] = b"exec 9b1f03aa5c7e2d41 \
        profile=fare-quote,thing=7f3a9c21e0b4d655,max=1500,replay=5c0f 4\r\na\r\nb\r\n";
    assert_eq!(bytes, wanted);
    let load = WorkerRequest::Load { function: "7f".into(), copies: 2 };
    assert_eq!(WIRE.encode("", Tag(4), &load), b"ensure t4 thing=7f,copies=2\r\n");
    assert_eq!(WIRE.encode("", Tag(5), &WorkerRequest::Ready), b"load t5\r\n");
    assert_eq!(WIRE.encode_cancel(&order).unwrap(), b"drop 9b1f03aa5c7e2d41\r\n");
}

#[test]
fn each_word_has_its_outcome_and_only_three_prove_that_nothing_ran() {
    let cases = [
        ("ACK", Outcome::Ok),
        ("NOENT", Outcome::Miss),
        ("AGAIN", Outcome::Full),
        ("EIO", Outcome::Error),
        ("STALE", Outcome::NotSent),
    ];
    for (word, outcome) in cases {
        let bytes = format!("aa {word} queue_fn=3 2\r\nhi\r\n");
        let (out, fed, clean) = heard(&[exec("aa")], bytes.as_bytes());
        assert_eq!((fed, clean, out.len()), (Ok(()), true, 1), "{word}");
        assert_eq!(out[0].reply.outcome, outcome);
        let told = matches!(word, "ACK" | "AGAIN").then_some(3);
        assert_eq!(out[0].reply.queue_depth, told);
        assert_eq!(out[0].reply.payload, if word == "ACK" { b"hi".to_vec() } else { vec![] });
    }
    let (out, _, _) = heard(&[exec("aa")], b"aa ACK - 0\r\n\r\n");
    assert_eq!(out[0].reply.queue_depth, Some(0), "absent is none");
}

#[test]
fn answers_come_in_any_order_and_pieces() {
    let bytes = b"bb ACK - 4\r\n\r\n\r\n\r\nt2 READY report=backlog:2.5;util:0.5 0\r\n\r\naa EIO - 0\r\n\r\n";
    let orders = [exec("aa"), exec("bb"), WorkerRequest::Ready];
    for step in 1..bytes.len() {
        let mut reader = WIRE.reader();
        orders.iter().enumerate().for_each(|(n, o)| reader.expect(Tag(n as u64), o));
        let mut out = Vec::new();
        for piece in bytes.chunks(step) {
            reader.feed(piece, &mut out).unwrap();
        }
        let order: Vec<u64> = out.iter().map(|h| h.tag.0).collect();
        assert_eq!(order, [1, 2, 0]);
        assert_eq!(out[0].reply.payload, b"\r\n\r\n");
        assert_eq!(out[1].reply.report.unwrap().queue, Some(2.5));
        assert!(reader.is_reusable());
    }
}

#[test]
fn surplus_leaves_the_answer_good_and_the_connection_unused() {
    let unknown = b"zz ACK - 1\r\nx\r\naa ACK - 2\r\nhi\r\n";
    let copy = b"aa ACK - 2\r\nhi\r\naa ACK - 2\r\nhi\r\n";
    let begun = b"aa ACK - 2\r\nhi\r\naa AC";
    for bytes in [&unknown[..], copy, begun] {
        let (out, fed, clean) = heard(&[exec("aa")], bytes);
        assert_eq!((fed, clean, out.len()), (Ok(()), false, 1));
        assert_eq!(out[0].reply.payload, b"hi");
    }
}

#[test]
fn spoilt_answers_end_the_connection_within_bounds() {
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
        let (out, fed, _) = heard(&[exec("aa")], bytes);
        assert_eq!((out.len(), fed), (0, Err(MalformedReply)), "{bytes:?}");
    }
    // Cut off, it only is not whole yet.
    let (out, fed, clean) = heard(&[exec("aa")], b"aa ACK - 5\r\nhi");
    assert_eq!((out.len(), fed, clean), (0, Ok(()), false));
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..proptest::test_runner::Config::default()
    })]

    #[test]
    fn no_bytes_make_the_reader_panic_or_hold_more_than_its_bounds(
        pieces in proptest::collection::vec(proptest::collection::vec(0u8..=255, 0..90), 0..8),
        start in proptest::sample::select(vec![&b""[..], b"aa ACK ", b"aa ACK - 40\r\n", b"aa ACK - 0\r\n\r\n"]),
    ) {
        let mut reader = WIRE.reader();
        reader.expect(Tag(0), &exec("aa"));
        let mut out = Vec::new();
        let mut input = vec![start.to_vec()];
        input.extend(pieces);
        for piece in &input {
            if reader.feed(piece, &mut out).is_err() {
                break;
            }
        }
        proptest::prop_assert!(out.len() <= 1);
    }
}
