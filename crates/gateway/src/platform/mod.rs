//! The platform's router: one event loop around its clients, its workers, its change log and the request engine.
//!
//! It keeps the platform's terms for a process: it runs in the foreground, is ready only with a worker list, applies a new
//! configuration on SIGHUP without losing a call, and on SIGTERM serves until no client can come any more. The loop does I/O
//! and measures time; it decides nothing about a call. Called by the sub-command `platform`. What holds when events of one
//! iteration cross is in `docs/design-platform.md`.
//!
//! One concern a module: `startup` reads the configuration, `events` dispatches what the reactor reports, `outputs` executes
//! what the protocols ask for, `change_log` applies changes of the worker list, `reload` and `shutdown` handle the signals,
//! `iteration_log` logs slow iterations.

mod change_log;
mod error;
mod events;
mod iteration_log;
mod outputs;
mod reload;
mod shutdown;
mod startup;

pub use error::PlatformError;

use crate::clock::{elapsed, Clock};
use crate::event_loop::{self, ClientConnections, Listener, WorkerSide, LONGEST_WAIT};
use crate::loop_timer::{LoopIteration, LoopTimer};
use crate::server::pool::Pool;
use iteration_log::{IterationLog, IterationWork};
use reload::ReloadRetry;
use shutdown::{ClientInput, Shutdown};
use slatevalve::{Micros, WorkerId, WorkerState};
use slatevalve_engine::{Engine, Output};
use slatevalve_platform::changes::{ChangeLogClient, ChangeLogOutput};
use slatevalve_platform::front::{Front, FrontOutput, LinkId};
use slatevalve_reactor::{Id, Reactor};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Invalid messages that are logged one by one; the count of all is logged at the end.
const MAX_UNUSABLE_LOGGED: u64 = 20;

/// A running router.
pub struct Router {
    clock: Clock,
    /// The configuration, read again on SIGHUP.
    file: PathBuf,
    /// Names of the classes, in the order of their ids.
    classes: Vec<String>,
    reactor: Reactor,
    engine: Engine,
    front: Front,
    pool: Pool,
    watch_state: ChangeLogClient,
    log_connection: Option<Id>,
    listener: Listener,
    clients: ClientConnections<LinkId>,
    /// Workers of the change log, without those that are gone.
    workers: HashMap<WorkerId, WorkerState>,
    /// Longest time that bytes read in this iteration may have waited to be read.
    read_delay: Micros,
    loop_timer: LoopTimer,
    iteration_log: IterationLog,
    /// Members of the worker list applied in this iteration.
    list_members: usize,
    /// Until when the worker list may be acted on.
    list_expires_at: Micros,
    list_expiry_logged: bool,
    /// Outages of the change log so far.
    list_outages: u64,
    shutdown: Shutdown,
    reload_retry: Option<ReloadRetry>,
    /// Invalid messages of clients and of the change log.
    unusable: u64,
    to_engine: Vec<Output>,
    to_front: Vec<FrontOutput>,
    log_outputs: Vec<ChangeLogOutput>,
}

impl Router {
    /// Where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Sizes of all tables that grow with traffic: the front's connections, open requests and ids; the pool's workers,
    /// connections, attempts and timers. For tests of bounds and the log.
    pub fn sizes(&self) -> [usize; 7] {
        let (links, open, ids) = self.front.sizes();
        let [workers, connections, attempts, timers] = self.pool.sizes();
        [links, open, ids, workers, connections, attempts, timers]
    }

    /// Runs until an orderly shutdown is complete.
    ///
    /// # Errors
    /// When the poller fails.
    pub fn run(&mut self) -> Result<(), PlatformError> {
        while !self.poll(LONGEST_WAIT)? {}
        Ok(())
    }

    /// One iteration of the loop, which waits for `max_wait` at most; `true` once an orderly shutdown is complete. What it
    /// decides to write is sent when the next iteration begins.
    ///
    /// # Errors
    /// When the poller fails.
    pub fn poll(&mut self, max_wait: Duration) -> Result<bool, PlatformError> {
        let timeout = self.poll_timeout(self.clock.now()).min(max_wait);
        let LoopIteration { now, read_delay, events } = self
            .loop_timer
            .wait(&self.clock, &mut self.reactor, timeout, None)
            .map_err(PlatformError::Loop)?;
        self.read_delay = read_delay;
        self.list_members = 0;
        let event_count = events.len();
        let client_input = match events.iter().any(|event| self.is_client_input(event)) {
            true => ClientInput::Some,
            false => ClientInput::None,
        };
        self.handle_events(now, events);
        self.advance_log(now);
        self.log_list_expiry(now);
        self.advance_calls(now);
        self.listener.resume_if_due(now, &mut self.reactor);
        self.retry_reload_if_due(now);
        let is_complete = self.advance_shutdown(now, client_input);
        self.iteration_log.record(IterationWork {
            began_at: now,
            duration: elapsed(now, self.clock.now()),
            events: event_count,
            list_members: self.list_members,
            open_calls: self.front.unanswered(),
        });
        Ok(is_complete)
    }

    /// Fires the timers of front end, pool and engine, and executes what follows.
    fn advance_calls(&mut self, now: Micros) {
        self.front.advance(now, &mut self.to_front);
        self.worker_side().advance(now);
        self.drain_outputs(now);
        self.engine.advance(now, &mut self.to_engine);
        self.drain_outputs(now);
    }

    fn poll_timeout(&self, now: Micros) -> Duration {
        let timers = [
            self.engine.next_wake(),
            self.front.next_wake(),
            self.pool.next_wake(),
            self.listener.resume_at(),
            self.reload_retry.map(|retry| retry.at),
            Some(self.watch_state.next_wake()),
        ];
        event_loop::poll_timeout(now, timers)
    }

    fn worker_side(&mut self) -> WorkerSide<'_> {
        WorkerSide {
            pool: &mut self.pool,
            reactor: &mut self.reactor,
            engine: &mut self.engine,
            classes: &self.classes,
            outputs: &mut self.to_engine,
        }
    }
}
