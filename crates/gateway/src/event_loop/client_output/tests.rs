//! Clients that do not read, at a real reactor: the kernel's buffers are full before bytes wait.

use super::*;
use slatevalve_reactor::ReactorEvent;
use std::io::Read;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// More than the kernel keeps for a connection.
const MUCH: usize = 16 * 1024 * 1024;

struct Fixture {
    reactor: Reactor,
    output: ClientOutput,
    clients: Vec<(Id, TcpStream)>,
}

impl Fixture {
    fn new(clients: usize, max_unwritten: usize) -> Self {
        let mut reactor = Reactor::new(2 * MUCH).unwrap();
        let (_, address) = reactor.listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let peers: Vec<TcpStream> = (0..clients).map(|_| TcpStream::connect(address).unwrap()).collect();
        let mut accepted = Vec::new();
        while accepted.len() < clients {
            let mut events = Vec::new();
            reactor.poll(Some(Duration::from_millis(10)), &mut events).unwrap();
            accepted.extend(events.into_iter().filter_map(|event| match event {
                ReactorEvent::Accepted { connection, .. } => Some(connection),
                _ => None,
            }));
        }
        let clients = accepted.into_iter().zip(peers).collect();
        Fixture { reactor, output: ClientOutput::new(max_unwritten), clients }
    }

    fn write(&mut self, client: usize, bytes: usize) {
        let id = self.clients[client].0;
        self.reactor.write(id, &vec![0; bytes]);
        self.output.buffered(id, self.reactor.pending(id));
    }

    fn check(&mut self) -> OutputChanges {
        self.reactor.poll(Some(Duration::ZERO), &mut Vec::new()).unwrap();
        self.output.check(&self.reactor)
    }
}

/// Guards against reading ever more requests of a client that reads no answers (report 9fde00).
#[test]
fn a_client_that_does_not_read_is_suspended_until_it_has_read() {
    let mut fixture = Fixture::new(1, usize::MAX);
    let id = fixture.clients[0].0;
    fixture.write(0, 1_000);
    assert_eq!(fixture.check(), OutputChanges::default());
    fixture.write(0, MUCH);
    assert_eq!(fixture.check(), OutputChanges { suspended: vec![id], ..OutputChanges::default() });
    assert_eq!(fixture.check(), OutputChanges::default(), "once");
    let start = Instant::now();
    let mut buffer = vec![0; 1 << 20];
    let changes = loop {
        let _ = fixture.clients[0].1.read(&mut buffer).unwrap();
        let changes = fixture.check();
        if changes != OutputChanges::default() {
            break changes;
        }
        assert!(start.elapsed() < Duration::from_secs(20));
    };
    assert_eq!(changes, OutputChanges { resumed: vec![id], ..OutputChanges::default() });
}

/// Guards against memory that grows with the number of clients that do not read (report 9fde00).
#[test]
fn clients_that_together_have_too_much_waiting_are_closed_the_largest_first() {
    let mut fixture = Fixture::new(3, MUCH);
    (0..3).for_each(|client| fixture.write(client, MUCH + client * 100_000));
    let mut pending: Vec<(usize, Id)> = Vec::new();
    let closed = fixture.check().closed;
    for (id, _) in &fixture.clients {
        pending.push((fixture.reactor.pending(*id), *id));
    }
    pending.sort_unstable();
    let kept: usize = pending.iter().filter(|(_, id)| !closed.contains(id)).map(|(bytes, _)| bytes).sum();
    assert!(!closed.is_empty() && kept <= MUCH, "{closed:?}, {kept} bytes kept");
    assert_eq!(closed[0], pending[2].1);
}
