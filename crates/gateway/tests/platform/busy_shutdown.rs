//! Shutdown while clients keep sending requests on their open connections until SIGKILL, which comes as early
//! as the platform's documentation allows.

use crate::test_servers::*;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// SIGKILL follows SIGTERM after the longest deadline plus this time.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// The platform's clients send a request once more if its connection closes within this time after it was
/// sent.
const RESEND_WINDOW: Duration = Duration::from_millis(50);

/// A request whose connection was closed before its answer.
#[derive(Debug)]
struct Unanswered {
    sent_at: Instant,
    closed_at: Instant,
}

/// Sends requests on one connection, each as soon as the previous one is answered, until the connection is
/// closed or `stop` is set.
fn send_until_closed(
    address: SocketAddr,
    number: u64,
    timeout_ms: u64,
    stop: &AtomicBool,
) -> Option<Unanswered> {
    let mut client = Client::connect(address);
    let mut tag = number << 32;
    while !stop.load(Ordering::SeqCst) {
        tag += 1;
        let sent_at = Instant::now();
        client.send_for("quote", tag % 7, tag, timeout_ms);
        if client.answer().1 == Outcome::Closed {
            return Some(Unanswered { sent_at, closed_at: Instant::now() });
        }
    }
    None
}

/// Stops and kills a router under load from `clients` clients; returns the requests that were lost.
fn stop_under_load(clients: u64, deadline_ms: u64, worker_delay: Duration) -> Vec<Unanswered> {
    let behaviour = Behaviour { service_time: worker_delay, ..Behaviour::GOOD };
    let worker = FleetWorker::start(behaviour, 1);
    let log = ChangeLog::start(&[("w", worker.address)]);
    let mut config = config(&log);
    for class in 0..3 {
        config["settings"]["categories"][class]["deadline"] = json!(deadline_ms);
    }
    let mut router = Router::start_with(&config);
    wait_until_ready(&router);
    let stop = Arc::new(AtomicBool::new(false));
    let threads: Vec<_> = (0..clients)
        .map(|number| {
            let (address, stop) = (router.process.address, stop.clone());
            thread::spawn(move || send_until_closed(address, number, deadline_ms, &stop))
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    router.process.signal("TERM");
    let signaled_at = Instant::now();
    thread::sleep(
        (signaled_at + Duration::from_millis(deadline_ms) + KILL_DELAY)
            .saturating_duration_since(signaled_at),
    );
    let killed_at = Instant::now();
    let _ = router.process.child.kill();
    let _ = router.process.wait();
    stop.store(true, Ordering::SeqCst);
    let unanswered = threads.into_iter().filter_map(|client| client.join().unwrap());
    unanswered.filter(|r| r.closed_at >= killed_at || r.closed_at - r.sent_at > RESEND_WINDOW).collect()
}

/// Guards against a listener that closes while descriptors are exhausted, which resets the clients that wait
/// to be accepted.
#[test]
fn clients_waiting_for_accept_while_descriptors_are_exhausted_are_answered_once_some_are_free() {
    let worker = FleetWorker::start(Behaviour::GOOD, 1);
    let mut router = Router::start(&ChangeLog::start(&[("w", worker.address)]));
    wait_until_ready(&router);
    let mut open = Client::connect(router.process.address);
    assert_ne!(open.call("quote", 1, 1), Outcome::Closed);
    let limit = router.process.set_descriptor_limit(0);
    router.process.signal("TERM");
    let mut waiting: Vec<Client> = (0..3).map(|_| Client::connect(router.process.address)).collect();
    for (client, tag) in waiting.iter_mut().zip(10..) {
        client.send("quote", 1, tag);
    }
    // Longer than the time after SIGTERM at which the listener closes.
    thread::sleep(Duration::from_millis(1_000));
    router.process.set_descriptor_limit(limit);
    for client in &mut waiting {
        assert_ne!(client.answer().1, Outcome::Closed);
    }
    drop((waiting, open));
    assert_eq!(router.process.wait(), Some(0));
}

/// Guards against requests left unanswered at SIGKILL because the router never closes the connections of busy
/// clients.
#[test]
fn no_request_of_a_busy_client_is_unanswered_at_the_kill() {
    for (clients, deadline_ms, delay_ms) in [(1, 500, 5), (8, 500, 5), (30, 1_000, 20), (8, 500, 200)] {
        let lost = stop_under_load(clients, deadline_ms, Duration::from_millis(delay_ms));
        assert!(
            lost.is_empty(),
            "{clients} clients, answers after {delay_ms} ms: {} lost, {lost:?}",
            lost.len()
        );
    }
}
