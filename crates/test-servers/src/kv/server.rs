//! The process.

use super::store::{KvStore, Refusal};
use crate::tap::unix_micros;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use slatevalve_http::{Limits, Message, MessageReader, Side};
use slatevalve_reactor::{Id, Reactor, ReactorEvent};
use slatevalve_registry::serve;
use slatevalve_registry::wire::*;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// What waits to be read by one watcher; a slower one is dropped.
const MAX_BUFFERED: usize = 32 * 1024 * 1024;
/// Events in one fragment of an answer.
const FRAGMENT: usize = 100;
/// Time between two looks at leases and faults, and where requests wait for a core.
const TICK: Duration = Duration::from_millis(20);
const FINE_TICK: Duration = Duration::from_millis(2);

/// What goes wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KvFaultKind {
    /// All connections end, and new ones end at once.
    Break,
    /// It takes connections and requests and answers nothing; watches hear nothing.
    Stall,
    /// Each answer of a watch comes twice.
    Duplicate,
    /// Answers of watches come in fragments, and each line in two pieces.
    Split,
    /// Watches lose their changes without a word.
    Lose,
    /// At the start of the time: history up to now is forgotten.
    Compact,
    /// At the start of the time: it goes back so many revisions, as another cluster.
    Restore(i64),
    /// At the start of the time: it goes back so many revisions and calls itself the same cluster.
    GoBack(i64),
    /// At the start of the time: no token holds any more.
    ForgetTokens,
    /// At the start of the time: every second lease ends.
    ExpireHalf,
}

/// A fault and its time, in microseconds of the Unix clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvFault {
    /// From then on.
    pub from_us: i64,
    /// Until then.
    pub to_us: i64,
    /// What.
    pub kind: KvFaultKind,
}

/// All that the stand-in is told.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct KvPlan {
    /// Where it listens; port 0 lets the kernel choose.
    pub listen: SocketAddr,
    /// Name and password, where it asks for them.
    pub login: Option<(String, String)>,
    /// History older than this is forgotten, in microseconds; 0 keeps it.
    pub compact_after_us: i64,
    /// What goes wrong.
    pub faults: Vec<KvFault>,
    /// Keys and values that it holds from the start.
    pub keys: Vec<(String, String)>,
    /// What it can take; none for one that takes all.
    pub capacity: Option<Capacity>,
}

/// What the stand-in can take on its one core. What its asker has given up on still costs its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Capacity {
    /// Short requests and beginnings of watches a second.
    pub requests_per_s: f64,
    /// Bytes a second that it writes; 0 for no limit.
    pub bytes_per_s: f64,
    /// Requests that may wait.
    pub queue: usize,
    /// Beyond the queue it says nothing; else it refuses, with the seconds after which it may be asked again.
    pub silent: bool,
    /// See above.
    pub retry_after_s: u32,
    /// Connections at most; 0 for no limit.
    pub connections: usize,
}

impl Default for Capacity {
    fn default() -> Self {
        Capacity {
            requests_per_s: 1_000.0,
            bytes_per_s: 0.0,
            queue: 100,
            silent: false,
            retry_after_s: 1,
            connections: 0,
        }
    }
}

impl Default for KvPlan {
    fn default() -> Self {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        KvPlan {
            listen,
            login: None,
            compact_after_us: 0,
            faults: Vec::new(),
            keys: Vec::new(),
            capacity: None,
        }
    }
}

struct Watcher {
    create: WatchCreate,
    /// The first revision that was not told.
    next: i64,
}

struct Peer {
    reader: MessageReader,
    watcher: Option<Watcher>,
}

struct Server {
    plan: KvPlan,
    store: KvStore,
    reactor: Reactor,
    peers: HashMap<Id, Peer>,
    /// Faults of a moment that were carried out.
    done: Vec<bool>,
    /// Requests that wait, where its capacity is stated.
    waiting: VecDeque<(Id, Message)>,
    /// When its core is free again, in microseconds of the Unix clock.
    free_at_us: i64,
}

/// Runs the stand-in until SIGTERM or SIGINT; `ready` is told where it listens.
///
/// # Errors
/// When a socket cannot be had.
pub fn run_kv(plan: KvPlan, ready: impl FnOnce(SocketAddr)) -> io::Result<()> {
    let mut reactor = Reactor::new(MAX_BUFFERED)?;
    for signal in [libc::SIGTERM, libc::SIGINT] {
        reactor.signal(signal)?;
    }
    let (_, address) = reactor.listen(plan.listen)?;
    let mut store = KvStore::new(7, plan.login.clone());
    for (key, value) in &plan.keys {
        let put = PutRequest { key: Bytes::of(key), value: Bytes::of(value), lease: 0 };
        // Without a lease nothing can be wrong with it.
        let _ = store.put(unix_micros(), &put);
    }
    let (done, tick) =
        (vec![false; plan.faults.len()], if plan.capacity.is_some() { FINE_TICK } else { TICK });
    let (peers, waiting) = (HashMap::new(), VecDeque::new());
    let mut server = Server { plan, store, reactor, peers, done, waiting, free_at_us: 0 };
    ready(address);
    let mut happened = Vec::new();
    loop {
        server.reactor.poll(Some(tick), &mut happened)?;
        server.act_faults();
        for event in happened.drain(..) {
            if let ReactorEvent::Signal(_) = event {
                return Ok(());
            }
            server.handle_event(event);
        }
        server.work();
        server.store.expire(unix_micros());
        if server.plan.compact_after_us > 0 {
            server.store.compact_before(unix_micros().saturating_sub(server.plan.compact_after_us));
        }
        server.tell_watchers();
    }
}

impl Server {
    fn acts(&self, kind: &KvFaultKind) -> bool {
        let now = unix_micros();
        self.plan.faults.iter().any(|f| f.kind == *kind && (f.from_us..f.to_us).contains(&now))
    }

    /// Faults of a moment, and the end of all connections in a break.
    fn act_faults(&mut self) {
        let now = unix_micros();
        for n in 0..self.plan.faults.len() {
            let fault = &self.plan.faults[n];
            if self.done[n] || now < fault.from_us {
                continue;
            }
            let back = |by: i64| self.store.revision().saturating_sub(by);
            match &fault.kind {
                KvFaultKind::Compact => drop(self.store.compact(self.store.revision())),
                KvFaultKind::Restore(by) => self.store.restore(back(*by), true),
                KvFaultKind::GoBack(by) => self.store.restore(back(*by), false),
                KvFaultKind::ForgetTokens => self.store.forget_tokens(),
                KvFaultKind::ExpireHalf => self.store.expire_half(now),
                _ => continue,
            }
            self.done[n] = true;
            // A member that was restored was started anew.
            if matches!(self.plan.faults[n].kind, KvFaultKind::Restore(_) | KvFaultKind::GoBack(_)) {
                self.close_all();
            }
        }
        if self.acts(&KvFaultKind::Break) {
            self.close_all();
        }
    }

    fn close_all(&mut self) {
        for (id, _) in std::mem::take(&mut self.peers) {
            self.reactor.close(id);
        }
    }

    fn handle_event(&mut self, event: ReactorEvent) {
        match event {
            ReactorEvent::Accepted { connection, .. } if self.acts(&KvFaultKind::Break) || self.is_full() => {
                self.reactor.close(connection);
            }
            ReactorEvent::Accepted { connection, .. } => {
                let reader = MessageReader::new(Side::Request, Limits::default());
                self.peers.insert(connection, Peer { reader, watcher: None });
            }
            ReactorEvent::Received(id, bytes) => match self.peers.get_mut(&id).map(|p| p.reader.feed(&bytes))
            {
                Some(Ok(Some(request))) if !self.acts(&KvFaultKind::Stall) => self.queue(id, request),
                Some(Err(_)) => self.reactor.finish(id),
                _ => {}
            },
            ReactorEvent::Closed { id, .. } => drop(self.peers.remove(&id)),
            ReactorEvent::AcceptFailed { listener, .. } => self.reactor.resume(listener),
            ReactorEvent::Connected(_)
            | ReactorEvent::Drained(_)
            | ReactorEvent::Signal(_)
            | ReactorEvent::Woken => {}
        }
    }

    fn is_full(&self) -> bool {
        let most = self.plan.capacity.as_ref().map_or(0, |c| c.connections);
        most > 0 && self.peers.len() >= most
    }

    /// Takes a request at once, or lets it wait for the core, or turns it away.
    fn queue(&mut self, id: Id, request: Message) {
        let Some(capacity) = &self.plan.capacity else { return self.asked(id, &request) };
        if self.waiting.len() < capacity.queue {
            return self.waiting.push_back((id, request));
        }
        if !capacity.silent {
            let error =
                ErrorBody { message: "etcdserver: too many requests".into(), code: code::UNAVAILABLE };
            let after = format!("Retry-After: {}\r\n", capacity.retry_after_s);
            self.write(id, 503, &after, serde_json::to_vec(&error).unwrap_or_default());
        }
    }

    /// Does what its core had time for. Whoever asked may be gone by then; that saves nothing.
    fn work(&mut self) {
        let now = unix_micros();
        self.free_at_us = self.free_at_us.max(now - FINE_TICK.as_micros() as i64);
        while self.free_at_us <= now {
            let Some(capacity) = &self.plan.capacity else { return };
            let each = (1e6 / capacity.requests_per_s.max(0.001)) as i64;
            let Some((id, request)) = self.waiting.pop_front() else { return };
            self.free_at_us += each;
            self.asked(id, &request);
        }
    }

    fn write(&mut self, id: Id, status: u16, more: &str, body: Vec<u8>) {
        let answer = serve::answer(status, more, &body);
        let rate = self.plan.capacity.as_ref().map_or(0.0, |c| c.bytes_per_s);
        if rate > 0.0 {
            self.free_at_us += (answer.len() as f64 / rate * 1e6) as i64;
        }
        self.reactor.write(id, &answer);
    }

    fn asked(&mut self, id: Id, request: &Message) {
        let path = request.head.target.as_str();
        let answer = if path == AUTHENTICATE {
            parse(&request.body).and_then(|ask| json(self.store.authenticate(&ask)))
        } else if !self.store.admits(request.head.header("Authorization")) {
            Err((code::UNAUTHENTICATED, "etcdserver: invalid auth token"))
        } else if path == WATCH {
            return self.watch(id, &request.body);
        } else {
            self.carry_out(path, &request.body)
        };
        let (status, body) = match answer {
            Ok(body) => (200, body),
            Err((code, words)) => {
                let status = if code == code::UNAUTHENTICATED { 401 } else { 400 };
                let body = ErrorBody { message: words.into(), code };
                (status, serde_json::to_vec(&body).unwrap_or_default())
            }
        };
        self.write(id, status, "", body);
    }

    fn carry_out(&mut self, path: &str, body: &[u8]) -> Result<Vec<u8>, Refusal> {
        let now = unix_micros();
        let store = &mut self.store;
        match path {
            RANGE => parse(body).and_then(|ask| json(store.range(&ask))),
            PUT => parse(body).and_then(|ask| json(store.put(now, &ask))),
            DELETE => parse(body).and_then(|ask| json(Ok(store.delete(now, &ask)))),
            TXN => parse(body).and_then(|ask| json(store.transact(now, &ask))),
            COMPACT => parse::<CompactRequest>(body).and_then(|ask| json(store.compact(ask.revision))),
            GRANT => parse::<LeaseRequest>(body).and_then(|ask| json(Ok(store.grant(now, ask.ttl)))),
            KEEP_ALIVE => parse::<LeaseRequest>(body).and_then(|ask| {
                let result = Some(store.keep_alive(now, ask.id));
                json(Ok(Streamed { result, error: None }))
            }),
            REVOKE => parse::<LeaseRequest>(body).and_then(|ask| match store.revoke(now, ask.id) {
                true => json(Ok(PlainResponse { header: store.header(), ..PlainResponse::default() })),
                false => Err((code::NOT_FOUND, "etcdserver: requested lease not found")),
            }),
            STATUS => json(Ok(PlainResponse { header: store.header(), ..PlainResponse::default() })),
            _ => Err((code::NOT_FOUND, "no such path")),
        }
    }

    fn watch(&mut self, id: Id, body: &[u8]) {
        let create = serde_json::from_slice::<WatchRequest>(body).ok().and_then(|w| w.create_request);
        let Some(create) = create else { return self.reactor.finish(id) };
        self.reactor.write(id, serve::WATCH_HEAD);
        let next = if create.start_revision > 0 { create.start_revision } else { self.store.revision() + 1 };
        let created =
            WatchResponse { header: self.store.header(), created: true, ..WatchResponse::default() };
        self.line(id, &created);
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.watcher = Some(Watcher { create, next });
        }
    }

    /// One line of a watch's answer, as a chunk or as two.
    fn line(&mut self, id: Id, answer: &WatchResponse) {
        let line = serve::watch_line(answer.clone());
        let half = if self.acts(&KvFaultKind::Split) { line.len() / 2 } else { 0 };
        for piece in [&line[..half], &line[half..]].into_iter().filter(|p| !p.is_empty()) {
            self.reactor.write(id, &serve::chunk(piece));
        }
    }

    fn tell_watchers(&mut self) {
        if self.acts(&KvFaultKind::Stall) {
            return;
        }
        let lost = self.acts(&KvFaultKind::Lose);
        let ids: Vec<Id> = self.peers.iter().filter(|p| p.1.watcher.is_some()).map(|p| *p.0).collect();
        for id in ids {
            let Some(Watcher { create, next }) = self.peers.get_mut(&id).and_then(|p| p.watcher.take())
            else {
                continue;
            };
            let header = self.store.header();
            match self.store.changes(next, &create.key.0, &create.range_end.0) {
                Err(compact_revision) => {
                    let canceled = true;
                    self.line(
                        id,
                        &WatchResponse { header, canceled, compact_revision, ..WatchResponse::default() },
                    );
                    self.reactor.write(id, serve::WATCH_END);
                    continue;
                }
                Ok(changes) => {
                    for (_, events) in changes.into_iter().filter(|_| !lost) {
                        self.tell(id, &header, events);
                    }
                }
            }
            let next = next.max(self.store.revision() + 1);
            if let Some(peer) = self.peers.get_mut(&id) {
                peer.watcher = Some(Watcher { create, next });
            }
        }
    }

    fn tell(&mut self, id: Id, header: &Header, events: Vec<WatchEvent>) {
        let most = if self.acts(&KvFaultKind::Split) { 1 } else { FRAGMENT };
        let times = if self.acts(&KvFaultKind::Duplicate) { 2 } else { 1 };
        for _ in 0..times {
            let count = events.len().div_ceil(most);
            for (n, part) in events.chunks(most).enumerate() {
                let (header, events) = (header.clone(), part.to_vec());
                let fragment = n + 1 < count;
                self.line(id, &WatchResponse { header, events, fragment, ..WatchResponse::default() });
            }
        }
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|_| (3, "the request makes no sense"))
}

fn json<T: Serialize>(answer: Result<T, Refusal>) -> Result<Vec<u8>, Refusal> {
    answer.map(|a| serde_json::to_vec(&a).unwrap_or_default())
}
