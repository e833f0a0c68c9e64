//! Rule 2: an effect of a non-idempotent class happens at most once; a call with a key is retried only within
//! its group and window; and a call is refused only if no attempt may have run.

use crate::trace::{Line, TraceEvent};
use crate::{EffectTerms, GroupTerms, Rule, Terms, Violation};
use std::collections::{BTreeMap, BTreeSet};

/// Identifies an attempt by the number that its gateway gave it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptId<'a> {
    gateway: &'a str,
    number: usize,
}

/// An attempt that reached a worker.
struct ReceivedAttempt<'a> {
    at_us: i64,
    worker: &'a str,
    id: AttemptId<'a>,
}

/// The recorded events of one call, including all its repeated publications.
#[derive(Default)]
struct Effect<'a> {
    class: &'a str,
    received: Vec<ReceivedAttempt<'a>>,
    /// Attempts that a worker reported as not run.
    unexecuted: BTreeSet<AttemptId<'a>>,
    /// Times at which the effect happened, in microseconds.
    runs_us: Vec<i64>,
    refused_us: Option<i64>,
}

impl Effect<'_> {
    fn is_possibly_executed(&self, attempt: &ReceivedAttempt) -> bool {
        !self.unexecuted.contains(&attempt.id)
    }
}

pub(crate) fn check(terms: &Terms, lines: &[&Line], violations: &mut Vec<Violation>) {
    for (call, effect) in collect(lines) {
        match terms.classes.get(effect.class).map(|class| class.effect) {
            Some(EffectTerms::Unsafe) => {
                violations.extend(ran_twice(call, &effect));
                check_retries(call, &effect, violations);
                violations.extend(refused_after_run(call, &effect));
            }
            Some(EffectTerms::Keyed { group, window_us }) => {
                check_keyed_retries(terms, call, &effect, group, window_us, violations);
                violations.extend(refused_after_run(call, &effect));
            }
            Some(EffectTerms::Safe) | None => {}
        }
    }
}

/// Collects the events of each call by its name.
fn collect<'a>(lines: &[&'a Line]) -> BTreeMap<&'a str, Effect<'a>> {
    let mut effects: BTreeMap<&str, Effect> = BTreeMap::new();
    for line in lines {
        match &line.event {
            TraceEvent::Received { call, class, gateway, attempt, .. } => {
                let id = AttemptId { gateway, number: *attempt };
                let effect = effects.entry(call).or_default();
                effect.class = class;
                effect.received.push(ReceivedAttempt { at_us: line.at_us, worker: &line.who, id });
            }
            TraceEvent::NeverRan { call, gateway, attempt } => {
                let id = AttemptId { gateway, number: *attempt };
                effects.entry(call).or_default().unexecuted.insert(id);
            }
            TraceEvent::Ran { call, class, .. } => {
                let effect = effects.entry(call).or_default();
                effect.class = class;
                effect.runs_us.push(line.at_us);
            }
            TraceEvent::Answered { call, outcome, reason }
                if outcome == "refused" && !is_duplicate_refusal(reason.as_deref()) =>
            {
                effects.entry(call).or_default().refused_us.get_or_insert(line.at_us);
            }
            _ => {}
        }
    }
    effects
}

/// Refusing a repeated publication as a duplicate does not claim that the attempts of the first publication
/// never ran.
fn is_duplicate_refusal(reason: Option<&str>) -> bool {
    reason.is_some_and(|text| text.contains("repeat"))
}

fn ran_twice(call: &str, effect: &Effect) -> Option<Violation> {
    let at_us = *effect.runs_us.get(1)?;
    let what = format!("{call} ({}) ran {} times", effect.class, effect.runs_us.len());
    Some(Violation { rule: Rule::Effects, at_us, what })
}

/// Checks that no attempt follows one that may have run.
fn check_retries(call: &str, effect: &Effect, violations: &mut Vec<Violation>) {
    let mut possibly_executed_at: Option<&str> = None;
    for attempt in &effect.received {
        if let Some(first) = possibly_executed_at {
            let what = format!("{call} was sent to {} although it may have run at {first}", attempt.worker);
            violations.push(Violation { rule: Rule::Effects, at_us: attempt.at_us, what });
        }
        if effect.is_possibly_executed(attempt) {
            possibly_executed_at = Some(attempt.worker);
        }
    }
}

/// Checks that retries stay in the group of the first worker at which the call may have run, and within the
/// window that starts with that attempt.
fn check_keyed_retries(
    terms: &Terms,
    call: &str,
    effect: &Effect,
    group: GroupTerms,
    window_us: i64,
    violations: &mut Vec<Violation>,
) {
    let Some(first) = effect.received.iter().find(|attempt| effect.is_possibly_executed(attempt)) else {
        return;
    };
    for retry in effect.received.iter().filter(|attempt| attempt.at_us > first.at_us) {
        let (worker, first_worker) = (retry.worker, first.worker);
        let after_us = retry.at_us - first.at_us;
        let what = if group_of(terms, group, worker) != group_of(terms, group, first_worker) {
            format!("{call} was sent to {worker}, outside the group of {first_worker}, where it may have run")
        } else if after_us > window_us {
            format!("{call} was sent to {worker} {after_us} us after {first_worker}, which exceeds the window of {window_us} us")
        } else {
            continue;
        };
        violations.push(Violation { rule: Rule::Effects, at_us: retry.at_us, what });
    }
}

/// Name of the worker's group; empty for an unknown worker.
fn group_of(terms: &Terms, group: GroupTerms, worker: &str) -> String {
    let worker = terms.workers.get(worker);
    match group {
        GroupTerms::All => String::new(),
        GroupTerms::Zone => worker.map(|terms| terms.zone.clone()).unwrap_or_default(),
        GroupTerms::Cell => worker.map(|terms| terms.cell.to_string()).unwrap_or_default(),
    }
}

fn refused_after_run(call: &str, effect: &Effect) -> Option<Violation> {
    let at_us = effect.refused_us?;
    let mut before = effect.received.iter().filter(|attempt| attempt.at_us <= at_us);
    before.any(|attempt| effect.is_possibly_executed(attempt)).then(|| Violation {
        rule: Rule::Effects,
        at_us,
        what: format!("{call} was refused although it may have run"),
    })
}
