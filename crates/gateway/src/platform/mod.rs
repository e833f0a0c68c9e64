//! The platform's router: one event loop that connects clients, workers, the change log and the request
//! engine.
//!
//! It meets the platform's requirements on a process: it runs in the foreground, reports ready only while
//! some worker is ready, applies a new configuration on SIGHUP without losing a call, and after SIGTERM
//! serves until clients have stopped connecting. The loop does I/O and measures time; all decisions about
//! calls are the engine's. The sub-command `platform` runs it. `docs/design-platform.md` describes the
//! guarantees for events that arrive in the same iteration.
//!
//! | module | concern |
//! | --- | --- |
//! | `startup` | reading the configuration, creating the router |
//! | `events` | dispatch of reactor events |
//! | `outputs` | execution of the outputs of front end and engine |
//! | `change_log` | changes of the worker list |
//! | `reload`, `shutdown` | handling of SIGHUP, SIGTERM and SIGINT |
//! | `iteration_log` | log of slow iterations |

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

/// Limit of invalid messages that are logged individually; their total number is logged at shutdown.
const MAX_INVALID_MESSAGES_LOGGED: u64 = 20;

/// A running router.
pub struct Router {
    clock: Clock,
    /// Path of the configuration, which is read again on SIGHUP.
    file: PathBuf,
    /// Names of the classes, in the order of their ids.
    classes: Vec<String>,
    reactor: Reactor,
    engine: Engine,
    front: Front,
    pool: Pool,
    change_log: ChangeLogClient,
    log_connection: Option<Id>,
    listener: Listener,
    clients: ClientConnections<LinkId>,
    /// State of each worker in the list, except those that are gone.
    workers: HashMap<WorkerId, WorkerState>,
    /// Upper bound of the time for which bytes read in this iteration may have been in socket buffers.
    read_delay: Micros,
    loop_timer: LoopTimer,
    iteration_log: IterationLog,
    /// Members of the worker list applied in this iteration.
    list_members: usize,
    /// End of the lease on the worker list; workers are probed before use after it.
    list_expires_at: Micros,
    list_expiry_handled: bool,
    /// Number of change log outages so far.
    list_outages: u64,
    shutdown: Shutdown,
    reload_retry: Option<ReloadRetry>,
    /// Number of invalid messages from clients and from the change log.
    invalid_messages: u64,
    to_engine: Vec<Output>,
    to_front: Vec<FrontOutput>,
    log_outputs: Vec<ChangeLogOutput>,
}

impl Router {
    /// The address on which clients are accepted.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Sizes of all tables that grow with traffic: connections, open requests and ids of the front end;
    /// workers, connections, attempts and timers of the pool. For the log and for tests of the bounds.
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

    /// Runs one iteration of the loop, which waits for at most `max_wait`. Returns `true` once an orderly
    /// shutdown is complete. Output is written at the beginning of the next iteration.
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
        self.handle_list_expiry(now);
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

    /// Runs the expired timers of front end, pool and engine, and executes their outputs.
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
            Some(self.change_log.next_wake()),
            self.next_list_expiry(),
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
