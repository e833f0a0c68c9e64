//! Rule 4: work sent to a cold worker within any window stays below a multiple of what it can do in that window.

use crate::trace::{Line, Seen};
use crate::{Rule, Terms, Violation};
use std::collections::{BTreeMap, VecDeque};

struct Worker {
    started: i64,
    start_capacity: f64,
    warm_us: i64,
    lanes: f64,
    recent: VecDeque<(i64, i64)>,
    over: bool,
}

impl Worker {
    /// Lanes that it has at a time: a straight line from its start to its full capacity.
    fn lanes_at(&self, at_us: i64) -> f64 {
        let part = (at_us - self.started) as f64 / self.warm_us.max(1) as f64;
        self.lanes * (self.start_capacity + (1.0 - self.start_capacity) * part.clamp(0.0, 1.0))
    }
}

pub(crate) fn check(terms: &Terms, lines: &[&Line], found: &mut Vec<Violation>) {
    let mut cold: BTreeMap<&str, Worker> = BTreeMap::new();
    for line in lines {
        match &line.seen {
            // The first start of all is before the day begins: nobody was told of it.
            Seen::Started { first: true, .. } => {}
            Seen::Started { start_capacity, warm_us, lanes, .. } => {
                let (start_capacity, warm_us, lanes) = (*start_capacity, *warm_us, *lanes);
                let (started, recent, over) = (line.at_us, VecDeque::new(), false);
                let worker = Worker { started, start_capacity, warm_us, lanes, recent, over };
                cold.insert(&line.who, worker);
            }
            Seen::Received { work_us, .. } => {
                let Some(worker) = cold.get_mut(line.who.as_str()) else { continue };
                if line.at_us - worker.started > worker.warm_us {
                    cold.remove(line.who.as_str());
                    continue;
                }
                worker.recent.push_back((line.at_us, *work_us));
                while worker.recent.front().is_some_and(|r| line.at_us - r.0 > terms.fall_window_us) {
                    worker.recent.pop_front();
                }
                let sent: i64 = worker.recent.iter().map(|r| r.1).sum();
                let can = worker.lanes_at(line.at_us) * terms.fall_window_us as f64;
                if sent as f64 > can * terms.fall_multiple && !worker.over {
                    worker.over = true;
                    let after = line.at_us - worker.started;
                    let what = format!(
                        "{} was sent {sent} us of work in a window, {after} us after its start, and can do {can:.0}",
                        line.who
                    );
                    found.push(Violation { rule: Rule::Cold, at_us: line.at_us, what });
                }
            }
            _ => {}
        }
    }
}
