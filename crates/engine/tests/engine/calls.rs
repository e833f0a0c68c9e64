//! Final answers: version mismatches, disconnects, shutdown and limits.

use crate::harness::*;
use slatevalve::{Micros, Outcome};
use slatevalve_engine::*;
use std::sync::Arc;

fn versioned(digest: &str) -> Version {
    Version { name: "1".into(), digest: digest.into(), function: format!("f@{digest}").into() }
}

#[test]
fn a_result_of_another_version_is_discarded_and_its_attempt_counts_as_run() {
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
            if let Some((attempt, body)) = harness.in_flight.first().cloned() {
                assert_eq!(&*body.function, "f@sha256:aa");
                let end =
                    AttemptEnd { ran: Some("sha256:bb".into()), ..AttemptEnd::without_payload(Outcome::Ok) };
                harness.in_flight.clear();
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
fn replicas_are_loaded_in_advance_for_a_function_that_replaces_another() {
    let mut harness = Harness::new();
    for _ in 0..40 {
        harness.call(1, SAFE, None, Repeat::Unmarked);
        harness.end_oldest(Outcome::Ok);
    }
    let (new, mut out): (Arc<str>, _) = ("f@new".into(), Vec::new());
    assert!(harness.engine.workers_serving("f") >= 1);
    assert_eq!(harness.engine.expect_load(harness.now, &new, "f", 1, &mut out), 1);
    assert!(matches!(&out[..], [Output::Load { name, copies: 1, .. }] if **name == *new));
    assert_eq!(harness.engine.expect_load(harness.now, &new, "function-without-calls", 1, &mut out), 0);
}

#[test]
fn a_disconnect_cancels_an_idempotent_call_but_not_one_whose_answer_is_stored() {
    let mut harness = Harness::new();
    let (idempotent, non_idempotent) =
        (harness.call(1, SAFE, None, Repeat::Unmarked), harness.call(1, UNSAFE, Some("k"), Repeat::Unmarked));
    harness.engine.client_disconnected(harness.now, idempotent, &mut harness.out);
    harness.engine.client_disconnected(harness.now, non_idempotent, &mut harness.out);
    harness.drain_outputs();
    assert_eq!(harness.in_flight.len(), 1, "only the idempotent call's attempt is cancelled");
    harness.end_oldest(Outcome::Ok);
    assert!(harness.answers.is_empty() && harness.engine.is_idle());
    let repeat = harness.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    assert_eq!((harness.verdicts(repeat), harness.sent.len()), (vec!["served"], 2));
}

#[test]
fn stopping_refuses_new_calls_and_fails_open_ones_that_may_have_run() {
    let mut harness = Harness::new();
    let sent = harness.call(1, SAFE, None, Repeat::Unmarked);
    harness.engine.stop(harness.now, Micros(harness.now.0 + 50_000));
    let late = harness.call(1, SAFE, None, Repeat::Unmarked);
    assert_eq!(harness.reason(late), Some(Reason::Stopping));
    harness.advance_by(60_000);
    assert_eq!((harness.verdicts(sent), harness.engine.unanswered()), (vec!["failed"], 0));
}

#[test]
fn calls_beyond_the_limits_of_open_calls_and_keys_are_refused() {
    let mut harness = Harness::new();
    let tickets: Vec<Ticket> = (0..40).map(|_| harness.call(1, SAFE, None, Repeat::Unmarked)).collect();
    assert_eq!(harness.reason(tickets[39]), Some(Reason::TooManyOpen));
    harness.advance_by(2_000_000);
    assert!(tickets.iter().all(|t| harness.verdicts(*t).len() == 1));
    for n in 0..64 {
        harness.call(1, UNSAFE, Some(&format!("k{n}")), Repeat::Unmarked);
        harness.end_oldest(Outcome::Ok);
    }
    let over_limit = harness.call(1, UNSAFE, Some("one more"), Repeat::Unmarked);
    assert_eq!(harness.reason(over_limit), Some(Reason::KeyTableFull));
}

/// Guards against memory that grows with the payloads of open calls (report 9fde00).
#[test]
fn calls_beyond_the_limit_of_open_bytes_are_refused_until_others_have_ended() {
    let limit = 3 * OPEN_CALL_BYTES;
    let mut harness = Harness::with_settings(EngineSettings { max_open_bytes: limit, ..settings(Micros(0)) });
    let tickets: Vec<Ticket> = (0..3).map(|_| harness.call(1, SAFE, None, Repeat::Unmarked)).collect();
    assert_eq!(harness.reason(tickets[2]), Some(Reason::TooManyOpen));
    harness.end_oldest(Outcome::Ok);
    let next = harness.call(1, SAFE, None, Repeat::Unmarked);
    assert_ne!(harness.reason(next), Some(Reason::TooManyOpen));
}
