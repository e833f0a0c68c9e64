//! Events: the inputs of the balancer.

use super::ids::{CellId, FunctionId, KindId, Micros, RequestId, WorkerId, ZoneId};
use super::request::Request;

/// Result of an attempt, a probe or a load request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Success; for a load request, the copies are loaded.
    Ok,
    /// The worker answered with an error.
    Error,
    /// Rejected by the worker before execution.
    Full,
    /// No response before the timeout.
    TimedOut,
    /// No connection could be made.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Cancelled by the router.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Cache miss: the function is not loaded at the worker, or its load failed.
    Miss,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Miss)
    }
}

/// What the connections to a worker's address show of the process there, which may have replaced another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessInfo {
    /// Since when the process is known to run without interruption.
    pub since: Micros,
    /// Whether connections to the address ended before that without this router closing them, as they do when
    /// a process ends.
    pub may_be_new: bool,
}

/// State of a worker in the worker list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerState {
    /// Accepts new work.
    #[default]
    Ready,
    /// Finishes its current work and accepts no new work.
    Draining,
    /// Removed from the fleet; copies loaded there are lost.
    Gone,
}

/// An entry of the worker list.
#[derive(Clone, Debug)]
pub struct WorkerEntry {
    /// Stays the same when the worker's process restarts.
    pub id: WorkerId,
    /// Requests prefer workers of the router's own zone.
    pub zone: ZoneId,
    /// Kind of machine, which determines its memory.
    pub kind: KindId,
    /// Group of workers that share a table of idempotency keys.
    pub cell: CellId,
    /// Whether the worker accepts new work.
    pub state: WorkerState,
    /// Capacity relative to other workers, interpreted according to
    /// [`Settings::weights`](super::Settings::weights).
    pub weight: f64,
    /// When the process last started; `None` if that is long ago and the worker counts as warm.
    pub up_since: Option<Micros>,
}

impl Default for WorkerEntry {
    fn default() -> Self {
        WorkerEntry {
            id: WorkerId(0),
            zone: ZoneId(0),
            kind: KindId(0),
            cell: CellId(0),
            state: WorkerState::Ready,
            weight: 1.0,
            up_since: None,
        }
    }
}

/// Which part of the worker list an event covers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scope {
    /// The changed entries.
    #[default]
    Changes,
    /// The complete list.
    Full,
    /// The complete list as stored before a restart; possibly stale.
    Remembered,
    /// The request for the list failed; the current list is kept.
    Refused,
}

/// An update of the worker list.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Whether `entries` are the changes, the complete list or nothing.
    pub scope: Scope,
    /// The changed or all entries; empty if the scope is [`Scope::Refused`].
    pub entries: Vec<WorkerEntry>,
}

/// A worker's load report. Values are delayed and noisy; those that the site does not provide are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests waiting.
    pub queue: Option<f64>,
    /// Requests being processed.
    pub inflight: Option<f64>,
    /// CPU utilization, 0 to 1.
    pub util: Option<f64>,
}

/// How one attempt ended.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The request that the attempt belongs to.
    pub id: RequestId,
    /// Index of the attempt in the order of the request's sends, from 0.
    pub attempt: usize,
    /// The worker that the attempt was sent to.
    pub worker: WorkerId,
    /// Result of the attempt.
    pub outcome: Outcome,
    /// Whether the client has received its final response, so that no further attempt is needed.
    pub closed: bool,
    /// Time from the send to the end of the attempt.
    pub latency: Micros,
    /// Calls of the same function in flight at the worker when this one arrived; `None` if not reported.
    pub queue_depth: Option<u64>,
    /// Whether the attempt failed because loading the function failed.
    pub load_failed: bool,
    /// Load report that the response carried.
    pub report: Option<Report>,
    /// The process that the attempt was sent to; `None` if nothing is known of it.
    pub process: Option<ProcessInfo>,
}

/// Input of the balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived.
    Request(Request),
    /// An attempt completed.
    Answer(Answer),
    /// A streamed response began; the request is not sent again.
    Streaming {
        /// The request whose response is streamed.
        id: RequestId,
        /// Index of the attempt in the order of the request's sends, from 0.
        attempt: usize,
    },
    /// The client disconnected; no response is due.
    ClientDisconnected {
        /// The request that the client waited for.
        id: RequestId,
    },
    /// The worker list was updated.
    WorkersListed(Listing),
    /// The worker list was confirmed to be complete. As long as no such event has arrived, the list never
    /// expires, and each worker counts as the process that the list names.
    WorkerListConfirmed {
        /// Time as of which the list is complete.
        as_of: Micros,
        /// How long from now the list may be relied on without another confirmation.
        lease: Micros,
    },
    /// The worker list comes from a source of unknown age, such as the configuration at the start. It may be
    /// relied on for a short time, but not for which process is at a worker's address.
    WorkerListAssumed {
        /// How long from now the list may be relied on.
        lease: Micros,
    },
    /// The worker list may be out of date from now on, until it is confirmed again.
    WorkerListExpired,
    /// A probe completed.
    ProbeCompleted {
        /// The worker probed.
        worker: WorkerId,
        /// [`Outcome::Ok`] and [`Outcome::Full`] count as healthy.
        outcome: Outcome,
        /// Time from the probe to its response.
        latency: Micros,
        /// Load report that the response carried.
        report: Option<Report>,
        /// The process that responded; `None` if nothing is known of it.
        process: Option<ProcessInfo>,
    },
    /// A load request completed.
    LoadCompleted {
        /// The worker of the load request.
        worker: WorkerId,
        /// The function of the load request.
        function: FunctionId,
        /// [`Outcome::Full`] means that the worker has no room for the copies.
        outcome: Outcome,
        /// Copies loaded at the worker after the request, earlier ones included.
        copies: u32,
        /// Time from the load request to its completion.
        latency: Micros,
    },
    /// The number of routers of this tier changed; the value includes this router.
    RouterCountChanged(usize),
    /// A function is about to replace another, as after an alias change.
    LoadExpected {
        /// The function about to be called.
        function: FunctionId,
        /// The function it replaces, whose placement is copied.
        replaced: FunctionId,
        /// Maximum number of load requests to issue now.
        max_loads: usize,
    },
    /// A timer requested by [`Action::Wake`](super::Action::Wake) expired.
    Wake {
        /// The token of the action that requested the timer.
        token: u64,
    },
}
