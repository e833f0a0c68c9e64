//! Placement: which functions are loaded at which workers, and how many workers serve each function.

use super::dispatch::{Attempt, OpenRequest};
use super::outlier::OVERLOAD_EJECTION_BASE;
use super::statistics::*;
use super::Balancer;
use crate::api::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Load of a function, in units of a mean worker's load, per worker that serves it.
const LOAD_PER_REPLICA: f64 = 0.25;
/// Calls that a copy should receive from all routers within the time it stays loaded, so that it is not
/// unloaded.
const CALLS_PER_RETENTION: f64 = 3.0;
/// Number of calls assumed before the first one, so that the first function seen does not count as the whole
/// load.
const SHARE_PRIOR_CALLS: f64 = 30.0;
/// Number of functions tracked above which the least recently used ones are removed.
pub(super) const FUNCTIONS_MAX: usize = 4096;
/// Number of functions removed at once, so that the cost of the search is spread over many new functions.
const FUNCTIONS_REMOVED: usize = FUNCTIONS_MAX / 8;
/// Load time of a function until it is known, in seconds.
pub(super) const LOAD_TIME_DEFAULT_SECS: f64 = 0.7;
/// Service time of a function until it is known, in seconds.
pub(super) const SERVICE_TIME_DEFAULT_SECS: f64 = 0.15;
/// Shortest and longest load time accepted from a request, in seconds.
const LOAD_TIME_HINT_MIN_SECS: f64 = 0.01;
const LOAD_TIME_HINT_MAX_SECS: f64 = 10.0;
/// Shortest and longest load time learned, in seconds.
pub(super) const LOAD_TIME_MIN_SECS: f64 = 0.05;
pub(super) const LOAD_TIME_MAX_SECS: f64 = 5.0;
/// Weight of one call that waited for a load in the mean load time.
const LOAD_TIME_CALL_RATE: f64 = 0.1;
/// Weight of a call in the mean service time: more where it was shorter, as such calls met no queue.
const SERVICE_TIME_DECREASE_RATE: f64 = 0.2;
const SERVICE_TIME_INCREASE_RATE: f64 = 0.02;
/// Shortest service time that latencies are compared with, in seconds.
const SERVICE_TIME_MIN_SECS: f64 = 1e-3;
/// Weight of a call in a worker's mean latency ratio, and the limits of one call's ratio.
const LATENCY_RATIO_RATE: f64 = 0.1;
const LATENCY_RATIO_MIN: f64 = 0.1;
const LATENCY_RATIO_MAX: f64 = 10.0;
/// Observed probability from which on calls rely on copies that only other routers keep loaded.
pub(super) const ASSUMED_LOADED_THRESHOLD: f64 = 0.5;
/// Weight of one observation in that probability.
pub(super) const ASSUMED_LOADED_RATE: f64 = 0.05;
/// Fraction of a load time that a call to an assumed copy may take beyond its service time and still count as
/// a hit.
const ASSUMED_LOADED_LOAD_FRACTION: f64 = 0.5;
/// Factor of the replica scale for each copy found, for each copy found missing, and its lower limit.
const REPLICA_SCALE_GROWTH: f64 = 1.03;
const REPLICA_SCALE_SHRINK: f64 = 0.93;
const REPLICA_SCALE_MIN: f64 = 0.2;
/// Weight of a load and of a request in the mean number of loads per request.
pub(super) const LOAD_RATE_INCREMENT: f64 = 0.01;
const LOAD_RATE_DECAY: f64 = 0.99;
/// Wait after a call that needed a load was rejected for lack of room: twice the first overload ejection.
const NO_ROOM_CALL_DELAY: Micros = multiplied(OVERLOAD_EJECTION_BASE, 2);
/// Cache misses of one request that show that other routers do not keep the function loaded, if several
/// workers serve it; one miss is enough if a single worker does.
const CONFIRMING_MISSES: usize = 2;

/// State of one function at one worker, as observed by this router.
#[derive(Clone, Default)]
pub(super) struct Replica {
    /// This router's attempts in flight there.
    pub(super) in_flight: usize,
    /// When a copy was last observed to be loaded, and to be missing.
    pub(super) last_loaded: Option<Micros>,
    last_missing: Option<Micros>,
    /// Loaded copies.
    pub(super) copies: u32,
    /// When the pending load request was sent.
    pub(super) load_requested_at: Option<Micros>,
    /// When the load in progress is expected to be complete.
    pub(super) load_expected_at: Option<Micros>,
    /// No further load request before this.
    pub(super) no_load_before: Micros,
    /// Consecutive load requests that found no room.
    pub(super) no_room_count: u32,
}

/// State and statistics of one function.
#[derive(Default)]
pub(super) struct Function {
    /// Calls that one copy runs at a time.
    pub(super) concurrency: usize,
    /// Mean time of a load.
    pub(super) load_time_secs: f64,
    /// Mean time of a call that does not wait in a queue.
    pub(super) service_time_secs: f64,
    /// Calls over `SHARE_WINDOW_SECS`.
    pub(super) calls: DecayingCounter,
    /// Whether any worker completed a call successfully.
    pub(super) was_served: bool,
    pub(super) replicas: BTreeMap<WorkerId, Replica>,
}

/// The functions and the state of their loading.
#[derive(Default)]
pub(super) struct Placement {
    pub(super) functions: BTreeMap<FunctionId, Function>,
    /// Number of functions above which the oldest ones are removed; at least [`FUNCTIONS_MAX`].
    functions_limit: usize,
    /// Mean number of loads per request.
    pub(super) load_rate: f64,
    /// Mean ratio of load times to the usual ones at present.
    pub(super) load_time_inflation: f64,
    /// Mean fraction of calls that found a copy which only other routers could have kept loaded.
    pub(super) assumed_loaded_probability: f64,
    /// Factor of the replica count; below 1 after copies were found missing.
    replica_scale: f64,
    /// Times of the load requests within the window of the quota.
    pub(super) load_request_times: VecDeque<Micros>,
    /// Times of the requests accepted within the window of the quota.
    pub(super) request_times: VecDeque<Micros>,
    /// Load requests in flight; kept when a worker or function is removed.
    pub(super) pending_loads: BTreeSet<(WorkerId, FunctionId)>,
}

impl Placement {
    /// The state before the first request. A single router has no peers whose copies it could rely on.
    pub(super) fn new(routers: usize) -> Self {
        let assumed_loaded_probability = ASSUMED_LOADED_THRESHOLD * routers.saturating_sub(1).min(1) as f64;
        Placement {
            assumed_loaded_probability,
            replica_scale: 1.0,
            load_time_inflation: 1.0,
            functions_limit: FUNCTIONS_MAX,
            ..Placement::default()
        }
    }
}

impl Balancer {
    /// Number of workers that serve a function; 0 if the function is not tracked.
    pub fn workers_serving(&self, function: FunctionId) -> usize {
        self.placement.functions.get(&function).map_or(0, |function| self.replica_count(function))
    }

    /// Number of workers at which this router observed loaded copies of a function within the retention time.
    pub fn loaded_replicas(&self, function: FunctionId) -> usize {
        let Some(function) = self.placement.functions.get(&function) else { return 0 };
        function.replicas.values().filter(|replica| self.is_loaded(replica)).count()
    }

    /// Sets the number of routers, this one included.
    pub(super) fn update_router_count(&mut self, routers: usize) {
        // Peers keep copies loaded that this router does not observe; a single router has no peers.
        if (routers > 1) != (self.settings.routers > 1) {
            self.placement.assumed_loaded_probability = ASSUMED_LOADED_THRESHOLD * indicator(routers > 1);
        }
        self.settings.routers = routers.max(1);
    }

    /// Counts a request for its function and adds the function if it is new.
    pub(super) fn count_call(&mut self, request: &Request) {
        self.count_for_quota();
        let new_function = Function {
            load_time_secs: LOAD_TIME_DEFAULT_SECS,
            service_time_secs: SERVICE_TIME_DEFAULT_SECS,
            ..Function::default()
        };
        let function = self.placement.functions.entry(request.function).or_insert(new_function);
        function.concurrency = request.concurrency.max(1);
        function.calls.add(self.now, SHARE_WINDOW_SECS, 1.0);
        if let (Some(load_time), true) = (request.load_time, function.replicas.is_empty()) {
            function.load_time_secs =
                to_secs(load_time).clamp(LOAD_TIME_HINT_MIN_SECS, LOAD_TIME_HINT_MAX_SECS);
        }
        if self.placement.functions.len() > self.placement.functions_limit {
            self.remove_oldest_functions(request.function);
        }
    }

    /// Removes the least recently used functions, except `kept` and those with calls or loads in flight.
    fn remove_oldest_functions(&mut self, kept: FunctionId) {
        let is_idle = |function: &Function| {
            let mut replicas = function.replicas.values();
            replicas.all(|replica| replica.in_flight == 0 && replica.load_requested_at.is_none())
        };
        let functions = self.placement.functions.iter();
        let removable = functions.filter(|(id, function)| is_idle(function) && **id != kept);
        let mut oldest: Vec<(Micros, FunctionId)> =
            removable.map(|(id, function)| (function.calls.updated_at, *id)).collect();
        oldest.sort_unstable();
        for (_, id) in oldest.into_iter().take(FUNCTIONS_REMOVED) {
            self.placement.functions.remove(&id);
        }
        // If too many functions are in use, the next search waits until others have been added.
        let remaining = self.placement.functions.len();
        self.placement.functions_limit = FUNCTIONS_MAX.max(remaining + FUNCTIONS_REMOVED);
    }

    /// Decays the mean number of loads per request; called once for each request.
    pub(super) fn decay_load_rate(&mut self) {
        self.placement.load_rate *= LOAD_RATE_DECAY;
    }

    /// The load of a function in units of a mean worker's load: its share of this router's calls times the
    /// number of workers. All routers see the same shares, apart from random variation.
    pub(super) fn function_load(&self, function: &Function) -> f64 {
        // The first function that a new router sees is likely popular; a function seen once among many calls
        // is not.
        let calls = self.statistics.requests.at(self.now, SHARE_WINDOW_SECS);
        let chance = (calls / SHARE_PRIOR_CALLS).min(1.0);
        let own = (function.calls.at(self.now, SHARE_WINDOW_SECS) - chance).max(0.0);
        own / (calls + SHARE_PRIOR_CALLS) * self.membership.workers.len() as f64
    }

    /// Number of workers clockwise that serve a function: as many as its load needs, limited to as many
    /// copies as the calls of all routers together keep loaded.
    pub(super) fn replica_count(&self, function: &Function) -> usize {
        let own_rate = function.calls.at(self.now, SHARE_WINDOW_SECS) / SHARE_WINDOW_SECS;
        let total_rate = own_rate * self.settings.routers.max(1) as f64;
        let kept_loaded = total_rate * to_secs(self.settings.loading.idle_retention) / CALLS_PER_RETENTION;
        let most = self.membership.workers.len().max(1) as f64;
        let needed = self.function_load(function) / LOAD_PER_REPLICA * self.placement.replica_scale;
        needed.min(kept_loaded).ceil().clamp(1.0, most) as usize
    }

    /// Whether a copy was observed within the retention time.
    pub(super) fn is_loaded(&self, replica: &Replica) -> bool {
        replica.last_loaded.is_some_and(|time| since(self.now, time) < self.settings.loading.idle_retention)
    }

    /// Whether a copy is probably loaded: recently observed, or kept loaded by calls of other routers to the
    /// same workers, if this router's own calls found such copies often enough.
    pub(super) fn is_likely_loaded(&self, replica: &Replica) -> bool {
        let is_recent = |time: Micros| since(self.now, time) < self.settings.loading.idle_retention;
        self.is_loaded(replica)
            || (self.placement.assumed_loaded_probability >= ASSUMED_LOADED_THRESHOLD
                && !replica.last_missing.is_some_and(is_recent))
    }

    /// Whether the request's cache misses show that other routers do not keep the function loaded. Then only
    /// observed copies count as loaded for it.
    pub(super) fn has_confirmed_misses(&self, open: &OpenRequest, replica_count: usize) -> bool {
        let misses = open.attempts.iter().filter(|attempt| attempt.outcome == Some(Outcome::Miss));
        misses.count() >= replica_count.min(CONFIRMING_MISSES)
    }

    /// Counts an attempt as in flight at the replica; one that loads the function on arrival starts a load.
    pub(super) fn add_replica_attempt(&mut self, id: FunctionId, worker: WorkerId, waits_for_load: bool) {
        let Some(function) = self.placement.functions.get_mut(&id) else { return };
        let replica = function.replicas.entry(worker).or_default();
        replica.in_flight += 1;
        if waits_for_load && replica.load_expected_at.is_none() && self.settings.loading.on_request {
            replica.load_expected_at = Some(after(self.now, from_secs(function.load_time_secs)));
            self.placement.load_rate += LOAD_RATE_INCREMENT;
        }
    }

    /// Updates the copies known at the worker and the function's mean times after a completed attempt.
    pub(super) fn learn_from_attempt(&mut self, id: FunctionId, answer: &Answer, attempt: &Attempt) {
        let Some(function) = self.placement.functions.get_mut(&id) else { return };
        let replica = function.replicas.entry(attempt.worker).or_default();
        replica.in_flight = replica.in_flight.saturating_sub(1);
        match answer.outcome {
            Outcome::Ok => {
                replica.last_loaded = Some(self.now);
                replica.copies = replica.copies.max(1);
                replica.load_expected_at = None;
                function.was_served = true;
                self.learn_from_success(id, answer, attempt);
            }
            // The copy was unloaded, replaced by a new version or lost in a restart.
            Outcome::Miss => {
                (replica.last_loaded, replica.last_missing, replica.copies) = (None, Some(self.now), 0);
                replica.load_expected_at =
                    replica.load_expected_at.filter(|_| replica.load_requested_at.is_some());
                let placement = &mut self.placement;
                placement.replica_scale =
                    (placement.replica_scale * REPLICA_SCALE_SHRINK).max(REPLICA_SCALE_MIN);
                if attempt.assumed_loaded {
                    update_mean(&mut placement.assumed_loaded_probability, 0.0, ASSUMED_LOADED_RATE);
                }
            }
            // A worker without room for this copy can still serve the functions loaded there.
            Outcome::Full if attempt.waits_for_load => {
                replica.load_expected_at = None;
                replica.no_load_before = after(self.now, NO_ROOM_CALL_DELAY);
            }
            // Copies count as kept after a mere reset: a worker that did restart answers with a miss.
            Outcome::ConnectFailed => {
                *replica = Replica { in_flight: replica.in_flight, ..Replica::default() };
            }
            _ => {}
        }
    }

    fn learn_from_success(&mut self, id: FunctionId, answer: &Answer, attempt: &Attempt) {
        let latency_secs = to_secs(answer.latency).max(LATENCY_MIN_SECS);
        let placement = &mut self.placement;
        let Some(function) = placement.functions.get_mut(&id) else { return };
        placement.replica_scale = (placement.replica_scale * REPLICA_SCALE_GROWTH).min(1.0);
        if attempt.assumed_loaded {
            // If calls load functions implicitly, only the latency shows whether a copy was loaded.
            let limit = function.service_time_secs + ASSUMED_LOADED_LOAD_FRACTION * function.load_time_secs;
            let found = !self.settings.loading.on_request || latency_secs < limit;
            let probability = &mut placement.assumed_loaded_probability;
            update_mean(probability, indicator(found), ASSUMED_LOADED_RATE);
        }
        if attempt.waits_for_load {
            let load_time =
                (latency_secs - function.service_time_secs).clamp(LOAD_TIME_MIN_SECS, LOAD_TIME_MAX_SECS);
            update_mean(&mut function.load_time_secs, load_time, LOAD_TIME_CALL_RATE);
        } else if attempt.sent_at >= self.resumed_at {
            let ratio = (latency_secs / function.service_time_secs.max(SERVICE_TIME_MIN_SECS))
                .clamp(LATENCY_RATIO_MIN, LATENCY_RATIO_MAX);
            if let Some(worker) = self.membership.workers.get_mut(&attempt.worker) {
                update_mean(&mut worker.latency_ratio, ratio, LATENCY_RATIO_RATE);
            }
            let is_shorter = latency_secs < function.service_time_secs;
            let rate = if is_shorter { SERVICE_TIME_DECREASE_RATE } else { SERVICE_TIME_INCREASE_RATE };
            update_mean(&mut function.service_time_secs, latency_secs, rate);
        }
    }
}
