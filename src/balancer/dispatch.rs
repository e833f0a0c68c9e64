//! Dispatch: the open requests with their attempts, and the steps that lead from a request to its next
//! attempt.

use super::placement::Replica;
use super::probing::PROBE_SILENCE_OBJECTIVES;
use super::statistics::*;
use super::{Balancer, FINAL_ANSWER_MARGIN};
use crate::api::*;
use std::collections::BTreeMap;

/// Delay between a load request and the call that follows it, so that the call does not overtake it.
const SEND_AFTER_LOAD_REQUEST: Micros = Micros(4_000);
/// A request is refused if even the queue delay at the best worker exceeds its tolerated delay by this
/// factor.
const QUEUE_DELAY_TOLERANCE_FACTOR: f64 = 1.6;

/// One attempt of a request at a worker.
#[derive(Clone)]
pub(super) struct Attempt {
    pub(super) worker: WorkerId,
    pub(super) zone: ZoneId,
    pub(super) cell: CellId,
    pub(super) sent_at: Micros,
    /// When the first attempt was sent that could have run at the time of this one. The lifetime of an
    /// idempotency key counts from there, even if that attempt turns out later not to have run.
    pub(super) key_sent_at: Micros,
    /// The worker has to load the function first.
    pub(super) waits_for_load: bool,
    /// Sent on the assumption that other routers keep a copy loaded there.
    pub(super) assumed_loaded: bool,
    /// `None` while it is in flight.
    pub(super) outcome: Option<Outcome>,
    pub(super) is_cancelled: bool,
    /// The process that it was sent to; `None` while it is in flight.
    pub(super) process: Option<ProcessInfo>,
    /// When the list was last confirmed with the worker as it was at the time of the attempt; `None` while the
    /// list has it unchanged.
    pub(super) last_listed: Option<Micros>,
}

impl Attempt {
    /// Whether it may have run, as nothing proves the contrary.
    pub(super) fn could_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::proves_not_run)
    }
}

/// A request without a final response, or with attempts still in flight.
pub(super) struct OpenRequest {
    pub(super) request: Request,
    /// When the client gives up.
    pub(super) deadline: Micros,
    pub(super) attempts: Vec<Attempt>,
    /// The client has its final response, or disconnected.
    pub(super) is_closed: bool,
    /// A streamed response has begun.
    pub(super) is_streaming: bool,
    /// End of its wait for a probe or for a load request that must precede it.
    pub(super) wait_until: Option<Micros>,
    /// Number of probes that it waited for.
    pub(super) probe_count: usize,
}

impl OpenRequest {
    /// A request accepted at `now`, without attempts.
    pub(super) fn new(request: Request, now: Micros) -> Self {
        let deadline = after(now, request.budget);
        OpenRequest {
            request,
            deadline,
            attempts: Vec::new(),
            is_closed: false,
            is_streaming: false,
            wait_until: None,
            probe_count: 0,
        }
    }

    /// The attempts that could have run.
    pub(super) fn possible_runs(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.could_have_run())
    }

    /// Whether an attempt could have run.
    pub(super) fn could_have_run(&self) -> bool {
        self.possible_runs().next().is_some()
    }

    /// When the lifetime of the idempotency key began; `None` if no attempt could have run.
    pub(super) fn key_sent_at(&self) -> Option<Micros> {
        self.possible_runs().map(|attempt| attempt.key_sent_at).min()
    }

    /// Number of attempts in flight.
    pub(super) fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.outcome.is_none()).count()
    }

    /// Whether it has no final response yet, so that a further attempt is useful.
    pub(super) fn is_undecided(&self) -> bool {
        !self.is_closed && !self.is_streaming
    }

    /// Whether the deadline is so close that the request has to end now if nothing is in flight.
    pub(super) fn is_expiring(&self, now: Micros) -> bool {
        since(self.deadline, now) <= FINAL_ANSWER_MARGIN
    }
}

/// All open requests.
#[derive(Default)]
pub(super) struct OpenRequests {
    pub(super) open: BTreeMap<RequestId, OpenRequest>,
    /// Attempts in flight over all workers, without those that wait for loads.
    pub(super) in_flight: usize,
}

impl Balancer {
    /// Number of requests without a final response or with attempts in flight.
    pub fn open_requests(&self) -> usize {
        self.requests.open.len()
    }

    /// Marks that a streamed response has begun; no further attempt follows.
    pub(super) fn begin_streaming(&mut self, id: RequestId) {
        if let Some(open) = self.requests.open.get_mut(&id) {
            open.is_streaming = true;
        }
    }

    /// Sends an undecided request, delays it for a probe or load request, or leaves it for the next tick.
    pub(super) fn dispatch(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.requests.open.get(&id).filter(|open| open.is_undecided()) else { return };
        let function = self.placement.functions.get(&open.request.function);
        let misses_confirmed =
            function.is_none_or(|function| self.has_confirmed_misses(open, self.replica_count(function)));
        let Some(worker) = self.select_worker(open) else { return self.postpone(id, out) };
        if self.probe_first(id, worker, out) || self.delay_is_intolerable(id, worker, out) {
            return;
        }
        self.load_and_send(id, worker, misses_confirmed, out);
    }

    /// Leaves a request that no worker can take for the next tick, or ends it if the next tick would be too
    /// late.
    fn postpone(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.requests.open.get_mut(&id) else { return };
        if open.in_flight() == 0 && open.is_expiring(self.now) {
            self.finish_unserved(id, out);
        } else {
            open.wait_until = None;
        }
    }

    /// Delays or ends a request if the queue at the best worker is too long; returns whether it did. A
    /// missing probe response ends the request only after a fraction of the objective, and never at a worker
    /// without any contact, whose connection may still be in progress.
    fn delay_is_intolerable(&mut self, id: RequestId, worker: WorkerId, out: &mut Vec<Action>) -> bool {
        let Some(open) = self.requests.open.get(&id) else { return true };
        let Some(worker) = self.membership.workers.get(&worker) else { return false };
        if worker.last_contact.is_none() && worker.probe_sent_at.is_some() || !open.attempts.is_empty() {
            return false;
        }
        if self.queue_delay(worker) <= QUEUE_DELAY_TOLERANCE_FACTOR * self.delay_tolerance(open) {
            return false;
        }
        let objective_secs = to_secs(self.class(open).latency_objective);
        let silence = from_secs(PROBE_SILENCE_OBJECTIVES * objective_secs);
        let refuse_at = worker.probe_sent_at.map_or(self.now, |sent| after(sent, silence));
        if refuse_at > self.now {
            self.wait(id, refuse_at, out);
        } else {
            self.finish_unserved(id, out);
        }
        true
    }

    /// Requests a load if one is needed, then sends the request, or delays it until the load request has been
    /// sent.
    fn load_and_send(
        &mut self,
        id: RequestId,
        worker: WorkerId,
        misses_confirmed: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(open) = self.requests.open.get(&id) else { return };
        let function_id = open.request.function;
        let Some(function) = self.placement.functions.get(&function_id) else { return };
        let replica = function.replicas.get(&worker).cloned().unwrap_or_default();
        let concurrency = function.concurrency;
        let is_loaded = self.is_loaded(&replica);
        let can_serve = if misses_confirmed { is_loaded } else { self.is_likely_loaded(&replica) };
        let copies = replica.copies.max(1);
        let loads_on_request = self.settings.loading.on_request;
        let mut load_requested_at = replica.load_requested_at;
        if !can_serve && replica.load_expected_at.is_none() {
            if !loads_on_request && self.request_load(function_id, worker, 1, out) {
                load_requested_at = Some(self.now);
            }
        } else if is_loaded && replica.in_flight > concurrency * copies as usize {
            self.request_load(function_id, worker, copies + 1, out);
        }
        let is_new = |sent: &Micros| since(self.now, *sent) < SEND_AFTER_LOAD_REQUEST;
        match load_requested_at.filter(is_new).filter(|_| !can_serve && !loads_on_request) {
            Some(sent) => self.wait(id, after(sent, SEND_AFTER_LOAD_REQUEST), out),
            None => self.send(id, worker, out),
        }
    }

    /// Delays a request until `at`, with a timer whose token identifies it.
    pub(super) fn wait(&mut self, id: RequestId, at: Micros, out: &mut Vec<Action>) {
        if let Some(open) = self.requests.open.get_mut(&id) {
            open.wait_until = Some(at);
        }
        out.push(Action::Wake { at, token: id.0.wrapping_add(1) });
    }

    /// Dispatches a request whose timer has expired.
    pub(super) fn resume_waiting(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.requests.open.get(&id) else { return };
        if !open.is_closed && open.wait_until.is_some_and(|until| until <= self.now) {
            self.dispatch(id, out);
        }
    }

    /// Sends the next attempt of a request to the worker, if it is still allowed.
    fn send(&mut self, id: RequestId, worker_id: WorkerId, out: &mut Vec<Action>) {
        let Some(open) = self.requests.open.get(&id) else { return };
        let Some(worker) = self.membership.workers.get(&worker_id) else { return };
        if !self.can_send(open, worker_id, 1) || !self.is_confirmed_ready(worker) {
            return;
        }
        let process = self.process_limits(open);
        let send_before = self.key_expires_at(open);
        let (work_secs, function_id) = (self.class_work(open), open.request.function);
        let no_replica = Replica::default();
        let function = self.placement.functions.get(&function_id);
        let replica = function.and_then(|function| function.replicas.get(&worker_id)).unwrap_or(&no_replica);
        let waits_for_load = !self.is_likely_loaded(replica);
        let assumed_loaded =
            !self.is_loaded(replica) && !waits_for_load && replica.load_expected_at.is_none();
        self.add_replica_attempt(function_id, worker_id, waits_for_load);
        self.statistics.attempts.add(self.now, SHARE_WINDOW_SECS, 1.0);
        let Some(worker) = self.membership.workers.get_mut(&worker_id) else { return };
        worker.in_flight += usize::from(!waits_for_load);
        self.requests.in_flight += usize::from(!waits_for_load);
        worker.add_recent_work(self.now, work_secs, self.settings.rules.overload_window);
        let Some(open) = self.requests.open.get_mut(&id) else { return };
        open.wait_until = None;
        let key_sent_at = open.key_sent_at().unwrap_or(self.now);
        open.attempts.push(Attempt {
            worker: worker_id,
            zone: worker.entry.zone,
            cell: worker.entry.cell,
            sent_at: self.now,
            key_sent_at,
            waits_for_load,
            assumed_loaded,
            outcome: None,
            is_cancelled: false,
            process: None,
            last_listed: None,
        });
        out.push(Action::Send { id, worker: worker_id, timeout: None, process, send_before });
    }
}
