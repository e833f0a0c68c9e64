//! Routers whose change log is out of reach while workers drain: by the platform's page whatever the log would have told counts as
//! told 7 s after that began.

use crate::support::until;
use crate::test_servers::*;
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

/// When what the log would have told counts as told, from the beginning of an outage.
const COUNTS_AS_TOLD_AFTER: Duration = Duration::from_secs(7);
/// The drain's grace of the settings, and what the page allows beyond it on sockets.
const GRACE: Duration = Duration::from_millis(250 + 50);
/// How long the router is watched from then on.
const WATCHED: Duration = Duration::from_secs(5);
const CALLS_PER_SECOND: u64 = 40;
const FUNCTIONS: u64 = 60;
const TIMEOUT: Duration = Duration::from_millis(2_500);

/// Calls of functions `from` and up, one after the other.
fn plan(from: u64, length: Duration) -> Vec<PlannedCall> {
    let count = length.as_secs() * CALLS_PER_SECOND;
    let call = |number: u64| PlannedCall {
        after: Duration::from_micros(number * 1_000_000 / CALLS_PER_SECOND),
        class: ["quote", "booking", "charge"][(number % 3) as usize],
        function: from + number % FUNCTIONS,
        tag: from + number,
        timeout: TIMEOUT,
    };
    (0..count).map(call).collect()
}

/// Two workers drain in an outage of the log, and the router has nothing to do until that counts as told.
fn play(service: Service) {
    let workers: Vec<FleetWorker> = (0..8).map(|seed| FleetWorker::start(Behaviour::GOOD, seed)).collect();
    let names: Vec<String> = (0..8).map(|number| format!("s-{number}")).collect();
    let list: Vec<_> =
        names.iter().zip(&workers).map(|(name, worker)| (name.as_str(), worker.address)).collect();
    let log = ChangeLog::start(&list);
    let router = Router::start(&log);
    ready(&router);
    let address = router.process.address;
    send_paced(address, &plan(1, Duration::from_secs(1)), Duration::ZERO);
    until("the router to follow the log", || log.waiting() > 0);
    log.set_service(service);
    let outage = Instant::now();
    thread::sleep(Duration::from_secs(1));
    let draining = &workers[..2];
    draining.iter().for_each(FleetWorker::drain);
    log.tell(&[(&names[0], workers[0].address, "leaving"), (&names[1], workers[1].address, "leaving")]);
    let last = outage + COUNTS_AS_TOLD_AFTER + GRACE;
    thread::sleep(last.saturating_duration_since(Instant::now()));
    let records = send_paced(address, &plan(1_000, WATCHED), TIMEOUT);
    let received = draining.iter().flat_map(FleetWorker::received);
    let late: Vec<Received> = received.filter(|sent| sent.at > last).collect();
    let orders = late.iter().filter(|sent| sent.command == Command::Ensure).count();
    assert!(
        late.is_empty(),
        "{} sends to workers that drain, of which {orders} are orders to load, the first {:?}",
        late.len(),
        late.first()
    );
    let served = records.iter().filter(|record| matches!(record.answer, Some((_, End::Served(_))))).count();
    assert!(served * 2 >= records.len(), "{served} of {} calls served by the others", records.len());
}

/// Guards against report 303884: a load order to a worker that had drained while the list could not be reached.
#[test]
fn nothing_reaches_a_worker_that_drained_while_the_log_refused_connections() {
    play(Service::Refusing);
}

/// Guards against report 303884 where the log accepts connections and says nothing.
#[test]
fn nothing_reaches_a_worker_that_drained_while_the_log_was_silent() {
    play(Service::Silent);
}

/// Guards against a log whose answers are never waited for: each comes later than the router's first time limit.
#[test]
fn a_drain_is_heard_of_a_log_that_answers_two_seconds_late() {
    let worker = FleetWorker::start(Behaviour::GOOD, 1);
    let other = FleetWorker::start(Behaviour::GOOD, 2);
    let log = ChangeLog::start(&[("a", worker.address), ("b", other.address)]);
    let router = Router::start(&log);
    ready(&router);
    log.set_service(Service::Late(Duration::from_secs(2)));
    thread::sleep(Duration::from_secs(2));
    log.tell(&[("a", worker.address, "leaving"), ("b", other.address, "leaving")]);
    let told = Instant::now();
    // Without a worker that takes new work the router is not ready.
    until("the drain to be heard", || !Client::connect(router.process.address).is_ready());
    assert!(told.elapsed() < COUNTS_AS_TOLD_AFTER + GRACE, "heard after {:?}", told.elapsed());
}

/// Guards against a router that was stopped and acts on an answer of the log that is older than the drain's grace.
#[test]
fn a_router_that_was_stopped_asks_the_log_anew_before_it_sends() {
    let workers: Vec<FleetWorker> = (0..3).map(|seed| FleetWorker::start(Behaviour::GOOD, seed)).collect();
    let names = ["a", "b", "c"];
    let list: Vec<_> = names.iter().zip(&workers).map(|(name, worker)| (*name, worker.address)).collect();
    let log = ChangeLog::start(&list);
    // Nobody is probed, so that a decision leaves at once.
    let mut settings = config(&log);
    settings["settings"]["limits"]["probes"] = false.into();
    let router = Router::start_with(&settings);
    ready(&router);
    let mut client = Client::connect(router.process.address);
    for tag in 0..30 {
        assert_ne!(client.call("quote", tag, 1 + tag), End::Closed);
    }
    until("the router to follow the log", || log.waiting() > 0);
    router.process.signal("STOP");
    // The poll that is open is answered by this; what is told later has to be asked for.
    log.tell_whole(&[("b", workers[1].address, "active")]);
    workers[0].drain();
    log.tell(&[("a", workers[0].address, "leaving")]);
    thread::sleep(GRACE);
    let calls: Vec<u8> = (0..30).flat_map(|tag| client.bytes("quote", tag, 1_000 + tag)).collect();
    client.stream.write_all(&calls).unwrap();
    let resumed = Instant::now();
    router.process.signal("CONT");
    for _ in 0..30 {
        assert_ne!(client.answer().1, End::Closed);
    }
    let late: Vec<Received> = workers[0].received().into_iter().filter(|sent| sent.at > resumed).collect();
    assert!(late.is_empty(), "{} sends to a worker that drains, the first {:?}", late.len(), late.first());
}
