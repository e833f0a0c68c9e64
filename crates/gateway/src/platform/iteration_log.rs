//! Log of slow loop iterations, which delay everything that arrives meanwhile.

use slatevalve::Micros;
use tracing::warn;

/// Iterations that take at least this long are logged.
const SLOW_ITERATION: Micros = Micros(50_000);
/// Minimum time between two log lines; slow iterations in between are only counted.
const LOG_INTERVAL: Micros = Micros(1_000_000);

/// Work done by one iteration.
#[derive(Clone, Copy, Debug)]
pub(super) struct IterationWork {
    /// When its events had been read.
    pub(super) began_at: Micros,
    /// Time from then until all events and their outputs were handled.
    pub(super) duration: Micros,
    /// Number of reactor events.
    pub(super) events: usize,
    /// Bytes received from clients, and from workers and the change log.
    pub(super) client_bytes: usize,
    pub(super) worker_bytes: usize,
    /// Number of client connections.
    pub(super) clients: usize,
    /// Number of worker list members applied.
    pub(super) list_members: usize,
    /// Number of calls without an answer at the end.
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
    /// Counts an iteration, and logs it if it was slow.
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
                client_bytes = work.client_bytes,
                worker_bytes = work.worker_bytes,
                clients = work.clients,
                list_members = work.list_members,
                open_calls = work.open_calls,
                slow_iterations = self.slow_count,
                "slow iteration of the loop"
            );
        }
    }

    /// Duration of the longest iteration.
    pub(super) fn longest(&self) -> Micros {
        self.longest
    }

    /// Number of slow iterations.
    pub(super) fn slow_count(&self) -> u64 {
        self.slow_count
    }
}
