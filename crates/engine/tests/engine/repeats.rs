//! Idempotency keys: repeats join, replay the stored answer or are refused.

use crate::harness::*;
use slatevalve::{Listing, Micros, Outcome, Scope, WorkerEntry, WorkerId};
use slatevalve_engine::*;
use std::sync::Arc;

#[test]
fn a_repeat_joins_the_running_call_and_the_same_clients_first_ticket_gives_way() {
    let mut harness = Harness::new();
    let first = harness.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    let again = harness.call(1, UNSAFE, Some("k"), Repeat::Marked { covered_since: Some(harness.now) });
    let other = harness.call(2, UNSAFE, Some("k"), Repeat::Unmarked);
    assert_eq!(harness.sent.len(), 1);
    harness.end_first(Outcome::Ok);
    assert!(harness.superseded.contains(&first) && harness.verdicts(first).is_empty());
    assert_eq!((harness.verdicts(again), harness.verdicts(other)), (vec!["served"], vec!["served"]));
    assert!(harness.engine.is_idle());
}

#[test]
fn a_repeat_after_the_answer_gets_the_record_and_after_the_memory_a_refusal() {
    let mut harness = Harness::new();
    harness.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    harness.end_first(Outcome::Ok);
    harness.advance_by(1_900_000);
    let again = harness.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    assert_eq!(harness.verdicts(again), ["served"]);
    assert!(harness.answers[&again][0].recorded);
    harness.advance_by(200_000);
    let late = harness.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    assert_eq!(harness.reason(late), Some(Reason::UnknownRepeat));
    assert_eq!(harness.sent.len(), 1, "nothing ran again");
    harness.advance_by(20_000_000);
    assert_eq!(harness.engine.keys(), 0, "the table empties");
}

#[test]
fn a_marked_repeat_with_an_unknown_key_runs_only_where_all_that_was_taken_is_remembered() {
    let mut harness = Harness::new();
    harness.advance_by(10_000_000);
    let blind = harness.call(1, UNSAFE, Some("a"), Repeat::Marked { covered_since: None });
    let old = harness.call(1, KEYED, Some("b"), Repeat::Marked { covered_since: Some(Micros(1)) });
    assert_eq!(
        (harness.reason(blind), harness.reason(old)),
        (Some(Reason::UnknownRepeat), Some(Reason::UnknownRepeat))
    );
    assert!(harness.sent.is_empty());
    harness.call(1, UNSAFE, Some("c"), Repeat::Marked { covered_since: Some(Micros(9_000_000)) });
    assert_eq!(harness.sent.len(), 1);
}

#[test]
fn a_charge_that_may_have_run_fails_is_not_sent_again_and_its_failure_is_on_record() {
    let mut harness = Harness::new();
    let first = harness.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    harness.end_first(Outcome::Reset);
    harness.advance_by(100_000);
    let again = harness.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    assert_eq!((harness.verdicts(first), harness.verdicts(again)), (vec!["failed"], vec!["failed"]));
    assert_eq!(harness.sent.len(), 1);
}

#[test]
fn a_key_of_which_nothing_ran_may_run_later() {
    let mut harness = Harness::new();
    let first = harness.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    for _ in 0..8 {
        harness.end_first(Outcome::Full);
        harness.advance_by(100_000);
    }
    harness.advance_by(1_000_000);
    assert_eq!(harness.verdicts(first), ["refused"]);
    let before = harness.sent.len();
    harness.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    harness.advance_by(500_000);
    assert!(harness.sent.len() > before);
}

#[test]
fn a_repeat_stays_with_the_version_of_the_first_also_when_its_name_means_nothing_any_more() {
    let mut harness = Harness::new();
    harness.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    harness.end_first(Outcome::Ok);
    let call = Call {
        version: Err(Reason::Quarantined),
        key: Some(b"k".as_slice().into()),
        ..new_call(Ticket(800), UNSAFE)
    };
    harness.engine.call(harness.now, call.clone(), &mut harness.out);
    let other = Call { ticket: Ticket(801), key: Some(b"l".as_slice().into()), ..call };
    harness.engine.call(harness.now, other, &mut harness.out);
    harness.drain_outputs();
    assert_eq!(harness.verdicts(Ticket(800)), ["served"]);
    assert_eq!(harness.reason(Ticket(801)), Some(Reason::Quarantined));
}

#[test]
fn keys_used_for_another_call_and_calls_without_the_key_they_need_are_refused() {
    let mut harness = Harness::new();
    let none = harness.call(1, KEYED, None, Repeat::Unmarked);
    assert_eq!(harness.reason(none), Some(Reason::KeyMissing));
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

/// On a platform whose workers drop repeats, nothing but the module decides: each call begins a run, an unsafe one needs
/// no key, a keyed one's key is passed on, and a call whose client left is left to the module.
#[test]
fn without_a_table_every_call_runs_and_keys_pass() {
    let mut without = settings(Micros(1_000_000));
    without.duplicates = None;
    let mut engine = Engine::new(without);
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
    let wanted: Vec<(Option<&str>, Option<&[u8]>)> =
        vec![(Some("id-1"), None), (Some("id-2"), Some(b"k")), (Some("id-3"), Some(b"k"))];
    assert_eq!(bodies, wanted);
    assert_eq!(engine.keys(), 0);
    out.clear();
    engine.client_disconnected(Micros(300_000), Ticket(1), &mut out);
    assert!(out.iter().any(|o| matches!(o, Output::Cancel(_))), "what nobody waits for is called off");
}
