//! Log of loop iterations that took so long that whatever arrived meanwhile had to wait.

use slatevalve::Micros;
use tracing::warn;

/// Work of one iteration from which on it is logged.
const SLOW_ITERATION: Micros = Micros(50_000);
/// Least time between two such lines; the iterations in between are only counted.
const LOG_INTERVAL: Micros = Micros(1_000_000);

/// What one iteration did.
#[derive(Clone, Copy, Debug)]
pub(super) struct IterationWork {
    /// When its events were read.
    pub(super) began_at: Micros,
    /// Time from then until all that followed from them was done.
    pub(super) duration: Micros,
    /// Events of the reactor.
    pub(super) events: usize,
    /// Members of the worker list that were applied.
    pub(super) list_members: usize,
    /// Calls without an answer after it.
    pub(super) open_calls: usize,
}

/// The longest iteration so far, and the count of slow ones.
#[derive(Debug, Default)]
pub(super) struct IterationLog {
    longest: Micros,
    slow_count: u64,
    logged_at: Option<Micros>,
}

impl IterationLog {
    /// Takes an iteration into account and logs it if it was slow.
    pub(super) fn record(&mut self, work: IterationWork) {
        self.longest = self.longest.max(work.duration);
        if work.duration < SLOW_ITERATION {
            return;
        }
        self.slow_count += 1;
        let is_due = self.logged_at.is_none_or(|at| work.began_at.0 - at.0 >= LOG_INTERVAL.0);
        if is_due {
            self.logged_at = Some(work.began_at);
            warn!(
                now = work.began_at.0,
                work_us = work.duration.0,
                events = work.events,
                list_members = work.list_members,
                open_calls = work.open_calls,
                slow_iterations = self.slow_count,
                "slow iteration of the loop"
            );
        }
    }

    /// Work of the longest iteration.
    pub(super) fn longest(&self) -> Micros {
        self.longest
    }

    /// Number of slow iterations.
    pub(super) fn slow_count(&self) -> u64 {
        self.slow_count
    }
}
