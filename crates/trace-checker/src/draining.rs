//! Rule 3: later than the grace after a gateway was notified that a worker drains or is gone, it sends that worker nothing new.

use crate::trace::{Line, TraceEvent};
use crate::{Rule, Terms, Violation};
use std::collections::BTreeMap;

/// One gateway's view of one worker.
type WorkerAndGateway<'a> = (&'a str, &'a str);

pub(crate) fn check(terms: &Terms, lines: &[&Line], violations: &mut Vec<Violation>) {
    // The time of the notification since which the worker is unavailable to the gateway.
    let mut unavailable_since: BTreeMap<WorkerAndGateway, i64> = BTreeMap::new();
    for line in lines {
        let (gateway, request) = match &line.event {
            TraceEvent::StateNotified { worker, state, gateway } => {
                if state == "ready" {
                    unavailable_since.remove(&(worker, gateway));
                } else {
                    unavailable_since.entry((worker, gateway)).or_insert(line.at_us);
                }
                continue;
            }
            TraceEvent::Received { call, gateway, .. } => (gateway, format!("call {call}")),
            TraceEvent::LoadRequested { function, copies, gateway } if *copies > 0 => {
                (gateway, format!("an order for {function}"))
            }
            _ => continue,
        };
        let Some(since_us) = unavailable_since.get(&(line.who.as_str(), gateway.as_str())) else { continue };
        let after_us = line.at_us - since_us;
        if after_us > terms.drain_grace_us {
            let what =
                format!("{gateway} sent {} {request} {after_us} us after it was told of its end", line.who);
            violations.push(Violation { rule: Rule::Drains, at_us: line.at_us, what });
        }
    }
}
