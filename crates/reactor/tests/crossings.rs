//! Invariants of the reactor when a peer's bytes, close or reset arrive between two polls. Peers are plain sockets whose
//! action is complete before each poll: the write has returned, the close has been seen.

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

    fn until<T>(&mut self, mut find: impl FnMut(&mut Self) -> Option<T>) -> T {
        let start = Instant::now();
        loop {
            if let Some(found) = find(self) {
                return found;
            }
            assert!(start.elapsed() < Duration::from_secs(20), "in vain: {:?}", self.events);
            self.poll();
        }
    }

    /// An established connection to a listener; its event has been handled.
    fn connected(&mut self) -> (Id, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let id = self.reactor.connect(listener.local_addr().unwrap()).unwrap();
        let peer = listener.accept().unwrap().0;
        self.until(|fixture| {
            fixture.events.iter().any(|h| matches!(h, ReactorEvent::Connected(i) if *i == id)).then_some(())
        });
        (id, peer)
    }

    /// An accepted connection, and the client's side of it.
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
fn what_a_peer_said_before_its_reset_is_told_though_a_write_finds_the_reset() {
    let mut fixture = Fixture::new();
    let (id, mut peer) = fixture.connected();
    // Unread bytes at its close make the peer's kernel send a reset after the answer.
    fixture.reactor.write(id, b"question");
    fixture.poll();
    peer.write_all(b"answer").unwrap();
    drop(peer);
    fixture.reactor.write(id, b"the next question");
    fixture.until(|fixture| fixture.is_closed(id).then_some(()));
    assert_eq!(fixture.received(id), b"answer");
    let at = |f: fn(&ReactorEvent) -> bool| fixture.events.iter().position(f).unwrap();
    let told = at(|h| matches!(h, ReactorEvent::Received(..)));
    assert!(told < at(|h| matches!(h, ReactorEvent::Closed { .. })), "before its end");
}

#[test]
fn what_waits_for_a_connection_can_be_taken_back_in_the_turn_in_which_it_stands() {
    let mut fixture = Fixture::new();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let id = fixture.reactor.connect(listener.local_addr().unwrap()).unwrap();
    fixture.reactor.write(id, b"one two three");
    let mut peer = listener.accept().unwrap().0;
    fixture.until(|fixture| {
        fixture.events.iter().any(|h| matches!(h, ReactorEvent::Connected(_))).then_some(())
    });
    assert_eq!(fixture.reactor.written(id), 0);
    assert!(fixture.reactor.discard_unsent(id, 4, 8), "nothing of it left");
    fixture.poll();
    assert_eq!(fixture.reactor.written(id), 9);
    assert!(!fixture.reactor.discard_unsent(id, 0, 4), "it left");
    assert!(!fixture.reactor.discard_unsent(id, 9, 10), "there is no such byte");
    let mut seen = [0; 9];
    peer.read_exact(&mut seen).unwrap();
    assert_eq!(&seen, b"one three");
}

#[test]
fn a_loop_that_stood_still_looks_before_it_writes() {
    let mut fixture = Fixture::new();
    let (id, mut peer) = fixture.connected();
    fixture.reactor.write(id, b"decided");
    peer.write_all(b"news").unwrap();
    fixture.reactor.poll_without_writing(Some(Duration::from_secs(5)), &mut fixture.events).unwrap();
    assert_eq!((fixture.received(id), fixture.reactor.written(id)), (b"news".to_vec(), 0));
    assert!(fixture.reactor.discard_unsent(id, 0, 7));
}

#[test]
fn what_may_be_written_only_until_a_time_is_kept_back_after_it() {
    let mut fixture = Fixture::new();
    let ((first, _one), (second, _other)) = (fixture.connected(), fixture.connected());
    fixture.poll();
    fixture.reactor.write(first, b"decided");
    fixture.reactor.write(second, b"decided");
    // The process was paused before its first write; a poll that wrote nothing does not wait.
    let start = Instant::now();
    fixture.reactor.poll_until(Some(Duration::from_secs(60)), Some(start), &mut fixture.events).unwrap();
    assert_eq!((fixture.reactor.written(first), fixture.reactor.written(second)), (0, 0));
    assert!(start.elapsed() < Duration::from_secs(30));
    assert!(fixture.reactor.discard_unsent(first, 0, 7), "it can be taken back");
    // The rest is written by the next poll that may write.
    let later = Some(start + Duration::from_secs(3_600));
    fixture.reactor.poll_until(Some(Duration::ZERO), later, &mut fixture.events).unwrap();
    assert_eq!((fixture.reactor.written(first), fixture.reactor.written(second)), (0, 7));
}

#[test]
fn a_connection_closed_in_order_over_unread_bytes_is_read_by_its_peer_to_the_end() {
    let mut fixture = Fixture::new();
    let (id, mut peer) = fixture.accepted();
    // More than the kernel accepts at once, to a peer that has not read yet.
    let answer = vec![b'a'; 3 << 20];
    fixture.reactor.write(id, &answer);
    fixture.reactor.close_gracefully(id);
    fixture.poll();
    peer.write_all(b"what nobody reads").unwrap();
    let reads = std::thread::spawn(move || {
        let mut all = Vec::new();
        let end = peer.read_to_end(&mut all);
        (end.map_err(|e| e.kind()), all.len())
    });
    fixture.until(|fixture| (fixture.is_closed(id) && fixture.reactor.lingering() == 0).then_some(()));
    assert_eq!(reads.join().unwrap(), (Ok(answer.len()), answer.len()), "no reset");
    let ends = fixture.events.iter().filter(|h| matches!(h, ReactorEvent::Closed { .. })).count();
    assert_eq!(ends, 1, "its end is told once");
}

#[test]
fn connections_that_are_read_out_are_bounded_in_number_and_time() {
    let mut fixture = Fixture::new();
    let peers: Vec<(Id, TcpStream)> = (0..MAX_LINGERING + 9).map(|_| fixture.accepted()).collect();
    for (id, _) in &peers {
        fixture.reactor.close_gracefully(*id);
        assert!(fixture.reactor.lingering() <= MAX_LINGERING);
    }
    let start = Instant::now();
    // The peers never close; the reactor does.
    fixture.until(|fixture| (fixture.reactor.lingering() == 0).then_some(()));
    assert!(start.elapsed() >= Duration::from_millis(300), "not before its time");
}

#[test]
fn a_connection_that_is_to_be_closed_and_whose_peer_reads_nothing_ends_within_a_bounded_time() {
    let mut fixture = Fixture::new();
    // More than the kernel accepts, to peers that do not read; the last one reads all of it later.
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
    let (reads, mut reader) = peers.pop().unwrap();
    let reader = std::thread::spawn(move || reader.read_to_end(&mut Vec::new()).unwrap());
    fixture.until(|fixture| peers.iter().all(|s| fixture.is_closed(s.0)).then_some(()));
    assert_eq!(reader.join().unwrap(), written);
    let ends = |id: Id| {
        fixture.events.iter().filter(|h| matches!(h, ReactorEvent::Closed { id: i, .. } if *i == id)).count()
    };
    assert!(peers.iter().map(|s| s.0).chain([reads]).all(|id| ends(id) == 1), "each end is told once");
    assert!(!fixture.reactor.has_pending(), "nothing is left of them");
}

#[test]
fn a_listener_that_closes_takes_what_waits_before() {
    let mut fixture = Fixture::new();
    let (listener, address) = fixture.reactor.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let peers: Vec<TcpStream> = (0..100).map(|_| TcpStream::connect(address).unwrap()).collect();
    assert_eq!(fixture.reactor.accept_all(listener, &mut fixture.events), AcceptQueue::Empty);
    fixture.reactor.close(listener);
    let accepted = fixture.events.iter().filter(|h| matches!(h, ReactorEvent::Accepted { .. })).count();
    assert_eq!(accepted, peers.len());
    assert!(TcpStream::connect(address).is_err(), "closed");
}

#[test]
fn a_connection_with_news_that_were_not_told_is_not_quiet() {
    let mut fixture = Fixture::new();
    let (id, mut peer) = fixture.connected();
    assert!(fixture.reactor.is_reusable(id));
    peer.write_all(b"late").unwrap();
    assert!(!fixture.reactor.is_reusable(id), "bytes");
    fixture.until(|fixture| (fixture.received(id) == b"late").then_some(()));
    assert!(fixture.reactor.is_reusable(id));
    drop(peer);
    assert!(!fixture.reactor.is_reusable(id), "its end");
}
