//! Consistency of settings between gateways: after the first attempt under a document, no attempt may be sent
//! under an older, contradicting document later than the bound. Attempts of idempotent classes are exempt,
//! because a gateway whose lease is uncertain may still send them.

use crate::trace::{Line, TraceEvent};
use crate::{EffectTerms, Rule, SettingsTerms, Terms, Violation};
use std::collections::BTreeMap;

/// The first attempt sent under one set of documents.
struct FirstAttempt<'a> {
    at_us: i64,
    gateway: &'a str,
}

pub(crate) fn check(terms: &Terms, lines: &[&Line], violations: &mut Vec<Violation>) {
    let Some(settings) = &terms.settings else { return };
    let mut first_attempts: BTreeMap<&[u64], FirstAttempt> = BTreeMap::new();
    for line in lines {
        let TraceEvent::Received { call, class, gateway, settings: documents, .. } = &line.event else {
            continue;
        };
        let idempotent = terms.classes.get(class).is_some_and(|c| c.effect == EffectTerms::Safe);
        let Some(newest) = documents.iter().max().filter(|_| !idempotent) else { continue };
        let conflict = first_attempts.iter().find(|(other, first)| {
            other.iter().max() > Some(newest)
                && line.at_us - first.at_us > settings.bound_us
                && are_contradicting(settings, documents, other)
        });
        if let Some((other, first)) = conflict {
            let after_us = line.at_us - first.at_us;
            let what = format!(
                "{gateway} sent {call} under settings {documents:?}, {after_us} us after {} first used the contradicting {other:?}",
                first.gateway
            );
            violations.push(Violation { rule: Rule::Agreement, at_us: line.at_us, what });
        }
        first_attempts.entry(documents).or_insert(FirstAttempt { at_us: line.at_us, gateway });
    }
}

/// Whether two sets of documents contradict each other. A gateway that applies two documents at a time does
/// only what both allow, so it does not contradict a gateway that applies one of them.
fn are_contradicting(settings: &SettingsTerms, left: &[u64], right: &[u64]) -> bool {
    let is_listed =
        |a: u64, b: u64| settings.contradictions.iter().any(|pair| *pair == (a, b) || *pair == (b, a));
    let has_shared = left.iter().any(|number| right.contains(number));
    !has_shared && left.iter().any(|a| right.iter().any(|b| is_listed(*a, *b)))
}
