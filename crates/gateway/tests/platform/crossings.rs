//! Crossings within an iteration of the loop: the router runs in this process and is stepped; before each step the other side has
//! acted, as its write has returned. What needs a signal is a child process that is stopped and continued around it.

use crate::stepped_router::{id, plain, Bare, Peer, Stepped};
use crate::support::until;
use crate::test_servers::*;
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// How a client leaves.
const LEAVES: [fn(&mut Client, u32); 3] = [
    |client, number| client.interrupt(number),
    |client, _| client.stream.shutdown(std::net::Shutdown::Both).unwrap(),
    |client, _| client.reset(),
];

#[test]
fn a_call_whose_client_left_while_its_connection_came_up_is_not_sent_also_where_cancel_is_forbidden() {
    for leave in LEAVES {
        for cancel in [false, true] {
            let worker = Bare::new();
            let log = ChangeLog::start(&[("w", worker.address)]);
            let mut router = Stepped::new(plain(&log, |c| c["settings"]["limits"]["cancel"] = cancel.into()));
            let (mut client, mut other) = (router.client(), router.client());
            let number = client.send("quote", 1, 1);
            // It has been decided on, and the loop has not heard yet that the connection stands.
            let mut peer = router.accept(&worker);
            leave(&mut client, number);
            // The same connection serves the next call; nothing came before it.
            router.turns(5);
            other.send("quote", 1, 2);
            assert_eq!(router.calls_until(&mut peer, 2), [id(2)], "cancel allowed: {cancel}");
            peer.say(2, "ACK");
            assert_eq!(router.answer(&mut other), End::Served(vec![]));
        }
    }
}

#[test]
fn a_call_taken_back_in_the_read_that_brought_it_leaves_nothing_and_costs_no_connection() {
    let worker = Bare::new();
    let log = ChangeLog::start(&[("w", worker.address)]);
    let mut router = Stepped::new(plain(&log, |c| c["settings"]["limits"]["cancel"] = false.into()));
    let mut client = router.client();
    let mut peer = router.serve(&mut client, &worker, 1);
    client.send_and_interrupt("charge", 1, 2);
    router.turns(5);
    client.send("charge", 1, 3);
    assert_eq!(router.calls_until(&mut peer, 3), [id(1), id(3)]);
}

#[test]
fn a_client_that_leaves_in_the_turn_of_a_workers_refusal_starts_no_other_attempt() {
    for cancel in [false, true] {
        let worker = Bare::new();
        let log = ChangeLog::start(&[("w", worker.address)]);
        let mut router = Stepped::new(plain(&log, |c| c["settings"]["limits"]["cancel"] = cancel.into()));
        let (mut client, mut other) = (router.client(), router.client());
        let number = client.send("quote", 1, 1);
        let mut peer = router.accept(&worker);
        router.calls_until(&mut peer, 1);
        peer.say(1, "NOENT");
        client.interrupt(number);
        router.turns(5);
        other.send("quote", 1, 2);
        // Where it was taken off in time its connection was given up with it.
        let mut all = peer.calls();
        if router.router.sizes()[4] == 0 || !all.contains(&id(2)) {
            let again = router.until("the other call", |_| match peer.calls().contains(&id(2)) {
                true => Some(None),
                false => worker.listener.accept().ok().map(|a| Some(a.0)),
            });
            if let Some(stream) = again {
                stream.set_nonblocking(true).unwrap();
                let mut next = Peer { stream, text: String::new() };
                all.extend(router.calls_until(&mut next, 2));
            } else {
                all = peer.calls();
            }
        }
        assert_eq!(all, [id(1), id(2)], "cancel allowed: {cancel}");
    }
}

#[test]
fn a_router_that_stood_still_between_deciding_and_writing_hears_of_the_drain_first() {
    let worker = Bare::new();
    let log = ChangeLog::start(&[("w", worker.address)]);
    let mut router = Stepped::new(plain(&log, |_| {}));
    let mut client = router.client();
    let mut peer = router.serve(&mut client, &worker, 1);
    router.until_it_follows(&log);
    client.send("charge", 1, 2);
    // Decided, and not written yet.
    router.until("the decision", |r| (r.sizes()[5] == 1).then_some(()));
    log.tell_whole(&[("w", worker.address, "leaving")]);
    // Beyond the part of the grace (250 ms) after which its decision is old.
    std::thread::sleep(Duration::from_millis(60));
    router.turns(10);
    assert_eq!(peer.calls(), [id(1)], "something new after the drain");
    assert_eq!(router.answer(&mut client), End::Error("Throttled".into()), "it never ran");
}

#[test]
fn a_call_whose_client_came_and_left_while_the_router_stood_still_is_not_sent() {
    for leave in LEAVES {
        let worker = Bare::new();
        let log = ChangeLog::start(&[("w", worker.address)]);
        let mut router = Stepped::new(plain(&log, |c| c["settings"]["limits"]["cancel"] = false.into()));
        let (mut client, mut other) = (router.client(), router.client());
        // A connection to the worker stands, so that what is decided can leave at once.
        let mut peer = router.serve(&mut other, &worker, 1);
        let number = client.send("quote", 1, 2);
        leave(&mut client, number);
        std::thread::sleep(Duration::from_millis(60));
        router.turns(5);
        other.send("quote", 1, 3);
        assert_eq!(router.calls_until(&mut peer, 3), [id(1), id(3)]);
    }
    // The same with a process that is stopped while it waits.
    let worker = good();
    let log = ChangeLog::start(&[("w", worker.address)]);
    let router = Router::start_with(&plain(&log, |_| {}));
    ready(&router);
    let mut other = Client::connect(router.process.address);
    assert_eq!(other.call("quote", 1, 1), End::Served(b"done".to_vec()));
    let mut client = Client::connect(router.process.address);
    assert!(client.is_ready(), "it is known to the router");
    while_it_stands(&router, || {
        client.send("quote", 1, 2);
        client.stream.shutdown(std::net::Shutdown::Both).unwrap();
        std::thread::sleep(Duration::from_millis(400));
    });
    assert_eq!(other.call("quote", 1, 3), End::Served(b"done".to_vec()));
    let calls: Vec<String> = worker.calls().into_iter().map(|c| c.id).collect();
    assert_eq!(calls, [id(1), id(3)]);
}

#[test]
fn a_worker_that_is_gone_and_back_in_one_event_is_served_by() {
    let worker = Bare::new();
    let log = ChangeLog::start(&[("w", worker.address)]);
    let mut router = Stepped::new(plain(&log, |_| {}));
    let mut client = router.client();
    router.until_it_follows(&log);
    let told = log.answers();
    log.tell(&[("w", worker.address, "left"), ("w", worker.address, "active")]);
    until("the event to be heard", || {
        router.poll();
        log.answers() > told && log.waiting() == 1
    });
    router.serve(&mut client, &worker, 1);
}

#[test]
fn what_waits_for_a_worker_that_moved_goes_to_its_new_address() {
    let (old, new) = (Bare::new(), Bare::new());
    let log = ChangeLog::start(&[("w", old.address)]);
    let mut router = Stepped::new(plain(&log, |_| {}));
    let mut client = router.client();
    router.until_it_follows(&log);
    client.send("charge", 1, 1);
    let mut stale = router.accept(&old);
    log.tell_whole(&[("w", new.address, "active")]);
    let mut peer = router.accept(&new);
    assert_eq!(router.calls_until(&mut peer, 1), [id(1)]);
    assert!(stale.calls().is_empty(), "it may be another's by now");
}

#[test]
fn a_worker_that_answers_and_ends_or_meets_the_deadline_in_one_turn_leaves_one_answer() {
    // Whether the call's time is up when the router's turn begins, and whether the worker ended behind its answer.
    for (late, ends) in [(true, false), (false, true), (true, true)] {
        let worker = Bare::new();
        let log = ChangeLog::start(&[("w", worker.address)]);
        let mut router = Stepped::new(plain(&log, |_| {}));
        let mut client = router.client();
        client.send_for("charge", 1, 1, if late { 1500 } else { 2500 });
        let mut peer = router.accept(&worker);
        router.calls_until(&mut peer, 1);
        if late {
            std::thread::sleep(Duration::from_millis(1550));
        }
        peer.say(1, "ACK");
        if ends {
            peer.stream.shutdown(std::net::Shutdown::Both).unwrap();
        }
        assert_eq!(router.answer(&mut client), End::Served(vec![]), "sockets come before timers");
        client.stream.set_nonblocking(true).unwrap();
        router.turns(5);
        assert_eq!(client.answer_now(), None, "one answer");
        assert_eq!(router.router.sizes()[1..3], [0, 0]);
        assert_eq!(router.router.sizes()[5], 0, "no attempt is left");
    }
}

#[test]
fn a_charge_that_was_refused_by_a_worker_that_then_resets_goes_again_once() {
    let worker = Bare::new();
    let log = ChangeLog::start(&[("w", worker.address)]);
    let mut router = Stepped::new(plain(&log, |_| {}));
    let mut client = router.client();
    client.send("charge", 1, 1);
    let mut first = router.accept(&worker);
    router.calls_until(&mut first, 1);
    first.say(1, "NOENT");
    first.stream.shutdown(std::net::Shutdown::Both).unwrap();
    let mut second = router.accept(&worker);
    assert_eq!(router.calls_until(&mut second, 1), [id(1)]);
    second.say(1, "ACK");
    assert_eq!(router.answer(&mut client), End::Served(vec![]));
    assert!(worker.listener.accept().is_err(), "no third");
}

#[test]
fn both_copies_of_a_call_answered_in_one_turn_are_one_answer() {
    let workers = [Bare::new(), Bare::new()];
    let log = ChangeLog::start(&[("a", workers[0].address), ("b", workers[1].address)]);
    for first in [0, 1] {
        // The second copy goes out within two seconds; the call's time is far longer, so that a slow machine has it.
        let mut router =
            Stepped::new(plain(&log, |c| c["settings"]["categories"][0]["deadline"] = 20_000.into()));
        let mut client = router.client();
        client.send("quote", 1, 1);
        let (home, mut peer) = router.accept_any(&workers);
        router.calls_until(&mut peer, 1);
        peer.say(1, "ACK");
        assert_eq!(router.answer(&mut client), End::Served(vec![]));
        // Now it is silent for so long that a second copy goes to the other.
        client.send_for("quote", 1, 2, 15_000);
        router.calls_until(&mut peer, 2);
        let mut peers = [peer, router.accept(&workers[1 - home])];
        router.calls_until(&mut peers[1], 2);
        peers[first].say(2, "ACK");
        peers[1 - first].say(2, "ACK");
        assert_eq!(router.answer(&mut client), End::Served(vec![]));
        client.stream.set_nonblocking(true).unwrap();
        router.turns(5);
        assert_eq!(client.answer_now(), None, "one answer");
        assert_eq!((router.router.sizes()[1..3].to_vec(), router.router.sizes()[5]), (vec![0, 0], 0));
    }
}

#[test]
fn a_retry_decided_in_the_turn_of_a_drain_does_not_go_there() {
    // Of the two workers, the one drains to which the charge went, or the one to which it would go again; the news come before
    // the refusal or behind it.
    for (own, news_first) in [(false, true), (false, false), (true, true), (true, false)] {
        let workers = [Bare::new(), Bare::new()];
        let log = ChangeLog::start(&[("a", workers[0].address), ("b", workers[1].address)]);
        let mut router = Stepped::new(plain(&log, |_| {}));
        let mut client = router.client();
        router.until_it_follows(&log);
        client.send("charge", 1, 1);
        let (at, mut peer) = router.accept_any(&workers);
        router.calls_until(&mut peer, 1);
        let drains = if own { at } else { 1 - at };
        let tell = || {
            log.tell_whole(&[(["a", "b"][drains], workers[drains].address, "leaving")]);
        };
        if news_first {
            tell();
        }
        peer.say(1, "NOENT");
        if !news_first {
            tell();
        }
        // Nothing new to the one that drains, on the connection that stands or on another.
        let mut again = router.accept(&workers[1 - drains]);
        assert_eq!(router.calls_until(&mut again, 1), [id(1)]);
        assert!(workers[drains].listener.accept().is_err(), "own {own}, news first {news_first}");
        assert_eq!(peer.calls(), [id(1)]);
        again.say(1, "ACK");
        assert_eq!(router.answer(&mut client), End::Served(vec![]));
    }
}

#[test]
fn a_change_log_that_tells_a_byte_at_a_time_or_stops_within_an_answer_tells_its_drain() {
    let worker = Bare::new();
    let start = ChangeLog::start(&[("w", worker.address)]);
    let log = Bare::new();
    let mut router = Stepped::new(plain(&start, |c| c["changelog"] = log.address.to_string().into()));
    let mut client = router.client();
    let mut peer = router.serve(&mut client, &worker, 1);
    let member = json!({"id": "w", "host_port": worker.address.to_string(), "phase": "leaving"});
    let event = json!({"seq": 2, "fleet": {"revision": 2, "complete": false, "members": [member]}});
    let body = json!({"seq": 2, "results": [event]}).to_string();
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let (last, most) = answer.as_bytes().split_last().unwrap();
    let asked = |router: &mut Stepped| {
        let mut asked = router.accept(&log);
        router.until("the question", |_| {
            asked.calls();
            asked.text.ends_with("\r\n\r\n").then_some(())
        });
        assert!(asked.text.contains("since=1&"), "{}", asked.text);
        asked.stream
    };
    // All but the last byte, and then nothing: it is asked again on another connection, from the same event.
    let mut stopped = asked(&mut router);
    stopped.write_all(most).unwrap();
    let mut slow = asked(&mut router);
    for byte in most {
        slow.write_all(&[*byte]).unwrap();
        router.poll();
    }
    client.send("charge", 1, 2);
    assert_eq!(router.calls_until(&mut peer, 2), [id(1), id(2)], "what is not whole counts for nothing");
    peer.say(2, "ACK");
    assert_eq!(router.answer(&mut client), End::Served(vec![]));
    slow.write_all(&[*last]).unwrap();
    router.poll();
    client.send("charge", 1, 3);
    assert_eq!(router.answer(&mut client), End::Error("Throttled".into()));
    assert_eq!(peer.calls(), [id(1), id(2)], "something new after the drain");
}

/// A child that is stopped while something happens; then it goes on.
fn while_it_stands(router: &Router, what: impl FnOnce()) {
    router.process.signal("STOP");
    what();
    router.process.signal("CONT");
}

/// Clients may come for 0.8 s after SIGTERM; a router that stands still for that long wakes up after it.
const LAST_COMERS: Duration = Duration::from_millis(900);

#[test]
fn who_waits_to_be_accepted_when_the_listener_closes_is_served() {
    // Few, whose requests no turn has read yet; more than a turn accepts, and one on an open connection.
    for (late, on_open) in [(3, false), (80, true)] {
        let worker = good();
        let mut router = Router::start(&ChangeLog::start(&[("w", worker.address)]));
        ready(&router);
        let mut open = Client::connect(router.process.address);
        assert_eq!(open.call("charge", 1, 1), End::Served(b"done".to_vec()));
        router.process.signal("TERM");
        until("the stop", || router.log().contains("stopping"));
        let mut clients: Vec<Client> = Vec::new();
        while_it_stands(&router, || {
            clients.extend((0..late).map(|_| Client::connect(router.process.address)));
            for (n, client) in clients.iter_mut().enumerate() {
                client.send("charge", 1, 10 + n as u64);
            }
            if on_open {
                open.send("charge", 1, 900);
            }
            std::thread::sleep(LAST_COMERS);
        });
        for client in clients.iter_mut().chain(on_open.then_some(&mut open)) {
            assert_eq!(client.answer().1, End::Served(b"done".to_vec()));
            assert_eq!(client.answer().1, End::Closed);
        }
        assert_eq!(router.process.wait(), Some(0));
    }
}

#[test]
fn a_request_of_which_a_part_has_come_when_the_listener_closes_is_served() {
    let worker = good();
    let mut router = Router::start(&ChangeLog::start(&[("w", worker.address)]));
    ready(&router);
    let mut client = Client::connect(router.process.address);
    assert_eq!(client.call("charge", 1, 1), End::Served(b"done".to_vec()));
    let bytes = client.bytes("charge", 1, 2);
    router.process.signal("TERM");
    until("the stop", || router.log().contains("stopping"));
    client.stream.write_all(&bytes[..bytes.len() / 2]).unwrap();
    until("the listener to close", || TcpStream::connect(router.process.address).is_err());
    client.stream.write_all(&bytes[bytes.len() / 2..]).unwrap();
    assert_eq!(client.answer().1, End::Served(b"done".to_vec()));
    assert_eq!(router.process.wait(), Some(0));
}

#[test]
fn all_is_answered_before_the_platform_may_kill_whatever_the_deadlines() {
    // A worker that hangs; the longest deadline is 9 s, counted as 3 s, and 0.5 s.
    // It is answered 0.1 s before the kill, 3.7 s and 1.2 s after the signal; half a second is left to a slow machine.
    for (deadline, within) in [(9000.0, 4200), (500.0, 1700)] {
        let worker = Worker::start(|_, _| Act::Silence);
        let log = ChangeLog::start(&[("w", worker.address)]);
        let mut text = config(&log);
        for class in text["settings"]["categories"].as_array_mut().unwrap() {
            class["deadline"] = deadline.into();
        }
        let mut router = Router::start_with(&text);
        ready(&router);
        let mut client = Client::connect(router.process.address);
        router.process.signal("TERM");
        let start = Instant::now();
        until("the stop", || router.log().contains("stopping"));
        client.send_for("charge", 1, 1, deadline as u64);
        // Twice changes nothing, nor does a configuration read meanwhile.
        router.process.signal("TERM");
        router.process.signal("HUP");
        let end = client.answer().1;
        assert_eq!(end, End::Error("Broken".into()), "it may have run");
        assert!(start.elapsed() < Duration::from_millis(within), "{:?} at {deadline}", start.elapsed());
        assert_eq!(router.process.wait(), Some(0));
    }
}
