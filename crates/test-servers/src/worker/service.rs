//! The capacity of a test worker: concurrency, queue, loaded copies, loads, and the slow start after a
//! restart. It does no I/O; times are microseconds of the Unix clock.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The capacity of a worker; `serde` attributes keep the JSON names of the plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServicePlan {
    /// The number of calls that run at the same time.
    #[serde(rename = "lanes")]
    pub concurrency: usize,
    /// The largest number of waiting calls.
    pub queue: usize,
    /// The largest number of loaded copies, of all functions.
    pub copies: usize,
    /// The duration of a load without faults, in microseconds.
    pub load_us: i64,
    /// The work of a call whose payload states none, in microseconds.
    pub work_us: i64,
    /// Whether a call for a function that is not loaded loads it and waits; otherwise the call is a miss.
    pub load_on_call: bool,
    /// The share of the full capacity at the beginning of the slow start, from 0 to 1.
    pub start_capacity: f64,
    /// The duration of the slow start after a restart, in microseconds; the capacity rises linearly.
    #[serde(rename = "warm_us")]
    pub slow_start_us: i64,
    /// Functions that are loaded at the start, except after a restart.
    pub preloaded: Vec<String>,
}

impl Default for ServicePlan {
    fn default() -> Self {
        ServicePlan {
            concurrency: 4,
            queue: 32,
            copies: 16,
            load_us: 100_000,
            work_us: 5_000,
            load_on_call: false,
            start_capacity: 0.2,
            slow_start_us: 3_000_000,
            preloaded: Vec::new(),
        }
    }
}

/// A call that is submitted to the service.
pub(super) struct SubmittedCall<'a> {
    /// The number by which the caller identifies the call.
    pub(super) number: u64,
    pub(super) function: &'a str,
    /// Work at full capacity, in microseconds.
    pub(super) work_us: i64,
}

/// The factors by which faults slow the service down.
#[derive(Clone, Copy)]
pub(super) struct Slowdown {
    pub(super) work: f64,
    pub(super) load: f64,
}

/// The result of a submitted call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// The call runs until this time, in microseconds of the Unix clock.
    RunsUntil(i64),
    /// The call waits for capacity or for a load.
    Queued,
    /// The queue or the memory is full.
    Full,
    /// The function is not loaded.
    Miss,
}

#[derive(Debug)]
struct QueuedCall {
    number: u64,
    function: String,
    work_us: i64,
}

/// The copies of one function.
#[derive(Clone, Copy, Debug)]
struct Copies {
    count: u32,
    /// The time at which the load ends.
    ready_us: i64,
}

#[derive(Debug)]
pub(super) struct Service {
    plan: ServicePlan,
    /// The start of the slow start; none for a worker without one.
    slow_start_from_us: Option<i64>,
    running: usize,
    queue: VecDeque<QueuedCall>,
    /// Loaded and loading copies, by function.
    copies: BTreeMap<String, Copies>,
    /// Functions whose load began since [`Service::take_fetched`].
    fetched: Vec<String>,
}

impl Service {
    /// Creates a service; after a restart it begins with a slow start and without loaded functions.
    pub(super) fn new(plan: ServicePlan, now_us: i64, is_restart: bool) -> Self {
        let preloaded = if is_restart { Vec::new() } else { plan.preloaded.clone() };
        let copies = preloaded.into_iter().map(|function| (function, Copies { count: 1, ready_us: now_us }));
        Service {
            plan,
            slow_start_from_us: is_restart.then_some(now_us),
            running: 0,
            queue: VecDeque::new(),
            copies: copies.collect(),
            fetched: Vec::new(),
        }
    }

    pub(super) fn plan(&self) -> &ServicePlan {
        &self.plan
    }

    /// Unloads all copies and begins a slow start.
    pub(super) fn restart(&mut self, now_us: i64) {
        self.slow_start_from_us = Some(now_us);
        self.flush();
    }

    /// Unloads all copies.
    pub(super) fn flush(&mut self) {
        self.copies.clear();
    }

    /// The capacity at a time, as a share of the full one.
    fn capacity(&self, now_us: i64) -> f64 {
        let Some(from_us) = self.slow_start_from_us else { return 1.0 };
        let progress = (now_us - from_us) as f64 / self.plan.slow_start_us.max(1) as f64;
        self.plan.start_capacity + (1.0 - self.plan.start_capacity) * progress.clamp(0.0, 1.0)
    }

    /// The number of loaded copies of a function; 0 while they are loading.
    pub(super) fn loaded_copies(&self, function: &str, now_us: i64) -> u32 {
        self.copies.get(function).filter(|copies| copies.ready_us <= now_us).map_or(0, |copies| copies.count)
    }

    /// The number of waiting calls of a function.
    pub(super) fn queue_depth(&self, function: &str) -> u64 {
        self.queue.iter().filter(|call| call.function == function).count() as u64
    }

    /// The number of all waiting calls.
    pub(super) fn queue_len(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn running(&self) -> usize {
        self.running
    }

    /// Starts, queues or refuses a call.
    pub(super) fn submit(&mut self, call: &SubmittedCall, now_us: i64, slowdown: Slowdown) -> Admission {
        match self.copies.get(call.function) {
            Some(copies) if copies.ready_us <= now_us => {}
            // The call waits for the load in progress.
            Some(_) => return self.enqueue(call),
            None if self.plan.load_on_call => {
                return match self.load(call.function, 1, now_us, slowdown.load) {
                    Some(_) => self.enqueue(call),
                    None => Admission::Full,
                };
            }
            None => return Admission::Miss,
        }
        if self.running >= self.plan.concurrency {
            return self.enqueue(call);
        }
        self.running += 1;
        Admission::RunsUntil(self.completion_us(call.work_us, now_us, slowdown.work))
    }

    fn enqueue(&mut self, call: &SubmittedCall) -> Admission {
        if self.queue.len() >= self.plan.queue {
            return Admission::Full;
        }
        let function = call.function.into();
        self.queue.push_back(QueuedCall { number: call.number, function, work_us: call.work_us });
        Admission::Queued
    }

    fn completion_us(&self, work_us: i64, now_us: i64, work_factor: f64) -> i64 {
        now_us + (work_us as f64 * work_factor / self.capacity(now_us)) as i64
    }

    /// Releases the capacity of a call that completed.
    pub(super) fn complete(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Removes a call from the queue; returns whether it was queued.
    pub(super) fn cancel(&mut self, number: u64) -> bool {
        let before = self.queue.len();
        self.queue.retain(|call| call.number != number);
        before != self.queue.len()
    }

    /// Starts the next waiting call whose function is loaded; returns its number and the time of its
    /// completion.
    pub(super) fn start_next(&mut self, now_us: i64, work_factor: f64) -> Option<(u64, i64)> {
        if self.running >= self.plan.concurrency {
            return None;
        }
        let position = self.queue.iter().position(|call| self.loaded_copies(&call.function, now_us) > 0)?;
        let call = self.queue.remove(position)?;
        self.running += 1;
        Some((call.number, self.completion_us(call.work_us, now_us, work_factor)))
    }

    /// Loads copies of a function unless at least as many are present. Returns the time at which they are
    /// loaded, or none where memory is full.
    pub(super) fn load(&mut self, function: &str, count: u32, now_us: i64, load_factor: f64) -> Option<i64> {
        if let Some(copies) = self.copies.get(function).filter(|copies| count <= copies.count) {
            return Some(copies.ready_us.max(now_us));
        }
        let others = self.copies.iter().filter(|(name, _)| *name != function);
        let others: u32 = others.map(|(_, copies)| copies.count).sum();
        if others as usize + count as usize > self.plan.copies {
            return None;
        }
        let ready_us = now_us + (self.plan.load_us as f64 * load_factor) as i64;
        self.copies.insert(function.into(), Copies { count, ready_us });
        self.fetched.push(function.into());
        Some(ready_us)
    }

    /// Functions whose load began since the last call.
    pub(super) fn take_fetched(&mut self) -> Vec<String> {
        std::mem::take(&mut self.fetched)
    }

    pub(super) fn unload(&mut self, function: &str) {
        self.copies.remove(function);
    }

    /// The time at which the next load in progress ends.
    pub(super) fn next_ready_us(&self, now_us: i64) -> Option<i64> {
        self.copies.values().map(|copies| copies.ready_us).filter(|ready_us| *ready_us > now_us).min()
    }
}
