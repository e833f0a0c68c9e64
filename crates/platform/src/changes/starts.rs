//! Start times of workers: the log states them by the Unix clock, which may step; the router counts by a monotonic one.

use slatevalve::{Micros, WorkerId};
use std::collections::{HashMap, HashSet};

/// A start that an event of changes tells for the first time is taken to be no longer ago than this, about the time that the
/// log takes to list a new worker. After a step of the Unix clock a cold worker would otherwise pass for a warm one.
const ANNOUNCED_AGE_MAX: Micros = Micros(5_000_000);

/// A start as the log states it, and by the router's clock.
#[derive(Clone, Copy, Debug)]
struct Start {
    unix_ms: f64,
    at: Micros,
}

/// The starts that the log has told.
pub(super) struct StartTimes {
    /// Converts a Unix time in milliseconds to the router's clock, by the Unix clock as it is now.
    at_unix_ms: Box<dyn Fn(f64) -> Micros>,
    /// Converted once each: a start that is told again must not pass for a restart.
    known: HashMap<WorkerId, Start>,
}

impl StartTimes {
    pub(super) fn new(at_unix_ms: Box<dyn Fn(f64) -> Micros>) -> Self {
        StartTimes { at_unix_ms, known: HashMap::new() }
    }

    /// The start of a worker that a complete list states.
    pub(super) fn listed(&mut self, worker: WorkerId, unix_ms: f64) -> Micros {
        self.convert(worker, unix_ms, |at| at)
    }

    /// The start of a worker that an event of changes states, read at `now`: not in the future, and not long ago.
    pub(super) fn announced(&mut self, now: Micros, worker: WorkerId, unix_ms: f64) -> Micros {
        let earliest = Micros(now.0.saturating_sub(ANNOUNCED_AGE_MAX.0));
        self.convert(worker, unix_ms, |at| at.clamp(earliest, now))
    }

    fn convert(&mut self, worker: WorkerId, unix_ms: f64, limit: impl Fn(Micros) -> Micros) -> Micros {
        let told = self.known.get(&worker).filter(|start| start.unix_ms == unix_ms);
        if let Some(start) = told {
            return start.at;
        }
        let at = limit((self.at_unix_ms)(unix_ms));
        self.known.insert(worker, Start { unix_ms, at });
        at
    }

    /// Forgets a worker that is gone.
    pub(super) fn forget(&mut self, worker: WorkerId) {
        self.known.remove(&worker);
    }

    /// Forgets all workers that a complete list does not name.
    pub(super) fn retain(&mut self, named: &HashSet<WorkerId>) {
        self.known.retain(|worker, _| named.contains(worker));
    }
}
