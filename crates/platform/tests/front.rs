//! What clients of the platform may send, and what the front makes of it.

use rmp::encode;
use slatevalve::{ClassId, Effect, Group, Micros};
use slatevalve_engine::{Answer, Call, Reason, Ticket, Verdict};
use slatevalve_platform::front::{Front, FrontOutput, FrontSettings, LinkId, RejectReason};
use slatevalve_platform::message::InvalidRequest;

const ID: &str = "9b1f03aa5c7e2d41";
const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

struct Bench {
    front: Front,
    now: Micros,
    out: Vec<FrontOutput>,
}

/// What came out since the last look: bytes by connection, connections ended, calls, and those who left.
#[derive(Default)]
struct Seen {
    written: Vec<(u64, Vec<u8>)>,
    ended: Vec<u64>,
    calls: Vec<Call>,
    left: Vec<Ticket>,
    why: Vec<RejectReason>,
}

impl Bench {
    fn new(connections: usize) -> Self {
        let keyed = Effect::IdempotentWithKey { group: Group::Cell, memory: Micros(6_000_000) };
        let classes = [("quote", Effect::Idempotent), ("booking", keyed), ("charge", Effect::NonIdempotent)];
        let classes = classes.map(|(name, effect)| (name.to_string(), effect)).to_vec();
        let settings = FrontSettings { classes, connections };
        Bench { front: Front::new(settings), now: Micros(1_000_000), out: Vec::new() }
    }

    fn open(&mut self, link: u64) -> Seen {
        self.front.opened(self.now, LinkId(link), &mut self.out);
        self.seen()
    }

    fn send(&mut self, link: u64, bytes: &[u8]) -> Seen {
        self.front.received(self.now, LinkId(link), bytes, true, &mut self.out);
        self.seen()
    }

    fn pass(&mut self, ms: i64) -> Seen {
        for _ in 0..ms / 50 {
            self.now.0 += 50_000;
            self.front.advance(self.now, &mut self.out);
        }
        self.seen()
    }

    fn answer(&mut self, ticket: Ticket, verdict: Verdict) -> Seen {
        let answer = Answer { verdict, attempts: 1, recorded: false, version: None };
        self.front.answer(self.now, ticket, &answer, &mut self.out);
        self.seen()
    }

    fn seen(&mut self) -> Seen {
        let mut seen = Seen::default();
        for output in self.out.drain(..) {
            match output {
                FrontOutput::Write(link, bytes) => seen.written.push((link.0, bytes)),
                FrontOutput::Finish(link) => seen.ended.push(link.0),
                FrontOutput::Call(call) => seen.calls.push(*call),
                FrontOutput::ClientDisconnected(ticket) => seen.left.push(ticket),
                FrontOutput::Rejected(_, why) => seen.why.push(why),
            }
        }
        seen
    }
}

fn request(number: u32, method: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    encode::write_array_len(&mut out, 4).unwrap();
    encode::write_uint(&mut out, 0).unwrap();
    encode::write_uint(&mut out, u64::from(number)).unwrap();
    encode::write_str(&mut out, method).unwrap();
    encode::write_array_len(&mut out, 2).unwrap();
    encode::write_map_len(&mut out, fields.len() as u32).unwrap();
    for (name, value) in fields {
        encode::write_str(&mut out, name).unwrap();
        encode::write_str(&mut out, value).unwrap();
    }
    encode::write_bin(&mut out, body).unwrap();
    out
}

fn quote(number: u32, id: &str) -> Vec<u8> {
    let fields = [("req", id), ("timeout", "1500"), ("subject", "7f3a9c21e0b4d655")];
    request(number, "quote", &fields, b"body")
}

fn interrupt(numbers: &[u32]) -> Vec<u8> {
    let mut out = Vec::new();
    encode::write_array_len(&mut out, 3).unwrap();
    encode::write_uint(&mut out, 2).unwrap();
    encode::write_str(&mut out, "interrupt").unwrap();
    encode::write_array_len(&mut out, numbers.len() as u32).unwrap();
    for number in numbers {
        encode::write_uint(&mut out, u64::from(*number)).unwrap();
    }
    out
}

#[test]
fn a_call_is_taken_as_its_fields_say_and_answered_under_its_number() {
    let mut bench = Bench::new(8);
    bench.open(1);
    let fields = [
        ("req", ID),
        ("timeout", "1500"),
        ("resent", "1"),
        ("opkey", KEY),
        ("subject", "7f3a9c21e0b4d655"),
        ("info", "memory_mb:512;lanes:2;load_ms:640"),
        ("later", "unknown"),
    ];
    let call = bench.send(1, &request(7, "booking", &fields, b"\x00\xff")).calls.remove(0);
    assert_eq!(
        (call.class, call.budget, &*call.function),
        (ClassId(1), Micros(1_500_000), "7f3a9c21e0b4d655")
    );
    assert_eq!((call.key.as_deref(), call.request_id.as_deref()), (Some(KEY.as_bytes()), Some(ID)));
    assert_eq!(&*call.payload, b"\x00\xff");
    let traits = call.traits.unwrap();
    assert_eq!((traits.concurrency, traits.memory_mb, traits.load_time), (2, 512.0, Some(Micros(640_000))));
    let served = Verdict::Served { payload: b"hi".as_slice().into(), ran: None };
    let seen = bench.answer(call.ticket, served);
    assert_eq!(seen.written, [(1, vec![0x94, 1, 7, 0xc0, 0x92, 0xc4, 2, b'h', b'i', 0x80])]);
    assert!(bench.answer(call.ticket, Verdict::Failed(Reason::NoResult)).written.is_empty(), "one answer");
}

#[test]
fn a_refusal_is_throttled_and_a_failure_is_not() {
    let mut bench = Bench::new(8);
    bench.open(1);
    let refused = bench.send(1, &quote(1, ID)).calls.remove(0).ticket;
    let bytes = bench.answer(refused, Verdict::Refused(Reason::NoCapacity)).written.remove(0).1;
    assert_eq!(bytes, b"\x94\x01\x01\x92\xa9Throttled\x80\xc0");
    let failed = bench.send(1, &quote(2, ID)).calls.remove(0).ticket;
    let bytes = bench.answer(failed, Verdict::Failed(Reason::NoResult)).written.remove(0).1;
    assert!(!bytes.windows(9).any(|w| w == b"Throttled"));
}

#[test]
fn check_tells_whether_the_router_is_ready() {
    let mut bench = Bench::new(8);
    bench.open(1);
    let check = |n: u8| vec![0x94, 0, n, 0xa5, b'c', b'h', b'e', b'c', b'k', 0x91, 0x80];
    assert_eq!(bench.send(1, &check(1)).written, [(1, vec![0x94, 1, 1, 0xc0, 0x92, 0xc3, 0x80])]);
    bench.front.received(bench.now, LinkId(1), &check(2), false, &mut bench.out);
    assert_eq!(bench.seen().written, [(1, vec![0x94, 1, 2, 0xc0, 0x92, 0xc2, 0x80])]);
}

#[test]
fn what_cannot_be_used_gets_an_error_and_reaches_nothing() {
    let good = [("req", ID), ("timeout", "1500"), ("subject", "7f3a9c21e0b4d655")];
    let with = |name: &'static str, value: &'static str| {
        let mut fields: Vec<_> = good.iter().copied().filter(|f| f.0 != name).collect();
        fields.push((name, value));
        fields
    };
    let without = |name: &str| good.iter().copied().filter(|f| f.0 != name).collect::<Vec<_>>();
    let cases = [
        ("quote", without("req"), InvalidRequest::Missing("req")),
        ("quote", without("timeout"), InvalidRequest::Missing("timeout")),
        ("quote", without("subject"), InvalidRequest::Missing("subject")),
        ("quote", with("req", "9b1f03aa5c7e2d4"), InvalidRequest::Field("req")),
        ("quote", with("req", "9b1f03aa 5c7e2d4"), InvalidRequest::Field("req")),
        ("quote", with("subject", "7f3a9c21e0b4d65,"), InvalidRequest::Field("subject")),
        ("quote", with("timeout", "-5"), InvalidRequest::Field("timeout")),
        ("quote", with("timeout", "0"), InvalidRequest::Field("timeout")),
        ("quote", with("timeout", "NaN"), InvalidRequest::Field("timeout")),
        ("quote", with("timeout", "1e300"), InvalidRequest::Field("timeout")),
        ("quote", with("timeout", "99999999999999999999"), InvalidRequest::Field("timeout")),
        ("quote", with("info", "lanes:x"), InvalidRequest::Field("info")),
        ("quote", with("info", "lanes:0"), InvalidRequest::Field("info")),
        ("quote", with("info", "memory_mb:-1"), InvalidRequest::Field("info")),
        ("quote", with("info", "load_ms"), InvalidRequest::Field("info")),
        ("quote", with("resent", "maybe"), InvalidRequest::Field("resent")),
        ("booking", good.to_vec(), InvalidRequest::Missing("opkey")),
        ("booking", with("opkey", "a b\r\n"), InvalidRequest::Field("opkey")),
        ("no-such-class", good.to_vec(), InvalidRequest::Class),
    ];
    let mut bench = Bench::new(8);
    bench.open(1);
    for (n, (method, fields, why)) in cases.into_iter().enumerate() {
        let number = n as u32 + 1;
        let seen = bench.send(1, &request(number, method, &fields, b""));
        assert_eq!(seen.why, [RejectReason::Call(why)]);
        assert!(seen.calls.is_empty());
        assert_eq!(
            (seen.written.len(), seen.written[0].1[2]),
            (1, number as u8),
            "one error under its number"
        );
    }
    let (links, open, ids) = bench.front.sizes();
    assert_eq!((links, open, ids), (1, 0, 0), "nothing of it stays");
    assert_eq!(bench.send(1, &quote(90, ID)).calls.len(), 1, "and the connection goes on");
}

#[test]
fn what_breaks_the_protocol_loses_its_connection_and_what_is_open_there() {
    let huge = [0x94, 0, 3, 0xa5, b'q', b'u', b'o', b't', b'e', 0x92, 0x80, 0xc6, 0x03, 0x93, 0x87, 0x00];
    let same_number = quote(2, "0000000000000001");
    let same_id = quote(3, ID);
    for bytes in [&huge[..], b"GET / HTTP/1.1\r\n\r\n", &same_number, &same_id, &[0x94, 0, 0xa0, 0xa0, 0xc0]]
    {
        let mut bench = Bench::new(8);
        bench.open(1);
        let open = bench.send(1, &quote(2, ID)).calls.remove(0).ticket;
        let seen = bench.send(1, bytes);
        assert_eq!((seen.ended, seen.left), (vec![1], vec![open]), "{bytes:?}");
        assert!(seen.calls.is_empty());
        assert_eq!(bench.front.sizes(), (0, 0, 0));
    }
}

#[test]
fn another_connection_cannot_end_a_request_by_using_its_id() {
    let mut bench = Bench::new(8);
    bench.open(1);
    bench.open(2);
    let ticket = bench.send(1, &quote(1, ID)).calls.remove(0).ticket;
    let seen = bench.send(2, &quote(1, ID));
    assert_eq!((seen.why, seen.calls.len(), seen.left.len()), (vec![RejectReason::OpenId], 0, 0));
    let served = Verdict::Served { payload: b"hi".as_slice().into(), ran: None };
    assert_eq!(bench.answer(ticket, served).written[0].0, 1);
}

#[test]
fn more_than_the_protocol_allows_ends_the_connection() {
    let mut bench = Bench::new(8);
    bench.open(1);
    let all: Vec<u8> = (1..=200).flat_map(|n| quote(n, &format!("{n:016x}"))).collect();
    let seen = bench.send(1, &all);
    assert_eq!((seen.calls.len(), seen.left.len(), seen.ended), (32, 32, vec![1]));
    assert_eq!(bench.front.sizes(), (0, 0, 0));
}

#[test]
fn an_interrupted_call_leaves_and_is_not_answered() {
    let mut bench = Bench::new(8);
    bench.open(1);
    let first = bench.send(1, &quote(1, ID)).calls.remove(0).ticket;
    bench.answer(first, Verdict::Failed(Reason::NoResult));
    let second = bench.send(1, &quote(2, ID)).calls.remove(0).ticket;
    let seen = bench.send(1, &interrupt(&[2, 1, 99]));
    assert_eq!((seen.left, seen.ended.len()), (vec![second], 0));
    assert!(bench.answer(second, Verdict::Failed(Reason::NoResult)).written.is_empty());
}

#[test]
fn a_connection_that_takes_back_all_it_asked_is_closed_within_three_seconds() {
    let mut bench = Bench::new(8);
    bench.open(2);
    bench.send(2, &quote(1, "0000000000000002"));
    bench.send(2, &interrupt(&[1]));
    // Three seconds from connecting is what the platform's page allows for a bad client.
    assert_eq!(bench.pass(3_000).ended, [2]);
    // Also where it goes on asking and taking back.
    bench.open(3);
    let mut ended = Vec::new();
    for number in 1..=30 {
        bench.send(3, &quote(number, "0000000000000003"));
        bench.send(3, &interrupt(&[number]));
        ended.extend(bench.pass(100).ended);
    }
    assert_eq!(ended, [3]);
}

/// Guards against a call that is read behind another one's taking back and gets no answer, as its connection is closed.
#[test]
fn a_call_behind_the_taking_back_of_the_first_one_is_answered() {
    let mut bench = Bench::new(8);
    bench.open(1);
    let calls = [quote(1, ID), interrupt(&[1]), quote(2, "0000000000000002")].concat();
    let mut seen = bench.send(1, &calls);
    assert_eq!((seen.calls.len(), seen.left.len(), seen.ended.len()), (2, 1, 0));
    assert!(bench.pass(1_400).ended.is_empty());
    let ticket = seen.calls.pop().unwrap().ticket;
    assert_eq!(bench.answer(ticket, Verdict::Failed(Reason::NoResult)).written.len(), 1);
}

#[test]
fn silent_and_unfinished_connections_end_within_three_seconds_and_idle_ones_later() {
    let mut bench = Bench::new(8);
    bench.open(1);
    bench.open(2);
    bench.send(2, &quote(1, ID)[..9]);
    bench.open(3);
    let ticket = bench.send(3, &quote(1, ID)).calls.remove(0).ticket;
    assert_eq!(bench.pass(1_900).ended, Vec::<u64>::new());
    assert_eq!(bench.pass(800).ended, [1, 2]);
    // One with an open request stays however long that takes; usual clients close what was idle for 4 s.
    assert!(bench.pass(20_000).ended.is_empty());
    bench.answer(ticket, Verdict::Failed(Reason::NoResult));
    assert!(bench.pass(4_500).ended.is_empty());
    assert_eq!(bench.pass(2_000).ended, [3]);
    assert_eq!(bench.front.next_wake(), None, "nothing left to watch");
}

#[test]
fn silent_connections_make_room_for_those_who_ask() {
    let mut bench = Bench::new(4);
    bench.open(1);
    bench.send(1, &quote(1, ID));
    for link in 2..=4 {
        bench.open(link);
    }
    bench.pass(200);
    // Each that comes takes the place of the one that has been silent for longest.
    for link in 5..300 {
        let seen = bench.open(link);
        assert_eq!((seen.ended.len(), seen.why), (1, vec![RejectReason::NoRoom]));
        assert_ne!(seen.ended, [1], "one with an open request never makes room");
        bench.pass(50);
    }
    assert_eq!(bench.front.sizes().0, 4);
    // Where all are busy, the new one goes.
    let mut bench = Bench::new(2);
    for link in 1..=2 {
        bench.open(link);
        bench.send(link, &quote(1, &format!("{link:016x}")));
    }
    assert_eq!(bench.open(3).ended, [3]);
}

#[test]
fn tables_end_at_their_first_size_however_many_come() {
    let mut bench = Bench::new(16);
    for link in 1..2_000 {
        bench.open(link);
        let call = bench.send(link, &quote(1, &format!("{link:016x}"))).calls.remove(0);
        match link % 3 {
            0 => drop(bench.answer(call.ticket, Verdict::Refused(Reason::NoCapacity))),
            1 => drop(bench.send(link, &interrupt(&[1]))),
            _ => {}
        }
        bench.front.closed(LinkId(link), &mut bench.out);
        bench.seen();
    }
    assert_eq!(bench.front.sizes(), (0, 0, 0));
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(23),
        failure_persistence: None,
        ..proptest::test_runner::Config::default()
    })]

    #[test]
    fn no_bytes_make_the_front_panic_or_call_with_what_is_not_whole(
        pieces in proptest::collection::vec(proptest::collection::vec(0u8..=255, 0..60), 0..10),
        start in proptest::sample::select(vec![0usize, 1, 9, 30, 60]),
    ) {
        let mut bench = Bench::new(4);
        bench.open(1);
        bench.send(1, &quote(1, ID)[..start]);
        for piece in &pieces {
            for call in bench.send(1, piece).calls {
                proptest::prop_assert_eq!(call.function.len(), 16);
            }
        }
    }
}
