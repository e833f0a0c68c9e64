//! What the pool says of requests whose bytes left in a turn that it was not told of yet, and of those that share a
//! connection. A worker here is a listener that accepts and says nothing.

use super::*;
use slatevalve::RequestId;
use slatevalve_platform::workers::Lines;
use slatevalve_reactor::ReactorEvent;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

const WORKER: WorkerId = WorkerId(7);

struct Bench {
    reactor: Reactor,
    pool: Pool,
    worker: TcpListener,
}

impl Bench {
    fn new(most: usize) -> Self {
        let worker = TcpListener::bind("127.0.0.1:0").expect("a port");
        let settings = PoolSettings {
            connect_timeout: Micros(10_000_000),
            idle: Micros(10_000_000),
            most,
            total: 16,
            probe_timeout: Micros(10_000_000),
        };
        let wire = Lines { streams: 4, tells_crowd: false };
        let mut bench = Bench {
            reactor: Reactor::new(1 << 20).expect("a poller"),
            pool: Pool::new(settings, Box::new(wire), Micros(10_000_000)),
            worker,
        };
        let address = bench.worker.local_addr().expect("bound");
        bench.pool.list(&mut bench.reactor, WORKER, "w", address);
        bench
    }

    fn call(&mut self, request: u64) -> AttemptRef {
        self.attempt(request, 0)
    }

    fn attempt(&mut self, request: u64, attempt: usize) -> AttemptRef {
        let attempt = AttemptRef { request: RequestId(request), attempt };
        let order = WorkerRequest::Infer(Call {
            function: "0000000000000001".into(),
            version: None,
            payload: b"charge".to_vec(),
            key: None,
            request_id: format!("{request:016x}"),
            attempt: 0,
            time_left_ms: 1_000,
            class: "card-charge".into(),
            settings: Vec::new(),
        });
        let end = self.pool.submit(Micros(0), &mut self.reactor, WORKER, Purpose::Attempt(attempt), order);
        assert!(end.is_none(), "it begins");
        attempt
    }

    /// Turns until a connection came up; the pool hears nothing of it, as when other news of the turn come first. Nothing has
    /// left then.
    fn until_up(&mut self) -> Id {
        let mut happened = Vec::new();
        for _ in 0..100 {
            self.reactor.poll(Some(Duration::from_millis(100)), &mut happened).expect("the poller works");
            let up = happened.iter().find_map(|h| match h {
                ReactorEvent::Connected(id) => Some(*id),
                _ => None,
            });
            if let Some(id) = up {
                return id;
            }
        }
        panic!("no connection to a listener on this machine");
    }

    /// The same, and one turn more: what was handed in has left.
    fn until_left(&mut self) -> Id {
        let id = self.until_up();
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

    /// One turn, with the pool told of everything.
    fn poll(&mut self) -> Vec<Outcome> {
        let mut happened = Vec::new();
        self.reactor.poll(Some(Duration::from_millis(20)), &mut happened).expect("the poller works");
        let mut ends = Vec::new();
        for event in happened {
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

    /// Turns until so many requests ended.
    fn until_ended(&mut self, number: usize) -> Vec<Outcome> {
        let mut ends = Vec::new();
        for _ in 0..1000 {
            ends.extend(self.poll());
            if ends.len() >= number {
                return ends;
            }
        }
        panic!("{ends:?}");
    }

    /// A call that went out on a connection of its own and was served; the worker's side of that connection.
    fn served(&mut self, request: u64) -> TcpStream {
        self.call(request);
        let mut peer = self.peer();
        self.poll();
        self.poll();
        assert_eq!(heard(&mut peer, 1), [format!("{request:016x}")]);
        say(&mut peer, request, "ACK");
        assert_eq!(self.until_ended(1), [Outcome::Ok]);
        peer
    }

    fn outcomes(ends: Vec<RequestEnd>) -> Vec<Outcome> {
        ends.into_iter().map(|e| e.understood.outcome).collect()
    }

    fn cancel_unsent(&mut self) -> Vec<Outcome> {
        Self::outcomes(self.pool.cancel_unsent(Micros(1), &mut self.reactor, WORKER))
    }

    fn cancel_attempt(&mut self, attempt: AttemptRef) -> Outcome {
        let end = self.pool.cancel_attempt(Micros(1), &mut self.reactor, attempt, Outcome::Cancelled);
        end.expect("it is out").understood.outcome
    }
}

/// The ids of the next calls that a worker reads.
fn heard(peer: &mut TcpStream, number: usize) -> Vec<String> {
    let mut text = String::new();
    let mut byte = [0; 1];
    while text.matches("charge\r\n").count() < number {
        assert_eq!(peer.read(&mut byte).expect("a call within the time"), 1, "it closed: {text}");
        text.push(char::from(byte[0]));
    }
    let lines = text.split("\r\n").filter_map(|l| l.strip_prefix("exec "));
    lines.map(|l| l[..16].to_string()).collect()
}

fn say(peer: &mut TcpStream, request: u64, word: &str) {
    peer.write_all(format!("{request:016x} {word} - 0\r\n\r\n").as_bytes()).expect("it stands");
}

#[test]
fn a_drain_told_after_a_call_left_does_not_take_it_back_and_one_told_as_its_connection_stands_does() {
    // The pool is told of the connection in neither case.
    for (leaves, taken) in [(true, vec![]), (false, vec![Outcome::NotSent])] {
        let mut bench = Bench::new(8);
        bench.call(1);
        let mut peer = bench.peer();
        let id = if leaves { bench.until_left() } else { bench.until_up() };
        assert_eq!(bench.cancel_unsent(), taken, "left: {leaves}");
        let left = bench.reactor.written(id) > 0;
        assert_eq!(left, leaves);
        if !left {
            assert_eq!(peer.read(&mut [0; 9]).expect("a clean end"), 0, "not a byte came");
        }
    }
}

#[test]
fn a_drain_takes_back_what_waits_for_its_connection() {
    let mut bench = Bench::new(8);
    bench.call(1);
    assert_eq!(bench.cancel_unsent(), [Outcome::NotSent]);
    assert_eq!(bench.pool.sizes()[1], 0, "its connection goes with it");
}

#[test]
fn a_drain_takes_back_what_waits_behind_a_call_and_leaves_the_call_to_its_end() {
    let mut bench = Bench::new(1);
    bench.call(1);
    let mut peer = bench.peer();
    bench.until_left();
    bench.call(2);
    bench.call(3);
    assert_eq!(bench.cancel_unsent(), [Outcome::NotSent, Outcome::NotSent], "the first is at work");
    assert_eq!(heard(&mut peer, 1), [format!("{:016x}", 1)]);
    say(&mut peer, 1, "ACK");
    assert_eq!(bench.until_ended(1), [Outcome::Ok]);
    peer.set_nonblocking(true).expect("a socket");
    assert!(!matches!(peer.read(&mut [0; 9]), Ok(n) if n > 0), "nothing of the others came");
}

#[test]
fn a_call_given_up_after_it_left_may_have_run() {
    let mut bench = Bench::new(8);
    let left = bench.call(1);
    bench.until_left();
    let waits = bench.call(2);
    assert_eq!(bench.cancel_attempt(left), Outcome::Cancelled);
    assert_eq!(bench.cancel_attempt(waits), Outcome::NotSent, "its own connection does not stand yet");
}

#[test]
fn a_call_given_up_before_it_left_never_reaches_the_worker_and_harms_no_other_on_its_connection() {
    let mut bench = Bench::new(1);
    let (_first, second, _third) = (bench.call(1), bench.call(2), bench.call(3));
    assert_eq!(bench.pool.sizes()[1], 1, "they share one");
    assert_eq!(bench.cancel_attempt(second), Outcome::NotSent);
    let mut peer = bench.peer();
    bench.poll();
    bench.poll();
    assert_eq!(heard(&mut peer, 2), [format!("{:016x}", 1), format!("{:016x}", 3)]);
    say(&mut peer, 3, "ACK");
    say(&mut peer, 1, "NOENT");
    assert_eq!(bench.until_ended(2), [Outcome::Ok, Outcome::Miss]);
}

#[test]
fn an_idle_connection_whose_close_has_come_is_not_used() {
    let mut bench = Bench::new(8);
    drop(bench.served(1));
    // Its end is in the kernel, and no turn has told of it.
    bench.call(2);
    let mut peer = bench.peer();
    bench.poll();
    bench.poll();
    assert_eq!(heard(&mut peer, 1), [format!("{:016x}", 2)], "on a new one");
}

#[test]
fn an_idle_connection_whose_time_is_up_is_not_used_though_its_timer_has_not_been_looked_at() {
    let mut bench = Bench::new(8);
    let _old = bench.served(1);
    // As after a standstill: a call comes first in the turn in which the time is up.
    let (attempt, order) = (bench.call(2), WorkerRequest::Ready);
    bench.cancel_attempt(attempt);
    let end = bench.pool.submit(Micros(20_000_000), &mut bench.reactor, WORKER, Purpose::Probe, order);
    assert!(end.is_none());
    assert_eq!(bench.pool.sizes()[1], 1, "the old one is closed, a new one comes up");
    let mut new = bench.peer();
    bench.poll();
    bench.poll();
    assert!(new.read(&mut [0; 64]).expect("a probe") > 0);
}

#[test]
fn a_call_does_not_go_again_where_it_ended_so_that_a_second_copy_is_not_taken_for_its_answer() {
    let mut bench = Bench::new(8);
    bench.call(1);
    let mut first = bench.peer();
    bench.until_left();
    assert_eq!(heard(&mut first, 1), [format!("{:016x}", 1)]);
    say(&mut first, 1, "NOENT");
    assert_eq!(bench.until_ended(1), [Outcome::Miss]);
    bench.attempt(1, 1);
    let mut second = bench.peer();
    // The copy comes while the second attempt is out.
    say(&mut first, 1, "NOENT");
    bench.poll();
    bench.poll();
    assert_eq!(heard(&mut second, 1), [format!("{:016x}", 1)]);
    say(&mut second, 1, "ACK");
    assert_eq!(bench.until_ended(1), [Outcome::Ok]);
}

#[test]
fn an_answer_that_came_before_the_worker_closed_counts_though_the_next_call_meets_the_close() {
    let mut bench = Bench::new(1);
    bench.call(1);
    let mut peer = bench.peer();
    let id = bench.until_left();
    bench.pool.connected(Micros(1), &mut bench.reactor, id);
    bench.call(2);
    // It answers the first unread, so its close is a reset behind the answer.
    say(&mut peer, 1, "ACK");
    drop(peer);
    let ends = bench.until_ended(2);
    assert_eq!(ends[0], Outcome::Ok, "{ends:?}");
}
