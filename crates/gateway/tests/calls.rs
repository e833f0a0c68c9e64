//! Calls through a running gateway while workers and connections fail, checked at the client and at the
//! workers' sockets.

mod support;

use slatevalve_worker_protocol::Reply;
use std::net::TcpListener;
use support::*;

/// Starts two workers with the same script.
fn pair(
    act: impl Fn(&slatevalve_worker_protocol::Call, usize) -> Action + Send + Sync + Clone + 'static,
) -> [Worker; 2] {
    [Worker::start(act.clone()), Worker::start(act)]
}

fn gateway_for(workers: &[Worker; 2]) -> Gateway {
    Gateway::start(SITE, &[("w1", workers[0].address, "(cell 1)"), ("w2", workers[1].address, "(cell 2)")])
}

fn total_calls(workers: &[Worker]) -> usize {
    workers.iter().map(Worker::calls).sum()
}

#[test]
fn a_call_is_served_and_its_answer_names_the_version_that_ran() {
    let workers = pair(|_, _| served("done"));
    let gateway = gateway_for(&workers);
    let mut client = Client::connect(gateway.address(), "a", false);
    let answer = client.call("quote/fare", 1, None, "q1");
    assert_eq!((answer.outcome.as_str(), answer.payload.as_str()), ("served", "done"));
    assert_eq!((answer.ran.as_deref(), answer.call.as_str()), (Some("7"), "q1"));
}

#[test]
fn a_charge_fails_and_is_not_retried_when_its_worker_closes_the_connection() {
    for act in [Action::Close, Action::Half(Reply::Served { payload: b"paid".to_vec(), ran: None })] {
        let workers = pair(move |_, _| act.clone());
        let gateway = gateway_for(&workers);
        let mut client = Client::connect(gateway.address(), "a", false);
        assert_eq!(client.call("charge/card", 1, Some("k"), "c1").outcome, "failed");
        let again = client.call("charge/card", 2, Some("k"), "c1");
        assert_eq!((again.outcome.as_str(), again.recorded), ("failed", true));
        assert_eq!(total_calls(&workers), 1);
    }
}

#[test]
fn an_error_status_without_the_protocol_header_fails_a_charge_without_a_retry() {
    for status in ["404 Not Found", "429 Too Many Requests", "503 Service Unavailable"] {
        let bytes = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").into_bytes();
        let workers = pair(move |_, _| Action::Raw(bytes.clone()));
        let gateway = gateway_for(&workers);
        let mut client = Client::connect(gateway.address(), "a", false);
        assert_eq!(client.call("charge/card", 1, Some("k"), "c1").outcome, "failed", "{status}");
        assert_eq!(total_calls(&workers), 1, "{status}");
    }
}

#[test]
fn a_charge_that_did_not_run_is_retried_on_another_worker() {
    let workers = pair(|_, _| served("paid"));
    let full = Worker::start(|_, _| Action::Answer(Reply::Full));
    let list = [("full", full.address, ""), ("w1", workers[0].address, ""), ("w2", workers[1].address, "")];
    let gateway = Gateway::start(SITE, &list);
    let mut client = Client::connect(gateway.address(), "a", false);
    // The full worker is the preferred worker of at least one of these functions.
    for n in 0..12 {
        let (topic, key) = (format!("charge/card-{n}"), format!("k{n}"));
        assert_eq!(client.call(&topic, n + 1, Some(&key), "c").outcome, "served");
    }
    assert!(full.calls() > 0, "the full worker received no call");
}

#[test]
fn charges_are_served_when_one_of_two_workers_is_unreachable() {
    // The listener is dropped at once, so connections to its port are refused.
    let unreachable = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let worker = Worker::start(|_, _| served("paid"));
    let gateway = Gateway::start(SITE, &[("down", unreachable, ""), ("up", worker.address, "")]);
    let mut client = Client::connect(gateway.address(), "a", false);
    for n in 0..8 {
        let (topic, key) = (format!("charge/card-{n}"), format!("k{n}"));
        assert_eq!(client.call(&topic, n + 1, Some(&key), "c").outcome, "served");
    }
}

#[test]
fn a_booking_that_may_have_run_is_retried_only_within_its_cell() {
    let act = |_: &slatevalve_worker_protocol::Call, n: usize| {
        if n == 0 {
            Action::Close
        } else {
            served("booked")
        }
    };
    let workers: Vec<Worker> = (0..6).map(|_| Worker::start(act)).collect();
    let cells = ["(cell 0)", "(cell 0)", "(cell 1)", "(cell 1)", "(cell 2)", "(cell 2)"];
    let names = ["a", "b", "c", "d", "e", "f"];
    let list: Vec<_> = (0..6).map(|n| (names[n], workers[n].address, cells[n])).collect();
    let gateway = Gateway::start(SITE, &list);
    let mut client = Client::connect(gateway.address(), "a", false);
    client.call("booking/ride", 1, Some("k"), "b1");
    let touched: Vec<usize> = (0..6).filter(|n| workers[*n].calls() > 0).map(|n| n / 2).collect();
    assert!(!touched.is_empty() && touched.iter().all(|cell| *cell == touched[0]), "{touched:?}");
}

#[test]
fn an_answer_after_the_deadline_is_discarded_and_the_next_call_is_served() {
    let late = |call: &slatevalve_worker_protocol::Call, _: usize| match call.class.as_str() {
        "brief" => Action::Later(1_500, Reply::Served { payload: b"late".to_vec(), ran: None }),
        _ => served("done"),
    };
    let workers = pair(late);
    let gateway = gateway_for(&workers);
    let mut client = Client::connect(gateway.address(), "a", false);
    assert_eq!(client.call("brief/card", 1, Some("k"), "c1").outcome, "failed");
    assert!(client.is_quiet(1_500));
    assert_eq!(client.call("quote/fare", 2, None, "q1").outcome, "served");
    assert_eq!(workers.iter().flat_map(Worker::payloads).filter(|p| p == "c1").count(), 1);
}

#[test]
fn a_quote_is_retried_on_another_worker_after_a_malformed_answer() {
    let bad = Worker::start(|_, _| Action::Raw(b"\x00\x01 what is this\r\n\r\n".to_vec()));
    let good = Worker::start(|_, _| served("done"));
    let gateway = Gateway::start(SITE, &[("bad", bad.address, ""), ("good", good.address, "")]);
    let mut client = Client::connect(gateway.address(), "a", false);
    for n in 0..10 {
        assert_eq!(client.call(&format!("quote/fare-{n}"), n + 1, None, "q").outcome, "served");
    }
    assert!(bad.calls() > 0, "the worker with malformed answers received no call");
}

#[test]
fn a_connection_reset_within_the_request_fails_a_charge_and_a_quote_is_retried() {
    // This worker reads the head and part of a large payload, then closes the connection with the rest
    // unread.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let breaking = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut bytes = [0; 1024];
            let count = std::io::Read::read(&mut stream, &mut bytes).unwrap_or(0);
            if bytes[..count].starts_with(b"POST /v2/models/") {
                continue;
            }
            let reply = match bytes[..count].starts_with(b"GET") {
                true => Reply::Ready,
                false => Reply::Copies(1),
            };
            let _ = std::io::Write::write_all(&mut stream, &reply.encode(None, None));
        }
    });
    let good = Worker::start(|_, _| served("done"));
    let site = SITE.replace("(route \"quote/+\"", "(pool (connect-timeout-ms 1000))\n(route \"quote/+\"");
    let gateway = Gateway::start(&site, &[("breaking", breaking, ""), ("good", good.address, "")]);
    let mut client = Client::connect(gateway.address(), "a", false);
    let large = "x".repeat(600_000);
    let mut outcomes = Vec::new();
    for n in 0..10 {
        let before = good.calls();
        let answer = client.call(&format!("charge/card-{n}"), n + 1, Some(&format!("k{n}")), &large);
        // Whatever the outcome, the charge is not sent to the other worker after part of it was written to
        // the first.
        assert_eq!(good.calls() - before, usize::from(answer.outcome == "served"));
        outcomes.push(answer.outcome);
    }
    assert!(
        outcomes.iter().any(|o| o == "failed"),
        "no charge was sent to the worker that resets connections: {outcomes:?}"
    );
    for n in 0..10 {
        assert_eq!(client.call(&format!("quote/fare-{n}"), n + 20, None, &large).outcome, "served");
    }
}
