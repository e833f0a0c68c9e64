//! Startup of a router: reading the configuration, and deriving the settings of its components.

use super::client_input::InputState;
use super::iteration_log::IterationLog;
use super::memory_log::MemoryLog;
use super::rejection_log::RejectionLog;
use super::shutdown::Shutdown;
use super::{PlatformError, ReceivedBytes, Router};
use crate::clock::{after, Clock};
use crate::event_loop::{self, ClientConnections, Listener};
use crate::loop_timer::LoopTimer;
use crate::server::pool::Pool;
use crate::settings::PoolSettings;
use slatevalve::{Micros, Settings};
use slatevalve_engine::{Engine, EngineSettings, FunctionTraits};
use slatevalve_platform::changes::{ChangeLogClient, EventBatch, KNOWN_LIST_LEASE, LIST_LEASE};
use slatevalve_platform::config::Config;
use slatevalve_platform::front::{Front, FrontSettings, LinkId};
use slatevalve_platform::workers::LineProtocol;
use slatevalve_reactor::{Reactor, MAX_LINGERING};
use slatevalve_site_config::{ConnectionSettings, SiteConfig};
use std::collections::HashMap;
use std::path::{Path, PathBuf};
use tracing::warn;

/// Limit of bytes buffered for one connection; a client that reads too slowly is disconnected.
const MAX_BUFFERED: usize = 512 * 1024;
/// Part of the process's memory for bytes that slow clients have not read yet.
const UNWRITTEN_MEMORY_DIVISOR: usize = 16;
/// Part of the process's memory for open calls. Their bytes may be held twice: until they are sent, and until the
/// call ends.
const OPEN_CALLS_MEMORY_DIVISOR: usize = 8;
/// Part of the process's memory for incomplete messages of clients.
const INCOMPLETE_MEMORY_DIVISOR: usize = 16;
const BYTES_PER_MB: usize = 1024 * 1024;
/// Pause of the listener after a failed accept.
const ACCEPT_PAUSE: Micros = Micros(20_000);
/// File descriptors reserved for other purposes than client and worker connections: standard streams,
/// listener, poller, signals, change log, and closed client connections in lingering close.
const OTHER_DESCRIPTORS: usize = 24 + MAX_LINGERING;
/// Minimum number of connections, whatever the descriptor limit of the process.
const MIN_CONNECTIONS: usize = 8;
/// Percentage of the remaining descriptors for clients. Normal clients use at most a third of all
/// descriptors; the rest of this share is for misbehaving ones.
const CLIENT_PERCENT: usize = 45;
/// Percentage of the workers' idle timeout after which the router closes an idle connection, so that it
/// closes it before the worker does.
const IDLE_PERCENT: i64 = 90;
/// Time reserved in each call's budget for sending the answer to the client.
const ANSWER_MARGIN: Micros = Micros(4_000);
/// Limit of function names in memory; the least recently used one is evicted.
const MAX_FUNCTIONS: usize = 8_192;

/// Reads a configuration file.
///
/// # Errors
/// If the file cannot be read or is invalid.
pub(super) fn load(path: &Path) -> Result<Config, PlatformError> {
    let text = std::fs::read_to_string(path).map_err(|error| PlatformError::Read(path.into(), error))?;
    Config::read(&text).map_err(|error| PlatformError::Config(path.into(), error))
}

/// Limits of client and worker connections.
struct ConnectionLimits {
    clients: usize,
    workers: usize,
}

impl ConnectionLimits {
    /// Divides the file descriptors of the process between clients and workers.
    fn new(descriptors: usize) -> Self {
        let connections = descriptors.saturating_sub(OTHER_DESCRIPTORS).max(MIN_CONNECTIONS);
        let clients = connections * CLIENT_PERCENT / 100;
        ConnectionLimits { clients, workers: connections - clients }
    }
}

impl Router {
    /// Reads the configuration, opens the listener, and applies the change log events in the configuration.
    ///
    /// # Errors
    /// If the file is missing or invalid, or a socket cannot be opened.
    pub fn new(file: PathBuf, clock: Clock) -> Result<Self, PlatformError> {
        let config = load(&file)?;
        let mut reactor = Reactor::new(MAX_BUFFERED).map_err(PlatformError::Loop)?;
        event_loop::subscribe_to_signals(&mut reactor).map_err(PlatformError::Loop)?;
        let listener = Listener::open(&mut reactor, config.listen, ACCEPT_PAUSE)
            .map_err(|error| PlatformError::Listen(config.listen, error))?;
        let site = &config.site;
        let loop_timer = LoopTimer::new(clock.now(), site.settings.rules.drain_grace);
        let limits = ConnectionLimits::new(config.limits.sockets);
        let longest_deadline =
            site.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        let (change_log, known) = new_change_log_client(&config, &file, clock)?;
        let mut router = Router {
            clock,
            file,
            classes: site.names.classes.clone(),
            reactor,
            engine: Engine::new(engine_settings(
                site.settings.clone(),
                config.seed,
                max_open_bytes(config.limits.memory_mb),
            )),
            front: Front::new(front_settings(
                site,
                limits.clients,
                max_incomplete_bytes(config.limits.memory_mb),
            )),
            pool: new_pool(site, limits.workers),
            change_log,
            log_connection: None,
            listener,
            clients: ClientConnections::new(LinkId, max_unwritten(config.limits.memory_mb)),
            workers: HashMap::new(),
            read_delay: Micros(0),
            loop_timer,
            iteration_log: IterationLog::default(),
            input: InputState::default(),
            received_bytes: ReceivedBytes::default(),
            list_members: 0,
            list_expires_at: Micros(0),
            list_expiry_handled: false,
            list_outages: 0,
            shutdown: Shutdown::new(longest_deadline),
            reload_retry: None,
            invalid_log_messages: 0,
            rejections: RejectionLog::default(),
            memory_log: MemoryLog::new(config.limits.memory_mb),
            to_engine: Vec::new(),
            to_front: Vec::new(),
            log_outputs: Vec::new(),
        };
        // Without probes, no call could be sent between the end of the short lease and the first answer of
        // the log.
        let lease = if site.settings.limits.probes { KNOWN_LIST_LEASE } else { LIST_LEASE };
        router.apply_known(clock.now(), known, lease);
        Ok(router)
    }

    /// Applies the events in the configuration; the resulting list may be used for `lease`.
    fn apply_known(&mut self, now: Micros, known: EventBatch, lease: Micros) {
        for error in known.malformed {
            warn!(%error, "invalid event in the configuration");
        }
        for change in known.changes {
            self.apply_change(now, change);
        }
        self.list_expires_at = after(now, lease);
        self.engine.worker_list_assumed(now, lease, &mut self.to_engine);
        self.drain_outputs(now);
    }
}

/// Limit of the bytes that wait to be read by slow clients, all together, for a process with `memory_mb`.
fn max_unwritten(memory_mb: u64) -> usize {
    memory_share(memory_mb, UNWRITTEN_MEMORY_DIVISOR)
}

/// Limit of the bytes of all open calls, for a process with `memory_mb`.
fn max_open_bytes(memory_mb: u64) -> usize {
    memory_share(memory_mb, OPEN_CALLS_MEMORY_DIVISOR)
}

/// Limit of the bytes of incomplete messages, for a process with `memory_mb`.
fn max_incomplete_bytes(memory_mb: u64) -> usize {
    memory_share(memory_mb, INCOMPLETE_MEMORY_DIVISOR)
}

fn memory_share(memory_mb: u64, divisor: usize) -> usize {
    usize::try_from(memory_mb).unwrap_or(usize::MAX).saturating_mul(BYTES_PER_MB) / divisor
}

fn new_change_log_client(
    config: &Config,
    file: &Path,
    clock: Clock,
) -> Result<(ChangeLogClient, EventBatch), PlatformError> {
    let at_unix_ms = Box::new(move |millis| clock.at_present_unix_ms(millis));
    ChangeLogClient::new(config.site.names.clone(), at_unix_ms, config.changelog, &config.known, config.seed)
        .map_err(|error| PlatformError::Known(file.into(), error))
}

fn engine_settings(balancer: Settings, seed: u64, max_open_bytes: usize) -> EngineSettings {
    EngineSettings {
        balancer,
        seed,
        classes: Vec::new(),
        key_spaces: Vec::new(),
        functions: HashMap::new(),
        other_functions: FunctionTraits::default(),
        duplicates: None,
        answer_margin: ANSWER_MARGIN,
        max_open_calls: usize::MAX,
        max_open_bytes,
        max_function_names: MAX_FUNCTIONS,
    }
}

fn front_settings(site: &SiteConfig, connections: usize, incomplete_bytes: usize) -> FrontSettings {
    let effects = site.settings.classes.iter().map(|class| class.effect);
    FrontSettings {
        classes: site.names.classes.iter().cloned().zip(effects).collect(),
        connections,
        incomplete_bytes,
    }
}

fn new_pool(site: &SiteConfig, connections: usize) -> Pool {
    let ConnectionSettings { connect_timeout, idle, max_streams } = site.connections;
    let settings = PoolSettings {
        connect_timeout,
        idle_timeout: Micros(idle.0 * IDLE_PERCENT / 100),
        max_connections_per_worker: usize::MAX,
        max_connections: connections,
        probe_timeout: connect_timeout,
    };
    let protocol = LineProtocol { max_streams, reports_queue_depth: site.names.queue_depth };
    Pool::new(settings, Box::new(protocol), site.settings.loading.load_timeout)
}
