//! Forwards events about workers, loads and routers to the balancer, and queries its view of replicas.

use super::Engine;
use crate::attempt::ProbeEnd;
use crate::names::function_id;
use crate::output::Output;
use slatevalve::{Event, FunctionId, Listing, Micros, Outcome, WorkerId};
use std::sync::Arc;

impl Engine {
    /// Handles a full worker list, or an update of it.
    pub fn workers_listed(&mut self, now: Micros, listing: Listing, out: &mut Vec<Output>) {
        self.advance_clock(now);
        self.dispatch(Event::WorkersListed(listing), out);
    }

    /// Handles the confirmation that the worker list is complete as of `as_of`. It may be acted on for `lease`
    /// from `now`.
    pub fn worker_list_confirmed(
        &mut self,
        now: Micros,
        as_of: Micros,
        lease: Micros,
        out: &mut Vec<Output>,
    ) {
        self.advance_clock(now);
        self.dispatch(Event::WorkerListConfirmed { as_of, lease }, out);
    }

    /// Handles a worker list of unknown age, which may be acted on for `lease`.
    pub fn worker_list_assumed(&mut self, now: Micros, lease: Micros, out: &mut Vec<Output>) {
        self.advance_clock(now);
        self.dispatch(Event::WorkerListAssumed { lease }, out);
    }

    /// Handles that the worker list may be out of date.
    pub fn worker_list_expired(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.advance_clock(now);
        self.dispatch(Event::WorkerListExpired, out);
    }

    /// Handles a change of the number of routers; `routers` includes this one.
    pub fn router_count_changed(&mut self, now: Micros, routers: usize, out: &mut Vec<Output>) {
        self.advance_clock(now);
        self.dispatch(Event::RouterCountChanged(routers), out);
    }

    /// Handles the end of a health check.
    pub fn probe_completed(&mut self, now: Micros, worker: WorkerId, end: ProbeEnd, out: &mut Vec<Output>) {
        self.advance_clock(now);
        let ProbeEnd { outcome, latency, report, process } = end;
        self.dispatch(Event::ProbeCompleted { worker, outcome, latency, report, process }, out);
    }

    /// Handles the end of a load request.
    #[allow(clippy::too_many_arguments)] // The fields of the balancer's event, one by one.
    pub fn load_completed(
        &mut self,
        now: Micros,
        worker: WorkerId,
        function: FunctionId,
        outcome: Outcome,
        copies: u32,
        latency: Micros,
        out: &mut Vec<Output>,
    ) {
        self.advance_clock(now);
        self.dispatch(Event::LoadCompleted { worker, function, outcome, copies, latency }, out);
    }

    /// Announces that calls of the function `name` will replace those of `replaced`, so that the balancer can
    /// load up to `max_replicas` replicas of it in advance. Returns the number of load requests appended to
    /// `out`.
    pub fn expect_load(
        &mut self,
        now: Micros,
        name: &Arc<str>,
        replaced: &str,
        max_replicas: usize,
        out: &mut Vec<Output>,
    ) -> usize {
        self.advance_clock(now);
        // Load requests look up the name, which is otherwise registered by the first call.
        let Ok(expected) = self.names.acquire(name) else { return 0 };
        self.names.release(expected);
        let outputs_before = out.len();
        let replaced = function_id(replaced);
        self.dispatch(Event::LoadExpected { function: expected, replaced, max_loads: max_replicas }, out);
        let is_load =
            |output: &&Output| matches!(output, Output::Load { function, .. } if *function == expected);
        out[outputs_before..].iter().filter(is_load).count()
    }

    /// Number of workers on which replicas of a function are known to be loaded.
    #[must_use]
    pub fn loaded_replicas(&self, name: &str) -> usize {
        self.balancer.loaded_replicas(function_id(name))
    }

    /// Number of workers to which the balancer assigns calls of a function; 0 for a function without calls.
    #[must_use]
    pub fn workers_serving(&self, name: &str) -> usize {
        self.balancer.workers_serving(function_id(name))
    }
}
