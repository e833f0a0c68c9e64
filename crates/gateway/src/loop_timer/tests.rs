//! Tests of the wait around process pauses, on real sockets.

use super::*;
use slatevalve_reactor::Id;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

/// A connection that stands, and the peer's side of it.
fn standing(reactor: &mut Reactor) -> (Id, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let id = reactor.connect(listener.local_addr().unwrap()).unwrap();
    let peer = listener.accept().unwrap().0;
    let mut happened = Vec::new();
    while happened.is_empty() {
        reactor.poll(Some(Duration::from_secs(1)), &mut happened).unwrap();
    }
    (id, peer)
}

fn words(iteration: &LoopIteration) -> Vec<&'static str> {
    let word = |h: &ReactorEvent| match h {
        ReactorEvent::Received(..) => "received",
        ReactorEvent::Closed { .. } => "closed",
        _ => "other",
    };
    iteration.events.iter().map(word).collect()
}

#[test]
fn after_a_standstill_all_that_came_is_heard_before_anything_is_written() {
    let (clock, mut reactor) = (Clock::start(), Reactor::new(1 << 20).unwrap());
    let (worker, mut at_worker) = standing(&mut reactor);
    let (client, mut at_client) = standing(&mut reactor);
    let grace = Micros(100_000);
    let mut loop_timer = LoopTimer::new(clock.now(), grace);
    // Decided; then the process stands still, and a client comes and leaves.
    reactor.write(worker, b"decided");
    at_client.write_all(b"a request").unwrap();
    at_client.shutdown(std::net::Shutdown::Both).unwrap();
    std::thread::sleep(Duration::from_millis(30));
    let iteration = loop_timer.wait(&clock, &mut reactor, Duration::from_secs(5), None).unwrap();
    assert_eq!(words(&iteration), ["received", "closed"]);
    assert!(iteration.read_delay.0 >= 30_000, "what was read may have waited for all of it");
    assert!(matches!(iteration.events[0], ReactorEvent::Received(id, _) if id == client));
    assert_eq!(reactor.written(worker), 0, "nothing left by old news");
    // The next one writes, also where it took long again.
    std::thread::sleep(Duration::from_millis(30));
    loop_timer.wait(&clock, &mut reactor, Duration::ZERO, None).unwrap();
    let mut seen = [0; 7];
    at_worker.read_exact(&mut seen).unwrap();
    assert_eq!(&seen, b"decided");
}

#[test]
fn a_loop_that_did_not_stand_still_writes_at_once_and_reads_once() {
    let (clock, mut reactor) = (Clock::start(), Reactor::new(1 << 20).unwrap());
    let (worker, _at_worker) = standing(&mut reactor);
    let (_, mut at_client) = standing(&mut reactor);
    // A grace of hours: no pause of a busy machine is a standstill beside it.
    let mut loop_timer = LoopTimer::new(clock.now(), Micros(36_000_000_000));
    reactor.write(worker, b"decided");
    at_client.write_all(b"a request").unwrap();
    at_client.shutdown(std::net::Shutdown::Both).unwrap();
    let iteration = loop_timer.wait(&clock, &mut reactor, Duration::from_secs(5), None).unwrap();
    assert_eq!((words(&iteration), reactor.written(worker)), (vec!["received"], 7));
}
