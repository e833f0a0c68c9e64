//! The workers: the worker list, its updates, and the state kept for each worker.

use super::outlier::FailureRecord;
use super::statistics::since;
use super::Balancer;
use crate::api::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Requests for the list are repeated after the maximum interval of the rules divided by this.
const LIST_REQUESTS_PER_INTERVAL: i64 = 5;
/// Weights up to this are treated as invalid.
const WEIGHT_MIN: f64 = 1e-6;
/// Greater weights are reduced to this.
const WEIGHT_MAX: f64 = 1e6;

/// The queue length that a worker reported.
#[derive(Clone, Copy)]
pub(super) struct QueueReport {
    /// When the report was received.
    pub(super) received_at: Micros,
    /// Number of waiting requests; fractional if derived from the CPU utilization.
    pub(super) requests: f64,
}

/// Work sent to a worker by one attempt.
pub(super) struct SentWork {
    pub(super) sent_at: Micros,
    /// Mean work of the request's class, in seconds.
    pub(super) work_secs: f64,
}

/// List entry and observed state of one worker.
#[derive(Default)]
pub(super) struct Worker {
    pub(super) entry: WorkerEntry,
    /// Latest start of its process according to the list.
    pub(super) started_at: Option<Micros>,
    /// This router's attempts in flight at the worker, without those that wait for a load.
    pub(super) in_flight: usize,
    pub(super) connection_failures: FailureRecord,
    /// Failure records, by request class.
    pub(super) class_failures: Vec<FailureRecord>,
    /// When it last completed an attempt successfully.
    pub(super) last_success: Micros,
    /// Mean ratio of its latency to the service time of the functions called.
    pub(super) latency_ratio: f64,
    /// Load that the ring assigns to it, in units of a mean worker's load; computed only while some worker
    /// warms up, otherwise 0.
    pub(super) offered_load: f64,
    /// When a response of any kind was last received from it.
    pub(super) last_contact: Option<Micros>,
    pub(super) reported_queue: Option<QueueReport>,
    /// The process that responded last; `None` if nothing is known of it.
    pub(super) process: Option<ProcessInfo>,
    /// Send time of the latest probe or call whose response showed that the worker accepts new work.
    pub(super) verified_at: Option<Micros>,
    /// Send time of the latest call that it served.
    pub(super) served_at: Option<Micros>,
    /// When it last rejected a call, and a load request.
    pub(super) rejected_at: Option<Micros>,
    pub(super) load_rejected_at: Option<Micros>,
    /// When the probe in flight was sent; `None` if there is none.
    pub(super) probe_sent_at: Option<Micros>,
    /// Requests waiting for the probe in flight.
    pub(super) awaiting_probe: Vec<RequestId>,
    /// Work sent within the window of the slow-start budget, oldest first.
    pub(super) recent_work: VecDeque<SentWork>,
}

impl Worker {
    /// A worker without history, with an empty failure record for each class.
    pub(super) fn new(entry: WorkerEntry, class_count: usize) -> Self {
        let class_failures = vec![FailureRecord::default(); class_count];
        Worker { entry, latency_ratio: 1.0, class_failures, ..Worker::default() }
    }

    /// Adds work sent now and removes what is older than the window of the slow-start budget.
    pub(super) fn add_recent_work(&mut self, now: Micros, work_secs: f64, window: Micros) {
        self.recent_work.push_back(SentWork { sent_at: now, work_secs });
        // Entries are in order of time, so that only the oldest ones are checked: checking all would dominate
        // the cost of a call.
        while self.recent_work.front().is_some_and(|work| since(now, work.sent_at) > window) {
            self.recent_work.pop_front();
        }
    }

    /// Whether the worker accepts new work according to the worker list.
    pub(super) fn is_ready(&self) -> bool {
        self.entry.state == WorkerState::Ready
    }
}

/// The worker list and the subscription to it.
#[derive(Default)]
pub(super) struct Membership {
    pub(super) workers: BTreeMap<WorkerId, Worker>,
    /// Number of distinct zones of the workers.
    pub(super) zone_count: usize,
    /// Number of workers that accept new work; each has points on the ring.
    pub(super) ready_count: usize,
    /// The workers of each cell.
    pub(super) cells: BTreeMap<CellId, Vec<WorkerId>>,
    /// Whether updates of the list arrive without a request.
    subscribed: bool,
    /// When the list was last requested.
    requested_at: Option<Micros>,
}

impl Membership {
    /// Recomputes the counts over all workers.
    fn summarize(&mut self) {
        let zones = self.workers.values().map(|worker| worker.entry.zone.0);
        self.zone_count = zones.collect::<BTreeSet<_>>().len();
        self.ready_count = self.workers.values().filter(|worker| worker.is_ready()).count();
    }

    /// Removes a worker with its state.
    fn remove(&mut self, id: WorkerId) {
        if let Some(worker) = self.workers.remove(&id) {
            self.remove_from_cell(id, worker.entry.cell);
        }
    }

    /// Moves a worker to the cell that it is listed in.
    fn set_cell(&mut self, id: WorkerId, listed: CellId, before: Option<CellId>) {
        if before == Some(listed) {
            return;
        }
        if let Some(cell) = before {
            self.remove_from_cell(id, cell);
        }
        self.cells.entry(listed).or_default().push(id);
    }

    fn remove_from_cell(&mut self, id: WorkerId, cell: CellId) {
        let Some(peers) = self.cells.get_mut(&cell) else { return };
        peers.retain(|peer| *peer != id);
        if peers.is_empty() {
            self.cells.remove(&cell);
        }
    }
}

impl Balancer {
    /// Applies an update of the worker list. If the list was not available, the current one is kept.
    pub(super) fn update_membership(&mut self, listing: Listing) {
        // If the list has to be requested, a failed request or lost subscription is repeated later.
        self.membership.subscribed = matches!(listing.scope, Scope::Changes | Scope::Full);
        if listing.scope == Scope::Refused {
            return;
        }
        // Ring weights before the update, to find the workers whose points change.
        let mut changed: BTreeMap<WorkerId, Option<f64>> = BTreeMap::new();
        if listing.scope != Scope::Changes {
            self.remove_unlisted_workers(&listing.entries, &mut changed);
        }
        for entry in listing.entries {
            let before = self.current_ring_weight(entry.id);
            changed.entry(entry.id).or_insert(before);
            self.apply_entry(entry);
        }
        let workers = &self.membership.workers;
        let functions = self.placement.functions.values_mut();
        functions.for_each(|function| function.replicas.retain(|id, _| workers.contains_key(id)));
        self.recount_in_flight();
        self.slow_start.invalidate();
        self.refresh_weights();
        self.membership.summarize();
        changed.retain(|id, before| self.current_ring_weight(*id) != *before);
        self.update_ring(&changed);
        self.update_offered_load();
    }

    /// The weight of a worker on the ring; `None` if it has no points there.
    pub(super) fn current_ring_weight(&self, id: WorkerId) -> Option<f64> {
        self.membership.workers.get(&id).and_then(|worker| self.ring_weight(worker))
    }

    /// Removes the workers that a complete list does not contain; their weights are added to `changed`.
    fn remove_unlisted_workers(
        &mut self,
        entries: &[WorkerEntry],
        changed: &mut BTreeMap<WorkerId, Option<f64>>,
    ) {
        let listed: BTreeSet<WorkerId> = entries.iter().map(|entry| entry.id).collect();
        let unlisted = self.membership.workers.iter().filter(|(id, _)| !listed.contains(id));
        let removed: Vec<(WorkerId, Option<f64>)> =
            unlisted.map(|(id, worker)| (*id, self.ring_weight(worker))).collect();
        for (id, _) in &removed {
            self.end_listing(*id);
            self.membership.remove(*id);
        }
        changed.extend(removed);
    }

    fn apply_entry(&mut self, entry: WorkerEntry) {
        let id = entry.id;
        if entry.state == WorkerState::Gone {
            self.end_listing(id);
            self.membership.remove(id);
            return;
        }
        if self.membership.workers.get(&id).is_some_and(|worker| names_other_process(&worker.entry, &entry)) {
            self.end_listing(id);
        }
        let cell_before = self.membership.workers.get(&id).map(|worker| worker.entry.cell);
        self.membership.set_cell(id, entry.cell, cell_before);
        let class_count = self.settings.classes.len();
        let new_worker = || Worker::new(entry.clone(), class_count);
        let worker = self.membership.workers.entry(id).or_insert_with(new_worker);
        // A restart under the same id loses its copies and failure history; its probe in flight and its
        // slow-start budget are kept.
        if entry.up_since > worker.entry.up_since {
            let recent_work = std::mem::take(&mut worker.recent_work);
            let (started_at, probe_sent_at) = (worker.started_at, worker.probe_sent_at);
            *worker = Worker { recent_work, started_at, probe_sent_at, ..new_worker() };
            let functions = self.placement.functions.values_mut();
            functions.for_each(|function| function.replicas.retain(|other, _| *other != id));
        }
        worker.started_at = worker.started_at.max(entry.up_since);
        worker.entry = entry;
    }

    /// Records for the attempts at a worker that the list no longer names the process it named until now.
    fn end_listing(&mut self, id: WorkerId) {
        let Some(confirmed_as_of) = self.list_lease.confirmed_as_of() else { return };
        let attempts = self.requests.open.values_mut().flat_map(|open| &mut open.attempts);
        for attempt in attempts.filter(|attempt| attempt.worker == id) {
            attempt.last_listed.get_or_insert(confirmed_as_of);
        }
    }

    /// Recounts the attempts in flight at each worker, as workers may have been added or restarted.
    fn recount_in_flight(&mut self) {
        self.membership.workers.values_mut().for_each(|worker| worker.in_flight = 0);
        self.requests.in_flight = 0;
        for attempt in self.requests.open.values().flat_map(|open| &open.attempts) {
            if attempt.outcome.is_some() || attempt.waits_for_load {
                continue;
            }
            if let Some(worker) = self.membership.workers.get_mut(&attempt.worker) {
                worker.in_flight += 1;
                self.requests.in_flight += 1;
            }
        }
    }

    /// Whether the worker list has to be requested because no subscription delivers it.
    pub(super) fn needs_subscription(&self) -> bool {
        self.settings.requires_subscription && !self.membership.subscribed
    }

    /// Requests the worker list if that is needed and the minimum interval since the last request has passed.
    pub(super) fn subscribe_if_due(&mut self, out: &mut Vec<Action>) {
        let interval = self.settings.rules.subscription_interval.0 / LIST_REQUESTS_PER_INTERVAL;
        let is_due = self.membership.requested_at.is_none_or(|sent| since(self.now, sent).0 > interval);
        if self.needs_subscription() && is_due {
            self.membership.requested_at = Some(self.now);
            out.push(Action::Subscribe);
        }
    }

    /// The weight of a worker relative to others; 1 if the settings ignore weights or the weight is invalid.
    pub(super) fn weight(&self, worker: &Worker) -> f64 {
        let weight = worker.entry.weight;
        match self.settings.weights {
            Weights::Size if weight.is_finite() && weight > WEIGHT_MIN => weight.min(WEIGHT_MAX),
            _ => 1.0,
        }
    }
}

/// Whether two entries of one worker name different processes, or place its process differently.
fn names_other_process(before: &WorkerEntry, after: &WorkerEntry) -> bool {
    after.up_since > before.up_since || after.cell != before.cell || after.zone != before.zone
}
