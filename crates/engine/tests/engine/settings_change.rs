//! Changes of settings while calls are open, and suspension of calls with side effects.

use crate::harness::*;
use slatevalve::{Class, ClassId, Effect, Limits, Micros, Outcome, Settings};
use slatevalve_engine::*;
use std::collections::BTreeSet;

/// Returns the settings of the harness with other classes, key spaces and maximum number of attempts.
fn other_settings(classes: Vec<Class>, key_spaces: &[usize], max_attempts: usize) -> EngineSettings {
    let base = settings(Micros(2_000_000));
    let policies = vec![ClassPolicy { retention: Micros(2_000_000) }; classes.len()];
    let limits = Limits { max_attempts, ..base.balancer.limits.clone() };
    let balancer = Settings { classes, limits, ..base.balancer };
    EngineSettings {
        balancer,
        classes: policies,
        key_spaces: key_spaces.iter().map(|class| ClassId(*class)).collect(),
        ..base
    }
}

#[test]
fn stricter_rules_apply_to_open_calls_at_once_but_a_raised_attempt_limit_never_does() {
    let classes = settings(Micros(0)).balancer.classes;
    let mut harness = Harness::new();
    let open = harness.call(1, KEYED, Some("k"), Repeat::Unmarked);
    let mut stricter = classes.clone();
    stricter[KEYED.0].effect = Effect::NonIdempotent;
    harness.engine.update_settings(other_settings(stricter, &[], 3));
    harness.end_oldest(Outcome::Reset);
    harness.advance_by(200_000);
    assert_eq!(
        (harness.verdicts(open), harness.sent.len()),
        (vec!["failed"], 1),
        "the open call is not sent again under the stricter rules"
    );
    // The attempt limit is raised from 1 to 5. A call accepted before keeps the limit of 1, and so do later
    // calls until it is closed.
    let mut harness = Harness::new();
    harness.engine.update_settings(other_settings(classes.clone(), &[], 1));
    let open = harness.call(1, SAFE, None, Repeat::Unmarked);
    harness.engine.update_settings(other_settings(classes, &[], 5));
    harness.end_oldest(Outcome::Full);
    harness.advance_by(500_000);
    assert_eq!((harness.verdicts(open).len(), harness.sent.len()), (1, 1));
    harness.advance_by(1_000_000);
    assert!(harness.engine.is_idle());
    harness.call(1, SAFE, None, Repeat::Unmarked);
    harness.end_oldest(Outcome::Full);
    harness.advance_by(900_000);
    assert!(harness.sent.len() > 2, "the raised limit applies after the open call is closed");
}

#[test]
fn a_class_with_a_new_id_keeps_its_keys() {
    let mut classes = settings(Micros(0)).balancer.classes;
    classes.push(Class { effect: Effect::Idempotent, ..classes[UNSAFE.0] });
    let mut harness = Harness::new();
    let first = harness.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    harness.engine.update_settings(other_settings(classes, &[0, 1, 2, 2], 3));
    assert_eq!(harness.engine.open_classes(), BTreeSet::from([UNSAFE]));
    let repeat = harness.call(2, ClassId(3), Some("k"), Repeat::Unmarked);
    let other = harness.call(2, KEYED, Some("k"), Repeat::Unmarked);
    assert_eq!(
        harness.sent.len(),
        2,
        "the repeat starts no second run; the key of another class is independent"
    );
    harness.end_oldest(Outcome::Ok);
    harness.end_oldest(Outcome::Ok);
    for ticket in [first, repeat, other] {
        assert_eq!(harness.verdicts(ticket), ["served"]);
    }
    let late = harness.call(3, ClassId(3), Some("k"), Repeat::Unmarked);
    assert!(harness.answers[&late][0].recorded);
}

#[test]
fn while_suspended_only_idempotent_calls_are_sent_and_stored_answers_are_returned() {
    let mut harness = Harness::new();
    harness.call(1, UNSAFE, Some("old"), Repeat::Unmarked);
    harness.end_oldest(Outcome::Ok);
    let open = harness.call(1, KEYED, Some("open"), Repeat::Unmarked);
    assert_eq!(harness.sent.len(), 2);
    let request = harness.in_flight[0].0.request;
    assert!(!harness.engine.is_suspended(request));
    harness.engine.suspend_non_idempotent(true);
    assert!(harness.engine.is_suspended(request));
    let stored = harness.call(1, UNSAFE, Some("old"), Repeat::Unmarked);
    let new = harness.call(1, UNSAFE, Some("new"), Repeat::Unmarked);
    let safe = harness.call(1, SAFE, None, Repeat::Unmarked);
    assert_eq!((harness.verdicts(stored), harness.reason(new)), (vec!["served"], Some(Reason::LeaseExpired)));
    assert_eq!(harness.sent.len(), 3, "only the idempotent call is sent");
    harness.end_oldest(Outcome::Full);
    harness.advance_by(300_000);
    assert_eq!(harness.sent.len(), 3, "the open call is not sent again");
    harness.end_oldest(Outcome::Ok);
    harness.advance_by(1_000_000);
    assert_eq!(
        (harness.verdicts(open), harness.verdicts(safe)),
        (vec!["refused"], vec!["served"]),
        "the open call never ran"
    );
    harness.engine.suspend_non_idempotent(false);
    let new = harness.call(1, UNSAFE, Some("new"), Repeat::Unmarked);
    harness.end_oldest(Outcome::Ok);
    assert_eq!(harness.verdicts(new), ["served"]);
    assert!(harness.engine.is_idle());
}
