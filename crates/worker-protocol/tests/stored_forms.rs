//! The bytes exchanged between gateways and workers, as fixed literals.
//!
//! Workers of other versions and implementations read and write these bytes. Each literal was recorded from
//! the program and must not change when identifiers in the code do: the names of headers and JSON members,
//! the paths and the keywords are part of the protocol (`docs/worker-protocol.md`). A failure here means that
//! the protocol changed; do not adapt the literal to the code.

use slatevalve::{Outcome, Report};
use slatevalve_worker_protocol::reply::{read, ParsedReply};
use slatevalve_worker_protocol::{
    Call, HttpProtocol, Limits, LoadReport, Message, MessageReader, ParsedRequest, Reply, Side, Tag,
    WorkerProtocol, WorkerRequest,
};

const HOST: &str = "10.0.0.7:9000";

fn message(side: Side, bytes: &[u8]) -> Message {
    MessageReader::new(side, Limits::default()).feed(bytes).unwrap().expect("a complete message")
}

/// The literal decodes to the request, and the request encodes to the literal.
fn assert_request_bytes(request: WorkerRequest, literal: &[u8]) {
    let encoded = request.encode(HOST, "gw-1");
    assert_eq!(encoded.escape_ascii().to_string(), literal.escape_ascii().to_string());
    let protocol = HttpProtocol { gateway: "gw-1".into(), limits: Limits::default() };
    assert_eq!(
        protocol.encode(HOST, Tag(5), &request),
        literal,
        "the connection pool must send the same bytes"
    );
    let parsed = ParsedRequest::read(message(Side::Request, literal)).unwrap();
    assert_eq!(parsed, ParsedRequest { request, gateway: Some("gw-1".into()) });
}

/// The reply encodes to the literal, and the gateway parses the literal as the reply to the request.
fn assert_reply_bytes(
    reply: &Reply,
    load: Option<LoadReport>,
    queue_depth: Option<u64>,
    request: &WorkerRequest,
    literal: &[u8],
    expected: ParsedReply,
) {
    let encoded = reply.encode(load, queue_depth);
    assert_eq!(encoded.escape_ascii().to_string(), literal.escape_ascii().to_string());
    assert_eq!(read(request, message(Side::Response, literal)), expected);
}

fn parsed_reply(outcome: Outcome) -> ParsedReply {
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

fn infer() -> WorkerRequest {
    WorkerRequest::Infer(Call { function: "fare".into(), ..Call::default() })
}

fn load() -> WorkerRequest {
    WorkerRequest::Load { function: "fare".into(), copies: 3 }
}

#[test]
fn the_request_of_a_call_with_all_its_headers_keeps_its_bytes() {
    let call = Call {
        function: "fare påslag/1%".into(),
        version: Some("3.0".into()),
        payload: vec![0, 13, 10, 255],
        key: Some(vec![1, 0xfe]),
        request_id: "77 a".into(),
        attempt: 2,
        time_remaining_ms: 900,
        class: "charge".into(),
        settings: vec![7, 8],
    };
    assert_request_bytes(WorkerRequest::Infer(call), b"POST /v2/models/fare%20p%C3%A5slag%2F1%25/versions/3.0/infer HTTP/1.1\r\n\
        Host: 10.0.0.7:9000\r\n\
        X-Gateway: gw-1\r\n\
        Inference-Header-Content-Length: 175\r\n\
        X-Request-Id: 77%20a\r\n\
        X-Attempt: 2\r\n\
        X-Time-Left-Ms: 900\r\n\
        X-Class: charge\r\n\
        X-Settings: 7,8\r\n\
        Idempotency-Key: 01fe\r\n\
        Content-Type: application/octet-stream\r\n\
        Content-Length: 183\r\n\r\n\
        {\"id\":\"77 a\",\"inputs\":[{\"datatype\":\"BYTES\",\"name\":\"payload\",\"parameters\":{\"binary_data_size\":8},\"shape\":[1]}],\"outputs\":[{\"name\":\"payload\",\"parameters\":{\"binary_data\":true}}]}\x04\x00\x00\x00\x00\r\n\
        \xff");
}

#[test]
fn the_request_of_a_call_without_optional_headers_keeps_its_bytes() {
    let call = Call {
        function: "fare".into(),
        payload: b"pay".to_vec(),
        request_id: "9".into(),
        class: "quote".into(),
        ..Call::default()
    };
    assert_request_bytes(WorkerRequest::Infer(call), b"POST /v2/models/fare/infer HTTP/1.1\r\n\
        Host: 10.0.0.7:9000\r\n\
        X-Gateway: gw-1\r\n\
        Inference-Header-Content-Length: 172\r\n\
        X-Request-Id: 9\r\n\
        X-Attempt: 0\r\n\
        X-Time-Left-Ms: 0\r\n\
        X-Class: quote\r\n\
        Content-Type: application/octet-stream\r\n\
        Content-Length: 179\r\n\r\n\
        {\"id\":\"9\",\"inputs\":[{\"datatype\":\"BYTES\",\"name\":\"payload\",\"parameters\":{\"binary_data_size\":7},\"shape\":[1]}],\"outputs\":[{\"name\":\"payload\",\"parameters\":{\"binary_data\":true}}]}\x03\x00\x00\x00pay");
}

#[test]
fn the_request_of_a_load_keeps_its_bytes() {
    assert_request_bytes(
        load(),
        b"POST /v2/repository/models/fare/load HTTP/1.1\r\n\
        Host: 10.0.0.7:9000\r\n\
        X-Gateway: gw-1\r\n\
        Content-Type: application/json\r\n\
        Content-Length: 27\r\n\r\n\
        {\"parameters\":{\"copies\":3}}",
    );
}

#[test]
fn the_request_of_the_index_keeps_its_bytes() {
    assert_request_bytes(
        WorkerRequest::Count { function: "fare".into() },
        b"POST /v2/repository/index HTTP/1.1\r\n\
        Host: 10.0.0.7:9000\r\n\
        X-Gateway: gw-1\r\n\
        Content-Type: application/json\r\n\
        Content-Length: 15\r\n\r\n\
        {\"name\":\"fare\"}",
    );
}

#[test]
fn the_request_of_an_unload_keeps_its_bytes() {
    assert_request_bytes(
        WorkerRequest::Unload { function: "fare".into() },
        b"POST /v2/repository/models/fare/unload HTTP/1.1\r\n\
        Host: 10.0.0.7:9000\r\n\
        X-Gateway: gw-1\r\n\
        Content-Type: application/json\r\n\
        Content-Length: 2\r\n\r\n\
        {}",
    );
}

#[test]
fn the_request_of_a_probe_keeps_its_bytes() {
    assert_request_bytes(
        WorkerRequest::Ready,
        b"GET /v2/health/ready HTTP/1.1\r\n\
        Host: 10.0.0.7:9000\r\n\
        X-Gateway: gw-1\r\n\
        Content-Type: application/json\r\n\
        Content-Length: 0\r\n\r\n",
    );
}

#[test]
fn the_reply_of_a_call_that_ran_keeps_its_bytes_and_its_load_report() {
    let reply = Reply::Served { payload: vec![0, 255], ran: Some("sha256:ab".into()) };
    let load = LoadReport { queue: Some(3.0), inflight: Some(2.5), util: Some(0.5) };
    let expected = ParsedReply {
        payload: vec![0, 255],
        queue_depth: Some(4),
        ran: Some("sha256:ab".into()),
        report: Some(Report { queue: Some(3.0), inflight: Some(2.5), util: Some(0.5) }),
        ..parsed_reply(Outcome::Ok)
    };
    assert_reply_bytes(&reply, Some(load), Some(4), &infer(), b"HTTP/1.1 200 OK\r\nContent-Length: 121\r\nInference-Header-Content-Length: 115\r\nX-Ran: sha256:ab\r\nX-Crowd: 4\r\nendpoint-load-metrics: JSON {\"cpu_utilization\":0.5,\"named_metrics\":{\"inflight\":2.5,\"queue\":3.0}}\r\n\r\n{\"model_name\":\"\",\"outputs\":[{\"datatype\":\"BYTES\",\"name\":\"payload\",\"parameters\":{\"binary_data_size\":6},\"shape\":[1]}]}\x02\x00\x00\x00\x00\xff", expected);
}

#[test]
fn a_load_report_with_one_metric_keeps_its_header() {
    let load = LoadReport { inflight: Some(2.0), ..LoadReport::default() };
    let report = Report { inflight: Some(2.0), ..Report::default() };
    let expected = ParsedReply { report: Some(report), ..parsed_reply(Outcome::Ok) };
    assert_reply_bytes(
        &Reply::Ready,
        Some(load),
        None,
        &WorkerRequest::Ready,
        b"HTTP/1.1 200 OK\r\n\
        Content-Length: 2\r\n\
        endpoint-load-metrics: JSON {\"named_metrics\":{\"inflight\":2.0}}\r\n\r\n\
        {}",
        expected,
    );
}

#[test]
fn the_reply_of_a_full_worker_keeps_its_bytes() {
    let expected = ParsedReply { queue_depth: Some(12), ..parsed_reply(Outcome::Full) };
    assert_reply_bytes(
        &Reply::Full,
        None,
        Some(12),
        &infer(),
        b"HTTP/1.1 503 Service Unavailable\r\n\
        Content-Length: 16\r\n\
        X-Never-Ran: full\r\n\
        X-Crowd: 12\r\n\r\n\
        {\"error\":\"full\"}",
        expected,
    );
}

#[test]
fn the_reply_of_a_worker_without_the_function_keeps_its_bytes() {
    assert_reply_bytes(
        &Reply::Miss,
        None,
        None,
        &infer(),
        b"HTTP/1.1 404 Not Found\r\n\
        Content-Length: 22\r\n\
        X-Never-Ran: miss\r\n\r\n\
        {\"error\":\"not loaded\"}",
        parsed_reply(Outcome::Miss),
    );
}

#[test]
fn the_reply_of_a_call_that_failed_keeps_its_bytes() {
    let reply = Reply::Failed("broken \"here\"".into());
    assert_reply_bytes(
        &reply,
        None,
        None,
        &infer(),
        b"HTTP/1.1 500 Internal Server Error\r\n\
        Content-Length: 27\r\n\r\n\
        {\"error\":\"broken \\\"here\\\"\"}",
        parsed_reply(Outcome::Error),
    );
}

#[test]
fn the_reply_to_a_bad_request_keeps_its_bytes() {
    let reply = Reply::BadRequest("no such thing".into());
    assert_reply_bytes(
        &reply,
        None,
        None,
        &infer(),
        b"HTTP/1.1 400 Bad Request\r\n\
        Content-Length: 25\r\n\r\n\
        {\"error\":\"no such thing\"}",
        parsed_reply(Outcome::Error),
    );
}

#[test]
fn the_reply_with_the_number_of_loaded_replicas_keeps_its_bytes() {
    let expected = ParsedReply { copies: 2, ..parsed_reply(Outcome::Ok) };
    assert_reply_bytes(
        &Reply::Copies(2),
        None,
        None,
        &load(),
        b"HTTP/1.1 200 OK\r\n\
        Content-Length: 2\r\n\
        X-Copies: 2\r\n\r\n\
        []",
        expected,
    );
}

#[test]
fn the_reply_to_a_load_rejected_for_lack_of_memory_keeps_its_bytes() {
    assert_reply_bytes(
        &Reply::NoRoom,
        None,
        None,
        &load(),
        b"HTTP/1.1 503 Service Unavailable\r\n\
        Content-Length: 19\r\n\
        X-Never-Ran: full\r\n\r\n\
        {\"error\":\"no room\"}",
        parsed_reply(Outcome::Full),
    );
}

#[test]
fn the_reply_of_a_load_that_failed_keeps_its_bytes() {
    let expected = ParsedReply { load_failed: true, ..parsed_reply(Outcome::Error) };
    assert_reply_bytes(
        &Reply::LoadFailed,
        None,
        None,
        &load(),
        b"HTTP/1.1 500 Internal Server Error\r\n\
        Content-Length: 27\r\n\
        X-Load-Failed: 1\r\n\r\n\
        {\"error\":\"the load failed\"}",
        expected,
    );
}

#[test]
fn header_names_are_read_in_any_case() {
    let literal = b"HTTP/1.1 503 x\r\nx-never-ran: miss\r\nX-CROWD: 7\r\ncontent-length: 0\r\n\r\n";
    let expected = ParsedReply { queue_depth: Some(7), ..parsed_reply(Outcome::Miss) };
    assert_eq!(read(&infer(), message(Side::Response, literal)), expected);
}
