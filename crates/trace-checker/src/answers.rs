//! Rule 1: one final answer before the client gives up, and none that contradicts it.

use crate::trace::{Line, Seen};
use crate::{Rule, Terms, Violation};
use std::collections::BTreeMap;

struct Call {
    asked: usize,
    last_asked: i64,
    /// When the one who asked last gives up.
    until: i64,
    answers: Vec<(i64, String)>,
    left: bool,
}

pub(crate) fn check(terms: &Terms, lines: &[&Line], found: &mut Vec<Violation>) {
    let mut calls: BTreeMap<&str, Call> = BTreeMap::new();
    for line in lines {
        match &line.seen {
            Seen::Asked { call, budget_us, .. } => {
                let new = Call { asked: 0, last_asked: 0, until: 0, answers: Vec::new(), left: false };
                let entry = calls.entry(call).or_insert(new);
                entry.asked += 1;
                entry.last_asked = line.at_us;
                entry.until = entry.until.max(line.at_us + budget_us);
            }
            Seen::Answered { call, outcome, .. } => match calls.get_mut(call.as_str()) {
                Some(entry) => entry.answers.push((line.at_us, outcome.clone())),
                None => found.push(Violation {
                    rule: Rule::Once,
                    at_us: line.at_us,
                    what: format!("{}: an answer to {call}, which was never asked", line.who),
                }),
            },
            Seen::Left { call } => {
                calls.entry(call).and_modify(|c| c.left = true);
            }
            _ => {}
        }
    }
    for (name, call) in calls {
        let late = call.until + terms.answer_slack_us;
        match call.answers.first() {
            None if !call.left => found.push(Violation {
                rule: Rule::Answered,
                at_us: call.until,
                what: format!("{name} was never answered"),
            }),
            Some((at, outcome)) if *at > late && !call.left => found.push(Violation {
                rule: Rule::Answered,
                at_us: *at,
                what: format!("{name} was {outcome} {} us after its client gave up", at - call.until),
            }),
            _ => {}
        }
        // Each asking may be answered, so a call asked three times may be told three times how it ended.
        if call.answers.len() > call.asked {
            let at_us = call.answers.last().map_or(call.last_asked, |a| a.0);
            let what = format!("{name} was asked {} times and answered {}", call.asked, call.answers.len());
            found.push(Violation { rule: Rule::Once, at_us, what });
        }
    }
}
