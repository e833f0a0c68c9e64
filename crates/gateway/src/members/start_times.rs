//! Start times of workers on this process's clock, derived from the start times that workers report by their
//! own clocks.
//!
//! The clocks may differ. A worker whose clock is an hour ahead must not stay in slow start for an hour, and
//! a worker that restarted after its clock was set back must still be recognized as a new process.

use slatevalve::{Micros, WorkerId};
use std::collections::HashMap;

#[derive(Debug)]
struct KnownStart {
    /// The start time that the worker reported, in milliseconds of its Unix clock.
    reported_unix_ms: f64,
    /// The same start on this process's clock.
    start: Micros,
}

/// The last known start time of each worker; see the module's documentation.
#[derive(Debug, Default)]
pub struct WorkerStartTimes {
    known: HashMap<WorkerId, KnownStart>,
}

impl WorkerStartTimes {
    /// Returns a worker's start time on this process's clock. `reported_unix_ms` is the time that the worker
    /// reports, and `converted` is that time converted to this process's clock. The same reported time always
    /// gives the same result. A different one shows a new process, which started after the previous one and
    /// not after `now`; if `converted` is not between the two, the result is `now`.
    pub fn resolve(
        &mut self,
        now: Micros,
        worker: WorkerId,
        reported_unix_ms: f64,
        converted: Micros,
    ) -> Micros {
        let previous = self.known.get(&worker);
        if let Some(known) = previous.filter(|known| known.reported_unix_ms == reported_unix_ms) {
            return known.start;
        }
        let is_plausible = converted <= now && previous.is_none_or(|known| converted > known.start);
        let start = if is_plausible { converted } else { now };
        self.known.insert(worker, KnownStart { reported_unix_ms, start });
        start
    }

    /// Removes the workers for which `is_listed` returns false.
    pub fn retain(&mut self, is_listed: impl Fn(&WorkerId) -> bool) {
        self.known.retain(|worker, _| is_listed(worker));
    }
}

#[cfg(test)]
mod tests;
