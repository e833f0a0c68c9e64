//! Operator actions on a running gateway (worker lists, signals, settings checks) and malformed input from
//! clients.

mod support;

use slatevalve_worker_protocol::Reply;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use support::*;

/// Number of this machine's connections to a port that are not yet established (state SYN_SENT).
fn connecting(port: u16) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = table.lines().map(|l| l.split_whitespace().collect::<Vec<_>>());
    let (port, syn_sent) = (format!(":{port:04X}"), "02");
    rows.filter(|row| row[2].ends_with(&port) && row[3] == syn_sent).count()
}

#[test]
fn a_drain_cancels_calls_that_wait_for_a_connection_to_be_established() {
    // The worker's accept queue is full: the kernel drops further SYNs, and the connections stay in SYN_SENT.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(0).unwrap();
    let worker = socket.local_addr().unwrap().as_socket().unwrap();
    let _full = TcpStream::connect(worker).unwrap();
    let settings = "(limits (probes no))\n(pool (connect-timeout-ms 4000))\n(route \"quote/+\"";
    let gateway = Gateway::start(&SITE.replace("(route \"quote/+\"", settings), &[("w", worker, "")]);
    let mut client = Client::connect(gateway.address(), "a", false);
    client.publish("charge/card", 1, Some("k"), "c1", false);
    until("the load request and the call to wait for connections", || connecting(worker.port()) == 2);
    gateway.reload_workers(&[("w", worker, "(state draining)")]);
    // The accept queue has room again, so connections that are still pending are established.
    socket.accept().unwrap();
    until("no connection to be pending", || connecting(worker.port()) == 0);
    socket.set_nonblocking(true).unwrap();
    assert!(socket.accept().is_err(), "the gateway established a connection to the draining worker");
    assert_eq!(client.answer().outcome, "refused", "the call did not run and has no other worker");
}

#[test]
fn a_worker_drained_by_sighup_receives_no_new_work() {
    let slow = |_: &slatevalve_worker_protocol::Call, _: usize| {
        Action::Later(100, Reply::Served { payload: b"done".to_vec(), ran: None })
    };
    let workers: Vec<Worker> = (0..3).map(|_| Worker::start(slow)).collect();
    let list = |state| {
        [("a", workers[0].address, state), ("b", workers[1].address, ""), ("c", workers[2].address, "")]
    };
    let gateway = Gateway::start(SITE, &list(""));
    let mut client = Client::connect(gateway.address(), "a", false);
    // Calls are queued when the drain takes effect.
    for n in 0..30 {
        client.publish(&format!("quote/fare-{n}"), n + 1, None, &format!("q{n}"), false);
    }
    until("the first worker to receive a call", || workers[0].calls() > 0);
    gateway.reload_workers(&list("(state draining)"));
    // Requests sent before the reload may not be counted yet: the gateway is stopped, so that it sends
    // nothing more, until the worker has counted them.
    gateway.process.signal("STOP");
    workers[0].wait_until_idle();
    let received = workers[0].calls_and_loads();
    gateway.process.signal("CONT");
    for n in 30..60 {
        client.publish(&format!("quote/fare-{n}"), n + 1, None, &format!("q{n}"), false);
    }
    for _ in 0..60 {
        assert_eq!(client.answer().outcome, "served");
    }
    assert_eq!(
        workers[0].calls_and_loads(),
        received,
        "the worker received work after the list was reloaded"
    );
    let late = (30..60).map(|n| format!("q{n}")).filter(|q| workers[0].payloads().contains(q));
    assert_eq!(late.count(), 0, "a call made after the drain reached the draining worker");
    gateway.reload_workers(&list(""));
    for n in 60..90 {
        assert_eq!(client.call(&format!("quote/fare-{n}"), n + 1, None, "q").outcome, "served");
    }
    assert!(workers[0].calls_and_loads() > received, "the worker receives work again once it is ready");
}

#[test]
fn an_invalid_worker_list_changes_nothing_and_its_error_is_logged_with_the_file() {
    let worker = Worker::start(|_, _| served("done"));
    let gateway = Gateway::start(SITE, &[("w", worker.address, "")]);
    let text = std::fs::read_to_string(gateway.file()).unwrap();
    std::fs::write(gateway.file(), text.replace("(worker \"w\"", "(worker \"w\" (state asleep)")).unwrap();
    gateway.process.signal("HUP");
    until("the error to be logged", || gateway.log().contains("expected state ready, draining or gone"));
    assert!(gateway.log().contains("site.scm:"));
    let mut client = Client::connect(gateway.address(), "a", false);
    assert_eq!(client.call("quote/fare", 1, None, "q").outcome, "served");
}

#[test]
fn a_gateway_that_was_stopped_delivers_answers_that_arrived_meanwhile() {
    let worker =
        Worker::start(|_, _| Action::Later(200, Reply::Served { payload: b"done".to_vec(), ran: None }));
    let gateway = Gateway::start(SITE, &[("w", worker.address, "")]);
    let mut client = Client::connect(gateway.address(), "a", false);
    client.publish("charge/card", 1, Some("k"), "c1", false);
    until("the charge to reach its worker", || worker.calls() == 1);
    gateway.process.signal("STOP");
    client.publish("quote/fare", 2, None, "q1", false);
    std::thread::sleep(Duration::from_secs(1));
    gateway.process.signal("CONT");
    let mut outcomes = [client.answer(), client.answer()].map(|h| (h.call, h.outcome));
    outcomes.sort();
    assert_eq!(outcomes, [("c1".into(), "served".into()), ("q1".into(), "served".into())]);
    assert_eq!(worker.calls(), 2);
}

#[test]
fn on_sigterm_open_calls_are_finished_new_ones_refused_and_the_exit_code_is_0() {
    let worker =
        Worker::start(|_, _| Action::Later(600, Reply::Served { payload: b"done".to_vec(), ran: None }));
    let mut gateway = Gateway::start(SITE, &[("w", worker.address, "")]);
    let mut client = Client::connect(gateway.address(), "a", false);
    client.publish("charge/card", 1, Some("k"), "c1", false);
    until("the charge to reach its worker", || worker.calls() == 1);
    gateway.process.signal("TERM");
    until("the shutdown to begin", || gateway.log().contains("stopping"));
    client.publish("quote/fare", 2, None, "q1", false);
    let refused = client.answer();
    assert_eq!((refused.call.as_str(), refused.outcome.as_str()), ("q1", "refused"));
    assert_eq!(client.answer().outcome, "served");
    assert_eq!(gateway.process.wait(), Some(0));
}

#[test]
fn on_sigterm_calls_still_open_at_the_time_limit_fail_and_are_not_refused() {
    let worker = Worker::start(|_, _| Action::Silence);
    let site = format!("{SITE}\n");
    let mut gateway = Gateway::start_with("(stop-within-ms 300)", &site, &[("w", worker.address, "")]);
    let mut client = Client::connect(gateway.address(), "a", false);
    client.publish("charge/card", 1, Some("k"), "c1", false);
    until("the charge to reach its worker", || worker.calls() == 1);
    gateway.process.signal("TERM");
    assert_eq!(client.answer().outcome, "failed");
    assert_eq!(gateway.process.wait(), Some(0));
}

#[test]
fn malformed_packets_close_only_their_own_connection() {
    let worker = Worker::start(|_, _| served("done"));
    let gateway = Gateway::start(SITE, &[("w", worker.address, "")]);
    let mut good = Client::connect(gateway.address(), "good", false);
    let oversized = [&[0x30, 0xff, 0xff, 0xff, 0x7f][..], &[0; 4_000]].concat();
    let broken: [&[u8]; 4] =
        [b"GET / HTTP/1.1\r\n\r\n", &[0xf0, 0x00], &oversized, &[0x32, 0x05, 0, 9, b'a', 0, 1]];
    for (n, bytes) in broken.iter().enumerate() {
        let mut bad = Client::connect(gateway.address(), "bad", false);
        bad.send_raw(bytes);
        assert_eq!(good.call("quote/fare", n as u16 + 1, None, "q").outcome, "served");
    }
    assert!(gateway.log().contains("closed: the peer sent an invalid packet"));
}

#[test]
fn check_reports_file_line_and_form_of_each_error() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("site.scm");
    let good = format!("(gateway (name \"g\"))\n(mqtt (listen \"127.0.0.1:0\"))\n{SITE}");
    let cases = [
        (good.clone(), ""),
        (good.clone() + "(wrker \"w\")", "unknown form (wrker ...)"),
        (good.clone() + "(worker \"w\" (address \"nowhere\"))", "(address ...): expected an address"),
        (good.clone() + "(worker \"w\"", "site.scm"),
        (good.replace("(effect safe)", "(effect twice)"), ":4: (effect ...): expected safe, unsafe or keyed"),
        (
            good.replace("quote/+\" (class \"quote\")", "quote/+\" (class \"quota\")"),
            "there is no class \"quota\"",
        ),
        (good.replace("{2}", "{3}"), "a template uses level 3"),
        (good.replace("(aim-ms 300)", "(aim-ms 900)"), "aim-ms must be above 0 and at most deadline-ms"),
        (
            good + "(bridge (broker \"127.0.0.1:1\") (client-id \"c\") (group \"g\"))",
            "unsafe calls run twice",
        ),
    ];
    for (text, expected) in cases {
        std::fs::write(&file, text).unwrap();
        let output = command(&["check", file.to_str().unwrap()]);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.success(), expected.is_empty(), "{error}");
        assert!(error.contains(expected), "expected {expected:?} in {error}");
    }
}
