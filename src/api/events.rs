//! Events: the inputs of the balancer.

use super::ids::{CellId, FunctionId, KindId, Micros, RequestId, WorkerId, ZoneId};
use super::request::Request;

/// Result of an attempt, a probe or a load request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served; for a load request, the copies are loaded.
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
    /// Cache miss: the function is not loaded there, or its load failed.
    Miss,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Miss)
    }
}

/// State of a worker in the worker list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerState {
    /// Accepts new work.
    #[default]
    Ready,
    /// Finishes its current work and accepts no new work.
    Draining,
    /// Removed.
    Gone,
}

/// An entry of the worker list.
#[derive(Clone, Debug)]
pub struct WorkerEntry {
    /// Which worker.
    pub id: WorkerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub state: WorkerState,
    /// Its weight beside others.
    pub weight: f64,
    /// When it last started; `None` where that is long ago.
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
    /// What it covers.
    pub scope: Scope,
    /// The entries.
    pub entries: Vec<WorkerEntry>,
}

/// A worker's load report; delayed and noisy, with the values that the site provides.
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
    /// Which request.
    pub id: RequestId,
    /// Which attempt, counted from 0.
    pub attempt: usize,
    /// Which worker.
    pub worker: WorkerId,
    /// How it ended.
    pub outcome: Outcome,
    /// The client has its final response.
    pub closed: bool,
    /// Time since the send.
    pub latency: Micros,
    /// Calls of the same function in flight at the worker on arrival, if reported.
    pub queue_depth: Option<u64>,
    /// The load behind it failed.
    pub load_failed: bool,
    /// The worker's load report, if present.
    pub report: Option<Report>,
}

/// Input of the balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived.
    Request(Request),
    /// An attempt completed.
    Answer(Answer),
    /// A streamed response began.
    Streaming {
        /// Which request.
        id: RequestId,
        /// Which attempt.
        attempt: usize,
    },
    /// The client disconnected; no response is due.
    ClientDisconnected {
        /// Which request.
        id: RequestId,
    },
    /// The worker list was updated.
    WorkersListed(Listing),
    /// The worker list is complete as of now. Without such an event it counts as current for ever.
    WorkerListConfirmed {
        /// How long it may be acted on.
        lease: Micros,
    },
    /// A probe completed.
    ProbeCompleted {
        /// Which worker.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the send.
        latency: Micros,
        /// The worker's load report, if present.
        report: Option<Report>,
    },
    /// A load request completed.
    LoadCompleted {
        /// Which worker.
        worker: WorkerId,
        /// Which function.
        function: FunctionId,
        /// How it ended.
        outcome: Outcome,
        /// Loaded copies.
        copies: u32,
        /// Time since the load request.
        latency: Micros,
    },
    /// The number of routers of this tier changed; this router is included.
    RouterCountChanged(usize),
    /// A function is about to replace another, as after an alias change.
    LoadExpected {
        /// The function about to be called.
        function: FunctionId,
        /// The function it replaces, whose placement is copied.
        replaced: FunctionId,
        /// Maximum load requests to issue now.
        max_loads: usize,
    },
    /// A timer requested by [`Action::Wake`](super::Action::Wake) expired.
    Wake {
        /// The timer's token.
        token: u64,
    },
}
