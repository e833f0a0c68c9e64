//! Loading: load requests, their quota, and what is learned from their completion.

use super::membership::Worker;
use super::placement::*;
use super::statistics::*;
use super::{Balancer, TICK_INTERVAL};
use crate::api::*;
use std::collections::{BTreeMap, VecDeque};

/// Weight of one completed load request in the mean load time.
const LOAD_TIME_REQUEST_RATE: f64 = 0.2;
/// A load request that completes faster than this, in seconds, found its copies already loaded.
const ALREADY_LOADED_SECS: f64 = 0.06;
/// Limits of the ratio of one load's time to the function's mean load time.
const LOAD_TIME_INFLATION_MIN: f64 = 0.5;
const LOAD_TIME_INFLATION_MAX: f64 = 20.0;
/// Weight of one load in the mean inflation.
const LOAD_TIME_INFLATION_RATE: f64 = 0.2;
/// Minimum divisor of the mean over workers with pending loads: a single one may be stalled.
const LOAD_TIME_INFLATION_MIN_WORKERS: usize = 3;
/// Wait after a load request that found no room; doubled for each consecutive one, up to
/// `NO_ROOM_DOUBLINGS_MAX` times.
const NO_ROOM_DELAY_BASE: Micros = Micros(1_000_000);
const NO_ROOM_DOUBLINGS_MAX: u32 = 3;
/// Wait after a load request failed.
const LOAD_FAILED_DELAY: Micros = Micros(300_000);
/// Maximum number of copies in one load request.
const COPIES_MAX: u32 = 16;

impl Balancer {
    /// Requests copies of a function at a worker, if the worker accepts work, the quota allows it and no load
    /// request for the pair is in flight. Returns whether the request was sent.
    pub(super) fn request_load(
        &mut self,
        id: FunctionId,
        worker: WorkerId,
        copies: u32,
        out: &mut Vec<Action>,
    ) -> bool {
        let accepts_loads =
            |worker: &Worker| self.is_confirmed_ready(worker) && !self.has_rejected_loads(worker);
        let is_ready = self.membership.workers.get(&worker).is_some_and(accepts_loads);
        let Some(function) = self.placement.functions.get_mut(&id) else { return false };
        let replica = function.replicas.entry(worker).or_default();
        let is_pending = self.placement.pending_loads.contains(&(worker, id));
        if !self.settings.loading.load_requests
            || !is_ready
            || is_pending
            || self.now < replica.no_load_before
        {
            return false;
        }
        if !self.take_load_quota() {
            return false;
        }
        self.placement.pending_loads.insert((worker, id));
        let Some(function) = self.placement.functions.get_mut(&id) else { return false };
        let replica = function.replicas.entry(worker).or_default();
        replica.load_requested_at = Some(self.now);
        if replica.load_expected_at.is_none() {
            let expected = from_secs(function.load_time_secs * self.placement.load_time_inflation);
            replica.load_expected_at = Some(after(self.now, expected));
            self.placement.load_rate += LOAD_RATE_INCREMENT;
        }
        out.push(Action::Load { worker, function: id, copies: copies.clamp(1, COPIES_MAX) });
        true
    }

    /// Takes one load request from the quota; false if the quota of the window is used up.
    fn take_load_quota(&mut self) -> bool {
        if self.settings.loading.load_quota_window.0 <= 0 {
            return true;
        }
        self.prune_quota_window();
        let (now, loading) = (self.now, &self.settings.loading);
        let placement = &mut self.placement;
        let allowed =
            loading.load_quota_free + loading.load_quota_share * placement.request_times.len() as f64;
        if placement.load_request_times.len() as f64 + 1.0 > allowed {
            return false;
        }
        placement.load_request_times.push_back(now);
        true
    }

    /// Counts a request for the quota.
    pub(super) fn count_for_quota(&mut self) {
        if self.settings.loading.load_quota_window.0 > 0 {
            self.placement.request_times.push_back(self.now);
            self.prune_quota_window();
        }
    }

    /// Removes what is older than the window of the quota. Entries are in order of time, so that only the
    /// oldest ones are checked.
    fn prune_quota_window(&mut self) {
        let (now, window) = (self.now, self.settings.loading.load_quota_window);
        let has_ended = |time: &Micros| since(now, *time) > window;
        // Whether requests at the edge of the window count is ambiguous, so the last tick of the window is
        // left out.
        let is_at_edge = |time: &Micros| after(since(now, *time), TICK_INTERVAL) > window;
        remove_front_while(&mut self.placement.load_request_times, has_ended);
        remove_front_while(&mut self.placement.request_times, is_at_edge);
    }

    /// Prepares a function that is about to replace another (`replaced`): requests up to `limit` loads at the
    /// workers that its calls will be sent to.
    pub(super) fn preload(
        &mut self,
        id: FunctionId,
        replaced: FunctionId,
        limit: usize,
        out: &mut Vec<Action>,
    ) {
        let Some(old) = self.placement.functions.get(&replaced) else { return };
        let replica_count = self.replica_count(old);
        let new_function = Function {
            concurrency: old.concurrency,
            load_time_secs: old.load_time_secs,
            service_time_secs: old.service_time_secs,
            ..Function::default()
        };
        self.placement.functions.entry(id).or_insert(new_function);
        let mut remaining = limit;
        for worker in self.ring_candidates(id, replica_count) {
            let function = self.placement.functions.get(&id);
            let replica = function.and_then(|function| function.replicas.get(&worker));
            let is_loaded = replica.is_some_and(|replica| self.is_loaded(replica));
            if remaining > 0 && !is_loaded && self.request_load(id, worker, 1, out) {
                remaining -= 1;
            }
        }
    }

    /// Handles the completion of a load request.
    pub(super) fn complete_load(
        &mut self,
        worker: WorkerId,
        id: FunctionId,
        outcome: Outcome,
        copies: u32,
        latency: Micros,
    ) {
        let placement = &mut self.placement;
        placement.pending_loads.remove(&(worker, id));
        let Some(function) = placement.functions.get_mut(&id) else { return };
        let Some(replica) = function.replicas.get_mut(&worker) else { return };
        (replica.load_requested_at, replica.load_expected_at) = (None, None);
        match outcome {
            Outcome::Ok => {
                let was_known = replica.last_loaded.is_some();
                replica.last_loaded = Some(self.now);
                (replica.copies, replica.no_room_count) = (copies.max(1), 0);
                if !was_known {
                    self.learn_load_time(id, to_secs(latency));
                }
            }
            Outcome::Full => {
                if let Some(worker) = self.membership.workers.get_mut(&worker) {
                    worker.load_rejected_at = Some(self.now);
                }
                replica.copies = copies;
                let delay = multiplied(NO_ROOM_DELAY_BASE, 1 << replica.no_room_count);
                replica.no_load_before = after(self.now, delay);
                replica.no_room_count = (replica.no_room_count + 1).min(NO_ROOM_DOUBLINGS_MAX);
            }
            Outcome::Error | Outcome::TimedOut => {
                replica.no_load_before = after(self.now, LOAD_FAILED_DELAY);
            }
            _ => self.record_connection_failure(worker),
        }
    }

    /// Updates the mean load time after a successful load of copies that were not known to be loaded.
    fn learn_load_time(&mut self, id: FunctionId, latency_secs: f64) {
        let placement = &mut self.placement;
        let Some(function) = placement.functions.get_mut(&id) else { return };
        if latency_secs > ALREADY_LOADED_SECS {
            let ratio = (latency_secs / function.load_time_secs)
                .clamp(LOAD_TIME_INFLATION_MIN, LOAD_TIME_INFLATION_MAX);
            update_mean(&mut placement.load_time_inflation, ratio, LOAD_TIME_INFLATION_RATE);
        }
        let found = indicator(latency_secs < ALREADY_LOADED_SECS);
        update_mean(&mut placement.assumed_loaded_probability, found, ASSUMED_LOADED_RATE);
        let load_time = latency_secs.clamp(LOAD_TIME_MIN_SECS, LOAD_TIME_MAX_SECS);
        update_mean(&mut function.load_time_secs, load_time, LOAD_TIME_REQUEST_RATE);
    }

    /// Raises the load time inflation for loads that are pending for longer than usual, before the first one
    /// completes. Each worker counts once, by its lowest ratio of the pending time to the mean load time: it
    /// may be stalled.
    pub(super) fn update_load_time_inflation(&mut self) {
        let mut ratios: BTreeMap<WorkerId, f64> = BTreeMap::new();
        for (worker, id) in &self.placement.pending_loads {
            let Some(function) = self.placement.functions.get(id) else { continue };
            let replica = function.replicas.get(worker);
            let Some(sent_at) = replica.and_then(|replica| replica.load_requested_at) else { continue };
            let ratio = to_secs(since(self.now, sent_at)) / function.load_time_secs;
            ratios.entry(*worker).and_modify(|least| *least = least.min(ratio)).or_insert(ratio);
        }
        let mean = ratios.values().sum::<f64>() / ratios.len().max(LOAD_TIME_INFLATION_MIN_WORKERS) as f64;
        let inflation = &mut self.placement.load_time_inflation;
        *inflation = inflation.max(mean.min(LOAD_TIME_INFLATION_MAX));
    }
}

/// Removes entries from the front of a queue as long as they satisfy a predicate.
fn remove_front_while(times: &mut VecDeque<Micros>, is_removed: impl Fn(&Micros) -> bool) {
    while times.front().is_some_and(&is_removed) {
        times.pop_front();
    }
}

#[cfg(test)]
mod tests;
