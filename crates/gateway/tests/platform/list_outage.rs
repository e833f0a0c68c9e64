//! Routers whose change log is unreachable while workers drain. By the platform's documentation, a change
//! that the log could not deliver counts as delivered 7 s after the start of the outage.

use crate::support::until;
use crate::test_servers::*;
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

/// Time from the start of an outage after which undelivered changes count as delivered.
const DELIVERED_AFTER: Duration = Duration::from_secs(7);
/// The drain grace of the settings plus the tolerance of the platform's documentation for sockets.
const GRACE: Duration = Duration::from_millis(250 + 50);
/// How long calls are made after that.
const WATCHED: Duration = Duration::from_secs(5);
const CALLS_PER_SECOND: u64 = 40;
const FUNCTIONS: u64 = 60;
const TIMEOUT: Duration = Duration::from_millis(2_500);

/// Calls at a constant rate, of functions numbered from `from`; their tags start there too.
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

/// Starts workers, and a log that lists them under the returned names.
fn start_fleet(count: u64) -> (Vec<FleetWorker>, Vec<String>, ChangeLog) {
    let workers: Vec<FleetWorker> =
        (0..count).map(|seed| FleetWorker::start(Behaviour::GOOD, seed)).collect();
    let names: Vec<String> = (0..count).map(|number| format!("s-{number}")).collect();
    let list: Vec<_> =
        names.iter().zip(&workers).map(|(name, worker)| (name.as_str(), worker.address)).collect();
    let log = ChangeLog::start(&list);
    (workers, names, log)
}

/// Asserts that at least half of the calls were served.
fn assert_most_served(records: &[CallRecord]) {
    let is_served = |record: &&CallRecord| matches!(record.answer, Some((_, Outcome::Served(_))));
    let served = records.iter().filter(is_served).count();
    assert!(
        served * 2 >= records.len(),
        "only {served} of {} calls served by the other workers",
        records.len()
    );
}

/// Drains two workers during an outage of the log and makes calls only once the drains count as delivered:
/// from then on no request may reach the drained workers.
fn drain_during_outage(service: Service) {
    let (workers, names, log) = start_fleet(8);
    let router = Router::start(&log);
    wait_until_ready(&router);
    let address = router.process.address;
    send_paced(address, &plan(1, Duration::from_secs(1)), Duration::ZERO);
    let outage = log.begin_outage(service);
    thread::sleep(Duration::from_secs(1));
    let drained = &workers[..2];
    drained.iter().for_each(FleetWorker::drain);
    log.publish(&[(&names[0], workers[0].address, "leaving"), (&names[1], workers[1].address, "leaving")]);
    let last = outage + DELIVERED_AFTER + GRACE;
    thread::sleep(last.saturating_duration_since(Instant::now()));
    let records = send_paced(address, &plan(1_000, WATCHED), TIMEOUT);
    let received = drained.iter().flat_map(FleetWorker::received);
    let late: Vec<Received> = received.filter(|sent| sent.at > last).collect();
    let load_requests = late.iter().filter(|sent| sent.command == Command::Ensure).count();
    assert!(
        late.is_empty(),
        "{} requests to draining workers, of which {load_requests} are load requests, the first {:?}",
        late.len(),
        late.first()
    );
    assert_most_served(&records);
}

/// Guards against a load request to a worker that drained while the change log was unreachable (report
/// 303884).
#[test]
fn nothing_reaches_a_worker_that_drained_while_the_log_refused_connections() {
    drain_during_outage(Service::Refusing);
}

/// Guards against the same fault (report 303884) when the log accepts connections and does not answer.
#[test]
fn nothing_reaches_a_worker_that_drained_while_the_log_was_silent() {
    drain_during_outage(Service::Silent);
}

/// Guards against calls to a worker that drains during an outage of the log while its health checks say that it
/// is ready, as they show only that its process runs (review/5).
#[test]
fn nothing_reaches_a_draining_worker_whose_health_checks_are_shallow() {
    const GRACE: Duration = Duration::from_millis(2_000);
    const TOLERANCE: Duration = Duration::from_millis(50);
    const DRAINED_AFTER: Duration = Duration::from_millis(7_200);
    let (workers, _, log) = start_fleet(4);
    workers.iter().for_each(FleetWorker::use_shallow_health_checks);
    let mut settings = config(&log);
    settings["settings"]["rules"]["drain_grace"] = (GRACE.as_millis() as f64).into();
    let router = Router::start_with(&settings);
    wait_until_ready(&router);
    let address = router.process.address;
    send_paced(address, &plan(1, Duration::from_secs(1)), Duration::ZERO);
    let outage = log.begin_outage(Service::Silent);
    let calls =
        thread::spawn(move || send_paced(address, &plan(1_000, DRAINED_AFTER + GRACE + WATCHED), TIMEOUT));
    thread::sleep(DRAINED_AFTER);
    let drained = workers.iter().max_by_key(|worker| worker.received().len()).unwrap();
    drained.drain();
    let last = Instant::now() + GRACE + TOLERANCE;
    assert!(outage.elapsed() > DELIVERED_AFTER);
    let records = calls.join().unwrap();
    let late = drained.received().into_iter().filter(|received| received.at > last).count();
    assert_eq!(late, 0, "requests to a draining worker");
    assert_most_served(&records);
}

/// Guards against a router that never waits long enough for a slow log: each answer arrives after the
/// router's first timeout.
#[test]
fn a_drain_is_received_from_a_log_that_answers_two_seconds_late() {
    let worker = FleetWorker::start(Behaviour::GOOD, 1);
    let other = FleetWorker::start(Behaviour::GOOD, 2);
    let log = ChangeLog::start(&[("a", worker.address), ("b", other.address)]);
    let router = Router::start(&log);
    wait_until_ready(&router);
    log.set_service(Service::Late(Duration::from_secs(2)));
    thread::sleep(Duration::from_secs(2));
    log.publish(&[("a", worker.address, "leaving"), ("b", other.address, "leaving")]);
    let published_at = Instant::now();
    // With all workers draining the router is not ready.
    until("the router to receive the drain", || !Client::connect(router.process.address).is_ready());
    assert!(published_at.elapsed() < DELIVERED_AFTER + GRACE, "received after {:?}", published_at.elapsed());
}

/// Guards against a router that was stopped and then acts on an answer of the log that is older than the
/// drain grace.
#[test]
fn a_router_that_was_stopped_polls_the_log_again_before_it_sends() {
    let workers: Vec<FleetWorker> = (0..3).map(|seed| FleetWorker::start(Behaviour::GOOD, seed)).collect();
    let names = ["a", "b", "c"];
    let list: Vec<_> = names.iter().zip(&workers).map(|(name, worker)| (*name, worker.address)).collect();
    let log = ChangeLog::start(&list);
    // Without probes, a decided attempt is sent at once.
    let mut settings = config(&log);
    settings["settings"]["limits"]["probes"] = false.into();
    let router = Router::start_with(&settings);
    wait_until_ready(&router);
    let mut client = Client::connect(router.process.address);
    for tag in 0..30 {
        assert_ne!(client.call("quote", tag, 1 + tag), Outcome::Closed);
    }
    until("the router to poll the log", || log.pending_polls() > 0);
    router.process.signal("STOP");
    // This change answers the pending poll; the next change takes a new poll.
    log.publish_and_wait(&[("b", workers[1].address, "active")]);
    workers[0].drain();
    log.publish(&[("a", workers[0].address, "leaving")]);
    thread::sleep(GRACE);
    let calls: Vec<u8> = (0..30).flat_map(|tag| client.bytes("quote", tag, 1_000 + tag)).collect();
    client.stream.write_all(&calls).unwrap();
    let resumed = Instant::now();
    router.process.signal("CONT");
    for _ in 0..30 {
        assert_ne!(client.answer().1, Outcome::Closed);
    }
    let late: Vec<Received> = workers[0].received().into_iter().filter(|sent| sent.at > resumed).collect();
    assert!(late.is_empty(), "{} requests to a draining worker, the first {:?}", late.len(), late.first());
}
