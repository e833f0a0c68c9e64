//! Rule 1: each call is answered before its client's deadline, and at most once for each publication.

use crate::trace::{Line, TraceEvent};
use crate::{Rule, Terms, Violation};
use std::collections::BTreeMap;

#[derive(Default)]
struct Call<'a> {
    publications: usize,
    last_published_us: i64,
    /// The latest deadline among all publications.
    deadline_us: i64,
    answers: Vec<Answer<'a>>,
    client_disconnected: bool,
}

struct Answer<'a> {
    at_us: i64,
    outcome: &'a str,
}

pub(crate) fn check(terms: &Terms, lines: &[&Line], violations: &mut Vec<Violation>) {
    for (name, call) in collect(lines, violations) {
        violations.extend(unanswered(terms, name, &call));
        violations.extend(answered_too_often(name, &call));
    }
}

/// Collects all calls by name. An answer without a publication is a violation by itself.
fn collect<'a>(lines: &[&'a Line], violations: &mut Vec<Violation>) -> BTreeMap<&'a str, Call<'a>> {
    let mut calls: BTreeMap<&str, Call> = BTreeMap::new();
    for line in lines {
        match &line.event {
            TraceEvent::Published { call, budget_us, .. } => {
                let entry = calls.entry(call).or_default();
                entry.publications += 1;
                entry.last_published_us = line.at_us;
                entry.deadline_us = entry.deadline_us.max(line.at_us + budget_us);
            }
            TraceEvent::Answered { call, outcome, .. } => match calls.get_mut(call.as_str()) {
                Some(entry) => entry.answers.push(Answer { at_us: line.at_us, outcome }),
                None => violations.push(Violation {
                    rule: Rule::Once,
                    at_us: line.at_us,
                    what: format!("{} received an answer to {call}, which was not published", line.who),
                }),
            },
            TraceEvent::Disconnected { call } => {
                calls.entry(call).and_modify(|entry| entry.client_disconnected = true);
            }
            _ => {}
        }
    }
    calls
}

/// The violation of a call without an answer before its deadline, unless its client disconnected.
fn unanswered(terms: &Terms, name: &str, call: &Call) -> Option<Violation> {
    if call.client_disconnected {
        return None;
    }
    let (at_us, what) = match call.answers.first() {
        None => (call.deadline_us, format!("{name} was never answered")),
        Some(answer) if answer.at_us > call.deadline_us + terms.answer_slack_us => {
            let late_us = answer.at_us - call.deadline_us;
            (answer.at_us, format!("{name} was {} {late_us} us after its client's deadline", answer.outcome))
        }
        Some(_) => return None,
    };
    Some(Violation { rule: Rule::Answered, at_us, what })
}

/// The violation of a call with more answers than publications. Each publication may be answered once, so
/// three answers to a call that was published three times are correct.
fn answered_too_often(name: &str, call: &Call) -> Option<Violation> {
    if call.answers.len() <= call.publications {
        return None;
    }
    let at_us = call.answers.last().map_or(call.last_published_us, |answer| answer.at_us);
    let what =
        format!("{name} was published {} times and answered {} times", call.publications, call.answers.len());
    Some(Violation { rule: Rule::Once, at_us, what })
}
