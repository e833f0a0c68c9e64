//! Rule 3: once the grace period has passed after a gateway was notified that a worker is draining or gone,
//! the gateway sends that worker no new work.

use crate::trace::{Line, TraceEvent};
use crate::{Rule, Terms, Violation};
use std::collections::BTreeMap;

/// Names of a worker and of a gateway that was notified of its state.
type WorkerAndGateway<'a> = (&'a str, &'a str);

pub(crate) fn check(terms: &Terms, lines: &[&Line], violations: &mut Vec<Violation>) {
    // Time of the notification from which on the worker is unavailable to the gateway.
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
                (gateway, format!("a load request for {function}"))
            }
            _ => continue,
        };
        let Some(since_us) = unavailable_since.get(&(line.who.as_str(), gateway.as_str())) else { continue };
        let after_us = line.at_us - since_us;
        if after_us > terms.drain_grace_us {
            let what = format!(
                "{gateway} sent {} {request} {after_us} us after the worker became unavailable",
                line.who
            );
            violations.push(Violation { rule: Rule::Drains, at_us: line.at_us, what });
        }
    }
}
