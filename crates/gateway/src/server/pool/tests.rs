//! Tests of the pool with requests whose bytes were written in an iteration whose events the pool has not
//! handled yet, and with requests that share a connection. The worker is a plain listener; each test writes
//! its replies itself.

use super::requests::OutgoingRequest;
use super::*;
use slatevalve::{Outcome, ProcessLimits, RequestId};
use slatevalve_engine::SendLimits;
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
    /// Time of the pool's events.
    now: Micros,
}

impl PoolFixture {
    fn new(max_connections_per_worker: usize) -> Self {
        let worker = TcpListener::bind("127.0.0.1:0").expect("bind a local port");
        let settings = PoolSettings {
            connect_timeout: Micros(10_000_000),
            idle_timeout: Micros(10_000_000),
            max_connections_per_worker,
            max_connections: 16,
            probe_timeout: Micros(10_000_000),
        };
        let wire = LineProtocol { max_streams: 4, reports_queue_depth: false };
        let mut fixture = PoolFixture {
            reactor: Reactor::new(1 << 20).expect("create a poller"),
            pool: Pool::new(settings, Box::new(wire), Micros(10_000_000)),
            worker,
            now: Micros(1),
        };
        let address = fixture.worker.local_addr().expect("local address of the listener");
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
        let request = OutgoingRequest::to_any(WORKER, Purpose::Attempt(attempt), message);
        let end = self.pool.submit(self.now, &mut self.reactor, request);
        assert!(end.is_none(), "the request is accepted");
        attempt
    }

    /// Submits a health check that may reach only a process that runs since `limit`; returns its end if no
    /// connection leads to one.
    fn probe(&mut self, limit: Option<Micros>) -> Option<Outcome> {
        self.probe_process(ProcessLimits { since: limit, ..ProcessLimits::default() })
    }

    fn probe_process(&mut self, process: ProcessLimits) -> Option<Outcome> {
        let probe = OutgoingRequest::to_any(WORKER, Purpose::Probe, WorkerRequest::Ready);
        let probe = OutgoingRequest { limits: SendLimits { process, ..SendLimits::default() }, ..probe };
        self.pool.submit(self.now, &mut self.reactor, probe).map(|end| end.reply.outcome)
    }

    /// Polls until a connection is established. The pool does not handle the event, as if other events of the
    /// iteration were handled first. Nothing has been written yet.
    fn poll_until_connected(&mut self) -> Id {
        let mut events = Vec::new();
        for _ in 0..100 {
            self.reactor.poll(Some(Duration::from_millis(100)), &mut events).expect("poll");
            let connected = events.iter().find_map(|event| match event {
                ReactorEvent::Connected(id) => Some(*id),
                _ => None,
            });
            if let Some(id) = connected {
                return id;
            }
        }
        panic!("no connection to the local listener within 100 polls");
    }

    /// Same as [`PoolFixture::poll_until_connected`], followed by one more poll, which writes what was
    /// submitted.
    fn poll_until_written(&mut self) -> Id {
        let id = self.poll_until_connected();
        self.reactor.poll(Some(Duration::ZERO), &mut Vec::new()).expect("poll");
        assert!(self.reactor.written(id) > 0);
        id
    }

    /// The worker's side of the next connection.
    fn peer(&self) -> TcpStream {
        self.worker.set_nonblocking(true).expect("set blocking mode");
        let start = Instant::now();
        let peer = loop {
            match self.worker.accept() {
                Ok((peer, _)) => break peer,
                Err(e) => assert!(
                    start.elapsed() < Duration::from_secs(5),
                    "no connection to the worker within 5 s: {e}"
                ),
            }
            std::thread::sleep(Duration::from_millis(1));
        };
        peer.set_nonblocking(false).expect("set blocking mode");
        peer.set_read_timeout(Some(Duration::from_secs(20))).expect("set a read timeout");
        peer
    }

    /// Runs one loop iteration in which the pool handles all events.
    fn poll(&mut self) -> Vec<Outcome> {
        Self::outcomes(self.poll_ends())
    }

    /// Like [`PoolFixture::poll`], with all that is known of each completed request.
    fn poll_ends(&mut self) -> Vec<RequestEnd> {
        let mut events = Vec::new();
        self.reactor.poll(Some(Duration::from_millis(20)), &mut events).expect("poll");
        let mut ends = Vec::new();
        for event in events {
            match event {
                ReactorEvent::Connected(id) => self.pool.connected(self.now, &mut self.reactor, id),
                ReactorEvent::Received(id, bytes) => {
                    ends.extend(self.pool.received(self.now, &mut self.reactor, id, &bytes));
                }
                ReactorEvent::Closed { id, connected, written } => {
                    ends.extend(self.pool.closed(self.now, id, connected, written));
                }
                _ => {}
            }
        }
        ends
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
        panic!("fewer than {number} requests completed within 1000 polls: {ends:?}");
    }

    /// Polls until a request has completed; returns what is known of the process that it was sent to.
    fn poll_process(&mut self) -> ProcessInfo {
        for _ in 0..1000 {
            if let Some(end) = self.poll_ends().pop() {
                return end.process.expect("the connection was established");
            }
        }
        panic!("no request completed within 1000 polls");
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
        end.expect("the attempt is pending").reply.outcome
    }
}

/// Answers the next health check on the worker's side of a connection, whose tag is `tag`.
fn answer_probe(peer: &mut TcpStream, tag: u64) {
    let expected = format!("load t{tag}\r\n");
    let mut line = vec![0; expected.len()];
    peer.read_exact(&mut line).expect("read a health check within the timeout");
    assert_eq!(String::from_utf8_lossy(&line), expected);
    peer.write_all(format!("t{tag} READY - 0\r\n\r\n").as_bytes()).expect("the connection is open");
}

/// Reads calls on the worker's side; returns their request ids.
fn received_calls(peer: &mut TcpStream, number: usize) -> Vec<String> {
    let mut text = String::new();
    let mut byte = [0; 1];
    while text.matches("charge\r\n").count() < number {
        assert_eq!(
            peer.read(&mut byte).expect("read a call within the timeout"),
            1,
            "connection closed: {text}"
        );
        text.push(char::from(byte[0]));
    }
    let lines = text.split("\r\n").filter_map(|l| l.strip_prefix("exec "));
    lines.map(|l| l[..16].to_string()).collect()
}

fn send_reply(peer: &mut TcpStream, request: u64, status: &str) {
    peer.write_all(format!("{request:016x} {status} - 0\r\n\r\n").as_bytes())
        .expect("the connection is open");
}

#[test]
fn cancel_unsent_spares_a_written_call_and_cancels_one_whose_connection_was_just_established() {
    // In neither case has the pool handled the event of the connection.
    for (is_written, cancelled) in [(true, vec![]), (false, vec![Outcome::NotSent])] {
        let mut fixture = PoolFixture::new(8);
        fixture.call(1);
        let mut peer = fixture.peer();
        let id = if is_written { fixture.poll_until_written() } else { fixture.poll_until_connected() };
        assert_eq!(fixture.cancel_unsent(), cancelled, "written: {is_written}");
        assert_eq!(fixture.reactor.written(id) > 0, is_written);
        if !is_written {
            assert_eq!(peer.read(&mut [0; 9]).expect("end of stream without a reset"), 0, "no byte was sent");
        }
    }
}

#[test]
fn cancel_unsent_cancels_a_call_that_waits_for_its_connection() {
    let mut fixture = PoolFixture::new(8);
    fixture.call(1);
    assert_eq!(fixture.cancel_unsent(), [Outcome::NotSent]);
    assert_eq!(fixture.pool.sizes()[1], 0, "its connection is closed");
}

#[test]
fn cancel_unsent_cancels_calls_queued_behind_a_written_call_which_completes() {
    let mut fixture = PoolFixture::new(1);
    fixture.call(1);
    let mut peer = fixture.peer();
    fixture.poll_until_written();
    fixture.call(2);
    fixture.call(3);
    assert_eq!(fixture.cancel_unsent(), [Outcome::NotSent, Outcome::NotSent], "only the unwritten calls");
    assert_eq!(received_calls(&mut peer, 1), [format!("{:016x}", 1)]);
    send_reply(&mut peer, 1, "ACK");
    assert_eq!(fixture.poll_until_completed(1), [Outcome::Ok]);
    peer.set_nonblocking(true).expect("set blocking mode");
    assert!(!matches!(peer.read(&mut [0; 9]), Ok(n) if n > 0), "no byte of the cancelled calls was sent");
}

#[test]
fn a_call_cancelled_after_it_was_written_may_have_run() {
    let mut fixture = PoolFixture::new(8);
    let written = fixture.call(1);
    fixture.poll_until_written();
    let unwritten = fixture.call(2);
    assert_eq!(fixture.cancel_attempt(written), Outcome::Cancelled);
    assert_eq!(
        fixture.cancel_attempt(unwritten),
        Outcome::NotSent,
        "its own connection is not established yet"
    );
}

#[test]
fn a_call_cancelled_before_it_was_written_is_not_sent_and_others_on_its_connection_are_unaffected() {
    let mut fixture = PoolFixture::new(1);
    let (_first, second, _third) = (fixture.call(1), fixture.call(2), fixture.call(3));
    assert_eq!(fixture.pool.sizes()[1], 1, "the calls share a connection");
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
fn an_idle_connection_with_an_unread_end_of_stream_is_not_used() {
    let mut fixture = PoolFixture::new(8);
    drop(fixture.serve_call(1));
    // The end of stream has reached the kernel, and no iteration has handled it.
    fixture.call(2);
    let mut peer = fixture.peer();
    fixture.poll();
    fixture.poll();
    assert_eq!(received_calls(&mut peer, 1), [format!("{:016x}", 2)], "sent on a new connection");
}

#[test]
fn an_idle_connection_past_its_timeout_is_not_used_even_before_its_timer_is_handled() {
    let mut fixture = PoolFixture::new(8);
    let _old = fixture.serve_call(1);
    // As after a process pause: a request is submitted first in the iteration in which the idle timeout
    // expires.
    let attempt = fixture.call(2);
    fixture.cancel_attempt(attempt);
    let probe = OutgoingRequest::to_any(WORKER, Purpose::Probe, WorkerRequest::Ready);
    let end = fixture.pool.submit(Micros(20_000_000), &mut fixture.reactor, probe);
    assert!(end.is_none());
    assert_eq!(fixture.pool.sizes()[1], 1, "the old connection is closed and a new one opened");
    let mut new = fixture.peer();
    fixture.poll();
    fixture.poll();
    assert!(new.read(&mut [0; 64]).expect("read a probe") > 0);
}

#[test]
fn a_retry_uses_another_connection_so_that_a_duplicate_reply_is_not_taken_for_its_reply() {
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
fn a_reply_received_before_a_reset_counts_even_if_writing_the_next_call_detects_the_reset() {
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

/// Guards against a call to a process that took over the worker's address, where it may only reach the one
/// before (review/4).
#[test]
fn a_request_limited_to_an_older_process_never_opens_a_connection() {
    let mut fixture = PoolFixture::new(8);
    let _first = fixture.serve_call(1);
    assert_eq!(fixture.probe(Some(Micros(0))), Some(Outcome::NotSent), "the connection is younger");
    assert_eq!(fixture.probe(Some(Micros(1))), None, "the connection is old enough");
    assert_eq!(fixture.probe(Some(Micros(1))), None, "it is shared, as a new one would be younger");
    assert_eq!(fixture.pool.sizes()[1], 1);
}

/// Guards against processes that count as new only because a connection to them is: a reply on an older one
/// shows that the same process has been at the address all the time.
#[test]
fn a_reply_on_an_older_connection_tells_since_when_the_process_runs() {
    let mut fixture = PoolFixture::new(8);
    let mut old = fixture.serve_call(1);
    // A retry does not use the connection that carried the call before.
    fixture.now = Micros(100);
    fixture.attempt(1, 1);
    let mut new = fixture.peer();
    fixture.poll();
    fixture.poll();
    assert_eq!(received_calls(&mut new, 1), [format!("{:016x}", 1)]);
    // A reply to a request from before the new connection would show nothing.
    fixture.now = Micros(200);
    assert_eq!(fixture.probe(None), None);
    fixture.poll();
    answer_probe(&mut old, 1);
    assert_eq!(fixture.poll_process().since, Micros(1));
    send_reply(&mut new, 1, "ACK");
    assert_eq!(fixture.poll_process(), ProcessInfo { since: Micros(1), may_be_new: false });
}

/// Guards against slow start being skipped for a process that replaced another one unnoticed.
#[test]
fn a_connection_opened_after_another_one_ended_may_lead_to_a_new_process() {
    for is_handled in [true, false] {
        let mut fixture = PoolFixture::new(8);
        drop(fixture.serve_call(1));
        fixture.now = Micros(100);
        if is_handled {
            fixture.poll();
        }
        fixture.call(2);
        let mut peer = fixture.peer();
        fixture.poll();
        fixture.poll();
        assert_eq!(received_calls(&mut peer, 1), [format!("{:016x}", 2)]);
        send_reply(&mut peer, 2, "ACK");
        assert_eq!(fixture.poll_process(), ProcessInfo { since: Micros(100), may_be_new: true });
    }
}

/// Guards against a booking that runs twice because a slow connection delays its repeat until workers have
/// forgotten its key.
#[test]
fn a_request_whose_connection_is_late_is_not_sent_after_its_time() {
    let limits = SendLimits { send_before: Some(Micros(50)), ..SendLimits::default() };
    let probe = || OutgoingRequest::to_any(WORKER, Purpose::Probe, WorkerRequest::Ready);
    for is_late in [true, false] {
        let mut fixture = PoolFixture::new(8);
        let request = OutgoingRequest { limits, ..probe() };
        assert!(fixture.pool.submit(fixture.now, &mut fixture.reactor, request).is_none());
        let mut peer = fixture.peer();
        if !is_late {
            fixture.poll_until_written();
        }
        let ends = fixture.pool.advance(Micros(50), &mut fixture.reactor);
        assert_eq!(PoolFixture::outcomes(ends), if is_late { vec![Outcome::NotSent] } else { vec![] });
        // Only what was written in time reaches the worker.
        if is_late {
            assert!(fixture.pool.submit(Micros(60), &mut fixture.reactor, probe()).is_none());
            fixture.poll();
            fixture.poll();
        }
        let mut line = [0; 9];
        peer.read_exact(&mut line).expect("read a health check within the timeout");
        assert_eq!(&line, if is_late { b"load t1\r\n" } else { b"load t0\r\n" });
    }
}

/// Guards against a booking that runs twice at a process that came up at the address of another one (report
/// 9fde00).
#[test]
fn a_request_limited_to_an_unreplaced_process_opens_no_connection_after_one_has_ended_lately() {
    let limited = |since| ProcessLimits { unreplaced_since: Some(Micros(since)), since: None };
    for is_handled in [true, false] {
        let mut fixture = PoolFixture::new(8);
        drop(fixture.serve_call(1));
        fixture.now = Micros(100);
        if is_handled {
            fixture.poll();
        }
        assert_eq!(fixture.probe_process(limited(100)), Some(Outcome::NotSent), "handled: {is_handled}");
        assert_eq!(fixture.probe_process(limited(101)), None, "it ended before");
    }
}
