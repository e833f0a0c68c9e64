//! Start times of workers by this process's clock, derived from those that workers report by theirs.
//!
//! The clocks may differ. A worker whose clock is an hour ahead must not be in slow start for an hour, and a worker that
//! restarted with its clock set back must still be recognized as a new process.

use slatevalve::{Micros, WorkerId};
use std::collections::HashMap;

#[derive(Debug)]
struct KnownStart {
    /// As reported by the worker, in milliseconds of the Unix clock.
    reported_unix_ms: f64,
    start: Micros,
}

/// The last start time of each worker; see the module's documentation.
#[derive(Debug, Default)]
pub struct WorkerStartTimes {
    known: HashMap<WorkerId, KnownStart>,
}

impl WorkerStartTimes {
    /// Returns the start time of a worker that reports a Unix time in milliseconds, which is `converted` by this process's
    /// clock. The same report gives the same time again; another one is a new process, which started later than the one
    /// before and not later than now.
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

    /// Removes workers that are not listed any more.
    pub fn retain(&mut self, is_listed: impl Fn(&WorkerId) -> bool) {
        self.known.retain(|worker, _| is_listed(worker));
    }
}

#[cfg(test)]
mod tests;
