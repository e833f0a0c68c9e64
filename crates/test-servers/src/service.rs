//! What a stand-in worker can do at a time: lanes, a queue, copies in memory, loads, and the ramp after a cold
//! start. Plain state driven by the worker's loop, in microseconds of the Unix clock.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// A worker's size and speed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServicePlan {
    /// Calls that run at a time when warm.
    pub lanes: usize,
    /// Calls that may wait.
    pub queue: usize,
    /// Copies that fit into memory.
    pub copies: usize,
    /// Time of a load.
    pub load_us: i64,
    /// Work of a call whose payload states none.
    pub work_us: i64,
    /// Whether a call for a function that is not loaded loads it and waits; else it is a miss.
    pub load_on_call: bool,
    /// Share of the capacity right after a cold start.
    pub start_capacity: f64,
    /// Time until a started worker is warm.
    pub warm_us: i64,
    /// Functions loaded from the start.
    pub preloaded: Vec<String>,
}

impl Default for ServicePlan {
    fn default() -> Self {
        ServicePlan {
            lanes: 4,
            queue: 32,
            copies: 16,
            load_us: 100_000,
            work_us: 5_000,
            load_on_call: false,
            start_capacity: 0.2,
            warm_us: 3_000_000,
            preloaded: Vec::new(),
        }
    }
}

/// What a call's payload tells the stand-in: `call=NAME work-us=N`, both optional, then anything.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallBody {
    /// The call's name in the trace.
    pub call: Option<String>,
    /// Microseconds of work on a warm lane.
    pub work_us: Option<i64>,
}

impl CallBody {
    /// Reads a payload.
    pub fn read(payload: &[u8]) -> Self {
        let text = String::from_utf8_lossy(&payload[..payload.len().min(256)]);
        let field =
            |name: &str| text.split_whitespace().find_map(|w| w.strip_prefix(name)).map(str::to_string);
        let work_us = field("work-us=").and_then(|w| w.parse().ok()).filter(|w| (0..60_000_000).contains(w));
        CallBody { call: field("call="), work_us }
    }

    /// A payload that says so.
    pub fn write(call: &str, work_us: i64) -> Vec<u8> {
        format!("call={call} work-us={work_us}").into_bytes()
    }
}

/// Whether and when a call runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Taken {
    /// It runs, and ends at this time.
    Until(i64),
    /// It waits.
    Waiting,
    /// No room.
    Full,
    /// The function is not loaded.
    Miss,
}

/// The state behind a plan. Calls are known by the caller's number.
#[derive(Debug)]
pub(crate) struct Service {
    plan: ServicePlan,
    started_us: i64,
    cold: bool,
    running: usize,
    waiting: VecDeque<(u64, String, i64)>,
    /// Copies by function, with when a load under way is done.
    copies: BTreeMap<String, (u32, i64)>,
    /// Loads that began and were not noted yet.
    fetched: Vec<String>,
}

impl Service {
    pub(crate) fn new(plan: ServicePlan, now_us: i64, cold: bool) -> Self {
        let preloaded = if cold { Vec::new() } else { plan.preloaded.clone() };
        let copies = preloaded.into_iter().map(|f| (f, (1, now_us))).collect();
        let waiting = VecDeque::new();
        Service { plan, started_us: now_us, cold, running: 0, waiting, copies, fetched: Vec::new() }
    }

    pub(crate) fn plan(&self) -> &ServicePlan {
        &self.plan
    }

    pub(crate) fn restart(&mut self, now_us: i64) {
        (self.started_us, self.cold) = (now_us, true);
        self.flush();
    }

    pub(crate) fn flush(&mut self) {
        self.copies.clear();
    }

    /// Its capacity at a time, as a share of the full one.
    fn capacity(&self, now_us: i64) -> f64 {
        if !self.cold {
            return 1.0;
        }
        let part = (now_us - self.started_us) as f64 / self.plan.warm_us.max(1) as f64;
        self.plan.start_capacity + (1.0 - self.plan.start_capacity) * part.clamp(0.0, 1.0)
    }

    pub(crate) fn stands(&self, function: &str, now_us: i64) -> u32 {
        self.copies.get(function).filter(|c| c.1 <= now_us).map_or(0, |c| c.0)
    }

    /// Calls of a function that wait.
    pub(crate) fn queue_depth(&self, function: &str) -> u64 {
        self.waiting.iter().filter(|w| w.1 == function).count() as u64
    }

    pub(crate) fn queue(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn running(&self) -> usize {
        self.running
    }

    /// Begins or queues a call.
    pub(crate) fn take(
        &mut self,
        number: u64,
        function: &str,
        work_us: i64,
        now_us: i64,
        slow: f64,
        load: f64,
    ) -> Taken {
        match self.copies.get(function) {
            Some((_, ready)) if *ready <= now_us => {}
            // Behind a load under way a call waits.
            Some(_) => return self.wait(number, function, work_us),
            None if self.plan.load_on_call => {
                return match self.order(function, 1, now_us, load) {
                    Some(_) => self.wait(number, function, work_us),
                    None => Taken::Full,
                };
            }
            None => return Taken::Miss,
        }
        if self.running >= self.plan.lanes {
            return self.wait(number, function, work_us);
        }
        self.running += 1;
        Taken::Until(self.end(work_us, now_us, slow))
    }

    fn wait(&mut self, number: u64, function: &str, work_us: i64) -> Taken {
        if self.waiting.len() >= self.plan.queue {
            return Taken::Full;
        }
        self.waiting.push_back((number, function.into(), work_us));
        Taken::Waiting
    }

    fn end(&self, work_us: i64, now_us: i64, slow: f64) -> i64 {
        now_us + (work_us as f64 * slow / self.capacity(now_us)) as i64
    }

    /// A call ended.
    pub(crate) fn ended(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// The client side of a waiting call is gone.
    pub(crate) fn withdraw(&mut self, number: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|w| w.0 != number);
        before != self.waiting.len()
    }

    /// The next waiting call that can begin, and when it ends.
    pub(crate) fn begin(&mut self, now_us: i64, slow: f64) -> Option<(u64, i64)> {
        if self.running >= self.plan.lanes {
            return None;
        }
        let at = self.waiting.iter().position(|w| self.stands(&w.1, now_us) > 0)?;
        let (number, _, work_us) = self.waiting.remove(at)?;
        self.running += 1;
        Some((number, self.end(work_us, now_us, slow)))
    }

    /// Orders copies held; gives when they stand, or nothing where there is no room.
    pub(crate) fn order(&mut self, function: &str, copies: u32, now_us: i64, load: f64) -> Option<i64> {
        if let Some((have, ready)) = self.copies.get_mut(function) {
            if copies <= *have {
                return Some((*ready).max(now_us));
            }
        }
        let others: u32 = self.copies.iter().filter(|c| c.0 != function).map(|c| c.1 .0).sum();
        if others as usize + copies as usize > self.plan.copies {
            return None;
        }
        let ready = now_us + (self.plan.load_us as f64 * load) as i64;
        self.copies.insert(function.into(), (copies, ready));
        self.fetched.push(function.into());
        Some(ready)
    }

    /// Functions whose load began since the last time.
    pub(crate) fn take_fetched(&mut self) -> Vec<String> {
        std::mem::take(&mut self.fetched)
    }

    pub(crate) fn unload(&mut self, function: &str) {
        self.copies.remove(function);
    }

    /// When a load under way is done.
    pub(crate) fn next_ready(&self, now_us: i64) -> Option<i64> {
        self.copies.values().map(|c| c.1).filter(|at| *at > now_us).min()
    }
}
