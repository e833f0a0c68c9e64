//! The platform's router as a child process, tested over its sockets with misbehaving workers, clients and
//! change logs.

mod busy_shutdown;
mod crossings;
mod fleet_size;
mod full_speed;
mod list_outage;
mod replaced_worker;
mod soak;
mod stepped_router;
#[path = "../support/mod.rs"]
mod support;
mod test_servers;

use std::collections::HashMap;
use std::io::{Read, Write};
use std::time::{Duration, Instant};
use support::until;
use test_servers::*;

fn served() -> Outcome {
    Outcome::Served(b"done".to_vec())
}

fn refused() -> Outcome {
    Outcome::Error("Throttled".into())
}

#[test]
fn calls_of_each_class_are_served_and_forwarded_unchanged() {
    let worker = serving_worker();
    let router = Router::start(&ChangeLog::start(&[("w", worker.address)]));
    wait_until_ready(&router);
    let mut client = Client::connect(router.process.address);
    for (tag, class) in ["quote", "booking", "charge"].into_iter().enumerate() {
        assert_eq!(client.call(class, 0xabc, 100 + tag as u64), served());
        let received = worker.calls().pop().unwrap();
        let id = format!("{:016x}", 100 + tag);
        assert_eq!((&received.id, received.body), (&id, format!("body-{}", 100 + tag).into_bytes()));
        let fields: HashMap<_, _> = received.fields.split(',').filter_map(|f| f.split_once('=')).collect();
        assert_eq!((fields["profile"], fields["thing"]), (class, "0000000000000abc"));
        assert_eq!(fields.get("replay"), (class == "booking").then_some(&id.as_str()));
        assert!(fields["max"].parse::<u32>().is_ok_and(|ms| (1..=2500).contains(&ms)));
    }
    // The worker reads load requests on another thread than calls and may count one only after it has
    // answered the calls. Once the router has ended, only what it had already sent can still arrive.
    drop((client, router));
    until("the load request to be counted", || worker.load_requests() > 0);
}

#[test]
fn a_charge_is_retried_only_if_it_did_not_run_and_a_quote_always() {
    // The response to the first attempt, and whether a charge may then be retried.
    let cases = [
        (Action::Reply("NOENT", vec![]), true),
        (Action::Reply("AGAIN", vec![]), true),
        (Action::Reply("STALE", vec![]), true),
        (Action::Reply("EIO", vec![]), false),
        (Action::Reply("WHAT", vec![]), false),
        (Action::Close, false),
        (Action::Truncate, false),
        (Action::Raw(b" ACK - 3000000000\r\n".to_vec()), false),
        (Action::Raw(vec![b'x'; 5000]), false),
    ];
    for (n, (action, is_retried)) in cases.into_iter().enumerate() {
        let first = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true));
        let worker = || {
            let (first, action) = (first.clone(), action.clone());
            Worker::start(move |_, _| match first.swap(false, std::sync::atomic::Ordering::SeqCst) {
                true => action.clone(),
                false => Action::Reply("ACK", b"done".to_vec()),
            })
        };
        let workers = [worker(), worker()];
        let router =
            Router::start(&ChangeLog::start(&[("a", workers[0].address), ("b", workers[1].address)]));
        wait_until_ready(&router);
        let mut client = Client::connect(router.process.address);
        let end = client.call("charge", 7, n as u64);
        let runs = workers.iter().map(|w| w.calls().len()).sum::<usize>();
        if is_retried {
            assert_eq!((end, runs), (served(), 2), "{action:?}");
        } else {
            assert_ne!(end, refused(), "{action:?}: it may have run");
            assert!(matches!(end, Outcome::Error(_)) && runs == 1, "{action:?}: {runs}");
        }
        // A safe call is retried whatever the first response was.
        first.store(true, std::sync::atomic::Ordering::SeqCst);
        assert_eq!(client.call("quote", 7, 1_000 + n as u64), served(), "{action:?}");
    }
}

#[test]
fn answers_next_to_duplicate_or_unknown_answers_are_accepted() {
    let extra = |received: &ReceivedCall, n: usize| match n % 3 {
        0 => Action::Raw(format!(" ACK - 4\r\ndone\r\n{} ACK - 4\r\ndone\r\n", received.id).into_bytes()),
        1 => Action::Raw(format!("zz ACK - 2\r\nhi\r\n{} ACK - 4\r\ndone\r\n", received.id).into_bytes()),
        _ => Action::Reply("ACK", b"done".to_vec()),
    };
    let worker = Worker::start(extra);
    let router = Router::start(&ChangeLog::start(&[("w", worker.address)]));
    wait_until_ready(&router);
    let mut client = Client::connect(router.process.address);
    for tag in 0..30 {
        assert_eq!(client.call("charge", 7, tag), served());
    }
}

#[test]
fn a_charge_to_a_silent_worker_fails_and_is_sent_once() {
    let worker = Worker::start(|_, _| Action::Silence);
    let router = Router::start(&ChangeLog::start(&[("w", worker.address)]));
    wait_until_ready(&router);
    let mut client = Client::connect(router.process.address);
    assert_eq!(client.call("charge", 1, 1), Outcome::Error("Broken".into()));
    assert_eq!(worker.calls().len(), 1);
}

#[test]
fn a_worker_that_is_not_there_costs_a_charge_nothing() {
    let (worker, closed) = (serving_worker(), std::net::TcpListener::bind("127.0.0.1:0").unwrap());
    let unreachable = closed.local_addr().unwrap();
    drop(closed);
    let router = Router::start(&ChangeLog::start(&[("w", worker.address), ("x", unreachable)]));
    wait_until_ready(&router);
    let mut client = Client::connect(router.process.address);
    for tag in 0..20 {
        assert_eq!(client.call("charge", tag, tag), served());
    }
}

#[test]
fn a_drained_worker_receives_no_new_call_and_its_successor_at_the_same_address_does() {
    let (a, b) = (serving_worker(), serving_worker());
    let log = ChangeLog::start(&[("a", a.address), ("b", b.address)]);
    let router = Router::start(&log);
    wait_until_ready(&router);
    let mut client = Client::connect(router.process.address);
    let mut tag = 0;
    let mut calls = |client: &mut Client, n: u64| {
        for _ in 0..n {
            tag += 1;
            assert_eq!(client.call("quote", tag % 40, tag), served());
        }
    };
    calls(&mut client, 80);
    assert!(!a.calls().is_empty() && !b.calls().is_empty());
    // The first two answers with the event are truncated.
    log.truncate_next(2);
    log.publish(&[("a", a.address, "leaving")]);
    until("the router to receive the drain", || {
        let before = a.calls().len();
        calls(&mut client, 40);
        a.calls().len() == before
    });
    let before = a.calls().len();
    calls(&mut client, 120);
    assert_eq!(a.calls().len(), before, "a call was sent to the worker after the router received the drain");
    log.publish(&[("a", a.address, "left"), ("c", a.address, "active")]);
    let before = a.calls().len();
    until("the successor to receive calls", || {
        calls(&mut client, 10);
        a.calls().len() > before
    });
}

#[test]
fn a_reload_changes_the_change_log_address_and_an_invalid_file_changes_nothing() {
    let (a, b) = (serving_worker(), serving_worker());
    let log = ChangeLog::start(&[("a", a.address), ("b", b.address)]);
    let router = Router::start(&log);
    wait_until_ready(&router);
    let mut client = Client::connect(router.process.address);
    std::fs::write(router.file(), "{\"name\": 4").unwrap();
    router.process.signal("HUP");
    until("the error to be logged", || router.log().contains("the configuration was not taken"));
    assert_eq!(client.call("quote", 1, 1), served());
    let moved = log.at_new_address();
    std::fs::write(router.file(), config(&moved).to_string()).unwrap();
    router.process.signal("HUP");
    until("the configuration to be reloaded", || router.log().contains("configuration read again"));
    moved.publish(&[("a", a.address, "left")]);
    std::thread::sleep(Duration::from_millis(300));
    let before = a.calls().len();
    for tag in 10..60 {
        assert_eq!(client.call("quote", tag, tag), served());
    }
    assert_eq!(a.calls().len(), before, "the router ignored the event of the log at its new address");
}

#[test]
fn a_configuration_half_written_at_the_signal_is_applied_once_complete() {
    let worker = serving_worker();
    let log = ChangeLog::start(&[("w", worker.address)]);
    let router = Router::start(&log);
    wait_until_ready(&router);
    let moved = log.at_new_address();
    let text = config(&moved).to_string();
    std::fs::write(router.file(), &text[..text.len() / 2]).unwrap();
    router.process.signal("HUP");
    until("the error to be logged", || router.log().contains("the configuration was not taken"));
    std::fs::write(router.file(), text).unwrap();
    until("the configuration to be reloaded", || router.log().contains("configuration read again"));
    assert_eq!(router.log().matches("was not taken").count(), 1, "the error is logged once");
    let mut client = Client::connect(router.process.address);
    assert_eq!(client.call("quote", 1, 1), served());
}

#[test]
fn on_sigterm_the_router_reports_not_ready_serves_late_clients_and_exits() {
    let worker = Worker::start(|_, _| Action::Later(300, "ACK", b"done".to_vec()));
    let mut router = Router::start(&ChangeLog::start(&[("w", worker.address)]));
    wait_until_ready(&router);
    let mut client = Client::connect(router.process.address);
    let mut checking = Client::connect(router.process.address);
    assert!(checking.is_ready());
    client.send("charge", 1, 1);
    until("the call to reach the worker", || worker.calls().len() == 1);
    router.process.signal("TERM");
    until("the readiness check to fail", || !checking.is_ready());
    let mut late = Client::connect(router.process.address);
    assert_eq!(late.call("charge", 2, 2), served(), "on a new connection");
    assert_eq!(client.answer().1, served());
    assert_eq!(client.call("charge", 3, 3), served(), "on an open one");
    assert_eq!(router.process.wait(), Some(0));
}

#[test]
fn functions_are_loaded_again_and_calls_run_once_after_workers_lost_all_copies() {
    let serve = |call: &ReceivedCall, _| match call.loaded {
        true => Action::Reply("ACK", b"done".to_vec()),
        false => Action::Reply("NOENT", vec![]),
    };
    let workers = [Worker::start(serve), Worker::start(serve)];
    let log = ChangeLog::start(&[("a", workers[0].address), ("b", workers[1].address)]);
    let routers: Vec<Router> = (0..3).map(|_| Router::start(&log)).collect();
    routers.iter().for_each(wait_until_ready);
    let mut clients: Vec<Client> = routers.iter().map(|r| Client::connect(r.process.address)).collect();
    let mut tag = 0;
    for generation in 0..3 {
        // There are no other faults. A charge that a worker without a copy rejected did not run and is
        // retried.
        for _ in 0..4 {
            for client in &mut clients {
                for function in 1..=6 {
                    tag += 1;
                    assert_eq!(client.call("charge", function, tag), served(), "generation {generation}");
                }
            }
        }
        workers.iter().for_each(Worker::unload_all);
    }
    let mut ran: Vec<String> =
        workers.iter().flat_map(|w| w.calls()).filter(|c| c.loaded).map(|c| c.id).collect();
    ran.sort();
    let runs = ran.len();
    ran.dedup();
    assert_eq!((ran.len(), runs), (tag as usize, tag as usize), "each call must run once");
    let load_requests: usize = workers.iter().map(Worker::load_requests).sum();
    assert!(load_requests <= 3 * 3 * 6 * 2, "{load_requests} load requests");
}

#[test]
fn invalid_requests_are_rejected_or_disconnected_and_other_clients_are_served() {
    let worker = serving_worker();
    let router = Router::start(&ChangeLog::start(&[("w", worker.address)]));
    wait_until_ready(&router);
    let address = router.process.address;
    let mut regular = Client::connect(address);
    // More silent connections than the router's descriptor limit (256) allows.
    let start = Instant::now();
    let silent: Vec<Client> = (0..300).map(|_| Client::connect(address)).collect();
    let oversized = || {
        let mut head = request(1, "quote", &[("req", "00000000000000aa")], b"");
        head.truncate(head.len() - 2);
        head.extend([0xc6, 0x03, 0x93, 0x87, 0x00]);
        head
    };
    let invalid: Vec<Vec<u8>> = vec![
        oversized(),
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        vec![0xc1; 100],
        vec![0x94; 100_000],
        request(1, "nobody", &[("req", "00000000000000aa")], b""),
        request(1, "quote", &[], b""),
        (1..=300).flat_map(|n| request(n, "quote", &[("req", &format!("{n:016x}"))], b"")).collect(),
    ];
    for bytes in &invalid {
        let mut client = Client::connect(address);
        let _ = client.stream.write_all(bytes);
        let (_, end) = client.answer();
        assert!(!matches!(end, Outcome::Served(_)));
    }
    for tag in 0..30 {
        // The router may have closed the idle connection to free a descriptor; a client then reconnects.
        let end = match regular.call("charge", tag % 5, 500 + tag) {
            Outcome::Closed => {
                regular = Client::connect(address);
                regular.call("charge", tag % 5, 500 + tag)
            }
            end => end,
        };
        assert_eq!(end, served());
    }
    for mut client in silent {
        let mut byte = [0; 1];
        // End of file and reset both mean that the router closed the connection.
        assert!(!matches!(client.stream.read(&mut byte), Ok(n) if n > 0));
    }
    assert!(
        start.elapsed() < Duration::from_secs(15),
        "the router did not close the silent connections within 15 s"
    );
    assert!(
        worker.calls().iter().all(|c| c.body.starts_with(b"body-")),
        "an invalid request reached the worker"
    );
}

#[test]
fn tables_stay_bounded_while_workers_functions_and_connections_change() {
    let workers: Vec<Worker> = (0..3).map(|_| serving_worker()).collect();
    let first: Vec<String> = (0..3).map(|n| format!("w0-{n}")).collect();
    let list: Vec<(&str, std::net::SocketAddr)> =
        first.iter().zip(&workers).map(|(id, w)| (id.as_str(), w.address)).collect();
    let log = ChangeLog::start(&list);
    let router = Router::start(&log);
    wait_until_ready(&router);
    let mut tag = 0;
    for generation in 1..25 {
        // Replaces the whole fleet: same addresses, new ids.
        for (n, worker) in workers.iter().enumerate() {
            let (old, new) = (format!("w{}-{n}", generation - 1), format!("w{generation}-{n}"));
            log.publish(&[(&old, worker.address, "left"), (&new, worker.address, "active")]);
        }
        for _ in 0..4 {
            let mut client = Client::connect(router.process.address);
            for _ in 0..5 {
                tag += 1;
                // Some calls reach a worker while it is removed; each still gets an answer.
                assert_ne!(client.call("quote", 10_000 + tag, tag), Outcome::Closed);
            }
        }
    }
    let sizes = router.stop();
    let [links, open, ids, peers, connections, attempts, timers] = sizes[..] else { panic!("{sizes:?}") };
    assert_eq!((open, ids, attempts), (0, 0, 0));
    // Timers of completed operations remain until they are due: 10 s for load requests, 13.5 s for idle
    // connections.
    assert!(links <= 120 && peers <= 3 && connections <= 30 && timers <= 2_000, "{sizes:?}");
}

#[test]
fn startup_fails_on_an_invalid_configuration_and_names_file_and_field() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("config.json");
    let log = ChangeLog::start(&[]);
    let mut invalid = config(&log);
    invalid["limits"]["sockets"] = "many".into();
    std::fs::write(&file, invalid.to_string()).unwrap();
    for (path, expected) in [
        (file.as_path(), "config.json: limits: field 'sockets' is not a whole number"),
        (std::path::Path::new("/nowhere/config.json"), "/nowhere/config.json: "),
    ] {
        let output = support::command_in(&["platform"], &[("EDGE_CONFIG", path)]);
        assert_eq!(output.status.code(), Some(2));
        let error = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(error.contains(expected), "{error}");
    }
    assert_eq!(support::command(&["platform"]).status.code(), Some(2), "without EDGE_CONFIG");
}
