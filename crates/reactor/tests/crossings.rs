//! Invariants of the reactor when a peer's bytes, close or reset arrive between two polls. Peers are plain
//! sockets whose action is complete before each poll: the write has returned, or the close has been received.

use slatevalve_reactor::{AcceptQueue, Id, Reactor, ReactorEvent, MAX_LINGERING};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

struct Fixture {
    reactor: Reactor,
    events: Vec<ReactorEvent>,
}

impl Fixture {
    fn new() -> Self {
        Fixture { reactor: Reactor::new(4 << 20).unwrap(), events: Vec::new() }
    }

    fn poll(&mut self) {
        self.reactor.poll(Some(Duration::from_millis(10)), &mut self.events).unwrap();
    }

    /// Polls until `find` returns a value.
    fn until<T>(&mut self, mut find: impl FnMut(&mut Self) -> Option<T>) -> T {
        let start = Instant::now();
        loop {
            if let Some(found) = find(self) {
                return found;
            }
            assert!(
                start.elapsed() < Duration::from_secs(20),
                "condition not met within 20 s; events: {:?}",
                self.events
            );
            self.poll();
        }
    }

    /// Opens a connection; returns it and the peer's side once its event has been reported.
    fn connected(&mut self) -> (Id, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let id = self.reactor.connect(listener.local_addr().unwrap()).unwrap();
        let peer = listener.accept().unwrap().0;
        self.until(|fixture| {
            fixture.events.iter().any(|h| matches!(h, ReactorEvent::Connected(i) if *i == id)).then_some(())
        });
        (id, peer)
    }

    /// Accepts a connection; returns it and the client's side.
    fn accepted(&mut self) -> (Id, TcpStream) {
        let (listener, address) = self.reactor.listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let peer = TcpStream::connect(address).unwrap();
        let id = self.until(|fixture| {
            fixture.events.iter().find_map(|h| match h {
                ReactorEvent::Accepted { connection, listener: at, .. } if *at == listener => {
                    Some(*connection)
                }
                _ => None,
            })
        });
        (id, peer)
    }

    fn received(&self, id: Id) -> Vec<u8> {
        let bytes = self.events.iter().filter_map(|h| match h {
            ReactorEvent::Received(i, bytes) if *i == id => Some(bytes.as_slice()),
            _ => None,
        });
        bytes.collect::<Vec<_>>().concat()
    }

    fn is_closed(&self, id: Id) -> bool {
        self.events.iter().any(|h| matches!(h, ReactorEvent::Closed { id: i, .. } if *i == id))
    }
}

#[test]
fn bytes_received_before_a_reset_are_reported_even_if_a_write_detects_the_reset() {
    let mut fixture = Fixture::new();
    let (id, mut peer) = fixture.connected();
    // The peer closes with unread bytes, so its kernel sends a reset after the answer.
    fixture.reactor.write(id, b"request");
    fixture.poll();
    peer.write_all(b"answer").unwrap();
    drop(peer);
    fixture.reactor.write(id, b"next request");
    fixture.until(|fixture| fixture.is_closed(id).then_some(()));
    assert_eq!(fixture.received(id), b"answer");
    let at = |f: fn(&ReactorEvent) -> bool| fixture.events.iter().position(f).unwrap();
    let received = at(|h| matches!(h, ReactorEvent::Received(..)));
    assert!(
        received < at(|h| matches!(h, ReactorEvent::Closed { .. })),
        "bytes are reported before the close"
    );
}

#[test]
fn queued_bytes_can_be_discarded_in_the_poll_that_establishes_the_connection() {
    let mut fixture = Fixture::new();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let id = fixture.reactor.connect(listener.local_addr().unwrap()).unwrap();
    fixture.reactor.write(id, b"one two three");
    let mut peer = listener.accept().unwrap().0;
    fixture.until(|fixture| {
        fixture.events.iter().any(|h| matches!(h, ReactorEvent::Connected(_))).then_some(())
    });
    assert_eq!(fixture.reactor.written(id), 0);
    assert!(fixture.reactor.discard_unsent(id, 4, 8), "no byte of the range was written");
    fixture.poll();
    assert_eq!(fixture.reactor.written(id), 9);
    assert!(!fixture.reactor.discard_unsent(id, 0, 4), "the range has been written");
    assert!(!fixture.reactor.discard_unsent(id, 9, 10), "the range is beyond the last byte");
    let mut received = [0; 9];
    peer.read_exact(&mut received).unwrap();
    assert_eq!(&received, b"one three");
}

#[test]
fn polling_without_writing_reports_input_and_keeps_output_discardable() {
    let mut fixture = Fixture::new();
    let (id, mut peer) = fixture.connected();
    fixture.reactor.write(id, b"pending");
    peer.write_all(b"input").unwrap();
    fixture.reactor.poll_without_writing(Some(Duration::from_secs(5)), &mut fixture.events).unwrap();
    assert_eq!((fixture.received(id), fixture.reactor.written(id)), (b"input".to_vec(), 0));
    assert!(fixture.reactor.discard_unsent(id, 0, 7));
}

#[test]
fn writes_stop_at_the_deadline_and_the_rest_stays_discardable() {
    let mut fixture = Fixture::new();
    let ((first, _one), (second, _other)) = (fixture.connected(), fixture.connected());
    fixture.poll();
    fixture.reactor.write(first, b"pending");
    fixture.reactor.write(second, b"pending");
    // As after a process pause: the deadline has passed before the first write. Such a poll does not wait for
    // events.
    let start = Instant::now();
    fixture.reactor.poll_until(Some(Duration::from_secs(60)), Some(start), &mut fixture.events).unwrap();
    assert_eq!((fixture.reactor.written(first), fixture.reactor.written(second)), (0, 0));
    assert!(start.elapsed() < Duration::from_secs(30));
    assert!(fixture.reactor.discard_unsent(first, 0, 7), "unwritten bytes can be discarded");
    // The next poll with a later deadline writes the rest.
    let later = Some(start + Duration::from_secs(3_600));
    fixture.reactor.poll_until(Some(Duration::ZERO), later, &mut fixture.events).unwrap();
    assert_eq!((fixture.reactor.written(first), fixture.reactor.written(second)), (0, 7));
}

#[test]
fn after_a_graceful_close_with_unread_input_the_peer_can_read_everything() {
    let mut fixture = Fixture::new();
    let (id, mut peer) = fixture.accepted();
    // More than the kernel accepts in one write, to a peer that has not read yet.
    let answer = vec![b'a'; 3 << 20];
    fixture.reactor.write(id, &answer);
    fixture.reactor.close_gracefully(id);
    fixture.poll();
    peer.write_all(b"unread input").unwrap();
    let reads = std::thread::spawn(move || {
        let mut all = Vec::new();
        let end = peer.read_to_end(&mut all);
        (end.map_err(|e| e.kind()), all.len())
    });
    fixture.until(|fixture| (fixture.is_closed(id) && fixture.reactor.lingering() == 0).then_some(()));
    assert_eq!(reads.join().unwrap(), (Ok(answer.len()), answer.len()), "the peer must not receive a reset");
    let ends = fixture.events.iter().filter(|h| matches!(h, ReactorEvent::Closed { .. })).count();
    assert_eq!(ends, 1, "the close is reported once");
}

#[test]
fn lingering_connections_are_bounded_in_number_and_time() {
    let mut fixture = Fixture::new();
    let peers: Vec<(Id, TcpStream)> = (0..MAX_LINGERING + 9).map(|_| fixture.accepted()).collect();
    for (id, _) in &peers {
        fixture.reactor.close_gracefully(*id);
        assert!(fixture.reactor.lingering() <= MAX_LINGERING);
    }
    let start = Instant::now();
    // The peers never close their side, so the reactor's timeout must.
    fixture.until(|fixture| (fixture.reactor.lingering() == 0).then_some(()));
    assert!(start.elapsed() >= Duration::from_millis(300), "lingering must not end before its timeout");
}

#[test]
fn a_graceful_close_ends_within_a_bounded_time_if_the_peer_reads_nothing() {
    let mut fixture = Fixture::new();
    // More than the kernel accepts, to peers that do not read. The last peer reads everything later.
    let mut peers: Vec<(Id, TcpStream)> = (0..4).map(|_| fixture.accepted()).collect();
    let mut written = 0;
    for (id, _) in &peers {
        written = 0;
        fixture.until(|fixture| {
            fixture.reactor.write(*id, &[b'a'; 1 << 20]);
            written += 1 << 20;
            fixture.poll();
            (fixture.reactor.pending(*id) > 1 << 20).then_some(())
        });
        fixture.reactor.close_gracefully(*id);
        fixture.reactor.close_gracefully(*id);
    }
    let (read_id, mut reader) = peers.pop().unwrap();
    let reader = std::thread::spawn(move || reader.read_to_end(&mut Vec::new()).unwrap());
    fixture.until(|fixture| peers.iter().all(|s| fixture.is_closed(s.0)).then_some(()));
    assert_eq!(reader.join().unwrap(), written);
    let ends = |id: Id| {
        fixture.events.iter().filter(|h| matches!(h, ReactorEvent::Closed { id: i, .. } if *i == id)).count()
    };
    assert!(
        peers.iter().map(|s| s.0).chain([read_id]).all(|id| ends(id) == 1),
        "each close is reported once"
    );
    assert!(!fixture.reactor.has_pending(), "no bytes stay buffered");
}

#[test]
fn accept_all_empties_the_accept_queue_before_a_listener_is_closed() {
    let mut fixture = Fixture::new();
    let (listener, address) = fixture.reactor.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let peers: Vec<TcpStream> = (0..100).map(|_| TcpStream::connect(address).unwrap()).collect();
    assert_eq!(fixture.reactor.accept_all(listener, &mut fixture.events), AcceptQueue::Empty);
    fixture.reactor.close(listener);
    let accepted = fixture.events.iter().filter(|h| matches!(h, ReactorEvent::Accepted { .. })).count();
    assert_eq!(accepted, peers.len());
    assert!(TcpStream::connect(address).is_err(), "the listener is closed");
}

#[test]
fn a_connection_with_unreported_input_is_not_reusable() {
    let mut fixture = Fixture::new();
    let (id, mut peer) = fixture.connected();
    assert!(fixture.reactor.is_reusable(id));
    peer.write_all(b"late").unwrap();
    assert!(!fixture.reactor.is_reusable(id), "unread bytes");
    fixture.until(|fixture| (fixture.received(id) == b"late").then_some(()));
    assert!(fixture.reactor.is_reusable(id));
    drop(peer);
    assert!(!fixture.reactor.is_reusable(id), "unread end of stream");
}
