//! Rule 2: unsafe effects at most once, keyed ones again only inside their group and window; and a refusal only
//! where nothing may have run.

use crate::trace::{Line, Seen};
use crate::{EffectTerms, GroupTerms, Rule, Terms, Violation};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
struct Effect<'a> {
    class: &'a str,
    /// Attempts that reached a worker: when, which worker, whose attempt.
    received: Vec<(i64, &'a str, (&'a str, usize))>,
    never_ran: BTreeSet<(&'a str, usize)>,
    ran: Vec<(i64, &'a str)>,
    refused: Option<i64>,
}

pub(crate) fn check(terms: &Terms, lines: &[&Line], found: &mut Vec<Violation>) {
    let mut effects: BTreeMap<&str, Effect> = BTreeMap::new();
    // A call is known by its name, which all its repeats share; its key stands for the same.
    for line in lines {
        match &line.seen {
            Seen::Received { call, class, gateway, attempt, .. } => {
                let effect = effects.entry(call).or_default();
                effect.class = class;
                effect.received.push((line.at_us, &line.who, (gateway, *attempt)));
            }
            Seen::NeverRan { call, gateway, attempt } => {
                effects.entry(call).or_default().never_ran.insert((gateway, *attempt));
            }
            Seen::Ran { call, class, .. } => {
                let effect = effects.entry(call).or_default();
                effect.class = class;
                effect.ran.push((line.at_us, &line.who));
            }
            Seen::Answered { call, outcome, reason } if outcome == "refused" && !is_of_a_repeat(reason) => {
                effects.entry(call).or_default().refused.get_or_insert(line.at_us);
            }
            _ => {}
        }
    }
    for (call, effect) in effects {
        match terms.classes.get(effect.class).map(|c| c.effect) {
            Some(EffectTerms::Unsafe) => {
                if effect.ran.len() > 1 {
                    let what = format!("{call} ({}) ran {} times", effect.class, effect.ran.len());
                    found.push(Violation { rule: Rule::Effects, at_us: effect.ran[1].0, what });
                }
                sent_again(call, &effect, found);
                refused_after_run(call, &effect, found);
            }
            Some(EffectTerms::Keyed { group, window_us }) => {
                keyed(terms, call, &effect, (group, window_us), found);
                refused_after_run(call, &effect, found);
            }
            Some(EffectTerms::Safe) | None => {}
        }
    }
}

/// A repeat that is refused as such says nothing of what the first asking started.
fn is_of_a_repeat(reason: &Option<String>) -> bool {
    reason.as_deref().is_some_and(|r| r.contains("repeat"))
}

fn sent_again(call: &str, effect: &Effect, found: &mut Vec<Violation>) {
    let mut open: Option<&str> = None;
    for (at_us, worker, attempt) in &effect.received {
        if let Some(first) = open {
            let what = format!("{call} came to {worker} though it may have run at {first}");
            found.push(Violation { rule: Rule::Effects, at_us: *at_us, what });
        }
        if !effect.never_ran.contains(attempt) {
            open = Some(worker);
        }
    }
}

/// A repeat outside the group of the first worker where it may have run, or past the window from its sending.
fn keyed(
    terms: &Terms,
    call: &str,
    effect: &Effect,
    (group, window_us): (GroupTerms, i64),
    found: &mut Vec<Violation>,
) {
    let place = |worker: &str| {
        let terms = terms.workers.get(worker);
        match group {
            GroupTerms::All => String::new(),
            GroupTerms::Zone => terms.map(|w| w.zone.clone()).unwrap_or_default(),
            GroupTerms::Cell => terms.map(|w| w.cell.to_string()).unwrap_or_default(),
        }
    };
    let mut may_have_run = effect.received.iter().filter(|r| !effect.never_ran.contains(&r.2));
    let Some((first_at, first, _)) = may_have_run.next() else { return };
    for (at_us, worker, _) in effect.received.iter().filter(|r| r.0 > *first_at) {
        let what = if place(worker) != place(first) {
            format!("{call} came to {worker} outside the group of {first}, where it may have run")
        } else if at_us - first_at > window_us {
            format!("{call} came to {worker} {} us after {first}, past its window", at_us - first_at)
        } else {
            continue;
        };
        found.push(Violation { rule: Rule::Effects, at_us: *at_us, what });
    }
}

fn refused_after_run(call: &str, effect: &Effect, found: &mut Vec<Violation>) {
    let Some(at_us) = effect.refused else { return };
    let may_have_run = effect.received.iter().any(|r| r.0 <= at_us && !effect.never_ran.contains(&r.2));
    if may_have_run {
        let what = format!("{call} was refused though it may have run");
        found.push(Violation { rule: Rule::Effects, at_us, what });
    }
}
