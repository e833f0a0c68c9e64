//! When workers started, by our clock, from what they say by theirs. The shell asks it for each record.
//!
//! It guards against clocks that disagree: a worker whose clock is an hour ahead must not be spared as a cold one for an
//! hour, and one that restarted with its clock set back must be taken for a new process all the same.

use slatevalve::{Micros, WorkerId};
use std::collections::HashMap;

/// See the module's documentation.
#[derive(Debug, Default)]
pub struct Starts {
    /// What each worker said last, and what that was taken for.
    known: HashMap<WorkerId, (f64, Micros)>,
}

impl Starts {
    /// A worker says that it started at a Unix time in milliseconds, which our clock shows as `ours`. The same word again
    /// gives the same time; another one is another process, later than the one before and not later than now.
    pub fn of(&mut self, now: Micros, worker: WorkerId, said_unix_ms: f64, ours: Micros) -> Micros {
        let before = self.known.get(&worker).copied();
        if let Some((_, taken)) = before.filter(|(said, _)| *said == said_unix_ms) {
            return taken;
        }
        let likely = ours <= now && before.is_none_or(|(_, taken)| ours > taken);
        let taken = if likely { ours } else { now };
        self.known.insert(worker, (said_unix_ms, taken));
        taken
    }

    /// Forgets workers that are not listed any more.
    pub fn keep(&mut self, listed: impl Fn(&WorkerId) -> bool) {
        self.known.retain(|id, _| listed(id));
    }
}

#[cfg(test)]
mod tests;
