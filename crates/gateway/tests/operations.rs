//! What operators do to a running gateway, and what strangers send it.

mod support;

use slatevalve_worker_protocol::Reply;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use support::*;

/// Connections of this machine to a port that are still coming up.
fn coming_up(port: u16) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = table.lines().map(|l| l.split_whitespace().collect::<Vec<_>>());
    let (port, syn_sent) = (format!(":{port:04X}"), "02");
    rows.filter(|row| row[2].ends_with(&port) && row[3] == syn_sent).count()
}

#[test]
fn a_drain_takes_back_what_waits_for_a_connection_that_is_coming_up() {
    // A worker whose queue of connections is full: the kernel drops what the next ones begin with, and they stay under way.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(0).unwrap();
    let worker = socket.local_addr().unwrap().as_socket().unwrap();
    let _full = TcpStream::connect(worker).unwrap();
    let waits = "(limits (probes no))\n(pool (connect-timeout-ms 4000))\n(route \"quote/+\"";
    let gateway = Gateway::start(&SITE.replace("(route \"quote/+\"", waits), &[("w", worker, "")]);
    let mut client = Client::connect(gateway.address(), "a", false);
    client.publish("charge/card", 1, Some("k"), "c1", false);
    until("the order to load and the call to wait", || coming_up(worker.port()) == 2);
    gateway.relist(&[("w", worker, "(state draining)")]);
    // From here on the worker takes connections again; those that are still under way come up.
    socket.accept().unwrap();
    until("nothing to be under way any more", || coming_up(worker.port()) == 0);
    socket.set_nonblocking(true).unwrap();
    assert!(socket.accept().is_err(), "what waited was given up before it came up");
    assert_eq!(client.answer().outcome, "refused", "it never ran and goes nowhere");
}

#[test]
fn after_a_drain_told_by_sighup_nothing_new_reaches_the_worker() {
    let slow = |_: &slatevalve_worker_protocol::Call, _: usize| {
        Action::Later(100, Reply::Served { payload: b"done".to_vec(), ran: None })
    };
    let workers: Vec<Worker> = (0..3).map(|_| Worker::start(slow)).collect();
    let list = |state| {
        [("a", workers[0].address, state), ("b", workers[1].address, ""), ("c", workers[2].address, "")]
    };
    let gateway = Gateway::start(SITE, &list(""));
    let mut client = Client::connect(gateway.address(), "a", false);
    // Calls are queued while the drain is told.
    for n in 0..30 {
        client.publish(&format!("quote/fare-{n}"), n + 1, None, &format!("q{n}"), false);
    }
    until("the first to have had calls", || workers[0].calls() > 0);
    gateway.relist(&list("(state draining)"));
    // What was sent before the list was read may still be on its way to be counted: it is waited for, and nothing can be sent
    // meanwhile.
    gateway.process.signal("STOP");
    workers[0].settled();
    let seen = workers[0].calls_and_loads();
    gateway.process.signal("CONT");
    for n in 30..60 {
        client.publish(&format!("quote/fare-{n}"), n + 1, None, &format!("q{n}"), false);
    }
    for _ in 0..60 {
        assert_eq!(client.answer().outcome, "served");
    }
    assert_eq!(workers[0].calls_and_loads(), seen, "something new came after the list was read");
    let late = (30..60).map(|n| format!("q{n}")).filter(|q| workers[0].payloads().contains(q));
    assert_eq!(late.count(), 0, "a call that came after the drain was told went there");
    gateway.relist(&list(""));
    for n in 60..90 {
        assert_eq!(client.call(&format!("quote/fare-{n}"), n + 1, None, "q").outcome, "served");
    }
    assert!(workers[0].calls_and_loads() > seen, "it is used again once it is ready");
}

#[test]
fn a_list_with_an_error_changes_nothing_and_the_log_names_the_place() {
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
fn a_gateway_that_stood_still_finds_the_answers_that_were_there_in_time() {
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
fn on_sigterm_open_calls_are_finished_new_ones_refused_and_the_exit_is_in_order() {
    let worker =
        Worker::start(|_, _| Action::Later(600, Reply::Served { payload: b"done".to_vec(), ran: None }));
    let mut gateway = Gateway::start(SITE, &[("w", worker.address, "")]);
    let mut client = Client::connect(gateway.address(), "a", false);
    client.publish("charge/card", 1, Some("k"), "c1", false);
    until("the charge to reach its worker", || worker.calls() == 1);
    gateway.process.signal("TERM");
    until("the stop to begin", || gateway.log().contains("stopping"));
    client.publish("quote/fare", 2, None, "q1", false);
    let refused = client.answer();
    assert_eq!((refused.call.as_str(), refused.outcome.as_str()), ("q1", "refused"));
    assert_eq!(client.answer().outcome, "served");
    assert_eq!(gateway.process.wait(), Some(0));
}

#[test]
fn on_sigterm_what_does_not_end_in_time_is_failed_and_not_refused() {
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
fn bytes_without_sense_close_their_connection_and_no_other_client_notices() {
    let worker = Worker::start(|_, _| served("done"));
    let gateway = Gateway::start(SITE, &[("w", worker.address, "")]);
    let mut good = Client::connect(gateway.address(), "good", false);
    let oversized = [&[0x30, 0xff, 0xff, 0xff, 0x7f][..], &[0; 4_000]].concat();
    let broken: [&[u8]; 4] =
        [b"GET / HTTP/1.1\r\n\r\n", &[0xf0, 0x00], &oversized, &[0x32, 0x05, 0, 9, b'a', 0, 1]];
    for (n, bytes) in broken.iter().enumerate() {
        let mut bad = Client::connect(gateway.address(), "bad", false);
        bad.raw(bytes);
        assert_eq!(good.call("quote/fare", n as u16 + 1, None, "q").outcome, "served");
    }
    assert!(gateway.log().contains("closed: what the peer sent cannot be taken"));
}

#[test]
fn check_names_file_line_and_form_of_what_is_wrong() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("site.scm");
    let good = format!("(gateway (name \"g\"))\n(mqtt (listen \"127.0.0.1:0\"))\n{SITE}");
    let cases = [
        (good.clone(), ""),
        (good.clone() + "(wrker \"w\")", "(wrker ...) is not known here"),
        (good.clone() + "(worker \"w\" (address \"nowhere\"))", "(address ...): expected an address"),
        (good.clone() + "(worker \"w\"", "site.scm"),
        (good.replace("(effect safe)", "(effect twice)"), ":4: (effect ...): expected safe, unsafe or keyed"),
        (
            good.replace("quote/+\" (class \"quote\")", "quote/+\" (class \"quota\")"),
            "there is no class \"quota\"",
        ),
        (good.replace("{2}", "{3}"), "level 3 is asked for"),
        (good.replace("(aim-ms 300)", "(aim-ms 900)"), "the aim lies between"),
        (
            good + "(bridge (broker \"127.0.0.1:1\") (client-id \"c\") (group \"g\"))",
            "unsafe calls run twice",
        ),
    ];
    for (text, words) in cases {
        std::fs::write(&file, text).unwrap();
        let output = command(&["check", file.to_str().unwrap()]);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.success(), words.is_empty(), "{error}");
        assert!(error.contains(words), "{words}: {error}");
    }
}
