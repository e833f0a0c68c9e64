//! What goes into the decision module and what comes out: ids, settings, events and actions.

/// A point in time or a length of time, in whole microseconds of the router's own clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub i64);

/// A request, as the router numbers it. Never used twice while it is open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);
/// A worker, the same at every router and kept over a restart of its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u64);
/// A function (program, model, rule set) that must be loaded where it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FunctionId(pub u64);
/// A request class: its place in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);
/// A tenant: its place in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);
/// A zone: its place in the operators' list of zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);
/// A cell: workers that know of each other's keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u64);
/// A kind of machine: its place in [`Loading::kind_memory_mb`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub usize);

/// The workers that drop a repeated key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Group {
    /// Every worker.
    #[default]
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// What repeating a request would do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: it may be repeated freely.
    #[default]
    Safe,
    /// It carries a key, and a group of workers drops repeats for a time.
    Keyed {
        /// Who drops the repeats.
        group: Group,
        /// For how long after the first sending.
        memory: Micros,
    },
    /// It must never run twice.
    Unsafe,
}

/// How an attempt, a probe or an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served; for an order, the copies stand.
    Ok,
    /// The worker answered with an error.
    Error,
    /// Turned away unseen.
    Full,
    /// Nothing heard in time.
    TimedOut,
    /// No connection could be made.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Called off by the router.
    Cancelled,
    /// Never sent.
    NotSent,
    /// The function is not loaded there, or the load waited for failed.
    Miss,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn proves_never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Miss)
    }
}

/// A request class.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub latency_objective: Micros,
    /// The aim grows by this many times the request's own work.
    pub objective_stretch: f64,
    /// How long a client waits, all its tries together.
    pub deadline: Micros,
    /// What an answer is worth.
    pub priority_weight: f64,
    /// The part of the worth that a late answer still earns.
    pub late_value: f64,
    /// What a repeat would do.
    pub effect: Effect,
    /// Whether the answer is a stream.
    pub stream: bool,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            latency_objective: Micros(1_000_000),
            objective_stretch: 0.0,
            deadline: Micros(3_000_000),
            priority_weight: 1.0,
            late_value: 0.0,
            effect: Effect::Unsafe,
            stream: false,
        }
    }
}

/// A tenant and what it may ask of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Requests a second within its share, over all routers; 0 where none is stated.
    pub quota_per_s: f64,
}

/// How functions are loaded at this site.
#[derive(Clone, Debug, Default)]
pub struct Loading {
    /// A worker that lacks the function loads it while the request waits there.
    pub on_request: bool,
    /// The router may order copies held and dropped.
    pub orders: bool,
    /// An idle copy stands at least this long.
    pub keep: Micros,
    /// An unanswered order ends after this.
    pub order_timeout: Micros,
    /// The window of the ration of orders; 0 where there is none.
    pub ration_window: Micros,
    /// Orders free in each window.
    pub ration_free: f64,
    /// Further orders for each request taken in the window.
    pub ration_share: f64,
    /// Memory of each kind of worker, in MB.
    pub kind_memory_mb: Vec<f64>,
    /// Points for all memory held idle all day.
    pub memory_price: f64,
}

/// What the site lets a router do.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Workers may be probed.
    pub probes: bool,
    /// Two attempts of one request may be out together.
    pub second_copies: bool,
    /// Clients are told when to come back.
    pub retry_after: bool,
    /// The longest such wait.
    pub max_retry_after: Micros,
    /// Attempts for one request.
    pub max_attempts: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            cancel: true,
            probes: true,
            second_copies: false,
            retry_after: false,
            max_retry_after: Micros(0),
            max_attempts: 3,
        }
    }
}

/// The figures of the rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// How long after the client's deadline a final answer still counts.
    pub answer_slack: Micros,
    /// How long after being told of a drain work may still be sent.
    pub drain_grace: Micros,
    /// Where the list must be asked for: how often at least.
    pub ask_within: Micros,
    /// A started worker has at least this share of its capacity.
    pub start_capacity: f64,
    /// It is warm after this time at most.
    pub warm_within: Micros,
    /// Sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long, it falls over.
    pub fall_window: Micros,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            answer_slack: Micros(5_000),
            drain_grace: Micros(0),
            ask_within: Micros(10_000_000),
            start_capacity: 0.1,
            warm_within: Micros(20_000_000),
            fall_multiple: 1.0,
            fall_window: Micros(1_000_000),
        }
    }
}

/// What the weights of the worker list mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weights {
    /// Nothing: all alike.
    #[default]
    None,
    /// The registered size, exactly or roughly.
    Size,
    /// The size over the load of a while ago.
    Live,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReportSource {
    /// Nowhere.
    #[default]
    None,
    /// With answers and probes.
    Answers,
    /// With probes only.
    Probes,
}

/// All that a router is told when it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Routers of this tier, this one included.
    pub routers: usize,
    /// This router's zone.
    pub zone: ZoneId,
    /// The shortest gap between two moments at which the router can act.
    pub step: Micros,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants, if any.
    pub tenants: Vec<Tenant>,
    /// What a request beyond its tenant's share is worth, as a part of the usual.
    pub over_quota_weight: f64,
    /// Worth is counted for each unit of work, not for each request.
    pub worth_by_work: bool,
    /// The list of workers comes only when asked for.
    pub must_ask: bool,
    /// What weights mean.
    pub weights: Weights,
    /// Where reports come from.
    pub reports: LoadReportSource,
    /// How functions are loaded.
    pub loading: Loading,
    /// What is allowed.
    pub limits: Limits,
    /// The rules' figures.
    pub rules: Rules,
    /// Points for one probe or order a request.
    pub probe_price: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            routers: 1,
            zone: ZoneId(0),
            step: Micros(1_000),
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            worth_by_work: false,
            must_ask: false,
            weights: Weights::None,
            reports: LoadReportSource::None,
            loading: Loading { orders: true, keep: Micros(8_000_000), ..Loading::default() },
            limits: Limits::default(),
            rules: Rules::default(),
            probe_price: 0.0,
        }
    }
}

/// A request that a client brought.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// The client gives up after this.
    pub budget: Micros,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are any.
    pub tenant: Option<TenantId>,
    /// The function it calls.
    pub function: FunctionId,
    /// Calls that one loaded copy runs at a time.
    pub concurrency: usize,
    /// Expected work on a standard core, where a hint comes along.
    pub work: Option<Micros>,
    /// The usual time of a load, where it is told.
    pub load_time: Option<Micros>,
    /// Memory of a loaded copy, in MB.
    pub memory_mb: f64,
    /// A client's repeat, where clients mark them.
    pub retry: bool,
}

impl Default for Request {
    fn default() -> Self {
        Request {
            id: RequestId(0),
            budget: Micros(1_000_000),
            class: ClassId(0),
            tenant: None,
            function: FunctionId(0),
            concurrency: 1,
            work: None,
            load_time: None,
            memory_mb: 0.0,
            retry: false,
        }
    }
}

/// Whether a worker takes new work, as the list says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerState {
    /// It takes work.
    #[default]
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Gone,
}

/// One line of the worker list.
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

/// How much of the worker list an event tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scope {
    /// The lines that changed.
    #[default]
    Changes,
    /// The whole list.
    Full,
    /// The whole list as last seen before a restart; it may be stale.
    Remembered,
    /// Asking failed; what was known still holds.
    Refused,
}

/// News of the worker list.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// How much it tells.
    pub scope: Scope,
    /// The lines.
    pub entries: Vec<WorkerEntry>,
}

/// A worker's own report of its load; late and noisy, each value only where the site has it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests waiting.
    pub queue: Option<f64>,
    /// Requests in hand.
    pub inflight: Option<f64>,
    /// Share of the cores that is busy.
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
    /// The request has its final answer.
    pub closed: bool,
    /// Time since it was sent.
    pub latency: Micros,
    /// Calls of the same function that the worker held on arrival, where told.
    pub queue_depth: Option<u64>,
    /// The load behind it failed.
    pub load_failed: bool,
    /// The worker's report, if one came along.
    pub report: Option<Report>,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client brought a request.
    Request(Request),
    /// An attempt ended.
    Answer(Answer),
    /// A streamed answer began.
    Streaming {
        /// Which request.
        id: RequestId,
        /// Which attempt.
        attempt: usize,
    },
    /// The client left; nothing is owed.
    ClientDisconnected {
        /// Which request.
        id: RequestId,
    },
    /// The worker list said something.
    WorkersListed(Listing),
    /// A probe ended.
    ProbeCompleted {
        /// Which worker.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: Micros,
        /// The worker's report, if one came along.
        report: Option<Report>,
    },
    /// An order to load ended.
    LoadCompleted {
        /// Which worker.
        worker: WorkerId,
        /// Which function.
        function: FunctionId,
        /// How it ended.
        outcome: Outcome,
        /// Copies that stand.
        copies: u32,
        /// Time since the order.
        latency: Micros,
    },
    /// The number of routers of this tier is another one now, this one included.
    RouterCountChanged(usize),
    /// Calls of one function are about to take over from those of another.
    LoadExpected {
        /// The function that calls will ask for.
        function: FunctionId,
        /// The one that they ask for now.
        like: FunctionId,
        /// Copies that may be ordered ahead now.
        most: usize,
    },
    /// A time asked for by [`Action::Wake`] has come.
    Wake {
        /// The token given with it.
        token: u64,
    },
}

/// What the router is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a worker: the next attempt.
    Send {
        /// Which request.
        id: RequestId,
        /// Which worker.
        worker: WorkerId,
        /// The attempt's time-out; `None` until the client gives up.
        timeout: Option<Micros>,
    },
    /// Turn a request away; trying again does no harm.
    Refuse {
        /// Which request.
        id: RequestId,
        /// Advice on when to come back.
        retry_after: Option<Micros>,
    },
    /// End a request as failed; that promises nothing.
    Fail {
        /// Which request.
        id: RequestId,
    },
    /// Call an attempt off.
    Cancel {
        /// Which request.
        id: RequestId,
        /// Which attempt.
        attempt: usize,
    },
    /// Order copies of a function held.
    Load {
        /// Which worker.
        worker: WorkerId,
        /// Which function.
        function: FunctionId,
        /// How many.
        copies: u32,
    },
    /// Have the idle copies of a function unloaded.
    Drop {
        /// Which worker.
        worker: WorkerId,
        /// Which function.
        function: FunctionId,
    },
    /// Ask a worker how it is.
    Probe {
        /// Which worker.
        worker: WorkerId,
    },
    /// Ask for changes of the worker list from now on.
    Subscribe,
    /// Ask for a [`Event::Wake`].
    Wake {
        /// When.
        at: Micros,
        /// A token that comes back.
        token: u64,
    },
}
