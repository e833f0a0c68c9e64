//! Tests of the loop's wait after process pauses, on real sockets.

use super::*;
use slatevalve_reactor::Id;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

/// Returns an established connection and the peer's side of it.
fn connect(reactor: &mut Reactor) -> (Id, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let id = reactor.connect(listener.local_addr().unwrap()).unwrap();
    let peer = listener.accept().unwrap().0;
    let mut events = Vec::new();
    while events.is_empty() {
        reactor.poll(Some(Duration::from_secs(1)), &mut events).unwrap();
    }
    (id, peer)
}

fn event_names(iteration: &LoopIteration) -> Vec<&'static str> {
    let name = |event: &ReactorEvent| match event {
        ReactorEvent::Received(..) => "received",
        ReactorEvent::Closed { .. } => "closed",
        _ => "other",
    };
    iteration.events.iter().map(name).collect()
}

#[test]
fn after_a_pause_all_input_is_read_before_anything_is_written() {
    let (clock, mut reactor) = (Clock::start(), Reactor::new(1 << 20).unwrap());
    let (worker, mut worker_side) = connect(&mut reactor);
    let (client, mut client_side) = connect(&mut reactor);
    let grace = Micros(100_000);
    let mut loop_timer = LoopTimer::new(clock.now(), grace);
    // Output is pending; then the process is paused, and a client sends a request and disconnects.
    reactor.write(worker, b"pending");
    client_side.write_all(b"a request").unwrap();
    client_side.shutdown(std::net::Shutdown::Both).unwrap();
    std::thread::sleep(Duration::from_millis(30));
    let iteration = loop_timer.wait(&clock, &mut reactor, Duration::from_secs(5), None).unwrap();
    assert_eq!(event_names(&iteration), ["received", "closed"]);
    assert!(iteration.read_delay.0 >= 30_000, "the read delay includes the whole pause");
    assert!(matches!(iteration.events[0], ReactorEvent::Received(id, _) if id == client));
    assert_eq!(reactor.written(worker), 0, "stale output is withheld");
    // The next iteration writes even after another pause.
    std::thread::sleep(Duration::from_millis(30));
    loop_timer.wait(&clock, &mut reactor, Duration::ZERO, None).unwrap();
    let mut received = [0; 7];
    worker_side.read_exact(&mut received).unwrap();
    assert_eq!(&received, b"pending");
}

#[test]
fn without_a_pause_the_loop_writes_immediately_and_reads_once() {
    let (clock, mut reactor) = (Clock::start(), Reactor::new(1 << 20).unwrap());
    let (worker, _worker_side) = connect(&mut reactor);
    let (_, mut client_side) = connect(&mut reactor);
    // With a grace period of hours, no delay on a busy machine counts as a pause.
    let mut loop_timer = LoopTimer::new(clock.now(), Micros(36_000_000_000));
    reactor.write(worker, b"pending");
    client_side.write_all(b"a request").unwrap();
    client_side.shutdown(std::net::Shutdown::Both).unwrap();
    let iteration = loop_timer.wait(&clock, &mut reactor, Duration::from_secs(5), None).unwrap();
    assert_eq!((event_names(&iteration), reactor.written(worker)), (vec!["received"], 7));
}
