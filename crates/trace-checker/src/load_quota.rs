//! Rule 5: within any window, a gateway sends no more load requests than a free number plus a share of the
//! calls published to it in the window.

use crate::trace::{Line, TraceEvent};
use crate::{Rule, Terms, Violation};
use std::collections::{BTreeMap, VecDeque};

/// Times of a gateway's events within the window, in microseconds.
#[derive(Default)]
struct Gateway {
    calls: VecDeque<i64>,
    load_requests: VecDeque<i64>,
}

impl Gateway {
    fn discard_before(&mut self, from_us: i64) {
        for times in [&mut self.calls, &mut self.load_requests] {
            while times.front().is_some_and(|at_us| *at_us < from_us) {
                times.pop_front();
            }
        }
    }
}

pub(crate) fn check(terms: &Terms, lines: &[&Line], violations: &mut Vec<Violation>) {
    if terms.load_quota_window_us <= 0 {
        return;
    }
    let mut gateways: BTreeMap<&str, Gateway> = BTreeMap::new();
    for line in lines {
        match &line.event {
            TraceEvent::Published { gateway, .. } => {
                let counted = gateways.entry(gateway).or_default();
                counted.calls.push_back(line.at_us);
                counted.discard_before(line.at_us - terms.load_quota_window_us);
            }
            TraceEvent::LoadRequested { copies, gateway, .. } if *copies > 0 => {
                let counted = gateways.entry(gateway).or_default();
                counted.load_requests.push_back(line.at_us);
                counted.discard_before(line.at_us - terms.load_quota_window_us);
                let quota = terms.load_quota_free + terms.load_quota_share * counted.calls.len() as f64;
                let requested = counted.load_requests.len();
                if requested as f64 > quota {
                    let what =
                        format!("{gateway} sent {requested} load requests in a window, {quota:.1} allowed");
                    violations.push(Violation { rule: Rule::Orders, at_us: line.at_us, what });
                }
            }
            _ => {}
        }
    }
}
