//! Rule 5: orders to load within any window stay within what is free and a share of the calls asked in it.

use crate::trace::{Line, Seen};
use crate::{Rule, Terms, Violation};
use std::collections::{BTreeMap, VecDeque};

pub(crate) fn check(terms: &Terms, lines: &[&Line], found: &mut Vec<Violation>) {
    if terms.ration_window_us <= 0 {
        return;
    }
    let mut gateways: BTreeMap<&str, (VecDeque<i64>, VecDeque<i64>)> = BTreeMap::new();
    for line in lines {
        let forget = |times: &mut VecDeque<i64>| {
            while times.front().is_some_and(|t| line.at_us - t > terms.ration_window_us) {
                times.pop_front();
            }
        };
        match &line.seen {
            Seen::Asked { gateway, .. } => {
                let (asked, _) = gateways.entry(gateway).or_default();
                asked.push_back(line.at_us);
                forget(asked);
            }
            Seen::Ordered { copies, gateway, .. } if *copies > 0 => {
                let (asked, orders) = gateways.entry(gateway).or_default();
                orders.push_back(line.at_us);
                forget(orders);
                forget(asked);
                let most = terms.ration_free + terms.ration_share * asked.len() as f64;
                if orders.len() as f64 > most {
                    let what =
                        format!("{gateway} ordered {} loads in a window, {most:.1} allowed", orders.len());
                    found.push(Violation { rule: Rule::Orders, at_us: line.at_us, what });
                }
            }
            _ => {}
        }
    }
}
