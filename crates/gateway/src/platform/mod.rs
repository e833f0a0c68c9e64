//! The router of the platform: the loop's sockets around its clients, its workers, its change log and the engine.
//!
//! It guards the platform's terms of a process: in the foreground, ready only with a list of workers, a new
//! configuration on SIGHUP without a call lost, and on SIGTERM served on until nobody can come any more (`stop.rs`). It carries
//! and times and decides nothing; calls are the engine's and the module's. Called by the sub-command `platform`. What holds
//! when things cross within a turn is in `docs/design-platform.md`.

mod stop;

use crate::clock::Clock;
use crate::loop_timer::{LoopIteration, LoopTimer};
use crate::server::pool::{Pool, RequestEnd};
use crate::settings::PoolSettings;
use slatevalve::{Micros, WorkerId, WorkerState};
use slatevalve_engine::{Engine, EngineSettings, FunctionTraits, Output};
use slatevalve_platform::changes::{Change, Follower, Wanted};
use slatevalve_platform::config::{Config, ConfigError};
use slatevalve_platform::front::{Front, FrontOutput, FrontSettings, LinkId};
use slatevalve_platform::workers::Lines;
use slatevalve_reactor::{Id, Reactor, ReactorEvent, MAX_LINGERING};
use slatevalve_site_config::FieldError;
use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use stop::Stop;
use tracing::{debug, error, info, warn};

/// Bytes buffered for one connection at most; a client that reads more slowly is closed.
const MAX_BUFFERED: usize = 512 * 1024;
/// The loop wakes at least so often, so that a standstill of its own is noticed also when nothing is due.
const LONGEST_WAIT: Duration = Duration::from_millis(100);
/// A listener that could not accept rests for this.
const ACCEPT_REST: Micros = Micros(20_000);
/// Descriptors that are neither a client's nor a worker's: standard streams, listener, poller, signals, change log, and
/// clients' connections that are over and read out.
const OTHER_DESCRIPTORS: usize = 24 + MAX_LINGERING;
/// Time kept back from each budget for the answer's way to the client.
const MARGIN: Micros = Micros(4_000);
/// Functions whose names are held; one unused for longest makes room.
const FUNCTIONS: usize = 8_192;
/// A configuration that cannot be used at SIGHUP may be half written: it is read again so often, so long after each other.
const READ_AGAIN: (u32, Micros) = (20, Micros(100_000));
/// Unusable things that a log line is spent on.
const LOGGED: u64 = 20;

/// Why a router could not start or go on.
#[derive(Debug)]
pub enum PlatformError {
    /// A variable of the environment is not set.
    Variable(&'static str),
    /// The configuration cannot be read.
    Read(PathBuf, io::Error),
    /// The configuration cannot be used.
    Config(PathBuf, ConfigError),
    /// The events of the start cannot be used.
    Known(PathBuf, FieldError),
    /// A socket could not be had.
    Listen(SocketAddr, io::Error),
    /// The poller or a signal failed.
    Loop(io::Error),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformError::Variable(name) => write!(f, "{name} is not set; it names the configuration"),
            PlatformError::Read(path, e) => write!(f, "{}: {e}", path.display()),
            PlatformError::Config(path, e) => write!(f, "{}: {e}", path.display()),
            PlatformError::Known(path, e) => write!(f, "{}: known: {e}", path.display()),
            PlatformError::Listen(address, e) => write!(f, "cannot listen on {address}: {e}"),
            PlatformError::Loop(e) => write!(f, "the loop failed: {e}"),
        }
    }
}

impl std::error::Error for PlatformError {}

fn load(path: &Path) -> Result<Config, PlatformError> {
    let text = std::fs::read_to_string(path).map_err(|e| PlatformError::Read(path.into(), e))?;
    Config::read(&text).map_err(|e| PlatformError::Config(path.into(), e))
}

/// A running router.
pub struct Router {
    clock: Clock,
    file: PathBuf,
    classes: Vec<String>,
    reactor: Reactor,
    engine: Engine,
    front: Front,
    pool: Pool,
    watch_state: Follower,
    /// The change log's connection.
    log: Option<Id>,
    listener: Id,
    address: SocketAddr,
    links: HashMap<Id, LinkId>,
    sockets: HashMap<LinkId, Id>,
    next_link: u64,
    /// Workers that the log told of and that are not gone.
    workers: HashMap<WorkerId, WorkerState>,
    age: Micros,
    turns: LoopTimer,
    stop: Stop,
    resume_at: Option<Micros>,
    /// How often, and when, a configuration that could not be used is read again.
    read_again: Option<(u32, Micros)>,
    unusable: u64,
    to_engine: Vec<Output>,
    to_front: Vec<FrontOutput>,
    wanted: Vec<Wanted>,
}

impl Router {
    /// Reads the configuration, listens, and takes the events of the start.
    ///
    /// # Errors
    /// When the file or a socket cannot be had.
    pub fn new(file: PathBuf, clock: Clock) -> Result<Self, PlatformError> {
        let config = load(&file)?;
        let mut reactor = Reactor::new(MAX_BUFFERED).map_err(PlatformError::Loop)?;
        for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT, signal_hook::consts::SIGHUP]
        {
            reactor.signal(signal).map_err(PlatformError::Loop)?;
        }
        let (listener, address) =
            reactor.listen(config.listen).map_err(|e| PlatformError::Listen(config.listen, e))?;
        let site = config.site;
        let module = site.settings;
        let stop = Stop::new(module.classes.iter().map(|c| c.deadline).max().unwrap_or_default());
        let turns = LoopTimer::new(clock.now(), module.rules.drain_grace);
        let free = config.limits.sockets.saturating_sub(OTHER_DESCRIPTORS).max(8);
        // Usual clients hold a third of all descriptors at most; the rest of this share is for those who are not usual.
        let clients = free * 9 / 20;
        let effects = module.classes.iter().map(|c| c.effect);
        let classes = site.names.classes.iter().cloned().zip(effects).collect();
        let connections = site.connections;
        let pool = PoolSettings {
            connect_timeout: connections.connect_timeout,
            idle: Micros(connections.idle.0 * 9 / 10),
            most: usize::MAX,
            total: free - clients,
            probe_timeout: connections.connect_timeout,
        };
        let lines = Lines { streams: connections.streams, tells_crowd: site.names.queue_depth };
        let order_timeout = module.loading.order_timeout;
        let engine = EngineSettings {
            module,
            seed: config.seed,
            classes: Vec::new(),
            key_spaces: Vec::new(),
            functions: HashMap::new(),
            other_functions: FunctionTraits::default(),
            duplicates: None,
            margin: MARGIN,
            max_open: usize::MAX,
            max_functions: FUNCTIONS,
        };
        let at = Box::new(move |millis| clock.at_unix_ms(millis));
        let (watch_state, known) =
            Follower::new(site.names.clone(), at, config.changelog, &config.known, config.seed)
                .map_err(|e| PlatformError::Known(file.clone(), e))?;
        let mut router = Router {
            clock,
            file,
            classes: site.names.classes,
            reactor,
            engine: Engine::new(engine),
            front: Front::new(FrontSettings { classes, connections: clients }),
            pool: Pool::new(pool, Box::new(lines), order_timeout),
            watch_state,
            log: None,
            listener,
            address,
            links: HashMap::new(),
            sockets: HashMap::new(),
            next_link: 0,
            workers: HashMap::new(),
            age: Micros(0),
            turns,
            stop,
            resume_at: None,
            read_again: None,
            unusable: 0,
            to_engine: Vec::new(),
            to_front: Vec::new(),
            wanted: Vec::new(),
        };
        let now = clock.now();
        for e in known.unread {
            warn!(%e, "a line of the events of the start could not be read");
        }
        for change in known.changes {
            router.change(now, change);
        }
        router.drain_outputs(now);
        Ok(router)
    }

    /// Where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sizes of all tables that grow with traffic: the front's connections, open requests and ids; the pool's workers,
    /// connections, attempts and timers. For tests of bounds and the log.
    pub fn sizes(&self) -> [usize; 7] {
        let (links, open, ids) = self.front.sizes();
        let [workers, connections, attempts, timers] = self.pool.sizes();
        [links, open, ids, workers, connections, attempts, timers]
    }

    /// Runs until an orderly stop is done.
    ///
    /// # Errors
    /// When the poller fails.
    pub fn run(&mut self) -> Result<(), PlatformError> {
        while !self.poll(LONGEST_WAIT)? {}
        Ok(())
    }

    /// One turn of the loop, which waits no longer than `most`; true once an orderly stop is done. What it decides to write
    /// leaves when the next turn begins.
    ///
    /// # Errors
    /// When the poller fails.
    pub fn poll(&mut self, most: Duration) -> Result<bool, PlatformError> {
        let wait = self.wait_from(self.clock.now()).min(most);
        let turn =
            self.turns.wait(&self.clock, &mut self.reactor, wait, None).map_err(PlatformError::Loop)?;
        let LoopIteration { now, read_delay: age, events: happened } = turn;
        self.age = age;
        let quiet = !happened.iter().any(|h| self.is_of_client(h));
        self.handle(now, happened);
        self.watch_state.advance(now, &mut self.wanted);
        self.follow(now);
        self.front.advance(now, &mut self.to_front);
        for end in self.pool.advance(now, &mut self.reactor) {
            self.ended(now, end);
        }
        self.drain_outputs(now);
        self.engine.advance(now, &mut self.to_engine);
        self.drain_outputs(now);
        if self.resume_at.is_some_and(|at| at <= now) {
            self.resume_at = None;
            self.reactor.resume(self.listener);
        }
        if self.read_again.is_some_and(|(_, at)| at <= now) {
            self.reload(now);
        }
        Ok(self.has_stopped(now, quiet))
    }

    fn handle(&mut self, now: Micros, mut happened: Vec<ReactorEvent>) {
        // What the change log tells comes before anything else in the turn: a drain that is known is kept.
        happened.sort_by_key(|h| !self.is_of_log(h));
        for event in happened {
            match self.is_of_log(&event) {
                true => self.log_happened(now, event),
                false => self.handle_event(now, event),
            }
        }
    }

    fn wait_from(&self, now: Micros) -> Duration {
        let (engine, front, pool) = (self.engine.next_wake(), self.front.next_wake(), self.pool.next_wake());
        let again = self.read_again.map(|(_, at)| at);
        let due = [engine, front, pool, self.resume_at, again, Some(self.watch_state.next_wake())];
        let until = due.into_iter().flatten().min().map_or(i64::MAX, |at| at.0.saturating_sub(now.0).max(0));
        Duration::from_micros(until as u64).min(LONGEST_WAIT)
    }

    /// Whether the list of workers is there and worth serving, and no stop is under way.
    fn is_ready(&self) -> bool {
        !self.stop.has_begun() && self.workers.values().any(|state| *state == WorkerState::Ready)
    }

    fn handle_event(&mut self, now: Micros, event: ReactorEvent) {
        match event {
            ReactorEvent::Accepted { connection, .. } => {
                self.next_link += 1;
                let link = LinkId(self.next_link);
                self.links.insert(connection, link);
                self.sockets.insert(link, connection);
                self.front.opened(now, link, &mut self.to_front);
            }
            ReactorEvent::Received(id, bytes) => match self.links.get(&id) {
                Some(link) => {
                    let ready = self.is_ready();
                    self.front.received(now, *link, &bytes, ready, &mut self.to_front);
                }
                None => {
                    let ends = self.pool.received(now, &mut self.reactor, id, &bytes);
                    ends.into_iter().for_each(|end| self.ended(now, end));
                }
            },
            ReactorEvent::Connected(id) => self.pool.connected(now, &mut self.reactor, id),
            ReactorEvent::Closed { id, connected, written } => match self.links.remove(&id) {
                Some(link) => {
                    self.sockets.remove(&link);
                    self.front.closed(link, &mut self.to_front);
                }
                None => {
                    let ends = self.pool.closed(now, id, connected, written);
                    ends.into_iter().for_each(|end| self.ended(now, end));
                }
            },
            ReactorEvent::Drained(_) | ReactorEvent::Woken => {}
            ReactorEvent::Signal(signal_hook::consts::SIGHUP) => {
                self.read_again = Some((READ_AGAIN.0, now));
                self.reload(now);
            }
            ReactorEvent::Signal(_) => self.begin_stop(now),
            ReactorEvent::AcceptFailed { error, .. } => {
                warn!(%error, "cannot accept connections; those that stand go on");
                self.resume_at = Some(Micros(now.0 + ACCEPT_REST.0));
            }
        }
        self.drain_outputs(now);
    }

    /// Whether something happened on the change log's connection.
    fn is_of_log(&self, event: &ReactorEvent) -> bool {
        self.log.is_some() && of(event) == self.log
    }

    fn log_happened(&mut self, now: Micros, event: ReactorEvent) {
        let out = &mut self.wanted;
        match event {
            ReactorEvent::Connected(_) => self.watch_state.connected(now, out),
            ReactorEvent::Received(_, bytes) => self.watch_state.received(now, &bytes, out),
            ReactorEvent::Closed { .. } => {
                self.log = None;
                self.watch_state.closed(now, out);
            }
            _ => {}
        }
        self.follow(now);
    }

    /// Carries out what the follower wants.
    fn follow(&mut self, now: Micros) {
        while !self.wanted.is_empty() {
            for wanted in std::mem::take(&mut self.wanted) {
                match wanted {
                    Wanted::Connect(address) => match self.reactor.connect(address) {
                        Ok(id) => self.log = Some(id),
                        Err(_) => self.watch_state.closed(now, &mut self.wanted),
                    },
                    Wanted::Write(bytes) => {
                        self.log.into_iter().for_each(|id| self.reactor.write(id, &bytes));
                    }
                    Wanted::Close => self.log.take().into_iter().for_each(|id| self.reactor.close(id)),
                    Wanted::Change(change) => self.change(now, change),
                    Wanted::Unread(e) => {
                        self.unusable += 1;
                        if self.unusable <= LOGGED {
                            warn!(%e, "an answer of the change log, or a line of it, could not be read");
                        }
                    }
                }
            }
        }
        self.drain_outputs(now);
    }

    /// Takes an event of the change log.
    fn change(&mut self, now: Micros, change: Change) {
        let mut gone: Vec<WorkerId> = Vec::new();
        if change.complete {
            gone.extend(self.workers.keys().filter(|id| !change.lines.iter().any(|l| l.entry.id == **id)));
        }
        let mut held_back = Vec::new();
        for line in &change.lines {
            let id = line.entry.id;
            match (line.entry.state, line.address) {
                (WorkerState::Gone, _) | (_, None) => gone.push(id),
                (state, Some(address)) => {
                    // Gone and back in one event: what waited was for the one that is gone.
                    let back = gone.contains(&id);
                    gone.retain(|g| *g != id);
                    let moved = self.pool.list(&mut self.reactor, id, &line.name, address);
                    self.workers.insert(id, state);
                    if state == WorkerState::Draining || moved || back {
                        held_back.push(id);
                    }
                }
            }
        }
        for id in &gone {
            self.workers.remove(id);
            held_back.push(*id);
        }
        debug!(now = now.0, seq = self.watch_state.seq(), ?change, "change");
        // The module first: what is taken back is decided anew with the drain known.
        self.engine.listed(now, change.listing(), &mut self.to_engine);
        for id in held_back {
            for end in self.pool.cancel_unsent(now, &mut self.reactor, id) {
                self.ended(now, end);
            }
        }
        for id in gone {
            self.pool.unlist(&mut self.reactor, id);
        }
    }

    /// Carries out what front and engine want until neither wants anything.
    fn drain_outputs(&mut self, now: Micros) {
        while !(self.to_front.is_empty() && self.to_engine.is_empty()) {
            for output in std::mem::take(&mut self.to_front) {
                match output {
                    FrontOutput::Write(link, bytes) => {
                        if let Some(id) = self.sockets.get(&link) {
                            self.reactor.write(*id, &bytes);
                        }
                    }
                    FrontOutput::Finish(link) => {
                        if let Some(id) = self.sockets.remove(&link) {
                            self.links.remove(&id);
                            self.reactor.finish(id);
                        }
                    }
                    FrontOutput::Call(mut call) => {
                        call.age = self.age;
                        debug!(
                            now = now.0,
                            ticket = call.ticket.0,
                            class = call.class.0,
                            function = &*call.function,
                            budget = call.budget.0,
                            age = call.age.0,
                            "call"
                        );
                        self.engine.call(now, *call, &mut self.to_engine);
                    }
                    FrontOutput::Left(ticket) => {
                        debug!(now = now.0, ticket = ticket.0, "left");
                        self.engine.client_disconnected(now, ticket, &mut self.to_engine);
                    }
                    FrontOutput::Unusable(link, why) => {
                        self.unusable += 1;
                        if self.unusable <= LOGGED {
                            info!(link = link.0, ?why, "a client sent what cannot be used");
                        }
                    }
                }
            }
            for output in std::mem::take(&mut self.to_engine) {
                self.execute(now, output);
            }
        }
    }

    fn execute(&mut self, now: Micros, output: Output) {
        let (reactor, engine, out) = (&mut self.reactor, &mut self.engine, &mut self.to_engine);
        // What is not of workers is an answer: the list comes by itself, and neither versions nor keys are kept here.
        if let Some(Output::Answer(ticket, answer)) =
            self.pool.execute(now, reactor, engine, output, &self.classes, out)
        {
            debug!(
                now = now.0,
                ticket = ticket.0,
                verdict = answer.verdict.word(),
                reason = ?answer.verdict.reason(),
                attempts = answer.attempts,
                "answer"
            );
            self.front.answer(now, ticket, &answer, &mut self.to_front);
        }
    }

    /// A request to a worker ended: the engine is told.
    fn ended(&mut self, now: Micros, end: RequestEnd) {
        self.pool.tell(now, end, &mut self.engine, &mut self.to_engine);
    }

    /// SIGHUP: the file is read again; what it tells of the change log counts from now on. One that cannot be used changes
    /// nothing, and is looked at again for a while, as it may be half written.
    fn reload(&mut self, now: Micros) {
        let left = self.read_again.take().map_or(0, |(left, _)| left);
        match load(&self.file) {
            Ok(config) => {
                info!(changelog = %config.changelog, "configuration read again");
                self.watch_state.moved(now, config.changelog, &mut self.wanted);
                self.watch_state.advance(now, &mut self.wanted);
                self.follow(now);
            }
            Err(e) => {
                if left == READ_AGAIN.0 || left == 0 {
                    error!(%e, "the configuration was not taken; all stays as it was");
                }
                self.read_again = left.checked_sub(1).map(|left| (left, Micros(now.0 + READ_AGAIN.1 .0)));
            }
        }
    }
}

/// The connection that something happened on.
fn of(event: &ReactorEvent) -> Option<Id> {
    match event {
        ReactorEvent::Connected(id)
        | ReactorEvent::Received(id, _)
        | ReactorEvent::Drained(id)
        | ReactorEvent::Closed { id, .. } => Some(*id),
        _ => None,
    }
}
