//! Requests on connections: queueing, completion, and cancellation while no byte has been written.

use super::timers::{after, Timer};
use super::{Pool, Purpose, RequestEnd};
use slatevalve::{Micros, Outcome, WorkerId};
use slatevalve_engine::{AttemptRef, SendLimits};
use slatevalve_reactor::{Id, Reactor};
use slatevalve_worker_protocol::reply::ParsedReply;
use slatevalve_worker_protocol::{Tag, WorkerRequest};
use std::cmp::Reverse;
use std::ops::Range;

/// A request to be submitted.
pub(super) struct OutgoingRequest {
    pub(super) worker: WorkerId,
    pub(super) purpose: Purpose,
    pub(super) limits: SendLimits,
    pub(super) message: WorkerRequest,
}

impl OutgoingRequest {
    /// A request that may reach any process at the worker's address at any time.
    pub(super) fn to_any(worker: WorkerId, purpose: Purpose, message: WorkerRequest) -> Self {
        OutgoingRequest { worker, purpose, limits: SendLimits::default(), message }
    }
}

/// A request queued or in flight on a connection.
pub(super) struct PendingRequest {
    pub(super) purpose: Purpose,
    /// What was sent, without the payload of a call.
    pub(super) message: WorkerRequest,
    pub(super) submitted_at: Micros,
    /// Position of its bytes on the connection, counted like [`Reactor::written`].
    pub(super) bytes: Range<u64>,
    /// When the request times out; `None` for attempts, whose deadlines are tracked by the engine.
    pub(super) deadline: Option<Micros>,
}

/// Identifies a request by its connection and its tag on it.
#[derive(Clone, Copy)]
pub(super) struct RequestKey {
    pub(super) connection: Id,
    pub(super) tag: Tag,
}

/// A reply with an outcome and no other content.
pub(super) fn without_payload(outcome: Outcome) -> ParsedReply {
    ParsedReply {
        outcome,
        payload: Vec::new(),
        copies: 0,
        queue_depth: None,
        load_failed: false,
        ran: None,
        report: None,
    }
}

impl Pool {
    /// Submits a request. Returns its end if no connection is available for it.
    pub(super) fn submit(
        &mut self,
        now: Micros,
        reactor: &mut Reactor,
        request: OutgoingRequest,
    ) -> Option<RequestEnd> {
        let OutgoingRequest { worker, purpose, limits, message } = request;
        match self.acquire(now, reactor, worker, purpose, limits.process) {
            Ok(id) => {
                let key = self.enqueue(now, reactor, id, purpose, message)?;
                if let Some(at) = limits.send_before {
                    self.timers.set(at, Timer::Unsent(key));
                }
                None
            }
            Err(outcome) => Some(RequestEnd {
                worker,
                purpose,
                latency: Micros(0),
                process: None,
                reply: without_payload(outcome),
            }),
        }
    }

    /// Queues a request on a connection; its bytes are written at the next poll once the connection is
    /// established.
    fn enqueue(
        &mut self,
        now: Micros,
        reactor: &mut Reactor,
        id: Id,
        purpose: Purpose,
        mut message: WorkerRequest,
    ) -> Option<RequestKey> {
        let deadline = self.timeout(purpose).map(|timeout| after(now, timeout));
        let connection = self.connections.get_mut(&id)?;
        let host = self.peers.get(&connection.worker).map_or("", |p| &p.host);
        let tag = Tag(connection.next_tag);
        connection.next_tag += 1;
        let bytes = self.protocol.encode(host, tag, &message);
        let start = connection.bytes_submitted;
        connection.bytes_submitted += bytes.len() as u64;
        connection.reader.expect(tag, &message);
        if connection.is_connected() {
            connection.deadline = None;
        }
        if let Purpose::Attempt(attempt) = purpose {
            self.attempts.insert(attempt, RequestKey { connection: id, tag });
        }
        if let Some(at) = deadline {
            self.timers.set(at, Timer::Request(RequestKey { connection: id, tag }));
        }
        let range = start..connection.bytes_submitted;
        message.discard_payload();
        let request = PendingRequest { purpose, message, submitted_at: now, bytes: range, deadline };
        connection.requests.insert(tag, request);
        reactor.write(id, &bytes);
        Some(RequestKey { connection: id, tag })
    }

    /// The timeout of a request; `None` for attempts, whose deadlines are tracked by the engine.
    fn timeout(&self, purpose: Purpose) -> Option<Micros> {
        match purpose {
            Purpose::Attempt(_) => None,
            Purpose::Probe | Purpose::Unload => Some(self.settings.probe_timeout),
            Purpose::Load(_) => Some(self.load_timeout),
        }
    }

    /// Completes a request; returns `None` if it has already completed.
    pub(super) fn complete(
        &mut self,
        now: Micros,
        id: Id,
        tag: Tag,
        reply: ParsedReply,
    ) -> Option<RequestEnd> {
        let process = self.process_at(id);
        let connection = self.connections.get_mut(&id)?;
        let request = connection.requests.remove(&tag)?;
        connection.reader.forget(tag);
        if let Purpose::Attempt(attempt) = request.purpose {
            self.attempts.remove(&attempt);
            connection.remember_call(attempt.request);
        }
        let latency = Micros(now.0.saturating_sub(request.submitted_at.0));
        Some(RequestEnd { worker: connection.worker, purpose: request.purpose, latency, process, reply })
    }

    /// Cancels a worker's requests of which no byte has been written. Connections without further requests
    /// are closed.
    pub(crate) fn cancel_unsent(
        &mut self,
        now: Micros,
        reactor: &mut Reactor,
        worker: WorkerId,
    ) -> Vec<RequestEnd> {
        let mut ends = Vec::new();
        for id in self.connections_of(worker) {
            let tags: Vec<Tag> =
                self.connections.get(&id).into_iter().flat_map(|c| c.requests.keys().copied()).collect();
            // In reverse order, so that discarding a request does not move the bytes of those still to be
            // discarded.
            for tag in tags.into_iter().rev() {
                ends.extend(self.discard_unsent(now, reactor, RequestKey { connection: id, tag }));
            }
            if self.connections.get(&id).is_some_and(|c| c.requests.is_empty()) {
                self.close_connection(reactor, id);
            }
        }
        ends
    }

    /// Cancels the requests to all workers of which no byte has been written. Connections without further
    /// requests can be reused.
    pub(crate) fn cancel_all_unsent(&mut self, now: Micros, reactor: &mut Reactor) -> Vec<RequestEnd> {
        let requests = self.connections.iter().flat_map(|(id, connection)| {
            connection.requests.keys().map(|tag| RequestKey { connection: *id, tag: *tag })
        });
        let mut requests: Vec<RequestKey> = requests.collect();
        // In reverse order on each connection, so that discarding a request does not move the bytes of those
        // still to be discarded.
        requests.sort_unstable_by_key(|request| Reverse((request.connection, request.tag)));
        let mut ends = Vec::new();
        for request in requests {
            if let Some(end) = self.discard_unsent(now, reactor, request) {
                ends.push(end);
                self.release(now, reactor, request.connection);
            }
        }
        ends
    }

    /// Cancels the attempts selected by a predicate of which no byte has been written.
    pub(crate) fn cancel_unsent_where(
        &mut self,
        now: Micros,
        reactor: &mut Reactor,
        is_selected: impl Fn(&AttemptRef) -> bool,
    ) -> Vec<RequestEnd> {
        let mut found: Vec<RequestKey> = self
            .attempts
            .iter()
            .filter(|(attempt, _)| is_selected(attempt))
            .map(|(_, request)| *request)
            .collect();
        // In reverse order on each connection, so that discarding a request does not move the bytes of those
        // still to be discarded.
        found.sort_unstable_by_key(|request| Reverse(request.tag));
        found.into_iter().filter_map(|request| self.discard_unsent(now, reactor, request)).collect()
    }

    /// Cancels an attempt. It ends with `outcome` if it may have run, otherwise as not sent. Returns `None`
    /// for an unknown attempt.
    pub(super) fn cancel_attempt(
        &mut self,
        now: Micros,
        reactor: &mut Reactor,
        attempt: AttemptRef,
        outcome: Outcome,
    ) -> Option<RequestEnd> {
        let key = *self.attempts.get(&attempt)?;
        let id = key.connection;
        if let Some(end) = self.discard_unsent(now, reactor, key) {
            self.release(now, reactor, id);
            return Some(end);
        }
        let connection = self.connections.get(&id)?;
        let request = connection.requests.get(&key.tag)?;
        // A shared connection stays open for its other requests, so the rest of a partly written request is
        // still written.
        let is_shared = connection.requests.len() > 1;
        let cancellation = self.protocol.encode_cancel(&request.message).filter(|_| is_shared);
        let has_possibly_run = is_shared || self.has_possibly_run(request, reactor.written(id));
        let outcome = if has_possibly_run { outcome } else { Outcome::NotSent };
        let end = self.complete(now, id, key.tag, without_payload(outcome));
        match cancellation {
            Some(bytes) => {
                let connection = self.connections.get_mut(&id)?;
                connection.retired = true;
                connection.bytes_submitted += bytes.len() as u64;
                reactor.write(id, &bytes);
            }
            None => self.close_when_empty(reactor, id),
        }
        end
    }

    /// Cancels an attempt if none of its bytes has been written; otherwise it continues.
    pub(super) fn cancel_attempt_if_unsent(
        &mut self,
        now: Micros,
        reactor: &mut Reactor,
        attempt: AttemptRef,
    ) -> Option<RequestEnd> {
        let key = *self.attempts.get(&attempt)?;
        let end = self.discard_unsent(now, reactor, key);
        self.release(now, reactor, key.connection);
        end
    }

    /// Removes a request of which no byte has been written, as if it had never been submitted; returns `None`
    /// for any other request. The other requests of the connection are not affected.
    pub(super) fn discard_unsent(
        &mut self,
        now: Micros,
        reactor: &mut Reactor,
        key: RequestKey,
    ) -> Option<RequestEnd> {
        let connection = self.connections.get_mut(&key.connection)?;
        let discarded = connection.requests.get(&key.tag)?.bytes.clone();
        if !reactor.discard_unsent(key.connection, discarded.start, discarded.end) {
            return None;
        }
        let length = discarded.end - discarded.start;
        connection.bytes_submitted -= length;
        for later in connection.requests.values_mut().filter(|r| r.bytes.start >= discarded.end) {
            later.bytes.start -= length;
            later.bytes.end -= length;
        }
        self.complete(now, key.connection, key.tag, without_payload(Outcome::NotSent))
    }

    /// Whether the kernel accepted enough of a request for a worker to run it.
    ///
    /// Uses only the reactor's byte count, not `Connection::is_connected`: a connection established in this
    /// iteration may have been written to before the pool handles its event.
    pub(super) fn has_possibly_run(&self, request: &PendingRequest, written: u64) -> bool {
        if self.protocol.can_run_partial_request() {
            written > request.bytes.start
        } else {
            written >= request.bytes.end
        }
    }
}
