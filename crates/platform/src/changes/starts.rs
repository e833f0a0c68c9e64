//! Start times of workers. The log states them in Unix time, which may step; the router uses a monotonic
//! clock.

use slatevalve::{Micros, WorkerId};
use std::collections::{HashMap, HashSet};

/// Limit of the age of a start time that a difference reports for the first time: about the time that the log
/// takes to list a new worker. Without the limit, a cold worker would be treated as warm after a step of the
/// Unix clock.
const ANNOUNCED_AGE_MAX: Micros = Micros(5_000_000);

/// A start time as the log states it, and on the router's clock.
#[derive(Clone, Copy, Debug)]
struct Start {
    unix_ms: f64,
    at: Micros,
}

/// Start times of the workers in the list.
pub(super) struct StartTimes {
    /// Converts a Unix time in milliseconds to the router's clock, using the current reading of the Unix
    /// clock.
    at_unix_ms: Box<dyn Fn(f64) -> Micros>,
    /// Each start time is converted once: converting it again after a clock step would look like a restart.
    known: HashMap<WorkerId, Start>,
}

impl StartTimes {
    pub(super) fn new(at_unix_ms: Box<dyn Fn(f64) -> Micros>) -> Self {
        StartTimes { at_unix_ms, known: HashMap::new() }
    }

    /// Converts a start time from a complete list.
    pub(super) fn listed(&mut self, worker: WorkerId, unix_ms: f64) -> Micros {
        self.convert(worker, unix_ms, |at| at)
    }

    /// Converts a start time from a difference received at `now`. The result is not in the future, and if it
    /// is new at most [`ANNOUNCED_AGE_MAX`] ago.
    pub(super) fn announced(&mut self, now: Micros, worker: WorkerId, unix_ms: f64) -> Micros {
        let earliest = Micros(now.0.saturating_sub(ANNOUNCED_AGE_MAX.0));
        self.convert(worker, unix_ms, |at| at.clamp(earliest, now))
    }

    fn convert(&mut self, worker: WorkerId, unix_ms: f64, limit: impl Fn(Micros) -> Micros) -> Micros {
        let known = self.known.get(&worker).filter(|start| start.unix_ms == unix_ms);
        if let Some(start) = known {
            return start.at;
        }
        let at = limit((self.at_unix_ms)(unix_ms));
        self.known.insert(worker, Start { unix_ms, at });
        at
    }

    /// Removes a worker that is gone.
    pub(super) fn forget(&mut self, worker: WorkerId) {
        self.known.remove(&worker);
    }

    /// Removes all workers that a complete list does not contain.
    pub(super) fn retain(&mut self, listed_workers: &HashSet<WorkerId>) {
        self.known.retain(|worker, _| listed_workers.contains(worker));
    }
}
