//! Clients that close their connection with much of their input unread, or whose ids come again after they
//! left.

use super::*;
use crate::support::until;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Instant;

/// Attempts may still start this long after their client left.
const LEAVE_GRACE: Duration = Duration::from_millis(100);
/// Bytes of requests that are written before the connection is closed, if calls are cancelled on the way.
const UNREAD_BYTES: [usize; 3] = [60_000, 400_000, 4_000_000];
/// The protocol's limits of open calls on one connection, and of a body.
const MAX_OPEN: u32 = 32;
const LARGEST_BODY: usize = 16 * 1024;

fn call(number: u32, from: u64, body: &[u8]) -> Vec<u8> {
    let id = format!("{:016x}", from + u64::from(number));
    let fields = [("req", id.as_str()), ("timeout", "2500"), ("subject", "0000000000000001")];
    request(number, "quote", &fields, body)
}

/// Calls of one function up to a number of bytes; each is cancelled once 16 later ones were sent, so that no
/// more are open than the protocol allows.
fn cancelled_calls(from: u64, bytes: usize) -> Vec<u8> {
    let mut out = Vec::new();
    let mut number = 0;
    while out.len() < bytes {
        number += 1;
        out.extend(call(number, from, b""));
        if number > MAX_OPEN / 2 {
            out.extend(interrupt(number - MAX_OPEN / 2));
        }
    }
    out
}

/// As many calls as may be open, with the largest bodies.
fn large_calls(from: u64) -> Vec<u8> {
    (1..=MAX_OPEN).flat_map(|number| call(number, from, &[b'x'; LARGEST_BODY])).collect()
}

/// Has calls of the function that all tests use served, so that it is loaded.
fn load_function(router: &Router) {
    let mut client = Client::connect(router.process.address);
    let mut tag = 0xfeed_0000;
    until("a call to be served", || {
        tag += 1;
        matches!(client.call("charge", 1, tag), Outcome::Served(_))
    });
}

/// Writes until everything is written or the router reads no more, then closes the connection.
fn write_and_close(router: &Router, bytes: &[u8]) -> Instant {
    let mut stream = TcpStream::connect(router.process.address).unwrap();
    stream.set_write_timeout(Some(Duration::from_millis(200))).unwrap();
    let _ = stream.write_all(bytes);
    drop(stream);
    Instant::now()
}

/// Guards against requests that are sent on although their client has closed its connection behind them
/// (report 9fde00).
#[test]
fn requests_left_unread_when_their_client_closes_are_not_sent() {
    let _crowd = one_crowd_at_a_time();
    let worker = FleetWorker::start(Behaviour::GOOD, 1);
    let router = start_router(worker.address);
    load_function(&router);
    let _share = ProcessorShare::limit(&router.process.child, PROCESSOR_PERCENT);
    for (round, bytes) in UNREAD_BYTES.into_iter().enumerate() {
        let closed_at = write_and_close(&router, &cancelled_calls((round as u64 + 1) << 40, bytes));
        thread::sleep(Duration::from_secs(1));
        let received = worker.received();
        let is_late = |received: &&Received| {
            matches!(received.command, Command::Exec { .. }) && received.at > closed_at + LEAVE_GRACE
        };
        let late = received.iter().filter(is_late).count();
        assert_eq!(late, 0, "calls sent more than {LEAVE_GRACE:?} after the close behind {bytes} bytes");
    }
}

/// Guards against the same while other clients keep the router busy.
#[test]
fn requests_left_unread_beside_clients_at_full_speed_are_not_sent_after_their_client_closed() {
    let _crowd = one_crowd_at_a_time();
    let worker = FleetWorker::start(Behaviour::GOOD, 1);
    let router = start_router(worker.address);
    load_function(&router);
    let _share = ProcessorShare::limit(&router.process.child, PROCESSOR_PERCENT);
    let _crowd = Crowd::start(router.process.address, Kind::InvalidTimeouts, Reading::All, FEW_CLIENTS);
    let mut closed: Vec<(u64, Instant)> = Vec::new();
    for round in 1..=10u64 {
        let calls = match round % 2 {
            0 => cancelled_calls(round << 40, UNREAD_BYTES[0]),
            _ => large_calls(round << 40),
        };
        closed.push((round, write_and_close(&router, &calls)));
        thread::sleep(Duration::from_millis(200));
    }
    for received in worker.received() {
        let Command::Exec { id, .. } = &received.command else { continue };
        let round = u64::from_str_radix(id, 16).unwrap() >> 40;
        let Some((_, closed_at)) = closed.iter().find(|(number, _)| *number == round) else { continue };
        assert!(received.at <= *closed_at + LEAVE_GRACE, "{:?} after the close", received.at - *closed_at);
    }
}

/// Guards against a request id that runs twice because it comes again after its client has left: by closing,
/// by resetting its connection, or by cancelling the call (report 9fde00).
#[test]
fn an_id_that_comes_again_after_its_client_left_does_not_run_again() {
    let behaviour = Behaviour { service_time: Duration::from_millis(100), ..Behaviour::GOOD };
    let worker = FleetWorker::start(behaviour, 1);
    let router = Router::start(&ChangeLog::start(&[("w", worker.address)]));
    wait_until_ready(&router);
    load_function(&router);
    let address = router.process.address;
    let leaves: [fn(Client, u32); 3] = [
        |client, _| drop(client),
        |mut client, _| client.reset(),
        |mut client, number| {
            client.interrupt(number);
            thread::sleep(Duration::from_millis(20));
        },
    ];
    for (tag, leave) in (1u64..).zip(leaves) {
        let mut client = Client::connect(address);
        let number = client.send("charge", 1, tag);
        let runs = || {
            let has_id = |received: &&Received| matches!(&received.command, Command::Exec { id, ran: true, .. } if *id == format!("{tag:016x}"));
            worker.received().iter().filter(has_id).count()
        };
        until("the call to run", || runs() == 1);
        leave(client, number);
        for pause_ms in [0, 50, 150, 500] {
            thread::sleep(Duration::from_millis(pause_ms));
            let again = Client::connect(address).call("charge", 1, tag);
            assert!(matches!(again, Outcome::Error(_)), "{again:?}");
            assert_ne!(again, Outcome::Error("Throttled".into()), "the call has run");
        }
        assert_eq!(runs(), 1, "runs of one id");
    }
}

/// Guards against an id that is rejected although its call never ran: a client may send such a call again.
#[test]
fn an_id_whose_call_was_refused_is_accepted_again() {
    let worker = FleetWorker::start(Behaviour::GOOD, 1);
    let router = Router::start(&ChangeLog::start(&[("w", worker.address)]));
    wait_until_ready(&router);
    load_function(&router);
    let mut client = Client::connect(router.process.address);
    // No time is left for the call, so that it is refused.
    client.send_for("charge", 1, 7, 1);
    assert_eq!(client.answer().1, Outcome::Error("Throttled".into()));
    assert!(matches!(client.call("charge", 1, 7), Outcome::Served(_)));
}
