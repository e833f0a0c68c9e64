//! Beside the five rules: what gateways send by settings documents that contradict each other. Once an attempt came by a
//! document, none may come by an older one that contradicts it, later than the bound. Attempts of safe classes are left out:
//! a gateway in doubt may send them.

use crate::trace::{Line, Seen};
use crate::{EffectTerms, Rule, SettingsTerms, Terms, Violation};
use std::collections::BTreeMap;

pub(crate) fn check(terms: &Terms, lines: &[&Line], found: &mut Vec<Violation>) {
    let Some(settings) = &terms.settings else { return };
    // When the first attempt came by which documents, and whose it was.
    let mut first: BTreeMap<&[u64], (i64, &str)> = BTreeMap::new();
    for line in lines {
        let Seen::Received { call, class, gateway, settings: by, .. } = &line.seen else { continue };
        let safe = terms.classes.get(class).is_some_and(|c| c.effect == EffectTerms::Safe);
        let Some(newest) = by.iter().max().filter(|_| !safe) else { continue };
        for (other, (at_us, whose)) in &first {
            let after = line.at_us - at_us;
            if other.iter().max() > Some(newest)
                && after > settings.bound_us
                && contradict(settings, by, other)
            {
                let what = format!(
                    "{gateway} sent {call} by settings {by:?}, {after} us after {whose} had sent by {other:?}, which contradict them"
                );
                found.push(Violation { rule: Rule::Agreement, at_us: line.at_us, what });
                break;
            }
        }
        first.entry(by).or_insert((line.at_us, gateway));
    }
}

/// Who acts by two documents at a time does only what both allow: it contradicts nobody that acts by one of them.
fn contradict(settings: &SettingsTerms, one: &[u64], other: &[u64]) -> bool {
    let named = |a: u64, b: u64| settings.contradict.iter().any(|p| *p == (a, b) || *p == (b, a));
    let shared = one.iter().any(|n| other.contains(n));
    !shared && one.iter().any(|a| other.iter().any(|b| named(*a, *b)))
}
