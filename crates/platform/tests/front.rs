//! Tests of the front end: parsing of client input, responses, and closing of connections.

use rmp::encode;
use slatevalve::{ClassId, Effect, Group, Micros};
use slatevalve_engine::{Answer, Call, Reason, Ticket, Verdict};
use slatevalve_platform::front::{Front, FrontOutput, FrontSettings, LinkId, RejectReason};
use slatevalve_platform::message::InvalidRequest;

const ID: &str = "9b1f03aa5c7e2d41";
/// Limit of the bytes of incomplete messages.
const INCOMPLETE_BYTES: usize = 100_000;
const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

struct Fixture {
    front: Front,
    now: Micros,
    out: Vec<FrontOutput>,
}

/// The front end's outputs by kind.
#[derive(Default)]
struct Outputs {
    written: Vec<(u64, Vec<u8>)>,
    closed: Vec<u64>,
    calls: Vec<Call>,
    abandoned: Vec<Ticket>,
    reasons: Vec<RejectReason>,
}

impl Fixture {
    fn new(connections: usize) -> Self {
        let keyed = Effect::IdempotentWithKey { group: Group::Cell, memory: Micros(6_000_000) };
        let classes = [("quote", Effect::Idempotent), ("booking", keyed), ("charge", Effect::NonIdempotent)];
        let classes = classes.map(|(name, effect)| (name.to_string(), effect)).to_vec();
        let settings = FrontSettings { classes, connections, incomplete_bytes: INCOMPLETE_BYTES };
        Fixture { front: Front::new(settings), now: Micros(1_000_000), out: Vec::new() }
    }

    fn open(&mut self, link: u64) -> Outputs {
        self.front.opened(self.now, LinkId(link), &mut self.out);
        self.take_outputs()
    }

    fn send(&mut self, link: u64, bytes: &[u8]) -> Outputs {
        self.front.received(self.now, LinkId(link), bytes, true, &mut self.out);
        self.take_outputs()
    }

    /// Advances the time by `ms` milliseconds, in steps of 50 ms.
    fn advance(&mut self, ms: i64) -> Outputs {
        for _ in 0..ms / 50 {
            self.now.0 += 50_000;
            self.front.advance(self.now, &mut self.out);
        }
        self.take_outputs()
    }

    fn answer(&mut self, ticket: Ticket, verdict: Verdict) -> Outputs {
        let answer = Answer { verdict, attempts: 1, recorded: false, version: None };
        self.front.answer(self.now, ticket, &answer, &mut self.out);
        self.take_outputs()
    }

    /// The outputs since the previous call.
    fn take_outputs(&mut self) -> Outputs {
        let mut outputs = Outputs::default();
        for output in self.out.drain(..) {
            match output {
                FrontOutput::Write(link, bytes) => outputs.written.push((link.0, bytes)),
                FrontOutput::Finish(link) => outputs.closed.push(link.0),
                FrontOutput::Call(call) => outputs.calls.push(*call),
                FrontOutput::ClientDisconnected(ticket) => outputs.abandoned.push(ticket),
                FrontOutput::Rejected(_, reason) => outputs.reasons.push(reason),
            }
        }
        outputs
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
fn a_call_is_parsed_and_its_response_carries_its_number() {
    let mut fixture = Fixture::new(8);
    fixture.open(1);
    let fields = [
        ("req", ID),
        ("timeout", "1500"),
        ("resent", "1"),
        ("opkey", KEY),
        ("subject", "7f3a9c21e0b4d655"),
        ("info", "memory_mb:512;lanes:2;load_ms:640"),
        ("later", "unknown"),
    ];
    let call = fixture.send(1, &request(7, "booking", &fields, b"\x00\xff")).calls.remove(0);
    assert_eq!(
        (call.class, call.budget, &*call.function),
        (ClassId(1), Micros(1_500_000), "7f3a9c21e0b4d655")
    );
    assert_eq!((call.key.as_deref(), call.request_id.as_deref()), (Some(KEY.as_bytes()), Some(ID)));
    assert_eq!(&*call.payload, b"\x00\xff");
    let traits = call.traits.unwrap();
    assert_eq!((traits.concurrency, traits.memory_mb, traits.load_time), (2, 512.0, Some(Micros(640_000))));
    let served = Verdict::Served { payload: b"hi".as_slice().into(), ran: None };
    let outputs = fixture.answer(call.ticket, served);
    assert_eq!(outputs.written, [(1, vec![0x94, 1, 7, 0xc0, 0x92, 0xc4, 2, b'h', b'i', 0x80])]);
    assert!(
        fixture.answer(call.ticket, Verdict::Failed(Reason::NoResult)).written.is_empty(),
        "a call gets only one response"
    );
}

#[test]
fn a_refused_call_gets_the_code_throttled_and_a_failed_one_does_not() {
    let mut fixture = Fixture::new(8);
    fixture.open(1);
    let refused = fixture.send(1, &quote(1, ID)).calls.remove(0).ticket;
    let bytes = fixture.answer(refused, Verdict::Refused(Reason::NoCapacity)).written.remove(0).1;
    assert_eq!(bytes, b"\x94\x01\x01\x92\xa9Throttled\x80\xc0");
    let failed = fixture.send(1, &quote(2, ID)).calls.remove(0).ticket;
    let bytes = fixture.answer(failed, Verdict::Failed(Reason::NoResult)).written.remove(0).1;
    assert!(!bytes.windows(9).any(|w| w == b"Throttled"));
}

#[test]
fn check_reports_readiness() {
    let mut fixture = Fixture::new(8);
    fixture.open(1);
    let check = |n: u8| vec![0x94, 0, n, 0xa5, b'c', b'h', b'e', b'c', b'k', 0x91, 0x80];
    assert_eq!(fixture.send(1, &check(1)).written, [(1, vec![0x94, 1, 1, 0xc0, 0x92, 0xc3, 0x80])]);
    fixture.front.received(fixture.now, LinkId(1), &check(2), false, &mut fixture.out);
    assert_eq!(fixture.take_outputs().written, [(1, vec![0x94, 1, 2, 0xc0, 0x92, 0xc2, 0x80])]);
}

#[test]
fn an_invalid_request_gets_an_error_and_is_not_passed_on() {
    let valid = [("req", ID), ("timeout", "1500"), ("subject", "7f3a9c21e0b4d655")];
    let with = |name: &'static str, value: &'static str| {
        let mut fields: Vec<_> = valid.iter().copied().filter(|f| f.0 != name).collect();
        fields.push((name, value));
        fields
    };
    let without = |name: &str| valid.iter().copied().filter(|f| f.0 != name).collect::<Vec<_>>();
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
        ("booking", valid.to_vec(), InvalidRequest::Missing("opkey")),
        ("booking", with("opkey", "a b\r\n"), InvalidRequest::Field("opkey")),
        ("no-such-class", valid.to_vec(), InvalidRequest::Class),
    ];
    let mut fixture = Fixture::new(8);
    fixture.open(1);
    for (n, (method, fields, reason)) in cases.into_iter().enumerate() {
        let number = n as u32 + 1;
        let outputs = fixture.send(1, &request(number, method, &fields, b""));
        assert_eq!(outputs.reasons, [RejectReason::Call(reason)]);
        assert!(outputs.calls.is_empty());
        assert_eq!(
            (outputs.written.len(), outputs.written[0].1[2]),
            (1, number as u8),
            "one error response with the number of the request"
        );
    }
    let (links, open, ids) = fixture.front.sizes();
    assert_eq!((links, open, ids), (1, 0, 0), "no state of invalid requests remains");
    assert_eq!(fixture.send(1, &quote(90, ID)).calls.len(), 1, "the connection stays usable");
}

#[test]
fn a_protocol_violation_closes_the_connection_and_abandons_its_open_requests() {
    let huge = [0x94, 0, 3, 0xa5, b'q', b'u', b'o', b't', b'e', 0x92, 0x80, 0xc6, 0x03, 0x93, 0x87, 0x00];
    let same_number = quote(2, "0000000000000001");
    let same_id = quote(3, ID);
    for bytes in [&huge[..], b"GET / HTTP/1.1\r\n\r\n", &same_number, &same_id, &[0x94, 0, 0xa0, 0xa0, 0xc0]]
    {
        let mut fixture = Fixture::new(8);
        fixture.open(1);
        let open = fixture.send(1, &quote(2, ID)).calls.remove(0).ticket;
        let outputs = fixture.send(1, bytes);
        assert_eq!((outputs.closed, outputs.abandoned), (vec![1], vec![open]), "{bytes:?}");
        assert!(outputs.calls.is_empty());
        assert_eq!(fixture.front.sizes(), (0, 0, 0));
    }
}

#[test]
fn another_connection_cannot_end_a_request_by_using_its_id() {
    let mut fixture = Fixture::new(8);
    fixture.open(1);
    fixture.open(2);
    let ticket = fixture.send(1, &quote(1, ID)).calls.remove(0).ticket;
    let outputs = fixture.send(2, &quote(1, ID));
    assert_eq!(
        (outputs.reasons, outputs.calls.len(), outputs.abandoned.len()),
        (vec![RejectReason::OpenId], 0, 0)
    );
    let served = Verdict::Served { payload: b"hi".as_slice().into(), ran: None };
    assert_eq!(fixture.answer(ticket, served).written[0].0, 1);
}

#[test]
fn too_many_open_requests_close_the_connection() {
    let mut fixture = Fixture::new(8);
    fixture.open(1);
    let all: Vec<u8> = (1..=200).flat_map(|n| quote(n, &format!("{n:016x}"))).collect();
    let outputs = fixture.send(1, &all);
    assert_eq!((outputs.calls.len(), outputs.abandoned.len(), outputs.closed), (32, 32, vec![1]));
    assert_eq!(fixture.front.sizes(), (0, 0, 0));
}

#[test]
fn an_interrupted_call_is_abandoned_and_gets_no_response() {
    let mut fixture = Fixture::new(8);
    fixture.open(1);
    let first = fixture.send(1, &quote(1, ID)).calls.remove(0).ticket;
    fixture.answer(first, Verdict::Failed(Reason::NoResult));
    let second = fixture.send(1, &quote(2, "0000000000000002")).calls.remove(0).ticket;
    let outputs = fixture.send(1, &interrupt(&[2, 1, 99]));
    assert_eq!((outputs.abandoned, outputs.closed.len()), (vec![second], 0));
    assert!(fixture.answer(second, Verdict::Failed(Reason::NoResult)).written.is_empty());
}

#[test]
fn a_connection_that_interrupts_all_its_requests_is_closed_within_three_seconds() {
    let mut fixture = Fixture::new(8);
    fixture.open(2);
    fixture.send(2, &quote(1, "0000000000000002"));
    fixture.send(2, &interrupt(&[1]));
    // The platform allows three seconds from the connect for a misbehaving client.
    assert_eq!(fixture.advance(3_000).closed, [2]);
    // Also if it keeps sending requests and interrupting them.
    fixture.open(3);
    let mut ended = Vec::new();
    for number in 1..=30 {
        fixture.send(3, &quote(number, &format!("3{number:015x}")));
        fixture.send(3, &interrupt(&[number]));
        ended.extend(fixture.advance(100).closed);
    }
    assert_eq!(ended, [3]);
}

/// Guards against closing a connection on the interrupt of its first call: a second call that was already
/// sent after the interrupt would get no response.
#[test]
fn a_call_sent_after_the_interrupt_of_the_first_one_is_answered() {
    let mut fixture = Fixture::new(8);
    fixture.open(1);
    let calls = [quote(1, ID), interrupt(&[1]), quote(2, "0000000000000002")].concat();
    let mut outputs = fixture.send(1, &calls);
    assert_eq!((outputs.calls.len(), outputs.abandoned.len(), outputs.closed.len()), (2, 1, 0));
    assert!(fixture.advance(1_400).closed.is_empty());
    let ticket = outputs.calls.pop().unwrap().ticket;
    assert_eq!(fixture.answer(ticket, Verdict::Failed(Reason::NoResult)).written.len(), 1);
}

#[test]
fn unused_and_stalled_connections_are_closed_within_three_seconds_and_idle_ones_later() {
    let mut fixture = Fixture::new(8);
    fixture.open(1);
    fixture.open(2);
    fixture.send(2, &quote(1, ID)[..9]);
    fixture.open(3);
    let ticket = fixture.send(3, &quote(1, ID)).calls.remove(0).ticket;
    assert_eq!(fixture.advance(1_900).closed, Vec::<u64>::new());
    assert_eq!(fixture.advance(800).closed, [1, 2]);
    // A connection with an open request stays open however long that takes. Normal clients close connections
    // that were idle for 4 s.
    assert!(fixture.advance(20_000).closed.is_empty());
    fixture.answer(ticket, Verdict::Failed(Reason::NoResult));
    assert!(fixture.advance(4_500).closed.is_empty());
    assert_eq!(fixture.advance(2_000).closed, [3]);
    assert_eq!(fixture.front.next_wake(), None, "no connection is left");
}

#[test]
fn unused_connections_are_evicted_for_new_ones() {
    let mut fixture = Fixture::new(4);
    fixture.open(1);
    fixture.send(1, &quote(1, ID));
    for link in 2..=4 {
        fixture.open(link);
    }
    fixture.advance(200);
    // Each new connection evicts the one that has been unused for longest.
    for link in 5..300 {
        let outputs = fixture.open(link);
        assert_eq!((outputs.closed.len(), outputs.reasons), (1, vec![RejectReason::NoRoom]));
        assert_ne!(outputs.closed, [1], "a connection with an open request is never evicted");
        fixture.advance(50);
    }
    assert_eq!(fixture.front.sizes().0, 4);
    // If all others have open requests, the new connection is closed.
    let mut fixture = Fixture::new(2);
    for link in 1..=2 {
        fixture.open(link);
        fixture.send(link, &quote(1, &format!("{link:016x}")));
    }
    assert_eq!(fixture.open(3).closed, [3]);
}

#[test]
fn no_state_of_closed_connections_remains() {
    let mut fixture = Fixture::new(16);
    for link in 1..2_000 {
        fixture.open(link);
        let call = fixture.send(link, &quote(1, &format!("{link:016x}"))).calls.remove(0);
        match link % 3 {
            0 => drop(fixture.answer(call.ticket, Verdict::Refused(Reason::NoCapacity))),
            1 => drop(fixture.send(link, &interrupt(&[1]))),
            _ => {}
        }
        fixture.front.closed(LinkId(link), &mut fixture.out);
        fixture.take_outputs();
    }
    assert_eq!(fixture.front.sizes(), (0, 0, 0));
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(23),
        failure_persistence: None,
        ..proptest::test_runner::Config::default()
    })]

    #[test]
    fn arbitrary_bytes_neither_panic_the_front_end_nor_produce_an_invalid_call(
        fragments in proptest::collection::vec(proptest::collection::vec(0u8..=255, 0..60), 0..10),
        start in proptest::sample::select(vec![0usize, 1, 9, 30, 60]),
    ) {
        let mut fixture = Fixture::new(4);
        fixture.open(1);
        fixture.send(1, &quote(1, ID)[..start]);
        for fragment in &fragments {
            for call in fixture.send(1, fragment).calls {
                proptest::prop_assert_eq!(call.function.len(), 16);
            }
        }
    }
}

/// Guards against memory that grows with the number of clients that stop within a large message (report
/// 9fde00).
#[test]
fn incomplete_messages_are_limited_together_and_the_oldest_is_closed() {
    let mut fixture = Fixture::new(100);
    let mut large = request(1, "quote", &[], &[0; 16_000]);
    large.pop();
    let fitting = (INCOMPLETE_BYTES / large.len()) as u64;
    for link in 1..=fitting {
        fixture.open(link);
        assert!(fixture.send(link, &large).closed.is_empty());
        fixture.now.0 += 1;
    }
    fixture.open(fitting + 1);
    let outputs = fixture.send(fitting + 1, &large);
    assert_eq!((outputs.closed, outputs.reasons), (vec![1], vec![RejectReason::NoRoom]));
    assert!(fixture.front.incomplete_bytes() <= INCOMPLETE_BYTES);
    // Whatever ends an incomplete message makes room.
    fixture.send(2, &[0]);
    fixture.front.closed(LinkId(3), &mut fixture.out);
    fixture.take_outputs();
    fixture.open(fitting + 2);
    assert!(fixture.send(fitting + 2, &large).closed.is_empty());
    assert_eq!(fixture.front.incomplete_bytes(), (fitting as usize - 1) * large.len());
}

/// Guards against an id that runs twice because its client left, or got its answer, before it came again (report
/// 9fde00).
#[test]
fn an_id_that_may_have_run_is_rejected_and_one_that_never_ran_is_not() {
    let mut fixture = Fixture::new(8);
    (1..=3).for_each(|link| drop(fixture.open(link)));
    fixture.send(1, &quote(1, ID));
    fixture.front.closed(LinkId(1), &mut fixture.out);
    assert_eq!(fixture.take_outputs().abandoned.len(), 1);
    let again = fixture.send(2, &quote(1, &ID.to_uppercase()));
    assert_eq!((again.calls.len(), again.reasons), (0, vec![RejectReason::UsedId]));
    let other = "0000000000000002";
    let refused = fixture.send(3, &quote(1, other)).calls.remove(0).ticket;
    fixture.answer(refused, Verdict::Refused(Reason::NoCapacity));
    let served = fixture.send(3, &quote(2, other)).calls.remove(0).ticket;
    fixture.answer(served, Verdict::Served { payload: b"".as_slice().into(), ran: None });
    assert_eq!(fixture.send(3, &quote(3, other)).reasons, [RejectReason::UsedId]);
}

#[test]
fn the_memory_of_used_ids_is_bounded_and_keeps_the_latest_ones() {
    let mut fixture = Fixture::new(8);
    fixture.open(1);
    const IDS: u32 = 100_000;
    for number in 1..=IDS {
        let ticket = fixture.send(1, &quote(number, &format!("{number:016x}"))).calls.remove(0).ticket;
        fixture.answer(ticket, Verdict::Failed(Reason::NoResult));
    }
    let reused =
        |fixture: &mut Fixture, number, id: u32| fixture.send(1, &quote(number, &format!("{id:016x}")));
    assert_eq!(reused(&mut fixture, IDS + 1, IDS - 10_000).reasons, [RejectReason::UsedId]);
    assert_eq!(reused(&mut fixture, IDS + 2, 1).calls.len(), 1, "long ago");
}
