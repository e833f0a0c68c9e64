//! The load balancer: routes requests to workers over a consistent-hash ring, and decides which functions are
//! loaded where, when to retry and when to refuse.
//!
//! A function hashes onto a ring of virtual points. The first workers clockwise serve it, as many as its load
//! needs: one, its primary, unless it is hot. While the worker tried is busy, requests spill over to the next
//! distinct ones. The exceptions and their conditions are listed in `docs/design.md`. Each module holds one
//! concern with its constants and its part of the state; [`Balancer`] joins the parts, and
//! [`Balancer::handle`] is the entry point for all events.

mod admission;
mod completion;
mod dispatch;
mod hash_ring;
mod list_lease;
mod loading;
mod membership;
mod outlier;
mod placement;
mod probing;
mod process_identity;
mod retry;
mod selection;
mod slow_start;
mod statistics;

use crate::api::*;
use admission::Admission;
use dispatch::OpenRequests;
use hash_ring::HashRing;
use list_lease::ListLease;
use membership::Membership;
use outlier::FailureRecord;
use placement::Placement;
use probing::Probing;
use retry::RetryBudget;
use slow_start::SlowStart;
use statistics::{after, multiplied, since, TrafficStatistics};

/// Interval of the periodic work while requests are open.
const TICK_INTERVAL: Micros = Micros(20_000);
/// A request with nothing in flight ends this long before its deadline: the next tick could come too late.
const FINAL_ANSWER_MARGIN: Micros = multiplied(TICK_INTERVAL, 2);
/// A tick delayed by more than this shows that the router's own process was paused.
const PROCESS_PAUSE_THRESHOLD: Micros = Micros(150_000);

/// One router's load balancer. It performs no I/O: [`Balancer::handle`] takes an event and the time, and
/// returns actions. Equal settings, seeds and events lead to equal actions.
#[derive(Default)]
pub struct Balancer {
    settings: Settings,
    /// Time of the current event, never decreasing.
    now: Micros,
    /// Seed of hashes that differ between routers, so that routers spread over the workers.
    hash_seed: u64,
    /// When the next tick is due, if one is scheduled.
    next_tick: Option<Micros>,
    /// When the process last resumed after a pause. Latencies of older attempts include the pause, so they
    /// are not attributed to the workers.
    resumed_at: Micros,
    membership: Membership,
    list_lease: ListLease,
    hash_ring: HashRing,
    slow_start: SlowStart,
    placement: Placement,
    requests: OpenRequests,
    statistics: TrafficStatistics,
    admission: Admission,
    retry: RetryBudget,
    probing: Probing,
    /// Used for requests of a class that the settings lack; the default class is non-idempotent, the safest
    /// assumption.
    unknown_class: Class,
}

impl Balancer {
    /// A balancer without workers. Routers of one tier differ in `seed`.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Balancer {
            hash_seed: seed,
            placement: Placement::new(settings.routers),
            statistics: TrafficStatistics::new(&settings),
            admission: Admission::new(settings.tenants.len()),
            retry: RetryBudget::new(),
            probing: Probing::new(),
            settings,
            ..Balancer::default()
        }
    }

    /// Replaces the settings while requests are open. Classes and tenants keep their state by index; open
    /// requests follow the new settings of their class. The number of routers stays, as it has an event of
    /// its own. If the meaning of weights changes, a complete worker list has to follow.
    pub fn update_settings(&mut self, settings: Settings) {
        let class_count = settings.classes.len();
        let new_work = TrafficStatistics::new(&settings).class_work_secs;
        let class_work = &mut self.statistics.class_work_secs;
        class_work.extend(new_work.into_iter().skip(class_work.len()));
        class_work.truncate(class_count);
        self.admission.resize(settings.tenants.len());
        for worker in self.membership.workers.values_mut() {
            worker.class_failures.resize(class_count, FailureRecord::default());
        }
        if settings.weights != self.settings.weights {
            self.hash_ring.invalidate();
        }
        self.settings = Settings { routers: self.settings.routers, ..settings };
        self.slow_start.invalidate();
    }

    /// Handles one event and appends the actions to be executed, in order. A time before that of an earlier
    /// event counts as equal to it.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.advance(now);
        match event {
            Event::Request(request) => self.accept_request(request, out),
            Event::Answer(answer) => self.complete_attempt(answer, out),
            Event::Streaming { id, .. } => self.begin_streaming(id),
            Event::ClientDisconnected { id } => self.disconnect(id, out),
            Event::WorkersListed(listing) => self.update_membership(listing),
            Event::WorkerListConfirmed { as_of, lease } => self.confirm_list(as_of, lease),
            Event::WorkerListAssumed { lease } => self.assume_list(lease),
            Event::WorkerListExpired => self.expire_list(),
            Event::ProbeCompleted { worker, outcome, report, process, .. } => {
                self.record_process(worker, process);
                self.complete_probe(worker, outcome, report, out);
            }
            Event::LoadCompleted { worker, function, outcome, copies, latency } => {
                self.complete_load(worker, function, outcome, copies, latency);
            }
            Event::RouterCountChanged(routers) => self.update_router_count(routers),
            Event::LoadExpected { function, replaced, max_loads } => {
                self.preload(function, replaced, max_loads, out)
            }
            Event::Wake { token: 0 } => self.tick(out),
            Event::Wake { token } => self.resume_waiting(RequestId(token - 1), out),
        }
        self.subscribe_if_due(out);
        self.schedule_tick(out);
    }

    /// Sets the current time and updates the state that depends on time alone.
    fn advance(&mut self, now: Micros) {
        self.now = self.now.max(now);
        self.admission.start(self.now);
        if self.next_tick.is_some_and(|due| since(self.now, due) > PROCESS_PAUSE_THRESHOLD) {
            self.resume();
        }
        self.refresh_weights();
    }

    /// Restarts the timing of ticks and probes after a pause of the process and records when it ended, so
    /// that neither missing responses nor latencies that include the pause count against the workers.
    fn resume(&mut self) {
        self.resumed_at = self.now;
        self.next_tick = Some(self.now);
        for worker in self.membership.workers.values_mut() {
            worker.probe_sent_at = worker.probe_sent_at.map(|_| self.now);
        }
    }

    /// Runs the periodic work.
    fn tick(&mut self, out: &mut Vec<Action>) {
        self.next_tick = None;
        self.update_load_time_inflation();
        self.process_due_requests(out);
    }

    /// Schedules the next tick if none is scheduled and there is something to wait for.
    fn schedule_tick(&mut self, out: &mut Vec<Action>) {
        let is_needed = self.needs_subscription() || !self.requests.open.is_empty();
        if self.next_tick.is_none() && is_needed {
            let at = after(self.now, TICK_INTERVAL);
            self.next_tick = Some(at);
            out.push(Action::Wake { at, token: 0 });
        }
    }
}
