//! Replies of workers: what proves that a call never ran, and what is read beside the result.

use slatevalve::{Outcome, Report};
use slatevalve_worker_protocol::reply::{read, ParsedReply};
use slatevalve_worker_protocol::{Call, Limits, LoadReport, MessageReader, Reply, Side, WorkerRequest};

fn through(bytes: &[u8]) -> ParsedReply {
    let message = MessageReader::new(Side::Response, Limits::default()).feed(bytes).unwrap();
    read(&WorkerRequest::Infer(Call::default()), message.expect("whole"))
}

#[test]
fn only_the_profiles_own_header_proves_that_a_call_never_ran() {
    assert_eq!(through(&Reply::Full.encode(None, None)).outcome, Outcome::Full);
    assert_eq!(through(&Reply::Miss.encode(None, None)).outcome, Outcome::Miss);
    for status in ["404 Not Found", "429 Too Many Requests", "502 Bad Gateway", "503 Unavailable"] {
        let bare = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(through(bare.as_bytes()).outcome, Outcome::Error, "{status}");
    }
    let odd = b"HTTP/1.1 503 x\r\nX-Never-Ran: perhaps\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(through(odd).outcome, Outcome::Error);
    // A success cannot claim that it never ran.
    let served = Reply::Served { payload: b"p".to_vec(), ran: None }.encode(None, None);
    let text = String::from_utf8(served).unwrap().replace("200 OK\r\n", "200 OK\r\nX-Never-Ran: full\r\n");
    assert_eq!(through(text.as_bytes()).outcome, Outcome::Ok);
}

#[test]
fn a_result_comes_with_what_the_worker_told_beside_it() {
    let load = LoadReport { queue: Some(3.0), inflight: Some(2.0), util: Some(0.5) };
    let reply = Reply::Served { payload: vec![0, 255], ran: Some("sha256:ab".into()) };
    let parsed = through(&reply.encode(Some(load), Some(4)));
    assert_eq!((parsed.outcome, parsed.payload.as_slice()), (Outcome::Ok, &[0u8, 255][..]));
    assert_eq!((parsed.queue_depth, parsed.ran.as_deref()), (Some(4), Some("sha256:ab")));
    let report = Report { queue: Some(3.0), inflight: Some(2.0), util: Some(0.5) };
    assert_eq!(parsed.report, Some(report));
}

#[test]
fn a_success_without_a_payload_is_an_error_and_wild_reports_are_left_out() {
    let bare = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    assert_eq!(through(bare).outcome, Outcome::Error);
    let wild = b"HTTP/1.1 500 x\r\nendpoint-load-metrics: JSON {\"cpu_utilization\":-1,\"named_metrics\":{\"queue\":1e300}}\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(through(wild).report, Some(Report::default()));
}
