//! States of a key over time, and limits of the table.

use super::*;
use std::sync::Arc;

fn key(n: u8) -> (KeyDigest, Fingerprint) {
    (KeyDigest::new(None, ClassId(0), &[n]), Fingerprint::new("f", &[n]))
}

fn served(bytes: usize) -> Answer {
    let payload: Arc<[u8]> = vec![7; bytes].into();
    Answer { verdict: Verdict::Served { payload, ran: None }, attempts: 1, recorded: false, version: None }
}

fn table(result_bytes: usize) -> DuplicateTable {
    DuplicateTable::new(DuplicateLimits { keys: 4, result_bytes, forgotten_for: 2 })
}

#[test]
fn a_key_is_running_then_completed_then_expired_then_unknown() {
    let (mut duplicates, (digest, fingerprint)) = (table(100), key(1));
    assert_eq!(duplicates.lookup(Micros(0), digest, fingerprint), KeyStatus::Unknown);
    duplicates.insert_running(digest, fingerprint, RequestId(5), Micros(10));
    assert_eq!(duplicates.lookup(Micros(1_000), digest, fingerprint), KeyStatus::Running(RequestId(5)));
    assert_eq!(duplicates.record_answer(Micros(20), digest, served(3)), Some(Micros(30)));
    assert_eq!(
        duplicates.lookup(Micros(29), digest, fingerprint),
        KeyStatus::Completed(Answer { recorded: true, ..served(3) })
    );
    assert_eq!(
        duplicates.lookup(Micros(30), digest, fingerprint),
        KeyStatus::Expired,
        "an expired answer must not be returned, even before its timer fires"
    );
    assert_eq!(duplicates.expire(Micros(30), digest), Some(Micros(50)));
    assert_eq!(duplicates.lookup(Micros(49), digest, fingerprint), KeyStatus::Expired);
    assert_eq!(duplicates.expire(Micros(50), digest), None);
    assert_eq!(
        (duplicates.lookup(Micros(50), digest, fingerprint), duplicates.len(), duplicates.result_bytes),
        (KeyStatus::Unknown, 0, 0)
    );
}

#[test]
fn reuse_of_a_key_for_another_call_is_detected_in_every_state() {
    let (mut duplicates, (digest, fingerprint), (_, other)) = (table(100), key(1), key(2));
    duplicates.insert_running(digest, fingerprint, RequestId(5), Micros(10));
    assert_eq!(duplicates.lookup(Micros(0), digest, other), KeyStatus::Mismatch);
    duplicates.record_answer(Micros(0), digest, served(3));
    assert_eq!(duplicates.lookup(Micros(1), digest, other), KeyStatus::Mismatch);
    duplicates.expire(Micros(10), digest);
    assert_eq!(duplicates.lookup(Micros(11), digest, other), KeyStatus::Mismatch);
}

#[test]
fn the_oldest_results_beyond_the_byte_limit_are_evicted_but_their_keys_remain() {
    let mut duplicates = table(100);
    for n in 0..3 {
        let (digest, fingerprint) = key(n);
        duplicates.insert_running(digest, fingerprint, RequestId(u64::from(n)), Micros(10));
        duplicates.record_answer(Micros(0), digest, served(45));
    }
    let (digest, fingerprint) = key(0);
    let KeyStatus::Completed(answer) = duplicates.lookup(Micros(1), digest, fingerprint) else {
        panic!("the key of an evicted result must remain completed")
    };
    assert_eq!(answer.verdict, Verdict::Failed(Reason::ResultEvicted));
    let (digest, fingerprint) = key(2);
    let newest = duplicates.lookup(Micros(1), digest, fingerprint);
    assert!(matches!(newest, KeyStatus::Completed(answer) if answer.verdict.as_str() == "served"));
    assert!(duplicates.result_bytes <= 100);
}

#[test]
fn a_full_table_has_room_again_after_a_key_is_released() {
    let mut duplicates = table(100);
    for n in 0..4 {
        let (digest, fingerprint) = key(n);
        duplicates.insert_running(digest, fingerprint, RequestId(u64::from(n)), Micros(10));
    }
    assert!(duplicates.is_full());
    duplicates.release(key(3).0);
    assert!(!duplicates.is_full());
    assert_eq!(duplicates.lookup(Micros(0), key(3).0, key(3).1), KeyStatus::Unknown);
}
