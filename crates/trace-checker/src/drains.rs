//! Rule 3: after the grace from hearing that a worker drains or is gone, a gateway sends it nothing new.

use crate::trace::{Line, Seen};
use crate::{Rule, Terms, Violation};
use std::collections::BTreeMap;

pub(crate) fn check(terms: &Terms, lines: &[&Line], found: &mut Vec<Violation>) {
    // For each worker and gateway: since when the gateway knows that it takes nothing.
    let mut told: BTreeMap<(&str, &str), i64> = BTreeMap::new();
    for line in lines {
        let (gateway, what) = match &line.seen {
            Seen::Told { worker, state, gateway } => {
                if state == "ready" {
                    told.remove(&(worker, gateway));
                } else {
                    told.entry((worker, gateway)).or_insert(line.at_us);
                }
                continue;
            }
            Seen::Received { call, gateway, .. } => (gateway, format!("call {call}")),
            Seen::Ordered { function, copies, gateway } if *copies > 0 => {
                (gateway, format!("an order for {function}"))
            }
            _ => continue,
        };
        if let Some(since) = told.get(&(line.who.as_str(), gateway.as_str())) {
            let after = line.at_us - since;
            if after > terms.drain_grace_us {
                let what =
                    format!("{gateway} sent {} {what} {after} us after it was told of its end", line.who);
                found.push(Violation { rule: Rule::Drains, at_us: line.at_us, what });
            }
        }
    }
}
