//! Probing: active health checks before a call is sent to a worker without recent contact, limited by a
//! budget and by the observed gain of probes.

use super::dispatch::OpenRequest;
use super::membership::QueueReport;
use super::statistics::*;
use super::{Balancer, TICK_INTERVAL};
use crate::api::*;

/// Age from which on the last contact with a worker or its load report is out of date.
pub(super) const CONTACT_MAX_AGE: Micros = Micros(1_000_000);
/// How long a request waits for a probe; a worker that takes longer counts as busy.
pub(super) const PROBE_WAIT: Micros = Micros(10_000);
/// Time without a probe response after which a request is refused, in latency objectives.
pub(super) const PROBE_SILENCE_OBJECTIVES: f64 = 0.1;
/// A request with no more time left than this is not delayed by a probe: twice the sum of the wait for a
/// probe and the tick that follows it.
const PROBE_DEADLINE_MARGIN: Micros = multiplied(after(TICK_INTERVAL, PROBE_WAIT), 2);
/// Maximum number of probes that one request waits for.
const PROBES_PER_REQUEST_MAX: usize = 4;
/// Probes allowed for each accepted request, and how many can be saved up.
const PROBE_TOKENS_PER_REQUEST: f64 = 1.5;
const PROBE_TOKENS_MAX: f64 = 5.0;
/// Initial estimate of the gain of a probe, as a fraction of a request's value.
const PROBE_GAIN_INITIAL: f64 = 0.05;
/// Weight of one probe in the mean gain.
const PROBE_GAIN_RATE: f64 = 0.05;
/// Fraction of the probes still sent while their gain is below their price, to detect a change.
const PROBE_EXPLORATION_FRACTION: f64 = 0.02;
/// CPU utilization from which on a queue is derived from it, and the queue per unit of utilization beyond
/// that.
const CPU_QUEUE_THRESHOLD: f64 = 0.85;
const CPU_QUEUE_REQUESTS_PER_UNIT: f64 = 20.0;

/// The probe budget and the estimated gain of probes.
#[derive(Default)]
pub(super) struct Probing {
    tokens: f64,
    /// Mean gain of a probe, as a fraction of a request's value.
    gain: f64,
    /// Mean probability of a late response at the workers probed.
    late_probability: f64,
}

impl Probing {
    /// Starts with a full budget.
    pub(super) fn new() -> Self {
        Probing { tokens: PROBE_TOKENS_MAX, gain: PROBE_GAIN_INITIAL, ..Probing::default() }
    }

    /// Adds the tokens of one accepted request; fewer while the gain of a probe is below `price`.
    pub(super) fn refill(&mut self, price: f64) {
        let fraction = if self.gain >= price { 1.0 } else { PROBE_EXPLORATION_FRACTION };
        self.tokens = (self.tokens + PROBE_TOKENS_PER_REQUEST * fraction).min(PROBE_TOKENS_MAX);
    }
}

impl Balancer {
    /// Delays a request until a worker without recent contact was probed: with many routers, each one calls a
    /// worker too seldom to learn its state from calls alone. Returns whether the request waits.
    pub(super) fn probe_first(&mut self, id: RequestId, worker_id: WorkerId, out: &mut Vec<Action>) -> bool {
        if !self.list_is_current() {
            return self.verify_first(id, worker_id, out);
        }
        let Some(open) = self.requests.open.get_mut(&id) else { return false };
        let Some(worker) = self.membership.workers.get_mut(&worker_id) else { return false };
        let is_urgent = since(open.deadline, self.now) <= PROBE_DEADLINE_MARGIN;
        let is_known = worker.last_contact.is_some_and(|time| since(self.now, time) < CONTACT_MAX_AGE)
            || worker.probe_sent_at.is_some_and(|sent| since(self.now, sent) >= PROBE_WAIT);
        // A suspect worker is probed regardless of the budget: a lost call costs more than any probe.
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

    /// Records the result of a probe and dispatches the requests that waited for it.
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
        self.suspend_if_list_expired(id, outcome);
        let is_current = self.list_is_current();
        let Some(worker) = self.membership.workers.get_mut(&id) else { return };
        let waiting = std::mem::take(&mut worker.awaiting_probe);
        let is_healthy = matches!(outcome, Outcome::Ok | Outcome::Full);
        // Suspect workers are always probed, as are all workers while the list is out of date. Such probes
        // give no estimate of the gain at other workers.
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

    /// Updates the mean gain of probes. The gain is the probability of a late response at the worker probed,
    /// minus that at the worker selected now; if the latter is not known, the mean probability is used.
    fn learn_probe_gain(&mut self, probed: f64, selected: Option<f64>, learning_rate: f64) {
        let selected = selected.unwrap_or(self.probing.late_probability);
        update_mean(&mut self.probing.late_probability, probed, learning_rate);
        update_mean(&mut self.probing.gain, (probed - selected).max(0.0), learning_rate);
    }

    /// Probability of a late response at a worker with a recent report: that the service time exceeds the
    /// part of the objective left after the queue delay. Service times are assumed to be exponentially
    /// distributed with the mean work of the class.
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
