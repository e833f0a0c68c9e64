//! Probing: active health checks before a call goes to a worker without recent contact, bounded by a budget and by
//! what probes were observed to gain.

use super::dispatch::OpenRequest;
use super::membership::QueueReport;
use super::statistics::*;
use super::{Balancer, TICK_INTERVAL};
use crate::api::*;

/// Age from which on the last contact with a worker, or its report, is out of date.
pub(super) const CONTACT_MAX_AGE: Micros = Micros(1_000_000);
/// How long a request waits for a probe; a worker that takes longer counts as busy.
pub(super) const PROBE_WAIT: Micros = Micros(10_000);
/// Silence after a probe that refuses a request, in latency objectives.
pub(super) const PROBE_SILENCE_OBJECTIVES: f64 = 0.1;
/// A request with less time left than this is not delayed by a probe: twice a probe's wait and the tick after it.
const PROBE_DEADLINE_MARGIN: Micros = multiplied(after(TICK_INTERVAL, PROBE_WAIT), 2);
/// Probes that one request waits for at most.
const PROBES_PER_REQUEST_MAX: usize = 4;
/// Probes allowed for each accepted request, and how many can be saved up.
const PROBE_TOKENS_PER_REQUEST: f64 = 1.5;
const PROBE_TOKENS_MAX: f64 = 5.0;
/// Gain of a probe assumed at first, as a fraction of a request's value.
const PROBE_GAIN_INITIAL: f64 = 0.05;
/// Weight of one probe in the mean gain.
const PROBE_GAIN_RATE: f64 = 0.05;
/// Fraction of the probes still sent while they gain less than their price, to observe a change.
const PROBE_EXPLORATION_FRACTION: f64 = 0.02;
/// CPU utilization from which on a queue is derived from it, and the queue per unit of utilization beyond that.
const CPU_QUEUE_THRESHOLD: f64 = 0.85;
const CPU_QUEUE_REQUESTS_PER_UNIT: f64 = 20.0;

/// The probe budget and what probes gain.
#[derive(Default)]
pub(super) struct Probing {
    tokens: f64,
    /// Mean gain of a probe, as a fraction of a request's value.
    gain: f64,
    /// Mean probability of a late response at the workers probed.
    late_probability: f64,
}

impl Probing {
    /// A full budget.
    pub(super) fn new() -> Self {
        Probing { tokens: PROBE_TOKENS_MAX, gain: PROBE_GAIN_INITIAL, ..Probing::default() }
    }

    /// Adds the tokens of one accepted request; fewer while probes gain less than `price`.
    pub(super) fn refill(&mut self, price: f64) {
        let fraction = if self.gain >= price { 1.0 } else { PROBE_EXPLORATION_FRACTION };
        self.tokens = (self.tokens + PROBE_TOKENS_PER_REQUEST * fraction).min(PROBE_TOKENS_MAX);
    }
}

impl Balancer {
    /// Has a request wait for a probe of a worker without recent contact: of many routers each meets a worker too
    /// seldom to know it by its own calls. Returns whether the request waits.
    pub(super) fn probe_first(&mut self, id: RequestId, worker_id: WorkerId, out: &mut Vec<Action>) -> bool {
        if !self.list_is_current() {
            return self.verify_first(id, worker_id, out);
        }
        let Some(open) = self.requests.open.get_mut(&id) else { return false };
        let Some(worker) = self.membership.workers.get_mut(&worker_id) else { return false };
        let is_urgent = since(open.deadline, self.now) <= PROBE_DEADLINE_MARGIN;
        let is_known = worker.last_contact.is_some_and(|time| since(self.now, time) < CONTACT_MAX_AGE)
            || worker.probe_sent_at.is_some_and(|sent| since(self.now, sent) >= PROBE_WAIT);
        // A suspect worker is probed whatever the budget: a call lost there costs more than any probe.
        let is_unaffordable = self.probing.tokens < 1.0 && !worker.is_suspect();
        let is_exhausted = open.probe_count >= PROBES_PER_REQUEST_MAX;
        if !self.settings.limits.probes || is_known || is_urgent || is_exhausted || is_unaffordable {
            return false;
        }
        open.probe_count += 1;
        if worker.probe_sent_at.is_none() {
            self.probing.tokens -= 1.0;
            worker.probe_sent_at = Some(self.now);
            out.push(Action::Probe { worker: worker_id });
        }
        worker.awaiting_probe.push(id);
        self.wait(id, after(self.now, PROBE_WAIT), out);
        true
    }

    /// Handles the result of a probe: records it and dispatches the requests that waited for it.
    pub(super) fn complete_probe(
        &mut self,
        id: WorkerId,
        outcome: Outcome,
        report: Option<Report>,
        out: &mut Vec<Action>,
    ) {
        if let Some(report) = report {
            self.record_report(id, report);
        }
        self.suspend_if_unlisted(id, outcome);
        let is_current = self.list_is_current();
        let Some(worker) = self.membership.workers.get_mut(&id) else { return };
        let waiting = std::mem::take(&mut worker.awaiting_probe);
        let is_healthy = matches!(outcome, Outcome::Ok | Outcome::Full);
        // Suspect workers, and all once the list is out of date, are probed in any case: that shows nothing of the gain
        // at the others.
        let learning_rate = if worker.is_suspect() || !is_current { 0.0 } else { PROBE_GAIN_RATE };
        let sent_at = worker.probe_sent_at.take();
        if is_healthy {
            worker.last_contact = Some(self.now);
            worker.verified_at = worker.verified_at.max(sent_at);
        } else {
            self.record_connection_failure(id);
        }
        for request in waiting {
            let Some(open) = self.requests.open.get(&request) else { continue };
            if open.is_closed || open.wait_until.is_none() {
                continue;
            }
            let probed = if is_healthy { self.late_probability(open, id) } else { Some(1.0) };
            let selected = self.select_worker(open).and_then(|worker| self.late_probability(open, worker));
            self.learn_probe_gain(probed.unwrap_or(0.0), selected, learning_rate);
            self.dispatch(request, out);
        }
    }

    /// Learns what a probe gained: the probability of a late response at the worker probed, less that at the worker
    /// selected now, which is the mean one if it is not known.
    fn learn_probe_gain(&mut self, probed: f64, selected: Option<f64>, learning_rate: f64) {
        let selected = selected.unwrap_or(self.probing.late_probability);
        update_mean(&mut self.probing.late_probability, probed, learning_rate);
        update_mean(&mut self.probing.gain, (probed - selected).max(0.0), learning_rate);
    }

    /// Probability of a late response at a worker with a recent report: the time left behind its queue in mean service
    /// times of the class, which are taken to be exponentially distributed.
    fn late_probability(&self, open: &OpenRequest, id: WorkerId) -> Option<f64> {
        let worker = self.membership.workers.get(&id)?;
        let report = worker.reported_queue?;
        if since(self.now, report.received_at) >= CONTACT_MAX_AGE {
            return None;
        }
        let objective_secs = to_secs(self.class(open).latency_objective);
        let remaining_secs = (1.0 - self.queue_delay(worker)).max(0.0) * objective_secs;
        Some((-remaining_secs / self.class_work(open).max(1e-3)).exp())
    }

    /// Records a worker's load report. Without a queue length, one is derived from the CPU utilization.
    pub(super) fn record_report(&mut self, worker: WorkerId, report: Report) {
        let Some(worker) = self.membership.workers.get_mut(&worker) else { return };
        let from_utilization =
            |utilization: f64| (utilization - CPU_QUEUE_THRESHOLD) * CPU_QUEUE_REQUESTS_PER_UNIT;
        if let Some(requests) = report.queue.or(report.util.map(from_utilization)) {
            worker.reported_queue = Some(QueueReport { received_at: self.now, requests: requests.max(0.0) });
        }
    }
}
