//! Scripts of chaos tests, as S-expressions: the workers, the load, the faults and the events. The forms are listed in
//! `docs/operators/chaos-test.md`.

mod parser;

use slatevalve_test_servers::{FaultKind, ServicePlan};

/// A script.
#[derive(Clone, Debug)]
pub struct Script {
    /// Its name, for the report.
    pub name: String,
    /// The time during which calls are made, in seconds.
    pub seconds: f64,
    /// The number of gateways, which share nothing.
    pub gateways: usize,
    /// The number of client connections.
    pub clients: usize,
    /// Each gateway's settings without workers, listener, routes and name.
    pub settings: String,
    /// The calls.
    pub load: Load,
    /// The workers.
    pub fleet: Fleet,
    /// Fields of the gateways' `plugins` form. With it every function is a plug-in with versions 1 and 2, and `current`
    /// refers to 1 until the aliases move.
    pub plugins: Option<String>,
    /// A period that is reported by itself.
    pub window: Option<Window>,
    /// The faults of workers.
    pub faults: Vec<WorkerFault>,
    /// The events outside the workers, ordered by time.
    pub events: Vec<TimedEvent>,
}

/// A period of the test, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// Its start.
    pub from_s: f64,
    /// Its end, exclusive.
    pub to_s: f64,
}

/// The calls that the clients make.
#[derive(Clone, Debug)]
pub struct Load {
    /// Calls per second, outside bursts.
    pub per_second: f64,
    /// The number of functions of each class.
    pub functions: usize,
    /// The mean work of a call, in milliseconds at full capacity.
    pub work_ms: f64,
    /// The classes of the calls.
    pub mix: Vec<ClassShare>,
    /// Periods with more calls.
    pub bursts: Vec<Burst>,
    /// Repeated publications of calls by their clients.
    pub repeats: Option<Repeats>,
    /// The share of calls for functions that are called once.
    pub scan_share: f64,
}

/// A class and its share of the calls, relative to the sum of all shares.
#[derive(Clone, Debug)]
pub struct ClassShare {
    /// The class.
    pub class: String,
    /// The share.
    pub share: f64,
}

/// A period with more calls.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Its start, in seconds of the test.
    pub at_s: f64,
    /// Its duration, in seconds.
    pub duration_s: f64,
    /// The rate of calls, as a factor of the usual one.
    pub times: f64,
    /// Whether all additional calls belong to one tenant.
    pub one_tenant: bool,
}

/// Repeated publications of calls by their clients.
#[derive(Clone, Copy, Debug)]
pub struct Repeats {
    /// The share of calls that are repeated.
    pub share: f64,
    /// The number of repetitions of each.
    pub times: usize,
    /// The time between them, in milliseconds.
    pub after_ms: f64,
}

/// The workers.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Their number.
    pub workers: usize,
    /// The number of cells.
    pub cells: usize,
    /// The number of zones.
    pub zones: usize,
    /// The capacity of each.
    pub service: ServicePlan,
}

/// A fault of a worker.
#[derive(Clone, Debug)]
pub struct WorkerFault {
    /// Its start, in seconds of the test.
    pub at_s: f64,
    /// Its duration, in seconds.
    pub duration_s: f64,
    /// The worker's number, from 0.
    pub worker: usize,
    /// The fault.
    pub kind: FaultKind,
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedEvent {
    /// Its time, in seconds of the test.
    pub at_s: f64,
    /// The event.
    pub event: ScriptedEvent,
}

/// An event outside the workers. Workers and gateways are numbered from 0.
#[derive(Clone, Debug, PartialEq)]
pub enum ScriptedEvent {
    /// The worker list states that a worker drains.
    Drain(usize),
    /// The worker list states that a worker is gone.
    Gone(usize),
    /// The worker list states that a worker is ready.
    Ready(usize),
    /// A worker's process is killed and started again; the worker list is updated later.
    CrashWorker {
        /// The worker.
        worker: usize,
        /// Seconds until the process is started again.
        down_s: f64,
        /// Seconds from that start to the update of the worker list.
        notified_after_s: f64,
    },
    /// A share of the workers is replaced one by one: drained, stopped and started again.
    Deploy {
        /// The share of the workers.
        share: f64,
        /// Seconds between one worker and the next.
        interval_s: f64,
        /// Seconds between the drain and the stop of a worker.
        drain_s: f64,
    },
    /// A gateway is killed and started again.
    CrashGateway {
        /// The gateway.
        gateway: usize,
        /// Seconds until it is started again.
        down_s: f64,
    },
    /// A gateway's process is paused.
    PauseGateway {
        /// The gateway.
        gateway: usize,
        /// The duration of the pause, in seconds.
        duration_s: f64,
    },
    /// The connection of every n-th client is closed.
    DropConnections(usize),
    /// The alias `current` of every plug-in moves to version 2.
    MoveAliases,
}
