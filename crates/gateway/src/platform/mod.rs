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
//! | `client_input` | turns of the clients, in which their input is read and handled |
//! | `outputs` | execution of the outputs of front end and engine |
//! | `change_log` | changes of the worker list |
//! | `reload`, `shutdown` | handling of SIGHUP, SIGTERM and SIGINT |
//! | `iteration_log`, `memory_log`, `rejection_log` | logs of slow iterations, of high memory use, of rejected input |

mod change_log;
mod client_input;
mod error;
mod events;
mod iteration_log;
mod memory_log;
mod outputs;
mod rejection_log;
mod reload;
mod shutdown;
mod startup;

pub use error::PlatformError;

use crate::clock::{elapsed, Clock};
use crate::event_loop::{self, ClientConnections, Listener, WorkerSide, LONGEST_WAIT};
use crate::loop_timer::{LoopIteration, LoopTimer};
use crate::server::pool::Pool;
use client_input::InputState;
use iteration_log::{IterationLog, IterationWork};
use memory_log::{MemoryLog, MemoryUse};
use rejection_log::RejectionLog;
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

/// Numbers of bytes received in one iteration.
#[derive(Clone, Copy, Debug, Default)]
struct ReceivedBytes {
    from_clients: usize,
    /// From workers and the change log.
    from_workers: usize,
}

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
    /// The input that is being handled, or was last.
    input: InputState,
    /// Bytes received in this iteration.
    received_bytes: ReceivedBytes,
    /// Members of the worker list applied in this iteration.
    list_members: usize,
    /// End of the lease on the worker list; workers are probed before use after it.
    list_expires_at: Micros,
    list_expiry_handled: bool,
    /// Number of change log outages so far.
    list_outages: u64,
    shutdown: Shutdown,
    reload_retry: Option<ReloadRetry>,
    /// Number of invalid messages from the change log.
    invalid_log_messages: u64,
    rejections: RejectionLog,
    memory_log: MemoryLog,
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
        table_sizes(&self.front, &self.pool)
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
        self.received_bytes = ReceivedBytes::default();
        let event_count = events.len();
        let has_client_input =
            self.clients.has_input() || events.iter().any(|event| self.is_client_input(event));
        let client_input = if has_client_input { ClientInput::Some } else { ClientInput::None };
        self.close_slow_clients(now);
        self.handle_events(now, events);
        self.serve_clients(now);
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
            client_bytes: self.received_bytes.from_clients,
            worker_bytes: self.received_bytes.from_workers,
            clients: self.front.sizes().0,
            list_members: self.list_members,
            open_calls: self.front.unanswered(),
        });
        self.log_load(now);
        Ok(is_complete)
    }

    /// Logs rejected input and high memory use, at intervals.
    fn log_load(&mut self, now: Micros) {
        self.rejections.log_if_due(now, self.front.sizes().0);
        let memory_use = || MemoryUse {
            sizes: table_sizes(&self.front, &self.pool),
            unwritten_bytes: self.reactor.unwritten_bytes(),
            incomplete_bytes: self.front.incomplete_bytes(),
        };
        self.memory_log.measure_if_due(now, memory_use);
    }

    /// Runs the expired timers of front end, pool and engine, and executes their outputs.
    fn advance_calls(&mut self, now: Micros) {
        self.expire_silent_clients(now);
        self.worker_side().advance(now);
        self.drain_outputs(now);
        self.engine.advance(now, &mut self.to_engine);
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

/// See [`Router::sizes`].
fn table_sizes(front: &Front, pool: &Pool) -> [usize; 7] {
    let (links, open, ids) = front.sizes();
    let [workers, connections, attempts, timers] = pool.sizes();
    [links, open, ids, workers, connections, attempts, timers]
}
