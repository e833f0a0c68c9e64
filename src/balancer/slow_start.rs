//! Slow start: a started worker warms up and meanwhile receives only as much work as its present capacity
//! allows.

use super::dispatch::OpenRequest;
use super::membership::Worker;
use super::statistics::*;
use super::Balancer;
use crate::api::{Micros, WorkerId};
use std::collections::BTreeMap;

/// Fraction of the budget of a warming worker that is used; the rest is reserved for repeats by clients.
const BUDGET_FRACTION: f64 = 0.7;
/// Scale of the probability that an attempt is admitted where a router's budget is less than one attempt, in
/// units of a mean worker's load.
const ADMISSION_SCALE: f64 = 0.12;
/// Attempts and successes assumed before the first ones, so that a new router admits at its usual rate.
const PRIOR_ATTEMPTS: f64 = 2.0;
/// Age from which on the offered load is recomputed.
const OFFERED_LOAD_MAX_AGE: Micros = Micros(500_000);
/// Lower bound of divisors, which avoids divisions by 0.
const POSITIVE_MIN: f64 = 1e-9;

/// The total weight of the workers, each reduced by its slow-start factor, as a linear function of time.
///
/// Each factor is linear between the start of a worker and the end of its warm-up, and constant before and
/// after. So the sum is linear until the next start or end of a warm-up. Summing over all workers for each
/// event would dominate the cost of an event.
#[derive(Default)]
struct EffectiveWeight {
    summed_at: Micros,
    weight: f64,
    /// Increase per microsecond.
    slope: f64,
    /// When the next worker starts or completes its warm-up, or the lease on the list expires; `None` if there
    /// is no such time.
    valid_until: Option<Micros>,
}

/// Sums over all workers that slow start depends on.
#[derive(Default)]
pub(super) struct SlowStart {
    /// `None` if it has to be recomputed.
    effective_weight: Option<EffectiveWeight>,
    /// Total weight of all workers, warm or not.
    total_weight: f64,
    /// When the offered load was last computed.
    offered_load_updated_at: Micros,
}

impl SlowStart {
    /// Discards the sums of weights after a change of workers or settings.
    pub(super) fn invalidate(&mut self) {
        self.effective_weight = None;
    }
}

impl Balancer {
    /// Recomputes the sums of weights if they are not valid any more.
    pub(super) fn refresh_weights(&mut self) {
        let is_valid = |sum: &EffectiveWeight| sum.valid_until.is_none_or(|until| self.now < until);
        if !self.slow_start.effective_weight.as_ref().is_some_and(is_valid) {
            self.slow_start.total_weight =
                self.membership.workers.values().map(|worker| self.weight(worker)).sum();
            self.slow_start.effective_weight = Some(self.sum_effective_weight());
        }
    }

    fn sum_effective_weight(&self) -> EffectiveWeight {
        let rules = &self.settings.rules;
        // Once the lease on the list expires, other start times may apply.
        let valid_until = self.list_lease.expires_at().filter(|at| self.now < *at);
        let mut sum = EffectiveWeight { summed_at: self.now, valid_until, ..EffectiveWeight::default() };
        for worker in self.membership.workers.values() {
            let weight = self.weight(worker);
            sum.weight += weight * self.slow_start_factor(worker);
            let Some(started_at) = self.process_started_at(worker) else { continue };
            let warm_at = after(started_at, rules.warm_up_time);
            if self.now >= warm_at {
                continue;
            }
            let is_started = self.now >= started_at;
            if is_started {
                sum.slope += weight * (1.0 - rules.start_capacity) / rules.warm_up_time.0 as f64;
            }
            let next = if is_started { warm_at } else { started_at };
            sum.valid_until = Some(sum.valid_until.map_or(next, |until| until.min(next)));
        }
        sum
    }

    /// Lower bound of the fraction of its capacity that a worker has, from 0 to 1; it grows linearly during
    /// the warm-up.
    pub(super) fn slow_start_factor(&self, worker: &Worker) -> f64 {
        let Some(started_at) = self.process_started_at(worker) else { return 1.0 };
        let (rules, age) = (&self.settings.rules, since(self.now, started_at).0.max(0) as f64);
        let progress =
            if rules.warm_up_time.0 > 0 { (age / rules.warm_up_time.0 as f64).min(1.0) } else { 1.0 };
        (rules.start_capacity + (1.0 - rules.start_capacity) * progress).clamp(0.0, 1.0)
    }

    /// Total weight of the workers, each reduced by its slow-start factor.
    pub(super) fn effective_weight(&self) -> f64 {
        let Some(sum) = &self.slow_start.effective_weight else { return 0.0 };
        sum.weight + sum.slope * since(self.now, sum.summed_at).0 as f64
    }

    /// Recomputes the offered load if it is out of date.
    pub(super) fn refresh_offered_load(&mut self) {
        if since(self.now, self.slow_start.offered_load_updated_at) > OFFERED_LOAD_MAX_AGE {
            self.update_offered_load();
        }
    }

    /// Computes the load that the ring assigns to each worker, over the functions that this router tracks. It
    /// is 0 for all if no worker is warming up.
    pub(super) fn update_offered_load(&mut self) {
        let mut offered: BTreeMap<WorkerId, f64> = BTreeMap::new();
        if self.membership.workers.values().any(|worker| self.slow_start_factor(worker) < 1.0) {
            let functions = self.placement.functions.iter();
            for (id, function) in functions.filter(|(_, function)| self.function_load(function) > 0.0) {
                let replica_count = self.replica_count(function);
                for worker in self.ring_candidates(*id, replica_count) {
                    *offered.entry(worker).or_default() +=
                        self.function_load(function) / replica_count as f64;
                }
            }
        }
        for (id, worker) in &mut self.membership.workers {
            worker.offered_load = offered.get(id).copied().unwrap_or_default();
        }
        self.slow_start.offered_load_updated_at = self.now;
    }

    /// Whether slow start allows the request at the worker: always if the worker is warm, otherwise within
    /// this router's share of the worker's budget, and with some probability if that share is less than one
    /// attempt. `reach` is the number of workers that the request may spill over to.
    pub(super) fn slow_start_allows(&self, open: &OpenRequest, worker: &Worker, reach: usize) -> bool {
        let factor = self.slow_start_factor(worker);
        if factor >= 1.0 {
            return true;
        }
        let total_weight = self.slow_start.total_weight;
        let budget = self.slow_start_budget(worker, total_weight, factor);
        let overload_window = self.settings.rules.overload_window;
        let recent =
            worker.recent_work.iter().filter(|work| since(self.now, work.sent_at) <= overload_window);
        let sent: f64 = recent.map(|work| work.work_secs).sum();
        let probability = self.slow_start_probability(worker, total_weight, factor, reach);
        let draw =
            unit_interval(hash_bits(self.hash_seed ^ hash_bits(open.request.id.0) ^ worker.entry.id.0));
        (sent == 0.0 || sent + self.class_work(open) <= budget)
            && draw < probability.max(budget / self.class_work(open).max(1e-3))
    }

    /// Work that this router may send to the worker within the overload window, in seconds of work.
    fn slow_start_budget(&self, worker: &Worker, total_weight: f64, factor: f64) -> f64 {
        // Capacity is estimated from the work that was served for this router: both sides have the same unit,
        // and each router sees its share. It is divided by the weight of all workers, warm or not, as the
        // rate lags behind after a restart of many workers.
        let rules = &self.settings.rules;
        let rate = self.statistics.served_work.at(self.now, WORK_WINDOW_SECS) / WORK_WINDOW_SECS;
        let capacity = rate * self.weight(worker) / total_weight.max(POSITIVE_MIN) * factor;
        BUDGET_FRACTION * rules.overload_multiple * capacity * to_secs(rules.overload_window)
    }

    /// Probability of admission that limits the work sent by all routers together to the worker's capacity.
    /// It is lower if most workers are warming up, if attempts fail, and for requests that may spill over to
    /// many workers, as an idle worker attracts them all.
    fn slow_start_probability(&self, worker: &Worker, total_weight: f64, factor: f64, reach: usize) -> f64 {
        let effective_weight = self.effective_weight();
        let mean_load = factor * total_weight / effective_weight.max(POSITIVE_MIN);
        let offered = worker.offered_load.max(mean_load) * reach.max(1) as f64;
        let lately = |counter: &DecayingCounter| counter.at(self.now, SHARE_WINDOW_SECS) + PRIOR_ATTEMPTS;
        let success_rate = (lately(&self.statistics.successes) / lately(&self.statistics.attempts)).min(1.0);
        ADMISSION_SCALE * self.settings.rules.overload_multiple * factor * success_rate
            / offered.max(POSITIVE_MIN)
    }
}
