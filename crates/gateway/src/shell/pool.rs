//! Connections to workers and what is out on them: one request at a time on each, never pipelined.
//!
//! It guards the difference between what never left and what may have run: an attempt whose connection failed
//! before the kernel took a byte of it was never sent, any later end may have run. Called by the shell, which hands
//! it the loop's happenings and takes its [`TaskEnd`]s.

use crate::settings::PoolSettings;
use slatevalve::{FunctionId, Micros, Outcome, WorkerId};
use slatevalve_engine::{AttemptRef, Timers};
use slatevalve_reactor::{Id, Reactor};
use slatevalve_worker_wire::reply::{self, Understood};
use slatevalve_worker_wire::{Limits, Message, MessageReader, Order, Side};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

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

/// A request that ended.
#[derive(Debug)]
pub struct TaskEnd {
    /// Where it was sent.
    pub worker: WorkerId,
    /// What it was for.
    pub purpose: Purpose,
    /// Time since it was handed in.
    pub latency: Micros,
    /// How it ended.
    pub understood: Understood,
}

struct Task {
    purpose: Purpose,
    order: Order,
    began: Micros,
}

struct Peer {
    name: String,
    address: SocketAddr,
    /// The address as the requests' `Host` has it.
    host: String,
    idle: Vec<Id>,
    connections: usize,
    listed: bool,
}

struct Connection {
    worker: WorkerId,
    reader: MessageReader,
    connected: bool,
    task: Option<Task>,
    /// Bytes that the kernel had taken when the present task began.
    written_before: u64,
    /// When it is closed for taking too long or being idle.
    due: Option<Micros>,
}

/// All connections to workers.
pub struct Pool {
    settings: PoolSettings,
    gateway: String,
    order_timeout: Micros,
    peers: BTreeMap<WorkerId, Peer>,
    connections: HashMap<Id, Connection>,
    attempts: HashMap<AttemptRef, Id>,
    timers: Timers<Id>,
}

fn bare(outcome: Outcome) -> Understood {
    Understood {
        outcome,
        payload: Vec::new(),
        copies: 0,
        crowd: None,
        load_failed: false,
        ran: None,
        report: None,
    }
}

impl Pool {
    /// A pool that knows no worker yet.
    pub fn new(settings: PoolSettings, gateway: &str, order_timeout: Micros) -> Self {
        Pool {
            settings,
            gateway: gateway.into(),
            order_timeout,
            peers: BTreeMap::new(),
            connections: HashMap::new(),
            attempts: HashMap::new(),
            timers: Timers::default(),
        }
    }

    /// Notes where a worker is reached. A worker that moved is reached at its new address from now on.
    pub fn list(&mut self, reactor: &mut Reactor, worker: WorkerId, name: &str, address: SocketAddr) {
        let host = address.to_string();
        let new = Peer { name: name.into(), address, host, idle: Vec::new(), connections: 0, listed: true };
        let peer = self.peers.entry(worker).or_insert(new);
        peer.listed = true;
        if peer.address != address {
            peer.address = address;
            peer.host = address.to_string();
            self.close_idle(reactor, worker);
        }
    }

    /// Notes that a worker is gone: nothing more is sent to it. What is out there runs to its end.
    pub fn unlist(&mut self, reactor: &mut Reactor, worker: WorkerId) {
        if let Some(peer) = self.peers.get_mut(&worker) {
            peer.listed = false;
        }
        self.close_idle(reactor, worker);
        self.forget_unused(worker);
    }

    fn close_idle(&mut self, reactor: &mut Reactor, worker: WorkerId) {
        let idle = self.peers.get_mut(&worker).map(|p| std::mem::take(&mut p.idle)).unwrap_or_default();
        for id in idle {
            self.drop_connection(reactor, id);
        }
    }

    fn forget_unused(&mut self, worker: WorkerId) {
        if self.peers.get(&worker).is_some_and(|p| !p.listed && p.connections == 0) {
            self.peers.remove(&worker);
        }
    }

    /// A worker's name, for logs.
    pub fn name(&self, worker: WorkerId) -> &str {
        self.peers.get(&worker).map_or("?", |p| &p.name)
    }

    /// Sends a request. Where that cannot even begin, its end is given at once.
    pub fn submit(
        &mut self,
        now: Micros,
        reactor: &mut Reactor,
        worker: WorkerId,
        purpose: Purpose,
        order: Order,
    ) -> Option<TaskEnd> {
        let failed =
            |outcome| Some(TaskEnd { worker, purpose, latency: Micros(0), understood: bare(outcome) });
        let Some(peer) = self.peers.get_mut(&worker).filter(|p| p.listed) else {
            return failed(Outcome::NotSent);
        };
        let task = Task { purpose, order, began: now };
        if let Some(id) = peer.idle.pop() {
            self.begin(now, reactor, id, task);
            return None;
        }
        // A worker that takes no more connections is one that cannot be reached.
        if peer.connections >= self.settings.most {
            return failed(Outcome::ConnectFailed);
        }
        let Ok(id) = reactor.connect(peer.address) else { return failed(Outcome::ConnectFailed) };
        peer.connections += 1;
        let limits = Limits { body: self.settings.max_response, ..Limits::default() };
        let reader = MessageReader::new(Side::Response, limits);
        let due = Some(after(now, self.settings.connect_timeout));
        if let Purpose::Attempt(attempt) = purpose {
            self.attempts.insert(attempt, id);
        }
        let task = Some(task);
        let connection = Connection { worker, reader, connected: false, task, written_before: 0, due };
        self.connections.insert(id, connection);
        self.arm(id);
        None
    }

    /// Writes a task's request to a connection that stands.
    fn begin(&mut self, now: Micros, reactor: &mut Reactor, id: Id, task: Task) {
        let timeout = match task.purpose {
            // A call's time is the engine's to watch.
            Purpose::Attempt(_) => None,
            Purpose::Probe => Some(self.settings.probe_timeout),
            Purpose::Load(_) | Purpose::Unload => Some(self.order_timeout),
        };
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let host = self.peers.get(&connection.worker).map_or("", |p| &p.host);
        let bytes = task.order.encode(host, &self.gateway);
        connection.written_before = reactor.written(id);
        connection.due = timeout.map(|t| after(now, t));
        if let Purpose::Attempt(attempt) = task.purpose {
            self.attempts.insert(attempt, id);
        }
        connection.task = Some(task);
        reactor.write(id, &bytes);
        self.arm(id);
    }

    /// Ends an attempt from our side: as `outcome`, or as never sent where no byte of it left.
    pub fn call_off(
        &mut self,
        now: Micros,
        reactor: &mut Reactor,
        attempt: AttemptRef,
        outcome: Outcome,
    ) -> Option<TaskEnd> {
        let id = *self.attempts.get(&attempt)?;
        let connection = self.connections.get(&id)?;
        let sent = connection.connected && reactor.written(id) > connection.written_before;
        let end = self.end_task(now, id, bare(if sent { outcome } else { Outcome::NotSent }));
        self.drop_connection(reactor, id);
        end
    }

    /// A connection stands: its request goes out.
    pub fn connected(&mut self, now: Micros, reactor: &mut Reactor, id: Id) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.connected = true;
        if let Some(task) = connection.task.take() {
            self.begin(now, reactor, id, task);
        }
    }

    /// Bytes came.
    pub fn received(&mut self, now: Micros, reactor: &mut Reactor, id: Id, bytes: &[u8]) -> Option<TaskEnd> {
        let connection = self.connections.get_mut(&id)?;
        if connection.task.is_none() {
            // Nothing was asked: whatever this answers, it is nobody's.
            self.drop_connection(reactor, id);
            return None;
        }
        match connection.reader.feed(bytes) {
            Ok(None) => None,
            Ok(Some(message)) => self.answered(now, reactor, id, message),
            // It took the request and answered something else: it may have run.
            Err(_) => {
                let end = self.end_task(now, id, bare(Outcome::Error));
                self.drop_connection(reactor, id);
                end
            }
        }
    }

    fn answered(&mut self, now: Micros, reactor: &mut Reactor, id: Id, message: Message) -> Option<TaskEnd> {
        let connection = self.connections.get_mut(&id)?;
        let (last, worker) = (message.head.last, connection.worker);
        let understood = reply::read(&connection.task.as_ref()?.order, message);
        let end = self.end_task(now, id, understood);
        let listed = self.peers.get(&worker).is_some_and(|p| p.listed);
        if last || !listed {
            self.drop_connection(reactor, id);
        } else {
            let due = after(now, self.settings.idle);
            self.connections.get_mut(&id).into_iter().for_each(|c| c.due = Some(due));
            self.peers.get_mut(&worker).into_iter().for_each(|p| p.idle.push(id));
            self.arm(id);
        }
        end
    }

    /// A connection ended; `written` are the bytes that the kernel took over its life.
    pub fn closed(&mut self, now: Micros, id: Id, connected: bool, written: u64) -> Option<TaskEnd> {
        let connection = self.connections.get_mut(&id)?;
        let order = connection.task.as_ref().map(|t| t.order.clone());
        let understood = match (connection.reader.end(), order) {
            _ if !connected || written == connection.written_before => bare(Outcome::ConnectFailed),
            (Ok(Some(message)), Some(order)) => reply::read(&order, message),
            _ => bare(Outcome::Reset),
        };
        let end = self.end_task(now, id, understood);
        self.remove(id);
        end
    }

    /// When [`Pool::advance`] is due next.
    pub fn next_wake(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// Closes what takes too long or is idle.
    pub fn advance(&mut self, now: Micros, reactor: &mut Reactor) -> Vec<TaskEnd> {
        let mut ends = Vec::new();
        while let Some(id) = self.timers.pop(now) {
            let Some(connection) = self.connections.get(&id) else { continue };
            // Stale, or moved: whoever moved it set a timer of its own.
            if connection.due.is_none_or(|at| at > now) {
                continue;
            }
            let outcome = if connection.connected { Outcome::TimedOut } else { Outcome::ConnectFailed };
            ends.extend(self.end_task(now, id, bare(outcome)));
            self.drop_connection(reactor, id);
        }
        ends
    }

    fn arm(&mut self, id: Id) {
        if let Some(at) = self.connections.get(&id).and_then(|c| c.due) {
            self.timers.set(at, id);
        }
    }

    fn end_task(&mut self, now: Micros, id: Id, understood: Understood) -> Option<TaskEnd> {
        let connection = self.connections.get_mut(&id)?;
        let task = connection.task.take()?;
        connection.due = None;
        if let Purpose::Attempt(attempt) = task.purpose {
            self.attempts.remove(&attempt);
        }
        let latency = Micros(now.0.saturating_sub(task.began.0));
        Some(TaskEnd { worker: connection.worker, purpose: task.purpose, latency, understood })
    }

    fn drop_connection(&mut self, reactor: &mut Reactor, id: Id) {
        reactor.close(id);
        self.remove(id);
    }

    fn remove(&mut self, id: Id) {
        let Some(connection) = self.connections.remove(&id) else { return };
        if let Some(peer) = self.peers.get_mut(&connection.worker) {
            peer.connections = peer.connections.saturating_sub(1);
            peer.idle.retain(|i| *i != id);
        }
        self.forget_unused(connection.worker);
    }
}

fn after(now: Micros, time: Micros) -> Micros {
    Micros(now.0.saturating_add(time.0))
}
