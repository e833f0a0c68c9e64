//! Wire formats between the platform's clients, its routers and its workers, as fixed literals.
//!
//! Clients and workers are not part of this project. Requests to workers and answers to clients must be
//! encoded exactly as the literals, which an earlier version of the program produced, whatever the
//! identifiers in the code are called. Requests from clients and answers from workers must be parsed to
//! exactly the fields given here. A failing test means that the protocol has changed; do not adapt the
//! literal to the code.

use slatevalve::{ClassId, Effect, Group, Micros, Outcome, Report};
use slatevalve_engine::{Answer, FunctionTraits, Reason, Ticket, Verdict};
use slatevalve_platform::front::{Front, FrontOutput, FrontSettings, LinkId};
use slatevalve_platform::message::{self, ClientRequest, Message};
use slatevalve_platform::workers::LineProtocol;
use slatevalve_worker_protocol::reply::ParsedReply;
use slatevalve_worker_protocol::{Call, CompletedRequest, Tag, WorkerProtocol, WorkerRequest};

const PROTOCOL: LineProtocol = LineProtocol { max_streams: 4, reports_queue_depth: true };

fn call(key: Option<&[u8]>) -> WorkerRequest {
    WorkerRequest::Infer(Call {
        function: "7f3a9c21e0b4d655".into(),
        payload: b"a\r\nb".to_vec(),
        key: key.map(Into::into),
        request_id: "9b1f03aa5c7e2d41".into(),
        attempt: 1,
        time_remaining_ms: 1500,
        class: "fare-quote".into(),
        settings: vec![3],
        ..Call::default()
    })
}

fn load() -> WorkerRequest {
    WorkerRequest::Load { function: "7f3a9c21e0b4d655".into(), copies: 2 }
}

fn encoded(request: &WorkerRequest) -> String {
    PROTOCOL.encode("10.0.0.7:9000", Tag(12), request).escape_ascii().to_string()
}

/// Parses a worker's bytes, which must be the only answer to `request`.
fn parsed(request: &WorkerRequest, literal: &[u8]) -> ParsedReply {
    let (mut reader, mut out) = (PROTOCOL.reader(), Vec::new());
    reader.expect(Tag(12), request);
    reader.feed(literal, &mut out).unwrap();
    assert!(reader.is_reusable());
    let CompletedRequest { tag, reply } = out.remove(0);
    assert_eq!((tag, out.len()), (Tag(12), 0));
    reply
}

fn reply(outcome: Outcome) -> ParsedReply {
    ParsedReply {
        outcome,
        payload: Vec::new(),
        copies: 0,
        queue_depth: None,
        load_failed: false,
        ran: None,
        report: None,
    }
}

#[test]
fn the_line_of_a_call_keeps_its_bytes() {
    let literal = r"exec 9b1f03aa5c7e2d41 profile=fare-quote,thing=7f3a9c21e0b4d655,max=1500 4\r\na\r\nb\r\n";
    assert_eq!(encoded(&call(None)), literal);
}

#[test]
fn the_line_of_a_call_with_a_key_keeps_its_bytes() {
    let literal = r"exec 9b1f03aa5c7e2d41 profile=fare-quote,thing=7f3a9c21e0b4d655,max=1500,replay=5c0f 4\r\na\r\nb\r\n";
    assert_eq!(encoded(&call(Some(b"5c0f"))), literal);
}

#[test]
fn the_line_that_cancels_a_call_keeps_its_bytes() {
    assert_eq!(PROTOCOL.encode_cancel(&call(None)).unwrap(), b"drop 9b1f03aa5c7e2d41\r\n");
    assert_eq!(PROTOCOL.encode_cancel(&load()), None);
}

#[test]
fn the_line_of_a_load_request_keeps_its_bytes() {
    assert_eq!(encoded(&load()), r"ensure t12 thing=7f3a9c21e0b4d655,copies=2\r\n");
}

#[test]
fn the_line_of_a_count_request_keeps_its_bytes() {
    let count = WorkerRequest::Count { function: "7f3a9c21e0b4d655".into() };
    assert_eq!(encoded(&count), r"ensure t12 thing=7f3a9c21e0b4d655,copies=0\r\n");
}

#[test]
fn the_line_of_an_unload_keeps_its_bytes() {
    let unload = WorkerRequest::Unload { function: "7f3a9c21e0b4d655".into() };
    assert_eq!(encoded(&unload), r"release 7f3a9c21e0b4d655\r\n");
}

#[test]
fn the_line_of_a_probe_keeps_its_bytes() {
    assert_eq!(encoded(&WorkerRequest::Ready), r"load t12\r\n");
}

#[test]
fn each_status_of_a_workers_answer_to_a_call_is_parsed() {
    let cases: [(&[u8], Outcome); 7] = [
        (b"9b1f03aa5c7e2d41 ACK - 2\r\nhi\r\n", Outcome::Ok),
        (b"9b1f03aa5c7e2d41 READY - 2\r\nhi\r\n", Outcome::Ok),
        (b"9b1f03aa5c7e2d41 NOENT - 0\r\n\r\n", Outcome::Miss),
        (b"9b1f03aa5c7e2d41 AGAIN - 0\r\n\r\n", Outcome::Full),
        (b"9b1f03aa5c7e2d41 EIO - 0\r\n\r\n", Outcome::Error),
        (b"9b1f03aa5c7e2d41 AILING - 0\r\n\r\n", Outcome::Error),
        (b"9b1f03aa5c7e2d41 STALE - 0\r\n\r\n", Outcome::NotSent),
    ];
    for (literal, outcome) in cases {
        assert_eq!(parsed(&call(None), literal).outcome, outcome, "{}", literal.escape_ascii());
    }
}

#[test]
fn the_fields_of_a_workers_answer_to_a_call_are_parsed() {
    let ran = b"9b1f03aa5c7e2d41 ACK queue_fn=3,report=queue:2.5;inflight:7;util:0.61 2\r\nhi\r\n";
    let report = Some(Report { queue: Some(2.5), inflight: Some(7.0), util: Some(0.61) });
    let expected =
        ParsedReply { payload: b"hi".to_vec(), queue_depth: Some(3), report, ..reply(Outcome::Ok) };
    assert_eq!(parsed(&call(None), ran), expected);
    let failed = b"9b1f03aa5c7e2d41 EIO remark=f 0\r\n\r\n";
    assert_eq!(parsed(&call(None), failed), ParsedReply { load_failed: true, ..reply(Outcome::Error) });
}

#[test]
fn the_answers_to_a_load_request_and_a_probe_are_parsed() {
    let expected = ParsedReply { copies: 2, ..reply(Outcome::Ok) };
    assert_eq!(parsed(&load(), b"t12 READY copies=2 0\r\n\r\n"), expected);
    let probe = b"t12 READY report=backlog:2.5;outstanding:7;utilization:0.5 0\r\n\r\n";
    let report = Some(Report { queue: Some(2.5), inflight: Some(7.0), util: Some(0.5) });
    assert_eq!(parsed(&WorkerRequest::Ready, probe), ParsedReply { report, ..reply(Outcome::Ok) });
}

/// `[0, 7, "booking", [{...}, body]]` with every known field.
const REQUEST: &[u8] = b"\x94\x00\x07\xa7booking\x92\x86\
    \xa3req\xb09b1f03aa5c7e2d41\
    \xa7timeout\xa41500\
    \xa6resent\xa11\
    \xa5opkey\xa45c0f\
    \xa7subject\xb07f3a9c21e0b4d655\
    \xa4info\xd9\x2fmemory_mb:512.5;lanes:2;load_ms:640;work_ms:9.5\
    \xc4\x02\x00\xff";
/// `[0, 8, "check"]` with its empty parameters.
const CHECK: &[u8] = b"\x94\x00\x08\xa5check\x91\x80";
/// `[2, "interrupt", [7, 300]]`.
const INTERRUPT: &[u8] = b"\x93\x02\xa9interrupt\x92\x07\xcd\x01\x2c";

#[test]
fn a_clients_request_is_parsed_with_every_field() {
    let request = ClientRequest {
        id: "9b1f03aa5c7e2d41".into(),
        class: "booking".into(),
        function: "7f3a9c21e0b4d655".into(),
        timeout: Micros(1_500_000),
        resent: true,
        key: Some("5c0f".into()),
        traits: FunctionTraits {
            concurrency: 2,
            work: Some(Micros(9_500)),
            load_time: Some(Micros(640_000)),
            memory_mb: 512.5,
        },
        body: vec![0, 255],
    };
    assert_eq!(message::read(REQUEST), Ok(Message::Call { number: 7, request: Ok(request) }));
}

#[test]
fn a_clients_check_and_interrupt_are_parsed() {
    assert_eq!(message::read(CHECK), Ok(Message::Check { number: 8 }));
    assert_eq!(message::read(INTERRUPT), Ok(Message::Interrupt(vec![7, 300])));
}

/// The bytes that the front end writes for a call that ends with `verdict`.
fn answer_bytes(verdict: Verdict) -> Vec<u8> {
    let keyed = Effect::IdempotentWithKey { group: Group::Cell, memory: Micros(6_000_000) };
    let classes = vec![("quote".to_string(), Effect::Idempotent), ("booking".to_string(), keyed)];
    let mut front = Front::new(FrontSettings { classes, connections: 4, incomplete_bytes: usize::MAX });
    let mut out = Vec::new();
    front.opened(Micros(0), LinkId(1), &mut out);
    front.received(Micros(0), LinkId(1), REQUEST, true, &mut out);
    let ticket: Vec<Ticket> = out
        .drain(..)
        .map(|output| match output {
            FrontOutput::Call(call) => {
                assert_eq!(call.class, ClassId(1));
                call.ticket
            }
            other => panic!("{other:?}"),
        })
        .collect();
    let answer = Answer { verdict, attempts: 1, recorded: false, version: None };
    front.answer(Micros(0), ticket[0], &answer, &mut out);
    match out.as_slice() {
        [FrontOutput::Write(LinkId(1), bytes)] => bytes.clone(),
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_answer_to_a_served_call_keeps_its_bytes() {
    let verdict = Verdict::Served { payload: b"\x00hi".as_slice().into(), ran: Some("1.0".into()) };
    assert_eq!(answer_bytes(verdict), b"\x94\x01\x07\xc0\x92\xc4\x03\x00hi\x80");
}

#[test]
fn the_answer_to_a_refused_call_keeps_its_bytes() {
    assert_eq!(answer_bytes(Verdict::Refused(Reason::NoCapacity)), b"\x94\x01\x07\x92\xa9Throttled\x80\xc0");
}

#[test]
fn the_answer_to_a_failed_call_keeps_its_bytes() {
    assert_eq!(answer_bytes(Verdict::Failed(Reason::NoCapacity)), b"\x94\x01\x07\x92\xa6Broken\x80\xc0");
}

#[test]
fn the_answer_to_an_invalid_request_keeps_its_bytes() {
    let mut front =
        Front::new(FrontSettings { classes: Vec::new(), connections: 4, incomplete_bytes: usize::MAX });
    let mut out = Vec::new();
    front.opened(Micros(0), LinkId(1), &mut out);
    front.received(Micros(0), LinkId(1), REQUEST, true, &mut out);
    let Some(FrontOutput::Write(_, bytes)) = out.last() else { panic!("{out:?}") };
    assert_eq!(bytes, b"\x94\x01\x07\x92\xa8Unusable\x80\xc0");
}

#[test]
fn the_answer_to_check_keeps_its_bytes() {
    for (ready, literal) in
        [(true, b"\x94\x01\x08\xc0\x92\xc3\x80"), (false, b"\x94\x01\x08\xc0\x92\xc2\x80")]
    {
        let mut front =
            Front::new(FrontSettings { classes: Vec::new(), connections: 4, incomplete_bytes: usize::MAX });
        let mut out = Vec::new();
        front.opened(Micros(0), LinkId(1), &mut out);
        front.received(Micros(0), LinkId(1), CHECK, ready, &mut out);
        let [FrontOutput::Write(LinkId(1), bytes)] = out.as_slice() else { panic!("{out:?}") };
        assert_eq!(bytes, literal);
    }
}
