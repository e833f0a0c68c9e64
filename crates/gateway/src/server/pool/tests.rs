//! Tests of the pool with requests whose bytes were written in a loop iteration whose events it has not handled yet, and
//! with requests that share a connection. The worker is a listener whose replies each test writes itself.

use super::requests::OutgoingRequest;
use super::*;
use slatevalve::{Outcome, RequestId};
use slatevalve_platform::workers::LineProtocol;
use slatevalve_reactor::{Reactor, ReactorEvent};
use slatevalve_worker_protocol::{Call, WorkerRequest};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

const WORKER: WorkerId = WorkerId(7);

struct PoolFixture {
    reactor: Reactor,
    pool: Pool,
    worker: TcpListener,
}

impl PoolFixture {
    fn new(max_connections_per_worker: usize) -> Self {
        let worker = TcpListener::bind("127.0.0.1:0").expect("a port");
        let settings = PoolSettings {
            connect_timeout: Micros(10_000_000),
            idle_timeout: Micros(10_000_000),
            max_connections_per_worker,
            max_connections: 16,
            probe_timeout: Micros(10_000_000),
        };
        let wire = LineProtocol { max_streams: 4, reports_queue_depth: false };
        let mut fixture = PoolFixture {
            reactor: Reactor::new(1 << 20).expect("a poller"),
            pool: Pool::new(settings, Box::new(wire), Micros(10_000_000)),
            worker,
        };
        let address = fixture.worker.local_addr().expect("bound");
        fixture.pool.list(&mut fixture.reactor, WORKER, "w", address);
        fixture
    }

    fn call(&mut self, request: u64) -> AttemptRef {
        self.attempt(request, 0)
    }

    fn attempt(&mut self, request: u64, attempt: usize) -> AttemptRef {
        let attempt = AttemptRef { request: RequestId(request), attempt };
        let message = WorkerRequest::Infer(Call {
            function: "0000000000000001".into(),
            version: None,
            payload: b"charge".to_vec(),
            key: None,
            request_id: format!("{request:016x}"),
            attempt: 0,
            time_remaining_ms: 1_000,
            class: "card-charge".into(),
            settings: Vec::new(),
        });
        let request = OutgoingRequest { worker: WORKER, purpose: Purpose::Attempt(attempt), message };
        let end = self.pool.submit(Micros(0), &mut self.reactor, request);
        assert!(end.is_none(), "it begins");
        attempt
    }

    /// Polls until a connection is established. The pool does not handle the event, as when other events of the iteration
    /// come first. Nothing has been written then.
    fn poll_until_connected(&mut self) -> Id {
        let mut events = Vec::new();
        for _ in 0..100 {
            self.reactor.poll(Some(Duration::from_millis(100)), &mut events).expect("the poller works");
            let up = events.iter().find_map(|h| match h {
                ReactorEvent::Connected(id) => Some(*id),
                _ => None,
            });
            if let Some(id) = up {
                return id;
            }
        }
        panic!("no connection to a listener on this machine");
    }

    /// The same, followed by one more poll: what was submitted has been written.
    fn poll_until_written(&mut self) -> Id {
        let id = self.poll_until_connected();
        self.reactor.poll(Some(Duration::ZERO), &mut Vec::new()).expect("the poller works");
        assert!(self.reactor.written(id) > 0);
        id
    }

    /// The worker's side of the next connection.
    fn peer(&self) -> TcpStream {
        self.worker.set_nonblocking(true).expect("a socket");
        let start = Instant::now();
        let peer = loop {
            match self.worker.accept() {
                Ok((peer, _)) => break peer,
                Err(e) => assert!(start.elapsed() < Duration::from_secs(5), "nobody connects: {e}"),
            }
            std::thread::sleep(Duration::from_millis(1));
        };
        peer.set_nonblocking(false).expect("a socket");
        peer.set_read_timeout(Some(Duration::from_secs(20))).expect("a time");
        peer
    }

    /// One loop iteration in which the pool handles all events.
    fn poll(&mut self) -> Vec<Outcome> {
        let mut events = Vec::new();
        self.reactor.poll(Some(Duration::from_millis(20)), &mut events).expect("the poller works");
        let mut ends = Vec::new();
        for event in events {
            match event {
                ReactorEvent::Connected(id) => self.pool.connected(Micros(1), &mut self.reactor, id),
                ReactorEvent::Received(id, bytes) => {
                    ends.extend(self.pool.received(Micros(1), &mut self.reactor, id, &bytes));
                }
                ReactorEvent::Closed { id, connected, written } => {
                    ends.extend(self.pool.closed(Micros(1), id, connected, written));
                }
                _ => {}
            }
        }
        Self::outcomes(ends)
    }

    /// Polls until a number of requests have completed.
    fn poll_until_completed(&mut self, number: usize) -> Vec<Outcome> {
        let mut ends = Vec::new();
        for _ in 0..1000 {
            ends.extend(self.poll());
            if ends.len() >= number {
                return ends;
            }
        }
        panic!("{ends:?}");
    }

    /// Completes a call on a connection of its own; returns the worker's side of that connection.
    fn serve_call(&mut self, request: u64) -> TcpStream {
        self.call(request);
        let mut peer = self.peer();
        self.poll();
        self.poll();
        assert_eq!(received_calls(&mut peer, 1), [format!("{request:016x}")]);
        send_reply(&mut peer, request, "ACK");
        assert_eq!(self.poll_until_completed(1), [Outcome::Ok]);
        peer
    }

    fn outcomes(ends: Vec<RequestEnd>) -> Vec<Outcome> {
        ends.into_iter().map(|e| e.reply.outcome).collect()
    }

    fn cancel_unsent(&mut self) -> Vec<Outcome> {
        Self::outcomes(self.pool.cancel_unsent(Micros(1), &mut self.reactor, WORKER))
    }

    fn cancel_attempt(&mut self, attempt: AttemptRef) -> Outcome {
        let end = self.pool.cancel_attempt(Micros(1), &mut self.reactor, attempt, Outcome::Cancelled);
        end.expect("it is out").reply.outcome
    }
}

/// Reads the next calls on the worker's side; returns their ids.
fn received_calls(peer: &mut TcpStream, number: usize) -> Vec<String> {
    let mut text = String::new();
    let mut byte = [0; 1];
    while text.matches("charge\r\n").count() < number {
        assert_eq!(peer.read(&mut byte).expect("a call within the time"), 1, "it closed: {text}");
        text.push(char::from(byte[0]));
    }
    let lines = text.split("\r\n").filter_map(|l| l.strip_prefix("exec "));
    lines.map(|l| l[..16].to_string()).collect()
}

fn send_reply(peer: &mut TcpStream, request: u64, word: &str) {
    peer.write_all(format!("{request:016x} {word} - 0\r\n\r\n").as_bytes()).expect("it stands");
}

#[test]
fn a_drain_told_after_a_call_left_does_not_take_it_back_and_one_told_as_its_connection_stands_does() {
    // The pool handles the connection's event in neither case.
    for (leaves, taken) in [(true, vec![]), (false, vec![Outcome::NotSent])] {
        let mut fixture = PoolFixture::new(8);
        fixture.call(1);
        let mut peer = fixture.peer();
        let id = if leaves { fixture.poll_until_written() } else { fixture.poll_until_connected() };
        assert_eq!(fixture.cancel_unsent(), taken, "left: {leaves}");
        let left = fixture.reactor.written(id) > 0;
        assert_eq!(left, leaves);
        if !left {
            assert_eq!(peer.read(&mut [0; 9]).expect("a clean end"), 0, "not a byte came");
        }
    }
}

#[test]
fn a_drain_takes_back_what_waits_for_its_connection() {
    let mut fixture = PoolFixture::new(8);
    fixture.call(1);
    assert_eq!(fixture.cancel_unsent(), [Outcome::NotSent]);
    assert_eq!(fixture.pool.sizes()[1], 0, "its connection goes with it");
}

#[test]
fn a_drain_takes_back_what_waits_behind_a_call_and_leaves_the_call_to_its_end() {
    let mut fixture = PoolFixture::new(1);
    fixture.call(1);
    let mut peer = fixture.peer();
    fixture.poll_until_written();
    fixture.call(2);
    fixture.call(3);
    assert_eq!(fixture.cancel_unsent(), [Outcome::NotSent, Outcome::NotSent], "the first is at work");
    assert_eq!(received_calls(&mut peer, 1), [format!("{:016x}", 1)]);
    send_reply(&mut peer, 1, "ACK");
    assert_eq!(fixture.poll_until_completed(1), [Outcome::Ok]);
    peer.set_nonblocking(true).expect("a socket");
    assert!(!matches!(peer.read(&mut [0; 9]), Ok(n) if n > 0), "nothing of the others came");
}

#[test]
fn a_call_given_up_after_it_left_may_have_run() {
    let mut fixture = PoolFixture::new(8);
    let left = fixture.call(1);
    fixture.poll_until_written();
    let waits = fixture.call(2);
    assert_eq!(fixture.cancel_attempt(left), Outcome::Cancelled);
    assert_eq!(fixture.cancel_attempt(waits), Outcome::NotSent, "its own connection does not stand yet");
}

#[test]
fn a_call_given_up_before_it_left_never_reaches_the_worker_and_harms_no_other_on_its_connection() {
    let mut fixture = PoolFixture::new(1);
    let (_first, second, _third) = (fixture.call(1), fixture.call(2), fixture.call(3));
    assert_eq!(fixture.pool.sizes()[1], 1, "they share one");
    assert_eq!(fixture.cancel_attempt(second), Outcome::NotSent);
    let mut peer = fixture.peer();
    fixture.poll();
    fixture.poll();
    assert_eq!(received_calls(&mut peer, 2), [format!("{:016x}", 1), format!("{:016x}", 3)]);
    send_reply(&mut peer, 3, "ACK");
    send_reply(&mut peer, 1, "NOENT");
    assert_eq!(fixture.poll_until_completed(2), [Outcome::Ok, Outcome::Miss]);
}

#[test]
fn an_idle_connection_whose_close_has_come_is_not_used() {
    let mut fixture = PoolFixture::new(8);
    drop(fixture.serve_call(1));
    // The end of stream has reached the kernel, and no iteration has handled it.
    fixture.call(2);
    let mut peer = fixture.peer();
    fixture.poll();
    fixture.poll();
    assert_eq!(received_calls(&mut peer, 1), [format!("{:016x}", 2)], "on a new one");
}

#[test]
fn an_idle_connection_whose_time_is_up_is_not_used_though_its_timer_has_not_been_looked_at() {
    let mut fixture = PoolFixture::new(8);
    let _old = fixture.serve_call(1);
    // As after a process pause: a request is submitted first in the iteration in which the idle timeout expires.
    let attempt = fixture.call(2);
    fixture.cancel_attempt(attempt);
    let probe = OutgoingRequest { worker: WORKER, purpose: Purpose::Probe, message: WorkerRequest::Ready };
    let end = fixture.pool.submit(Micros(20_000_000), &mut fixture.reactor, probe);
    assert!(end.is_none());
    assert_eq!(fixture.pool.sizes()[1], 1, "the old one is closed, a new one comes up");
    let mut new = fixture.peer();
    fixture.poll();
    fixture.poll();
    assert!(new.read(&mut [0; 64]).expect("a probe") > 0);
}

#[test]
fn a_call_does_not_go_again_where_it_ended_so_that_a_second_copy_is_not_taken_for_its_answer() {
    let mut fixture = PoolFixture::new(8);
    fixture.call(1);
    let mut first = fixture.peer();
    fixture.poll_until_written();
    assert_eq!(received_calls(&mut first, 1), [format!("{:016x}", 1)]);
    send_reply(&mut first, 1, "NOENT");
    assert_eq!(fixture.poll_until_completed(1), [Outcome::Miss]);
    fixture.attempt(1, 1);
    let mut second = fixture.peer();
    // The duplicate arrives while the second attempt is in flight.
    send_reply(&mut first, 1, "NOENT");
    fixture.poll();
    fixture.poll();
    assert_eq!(received_calls(&mut second, 1), [format!("{:016x}", 1)]);
    send_reply(&mut second, 1, "ACK");
    assert_eq!(fixture.poll_until_completed(1), [Outcome::Ok]);
}

#[test]
fn an_answer_that_came_before_the_worker_closed_counts_though_the_next_call_meets_the_close() {
    let mut fixture = PoolFixture::new(1);
    fixture.call(1);
    let mut peer = fixture.peer();
    let id = fixture.poll_until_written();
    fixture.pool.connected(Micros(1), &mut fixture.reactor, id);
    fixture.call(2);
    // The worker replies without having read the second call, so its close is a reset behind the reply.
    send_reply(&mut peer, 1, "ACK");
    drop(peer);
    let ends = fixture.poll_until_completed(2);
    assert_eq!(ends[0], Outcome::Ok, "{ends:?}");
}
