//! Connections to workers and what is out on them, whatever protocol they speak.
//!
//! It guards the difference between what never left and what may have run: an attempt whose connection failed
//! before the kernel took enough of it for a worker to run was never sent, any later end may have run. What has not begun to
//! leave can be taken back without a trace, and is, as soon as nobody wants it or nobody may send it. Each request
//! has a connection to itself while there is room for one, so that a spoilt answer or a reset takes no other with it;
//! only then do requests of one kind share. Called by the shells, which hand it the loop's happenings and take its
//! [`RequestEnd`]s. Bounds: `PoolSettings::total` connections, `WorkerProtocol::streams` requests on each, a peer for each worker
//! that is listed or has a connection.

use crate::settings::PoolSettings;
use slatevalve::{FunctionId, Micros, Outcome, RequestId, WorkerId};
use slatevalve_engine::{AttemptEnd, AttemptRef, Engine, Output, RunBody, Timers};
use slatevalve_reactor::{Id, Reactor};
use slatevalve_worker_protocol::reply::ParsedReply;
use slatevalve_worker_protocol::{Call, CompletedRequest, Reader, Tag, WorkerProtocol, WorkerRequest};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use tracing::debug;

#[cfg(test)]
mod tests;

/// Calls remembered of those that a connection carried last.
const CARRIED: usize = 8;

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Purpose {
    /// An attempt of a call.
    Attempt(AttemptRef),
    /// A probe.
    Probe,
    /// An order to hold copies.
    Load(FunctionId),
    /// An order to unload; nobody waits for its end.
    Unload,
}

impl Purpose {
    /// Requests of one kind may share a connection where there is no room for another.
    fn shares_with(self, other: Purpose) -> bool {
        std::mem::discriminant(&self) == std::mem::discriminant(&other)
    }
}

/// A request that ended.
#[derive(Debug)]
pub struct RequestEnd {
    /// Where it was sent.
    pub worker: WorkerId,
    /// What it was for.
    pub purpose: Purpose,
    /// Time since it was handed in.
    pub latency: Micros,
    /// How it ended.
    pub understood: ParsedReply,
}

struct Task {
    purpose: Purpose,
    order: WorkerRequest,
    began: Micros,
    /// Bytes of the connection before its first and after its last.
    from: u64,
    to: u64,
    /// When it has taken too long.
    due: Option<Micros>,
}

struct Peer {
    name: String,
    address: SocketAddr,
    /// The address as the requests' `Host` has it.
    host: String,
    idle: Vec<Id>,
    connections: Vec<Id>,
    listed: bool,
}

struct Connection {
    worker: WorkerId,
    reader: Box<dyn Reader>,
    connected: bool,
    /// Carries what it has to its end and then closes.
    retired: bool,
    tasks: BTreeMap<Tag, Task>,
    next_tag: u64,
    /// Bytes handed to the loop.
    offered: u64,
    /// When it is closed for not standing yet or for being idle.
    due: Option<Micros>,
    /// The calls whose attempts ended on it last: a second copy of such an answer may still come under the same id.
    carried: VecDeque<RequestId>,
}

/// What a timer is for.
#[derive(Clone, Copy)]
enum Due {
    Connection(Id),
    Task(Id, Tag),
}

/// All connections to workers.
pub struct Pool {
    settings: PoolSettings,
    wire: Box<dyn WorkerProtocol>,
    order_timeout: Micros,
    /// Numbers of the settings documents that attempts are sent by.
    documents: Vec<u64>,
    peers: BTreeMap<WorkerId, Peer>,
    connections: HashMap<Id, Connection>,
    attempts: HashMap<AttemptRef, (Id, Tag)>,
    timers: Timers<Due>,
}

fn without_payload(outcome: Outcome) -> ParsedReply {
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
    /// A pool that knows no worker yet.
    pub fn new(settings: PoolSettings, wire: Box<dyn WorkerProtocol>, order_timeout: Micros) -> Self {
        Pool {
            settings,
            wire,
            order_timeout,
            documents: Vec::new(),
            peers: BTreeMap::new(),
            connections: HashMap::new(),
            attempts: HashMap::new(),
            timers: Timers::default(),
        }
    }

    /// Attempts are sent by these settings documents from now on, and tell so.
    pub fn sends_by(&mut self, documents: &[u64]) {
        self.documents = documents.to_vec();
    }

    /// Notes where a worker is reached. A worker that moved is reached at its new address from now on; then it gives true,
    /// and what waits to be sent to the old one is to be held back.
    pub fn list(&mut self, reactor: &mut Reactor, worker: WorkerId, name: &str, address: SocketAddr) -> bool {
        let host = address.to_string();
        let (idle, connections) = (Vec::new(), Vec::new());
        let new = Peer { name: name.into(), address, host, idle, connections, listed: true };
        let peer = self.peers.entry(worker).or_insert(new);
        peer.listed = true;
        let moved = peer.address != address;
        if moved {
            peer.address = address;
            peer.host = address.to_string();
            self.close_idle(reactor, worker);
            self.retire(worker);
        }
        moved
    }

    /// Notes that a worker is gone: nothing more is sent to it. What is out there runs to its end.
    pub fn unlist(&mut self, reactor: &mut Reactor, worker: WorkerId) {
        if let Some(peer) = self.peers.get_mut(&worker) {
            peer.listed = false;
        }
        self.close_idle(reactor, worker);
        self.forget_unused(worker);
    }

    /// Takes back what was handed in for a worker and of which no byte has left: it takes nothing new.
    pub fn cancel_unsent(&mut self, now: Micros, reactor: &mut Reactor, worker: WorkerId) -> Vec<RequestEnd> {
        let mut ends = Vec::new();
        for id in self.peers.get(&worker).map(|p| p.connections.clone()).unwrap_or_default() {
            let tags = self.connections.get(&id).map(|c| c.tasks.keys().copied().collect::<Vec<Tag>>());
            // The last first, so that none has to move up before it goes.
            let tags = tags.into_iter().flatten().rev();
            ends.extend(tags.filter_map(|tag| self.discard_unsent(now, reactor, id, tag)));
            if self.connections.get(&id).is_some_and(|c| c.tasks.is_empty()) {
                self.drop_connection(reactor, id);
            }
        }
        ends
    }

    /// Takes back the attempts that `which` names and of which no byte has left.
    pub fn cancel_unsent_where(
        &mut self,
        now: Micros,
        reactor: &mut Reactor,
        which: impl Fn(&AttemptRef) -> bool,
    ) -> Vec<RequestEnd> {
        let mut found: Vec<(Id, Tag)> =
            self.attempts.iter().filter(|(of, _)| which(of)).map(|(_, at)| *at).collect();
        // The last of a connection first, so that none has to move up before it goes.
        found.sort_unstable_by_key(|(_, tag)| std::cmp::Reverse(*tag));
        found.into_iter().filter_map(|(id, tag)| self.discard_unsent(now, reactor, id, tag)).collect()
    }

    /// Takes a request back of which no byte has left, as if it had never been handed in; nothing for one that began to
    /// leave. Others on its connection are not touched.
    fn discard_unsent(&mut self, now: Micros, reactor: &mut Reactor, id: Id, tag: Tag) -> Option<RequestEnd> {
        let connection = self.connections.get_mut(&id)?;
        let (from, to) = connection.tasks.get(&tag).map(|t| (t.from, t.to))?;
        if !reactor.discard_unsent(id, from, to) {
            return None;
        }
        connection.offered -= to - from;
        for behind in connection.tasks.values_mut().filter(|t| t.from >= to) {
            behind.from -= to - from;
            behind.to -= to - from;
        }
        self.end_task(now, id, tag, without_payload(Outcome::NotSent))
    }

    fn close_idle(&mut self, reactor: &mut Reactor, worker: WorkerId) {
        let idle = self.peers.get_mut(&worker).map(|p| std::mem::take(&mut p.idle)).unwrap_or_default();
        for id in idle {
            self.drop_connection(reactor, id);
        }
    }

    fn retire(&mut self, worker: WorkerId) {
        for id in self.peers.get(&worker).map(|p| p.connections.clone()).unwrap_or_default() {
            self.connections.get_mut(&id).into_iter().for_each(|c| c.retired = true);
        }
    }

    fn forget_unused(&mut self, worker: WorkerId) {
        if self.peers.get(&worker).is_some_and(|p| !p.listed && p.connections.is_empty()) {
            self.peers.remove(&worker);
        }
    }

    /// A worker's name, for logs.
    pub fn name(&self, worker: WorkerId) -> &str {
        self.peers.get(&worker).map_or("?", |p| &p.name)
    }

    /// Workers known, connections, attempts out and timers set, for tests of bounds.
    pub fn sizes(&self) -> [usize; 4] {
        [self.peers.len(), self.connections.len(), self.attempts.len(), self.timers.len()]
    }

    /// Carries out what the engine wants of workers, and gives back what it wants of others. `classes` are the classes'
    /// names, in the order of their ids.
    pub fn execute(
        &mut self,
        now: Micros,
        reactor: &mut Reactor,
        engine: &mut Engine,
        output: Output,
        classes: &[String],
        out: &mut Vec<Output>,
    ) -> Option<Output> {
        let (worker, purpose, order) = match output {
            Output::Send { attempt, worker, body, time_left } => {
                debug!(
                    now = now.0,
                    request = attempt.request.0,
                    attempt = attempt.attempt,
                    worker = self.name(worker),
                    left = time_left.0,
                    "send"
                );
                (
                    worker,
                    Purpose::Attempt(attempt),
                    WorkerRequest::Infer(worker_call(classes, &self.documents, attempt, &body, time_left)),
                )
            }
            Output::Load { worker, function, name, copies } => {
                debug!(now = now.0, worker = self.name(worker), function = &*name, copies, "load");
                let name = name.to_string();
                let order = match copies {
                    0 => WorkerRequest::Count { function: name },
                    _ => WorkerRequest::Load { function: name, copies },
                };
                (worker, Purpose::Load(function), order)
            }
            Output::Unload { worker, name } => {
                (worker, Purpose::Unload, WorkerRequest::Unload { function: name.to_string() })
            }
            Output::Probe(worker) => (worker, Purpose::Probe, WorkerRequest::Ready),
            Output::Cancel(attempt) => {
                self.end_attempt(now, reactor, engine, attempt, Outcome::Cancelled, out);
                return None;
            }
            Output::Expire(attempt) => {
                self.end_attempt(now, reactor, engine, attempt, Outcome::TimedOut, out);
                return None;
            }
            Output::Withhold(attempt) => {
                let at = self.attempts.get(&attempt).copied();
                let end = at.and_then(|(id, tag)| {
                    let end = self.discard_unsent(now, reactor, id, tag);
                    self.rest(now, reactor, id);
                    end
                });
                end.into_iter().for_each(|end| self.tell(now, end, engine, out));
                return None;
            }
            other => return Some(other),
        };
        if let Some(end) = self.submit(now, reactor, worker, purpose, order) {
            self.tell(now, end, engine, out);
        }
        None
    }

    fn end_attempt(
        &mut self,
        now: Micros,
        reactor: &mut Reactor,
        engine: &mut Engine,
        attempt: AttemptRef,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) {
        match self.cancel_attempt(now, reactor, attempt, outcome) {
            Some(end) => self.tell(now, end, engine, out),
            // There is no such attempt any more; the engine passes by what it has heard already.
            None => engine.attempt_ended(now, attempt, AttemptEnd::without_payload(outcome), out),
        }
    }

    /// Tells the engine that a request ended.
    pub fn tell(&self, now: Micros, end: RequestEnd, engine: &mut Engine, out: &mut Vec<Output>) {
        let RequestEnd { worker, purpose, latency, understood } = end;
        debug!(now = now.0, worker = self.name(worker), ?purpose, latency = latency.0,
            outcome = ?understood.outcome, queue_depth = understood.queue_depth, copies = understood.copies,
            report = ?understood.report, "end");
        match purpose {
            Purpose::Attempt(attempt) => {
                let end = AttemptEnd {
                    outcome: understood.outcome,
                    payload: understood.payload.into(),
                    ran: understood.ran.map(Into::into),
                    queue_depth: understood.queue_depth,
                    load_failed: understood.load_failed,
                    report: understood.report,
                };
                engine.attempt_ended(now, attempt, end, out);
            }
            Purpose::Probe => engine.probed(now, worker, understood.outcome, latency, understood.report, out),
            Purpose::Load(function) => {
                let (outcome, copies) = (understood.outcome, understood.copies);
                engine.loaded(now, worker, function, outcome, copies, latency, out);
            }
            Purpose::Unload => {}
        }
    }

    /// Sends a request. Where that cannot even begin, its end is given at once.
    fn submit(
        &mut self,
        now: Micros,
        reactor: &mut Reactor,
        worker: WorkerId,
        purpose: Purpose,
        order: WorkerRequest,
    ) -> Option<RequestEnd> {
        let id = match self.connection_for(now, reactor, worker, purpose) {
            Ok(id) => id,
            Err(outcome) => {
                return Some(RequestEnd {
                    worker,
                    purpose,
                    latency: Micros(0),
                    understood: without_payload(outcome),
                })
            }
        };
        self.begin(now, reactor, id, purpose, order);
        None
    }

    /// An idle connection, else a new one, else one that carries requests of the same kind.
    fn connection_for(
        &mut self,
        now: Micros,
        reactor: &mut Reactor,
        worker: WorkerId,
        purpose: Purpose,
    ) -> Result<Id, Outcome> {
        self.peers.get(&worker).filter(|p| p.listed).ok_or(Outcome::NotSent)?;
        if let Some(id) = self.idle_for(now, reactor, worker, purpose) {
            return Ok(id);
        }
        let peer = self.peers.get(&worker).ok_or(Outcome::NotSent)?;
        // A worker that takes no more connections is one that cannot be reached.
        if peer.connections.len() >= self.settings.most {
            return self.shared(worker, purpose).ok_or(Outcome::ConnectFailed);
        }
        if self.connections.len() >= self.settings.total && !self.close_one_idle(reactor) {
            return self.shared(worker, purpose).ok_or(Outcome::NotSent);
        }
        let peer = self.peers.get_mut(&worker).ok_or(Outcome::NotSent)?;
        // No descriptor is to be had, or the address cannot be reached at all.
        let Ok(id) = reactor.connect(peer.address) else {
            return self.shared(worker, purpose).ok_or(Outcome::ConnectFailed);
        };
        peer.connections.push(id);
        let connection = Connection {
            worker,
            reader: self.wire.reader(),
            connected: false,
            retired: false,
            tasks: BTreeMap::new(),
            next_tag: 0,
            offered: 0,
            due: Some(after(now, self.settings.connect_timeout)),
            carried: VecDeque::new(),
        };
        self.connections.insert(id, connection);
        self.arm(id);
        Ok(id)
    }

    /// The idle connection used last on which a request may go. Those whose time is up or on which something came, their end
    /// included, are closed: what has not been told of them yet would be taken for this request's end.
    fn idle_for(
        &mut self,
        now: Micros,
        reactor: &mut Reactor,
        worker: WorkerId,
        purpose: Purpose,
    ) -> Option<Id> {
        for id in self.peers.get(&worker)?.idle.clone().into_iter().rev() {
            let Some(connection) = self.connections.get(&id) else { continue };
            let over = connection.due.is_some_and(|at| at <= now);
            if over || (connection.connected && !reactor.is_quiet(id)) {
                self.drop_connection(reactor, id);
            } else if !connection.has_carried(purpose) {
                self.peers.get_mut(&worker)?.idle.retain(|i| *i != id);
                return Some(id);
            }
        }
        None
    }

    /// The connection to a worker with the fewest requests of this kind, where one has room.
    fn shared(&self, worker: WorkerId, purpose: Purpose) -> Option<Id> {
        let room = |c: &&Connection| {
            let same = c.tasks.values().all(|t| t.purpose.shares_with(purpose));
            !c.retired && same && c.tasks.len() < self.wire.streams() && !c.has_carried(purpose)
        };
        let ids = self.peers.get(&worker)?.connections.iter();
        let open = ids.filter_map(|id| Some((*id, self.connections.get(id).filter(room)?)));
        open.min_by_key(|(id, c)| (c.tasks.len(), *id)).map(|(id, _)| id)
    }

    /// Makes room for another connection by closing the one that is idle for longest.
    fn close_one_idle(&mut self, reactor: &mut Reactor) -> bool {
        let idle = self.peers.values().flat_map(|p| &p.idle);
        let due = |id: &&Id| self.connections.get(id).and_then(|c| c.due);
        let Some(id) = idle.min_by_key(due).copied() else { return false };
        self.drop_connection(reactor, id);
        true
    }

    /// Hands a request's bytes to its connection; they leave once it stands.
    fn begin(&mut self, now: Micros, reactor: &mut Reactor, id: Id, purpose: Purpose, order: WorkerRequest) {
        let timeout = match purpose {
            // A call's time is the engine's to watch.
            Purpose::Attempt(_) => None,
            Purpose::Probe => Some(self.settings.probe_timeout),
            Purpose::Load(_) => Some(self.order_timeout),
            Purpose::Unload => Some(self.settings.probe_timeout),
        };
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let host = self.peers.get(&connection.worker).map_or("", |p| &p.host);
        let tag = Tag(connection.next_tag);
        connection.next_tag += 1;
        let bytes = self.wire.encode(host, tag, &order);
        let from = connection.offered;
        connection.offered += bytes.len() as u64;
        connection.reader.expect(tag, &order);
        if connection.connected {
            connection.due = None;
        }
        if let Purpose::Attempt(attempt) = purpose {
            self.attempts.insert(attempt, (id, tag));
        }
        let due = timeout.map(|t| after(now, t));
        if let Some(at) = due {
            self.timers.set(at, Due::Task(id, tag));
        }
        let task = Task { purpose, order, began: now, from, to: connection.offered, due };
        connection.tasks.insert(tag, task);
        reactor.write(id, &bytes);
    }

    /// Whether enough of a request was taken by the kernel for a worker to run it. The loop's count alone says so: a
    /// connection that came up in this turn has been written to before this pool is told of it.
    fn may_have_left(&self, task: &Task, written: u64) -> bool {
        if self.wire.partial_request_may_run() {
            written > task.from
        } else {
            written >= task.to
        }
    }

    /// Ends an attempt from our side: as `outcome`, or as never sent where too little of it left.
    fn cancel_attempt(
        &mut self,
        now: Micros,
        reactor: &mut Reactor,
        attempt: AttemptRef,
        outcome: Outcome,
    ) -> Option<RequestEnd> {
        let (id, tag) = *self.attempts.get(&attempt)?;
        if let Some(end) = self.discard_unsent(now, reactor, id, tag) {
            self.rest(now, reactor, id);
            return Some(end);
        }
        let connection = self.connections.get(&id)?;
        let task = connection.tasks.get(&tag)?;
        // Where others share the connection it stays, and what began to leave on it goes out to its end.
        let alone = connection.tasks.len() == 1;
        let give_up = self.wire.give_up(&task.order).filter(|_| !alone);
        let sent = !alone || self.may_have_left(task, reactor.written(id));
        let end = self.end_task(now, id, tag, without_payload(if sent { outcome } else { Outcome::NotSent }));
        match give_up {
            Some(bytes) => {
                let connection = self.connections.get_mut(&id)?;
                connection.retired = true;
                connection.offered += bytes.len() as u64;
                reactor.write(id, &bytes);
            }
            None => self.drop_alone(reactor, id),
        }
        end
    }

    /// Closes a connection that carries nothing, and lets one that does carry that to its end.
    fn drop_alone(&mut self, reactor: &mut Reactor, id: Id) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.tasks.is_empty() {
            return self.drop_connection(reactor, id);
        }
        connection.retired = true;
    }

    /// A connection stands: what waited for it goes out, unless it is taken back in this turn.
    pub fn connected(&mut self, now: Micros, reactor: &mut Reactor, id: Id) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.connected = true;
        connection.due = None;
        self.rest(now, reactor, id);
    }

    /// Bytes came.
    pub fn received(&mut self, now: Micros, reactor: &mut Reactor, id: Id, bytes: &[u8]) -> Vec<RequestEnd> {
        let Some(connection) = self.connections.get_mut(&id) else { return Vec::new() };
        let mut heard = Vec::new();
        let fed = connection.reader.feed(bytes, &mut heard);
        let mut ends: Vec<RequestEnd> = Vec::new();
        for CompletedRequest { tag, understood } in heard {
            ends.extend(self.end_task(now, id, tag, understood));
        }
        // It took the requests and answered something else: they may have run.
        if fed.is_err() {
            ends.extend(self.fail(now, reactor, id, Outcome::Error));
            return ends;
        }
        self.rest(now, reactor, id);
        ends
    }

    /// Keeps a connection that carries nothing any more for what comes next, or closes it.
    fn rest(&mut self, now: Micros, reactor: &mut Reactor, id: Id) {
        let Some(connection) = self.connections.get_mut(&id).filter(|c| c.tasks.is_empty()) else { return };
        let peer = self.peers.get_mut(&connection.worker).filter(|p| p.listed);
        match peer.filter(|_| connection.reader.is_clean() && !connection.retired) {
            // Told of once more, or standing now.
            Some(peer) if peer.idle.contains(&id) && connection.due.is_some() => {}
            Some(peer) => {
                if !peer.idle.contains(&id) {
                    peer.idle.push(id);
                }
                // One that is still coming up keeps the time that it has for that.
                if connection.connected {
                    connection.due = Some(after(now, self.settings.idle));
                    self.arm(id);
                }
            }
            None => self.drop_connection(reactor, id),
        }
    }

    /// A connection is of no use any more: all on it ends, as `outcome` or as never sent.
    fn fail(&mut self, now: Micros, reactor: &mut Reactor, id: Id, outcome: Outcome) -> Vec<RequestEnd> {
        let ends = self.end_all(now, id, reactor.written(id), outcome, Outcome::NotSent);
        self.drop_connection(reactor, id);
        ends
    }

    fn end_all(
        &mut self,
        now: Micros,
        id: Id,
        written: u64,
        left: Outcome,
        unsent: Outcome,
    ) -> Vec<RequestEnd> {
        let Some(connection) = self.connections.get(&id) else { return Vec::new() };
        let outcome = |t: &Task| if self.may_have_left(t, written) { left } else { unsent };
        let all: Vec<(Tag, Outcome)> = connection.tasks.iter().map(|(tag, t)| (*tag, outcome(t))).collect();
        all.into_iter()
            .filter_map(|(tag, outcome)| self.end_task(now, id, tag, without_payload(outcome)))
            .collect()
    }

    /// A connection ended; `written` are the bytes that the kernel took over its life.
    pub fn closed(&mut self, now: Micros, id: Id, connected: bool, written: u64) -> Vec<RequestEnd> {
        let Some(connection) = self.connections.get_mut(&id) else { return Vec::new() };
        connection.connected = connected;
        let last = connection.reader.end().filter(|_| connected);
        let mut ends: Vec<RequestEnd> =
            last.into_iter().filter_map(|h| self.end_task(now, id, h.tag, h.understood)).collect();
        ends.extend(self.end_all(now, id, written, Outcome::Reset, Outcome::ConnectFailed));
        self.remove(id);
        ends
    }

    /// When [`Pool::advance`] is due next.
    pub fn next_wake(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// Closes what takes too long or is idle.
    pub fn advance(&mut self, now: Micros, reactor: &mut Reactor) -> Vec<RequestEnd> {
        let mut ends = Vec::new();
        // Stale, or moved: whoever moved a due time set a timer of its own.
        let over = |due: Option<Micros>| due.is_some_and(|at| at <= now);
        while let Some(due) = self.timers.pop(now) {
            match due {
                Due::Connection(id) => {
                    let Some(connection) = self.connections.get(&id).filter(|c| over(c.due)) else {
                        continue;
                    };
                    let outcome =
                        if connection.connected { Outcome::TimedOut } else { Outcome::ConnectFailed };
                    ends.extend(self.end_all(now, id, reactor.written(id), outcome, outcome));
                    self.drop_connection(reactor, id);
                }
                Due::Task(id, tag) => {
                    let task = self.connections.get(&id).and_then(|c| c.tasks.get(&tag));
                    if !task.is_some_and(|t| over(t.due)) {
                        continue;
                    }
                    ends.extend(self.end_task(now, id, tag, without_payload(Outcome::TimedOut)));
                    self.drop_alone(reactor, id);
                }
            }
        }
        ends
    }

    fn arm(&mut self, id: Id) {
        if let Some(at) = self.connections.get(&id).and_then(|c| c.due) {
            self.timers.set(at, Due::Connection(id));
        }
    }

    fn end_task(&mut self, now: Micros, id: Id, tag: Tag, understood: ParsedReply) -> Option<RequestEnd> {
        let connection = self.connections.get_mut(&id)?;
        let task = connection.tasks.remove(&tag)?;
        connection.reader.forget(tag);
        if let Purpose::Attempt(attempt) = task.purpose {
            self.attempts.remove(&attempt);
            connection.carried.truncate(CARRIED - 1);
            connection.carried.push_front(attempt.request);
        }
        let latency = Micros(now.0.saturating_sub(task.began.0));
        Some(RequestEnd { worker: connection.worker, purpose: task.purpose, latency, understood })
    }

    fn drop_connection(&mut self, reactor: &mut Reactor, id: Id) {
        reactor.close(id);
        self.remove(id);
    }

    fn remove(&mut self, id: Id) {
        let Some(connection) = self.connections.remove(&id) else { return };
        if let Some(peer) = self.peers.get_mut(&connection.worker) {
            peer.connections.retain(|i| *i != id);
            peer.idle.retain(|i| *i != id);
        }
        self.forget_unused(connection.worker);
    }
}

impl Connection {
    /// Whether an attempt of the same call ended here lately: the end of that one could be taken for the end of this one.
    fn has_carried(&self, purpose: Purpose) -> bool {
        matches!(purpose, Purpose::Attempt(attempt) if self.carried.contains(&attempt.request))
    }
}

fn after(now: Micros, time: Micros) -> Micros {
    Micros(now.0.saturating_add(time.0))
}

/// A call in the workers' terms, under the client's own id where it has one.
fn worker_call(
    classes: &[String],
    settings: &[u64],
    attempt: AttemptRef,
    body: &RunBody,
    time_left: Micros,
) -> Call {
    let id = body.request_id.as_deref();
    Call {
        function: body.function.to_string(),
        version: None,
        payload: body.payload.to_vec(),
        key: body.key.as_ref().map(|k| k.to_vec()),
        request_id: id.map_or_else(|| attempt.request.0.to_string(), String::from),
        attempt: attempt.attempt,
        time_left_ms: (time_left.0 / 1_000).max(0) as u64,
        class: classes.get(body.class.0).cloned().unwrap_or_default(),
        settings: settings.to_vec(),
    }
}
