//! The one loop: sockets, timers and signals around the front, the engine and the pool of workers.
//!
//! It carries and times; it decides nothing. In each turn what came in on sockets is handed on before timers fire:
//! a gateway that stood still finds the answers that were there in time before it finds that time is up.

mod admin;
mod config_versioning;
mod members;
mod plugins;
pub(crate) mod pool;

use crate::clock::Clock;
use crate::loop_timer::{LoopTimer, Turn};
use crate::members::{Recorder, Source, Starts};
use crate::plugins::folder::FolderError;
use crate::settings::{Site, WorkerLine};
use admin::Admin;
use config_versioning::Agreement;
use plugins::PluginHost;
use pool::{Pool, RequestEnd};
use slatevalve::{Listing, Micros, Scope, WorkerId, WorkerState};
use slatevalve_engine::{Call, Engine, Output, Ticket};
use slatevalve_mqtt::{Bridge, BridgeOutput, Front, FrontOutput, LinkId, TicketSource};
use slatevalve_reactor::{Id, Reactor, ReactorEvent};
use slatevalve_sexpr::FormError;
use slatevalve_worker_protocol::{Http, Limits};
use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tracing::{error, info, warn};

/// Bytes buffered for one connection at most; one that reads more slowly is closed.
const MAX_BUFFERED: usize = 8 * 1024 * 1024;
/// The loop wakes at least so often, so that a standstill of its own is noticed also when nothing is due.
const LONGEST_WAIT: Duration = Duration::from_millis(100);
/// The bridge's number among the fronts; clients that connect here are 1.
const BRIDGE: u8 = 2;
/// A listener that could not accept rests for this.
const ACCEPT_REST: Micros = Micros(100_000);

/// Why a gateway could not start or go on.
#[derive(Debug)]
pub enum GatewayError {
    /// A socket could not be had.
    Listen(SocketAddr, io::Error),
    /// The admin socket could not be had.
    Admin(PathBuf, io::Error),
    /// A recorded list cannot be read, or none be written.
    Record(PathBuf, io::Error),
    /// The folder of plug-ins cannot be read.
    Plugins(FolderError),
    /// The poller or a signal failed.
    Loop(io::Error),
}

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GatewayError::Listen(address, e) => write!(f, "cannot listen on {address}: {e}"),
            GatewayError::Admin(path, e) => write!(f, "admin socket {}: {e}", path.display()),
            GatewayError::Record(path, e) => write!(f, "{}: {e}", path.display()),
            GatewayError::Plugins(e) => write!(f, "plug-ins: {e}"),
            GatewayError::Loop(e) => write!(f, "the loop failed: {e}"),
        }
    }
}

impl std::error::Error for GatewayError {}

/// A running gateway.
pub struct GatewayServer {
    clock: Clock,
    site: Site,
    settings_file: Option<PathBuf>,
    reactor: Reactor,
    engine: Engine,
    front: Front,
    bridge: Option<BridgeLink>,
    plugins: Option<PluginHost>,
    admin: Option<Admin>,
    /// Where the settings come from, where they are documents.
    agreement: Option<Agreement>,
    /// Where the list of workers comes from, where that is not the settings file.
    source: Option<Box<dyn Source>>,
    recorder: Option<Recorder>,
    /// Names by id, as two names may have one id.
    names: HashMap<WorkerId, String>,
    starts: Starts,
    pool: Pool,
    listener: Id,
    address: SocketAddr,
    /// The front's connections, both ways.
    links: HashMap<Id, LinkId>,
    sockets: HashMap<LinkId, Id>,
    next_link: u64,
    listed: BTreeSet<WorkerId>,
    /// How long what is read in this turn may have waited.
    age: Micros,
    stopping: bool,
    /// When a listener that rests may accept again.
    resume_at: Option<Micros>,
    to_engine: Vec<Output>,
    to_front: Vec<FrontOutput>,
    to_bridge: Vec<BridgeOutput>,
}

/// The bridge and its connection to the broker.
struct BridgeLink {
    bridge: Bridge,
    broker: SocketAddr,
    socket: Option<Id>,
}

impl GatewayServer {
    /// Binds the listener and takes the worker list; `settings_file` is read again on SIGHUP.
    ///
    /// # Errors
    /// When a socket, the poller or a signal cannot be had.
    pub fn new(site: Site, settings_file: Option<PathBuf>, clock: Clock) -> Result<Self, GatewayError> {
        let reactor = Reactor::new(MAX_BUFFERED).map_err(GatewayError::Loop)?;
        GatewayServer::with(site, settings_file, clock, reactor)
    }

    fn with(
        site: Site,
        settings_file: Option<PathBuf>,
        clock: Clock,
        mut reactor: Reactor,
    ) -> Result<Self, GatewayError> {
        for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT, signal_hook::consts::SIGHUP]
        {
            reactor.signal(signal).map_err(GatewayError::Loop)?;
        }
        let (listener, address) =
            reactor.listen(site.listen).map_err(|e| GatewayError::Listen(site.listen, e))?;
        let order_timeout = site.engine.module.loading.order_timeout;
        let limits = Limits { body: site.max_response, ..Limits::default() };
        let http = Http { gateway: site.name.clone(), limits };
        let (mut plugins, mut admin) = (None, None);
        if let Some(settings) = site.plugins.clone() {
            if let Some(path) = &settings.admin {
                let opened = Admin::open(&mut reactor, path);
                admin = Some(opened.map_err(|e| GatewayError::Admin(path.clone(), e))?);
            }
            let waker = reactor.waker().map_err(GatewayError::Loop)?;
            let host = PluginHost::open(settings, &site, clock, waker);
            plugins = Some(host.map_err(GatewayError::Plugins)?);
        }
        let (source, recorder) = members::open(&site, clock.unix_ms())?;
        let mut shell = GatewayServer {
            clock,
            settings_file,
            reactor,
            engine: Engine::new(site.engine.clone()),
            front: Front::new(site.front.clone()),
            bridge: site.bridge.clone().map(|(broker, settings)| BridgeLink {
                bridge: Bridge::new(settings),
                broker,
                socket: None,
            }),
            plugins,
            admin,
            agreement: None,
            source,
            recorder,
            names: HashMap::new(),
            starts: Starts::default(),
            pool: Pool::new(site.pool, Box::new(http), order_timeout),
            listener,
            address,
            links: HashMap::new(),
            sockets: HashMap::new(),
            next_link: 0,
            listed: BTreeSet::new(),
            age: Micros(0),
            stopping: false,
            resume_at: None,
            to_engine: Vec::new(),
            to_front: Vec::new(),
            to_bridge: Vec::new(),
            site,
        };
        shell.pool.sends_by(&shell.site.documents);
        if shell.source.is_none() {
            let workers = shell.site.workers.clone();
            shell.take_list(Scope::Full, &workers);
        }
        shell.take_news(clock.now());
        Ok(shell)
    }

    /// Where MQTT clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Runs until an orderly stop is done.
    ///
    /// # Errors
    /// When the poller fails.
    pub fn run(&mut self) -> Result<(), GatewayError> {
        let mut turns = LoopTimer::new(self.clock.now(), self.site.engine.module.rules.drain_grace);
        loop {
            self.look_at_right();
            let wait = self.wait_from(self.clock.now());
            let until = self.agreement.as_ref().and_then(Agreement::writes_until);
            let turn = turns.wait(&self.clock, &mut self.reactor, wait, until).map_err(GatewayError::Loop)?;
            let Turn { now, age, happened } = turn;
            self.age = age;
            // The wait may have been long.
            self.look_at_right();
            for event in happened {
                self.handle_event(now, event);
            }
            self.front.advance(now, &mut self.to_front);
            if let Some(link) = &mut self.bridge {
                link.bridge.advance(now, &mut self.to_bridge);
            }
            if let Some(source) = &mut self.source {
                source.advance(now, &mut self.reactor);
                self.take_news(now);
            }
            self.agree(now);
            turns.graced(self.site.engine.module.rules.drain_grace);
            self.look_at_right();
            for end in self.pool.advance(now, &mut self.reactor) {
                self.ended(now, end);
            }
            self.drain_outputs(now);
            self.engine.advance(now, &mut self.to_engine);
            if let Some(plugins) = &mut self.plugins {
                plugins.advance(now, &mut self.engine, &mut self.to_engine);
            }
            self.drain_outputs(now);
            if self.resume_at.is_some_and(|at| at <= now) {
                self.resume_at = None;
                self.reactor.resume(self.listener);
            }
            if self.stopping && self.engine.is_idle() {
                return self.leave(now);
            }
        }
    }

    fn wait_from(&self, now: Micros) -> Duration {
        let bridge = self.bridge.as_ref().and_then(|l| l.bridge.next_wake());
        let source = self.source.as_ref().map(|s| s.next_wake(now));
        let (engine, front, pool) = (self.engine.next_wake(), self.front.next_wake(), self.pool.next_wake());
        let agreement = self.agreement.as_ref().map(|a| a.next_wake(now));
        let due = [engine, front, pool, self.resume_at, bridge, source, agreement];
        match due.into_iter().flatten().min() {
            Some(at) => Duration::from_micros(at.0.saturating_sub(now.0).max(0) as u64).min(LONGEST_WAIT),
            None => LONGEST_WAIT,
        }
    }

    fn handle_event(&mut self, now: Micros, event: ReactorEvent) {
        if self.source.as_mut().is_some_and(|s| s.handle_event(now, &mut self.reactor, &event)) {
            return self.take_news(now);
        }
        if self.agreement.as_mut().is_some_and(|a| a.handle_event(now, &mut self.reactor, &event)) {
            return;
        }
        match event {
            ReactorEvent::Accepted { listener, connection, .. } if listener != self.listener => {
                self.admin.iter_mut().for_each(|a| a.accepted(&mut self.reactor, connection));
            }
            ReactorEvent::Accepted { connection, .. } => {
                self.next_link += 1;
                let link = LinkId(self.next_link);
                self.links.insert(connection, link);
                self.sockets.insert(link, connection);
                self.front.opened(now, link);
            }
            ReactorEvent::Received(id, bytes) => {
                if let Some(link) = self.links.get(&id) {
                    self.front.received(now, *link, &bytes, &mut self.to_front);
                } else if let Some(link) = self.bridge.as_mut().filter(|l| l.socket == Some(id)) {
                    link.bridge.received(now, &bytes, &mut self.to_bridge);
                } else if self.admin.as_ref().is_some_and(|a| a.knows(id)) {
                    self.admin_said(id, &bytes);
                } else {
                    let ends = self.pool.received(now, &mut self.reactor, id, &bytes);
                    ends.into_iter().for_each(|end| self.ended(now, end));
                }
            }
            ReactorEvent::Connected(id) => match self.bridge.as_mut().filter(|l| l.socket == Some(id)) {
                Some(link) => link.bridge.connected(now, &mut self.to_bridge),
                None => self.pool.connected(now, &mut self.reactor, id),
            },
            ReactorEvent::Closed { id, connected, written } => {
                if let Some(link) = self.links.remove(&id) {
                    self.sockets.remove(&link);
                    self.front.closed(now, link, &mut self.to_front);
                } else if let Some(link) = self.bridge.as_mut().filter(|l| l.socket == Some(id)) {
                    link.socket = None;
                    link.bridge.closed(now);
                } else if self.admin.as_mut().is_some_and(|a| a.closed(id)) {
                } else {
                    let ends = self.pool.closed(now, id, connected, written);
                    ends.into_iter().for_each(|end| self.ended(now, end));
                }
            }
            ReactorEvent::Drained(_) => {}
            ReactorEvent::Woken => self.hear_plugins(now),
            ReactorEvent::Signal(signal_hook::consts::SIGHUP) => self.reload(),
            ReactorEvent::Signal(_) => self.stop(now),
            // The admin socket's listener stays at rest: who may open it is one of us, and can ask again.
            ReactorEvent::AcceptFailed { error, .. } => {
                error!(%error, "cannot accept connections; those that stand go on");
                self.resume_at = Some(Micros(now.0 + ACCEPT_REST.0));
            }
        }
        self.drain_outputs(now);
    }

    /// What the plug-ins' thread has told.
    fn hear_plugins(&mut self, now: Micros) {
        let Some(plugins) = &mut self.plugins else { return };
        for (id, answer, more) in plugins.hear(now, &self.engine) {
            self.admin.iter_mut().for_each(|a| a.answer(&mut self.reactor, id, &answer, more));
        }
    }

    /// A command came on the admin socket.
    fn admin_said(&mut self, id: Id, bytes: &[u8]) {
        let (Some(admin), Some(plugins)) = (&mut self.admin, &mut self.plugins) else { return };
        if let Some(command) = admin.received(&mut self.reactor, id, bytes) {
            if let Some(answer) = plugins.command(&self.engine, id, command) {
                admin.answer(&mut self.reactor, id, &answer, false);
            }
        }
    }

    /// Carries out what front and engine want until neither wants anything.
    fn drain_outputs(&mut self, now: Micros) {
        while !(self.to_front.is_empty() && self.to_engine.is_empty() && self.to_bridge.is_empty()) {
            for output in std::mem::take(&mut self.to_bridge) {
                self.execute_bridge(now, output);
            }
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
                    FrontOutput::Call(call) => self.take(now, *call),
                    FrontOutput::Left(ticket) => {
                        self.plugins.iter_mut().for_each(|p| p.gone(now, ticket));
                        self.engine.client_disconnected(now, ticket, &mut self.to_engine);
                    }
                }
            }
            for output in std::mem::take(&mut self.to_engine) {
                self.execute(now, output);
            }
        }
    }

    fn execute_bridge(&mut self, now: Micros, output: BridgeOutput) {
        let Some(link) = &mut self.bridge else { return };
        match output {
            BridgeOutput::Connect => match self.reactor.connect(link.broker) {
                Ok(id) => link.socket = Some(id),
                Err(_) => link.bridge.closed(now),
            },
            BridgeOutput::Write(bytes) => {
                if let Some(id) = link.socket {
                    self.reactor.write(id, &bytes);
                }
            }
            BridgeOutput::Finish => {
                if let Some(id) = link.socket.take() {
                    self.reactor.finish(id);
                }
            }
            BridgeOutput::Call(call) => self.take(now, *call),
        }
    }

    /// Hands a call to the engine, with what its function's name means now.
    fn take(&mut self, now: Micros, mut call: Call) {
        call.age = self.age;
        if let Some(plugins) = &mut self.plugins {
            plugins.resolve(now, &mut call);
        }
        self.engine.call(now, call, &mut self.to_engine);
    }

    fn execute(&mut self, now: Micros, output: Output) {
        let (reactor, engine, out) = (&mut self.reactor, &mut self.engine, &mut self.to_engine);
        let Some(output) = self.pool.execute(now, reactor, engine, output, &self.site.classes, out) else {
            return;
        };
        match output {
            Output::RanOther { worker, version, ran } => {
                let worker = self.pool.name(worker);
                error!(worker, digest = %version.digest, ran = ran.as_deref().unwrap_or("nothing named"),
                    "a worker ran other content; its answer was not passed on");
            }
            Output::Answer(ticket, answer) => {
                self.plugins.iter_mut().for_each(|p| p.answered(now, ticket, &answer));
                match bridge_of(&mut self.bridge, ticket) {
                    Some(link) => link.bridge.answer(now, ticket, &answer, &mut self.to_bridge),
                    None => self.front.answer(now, ticket, &answer, &mut self.to_front),
                }
            }
            Output::Superseded(ticket) => {
                self.plugins.iter_mut().for_each(|p| p.gone(now, ticket));
                match bridge_of(&mut self.bridge, ticket) {
                    Some(link) => link.bridge.superseded(now, ticket, &mut self.to_bridge),
                    None => self.front.superseded(ticket),
                }
            }
            // The list comes from the settings file, whole, at the start and on SIGHUP; all else is the pool's.
            _ => {}
        }
    }

    /// A request to a worker ended: the engine is told.
    fn ended(&mut self, now: Micros, end: RequestEnd) {
        self.pool.tell(now, end, &mut self.engine, &mut self.to_engine);
    }

    /// Takes a whole worker list. Workers that it no longer names are gone.
    fn take_list(&mut self, scope: Scope, workers: &[WorkerLine]) {
        let now = self.clock.now();
        let mut named = BTreeSet::new();
        let mut held_back = Vec::new();
        for line in workers.iter().filter(|w| w.entry.state != WorkerState::Gone) {
            let moved = self.pool.list(&mut self.reactor, line.entry.id, &line.name, line.address);
            held_back.extend((moved || line.entry.state == WorkerState::Draining).then_some(line.entry.id));
            named.insert(line.entry.id);
        }
        for worker in std::mem::take(&mut self.listed).difference(&named) {
            info!(worker = self.pool.name(*worker), "worker is gone");
            self.pool.unlist(&mut self.reactor, *worker);
            held_back.push(*worker);
        }
        self.listed = named;
        let entries = workers.iter().map(|w| w.entry.clone()).collect();
        let listing = Listing { scope, entries };
        self.engine.listed(now, listing, &mut self.to_engine);
        self.cancel_unsent(now, held_back);
        self.drain_outputs(now);
    }

    /// What waits to be sent to workers that take nothing new is taken back; the module knows of them already.
    fn cancel_unsent(&mut self, now: Micros, workers: Vec<WorkerId>) {
        for worker in workers {
            for end in self.pool.cancel_unsent(now, &mut self.reactor, worker) {
                self.ended(now, end);
            }
        }
    }

    /// SIGHUP: the worker list and the catalogue of plug-ins are read again. A file with an error changes nothing.
    fn reload(&mut self) {
        self.plugins.iter().for_each(PluginHost::reload);
        let Some(path) = &self.settings_file else { return };
        let read: Result<Site, FormError> = Site::load(path, &self.clock, self.site.named.clone());
        match read {
            Err(error) => error!(%error, "the settings file was not taken; the worker list stays as it was"),
            Ok(site) => {
                info!(workers = site.workers.len(), "worker list read again");
                if let (Some(plugins), Some(settings)) = (&mut self.plugins, site.plugins) {
                    plugins.require(settings.terms);
                }
                self.site.named = site.named;
                self.site.workers = site.workers.clone();
                if self.source.is_none() {
                    self.take_list(Scope::Full, &site.workers);
                }
            }
        }
    }

    /// SIGTERM: no new calls; what is open is finished, or ended when the time is up.
    fn stop(&mut self, now: Micros) {
        if self.stopping {
            return;
        }
        info!(open = self.engine.unanswered(), "stopping");
        self.stopping = true;
        self.reactor.close(self.listener);
        if let Some(link) = &mut self.bridge {
            link.bridge.hold();
        }
        self.engine.stop(now, Micros(now.0 + self.site.stop_within.0));
        self.source.iter_mut().for_each(|s| s.leave(now, &mut self.reactor));
    }

    /// All is answered: says goodbye to the clients and writes out what waits, for a bounded time.
    fn leave(&mut self, now: Micros) -> Result<(), GatewayError> {
        self.agreement.iter_mut().for_each(Agreement::leave);
        self.front.stop(now, &mut self.to_front);
        self.drain_outputs(now);
        let until = Micros(now.0 + 1_000_000);
        let mut happened = Vec::new();
        let staying = |s: &Self| {
            let agrees = s.agreement.as_ref().is_some_and(|a| !a.has_left());
            agrees || s.source.as_ref().is_some_and(|source| !source.has_left())
        };
        let unsent = |s: &Self| s.bridge.as_ref().is_some_and(|l| l.bridge.is_up() && l.bridge.unsent() > 0);
        while (self.reactor.has_pending() || unsent(self) || staying(self)) && self.clock.now() < until {
            self.reactor.poll(Some(Duration::from_millis(10)), &mut happened).map_err(GatewayError::Loop)?;
            let now = self.clock.now();
            for event in happened.drain(..) {
                self.handle_event(now, event);
            }
            self.agree(now);
        }
        let counts = self.engine.statistics();
        if counts.overdue > 0 {
            warn!(overdue = counts.overdue, "calls were ended by the engine, past their deadline");
        }
        info!(
            calls = counts.calls,
            served = counts.served,
            refused = counts.refused,
            failed = counts.failed,
            attempts = counts.attempts,
            "stopped"
        );
        Ok(())
    }
}

/// The bridge, where a ticket is of its making.
fn bridge_of(bridge: &mut Option<BridgeLink>, ticket: Ticket) -> Option<&mut BridgeLink> {
    bridge.as_mut().filter(|_| TicketSource::front_of(ticket) == BRIDGE)
}
