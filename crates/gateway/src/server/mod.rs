//! The gateway server: one event loop around front end, bridge, request engine and pool of worker
//! connections.
//!
//! The loop does I/O and reads the clock; decisions about calls are made by the engine. In each iteration
//! socket events are handled before timers fire, so that after a pause of the process, answers that arrived
//! in time are processed before the deadlines of their calls expire.
//!
//! Modules: `events` dispatches events of the reactor, `outputs` executes the outputs of front end, bridge
//! and engine, `reload` and `shutdown` handle signals. `config_versioning` connects the settings documents,
//! `members` the worker source, `plugins` the versions of functions, and `admin` the operators' socket.

mod admin;
mod bridge;
mod client_input;
mod config_versioning;
mod error;
mod events;
mod members;
mod outputs;
mod plugins;
pub(crate) mod pool;
mod reload;
mod shutdown;

pub use error::GatewayError;

use crate::clock::Clock;
use crate::event_loop::{self, ClientConnections, Listener, WorkerSide};
use crate::loop_timer::{LoopIteration, LoopTimer};
use crate::members::{Recorder, Source, WorkerStartTimes};
use crate::random_id::{id_text, random_u64};
use crate::settings::Site;
use admin::Admin;
use bridge::BridgeLink;
use config_versioning::ConfigVersioning;
use plugins::PluginHost;
use pool::{Pool, RequestEnd};
use shutdown::Shutdown;
use slatevalve::{Micros, Scope, WorkerId};
use slatevalve_engine::{Engine, Output};
use slatevalve_mqtt::{Bridge, BridgeOutput, Front, FrontOutput, FrontSettings, LinkId};
use slatevalve_reactor::Reactor;
use slatevalve_worker_protocol::{HttpProtocol, Limits};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tracing::info;

/// Maximum of unsent bytes per connection; a peer that reads too slowly is disconnected when it is reached.
const MAX_BUFFERED_BYTES: usize = 8 * 1024 * 1024;
/// Maximum of unsent bytes of all clients that read too slowly.
const MAX_UNREAD_BYTES: usize = 256 * 1024 * 1024;
/// How long the listener is paused after a failed accept.
const ACCEPT_PAUSE: Micros = Micros(100_000);

/// A running gateway.
pub struct GatewayServer {
    clock: Clock,
    site: Site,
    /// Reloaded on SIGHUP.
    settings_file: Option<PathBuf>,
    reactor: Reactor,
    engine: Engine,
    front: Front,
    bridge: Option<BridgeLink>,
    plugins: Option<PluginHost>,
    admin: Option<Admin>,
    /// Source of the settings if they are documents of the registry.
    config_versioning: Option<ConfigVersioning>,
    /// Source of the worker list if that is not the settings file.
    source: Option<Box<dyn Source>>,
    recorder: Option<Recorder>,
    /// Names of the source's workers by id; detects different names that hash to the same id.
    names: HashMap<WorkerId, String>,
    start_times: WorkerStartTimes,
    pool: Pool,
    listener: Listener,
    clients: ClientConnections<LinkId>,
    /// Workers of the current list.
    workers_listed: BTreeSet<WorkerId>,
    /// Upper bound of the time that bytes read in this iteration waited before they were read.
    read_delay: Micros,
    /// Upper bound of the time that the calls being submitted waited before they were read.
    input_age: Micros,
    /// Set from SIGTERM or SIGINT on.
    shutdown: Option<Shutdown>,
    engine_outputs: Vec<Output>,
    front_outputs: Vec<FrontOutput>,
    bridge_outputs: Vec<BridgeOutput>,
}

impl GatewayServer {
    /// Opens the listener and applies the worker list; `settings_file` is read again on SIGHUP.
    ///
    /// # Errors
    /// If a socket, the poller, a signal handler or the plug-in folder is not available.
    pub fn new(site: Site, settings_file: Option<PathBuf>, clock: Clock) -> Result<Self, GatewayError> {
        let reactor = Reactor::new(MAX_BUFFERED_BYTES).map_err(GatewayError::Loop)?;
        GatewayServer::with_reactor(site, settings_file, clock, reactor)
    }

    fn with_reactor(
        site: Site,
        settings_file: Option<PathBuf>,
        clock: Clock,
        mut reactor: Reactor,
    ) -> Result<Self, GatewayError> {
        event_loop::subscribe_to_signals(&mut reactor).map_err(GatewayError::Loop)?;
        let listener = Listener::open(&mut reactor, site.listen, ACCEPT_PAUSE)
            .map_err(|error| GatewayError::Listen(site.listen, error))?;
        let instance = id_text(random_u64().map_err(GatewayError::Identity)?);
        info!(%instance, "identity of this process");
        let admin = open_admin(&site, &mut reactor)?;
        let plugins = open_plugins(&site, &mut reactor, clock)?;
        let (source, recorder) = members::open(&site, clock.start_unix_ms())?;
        let bridge = site.bridge.clone();
        let mut server = GatewayServer {
            clock,
            settings_file,
            reactor,
            engine: Engine::new(site.engine.clone()),
            front: Front::new(FrontSettings { instance: instance.clone(), ..site.front.clone() }),
            bridge: bridge.map(|(broker, settings)| BridgeLink::new(Bridge::new(settings), broker)),
            plugins,
            admin,
            config_versioning: None,
            source,
            recorder,
            names: HashMap::new(),
            start_times: WorkerStartTimes::default(),
            pool: new_pool(&site, &instance),
            listener,
            clients: ClientConnections::new(LinkId, MAX_UNREAD_BYTES),
            input_age: Micros(0),
            workers_listed: BTreeSet::new(),
            read_delay: Micros(0),
            shutdown: None,
            engine_outputs: Vec::new(),
            front_outputs: Vec::new(),
            bridge_outputs: Vec::new(),
            site,
        };
        server.apply_initial_list();
        Ok(server)
    }

    fn apply_initial_list(&mut self) {
        self.pool.set_document_versions(&self.site.documents);
        if self.source.is_none() {
            let workers = self.site.workers.clone();
            self.apply_worker_list(Scope::Full, &workers);
        }
        self.take_membership_events(self.clock.now());
    }

    /// The address on which MQTT clients connect, with the port that the kernel chose if the settings name
    /// port 0.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Runs until a graceful shutdown is complete.
    ///
    /// # Errors
    /// If the poller fails.
    pub fn run(&mut self) -> Result<(), GatewayError> {
        let mut loop_timer = LoopTimer::new(self.clock.now(), self.drain_grace());
        loop {
            let now = self.run_iteration(&mut loop_timer)?;
            if self.advance_shutdown(now) {
                return self.shut_down(now);
            }
        }
    }

    /// Runs one iteration of the loop: write and wait, events, protocol timers, settings, then calls. Returns
    /// its time.
    ///
    /// The send permission is checked wherever a lease may have expired since the last check.
    fn run_iteration(&mut self, loop_timer: &mut LoopTimer) -> Result<Micros, GatewayError> {
        self.apply_send_permission();
        let timeout = self.poll_timeout(self.clock.now());
        let write_deadline = self.config_versioning.as_ref().and_then(ConfigVersioning::writes_until);
        let LoopIteration { now, read_delay, events } = loop_timer
            .wait(&self.clock, &mut self.reactor, timeout, write_deadline)
            .map_err(GatewayError::Loop)?;
        self.read_delay = read_delay;
        self.input_age = read_delay;
        // The lease may have expired during the wait.
        self.apply_send_permission();
        self.close_slow_clients(now);
        for event in events {
            self.handle_event(now, event);
        }
        self.serve_clients(now);
        self.advance_protocols(now);
        self.advance_config_versioning(now);
        loop_timer.set_drain_grace(self.drain_grace());
        self.apply_send_permission();
        self.advance_calls(now);
        self.listener.resume_if_due(now, &mut self.reactor);
        Ok(now)
    }

    /// Fires the timers of front end, bridge and worker source.
    fn advance_protocols(&mut self, now: Micros) {
        self.front.advance(now, &mut self.front_outputs);
        if let Some(link) = &mut self.bridge {
            link.bridge.advance(now, &mut self.bridge_outputs);
        }
        if let Some(source) = &mut self.source {
            source.advance(now, &mut self.reactor);
            self.take_membership_events(now);
        }
    }

    /// Fires the timers of pool, engine and plug-ins, and executes the outputs.
    fn advance_calls(&mut self, now: Micros) {
        self.worker_side().advance(now);
        self.drain_outputs(now);
        self.engine.advance(now, &mut self.engine_outputs);
        if let Some(plugins) = &mut self.plugins {
            plugins.advance(now, &mut self.engine, &mut self.engine_outputs);
        }
        self.drain_outputs(now);
    }

    fn poll_timeout(&self, now: Micros) -> Duration {
        if self.clients.has_input() {
            return Duration::ZERO;
        }
        let timers = [
            self.engine.next_wake(),
            self.front.next_wake(),
            self.pool.next_wake(),
            self.listener.resume_at(),
            self.shutdown.as_ref().map(|shutdown| shutdown.next_wake(now, &self.engine)),
            self.bridge.as_ref().and_then(|link| link.bridge.next_wake()),
            self.source.as_ref().map(|source| source.next_wake(now)),
            self.config_versioning.as_ref().map(|config_versioning| config_versioning.next_wake(now)),
        ];
        event_loop::poll_timeout(now, timers)
    }

    fn drain_grace(&self) -> Micros {
        self.site.engine.balancer.rules.drain_grace
    }

    fn worker_side(&mut self) -> WorkerSide<'_> {
        WorkerSide {
            pool: &mut self.pool,
            reactor: &mut self.reactor,
            engine: &mut self.engine,
            classes: &self.site.classes,
            outputs: &mut self.engine_outputs,
        }
    }

    /// Reports the end of a request to a worker to the engine.
    fn report_completion(&mut self, now: Micros, end: RequestEnd) {
        self.worker_side().report(now, [end]);
    }
}

/// Opens the admin socket if the settings name one.
fn open_admin(site: &Site, reactor: &mut Reactor) -> Result<Option<Admin>, GatewayError> {
    let path = site.plugins.as_ref().and_then(|settings| settings.admin.as_ref());
    path.map(|path| Admin::open(reactor, path).map_err(|error| GatewayError::Admin(path.clone(), error)))
        .transpose()
}

/// Opens the plug-in folder if the settings name one.
fn open_plugins(
    site: &Site,
    reactor: &mut Reactor,
    clock: Clock,
) -> Result<Option<PluginHost>, GatewayError> {
    let Some(settings) = site.plugins.clone() else { return Ok(None) };
    let waker = reactor.waker().map_err(GatewayError::Loop)?;
    PluginHost::open(settings, site, clock, waker).map(Some).map_err(GatewayError::Plugins)
}

fn new_pool(site: &Site, instance: &str) -> Pool {
    let limits = Limits { body: site.max_response, ..Limits::default() };
    let protocol = HttpProtocol { gateway: site.name.clone(), limits };
    let mut pool = Pool::new(site.pool, Box::new(protocol), site.engine.balancer.loading.load_timeout);
    pool.set_request_id_prefix(format!("{instance}-"));
    pool
}
