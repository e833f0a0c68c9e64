//! The states of a key over time, and the limits of the table.

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
fn a_key_is_running_then_on_record_then_forgotten_then_unknown() {
    let (mut t, (k, f)) = (table(100), key(1));
    assert_eq!(t.lookup(Micros(0), k, f), KeyStatus::Unknown);
    t.insert_running(k, f, RequestId(5), Micros(10));
    assert_eq!(t.lookup(Micros(1_000), k, f), KeyStatus::Running(RequestId(5)));
    assert_eq!(t.record_answer(Micros(20), k, served(3)), Some(Micros(30)));
    assert_eq!(t.lookup(Micros(29), k, f), KeyStatus::Completed(Answer { recorded: true, ..served(3) }));
    assert_eq!(t.lookup(Micros(30), k, f), KeyStatus::Forgotten, "also before its timer fires");
    assert_eq!(t.expire(Micros(30), k), Some(Micros(50)));
    assert_eq!(t.lookup(Micros(49), k, f), KeyStatus::Forgotten);
    assert_eq!(t.expire(Micros(50), k), None);
    assert_eq!((t.lookup(Micros(50), k, f), t.len(), t.result_bytes), (KeyStatus::Unknown, 0, 0));
}

#[test]
fn a_key_used_for_another_call_is_noticed_in_every_state() {
    let (mut t, (k, f), (_, other)) = (table(100), key(1), key(2));
    t.insert_running(k, f, RequestId(5), Micros(10));
    assert_eq!(t.lookup(Micros(0), k, other), KeyStatus::Mismatch);
    t.record_answer(Micros(0), k, served(3));
    assert_eq!(t.lookup(Micros(1), k, other), KeyStatus::Mismatch);
    t.expire(Micros(10), k);
    assert_eq!(t.lookup(Micros(11), k, other), KeyStatus::Mismatch);
}

#[test]
fn results_beyond_the_bytes_give_way_oldest_first_and_their_keys_stay() {
    let mut t = table(100);
    for n in 0..3 {
        let (k, f) = key(n);
        t.insert_running(k, f, RequestId(u64::from(n)), Micros(10));
        t.record_answer(Micros(0), k, served(45));
    }
    let (k, f) = key(0);
    let KeyStatus::Completed(answer) = t.lookup(Micros(1), k, f) else { panic!("the key is forgotten") };
    assert_eq!(answer.verdict, Verdict::Failed(Reason::ResultEvicted));
    let (k, f) = key(2);
    assert!(matches!(t.lookup(Micros(1), k, f), KeyStatus::Completed(a) if a.verdict.word() == "served"));
    assert!(t.result_bytes <= 100);
}

#[test]
fn a_full_table_says_so_and_a_released_key_makes_room() {
    let mut t = table(100);
    for n in 0..4 {
        let (k, f) = key(n);
        t.insert_running(k, f, RequestId(u64::from(n)), Micros(10));
    }
    assert!(t.is_full());
    t.release(key(3).0);
    assert!(!t.is_full());
    assert_eq!(t.lookup(Micros(0), key(3).0, key(3).1), KeyStatus::Unknown);
}
