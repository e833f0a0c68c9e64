//! Admission control: whether a new request is accepted or shed, by priority, quota and expected queue delay.

use super::dispatch::OpenRequest;
use super::membership::Worker;
use super::statistics::*;
use super::Balancer;
use crate::api::*;

/// Tolerated delay as a fraction of the latency objective, for the lowest and the highest priority.
const DELAY_TOLERANCE_LOWEST: f64 = 0.35;
const DELAY_TOLERANCE_HIGHEST: f64 = 0.8;
/// Increase of the shed probability for each late response, its decrease for each timely one, and its upper
/// limit.
const SHED_INCREASE_PER_LATE: f64 = 0.04;
const SHED_DECREASE_PER_TIMELY: f64 = 0.01;
const SHED_PROBABILITY_MAX: f64 = 0.8;
/// A request is shed with the shed probability times the difference of this and its priority rank, so that
/// low ranks are shed first.
const SHED_RANK_OFFSET: f64 = 1.25;
/// Factor of the shed probability for requests that exceed their tenant's quota.
const SHED_FACTOR_OVER_QUOTA: f64 = 2.0;
/// Factor of the tolerated delay for requests that exceed their tenant's quota.
const DELAY_FACTOR_OVER_QUOTA: f64 = 0.35;
/// Attempts in flight for longer than this, in latency objectives, are lost rather than queued.
const LOST_AFTER_OBJECTIVES: f64 = 1.0;
/// Number of consecutive failures from which on attempts at a worker are not counted as a queue.
const STALLED_WORKER_FAILURES: u32 = 2;
/// Unused quota is kept for this long, in seconds.
const QUOTA_BURST_SECS: f64 = 2.0;

/// Token bucket for this router's share of a tenant's quota.
#[derive(Clone, Default)]
struct QuotaBudget {
    /// Requests left within the quota; negative if the last request exceeded it.
    tokens: f64,
    updated_at: Micros,
}

/// State of the admission control.
#[derive(Default)]
pub(super) struct Admission {
    /// Probability with which requests are shed because responses were late.
    shed_probability: f64,
    /// Quota budgets, by tenant index.
    quotas: Vec<QuotaBudget>,
    /// Time of the first event.
    started_at: Option<Micros>,
}

impl Admission {
    /// Admits all requests at first; each tenant starts with an empty budget.
    pub(super) fn new(tenants: usize) -> Self {
        Admission { quotas: vec![QuotaBudget::default(); tenants], ..Admission::default() }
    }

    /// Records the time of the first event; later calls have no effect.
    pub(super) fn start(&mut self, now: Micros) {
        self.started_at.get_or_insert(now);
    }

    /// Changes the number of tenants; those that remain keep their budgets.
    pub(super) fn resize(&mut self, tenants: usize) {
        self.quotas.resize(tenants, QuotaBudget::default());
    }

    /// Adjusts the shed probability after a response.
    pub(super) fn count_response(&mut self, is_late: bool) {
        let change = if is_late { SHED_INCREASE_PER_LATE } else { -SHED_DECREASE_PER_TIMELY };
        self.shed_probability = (self.shed_probability + change).clamp(0.0, SHED_PROBABILITY_MAX);
    }
}

impl Balancer {
    /// Accepts a new request and dispatches it, or sheds it. A request that is already open is ignored.
    pub(super) fn accept_request(&mut self, request: Request, out: &mut Vec<Action>) {
        if self.requests.open.contains_key(&request.id) {
            return;
        }
        self.decay_load_rate();
        self.retry.refill();
        self.probing.refill(self.settings.probe_price);
        self.statistics.requests.add(self.now, SHARE_WINDOW_SECS, 1.0);
        self.count_call(&request);
        self.refresh_offered_load();
        let id = request.id;
        let class_work = self.statistics.class_work_secs.get_mut(request.class.0);
        if let (Some(mean), Some(work)) = (class_work, request.work) {
            let work_secs = to_secs(work).clamp(LATENCY_MIN_SECS, WORK_HINT_MAX_SECS);
            update_mean(mean, work_secs, WORK_LEARNING_RATE);
        }
        let open = OpenRequest::new(request, self.now);
        let is_shed = self.should_shed(&open);
        self.requests.open.insert(id, open);
        if is_shed {
            self.finish_unserved(id, out);
        } else {
            self.dispatch(id, out);
        }
    }

    /// The settings of the request's class, or the safest ones if the settings lack the class.
    pub(super) fn class(&self, open: &OpenRequest) -> &Class {
        self.settings.classes.get(open.request.class.0).unwrap_or(&self.unknown_class)
    }

    /// Mean work of the request's class, in seconds.
    pub(super) fn class_work(&self, open: &OpenRequest) -> f64 {
        let class_work = self.statistics.class_work_secs.get(open.request.class.0);
        class_work.copied().unwrap_or(WORK_DEFAULT_SECS)
    }

    /// Priority of the class's work relative to the highest, from 0 to 1.
    fn priority_rank(&self, open: &OpenRequest) -> f64 {
        let density = |class: &Class, work_secs: f64| {
            if self.settings.priority_per_work {
                class.priority_weight
            } else {
                class.priority_weight / work_secs.max(1e-3)
            }
        };
        let classes = self.settings.classes.iter().zip(&self.statistics.class_work_secs);
        let highest = classes.map(|(class, work)| density(class, *work)).fold(1e-9, f64::max);
        (density(self.class(open), self.class_work(open)) / highest).clamp(0.0, 1.0)
    }

    /// Delay that the request tolerates, as a fraction of its latency objective.
    pub(super) fn delay_tolerance(&self, open: &OpenRequest) -> f64 {
        DELAY_TOLERANCE_LOWEST + (DELAY_TOLERANCE_HIGHEST - DELAY_TOLERANCE_LOWEST) * self.priority_rank(open)
    }

    /// Counts the request against its tenant's quota. Returns whether it exceeds this router's share of the
    /// quota.
    fn exceeds_quota(&mut self, open: &OpenRequest) -> bool {
        let Some(TenantId(index)) = open.request.tenant else { return false };
        let Some(budget) = self.admission.quotas.get_mut(index) else { return false };
        let Some(tenant) = self.settings.tenants.get(index) else { return false };
        let share_per_s = tenant.quota_per_s / self.settings.routers.max(1) as f64;
        let age_secs = to_secs(since(self.now, budget.updated_at));
        let refill = share_per_s * age_secs.clamp(0.0, QUOTA_BURST_SECS);
        budget.tokens = (budget.tokens + refill).min(QUOTA_BURST_SECS * share_per_s).max(0.0) - 1.0;
        budget.updated_at = self.now;
        budget.tokens < 0.0 && share_per_s > 0.0
    }

    /// Whether to shed a new request because its response would be late. With many attempts in flight the
    /// delay follows from Little's law, with few the fraction of late responses decides. Low priorities and
    /// requests over quota are shed first.
    fn should_shed(&mut self, open: &OpenRequest) -> bool {
        let over_quota = self.exceeds_quota(open);
        let rank = self.priority_rank(open);
        let quota_factor = if over_quota { SHED_FACTOR_OVER_QUOTA } else { 1.0 };
        let probability = self.admission.shed_probability * (SHED_RANK_OFFSET - rank).max(0.0) * quota_factor;
        if unit_interval(hash_bits(self.hash_seed ^ hash_bits(!open.request.id.0))) < probability {
            return true;
        }
        let tolerance = self.delay_tolerance(open) * if over_quota { DELAY_FACTOR_OVER_QUOTA } else { 1.0 };
        let age_secs = self.admission.started_at.map_or(0.0, |start| to_secs(since(self.now, start)));
        let queue_limit =
            tolerance * to_secs(self.class(open).latency_objective) * self.response_rate(age_secs);
        // The total is an upper bound of the attempts at responsive workers: below the limit no exact count
        // is needed.
        if age_secs <= RESPONSE_RATE_WINDOW_SECS || (self.requests.in_flight + 1) as f64 <= queue_limit {
            return false;
        }
        self.queue_exceeds(open, queue_limit)
    }

    /// Successful responses per second; corrected while the router is younger than the window.
    fn response_rate(&self, age_secs: f64) -> f64 {
        let responses = self.statistics.responses.at(self.now, RESPONSE_RATE_WINDOW_SECS);
        let window_filled = (1.0 - (-age_secs / RESPONSE_RATE_WINDOW_SECS).exp()).max(0.1);
        responses / RESPONSE_RATE_WINDOW_SECS / window_filled
    }

    /// Whether the attempts in flight at responsive workers exceed the limit.
    fn queue_exceeds(&self, open: &OpenRequest, queue_limit: f64) -> bool {
        // Attempts at stalled workers do not delay others: an unresponsive zone must not cause refusals in
        // the others.
        let class = open.request.class.0;
        let is_responsive = |worker: &&Worker| {
            let record = worker.failure_record(class, self.now);
            record.consecutive_failures < STALLED_WORKER_FAILURES || record.is_overload
        };
        let responsive = || self.membership.workers.values().filter(is_responsive);
        let in_flight = self.in_flight_at(is_responsive);
        // Counts only as far as needed: with many workers, visiting each would dominate the cost of a
        // request.
        let exceeds_workers = |in_flight: usize| responsive().take(in_flight).count() < in_flight;
        let exceeds = |in_flight: usize| (in_flight + 1) as f64 > queue_limit && exceeds_workers(in_flight);
        exceeds(in_flight) && exceeds(in_flight.saturating_sub(self.lost_attempts()))
    }

    /// Number of attempts in flight at workers that `accepts` allows, without those that wait for loads.
    fn in_flight_at(&self, accepts: impl Fn(&&Worker) -> bool) -> usize {
        let attempts = self.requests.open.values().flat_map(|open| &open.attempts);
        let queued = attempts.filter(|attempt| attempt.outcome.is_none() && !attempt.waits_for_load);
        let workers = queued.filter_map(|attempt| self.membership.workers.get(&attempt.worker));
        workers.filter(accepts).count()
    }

    /// Number of attempts in flight for longer than their objective. If responses are lost, such attempts
    /// never end. Counted as a queue they would cause refusals, which lower the response rate and so cause
    /// further refusals.
    fn lost_attempts(&self) -> usize {
        let lost_in = |open: &OpenRequest| {
            let limit_secs = LOST_AFTER_OBJECTIVES * to_secs(self.class(open).latency_objective);
            let in_flight = open.attempts.iter().filter(|attempt| attempt.outcome.is_none());
            let queued = in_flight.filter(|attempt| !attempt.waits_for_load);
            queued.filter(|attempt| to_secs(since(self.now, attempt.sent_at)) > limit_secs).count()
        };
        self.requests.open.values().map(lost_in).sum()
    }
}
