//! What holds when a peer's bytes, close or reset come between two calls of the loop. Peers are plain sockets; before each
//! turn the peer's side has happened: its write returned, its close was seen.

use slatevalve_reactor::{Id, Reactor, ReactorEvent, MAX_LINGERING};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

struct Loop {
    reactor: Reactor,
    happened: Vec<ReactorEvent>,
}

impl Loop {
    fn new() -> Self {
        Loop { reactor: Reactor::new(4 << 20).unwrap(), happened: Vec::new() }
    }

    fn poll(&mut self) {
        self.reactor.poll(Some(Duration::from_millis(10)), &mut self.happened).unwrap();
    }

    fn until<T>(&mut self, mut find: impl FnMut(&mut Self) -> Option<T>) -> T {
        let start = Instant::now();
        loop {
            if let Some(found) = find(self) {
                return found;
            }
            assert!(start.elapsed() < Duration::from_secs(20), "in vain: {:?}", self.happened);
            self.poll();
        }
    }

    /// A connection to a listener that stands and of which the loop knows.
    fn standing(&mut self) -> (Id, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let id = self.reactor.connect(listener.local_addr().unwrap()).unwrap();
        let peer = listener.accept().unwrap().0;
        self.until(|l| {
            l.happened.iter().any(|h| matches!(h, ReactorEvent::Connected(i) if *i == id)).then_some(())
        });
        (id, peer)
    }

    /// A connection from a client that was accepted.
    fn accepted(&mut self) -> (Id, TcpStream) {
        let (listener, address) = self.reactor.listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let peer = TcpStream::connect(address).unwrap();
        let id = self.until(|l| {
            l.happened.iter().find_map(|h| match h {
                ReactorEvent::Accepted { connection, listener: at, .. } if *at == listener => {
                    Some(*connection)
                }
                _ => None,
            })
        });
        (id, peer)
    }

    fn received(&self, id: Id) -> Vec<u8> {
        let bytes = self.happened.iter().filter_map(|h| match h {
            ReactorEvent::Received(i, bytes) if *i == id => Some(bytes.as_slice()),
            _ => None,
        });
        bytes.collect::<Vec<_>>().concat()
    }

    fn is_closed(&self, id: Id) -> bool {
        self.happened.iter().any(|h| matches!(h, ReactorEvent::Closed { id: i, .. } if *i == id))
    }
}

#[test]
fn what_a_peer_said_before_its_reset_is_told_though_a_write_finds_the_reset() {
    let mut l = Loop::new();
    let (id, mut peer) = l.standing();
    // Unread bytes at its close make the peer's kernel send a reset behind the answer.
    l.reactor.write(id, b"question");
    l.poll();
    peer.write_all(b"answer").unwrap();
    drop(peer);
    l.reactor.write(id, b"the next question");
    l.until(|l| l.is_closed(id).then_some(()));
    assert_eq!(l.received(id), b"answer");
    let at = |f: fn(&ReactorEvent) -> bool| l.happened.iter().position(f).unwrap();
    let told = at(|h| matches!(h, ReactorEvent::Received(..)));
    assert!(told < at(|h| matches!(h, ReactorEvent::Closed { .. })), "before its end");
}

#[test]
fn what_waits_for_a_connection_can_be_taken_back_in_the_turn_in_which_it_stands() {
    let mut l = Loop::new();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let id = l.reactor.connect(listener.local_addr().unwrap()).unwrap();
    l.reactor.write(id, b"one two three");
    let mut peer = listener.accept().unwrap().0;
    l.until(|l| l.happened.iter().any(|h| matches!(h, ReactorEvent::Connected(_))).then_some(()));
    assert_eq!(l.reactor.written(id), 0);
    assert!(l.reactor.discard_unsent(id, 4, 8), "nothing of it left");
    l.poll();
    assert_eq!(l.reactor.written(id), 9);
    assert!(!l.reactor.discard_unsent(id, 0, 4), "it left");
    assert!(!l.reactor.discard_unsent(id, 9, 10), "there is no such byte");
    let mut seen = [0; 9];
    peer.read_exact(&mut seen).unwrap();
    assert_eq!(&seen, b"one three");
}

#[test]
fn a_loop_that_stood_still_looks_before_it_writes() {
    let mut l = Loop::new();
    let (id, mut peer) = l.standing();
    l.reactor.write(id, b"decided");
    peer.write_all(b"news").unwrap();
    l.reactor.look(Some(Duration::from_secs(5)), &mut l.happened).unwrap();
    assert_eq!((l.received(id), l.reactor.written(id)), (b"news".to_vec(), 0));
    assert!(l.reactor.discard_unsent(id, 0, 7));
}

#[test]
fn what_may_be_written_only_until_a_time_is_kept_back_after_it() {
    let mut l = Loop::new();
    let ((first, _one), (second, _other)) = (l.standing(), l.standing());
    l.poll();
    l.reactor.write(first, b"decided");
    l.reactor.write(second, b"decided");
    // The process stood still before its first write; there is nothing to wait for in a turn that wrote nothing.
    let start = Instant::now();
    l.reactor.poll_until(Some(Duration::from_secs(60)), Some(start), &mut l.happened).unwrap();
    assert_eq!((l.reactor.written(first), l.reactor.written(second)), (0, 0));
    assert!(start.elapsed() < Duration::from_secs(30));
    assert!(l.reactor.discard_unsent(first, 0, 7), "it can be taken back");
    // What is left goes out in the next turn that may write.
    let later = Some(start + Duration::from_secs(3_600));
    l.reactor.poll_until(Some(Duration::ZERO), later, &mut l.happened).unwrap();
    assert_eq!((l.reactor.written(first), l.reactor.written(second)), (0, 7));
}

#[test]
fn a_connection_closed_in_order_over_unread_bytes_is_read_by_its_peer_to_the_end() {
    let mut l = Loop::new();
    let (id, mut peer) = l.accepted();
    // More than the kernel takes at once, to a peer that has not read yet.
    let answer = vec![b'a'; 3 << 20];
    l.reactor.write(id, &answer);
    l.reactor.finish(id);
    l.poll();
    peer.write_all(b"what nobody reads").unwrap();
    let reads = std::thread::spawn(move || {
        let mut all = Vec::new();
        let end = peer.read_to_end(&mut all);
        (end.map_err(|e| e.kind()), all.len())
    });
    l.until(|l| (l.is_closed(id) && l.reactor.lingering() == 0).then_some(()));
    assert_eq!(reads.join().unwrap(), (Ok(answer.len()), answer.len()), "no reset");
    let ends = l.happened.iter().filter(|h| matches!(h, ReactorEvent::Closed { .. })).count();
    assert_eq!(ends, 1, "its end is told once");
}

#[test]
fn connections_that_are_read_out_are_bounded_in_number_and_time() {
    let mut l = Loop::new();
    let peers: Vec<(Id, TcpStream)> = (0..MAX_LINGERING + 9).map(|_| l.accepted()).collect();
    for (id, _) in &peers {
        l.reactor.finish(*id);
        assert!(l.reactor.lingering() <= MAX_LINGERING);
    }
    let start = Instant::now();
    // They never close; the loop does.
    l.until(|l| (l.reactor.lingering() == 0).then_some(()));
    assert!(start.elapsed() >= Duration::from_millis(300), "not before its time");
}

#[test]
fn a_connection_that_is_to_be_closed_and_whose_peer_reads_nothing_ends_within_a_bounded_time() {
    let mut l = Loop::new();
    // More than the kernel takes, to peers that do not read; the last one gets all of it after all.
    let mut peers: Vec<(Id, TcpStream)> = (0..4).map(|_| l.accepted()).collect();
    let mut written = 0;
    for (id, _) in &peers {
        written = 0;
        l.until(|l| {
            l.reactor.write(*id, &[b'a'; 1 << 20]);
            written += 1 << 20;
            l.poll();
            (l.reactor.pending(*id) > 1 << 20).then_some(())
        });
        l.reactor.finish(*id);
        l.reactor.finish(*id);
    }
    let (reads, mut reader) = peers.pop().unwrap();
    let reader = std::thread::spawn(move || reader.read_to_end(&mut Vec::new()).unwrap());
    l.until(|l| peers.iter().all(|s| l.is_closed(s.0)).then_some(()));
    assert_eq!(reader.join().unwrap(), written);
    let ends = |id: Id| {
        l.happened.iter().filter(|h| matches!(h, ReactorEvent::Closed { id: i, .. } if *i == id)).count()
    };
    assert!(peers.iter().map(|s| s.0).chain([reads]).all(|id| ends(id) == 1), "each end is told once");
    assert!(!l.reactor.has_pending(), "nothing is left of them");
}

#[test]
fn a_listener_that_closes_takes_what_waits_before() {
    let mut l = Loop::new();
    let (listener, address) = l.reactor.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let peers: Vec<TcpStream> = (0..100).map(|_| TcpStream::connect(address).unwrap()).collect();
    l.reactor.close_listener(listener, &mut l.happened);
    let accepted = l.happened.iter().filter(|h| matches!(h, ReactorEvent::Accepted { .. })).count();
    assert_eq!(accepted, peers.len());
    assert!(TcpStream::connect(address).is_err(), "closed");
}

#[test]
fn a_connection_with_news_that_were_not_told_is_not_quiet() {
    let mut l = Loop::new();
    let (id, mut peer) = l.standing();
    assert!(l.reactor.is_quiet(id));
    peer.write_all(b"late").unwrap();
    assert!(!l.reactor.is_quiet(id), "bytes");
    l.until(|l| (l.received(id) == b"late").then_some(()));
    assert!(l.reactor.is_quiet(id));
    drop(peer);
    assert!(!l.reactor.is_quiet(id), "its end");
}
