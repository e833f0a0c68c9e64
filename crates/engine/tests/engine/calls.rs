//! Final answers: versions, disconnects, shutdown and limits.

use crate::harness::*;
use slatevalve::{Micros, Outcome};
use slatevalve_engine::*;
use std::sync::Arc;

fn versioned(digest: &str) -> Version {
    Version { name: "1".into(), digest: digest.into(), function: format!("f@{digest}").into() }
}

#[test]
fn an_answer_from_other_content_is_not_passed_on_and_counts_as_run() {
    for class in [SAFE, UNSAFE] {
        let mut harness = Harness::new();
        let ticket = Ticket(700);
        let call = Call {
            version: Ok(Some(versioned("sha256:aa"))),
            key: Some(b"k".as_slice().into()),
            ..new_call(ticket, class)
        };
        harness.engine.call(harness.now, call, &mut harness.out);
        harness.drain_outputs();
        for _ in 0..3 {
            if let Some((attempt, body)) = harness.waiting.first().cloned() {
                assert_eq!(&*body.function, "f@sha256:aa");
                let end =
                    AttemptEnd { ran: Some("sha256:bb".into()), ..AttemptEnd::without_payload(Outcome::Ok) };
                harness.waiting.clear();
                harness.engine.attempt_completed(harness.now, attempt, end, &mut harness.out);
                harness.drain_outputs();
            }
        }
        harness.advance_by(2_000_000);
        let verdicts = harness.verdicts(ticket);
        assert!(verdicts == ["failed"] || (class == SAFE && verdicts == ["refused"]), "{verdicts:?}");
        assert_eq!(harness.answers[&ticket][0].version.as_ref().map(|v| &*v.digest), Some("sha256:aa"));
        let sent = harness.sent.len() as u64;
        assert_eq!(
            (harness.engine.statistics().version_mismatches, class == SAFE || sent == 1),
            (sent, true)
        );
    }
}

#[test]
fn copies_are_ordered_ahead_for_a_function_that_takes_over() {
    let mut harness = Harness::new();
    for _ in 0..40 {
        harness.call(1, SAFE, None, Repeat::Unmarked);
        harness.end_first(Outcome::Ok);
    }
    let (new, mut out): (Arc<str>, _) = ("f@new".into(), Vec::new());
    assert!(harness.engine.workers_serving("f") >= 1);
    assert_eq!(harness.engine.expect_load(harness.now, &new, "f", 1, &mut out), 1);
    assert!(matches!(&out[..], [Output::Load { name, copies: 1, .. }] if **name == *new));
    assert_eq!(harness.engine.expect_load(harness.now, &new, "nobody", 1, &mut out), 0);
}

#[test]
fn a_safe_call_is_called_off_when_its_client_leaves_and_a_charge_runs_on_for_the_record() {
    let mut harness = Harness::new();
    let (quote, charge) =
        (harness.call(1, SAFE, None, Repeat::Unmarked), harness.call(1, UNSAFE, Some("k"), Repeat::Unmarked));
    harness.engine.client_disconnected(harness.now, quote, &mut harness.out);
    harness.engine.client_disconnected(harness.now, charge, &mut harness.out);
    harness.drain_outputs();
    assert_eq!(harness.waiting.len(), 1, "the quote's attempt was called off");
    harness.end_first(Outcome::Ok);
    assert!(harness.answers.is_empty() && harness.engine.is_idle());
    let again = harness.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    assert_eq!((harness.verdicts(again), harness.sent.len()), (vec!["served"], 2));
}

#[test]
fn stopping_refuses_what_never_ran_and_fails_what_may_have() {
    let mut harness = Harness::new();
    let sent = harness.call(1, SAFE, None, Repeat::Unmarked);
    harness.engine.stop(harness.now, Micros(harness.now.0 + 50_000));
    let late = harness.call(1, SAFE, None, Repeat::Unmarked);
    assert_eq!(harness.reason(late), Some(Reason::Stopping));
    harness.advance_by(60_000);
    assert_eq!((harness.verdicts(sent), harness.engine.unanswered()), (vec!["failed"], 0));
}

#[test]
fn everything_is_bounded_and_what_is_beyond_is_refused_with_its_reason() {
    let mut harness = Harness::new();
    let tickets: Vec<Ticket> = (0..40).map(|_| harness.call(1, SAFE, None, Repeat::Unmarked)).collect();
    assert_eq!(harness.reason(tickets[39]), Some(Reason::TooManyOpen));
    harness.advance_by(2_000_000);
    assert!(tickets.iter().all(|t| harness.verdicts(*t).len() == 1));
    for n in 0..64 {
        harness.call(1, UNSAFE, Some(&format!("k{n}")), Repeat::Unmarked);
        harness.end_first(Outcome::Ok);
    }
    let beyond = harness.call(1, UNSAFE, Some("one more"), Repeat::Unmarked);
    assert_eq!(harness.reason(beyond), Some(Reason::KeyTableFull));
}
