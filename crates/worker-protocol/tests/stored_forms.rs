//! The bytes that go between the gateway and its workers, as fixed literals.
//!
//! Workers of other versions, and workers of other makes, read and write these bytes. Each literal was written by the
//! program and must stay as it is, whatever the identifiers in the code are called: the names of headers and JSON
//! members, the paths and the words are part of the protocol (`docs/worker-protocol.md`). A test that fails here says that
//! the protocol changed; the literal is not to be adapted to the code.

use slatevalve::{Outcome, Report};
use slatevalve_worker_protocol::reply::{read, ParsedReply};
use slatevalve_worker_protocol::{
    Call, HttpProtocol, Limits, LoadReport, Message, MessageReader, ParsedRequest, Reply, Side, Tag,
    WorkerProtocol, WorkerRequest,
};

const HOST: &str = "10.0.0.7:9000";

fn message(side: Side, bytes: &[u8]) -> Message {
    MessageReader::new(side, Limits::default()).feed(bytes).unwrap().expect("a whole message")
}

/// The literal decodes to the request, and the request encodes to the literal.
fn is_request(request: WorkerRequest, literal: &[u8]) {
    let written = request.encode(HOST, "gw-1");
    assert_eq!(written.escape_ascii().to_string(), literal.escape_ascii().to_string());
    let pooled = HttpProtocol { gateway: "gw-1".into(), limits: Limits::default() };
    assert_eq!(pooled.encode(HOST, Tag(5), &request), literal, "as the pool sends it");
    let asked = ParsedRequest::read(message(Side::Request, literal)).unwrap();
    assert_eq!(asked, ParsedRequest { request, gateway: Some("gw-1".into()) });
}

/// The reply is written as the literal, and the literal understood by the gateway as an answer to the request.
fn is_reply(
    reply: &Reply,
    load: Option<LoadReport>,
    queue_depth: Option<u64>,
    request: &WorkerRequest,
    literal: &[u8],
    wanted: ParsedReply,
) {
    let written = reply.encode(load, queue_depth);
    assert_eq!(written.escape_ascii().to_string(), literal.escape_ascii().to_string());
    assert_eq!(read(request, message(Side::Response, literal)), wanted);
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
    is_request(WorkerRequest::Infer(call), b"POST /v2/models/fare%20p%C3%A5slag%2F1%25/versions/3.0/infer HTTP/1.1\r\n\
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
fn the_request_of_a_call_with_the_least_headers_keeps_its_bytes() {
    let call = Call {
        function: "fare".into(),
        payload: b"pay".to_vec(),
        request_id: "9".into(),
        class: "quote".into(),
        ..Call::default()
    };
    is_request(WorkerRequest::Infer(call), b"POST /v2/models/fare/infer HTTP/1.1\r\n\
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
    is_request(
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
    is_request(
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
    is_request(
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
    is_request(
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
    let wanted = ParsedReply {
        payload: vec![0, 255],
        queue_depth: Some(4),
        ran: Some("sha256:ab".into()),
        report: Some(Report { queue: Some(3.0), inflight: Some(2.5), util: Some(0.5) }),
        ..parsed_reply(Outcome::Ok)
    };
    is_reply(&reply, Some(load), Some(4), &infer(), b"HTTP/1.1 200 OK\r\nContent-Length: 121\r\nInference-Header-Content-Length: 115\r\nX-Ran: sha256:ab\r\nX-Crowd: 4\r\nendpoint-load-metrics: JSON {\"cpu_utilization\":0.5,\"named_metrics\":{\"inflight\":2.5,\"queue\":3.0}}\r\n\r\n{\"model_name\":\"\",\"outputs\":[{\"datatype\":\"BYTES\",\"name\":\"payload\",\"parameters\":{\"binary_data_size\":6},\"shape\":[1]}]}\x02\x00\x00\x00\x00\xff", wanted);
}

#[test]
fn the_load_report_keeps_its_header_where_only_a_part_is_known() {
    let load = LoadReport { inflight: Some(2.0), ..LoadReport::default() };
    let report = Report { inflight: Some(2.0), ..Report::default() };
    let wanted = ParsedReply { report: Some(report), ..parsed_reply(Outcome::Ok) };
    is_reply(
        &Reply::Ready,
        Some(load),
        None,
        &WorkerRequest::Ready,
        b"HTTP/1.1 200 OK\r\n\
        Content-Length: 2\r\n\
        endpoint-load-metrics: JSON {\"named_metrics\":{\"inflight\":2.0}}\r\n\r\n\
        {}",
        wanted,
    );
}

#[test]
fn the_reply_of_a_full_worker_keeps_its_bytes() {
    let wanted = ParsedReply { queue_depth: Some(12), ..parsed_reply(Outcome::Full) };
    is_reply(
        &Reply::Full,
        None,
        Some(12),
        &infer(),
        b"HTTP/1.1 503 Service Unavailable\r\n\
        Content-Length: 16\r\n\
        X-Never-Ran: full\r\n\
        X-Crowd: 12\r\n\r\n\
        {\"error\":\"full\"}",
        wanted,
    );
}

#[test]
fn the_reply_of_a_worker_without_the_function_keeps_its_bytes() {
    is_reply(
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
    is_reply(
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
    is_reply(
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
fn the_reply_with_the_copies_that_stand_keeps_its_bytes() {
    let wanted = ParsedReply { copies: 2, ..parsed_reply(Outcome::Ok) };
    is_reply(
        &Reply::Copies(2),
        None,
        None,
        &load(),
        b"HTTP/1.1 200 OK\r\n\
        Content-Length: 2\r\n\
        X-Copies: 2\r\n\r\n\
        []",
        wanted,
    );
}

#[test]
fn the_reply_to_a_load_without_room_keeps_its_bytes() {
    is_reply(
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
    let wanted = ParsedReply { load_failed: true, ..parsed_reply(Outcome::Error) };
    is_reply(
        &Reply::LoadFailed,
        None,
        None,
        &load(),
        b"HTTP/1.1 500 Internal Server Error\r\n\
        Content-Length: 27\r\n\
        X-Load-Failed: 1\r\n\r\n\
        {\"error\":\"the load failed\"}",
        wanted,
    );
}

#[test]
fn header_names_are_read_in_any_case() {
    let literal = b"HTTP/1.1 503 x\r\nx-never-ran: miss\r\nX-CROWD: 7\r\ncontent-length: 0\r\n\r\n";
    let wanted = ParsedReply { queue_depth: Some(7), ..parsed_reply(Outcome::Miss) };
    assert_eq!(read(&infer(), message(Side::Response, literal)), wanted);
}
