//! The event loop of the test registry: connections, faults and load limits.

use super::plan::{KvFaultKind, KvPlan};
use super::store::KvStore;
use super::watches::Watch;
use crate::clock::unix_micros;
use crate::listen::listening_reactor;
use slatevalve_http::{Limits, Message, MessageReader, Side};
use slatevalve_reactor::{Id, Reactor, ReactorEvent};
use slatevalve_registry::serve;
use slatevalve_registry::wire::{code, Bytes, ErrorBody, PutRequest};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// The write buffer limit of a connection, in bytes; a watcher that exceeds it by reading too slowly is
/// disconnected.
const MAX_BUFFERED: usize = 32 * 1024 * 1024;
/// The time between two checks of leases and faults.
const TICK: Duration = Duration::from_millis(20);
/// The same for a registry with load limits, whose queue is processed at each check.
const LIMITED_TICK: Duration = Duration::from_millis(2);
/// The lower bound of the request rate, per second; avoids a division by 0.
const MIN_REQUESTS_PER_SECOND: f64 = 0.001;
const CLUSTER_ID: i64 = 7;

pub(super) struct Peer {
    reader: MessageReader,
    pub(super) watch: Option<Watch>,
}

/// A request that waits for processing time.
struct QueuedRequest {
    connection: Id,
    request: Message,
}

pub(super) struct Server {
    pub(super) plan: KvPlan,
    pub(super) store: KvStore,
    pub(super) reactor: Reactor,
    pub(super) peers: HashMap<Id, Peer>,
    /// For each fault of the plan that occurs once, whether it has occurred.
    has_occurred: Vec<bool>,
    /// Empty without load limits.
    queue: VecDeque<QueuedRequest>,
    /// With load limits, the time until which the modelled core is busy, in microseconds of the Unix clock.
    busy_until_us: i64,
}

/// Runs a registry until SIGTERM or SIGINT; `ready` is called with the listening address.
///
/// # Errors
/// When a socket cannot be opened or the poller fails.
pub fn run_kv(plan: KvPlan, ready: impl FnOnce(SocketAddr)) -> io::Result<()> {
    let signals = [libc::SIGTERM, libc::SIGINT];
    let (reactor, address) = listening_reactor(plan.listen, MAX_BUFFERED, &signals)?;
    let mut server = Server {
        store: initial_store(&plan),
        reactor,
        peers: HashMap::new(),
        has_occurred: vec![false; plan.faults.len()],
        queue: VecDeque::new(),
        busy_until_us: 0,
        plan,
    };
    ready(address);
    server.run()
}

fn initial_store(plan: &KvPlan) -> KvStore {
    let mut store = KvStore::new(CLUSTER_ID, plan.login.clone(), unix_micros());
    for (key, value) in &plan.keys {
        let put = PutRequest { key: Bytes::of(key), value: Bytes::of(value), lease: 0 };
        // A put can fail only because of its lease, and this one has none.
        let _ = store.put(unix_micros(), &put);
    }
    store
}

impl Server {
    fn run(&mut self) -> io::Result<()> {
        let tick = if self.plan.capacity.is_some() { LIMITED_TICK } else { TICK };
        let mut events = Vec::new();
        loop {
            self.reactor.poll(Some(tick), &mut events)?;
            self.apply_faults();
            for event in events.drain(..) {
                if let ReactorEvent::Signal(_) = event {
                    return Ok(());
                }
                self.handle_event(event);
            }
            self.process_queue();
            self.store.expire(unix_micros());
            if self.plan.compact_after_us > 0 {
                self.store.compact_before(unix_micros().saturating_sub(self.plan.compact_after_us));
            }
            self.send_watch_events();
        }
    }

    pub(super) fn is_active(&self, kind: &KvFaultKind) -> bool {
        let now = unix_micros();
        let mut faults = self.plan.faults.iter();
        faults.any(|fault| fault.kind == *kind && (fault.from_us..fault.to_us).contains(&now))
    }

    /// Applies the faults that occur once, and closes all connections while the registry is broken.
    fn apply_faults(&mut self) {
        let now = unix_micros();
        for index in 0..self.plan.faults.len() {
            let fault = &self.plan.faults[index];
            if !self.has_occurred[index] && now >= fault.from_us {
                let kind = fault.kind.clone();
                self.has_occurred[index] = self.apply_once(now, &kind);
            }
        }
        if self.is_active(&KvFaultKind::Break) {
            self.close_all();
        }
    }

    /// Applies a fault that occurs once; returns whether it is one.
    fn apply_once(&mut self, now: i64, kind: &KvFaultKind) -> bool {
        match kind {
            KvFaultKind::Compact => drop(self.store.compact(self.store.revision())),
            KvFaultKind::Restore(by) => self.restore(*by, true),
            KvFaultKind::GoBack(by) => self.restore(*by, false),
            KvFaultKind::ForgetTokens => self.store.forget_tokens(),
            KvFaultKind::ExpireHalf => self.store.expire_half(now),
            _ => return false,
        }
        true
    }

    /// Restores an earlier revision. All connections are closed, because restoring a backup restarts the
    /// registry.
    fn restore(&mut self, by: i64, other_cluster: bool) {
        self.store.restore(self.store.revision().saturating_sub(by), other_cluster);
        self.close_all();
    }

    fn close_all(&mut self) {
        for (id, _) in std::mem::take(&mut self.peers) {
            self.reactor.close(id);
        }
    }

    fn handle_event(&mut self, event: ReactorEvent) {
        match event {
            ReactorEvent::Accepted { connection, .. } => self.accept(connection),
            ReactorEvent::Received(id, bytes) => self.receive(id, &bytes),
            ReactorEvent::Closed { id, .. } => drop(self.peers.remove(&id)),
            ReactorEvent::AcceptFailed { listener, .. } => self.reactor.resume_accepting(listener),
            _ => {}
        }
    }

    fn accept(&mut self, connection: Id) {
        if self.is_active(&KvFaultKind::Break) || self.is_full() {
            return self.reactor.close(connection);
        }
        let reader = MessageReader::new(Side::Request, Limits::default());
        self.peers.insert(connection, Peer { reader, watch: None });
    }

    fn is_full(&self) -> bool {
        let limit = self.plan.capacity.as_ref().map_or(0, |capacity| capacity.connections);
        limit > 0 && self.peers.len() >= limit
    }

    fn receive(&mut self, connection: Id, bytes: &[u8]) {
        match self.peers.get_mut(&connection).map(|peer| peer.reader.feed(bytes)) {
            Some(Ok(Some(request))) if !self.is_active(&KvFaultKind::Stall) => {
                self.admit(QueuedRequest { connection, request });
            }
            Some(Err(_)) => self.reactor.close_gracefully(connection),
            _ => {}
        }
    }

    /// Handles a request at once without load limits; otherwise queues, refuses or drops it.
    fn admit(&mut self, queued: QueuedRequest) {
        let Some(capacity) = &self.plan.capacity else {
            return self.handle_request(queued.connection, &queued.request);
        };
        if self.queue.len() < capacity.queue {
            return self.queue.push_back(queued);
        }
        if !capacity.drops_overflow {
            let error =
                ErrorBody { message: "etcdserver: too many requests".into(), code: code::UNAVAILABLE };
            let retry_after = format!("Retry-After: {}\r\n", capacity.retry_after_s);
            let body = serde_json::to_vec(&error).unwrap_or_default();
            self.write(queued.connection, 503, &retry_after, &body);
        }
    }

    /// Handles the queued requests for which the core has had time. Requests of closed connections use time
    /// too.
    fn process_queue(&mut self) {
        let now = unix_micros();
        self.busy_until_us = self.busy_until_us.max(now - LIMITED_TICK.as_micros() as i64);
        while self.busy_until_us <= now {
            let Some(capacity) = &self.plan.capacity else { return };
            let rate = capacity.requests_per_second.max(MIN_REQUESTS_PER_SECOND);
            let Some(queued) = self.queue.pop_front() else { return };
            self.busy_until_us += (1e6 / rate) as i64;
            self.handle_request(queued.connection, &queued.request);
        }
    }

    /// Writes a response; `headers` are additional header lines.
    pub(super) fn write(&mut self, id: Id, status: u16, headers: &str, body: &[u8]) {
        let response = serve::answer(status, headers, body);
        let rate = self.plan.capacity.as_ref().map_or(0.0, |capacity| capacity.bytes_per_second);
        if rate > 0.0 {
            self.busy_until_us += (response.len() as f64 / rate * 1e6) as i64;
        }
        self.reactor.write(id, &response);
    }
}
