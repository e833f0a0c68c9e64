//! Configuration of the balancer: request classes, tenants, loading, limits and the rules' parameters.

use super::ids::{Micros, ZoneId};

/// The workers that share duplicate detection for an idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Group {
    /// Every worker.
    #[default]
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// Whether a request is idempotent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent: may be repeated without limit.
    #[default]
    Idempotent,
    /// Idempotent with a key: a group of workers drops repeats for a limited time.
    IdempotentWithKey {
        /// The workers that drop repeats.
        group: Group,
        /// How long repeats are dropped, counted from the first send.
        memory: Micros,
    },
    /// Non-idempotent: must not run more than once.
    NonIdempotent,
}

/// A request class: what its requests are worth and whether they may be repeated.
#[derive(Clone, Debug)]
pub struct Class {
    /// Latency objective: a response within this time has the full value.
    pub latency_objective: Micros,
    /// The objective is extended by this factor times the request's own work.
    pub objective_stretch: f64,
    /// How long a client waits for a response, over all attempts.
    pub deadline: Micros,
    /// Value of a response within the objective; only the ratio to other classes matters.
    pub priority_weight: f64,
    /// Fraction of the value that a response after the objective keeps.
    pub late_value: f64,
    /// Whether its requests may be sent again after an attempt that could have run.
    pub effect: Effect,
    /// Whether responses are streamed.
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
            effect: Effect::NonIdempotent,
            stream: false,
        }
    }
}

/// A tenant and its quota.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Quota in requests per second over all routers; 0 means no quota.
    pub quota_per_s: f64,
}

/// How functions are loaded at this site.
#[derive(Clone, Debug, Default)]
pub struct Loading {
    /// Whether a worker without the function loads it on a call, which waits there; otherwise it answers with
    /// a miss.
    pub on_request: bool,
    /// Whether the router may request loads and unloads.
    pub load_requests: bool,
    /// Minimum time an idle copy stays loaded.
    pub idle_retention: Micros,
    /// Timeout of a load request.
    pub load_timeout: Micros,
    /// Window of the load request quota; 0 disables the quota.
    pub load_quota_window: Micros,
    /// Load requests allowed per window regardless of traffic.
    pub load_quota_free: f64,
    /// Additional load requests per request accepted in the window.
    pub load_quota_share: f64,
    /// Memory of each kind of worker, in MB.
    pub kind_memory_mb: Vec<f64>,
    /// Cost of holding all memory idle for a day, in the operators' score.
    pub memory_price: f64,
}

/// What the site allows a router to do.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether workers may be probed.
    pub probes: bool,
    /// Hedged requests: whether two attempts of one request may be in flight together.
    pub hedged_requests: bool,
    /// Whether refusals may carry a retry-after time.
    pub retry_after: bool,
    /// Upper limit of the retry-after time.
    pub max_retry_after: Micros,
    /// Maximum number of attempts for one request, hedged ones included.
    pub max_attempts: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            cancel: true,
            probes: true,
            hedged_requests: false,
            retry_after: false,
            max_retry_after: Micros(0),
            max_attempts: 3,
        }
    }
}

/// Parameters of the site's rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// How long after the client's deadline a final response still counts.
    pub answer_slack: Micros,
    /// How long work may still be sent to a worker after the notification that it drains.
    pub drain_grace: Micros,
    /// Maximum interval between list requests where the list has to be requested.
    pub subscription_interval: Micros,
    /// Fraction of its capacity that a worker has right after its start, 0 to 1.
    pub start_capacity: f64,
    /// Time after which a started worker has its full capacity, which grows linearly until then.
    pub warm_up_time: Micros,
    /// A worker fails if the work sent to it within `overload_window` exceeds its present capacity by this
    /// factor.
    pub overload_multiple: f64,
    /// Window in which the work sent to a worker is compared with its capacity.
    pub overload_window: Micros,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            answer_slack: Micros(5_000),
            drain_grace: Micros(0),
            subscription_interval: Micros(10_000_000),
            start_capacity: 0.1,
            warm_up_time: Micros(20_000_000),
            overload_multiple: 1.0,
            overload_window: Micros(1_000_000),
        }
    }
}

/// How the weights in the worker list are interpreted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weights {
    /// Weights carry no meaning; all workers are equal.
    #[default]
    None,
    /// The registered size, exactly or roughly.
    Size,
    /// The size divided by a recent load.
    Live,
}

/// Source of the workers' load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReportSource {
    /// No reports.
    #[default]
    None,
    /// Responses and probes carry reports.
    Answers,
    /// Only probe responses carry reports.
    Probes,
}

/// Configuration of one router.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of routers of this tier, this one included.
    pub routers: usize,
    /// This router's zone, whose workers are preferred.
    pub zone: ZoneId,
    /// Timer resolution of the router.
    pub timer_resolution: Micros,
    /// The request classes, by [`ClassId`](super::ClassId).
    pub classes: Vec<Class>,
    /// The tenants, by [`TenantId`](super::TenantId); empty if there are no quotas.
    pub tenants: Vec<Tenant>,
    /// Value of a request over its tenant's quota, as a fraction of its usual value.
    pub over_quota_weight: f64,
    /// Whether priority weights are per unit of work rather than per request.
    pub priority_per_work: bool,
    /// Whether updates of the worker list arrive only after [`Action::Subscribe`](super::Action::Subscribe).
    pub requires_subscription: bool,
    /// How the workers' weights are interpreted.
    pub weights: Weights,
    /// Which responses carry load reports.
    pub reports: LoadReportSource,
    /// How functions are loaded and how long they are kept.
    pub loading: Loading,
    /// Which actions the site allows.
    pub limits: Limits,
    /// Parameters of the site's rules.
    pub rules: Rules,
    /// Cost of one probe or load request in the operators' score, as a fraction of a request's value. Probes
    /// are reduced while their observed gain is below it.
    pub probe_price: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            routers: 1,
            zone: ZoneId(0),
            timer_resolution: Micros(1_000),
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            priority_per_work: false,
            requires_subscription: false,
            weights: Weights::None,
            reports: LoadReportSource::None,
            loading: Loading { load_requests: true, idle_retention: Micros(8_000_000), ..Loading::default() },
            limits: Limits::default(),
            rules: Rules::default(),
            probe_price: 0.0,
        }
    }
}
