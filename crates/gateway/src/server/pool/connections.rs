//! Connections to workers: selection of a connection for a request, and handling of connection events.

use super::requests::{without_payload, PendingRequest};
use super::timers::after;
use super::{Pool, Purpose, RequestEnd};
use slatevalve::{Micros, Outcome, ProcessLimits, RequestId, WorkerId};
use slatevalve_reactor::{Id, Reactor};
use slatevalve_worker_protocol::{CompletedRequest, ReplyReader, Tag};
use std::collections::{BTreeMap, VecDeque};

/// Limit of the recently completed calls that are remembered for each connection.
const RECENT_CALLS_MAX: usize = 8;

/// A connection to a worker, established or still connecting.
pub(super) struct Connection {
    pub(super) worker: WorkerId,
    pub(super) reader: Box<dyn ReplyReader>,
    /// Since when the process at its other end is known to run; `None` until the connection is established.
    pub(super) process_since: Option<Micros>,
    /// Whether the connection is closed once its requests have completed, instead of being reused.
    pub(super) retired: bool,
    /// Requests queued or in flight.
    pub(super) requests: BTreeMap<Tag, PendingRequest>,
    pub(super) next_tag: u64,
    /// Total bytes passed to the reactor, not counting discarded ones.
    pub(super) bytes_submitted: u64,
    /// When the connect or idle timeout expires; `None` while an established connection has requests.
    pub(super) deadline: Option<Micros>,
    /// The calls whose attempts completed last on this connection, latest first. A worker may send a
    /// duplicate reply with the same id.
    recent_calls: VecDeque<RequestId>,
}

/// Outcomes of the requests on a failed connection.
#[derive(Clone, Copy)]
pub(super) struct FailureOutcomes {
    /// For requests that may have run.
    pub(super) sent: Outcome,
    /// For requests that cannot have run.
    pub(super) unsent: Outcome,
}

impl Connection {
    fn new(worker: WorkerId, reader: Box<dyn ReplyReader>, deadline: Micros) -> Self {
        Connection {
            worker,
            reader,
            process_since: None,
            retired: false,
            requests: BTreeMap::new(),
            next_tag: 0,
            bytes_submitted: 0,
            deadline: Some(deadline),
            recent_calls: VecDeque::new(),
        }
    }

    /// Whether an attempt of the same call completed recently on this connection: a duplicate of that reply
    /// could be mistaken for the reply to the new attempt.
    fn has_carried(&self, purpose: Purpose) -> bool {
        matches!(purpose, Purpose::Attempt(attempt) if self.recent_calls.contains(&attempt.request))
    }

    pub(super) fn remember_call(&mut self, call: RequestId) {
        self.recent_calls.truncate(RECENT_CALLS_MAX - 1);
        self.recent_calls.push_front(call);
    }

    fn can_share(&self, purpose: Purpose, max_requests: usize) -> bool {
        let same_kind = self.requests.values().all(|r| r.purpose.can_share_with(purpose));
        !self.retired && same_kind && self.requests.len() < max_requests && !self.has_carried(purpose)
    }

    /// Whether the process at the other end is known to run since `limit` at the latest; any process will do
    /// if that is `None`.
    fn leads_to_process(&self, limit: Option<Micros>) -> bool {
        limit.is_none_or(|limit| self.process_since.is_some_and(|since| since <= limit))
    }

    /// Whether the connection is established.
    pub(super) fn is_connected(&self) -> bool {
        self.process_since.is_some()
    }

    fn set_connected(&mut self, now: Micros) {
        self.process_since.get_or_insert(now);
    }
}

impl Pool {
    /// Selects a connection for a request: an idle one if available, otherwise a new one, otherwise one with
    /// requests of the same kind. If `limits` allow no process that may be new, no connection is opened.
    ///
    /// # Errors
    /// The outcome of the request if no connection is available: [`Outcome::NotSent`] if the worker is not
    /// listed, the pool is full or no connection leads to the process, [`Outcome::ConnectFailed`] if the
    /// worker's connection limit is reached or its address is unreachable.
    pub(super) fn acquire(
        &mut self,
        now: Micros,
        reactor: &mut Reactor,
        worker: WorkerId,
        purpose: Purpose,
        limits: ProcessLimits,
    ) -> Result<Id, Outcome> {
        let peer = self.peers.get(&worker).filter(|p| p.is_listed).ok_or(Outcome::NotSent)?;
        if let Some(id) = self.take_idle(now, reactor, worker, purpose, peer.process_since(limits)) {
            return Ok(id);
        }
        // An idle connection may have been found to have ended, as at the end of a process.
        let process_since = self.peers.get(&worker).and_then(|peer| peer.process_since(limits));
        if process_since.is_some() {
            return self.find_shareable(worker, purpose, process_since).ok_or(Outcome::NotSent);
        }
        let peer = self.peers.get(&worker).ok_or(Outcome::NotSent)?;
        if peer.connections.len() >= self.settings.max_connections_per_worker {
            return self.find_shareable(worker, purpose, None).ok_or(Outcome::ConnectFailed);
        }
        if self.connections.len() >= self.settings.max_connections && !self.close_longest_idle(reactor) {
            return self.find_shareable(worker, purpose, None).ok_or(Outcome::NotSent);
        }
        self.open_connection(now, reactor, worker, purpose)
    }

    /// Opens a connection; shares an existing one if no descriptor is available or the address is
    /// unreachable.
    fn open_connection(
        &mut self,
        now: Micros,
        reactor: &mut Reactor,
        worker: WorkerId,
        purpose: Purpose,
    ) -> Result<Id, Outcome> {
        let peer = self.peers.get_mut(&worker).ok_or(Outcome::NotSent)?;
        let Ok(id) = reactor.connect(peer.address) else {
            return self.find_shareable(worker, purpose, None).ok_or(Outcome::ConnectFailed);
        };
        peer.connections.push(id);
        let deadline = after(now, self.settings.connect_timeout);
        self.connections.insert(id, Connection::new(worker, self.protocol.reader(), deadline));
        self.set_connection_timer(id);
        Ok(id)
    }

    /// Takes the most recently used idle connection that is suitable for a request.
    ///
    /// Closes connections whose idle timeout has expired, or that have unread bytes or an unread end of
    /// stream: the corresponding event would be attributed to the new request.
    fn take_idle(
        &mut self,
        now: Micros,
        reactor: &mut Reactor,
        worker: WorkerId,
        purpose: Purpose,
        process_since: Option<Micros>,
    ) -> Option<Id> {
        for id in self.peers.get(&worker)?.idle.clone().into_iter().rev() {
            let Some(connection) = self.connections.get(&id) else { continue };
            let has_expired = connection.deadline.is_some_and(|at| at <= now);
            let has_ended = connection.is_connected() && !reactor.is_reusable(id);
            let is_selected = !connection.has_carried(purpose) && connection.leads_to_process(process_since);
            if has_ended {
                self.record_connection_end(now, worker);
            }
            if has_expired || has_ended {
                self.close_connection(reactor, id);
            } else if is_selected {
                self.peers.get_mut(&worker)?.idle.retain(|i| *i != id);
                return Some(id);
            }
        }
        None
    }

    /// The worker's connection with the fewest requests, among those that may carry another request of this
    /// kind.
    fn find_shareable(
        &self,
        worker: WorkerId,
        purpose: Purpose,
        process_since: Option<Micros>,
    ) -> Option<Id> {
        let max_requests = self.protocol.max_streams();
        let ids = self.peers.get(&worker)?.connections.iter();
        ids.filter_map(|id| Some((*id, self.connections.get(id)?)))
            .filter(|(_, connection)| connection.can_share(purpose, max_requests))
            .filter(|(_, connection)| connection.leads_to_process(process_since))
            .min_by_key(|(id, connection)| (connection.requests.len(), *id))
            .map(|(id, _)| id)
    }

    /// Handles an established connection. Its queued requests are written at the next poll unless they are
    /// cancelled before.
    pub(crate) fn connected(&mut self, now: Micros, reactor: &mut Reactor, id: Id) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.set_connected(now);
        connection.deadline = None;
        self.release(now, reactor, id);
    }

    /// Handles received bytes; returns the requests that end as a result.
    pub(crate) fn received(
        &mut self,
        now: Micros,
        reactor: &mut Reactor,
        id: Id,
        bytes: &[u8],
    ) -> Vec<RequestEnd> {
        let Some(connection) = self.connections.get_mut(&id) else { return Vec::new() };
        let mut completed = Vec::new();
        let parsed = connection.reader.feed(bytes, &mut completed);
        let mut ends: Vec<RequestEnd> = Vec::new();
        for CompletedRequest { tag, reply } in completed {
            self.record_running_process(id, tag);
            ends.extend(self.complete(now, id, tag, reply));
        }
        if parsed.is_err() {
            // The worker may have run the requests: it received them, even if its reply is malformed.
            let outcomes = FailureOutcomes { sent: Outcome::Error, unsent: Outcome::NotSent };
            ends.extend(self.complete_all(now, id, reactor.written(id), outcomes));
            self.close_connection(reactor, id);
            return ends;
        }
        self.release(now, reactor, id);
        ends
    }

    /// Records that the process on a connection runs, as it replied to the request `tag`: the worker's other
    /// connections that were established before the request lead to the same process, which has not left the
    /// address meanwhile.
    fn record_running_process(&mut self, id: Id, tag: Tag) {
        let Some(connection) = self.connections.get(&id).filter(|connection| !connection.retired) else {
            return;
        };
        let (Some(since), Some(request)) = (connection.process_since, connection.requests.get(&tag)) else {
            return;
        };
        let requested_at = request.submitted_at;
        let Some(peer) = self.peers.get(&connection.worker) else { return };
        for other in &peer.connections {
            let Some(other) = self.connections.get_mut(other) else { continue };
            if other.leads_to_process(Some(requested_at)) {
                other.process_since = other.process_since.min(Some(since));
            }
        }
    }

    /// Handles a closed connection. `written` is the number of bytes that the kernel accepted on it in total.
    pub(crate) fn closed(&mut self, now: Micros, id: Id, connected: bool, written: u64) -> Vec<RequestEnd> {
        let Some(connection) = self.connections.get_mut(&id) else { return Vec::new() };
        if connected {
            connection.set_connected(now);
        }
        let worker = connection.worker;
        let last = connection.reader.end().filter(|_| connected);
        let mut ends: Vec<RequestEnd> =
            last.and_then(|l| self.complete(now, id, l.tag, l.reply)).into_iter().collect();
        let outcomes = FailureOutcomes { sent: Outcome::Reset, unsent: Outcome::ConnectFailed };
        ends.extend(self.complete_all(now, id, written, outcomes));
        if connected {
            self.record_connection_end(now, worker);
        }
        self.remove_connection(id);
        ends
    }

    /// Makes a connection without requests idle, or closes it if it cannot be reused. Does nothing if it has
    /// requests.
    pub(super) fn release(&mut self, now: Micros, reactor: &mut Reactor, id: Id) {
        let Some(connection) = self.connections.get_mut(&id).filter(|c| c.requests.is_empty()) else {
            return;
        };
        let peer = self.peers.get_mut(&connection.worker).filter(|p| p.is_listed);
        match peer.filter(|_| connection.reader.is_reusable() && !connection.retired) {
            // Already idle, with its timer set.
            Some(peer) if peer.idle.contains(&id) && connection.deadline.is_some() => {}
            Some(peer) => {
                if !peer.idle.contains(&id) {
                    peer.idle.push(id);
                }
                // A connection that is still connecting keeps its connect timeout.
                if connection.is_connected() {
                    connection.deadline = Some(after(now, self.settings.idle_timeout));
                    self.set_connection_timer(id);
                }
            }
            None => self.close_connection(reactor, id),
        }
    }

    /// Completes all requests of a connection. `written` is the number of bytes that the kernel accepted on
    /// it; it determines for each request whether it may have run.
    pub(super) fn complete_all(
        &mut self,
        now: Micros,
        id: Id,
        written: u64,
        outcomes: FailureOutcomes,
    ) -> Vec<RequestEnd> {
        let Some(connection) = self.connections.get(&id) else { return Vec::new() };
        let outcome = |r: &PendingRequest| {
            if self.has_possibly_run(r, written) {
                outcomes.sent
            } else {
                outcomes.unsent
            }
        };
        let all: Vec<(Tag, Outcome)> =
            connection.requests.iter().map(|(tag, r)| (*tag, outcome(r))).collect();
        all.into_iter()
            .filter_map(|(tag, outcome)| self.complete(now, id, tag, without_payload(outcome)))
            .collect()
    }

    /// Closes a connection once its requests have completed, immediately if it has none.
    pub(super) fn close_when_empty(&mut self, reactor: &mut Reactor, id: Id) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.requests.is_empty() {
            return self.close_connection(reactor, id);
        }
        connection.retired = true;
    }

    pub(super) fn close_connection(&mut self, reactor: &mut Reactor, id: Id) {
        reactor.close(id);
        self.remove_connection(id);
    }

    fn remove_connection(&mut self, id: Id) {
        let Some(connection) = self.connections.remove(&id) else { return };
        if let Some(peer) = self.peers.get_mut(&connection.worker) {
            peer.connections.retain(|i| *i != id);
            peer.idle.retain(|i| *i != id);
        }
        self.remove_peer_if_unused(connection.worker);
    }
}
