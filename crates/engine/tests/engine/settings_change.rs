//! Settings that change while calls are open, and suspension of calls with side effects.

use crate::harness::*;
use slatevalve::{Class, ClassId, Effect, Limits, Micros, Outcome, Settings};
use slatevalve_engine::*;
use std::collections::BTreeSet;

/// The settings of a harness with other classes.
fn other_settings(classes: Vec<Class>, spaces: &[usize], max_attempts: usize) -> EngineSettings {
    let base = settings(Micros(2_000_000));
    let policies = vec![ClassPolicy { retention: Micros(2_000_000) }; classes.len()];
    let limits = Limits { max_attempts, ..base.balancer.limits.clone() };
    let balancer = Settings { classes, limits, ..base.balancer };
    EngineSettings {
        balancer,
        classes: policies,
        key_spaces: spaces.iter().map(|s| ClassId(*s)).collect(),
        ..base
    }
}

#[test]
fn an_open_call_goes_by_stricter_rules_at_once_and_by_more_attempts_never() {
    let classes = settings(Micros(0)).balancer.classes;
    let mut harness = Harness::new();
    let open = harness.call(1, KEYED, Some("k"), Repeat::Unmarked);
    let mut stricter = classes.clone();
    stricter[KEYED.0].effect = Effect::NonIdempotent;
    harness.engine.update_settings(other_settings(stricter, &[], 3));
    harness.end_first(Outcome::Reset);
    harness.advance_by(200_000);
    assert_eq!((harness.verdicts(open), harness.sent.len()), (vec!["failed"], 1), "it is not sent again");
    // One attempt, then many: what was taken under one stays with one, and what comes after it as well until that is closed.
    let mut harness = Harness::new();
    harness.engine.update_settings(other_settings(classes.clone(), &[], 1));
    let open = harness.call(1, SAFE, None, Repeat::Unmarked);
    harness.engine.update_settings(other_settings(classes, &[], 5));
    harness.end_first(Outcome::Full);
    harness.advance_by(500_000);
    assert_eq!((harness.verdicts(open).len(), harness.sent.len()), (1, 1));
    harness.advance_by(1_000_000);
    assert!(harness.engine.is_idle());
    harness.call(1, SAFE, None, Repeat::Unmarked);
    harness.end_first(Outcome::Full);
    harness.advance_by(900_000);
    assert!(harness.sent.len() > 2, "now there may be more");
}

#[test]
fn a_class_that_got_another_place_keeps_its_keys() {
    let mut classes = settings(Micros(0)).balancer.classes;
    classes.push(Class { effect: Effect::Idempotent, ..classes[UNSAFE.0] });
    let mut harness = Harness::new();
    let first = harness.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    harness.engine.update_settings(other_settings(classes, &[0, 1, 2, 2], 3));
    assert_eq!(harness.engine.open_classes(), BTreeSet::from([UNSAFE]));
    let again = harness.call(2, ClassId(3), Some("k"), Repeat::Unmarked);
    let other = harness.call(2, KEYED, Some("k"), Repeat::Unmarked);
    assert_eq!(
        harness.sent.len(),
        2,
        "the repeat starts no second run, the other class's call has a key of its own"
    );
    harness.end_first(Outcome::Ok);
    harness.end_first(Outcome::Ok);
    for ticket in [first, again, other] {
        assert_eq!(harness.verdicts(ticket), ["served"]);
    }
    let late = harness.call(3, ClassId(3), Some("k"), Repeat::Unmarked);
    assert!(harness.answers[&late][0].recorded);
}

#[test]
fn while_they_are_withheld_only_safe_calls_are_sent_and_records_are_given() {
    let mut harness = Harness::new();
    harness.call(1, UNSAFE, Some("old"), Repeat::Unmarked);
    harness.end_first(Outcome::Ok);
    let open = harness.call(1, KEYED, Some("open"), Repeat::Unmarked);
    assert_eq!(harness.sent.len(), 2);
    let request = harness.waiting[0].0.request;
    assert!(!harness.engine.is_suspended(request));
    harness.engine.suspend_non_idempotent(true);
    assert!(harness.engine.is_suspended(request));
    let record = harness.call(1, UNSAFE, Some("old"), Repeat::Unmarked);
    let new = harness.call(1, UNSAFE, Some("new"), Repeat::Unmarked);
    let safe = harness.call(1, SAFE, None, Repeat::Unmarked);
    assert_eq!((harness.verdicts(record), harness.reason(new)), (vec!["served"], Some(Reason::LeaseExpired)));
    assert_eq!(harness.sent.len(), 3, "the safe one");
    harness.end_first(Outcome::Full);
    harness.advance_by(300_000);
    assert_eq!(harness.sent.len(), 3, "the open one is not sent again");
    harness.end_first(Outcome::Ok);
    harness.advance_by(1_000_000);
    assert_eq!(
        (harness.verdicts(open), harness.verdicts(safe)),
        (vec!["refused"], vec!["served"]),
        "it never ran"
    );
    harness.engine.suspend_non_idempotent(false);
    let new = harness.call(1, UNSAFE, Some("new"), Repeat::Unmarked);
    harness.end_first(Outcome::Ok);
    assert_eq!(harness.verdicts(new), ["served"]);
    assert!(harness.engine.is_idle());
}
