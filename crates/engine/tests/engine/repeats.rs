//! Idempotency keys: repeats join, replay the stored answer or are refused.

use crate::harness::*;
use slatevalve::{Listing, Micros, Outcome, Scope, WorkerEntry, WorkerId};
use slatevalve_engine::*;
use std::sync::Arc;

#[test]
fn a_repeat_joins_the_running_call_and_supersedes_the_same_clients_ticket() {
    let mut harness = Harness::new();
    let first = harness.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    let repeat = harness.call(1, UNSAFE, Some("k"), Repeat::Marked { covered_since: Some(harness.now) });
    let other = harness.call(2, UNSAFE, Some("k"), Repeat::Unmarked);
    assert_eq!(harness.sent.len(), 1);
    harness.end_oldest(Outcome::Ok);
    assert!(harness.superseded.contains(&first) && harness.verdicts(first).is_empty());
    assert_eq!((harness.verdicts(repeat), harness.verdicts(other)), (vec!["served"], vec!["served"]));
    assert!(harness.engine.is_idle());
}

#[test]
fn a_repeat_gets_the_stored_answer_until_it_expires_and_then_a_failure() {
    let mut harness = Harness::new();
    harness.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    harness.end_oldest(Outcome::Ok);
    harness.advance_by(1_900_000);
    let repeat = harness.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    assert_eq!(harness.verdicts(repeat), ["served"]);
    assert!(harness.answers[&repeat][0].recorded);
    harness.advance_by(200_000);
    let expired = harness.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    assert_eq!(harness.reason(expired), Some(Reason::UnknownRepeat));
    assert_eq!(harness.verdicts(expired), ["failed"]);
    assert_eq!(harness.sent.len(), 1, "the repeats started no second run");
    harness.advance_by(20_000_000);
    assert_eq!(harness.engine.keys(), 0, "expired keys are removed from the table");
}

#[test]
fn a_marked_repeat_with_an_unknown_key_runs_only_if_its_key_cannot_have_been_removed() {
    let mut harness = Harness::new();
    harness.advance_by(10_000_000);
    let uncovered = harness.call(1, UNSAFE, Some("a"), Repeat::Marked { covered_since: None });
    let old = harness.call(1, KEYED, Some("b"), Repeat::Marked { covered_since: Some(Micros(1)) });
    assert_eq!(
        (harness.reason(uncovered), harness.reason(old)),
        (Some(Reason::UnknownRepeat), Some(Reason::UnknownRepeat))
    );
    assert_eq!((harness.verdicts(uncovered), harness.verdicts(old)), (vec!["failed"], vec!["failed"]));
    // The key now counts as that of a call that may have run, however the call is sent again.
    let again = harness.call(2, UNSAFE, Some("a"), Repeat::Unmarked);
    assert_eq!(harness.verdicts(again), ["failed"]);
    assert!(harness.sent.is_empty());
    harness.call(1, UNSAFE, Some("c"), Repeat::Marked { covered_since: Some(Micros(9_000_000)) });
    assert_eq!(harness.sent.len(), 1);
}

#[test]
fn a_non_idempotent_call_that_may_have_run_is_not_sent_again_and_its_failure_is_stored() {
    let mut harness = Harness::new();
    let first = harness.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    harness.end_oldest(Outcome::Reset);
    harness.advance_by(100_000);
    let repeat = harness.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    assert_eq!((harness.verdicts(first), harness.verdicts(repeat)), (vec!["failed"], vec!["failed"]));
    assert_eq!(harness.sent.len(), 1);
}

#[test]
fn the_key_of_a_call_that_never_ran_may_be_used_again() {
    let mut harness = Harness::new();
    let first = harness.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    for _ in 0..8 {
        harness.end_oldest(Outcome::Full);
        harness.advance_by(100_000);
    }
    harness.advance_by(1_000_000);
    assert_eq!(harness.verdicts(first), ["refused"]);
    let sent_before = harness.sent.len();
    harness.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    harness.advance_by(500_000);
    assert!(harness.sent.len() > sent_before);
}

#[test]
fn a_repeat_keeps_the_version_of_the_first_submission_even_if_its_name_no_longer_resolves() {
    let mut harness = Harness::new();
    harness.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    harness.end_oldest(Outcome::Ok);
    let call = Call {
        version: Err(Reason::Quarantined),
        key: Some(b"k".as_slice().into()),
        ..new_call(Ticket(800), UNSAFE)
    };
    harness.engine.call(harness.now, call.clone(), &mut harness.out);
    let other_key = Call { ticket: Ticket(801), key: Some(b"l".as_slice().into()), ..call };
    harness.engine.call(harness.now, other_key, &mut harness.out);
    harness.drain_outputs();
    assert_eq!(harness.verdicts(Ticket(800)), ["served"]);
    assert_eq!(harness.reason(Ticket(801)), Some(Reason::Quarantined));
}

#[test]
fn missing_keys_and_keys_reused_for_another_call_are_refused() {
    let mut harness = Harness::new();
    let without_key = harness.call(1, KEYED, None, Repeat::Unmarked);
    assert_eq!(harness.reason(without_key), Some(Reason::KeyMissing));
    harness.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    let call = Call {
        key: Some(b"k".as_slice().into()),
        payload: Arc::from(&b"another amount"[..]),
        ..new_call(Ticket(900), UNSAFE)
    };
    harness.engine.call(harness.now, call, &mut harness.out);
    harness.drain_outputs();
    assert_eq!(harness.reason(Ticket(900)), Some(Reason::KeyReused));
}

/// Guards against a second run after a refusal for any reason: a refusal says that the call never ran, which
/// is not known of a repeat that an earlier process may have accepted.
#[test]
fn a_repeat_that_may_have_run_before_is_never_refused() {
    let marked = Repeat::Marked { covered_since: None };
    let mut harness = Harness::new();
    harness.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    let other_payload = |ticket: u64, repeat| Call {
        key: Some(b"k".as_slice().into()),
        payload: Arc::from(&b"another amount"[..]),
        repeat,
        ..new_call(Ticket(ticket), UNSAFE)
    };
    harness.engine.call(harness.now, other_payload(900, marked), &mut harness.out);
    harness.engine.call(harness.now, other_payload(901, Repeat::Unmarked), &mut harness.out);
    harness.drain_outputs();
    assert_eq!(
        (harness.verdicts(Ticket(900)), harness.reason(Ticket(900))),
        (vec!["failed"], Some(Reason::KeyReused))
    );
    assert_eq!(harness.verdicts(Ticket(901)), ["refused"]);
    harness.engine.stop(harness.now, Micros(harness.now.0 + 1_000_000));
    let stopping = harness.call(1, UNSAFE, Some("l"), marked);
    assert_eq!(harness.verdicts(stopping), ["failed"]);
    let unmarked = harness.call(1, UNSAFE, Some("m"), Repeat::Unmarked);
    assert_eq!(
        (harness.verdicts(unmarked), harness.reason(unmarked)),
        (vec!["refused"], Some(Reason::Stopping))
    );
    // Without side effects a second run does no harm.
    let harmless = harness.call(1, SAFE, Some("n"), marked);
    assert_eq!(harness.verdicts(harmless), ["refused"]);
}

/// On a platform whose workers drop duplicates, the engine has no duplicate table: each call starts a run, a
/// non-idempotent one needs no key, keys are forwarded, and the balancer cancels a call whose client
/// disconnected.
#[test]
fn without_a_duplicate_table_every_call_runs_and_keys_are_forwarded() {
    let mut settings = settings(Micros(1_000_000));
    settings.duplicates = None;
    let mut engine = Engine::new(settings);
    let mut out = Vec::new();
    let worker = WorkerEntry { id: WorkerId(1), ..WorkerEntry::default() };
    let listing = Listing { scope: Scope::Full, entries: vec![worker] };
    engine.workers_listed(Micros(1_000), listing, &mut out);
    let call = |ticket: u64, key: Option<&[u8]>| Call {
        request_id: Some(format!("id-{ticket}").into()),
        key: key.map(Into::into),
        repeat: Repeat::Marked { covered_since: None },
        ..new_call(Ticket(ticket), UNSAFE)
    };
    let keys: [Option<&[u8]>; 3] = [None, Some(b"k"), Some(b"k")];
    for (n, key) in keys.into_iter().enumerate() {
        engine.call(Micros(2_000), call(n as u64 + 1, key), &mut out);
    }
    for n in 1..200 {
        engine.advance(Micros(2_000 + n * 1_000), &mut out);
    }
    let bodies: Vec<_> = out
        .iter()
        .filter_map(|o| match o {
            Output::Send { body, .. } => Some((body.request_id.as_deref(), body.key.as_deref())),
            _ => None,
        })
        .collect();
    let expected: Vec<(Option<&str>, Option<&[u8]>)> =
        vec![(Some("id-1"), None), (Some("id-2"), Some(b"k")), (Some("id-3"), Some(b"k"))];
    assert_eq!(bodies, expected);
    assert_eq!(engine.keys(), 0);
    out.clear();
    engine.client_disconnected(Micros(300_000), Ticket(1), &mut out);
    assert!(
        out.iter().any(|o| matches!(o, Output::Cancel(_))),
        "the attempt of a call whose client disconnected is cancelled"
    );
}
