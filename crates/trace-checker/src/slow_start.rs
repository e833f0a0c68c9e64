//! Rule 4: within any window, the work sent to a worker in slow start does not exceed a multiple of its
//! capacity in the window.

use crate::trace::{Line, TraceEvent};
use crate::{Rule, Terms, Violation};
use std::collections::{BTreeMap, VecDeque};

/// A worker in slow start.
struct Worker {
    started_us: i64,
    /// Share of the full capacity at the start, from 0 to 1.
    start_capacity: f64,
    slow_start_us: i64,
    /// Concurrent calls at full capacity.
    concurrency: f64,
    /// Attempts within the window.
    recent: VecDeque<ReceivedWork>,
    /// Whether a violation was already reported; only one is reported for each start.
    reported: bool,
}

struct ReceivedWork {
    at_us: i64,
    work_us: i64,
}

impl Worker {
    /// Concurrent calls at a time of the slow start, which grow linearly to the full capacity.
    fn concurrency_at(&self, at_us: i64) -> f64 {
        let progress = (at_us - self.started_us) as f64 / self.slow_start_us.max(1) as f64;
        self.concurrency * (self.start_capacity + (1.0 - self.start_capacity) * progress.clamp(0.0, 1.0))
    }

    /// Counts an attempt; returns a violation when the work exceeds the capacity for the first time.
    fn receive(&mut self, terms: &Terms, line: &Line, work_us: i64) -> Option<Violation> {
        self.recent.push_back(ReceivedWork { at_us: line.at_us, work_us });
        while self.recent.front().is_some_and(|oldest| line.at_us - oldest.at_us > terms.overload_window_us) {
            self.recent.pop_front();
        }
        let sent_us: i64 = self.recent.iter().map(|received| received.work_us).sum();
        let capacity_us = self.concurrency_at(line.at_us) * terms.overload_window_us as f64;
        if sent_us as f64 <= capacity_us * terms.overload_multiple || self.reported {
            return None;
        }
        self.reported = true;
        let after_us = line.at_us - self.started_us;
        let what = format!(
            "{} was sent {sent_us} us of work in a window, {after_us} us after its start; its capacity is {capacity_us:.0} us",
            line.who
        );
        Some(Violation { rule: Rule::Cold, at_us: line.at_us, what })
    }
}

pub(crate) fn check(terms: &Terms, lines: &[&Line], violations: &mut Vec<Violation>) {
    let mut workers: BTreeMap<&str, Worker> = BTreeMap::new();
    for line in lines {
        match &line.event {
            // The first start precedes the first call, and no gateway is notified of it.
            TraceEvent::Started { first: true, .. } => {}
            TraceEvent::Started { start_capacity, slow_start_us, concurrency, .. } => {
                let worker = Worker {
                    started_us: line.at_us,
                    start_capacity: *start_capacity,
                    slow_start_us: *slow_start_us,
                    concurrency: *concurrency,
                    recent: VecDeque::new(),
                    reported: false,
                };
                workers.insert(&line.who, worker);
            }
            TraceEvent::Received { work_us, .. } => {
                let Some(worker) = workers.get_mut(line.who.as_str()) else { continue };
                if line.at_us - worker.started_us > worker.slow_start_us {
                    workers.remove(line.who.as_str());
                } else {
                    violations.extend(worker.receive(terms, line, *work_us));
                }
            }
            _ => {}
        }
    }
}
