//! Rule 4: the work sent to a worker in slow start within any window stays below a multiple of its capacity in that window.

use crate::trace::{Line, TraceEvent};
use crate::{Rule, Terms, Violation};
use std::collections::{BTreeMap, VecDeque};

/// A worker in slow start.
struct Worker {
    started_us: i64,
    /// Share of the full capacity at the start.
    start_capacity: f64,
    slow_start_us: i64,
    /// Calls at a time at full capacity.
    concurrency: f64,
    /// Attempts within the window.
    recent: VecDeque<ReceivedWork>,
    /// Whether a violation was reported already; one is reported for each start.
    reported: bool,
}

struct ReceivedWork {
    at_us: i64,
    work_us: i64,
}

impl Worker {
    /// Calls that run at a time: a straight line from the capacity at the start to the full one.
    fn concurrency_at(&self, at_us: i64) -> f64 {
        let part = (at_us - self.started_us) as f64 / self.slow_start_us.max(1) as f64;
        self.concurrency * (self.start_capacity + (1.0 - self.start_capacity) * part.clamp(0.0, 1.0))
    }

    /// Counts an attempt; returns the violation when it exceeds the capacity for the first time.
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
            "{} was sent {sent_us} us of work in a window, {after_us} us after its start, and can do {capacity_us:.0}",
            line.who
        );
        Some(Violation { rule: Rule::Cold, at_us: line.at_us, what })
    }
}

pub(crate) fn check(terms: &Terms, lines: &[&Line], violations: &mut Vec<Violation>) {
    let mut workers: BTreeMap<&str, Worker> = BTreeMap::new();
    for line in lines {
        match &line.event {
            // The first start comes before the first call; no gateway was notified of it.
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
