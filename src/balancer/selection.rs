//! Selection: the order in which workers are tried, whether one may be sent a request, and the choice among
//! them.
//!
//! The first candidate on the ring that is not busy and has the function loaded is chosen. If there is none,
//! the candidate with the least expected delay is chosen; load times count as delay.

use super::dispatch::OpenRequest;
use super::membership::Worker;
use super::placement::{Function, Replica};
use super::probing::{CONTACT_MAX_AGE, PROBE_WAIT};
use super::statistics::*;
use super::Balancer;
use crate::api::{CellId, Effect, Group, Micros, Outcome, WorkerId};

/// In-flight requests allowed at a worker relative to its fair share (consistent hashing with bounded loads),
/// and requests allowed beyond that.
const BOUNDED_LOAD_FACTOR: f64 = 1.5;
const BOUNDED_LOAD_EXTRA_REQUESTS: f64 = 2.0;
/// Expected delay at a worker for each consecutive failure, in seconds.
const FAILURE_COST_SECS: f64 = 3.0;
/// Expected delay at a worker that the request was already sent to, in seconds.
const REPEATED_WORKER_COST_SECS: f64 = 1.0;
/// Cost of a load away from the primary worker, in load times, as it displaces other copies and queues at the
/// store.
const REMOTE_LOAD_COST: f64 = 3.0;
/// Additional cost in load times per load begun for each request, so that a storm of loads subsides.
const REMOTE_LOAD_COST_PER_LOAD_RATE: f64 = 10.0;
/// Additional cost in load times at a worker that recently had no room for the function.
const NO_ROOM_COST: f64 = 4.0;
/// Shortest remaining time expected of a load in progress, in seconds.
const REMAINING_LOAD_MIN_SECS: f64 = 0.05;
/// Cost of each step along the ring, in seconds; decides ties only.
const STEP_COST_SECS: f64 = 1e-3;
/// Lower limit of a worker's latency ratio when requests over its bounded load are weighed.
const LATENCY_RATIO_COST_MIN: f64 = 0.5;
/// Workers tried beyond those that serve the function, while the request may be sent to any of them.
const SPILLOVER_CANDIDATES: usize = 4;
/// Maximum number of workers tried if the request may be sent to none of the usual candidates. It bounds the
/// cost of a request independently of the fleet size and is as good as trying all: so many workers are not
/// all ejected or cold by chance.
const CANDIDATES_MAX: usize = 256;
/// Queue delay in latency objectives at a worker where requests wait, and for each waiting request.
const QUEUE_DELAY_BASE: f64 = 0.4;
const QUEUE_DELAY_PER_REQUEST: f64 = 0.15;
/// Requests assumed to wait at a worker that has not answered a probe in time.
const UNRESPONSIVE_QUEUE_REQUESTS: f64 = 4.0;
/// Time reserved for the transmission to the worker before an idempotency key expires.
const KEY_EXPIRY_MARGIN: Micros = Micros(20_000);

/// Values of one request that its candidates are compared by.
struct Comparison<'a> {
    open: &'a OpenRequest,
    function: &'a Function,
    objective_secs: f64,
    /// Total weight of the workers, each reduced by its slow-start factor.
    total_weight: f64,
    replica_count: usize,
    /// Cache misses have shown that only observed copies count.
    misses_confirmed: bool,
    /// Load time of the function, scaled by the current inflation of load times, in seconds.
    load_time_secs: f64,
    /// Cost of a load away from the primary worker, in load times.
    remote_load_cost: f64,
}

/// Components of the delay expected at a candidate.
struct CandidateCost {
    load_secs: f64,
    failure_secs: f64,
    /// Requests over the bounded load.
    requests_over_limit: f64,
    /// Queue delay in latency objectives.
    queue_delay: f64,
}

impl CandidateCost {
    fn is_zero(&self) -> bool {
        self.load_secs + self.failure_secs + self.requests_over_limit + self.queue_delay == 0.0
    }
}

impl Balancer {
    /// Chooses the worker for a request; `None` if it may be sent to no worker now.
    pub(super) fn select_worker(&self, open: &OpenRequest) -> Option<WorkerId> {
        let comparison = self.comparison(open)?;
        let replica_count = comparison.replica_count;
        let mut candidates = self.candidates(open, replica_count);
        if !candidates.iter().any(|id| self.can_send(open, *id, candidates.len())) {
            candidates = self.widest_candidates(open);
        }
        let reach = candidates.len();
        let mut best: Option<(f64, WorkerId)> = None;
        let mut is_first = true;
        for (step, id) in candidates.into_iter().enumerate() {
            let Some(worker) = self.membership.workers.get(&id) else { continue };
            let serves_first = step < replica_count && open.attempts.is_empty();
            if !self.can_send(open, id, if serves_first { 1 } else { reach }) {
                continue;
            }
            let cost = self.candidate_cost(&comparison, id, worker, step, is_first);
            is_first = false;
            if cost.is_zero() {
                return Some(id);
            }
            let total = total_cost_secs(&comparison, &cost, worker, step);
            if best.is_none_or(|(least, _)| total < least) {
                best = Some((total, id));
            }
        }
        best.map(|(_, id)| id)
    }

    fn comparison<'a>(&'a self, open: &'a OpenRequest) -> Option<Comparison<'a>> {
        let function = self.placement.functions.get(&open.request.function)?;
        let replica_count = self.replica_count(function);
        Some(Comparison {
            open,
            function,
            objective_secs: to_secs(self.class(open).latency_objective),
            total_weight: self.effective_weight(),
            replica_count,
            misses_confirmed: self.has_confirmed_misses(open, replica_count),
            load_time_secs: function.load_time_secs * self.placement.load_time_inflation,
            remote_load_cost: REMOTE_LOAD_COST + REMOTE_LOAD_COST_PER_LOAD_RATE * self.placement.load_rate,
        })
    }

    /// The delay expected at the candidate with index `step`; `is_first` is set for the first one that may be
    /// used.
    fn candidate_cost(
        &self,
        comparison: &Comparison,
        id: WorkerId,
        worker: &Worker,
        step: usize,
        is_first: bool,
    ) -> CandidateCost {
        let open = comparison.open;
        let was_tried = open
            .attempts
            .iter()
            .any(|attempt| attempt.worker == id && attempt.outcome != Some(Outcome::Miss));
        let replica = comparison.function.replicas.get(&id).cloned().unwrap_or_default();
        let can_assume = step < comparison.replica_count && !comparison.misses_confirmed;
        let record = worker.failure_record(open.request.class.0, self.now);
        CandidateCost {
            load_secs: self.load_cost_secs(comparison, &replica, can_assume, is_first),
            failure_secs: FAILURE_COST_SECS * record.consecutive_failures as f64
                + REPEATED_WORKER_COST_SECS * indicator(was_tried),
            requests_over_limit: self.requests_over_limit(worker, comparison.total_weight),
            queue_delay: self.queue_delay(worker),
        }
    }

    /// The time that a load of the function takes at the candidate, weighted by its cost to other requests; 0
    /// if the function is loaded there.
    fn load_cost_secs(
        &self,
        comparison: &Comparison,
        replica: &Replica,
        can_assume: bool,
        is_first: bool,
    ) -> f64 {
        let is_loaded = if can_assume { self.is_likely_loaded(replica) } else { self.is_loaded(replica) };
        let load_time_secs = comparison.load_time_secs;
        match (is_loaded, replica.load_expected_at) {
            (true, _) => 0.0,
            // An overdue load is expected to take as long again as it is already overdue.
            (_, Some(expected)) => to_secs(since(expected, self.now)).abs().max(REMAINING_LOAD_MIN_SECS),
            _ if self.now < replica.no_load_before => {
                load_time_secs * (NO_ROOM_COST + comparison.remote_load_cost)
            }
            _ if is_first => load_time_secs,
            _ => load_time_secs * comparison.remote_load_cost,
        }
    }

    /// The workers in the order in which this router tries them: first those that serve the function, by zone
    /// and then by a hash with the router's seed, so that routers spread over them; then the next ones along
    /// the ring.
    fn candidates(&self, open: &OpenRequest, replica_count: usize) -> Vec<WorkerId> {
        let function = open.request.function;
        let mut candidates = match open.could_have_run() {
            true => self.widest_candidates(open),
            false => self.ring_candidates(function, replica_count + SPILLOVER_CANDIDATES),
        };
        let serving = replica_count.min(candidates.len());
        let draw = |id: u64| hash_bits(self.hash_seed ^ hash_bits(function.0) ^ id);
        // Only as many routers prefer their own zone as its workers can serve; the rest prefer other zones.
        let is_local = |id: &WorkerId| {
            self.membership.workers.get(id).is_some_and(|worker| worker.entry.zone == self.settings.zone)
        };
        let local = candidates[..serving].iter().filter(|id| is_local(id)).count();
        let local_capacity = (local * self.membership.zone_count) as f64 / serving.max(1) as f64;
        let prefers_local = unit_interval(draw(0)) < local_capacity;
        // Each key is computed once: with many workers, look-ups in each comparison would dominate the cost.
        candidates[..serving].sort_by_cached_key(|id| (is_local(id) != prefers_local, draw(id.0)));
        candidates
    }

    /// Up to `CANDIDATES_MAX` workers in ring order. If an idempotency key binds the request to the cell of
    /// an earlier attempt, the remaining workers of that cell are appended.
    fn widest_candidates(&self, open: &OpenRequest) -> Vec<WorkerId> {
        let mut candidates = self.ring_candidates(open.request.function, CANDIDATES_MAX);
        if candidates.len() < CANDIDATES_MAX {
            return candidates;
        }
        if let Some(cell) = self.bound_cell(open) {
            let peers = self.membership.cells.get(&cell).into_iter().flatten();
            let others: Vec<WorkerId> = peers.copied().filter(|id| !candidates.contains(id)).collect();
            candidates.extend(others);
        }
        candidates
    }

    /// The cell that further attempts are bound to by the idempotency key, if an attempt could have run
    /// there.
    fn bound_cell(&self, open: &OpenRequest) -> Option<CellId> {
        let Effect::IdempotentWithKey { group: Group::Cell, .. } = self.class(open).effect else {
            return None;
        };
        open.possible_runs().next().map(|attempt| attempt.cell)
    }

    /// Whether an attempt is safe at one of the workers that `accepts` allows, as it cannot repeat an effect.
    pub(super) fn effect_allows_any(
        &self,
        open: &OpenRequest,
        accepts: impl Fn(WorkerId, &Worker) -> bool,
    ) -> bool {
        self.any_worker_allows(open, accepts, |worker| self.effect_allows(open, worker))
    }

    /// Whether a further attempt may become safe at some worker, once the list confirms the processes that it
    /// names.
    pub(super) fn effect_could_allow_any(&self, open: &OpenRequest) -> bool {
        self.any_worker_allows(open, |_, _| true, |worker| self.effect_could_allow(open, worker))
    }

    /// Whether `allows` holds for one of the workers that `accepts` selects. `allows` must be a rule on
    /// repeated effects.
    fn any_worker_allows(
        &self,
        open: &OpenRequest,
        accepts: impl Fn(WorkerId, &Worker) -> bool,
        allows: impl Fn(&Worker) -> bool,
    ) -> bool {
        if let Some(cell) = self.bound_cell(open) {
            let peers = self.membership.cells.get(&cell).into_iter().flatten();
            let mut workers = peers.filter_map(|id| Some((id, self.membership.workers.get(id)?)));
            return workers.any(|(id, worker)| accepts(*id, worker) && allows(worker));
        }
        // Without a key the result is the same for all workers.
        let is_keyed = matches!(self.class(open).effect, Effect::IdempotentWithKey { .. });
        let mut workers = self.membership.workers.iter().filter(|(id, worker)| accepts(**id, worker));
        match is_keyed {
            true => workers.any(|(_, worker)| allows(worker)),
            false => workers.next().is_some_and(|(_, worker)| allows(worker)),
        }
    }

    /// Whether the request may be sent to the worker now, considering its attempts and deadline, the worker's
    /// state, repeated effects and slow start. `reach` is the number of workers that the request may spill
    /// over to.
    pub(super) fn can_send(&self, open: &OpenRequest, id: WorkerId, reach: usize) -> bool {
        let Some(worker) = self.membership.workers.get(&id) else { return false };
        let (limits, in_flight) = (&self.settings.limits, open.in_flight());
        let can_attempt =
            open.attempts.len() < limits.max_attempts && (limits.hedged_requests || in_flight == 0);
        let is_due = open.is_undecided() && self.now < open.deadline && can_attempt;
        is_due
            && worker.is_ready()
            && !self.may_be_draining(id, worker)
            && self.effect_allows(open, worker)
            && self.slow_start_allows(open, worker, reach)
    }

    /// Whether an attempt at the worker is safe, as it cannot repeat an effect of earlier attempts.
    pub(super) fn effect_allows(&self, open: &OpenRequest, worker: &Worker) -> bool {
        self.effect_could_allow(open, worker)
            && (!self.is_bound_to_group(open)
                || self.is_identified(worker) && self.went_to_listed_processes(open))
    }

    /// Whether an attempt at the worker would be safe if all processes were those that the list names.
    fn effect_could_allow(&self, open: &OpenRequest, worker: &Worker) -> bool {
        match self.class(open).effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => !open.could_have_run(),
            Effect::IdempotentWithKey { group, memory } => open.possible_runs().all(|attempt| {
                let shares_keys = match group {
                    Group::All => true,
                    Group::Zone => attempt.zone == worker.entry.zone,
                    Group::Cell => attempt.cell == worker.entry.cell,
                };
                let age = since(self.now, attempt.key_sent_at);
                shares_keys && after(age, KEY_EXPIRY_MARGIN) < memory
            }),
        }
    }

    /// When workers may no longer recognize a repeat by its key; `None` if no earlier attempt could have run,
    /// or if repeats do no harm.
    pub(super) fn key_expires_at(&self, open: &OpenRequest) -> Option<Micros> {
        let Effect::IdempotentWithKey { memory, .. } = self.class(open).effect else { return None };
        Some(Micros(after(open.key_sent_at()?, memory).0.saturating_sub(KEY_EXPIRY_MARGIN.0)))
    }

    /// Whether further attempts are limited to the zone or cell of an earlier one that could have run. Which
    /// processes belong to it, only the list tells.
    pub(super) fn is_bound_to_group(&self, open: &OpenRequest) -> bool {
        let effect = self.class(open).effect;
        matches!(effect, Effect::IdempotentWithKey { group: Group::Zone | Group::Cell, .. })
            && open.could_have_run()
    }

    /// Number of requests by which the worker would exceed its bounded load; it is busy if this is above 0.
    fn requests_over_limit(&self, worker: &Worker, total_weight: f64) -> f64 {
        let fair_share =
            (self.requests.in_flight + 1) as f64 * self.weight(worker) * self.slow_start_factor(worker)
                / total_weight.max(1e-9);
        let limit = (fair_share * BOUNDED_LOAD_FACTOR + BOUNDED_LOAD_EXTRA_REQUESTS).max(1.0)
            / worker.latency_ratio.max(1.0);
        ((worker.in_flight + 1) as f64 - limit.max(1.0)).max(0.0)
    }

    /// Queue delay at a worker according to its last report, in latency objectives. If requests wait, all
    /// slots of the worker are in use. A worker that has not answered a probe in time is assumed to have a
    /// queue.
    pub(super) fn queue_delay(&self, worker: &Worker) -> f64 {
        let is_unresponsive = worker.probe_sent_at.is_some_and(|sent| since(self.now, sent) >= PROBE_WAIT);
        let reported =
            worker.reported_queue.filter(|report| since(self.now, report.received_at) < CONTACT_MAX_AGE);
        let queue = reported.map_or(0.0, |report| report.requests);
        let queue = if is_unresponsive { queue.max(UNRESPONSIVE_QUEUE_REQUESTS) } else { queue };
        indicator(queue >= 1.0) * (QUEUE_DELAY_BASE + queue * QUEUE_DELAY_PER_REQUEST)
    }
}

fn total_cost_secs(comparison: &Comparison, cost: &CandidateCost, worker: &Worker, step: usize) -> f64 {
    let service_time_secs = comparison.function.service_time_secs;
    cost.requests_over_limit * service_time_secs * worker.latency_ratio.max(LATENCY_RATIO_COST_MIN)
        + cost.queue_delay * comparison.objective_secs
        + cost.load_secs
        + cost.failure_secs
        + step as f64 * STEP_COST_SECS
}
