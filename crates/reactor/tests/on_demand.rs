//! Connections that are read on demand, and bounds of what peers make the reactor hold.

use slatevalve_reactor::{Id, Reactor, ReactorEvent, ReadOutcome, MAX_FLUSHING};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const RECEIVE_BUFFER: usize = 64 * 1024;

fn poll(reactor: &mut Reactor) -> Vec<ReactorEvent> {
    let mut events = Vec::new();
    reactor.poll(Some(Duration::from_millis(10)), &mut events).unwrap();
    events
}

/// Polls until an event is found.
fn until<T>(reactor: &mut Reactor, mut find: impl FnMut(&ReactorEvent) -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = poll(reactor).iter().find_map(&mut find) {
            return found;
        }
        assert!(start.elapsed() < Duration::from_secs(20), "the event did not come within 20 s");
    }
}

/// A listener, and its address.
fn listen(reactor: &mut Reactor) -> (Id, SocketAddr) {
    reactor.listen("127.0.0.1:0".parse().unwrap()).unwrap()
}

fn accept(reactor: &mut Reactor, address: SocketAddr) -> (Id, TcpStream) {
    let peer = TcpStream::connect(address).unwrap();
    let accepted = |event: &ReactorEvent| match event {
        ReactorEvent::Accepted { connection, .. } => Some(*connection),
        _ => None,
    };
    (until(reactor, accepted), peer)
}

fn readable(id: Id) -> impl FnMut(&ReactorEvent) -> Option<()> {
    move |event| matches!(event, ReactorEvent::Readable(readable) if *readable == id).then_some(())
}

#[test]
fn input_is_reported_by_each_poll_until_it_is_read_and_read_as_asked() {
    let mut reactor = Reactor::new(1 << 20).unwrap();
    let (listener, address) = listen(&mut reactor);
    reactor.accept_on_demand(listener, RECEIVE_BUFFER);
    let (id, mut peer) = accept(&mut reactor, address);
    peer.write_all(b"0123456789").unwrap();
    until(&mut reactor, readable(id));
    until(&mut reactor, readable(id));
    assert!(matches!(reactor.read(id, 4), ReadOutcome::Received(bytes) if bytes == b"0123"));
    assert_eq!(reactor.unread(id), 6);
    assert!(matches!(reactor.read(id, 100), ReadOutcome::Received(bytes) if bytes == b"456789"));
    assert!(matches!(reactor.read(id, 100), ReadOutcome::Blocked));
    drop(peer);
    until(&mut reactor, readable(id));
    assert!(matches!(reactor.read(id, 100), ReadOutcome::Ended { written: 0 }));
}

/// Guards against input that is lost because it arrives between the accept and the first use of a connection.
#[test]
fn input_that_arrives_with_its_connection_is_left_to_its_owner() {
    let mut reactor = Reactor::new(1 << 20).unwrap();
    let (listener, address) = listen(&mut reactor);
    reactor.accept_on_demand(listener, RECEIVE_BUFFER);
    let mut peer = TcpStream::connect(address).unwrap();
    peer.write_all(b"hello").unwrap();
    let mut events = Vec::new();
    (0..3).for_each(|_| reactor.poll(Some(Duration::from_millis(10)), &mut events).unwrap());
    assert!(!events.iter().any(|event| matches!(event, ReactorEvent::Received(..))), "{events:?}");
    let id = events.iter().find_map(|event| match event {
        ReactorEvent::Readable(id) => Some(*id),
        _ => None,
    });
    assert!(matches!(reactor.read(id.unwrap(), 100), ReadOutcome::Received(bytes) if bytes == b"hello"));
}

#[test]
fn a_close_behind_unread_input_is_found_before_the_input_is_read() {
    let mut reactor = Reactor::new(1 << 20).unwrap();
    let (listener, address) = listen(&mut reactor);
    reactor.accept_on_demand(listener, RECEIVE_BUFFER);
    let (open, mut staying) = accept(&mut reactor, address);
    let (closed, mut leaving) = accept(&mut reactor, address);
    staying.write_all(&[0; 1_000]).unwrap();
    leaving.write_all(&[0; 1_000]).unwrap();
    until(&mut reactor, readable(closed));
    assert!(reactor.closed_by_peers(&[open, closed]).is_empty());
    drop(leaving);
    let start = Instant::now();
    while reactor.closed_by_peers(&[open, closed]) != [closed] {
        assert!(start.elapsed() < Duration::from_secs(20));
    }
}

#[test]
fn a_paused_connection_reports_no_input_until_it_is_read_on_demand_again() {
    let mut reactor = Reactor::new(1 << 20).unwrap();
    let (listener, address) = listen(&mut reactor);
    reactor.accept_on_demand(listener, RECEIVE_BUFFER);
    let (id, mut peer) = accept(&mut reactor, address);
    reactor.pause_reading(id);
    peer.write_all(b"x").unwrap();
    (0..5).for_each(|_| assert!(poll(&mut reactor).is_empty()));
    reactor.read_on_demand(id);
    until(&mut reactor, readable(id));
}

/// Guards against memory that grows with the number of connections that have input (report 9fde00).
#[test]
fn one_poll_reads_a_bounded_number_of_bytes_and_the_next_one_begins_where_it_stopped() {
    const CONNECTIONS: usize = 64;
    let mut reactor = Reactor::new(1 << 20).unwrap();
    let (_, address) = listen(&mut reactor);
    let accepted: Vec<(Id, TcpStream)> = (0..CONNECTIONS).map(|_| accept(&mut reactor, address)).collect();
    for (_, peer) in &accepted {
        peer.set_nonblocking(true).unwrap();
    }
    let mut read: std::collections::HashSet<Id> = Default::default();
    for _ in 0..8 {
        // Each connection has more input than one poll reads from it.
        for (_, mut peer) in accepted.iter().map(|(id, peer)| (id, peer)) {
            let _ = peer.write(&[0; 128 * 1024]);
        }
        let mut bytes = 0;
        for event in poll(&mut reactor) {
            if let ReactorEvent::Received(id, received) = event {
                bytes += received.len();
                read.insert(id);
            }
        }
        assert!(bytes <= 1024 * 1024, "{bytes} bytes in one poll");
    }
    assert_eq!(read.len(), CONNECTIONS, "connections that were read");
}

/// Guards against descriptors and memory that grow with the number of clients that are disconnected and do not
/// read what was written to them (report 9fde00).
#[test]
fn connections_that_are_closed_and_not_read_by_their_peers_are_limited() {
    const BEYOND: usize = 10;
    let mut reactor = Reactor::new(16 << 20).unwrap();
    let (_, address) = listen(&mut reactor);
    let accepted: Vec<(Id, TcpStream)> =
        (0..MAX_FLUSHING + BEYOND).map(|_| accept(&mut reactor, address)).collect();
    for (id, _) in &accepted {
        reactor.write(*id, &[0; 8 << 20]);
        reactor.close_gracefully(*id);
    }
    let mut ended = Vec::new();
    for event in poll(&mut reactor) {
        if let ReactorEvent::Closed { id, .. } = event {
            ended.push(id);
        }
    }
    let longest: Vec<Id> = accepted[..BEYOND].iter().map(|(id, _)| *id).collect();
    assert_eq!(ended, longest, "the first ones to be closed");
}
