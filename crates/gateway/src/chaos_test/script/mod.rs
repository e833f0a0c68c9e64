//! Scripts of chaos tests: workers, load, faults and events, written as S-expressions. The forms are
//! documented in `docs/operators/chaos-test.md`.

mod parser;

use slatevalve_test_servers::{FaultKind, ServicePlan};

/// A parsed script of a chaos test.
#[derive(Clone, Debug)]
pub struct Script {
    /// Name in the report.
    pub name: String,
    /// Time during which calls are published, in seconds from 0.1 to 3,600.
    pub seconds: f64,
    /// Number of gateways, at least 1. They share no state.
    pub gateways: usize,
    /// Number of client connections, at least 1.
    pub clients: usize,
    /// Source text of the settings of all gateways, without workers, listener, routes and name.
    pub settings: String,
    /// The calls that clients publish.
    pub load: Load,
    /// The workers and their capacity.
    pub fleet: Fleet,
    /// Source text of further fields of the gateways' `plugins` form. If set, every function is a plug-in
    /// with versions 1 and 2, and the alias `current` refers to 1 until the event `move-aliases`.
    pub plugins: Option<String>,
    /// Period with separate statistics in the report.
    pub window: Option<Window>,
    /// Faults that the workers inject into themselves.
    pub faults: Vec<WorkerFault>,
    /// Events that the runner executes, ordered by time.
    pub events: Vec<TimedEvent>,
}

/// A period of the test.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// Start in seconds of the test, inclusive.
    pub from_s: f64,
    /// End in seconds of the test, exclusive.
    pub to_s: f64,
}

/// Rate, mix and repetition of the calls that clients publish.
#[derive(Clone, Debug)]
pub struct Load {
    /// Calls per second, outside bursts.
    pub per_second: f64,
    /// Number of functions of each class, at least 1.
    pub functions: usize,
    /// Mean work of a call at full capacity, in milliseconds.
    pub work_ms: f64,
    /// Shares of the classes; their sum is greater than 0.
    pub mix: Vec<ClassShare>,
    /// Periods with a different rate; the first one that covers a time applies.
    pub bursts: Vec<Burst>,
    /// Repeated publications by clients, if any.
    pub repeats: Option<Repeats>,
    /// Share of calls that each name a function of their own, from 0 to 1.
    pub scan_share: f64,
}

/// The share of a class in the calls.
#[derive(Clone, Debug)]
pub struct ClassShare {
    /// Name of the class, which the settings must define.
    pub class: String,
    /// Share relative to the sum of all shares.
    pub share: f64,
}

/// A period with a different rate of calls.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Start, in seconds of the test.
    pub at_s: f64,
    /// Duration, in seconds.
    pub duration_s: f64,
    /// Factor by which the rate is multiplied.
    pub times: f64,
    /// Whether all calls beyond the normal rate belong to the first tenant.
    pub one_tenant: bool,
}

/// Repeated publications of calls by their clients.
#[derive(Clone, Copy, Debug)]
pub struct Repeats {
    /// Share of calls that are repeated, from 0 to 1.
    pub share: f64,
    /// Number of repetitions of each repeated call.
    pub times: usize,
    /// Time between publications of a repeated call, in milliseconds.
    pub after_ms: f64,
}

/// Number, location and capacity of the workers.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Number of workers, at least 1.
    pub workers: usize,
    /// Number of cells, at least 1; each holds a contiguous range of workers.
    pub cells: usize,
    /// Number of zones, at least 1; workers and gateways are assigned to them in turn.
    pub zones: usize,
    /// Capacity of each worker.
    pub service: ServicePlan,
}

/// A fault that a worker injects into itself for a time.
#[derive(Clone, Debug)]
pub struct WorkerFault {
    /// Start, in seconds of the test.
    pub at_s: f64,
    /// Duration, in seconds.
    pub duration_s: f64,
    /// Number of the worker, from 0.
    pub worker: usize,
    /// What the worker does during the fault.
    pub kind: FaultKind,
}

/// An event of a script with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedEvent {
    /// When the runner executes the event, in seconds of the test.
    pub at_s: f64,
    /// What the runner does.
    pub event: ScriptedEvent,
}

/// An event that the runner executes. Workers and gateways are numbered from 0.
#[derive(Clone, Debug, PartialEq)]
pub enum ScriptedEvent {
    /// Publishes the state `draining` of a worker.
    Drain(usize),
    /// Publishes the state `gone` of a worker.
    Gone(usize),
    /// Publishes the state `ready` of a worker.
    Ready(usize),
    /// Kills and restarts a worker's process; the worker list is updated later.
    CrashWorker {
        /// Number of the worker.
        worker: usize,
        /// Seconds from the kill to the restart.
        down_s: f64,
        /// Seconds from the restart to the update of the worker list.
        notified_after_s: f64,
    },
    /// Replaces a share of the workers one by one: drains, stops and restarts each.
    Deploy {
        /// Share of the workers, from 0 to 1; those with the lowest numbers are replaced.
        share: f64,
        /// Seconds between the drains of one worker and the next.
        interval_s: f64,
        /// Seconds between the drain and the kill of a worker.
        drain_s: f64,
    },
    /// Kills and restarts a gateway.
    CrashGateway {
        /// Number of the gateway.
        gateway: usize,
        /// Seconds from the kill to the restart.
        down_s: f64,
    },
    /// Pauses a gateway's process with SIGSTOP.
    PauseGateway {
        /// Number of the gateway.
        gateway: usize,
        /// Duration of the pause, in seconds.
        duration_s: f64,
    },
    /// Closes the connection of every n-th client.
    DropConnections(usize),
    /// Moves the alias `current` of every plug-in to version 2.
    MoveAliases,
}
