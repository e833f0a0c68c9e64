//! Races between events within one iteration of the event loop. The router runs in the test process one
//! iteration at a time; a write of the other side has returned before the next iteration starts, so that the
//! iteration sees it. Tests that need a signal run the router as a child process that is stopped and
//! continued.

use crate::stepped_router::{config_without_probes, id, RawWorker, SteppedRouter, WorkerConnection};
use crate::support::until;
use crate::test_servers::*;
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The ways in which a client leaves: it cancels the call, closes the connection, or resets it.
const LEAVES: [fn(&mut Client, u32); 3] = [
    |client, number| client.interrupt(number),
    |client, _| client.stream.shutdown(std::net::Shutdown::Both).unwrap(),
    |client, _| client.reset(),
];

#[test]
fn a_call_whose_client_left_before_the_worker_connection_was_established_is_not_sent() {
    for leave in LEAVES {
        for cancel in [false, true] {
            let worker = RawWorker::new();
            let log = ChangeLog::start(&[("w", worker.address)]);
            let mut router = SteppedRouter::new(config_without_probes(&log, |c| {
                c["settings"]["limits"]["cancel"] = cancel.into()
            }));
            let (mut client, mut other) = (router.client(), router.client());
            let number = client.send("quote", 1, 1);
            // The call is assigned to the worker, and the loop has not yet seen that the connection is
            // established.
            let mut peer = router.accept(&worker);
            leave(&mut client, number);
            // The next call is sent on the same connection, and nothing was sent before it.
            router.poll_times(5);
            other.send("quote", 1, 2);
            assert_eq!(router.calls_until(&mut peer, 2), [id(2)], "cancel allowed: {cancel}");
            peer.reply(2, "ACK");
            assert_eq!(router.answer(&mut other), Outcome::Served(vec![]));
        }
    }
}

#[test]
fn a_call_canceled_in_the_same_read_is_not_sent_and_closes_no_connection() {
    let worker = RawWorker::new();
    let log = ChangeLog::start(&[("w", worker.address)]);
    let mut router =
        SteppedRouter::new(config_without_probes(&log, |c| c["settings"]["limits"]["cancel"] = false.into()));
    let mut client = router.client();
    let mut peer = router.serve(&mut client, &worker, 1);
    client.send_and_interrupt("charge", 1, 2);
    router.poll_times(5);
    client.send("charge", 1, 3);
    assert_eq!(router.calls_until(&mut peer, 3), [id(1), id(3)]);
}

#[test]
fn a_client_that_leaves_in_the_iteration_of_a_refusal_causes_no_retry() {
    for cancel in [false, true] {
        let worker = RawWorker::new();
        let log = ChangeLog::start(&[("w", worker.address)]);
        let mut router = SteppedRouter::new(config_without_probes(&log, |c| {
            c["settings"]["limits"]["cancel"] = cancel.into()
        }));
        let (mut client, mut other) = (router.client(), router.client());
        let number = client.send("quote", 1, 1);
        let mut peer = router.accept(&worker);
        router.calls_until(&mut peer, 1);
        peer.reply(1, "NOENT");
        client.interrupt(number);
        router.poll_times(5);
        other.send("quote", 1, 2);
        // If the attempt was canceled before the refusal was read, its connection was closed with it.
        let mut all = peer.calls();
        if router.router.sizes()[4] == 0 || !all.contains(&id(2)) {
            let again = router.until("the other client's call", |_| match peer.calls().contains(&id(2)) {
                true => Some(None),
                false => worker.listener.accept().ok().map(|a| Some(a.0)),
            });
            if let Some(stream) = again {
                stream.set_nonblocking(true).unwrap();
                let mut next = WorkerConnection { stream, text: String::new() };
                all.extend(router.calls_until(&mut next, 2));
            } else {
                all = peer.calls();
            }
        }
        assert_eq!(all, [id(1), id(2)], "cancel allowed: {cancel}");
    }
}

#[test]
fn a_router_delayed_between_decision_and_write_reads_the_drain_first() {
    let worker = RawWorker::new();
    let log = ChangeLog::start(&[("w", worker.address)]);
    let mut router = SteppedRouter::new(config_without_probes(&log, |_| {}));
    let mut client = router.client();
    let mut peer = router.serve(&mut client, &worker, 1);
    router.until_polling(&log);
    client.send("charge", 1, 2);
    // The attempt is decided but not yet written.
    router.until("the decision", |r| (r.sizes()[5] == 1).then_some(()));
    log.publish_and_wait(&[("w", worker.address, "leaving")]);
    // Longer than the part of the drain grace (250 ms) after which the decision counts as outdated.
    std::thread::sleep(Duration::from_millis(60));
    router.poll_times(10);
    assert_eq!(peer.calls(), [id(1)], "a call was sent after the drain");
    assert_eq!(router.answer(&mut client), Outcome::Error("Throttled".into()), "the call did not run");
}

#[test]
fn a_call_whose_client_came_and_left_while_the_router_was_stopped_is_not_sent() {
    for leave in LEAVES {
        let worker = RawWorker::new();
        let log = ChangeLog::start(&[("w", worker.address)]);
        let mut router = SteppedRouter::new(config_without_probes(&log, |c| {
            c["settings"]["limits"]["cancel"] = false.into()
        }));
        let (mut client, mut other) = (router.client(), router.client());
        // The connection to the worker is already open, so that a decided attempt can be sent at once.
        let mut peer = router.serve(&mut other, &worker, 1);
        let number = client.send("quote", 1, 2);
        leave(&mut client, number);
        std::thread::sleep(Duration::from_millis(60));
        router.poll_times(5);
        other.send("quote", 1, 3);
        assert_eq!(router.calls_until(&mut peer, 3), [id(1), id(3)]);
    }
    // The same with a child process that is stopped while it waits for events.
    let worker = serving_worker();
    let log = ChangeLog::start(&[("w", worker.address)]);
    let router = Router::start_with(&config_without_probes(&log, |_| {}));
    wait_until_ready(&router);
    let mut other = Client::connect(router.process.address);
    assert_eq!(other.call("quote", 1, 1), Outcome::Served(b"done".to_vec()));
    let mut client = Client::connect(router.process.address);
    assert!(client.is_ready(), "the router must have accepted the client");
    while_stopped(&router, || {
        client.send("quote", 1, 2);
        client.stream.shutdown(std::net::Shutdown::Both).unwrap();
        std::thread::sleep(Duration::from_millis(400));
    });
    assert_eq!(other.call("quote", 1, 3), Outcome::Served(b"done".to_vec()));
    let calls: Vec<String> = worker.calls().into_iter().map(|c| c.id).collect();
    assert_eq!(calls, [id(1), id(3)]);
}

#[test]
fn a_worker_removed_and_added_in_consecutive_entries_of_one_event_serves_calls() {
    let worker = RawWorker::new();
    let log = ChangeLog::start(&[("w", worker.address)]);
    let mut router = SteppedRouter::new(config_without_probes(&log, |_| {}));
    let mut client = router.client();
    router.until_polling(&log);
    let answers = log.answers();
    log.publish(&[("w", worker.address, "left"), ("w", worker.address, "active")]);
    until("the router to receive the event", || {
        router.poll();
        log.answers() > answers && log.pending_polls() == 1
    });
    router.serve(&mut client, &worker, 1);
}

#[test]
fn a_call_waiting_for_a_worker_that_moved_is_sent_to_its_new_address() {
    let (old, new) = (RawWorker::new(), RawWorker::new());
    let log = ChangeLog::start(&[("w", old.address)]);
    let mut router = SteppedRouter::new(config_without_probes(&log, |_| {}));
    let mut client = router.client();
    router.until_polling(&log);
    client.send("charge", 1, 1);
    let mut stale = router.accept(&old);
    log.publish_and_wait(&[("w", new.address, "active")]);
    let mut peer = router.accept(&new);
    assert_eq!(router.calls_until(&mut peer, 1), [id(1)]);
    assert!(stale.calls().is_empty(), "the old address may belong to another process by now");
}

#[test]
fn an_answer_in_the_iteration_of_a_close_or_deadline_is_delivered_once() {
    // `late`: the deadline has passed when the iteration starts. `closes`: the worker closes the connection
    // after its answer.
    for (late, closes) in [(true, false), (false, true), (true, true)] {
        let worker = RawWorker::new();
        let log = ChangeLog::start(&[("w", worker.address)]);
        let mut router = SteppedRouter::new(config_without_probes(&log, |_| {}));
        let mut client = router.client();
        client.send_for("charge", 1, 1, if late { 1500 } else { 2500 });
        let mut peer = router.accept(&worker);
        router.calls_until(&mut peer, 1);
        if late {
            std::thread::sleep(Duration::from_millis(1550));
        }
        peer.reply(1, "ACK");
        if closes {
            peer.stream.shutdown(std::net::Shutdown::Both).unwrap();
        }
        assert_eq!(
            router.answer(&mut client),
            Outcome::Served(vec![]),
            "sockets must be handled before timers"
        );
        client.stream.set_nonblocking(true).unwrap();
        router.poll_times(5);
        assert_eq!(client.answer_now(), None, "the call was answered twice");
        assert_eq!(router.router.sizes()[1..3], [0, 0]);
        assert_eq!(router.router.sizes()[5], 0, "an attempt is still open");
    }
}

#[test]
fn a_charge_refused_by_a_worker_that_then_closes_is_retried_once() {
    let worker = RawWorker::new();
    let log = ChangeLog::start(&[("w", worker.address)]);
    let mut router = SteppedRouter::new(config_without_probes(&log, |_| {}));
    let mut client = router.client();
    client.send("charge", 1, 1);
    let mut first = router.accept(&worker);
    router.calls_until(&mut first, 1);
    first.reply(1, "NOENT");
    first.stream.shutdown(std::net::Shutdown::Both).unwrap();
    let mut second = router.accept(&worker);
    assert_eq!(router.calls_until(&mut second, 1), [id(1)]);
    second.reply(1, "ACK");
    assert_eq!(router.answer(&mut client), Outcome::Served(vec![]));
    assert!(worker.listener.accept().is_err(), "the charge was attempted a third time");
}

#[test]
fn two_attempts_answered_in_one_iteration_yield_one_answer() {
    let workers = [RawWorker::new(), RawWorker::new()];
    let log = ChangeLog::start(&[("a", workers[0].address), ("b", workers[1].address)]);
    for first in [0, 1] {
        // The hedged attempt is sent within 2 s; the deadline is far longer, so that a slow machine meets it.
        let mut router = SteppedRouter::new(config_without_probes(&log, |c| {
            c["settings"]["categories"][0]["deadline"] = 20_000.into()
        }));
        let mut client = router.client();
        client.send("quote", 1, 1);
        let (chosen, mut peer) = router.accept_any(&workers);
        router.calls_until(&mut peer, 1);
        peer.reply(1, "ACK");
        assert_eq!(router.answer(&mut client), Outcome::Served(vec![]));
        // The worker stays silent until a hedged attempt is sent to the other one.
        client.send_for("quote", 1, 2, 15_000);
        router.calls_until(&mut peer, 2);
        let mut peers = [peer, router.accept(&workers[1 - chosen])];
        router.calls_until(&mut peers[1], 2);
        peers[first].reply(2, "ACK");
        peers[1 - first].reply(2, "ACK");
        assert_eq!(router.answer(&mut client), Outcome::Served(vec![]));
        client.stream.set_nonblocking(true).unwrap();
        router.poll_times(5);
        assert_eq!(client.answer_now(), None, "the call was answered twice");
        assert_eq!((router.router.sizes()[1..3].to_vec(), router.router.sizes()[5]), (vec![0, 0], 0));
    }
}

#[test]
fn a_retry_decided_in_the_iteration_of_a_drain_avoids_the_draining_worker() {
    // `own`: the worker that received the charge drains, otherwise the one that would receive the retry.
    // `drain_first`: the drain is published before the refusal, otherwise after it.
    for (own, drain_first) in [(false, true), (false, false), (true, true), (true, false)] {
        let workers = [RawWorker::new(), RawWorker::new()];
        let log = ChangeLog::start(&[("a", workers[0].address), ("b", workers[1].address)]);
        let mut router = SteppedRouter::new(config_without_probes(&log, |_| {}));
        let mut client = router.client();
        router.until_polling(&log);
        client.send("charge", 1, 1);
        let (chosen, mut peer) = router.accept_any(&workers);
        router.calls_until(&mut peer, 1);
        let drains = if own { chosen } else { 1 - chosen };
        let publish_drain = || {
            log.publish_and_wait(&[(["a", "b"][drains], workers[drains].address, "leaving")]);
        };
        if drain_first {
            publish_drain();
        }
        peer.reply(1, "NOENT");
        if !drain_first {
            publish_drain();
        }
        // The draining worker receives nothing more, neither on its open connection nor on a new one.
        let mut again = router.accept(&workers[1 - drains]);
        assert_eq!(router.calls_until(&mut again, 1), [id(1)]);
        assert!(
            workers[drains].listener.accept().is_err(),
            "the draining worker got a connection: own {own}, drain first {drain_first}"
        );
        assert_eq!(peer.calls(), [id(1)]);
        again.reply(1, "ACK");
        assert_eq!(router.answer(&mut client), Outcome::Served(vec![]));
    }
}

#[test]
fn a_drain_is_applied_when_the_change_log_answers_byte_by_byte_or_stops_within_an_answer() {
    let worker = RawWorker::new();
    let start = ChangeLog::start(&[("w", worker.address)]);
    let log = RawWorker::new();
    let mut router = SteppedRouter::new(config_without_probes(&start, |c| {
        c["changelog"] = log.address.to_string().into()
    }));
    let mut client = router.client();
    let mut peer = router.serve(&mut client, &worker, 1);
    let member = json!({"id": "w", "host_port": worker.address.to_string(), "phase": "leaving"});
    let event = json!({"seq": 2, "fleet": {"revision": 2, "complete": false, "members": [member]}});
    let body = json!({"seq": 2, "results": [event]}).to_string();
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let (last, beginning) = answer.as_bytes().split_last().unwrap();
    let accept_poll = |router: &mut SteppedRouter| {
        let mut poll = router.accept(&log);
        router.until("the poll of the change log", |_| {
            poll.calls();
            poll.text.ends_with("\r\n\r\n").then_some(())
        });
        assert!(poll.text.contains("since=1&"), "{}", poll.text);
        poll.stream
    };
    // The first answer stops before its last byte: the router polls again from the same event on a new
    // connection.
    let mut stopped = accept_poll(&mut router);
    stopped.write_all(beginning).unwrap();
    let mut slow = accept_poll(&mut router);
    for byte in beginning {
        slow.write_all(&[*byte]).unwrap();
        router.poll();
    }
    client.send("charge", 1, 2);
    assert_eq!(router.calls_until(&mut peer, 2), [id(1), id(2)], "an incomplete answer was applied");
    peer.reply(2, "ACK");
    assert_eq!(router.answer(&mut client), Outcome::Served(vec![]));
    slow.write_all(&[*last]).unwrap();
    router.poll();
    client.send("charge", 1, 3);
    assert_eq!(router.answer(&mut client), Outcome::Error("Throttled".into()));
    assert_eq!(peer.calls(), [id(1), id(2)], "a call was sent after the drain");
}

/// Stops the router's process, runs `action` and continues the process.
fn while_stopped(router: &Router, action: impl FnOnce()) {
    router.process.signal("STOP");
    action();
    router.process.signal("CONT");
}

/// New clients are accepted for 0.8 s after SIGTERM; a router that is stopped for this long resumes after
/// that time.
const PAST_ACCEPT_TIME: Duration = Duration::from_millis(900);

#[test]
fn who_waits_to_be_accepted_when_the_listener_closes_is_served() {
    // A few clients whose requests no iteration has read yet; then more than one iteration accepts, with
    // another request on an open connection.
    for (late, on_open) in [(3, false), (80, true)] {
        let worker = serving_worker();
        let mut router = Router::start(&ChangeLog::start(&[("w", worker.address)]));
        wait_until_ready(&router);
        let mut open = Client::connect(router.process.address);
        assert_eq!(open.call("charge", 1, 1), Outcome::Served(b"done".to_vec()));
        router.process.signal("TERM");
        until("the shutdown to begin", || router.log().contains("stopping"));
        let mut clients: Vec<Client> = Vec::new();
        while_stopped(&router, || {
            clients.extend((0..late).map(|_| Client::connect(router.process.address)));
            for (n, client) in clients.iter_mut().enumerate() {
                client.send("charge", 1, 10 + n as u64);
            }
            if on_open {
                open.send("charge", 1, 900);
            }
            std::thread::sleep(PAST_ACCEPT_TIME);
        });
        for client in clients.iter_mut().chain(on_open.then_some(&mut open)) {
            assert_eq!(client.answer().1, Outcome::Served(b"done".to_vec()));
            assert_eq!(client.answer().1, Outcome::Closed);
        }
        assert_eq!(router.process.wait(), Some(0));
    }
}

#[test]
fn a_request_partly_received_when_the_listener_closes_is_served() {
    let worker = serving_worker();
    let mut router = Router::start(&ChangeLog::start(&[("w", worker.address)]));
    wait_until_ready(&router);
    let mut client = Client::connect(router.process.address);
    assert_eq!(client.call("charge", 1, 1), Outcome::Served(b"done".to_vec()));
    let bytes = client.bytes("charge", 1, 2);
    router.process.signal("TERM");
    until("the shutdown to begin", || router.log().contains("stopping"));
    client.stream.write_all(&bytes[..bytes.len() / 2]).unwrap();
    until("the listener to close", || TcpStream::connect(router.process.address).is_err());
    client.stream.write_all(&bytes[bytes.len() / 2..]).unwrap();
    assert_eq!(client.answer().1, Outcome::Served(b"done".to_vec()));
    assert_eq!(router.process.wait(), Some(0));
}

#[test]
fn every_call_is_answered_before_the_earliest_kill_for_long_and_short_deadlines() {
    // The worker hangs. The longest deadline is 9 s, which counts as 3 s, or 0.5 s. The kill comes 3.7 s or
    // 1.2 s after the signal and the answer 0.1 s before it; the bounds leave a slow machine half a second
    // more.
    for (deadline, within) in [(9000.0, 4200), (500.0, 1700)] {
        let worker = Worker::start(|_, _| Action::Silence);
        let log = ChangeLog::start(&[("w", worker.address)]);
        let mut text = config(&log);
        for class in text["settings"]["categories"].as_array_mut().unwrap() {
            class["deadline"] = deadline.into();
        }
        let mut router = Router::start_with(&text);
        wait_until_ready(&router);
        let mut client = Client::connect(router.process.address);
        router.process.signal("TERM");
        let start = Instant::now();
        until("the shutdown to begin", || router.log().contains("stopping"));
        client.send_for("charge", 1, 1, deadline as u64);
        // Neither a second SIGTERM nor a configuration reload changes the shutdown.
        router.process.signal("TERM");
        router.process.signal("HUP");
        let end = client.answer().1;
        assert_eq!(end, Outcome::Error("Broken".into()), "the call may have run");
        assert!(start.elapsed() < Duration::from_millis(within), "{:?} at {deadline}", start.elapsed());
        assert_eq!(router.process.wait(), Some(0));
    }
}
