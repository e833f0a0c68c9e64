//! Replies of workers: which responses prove that a call never ran, and the values that come with a result.

use slatevalve::{Outcome, Report};
use slatevalve_worker_protocol::reply::{read, ParsedReply};
use slatevalve_worker_protocol::{Call, Limits, LoadReport, MessageReader, Reply, Side, WorkerRequest};

fn parse(bytes: &[u8]) -> ParsedReply {
    let message = MessageReader::new(Side::Response, Limits::default()).feed(bytes).unwrap();
    read(&WorkerRequest::Infer(Call::default()), message.expect("a complete message"))
}

#[test]
fn only_the_profiles_own_header_proves_that_a_call_never_ran() {
    assert_eq!(parse(&Reply::Full.encode(None, None)).outcome, Outcome::Full);
    assert_eq!(parse(&Reply::Miss.encode(None, None)).outcome, Outcome::Miss);
    for status in ["404 Not Found", "429 Too Many Requests", "502 Bad Gateway", "503 Unavailable"] {
        let without_header = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(parse(without_header.as_bytes()).outcome, Outcome::Error, "{status}");
    }
    let unknown_value = b"HTTP/1.1 503 x\r\nX-Never-Ran: perhaps\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(parse(unknown_value).outcome, Outcome::Error);
    // The header is ignored in a successful response.
    let served = Reply::Served { payload: b"p".to_vec(), ran: None }.encode(None, None);
    let text = String::from_utf8(served).unwrap().replace("200 OK\r\n", "200 OK\r\nX-Never-Ran: full\r\n");
    assert_eq!(parse(text.as_bytes()).outcome, Outcome::Ok);
}

#[test]
fn a_result_is_parsed_with_queue_depth_version_and_load_report() {
    let load = LoadReport { queue: Some(3.0), inflight: Some(2.0), util: Some(0.5) };
    let reply = Reply::Served { payload: vec![0, 255], ran: Some("sha256:ab".into()) };
    let parsed = parse(&reply.encode(Some(load), Some(4)));
    assert_eq!((parsed.outcome, parsed.payload.as_slice()), (Outcome::Ok, &[0u8, 255][..]));
    assert_eq!((parsed.queue_depth, parsed.ran.as_deref()), (Some(4), Some("sha256:ab")));
    let report = Report { queue: Some(3.0), inflight: Some(2.0), util: Some(0.5) };
    assert_eq!(parsed.report, Some(report));
}

#[test]
fn a_success_without_a_payload_is_an_error_and_out_of_range_metrics_are_ignored() {
    let without_payload = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    assert_eq!(parse(without_payload).outcome, Outcome::Error);
    let out_of_range = b"HTTP/1.1 500 x\r\nendpoint-load-metrics: JSON {\"cpu_utilization\":-1,\"named_metrics\":{\"queue\":1e300}}\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(parse(out_of_range).report, Some(Report::default()));
}
