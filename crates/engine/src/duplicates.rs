//! The table of keys: what was seen, what came of it, and that it was seen at all.
//!
//! It guards keyed and unsafe calls against a second run. A key is in one of four states: unknown, running, ended
//! with an answer on record, or forgotten (the answer is gone, the fact that the key was used is not). A key never
//! goes from any of these back to unknown on its own but by [`DuplicateTable::release`], which the engine calls
//! where every attempt is proven never to have run. What is remembered is bounded in keys and in bytes: results
//! give way first, keys never before their time; a table full of keys takes no further one. Called by the engine.

use crate::answer::{Answer, Reason, Verdict};
use sha2::{Digest, Sha256};
use slatevalve::{ClassId, Micros, RequestId, TenantId};
use std::collections::{HashMap, VecDeque};

/// A key within its tenant and class, as a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 16]);

/// What the call was, so that a key used for another one is noticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fingerprint([u8; 16]);

fn sixteen(hash: Sha256) -> [u8; 16] {
    let mut out = [0; 16];
    out.copy_from_slice(&hash.finalize()[..16]);
    out
}

impl KeyDigest {
    /// The digest of a key.
    pub fn new(tenant: Option<TenantId>, class: ClassId, key: &[u8]) -> Self {
        let tenant = tenant.map_or(0, |t| t.0 as u64 + 1).to_be_bytes();
        let class = (class.0 as u64).to_be_bytes();
        KeyDigest(sixteen(Sha256::new().chain_update(tenant).chain_update(class).chain_update(key)))
    }
}

impl Fingerprint {
    /// The fingerprint of a call.
    pub fn new(function: &str, payload: &[u8]) -> Self {
        let length = (function.len() as u64).to_be_bytes();
        Fingerprint(sixteen(Sha256::new().chain_update(length).chain_update(function).chain_update(payload)))
    }
}

/// How much is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DuplicateLimits {
    /// Keys, running, answered and forgotten together.
    pub keys: usize,
    /// Bytes of recorded results, all together.
    pub result_bytes: usize,
    /// How many times its class's memory a forgotten key still counts as used.
    pub forgotten_for: u32,
}

impl Default for DuplicateLimits {
    fn default() -> Self {
        DuplicateLimits { keys: 1_000_000, result_bytes: 64 * 1024 * 1024, forgotten_for: 8 }
    }
}

/// What is known of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// Nothing: it may run.
    Unknown,
    /// It runs.
    Running(RequestId),
    /// It ended so.
    Answered(Answer),
    /// It was used; how it ended is no longer known.
    Forgotten,
    /// It was used for another function or payload.
    Other,
}

#[derive(Debug)]
enum State {
    Running(RequestId),
    Answered(Answer),
    Forgotten,
}

#[derive(Debug)]
struct Entry {
    fingerprint: Fingerprint,
    state: State,
    /// When its present state ends; of a running one nothing but its end does that.
    until: Micros,
    remember: Micros,
}

/// The table.
#[derive(Debug)]
pub struct DuplicateTable {
    limits: DuplicateLimits,
    entries: HashMap<KeyDigest, Entry>,
    /// Keys with a recorded result, in the order of their end, for those that must give way.
    results: VecDeque<KeyDigest>,
    result_bytes: usize,
}

impl DuplicateTable {
    /// An empty table.
    pub fn new(limits: DuplicateLimits) -> Self {
        DuplicateTable { limits, entries: HashMap::new(), results: VecDeque::new(), result_bytes: 0 }
    }

    /// What is known of a key at a time.
    pub fn look(&self, now: Micros, key: KeyDigest, fingerprint: Fingerprint) -> Seen {
        let Some(entry) = self.entries.get(&key) else { return Seen::Unknown };
        if entry.fingerprint != fingerprint {
            return Seen::Other;
        }
        match &entry.state {
            State::Running(id) => Seen::Running(*id),
            State::Answered(answer) if now < entry.until => {
                Seen::Answered(Answer { recorded: true, ..answer.clone() })
            }
            State::Answered(_) | State::Forgotten => Seen::Forgotten,
        }
    }

    /// Whether no further key can be remembered.
    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.limits.keys
    }

    /// Keys remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Notes that a key runs; its answer will be on record for `remember`.
    pub fn begin(&mut self, key: KeyDigest, fingerprint: Fingerprint, id: RequestId, remember: Micros) {
        let (state, until) = (State::Running(id), Micros(i64::MAX));
        self.entries.insert(key, Entry { fingerprint, state, until, remember });
    }

    /// Puts the answer of a running key on record; returns when [`DuplicateTable::expire`] is due.
    pub fn record(&mut self, now: Micros, key: KeyDigest, answer: Answer) -> Option<Micros> {
        let entry = self.entries.get_mut(&key)?;
        if let Verdict::Served { payload, .. } = &answer.verdict {
            self.result_bytes += payload.len();
            self.results.push_back(key);
        }
        entry.state = State::Answered(answer);
        entry.until = Micros(now.0.saturating_add(entry.remember.0));
        let until = entry.until;
        while self.result_bytes > self.limits.result_bytes {
            let Some(oldest) = self.results.pop_front() else { break };
            self.drop_result(oldest);
        }
        Some(until)
    }

    /// Forgets a key of which nothing ever ran.
    pub fn release(&mut self, key: KeyDigest) {
        self.entries.remove(&key);
    }

    /// A time returned before has come: the answer is forgotten, or the key itself. Returns the next such time.
    pub fn expire(&mut self, now: Micros, key: KeyDigest) -> Option<Micros> {
        let limits = self.limits;
        let entry = self.entries.get_mut(&key).filter(|e| e.until <= now)?;
        match entry.state {
            State::Running(_) => None,
            State::Answered(_) => {
                let longer = entry.remember.0.saturating_mul(i64::from(limits.forgotten_for));
                entry.until = Micros(now.0.saturating_add(longer));
                let until = entry.until;
                self.drop_result(key);
                if let Some(entry) = self.entries.get_mut(&key) {
                    entry.state = State::Forgotten;
                }
                // Results leave the queue in its order; those dropped out of turn are skipped there.
                while self.results.front().is_some_and(|k| !self.holds_result(k)) {
                    self.results.pop_front();
                }
                Some(until)
            }
            State::Forgotten => {
                self.entries.remove(&key);
                None
            }
        }
    }

    fn holds_result(&self, key: &KeyDigest) -> bool {
        let state = self.entries.get(key).map(|e| &e.state);
        matches!(state, Some(State::Answered(Answer { verdict: Verdict::Served { .. }, .. })))
    }

    /// Lets a recorded result go and keeps how the call ended.
    fn drop_result(&mut self, key: KeyDigest) {
        let Some(Entry { state: State::Answered(answer), .. }) = self.entries.get_mut(&key) else { return };
        if let Verdict::Served { payload, .. } = &answer.verdict {
            self.result_bytes = self.result_bytes.saturating_sub(payload.len());
            answer.verdict = Verdict::Failed(Reason::ResultForgotten);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::Arc;

    fn key(n: u8) -> (KeyDigest, Fingerprint) {
        (KeyDigest::new(None, ClassId(0), &[n]), Fingerprint::new("f", &[n]))
    }

    fn served(bytes: usize) -> Answer {
        let payload: Arc<[u8]> = vec![7; bytes].into();
        Answer {
            verdict: Verdict::Served { payload, ran: None },
            attempts: 1,
            recorded: false,
            version: None,
        }
    }

    fn table(result_bytes: usize) -> DuplicateTable {
        DuplicateTable::new(DuplicateLimits { keys: 4, result_bytes, forgotten_for: 2 })
    }

    #[test]
    fn a_key_is_running_then_on_record_then_forgotten_then_unknown() {
        let (mut t, (k, f)) = (table(100), key(1));
        assert_eq!(t.look(Micros(0), k, f), Seen::Unknown);
        t.begin(k, f, RequestId(5), Micros(10));
        assert_eq!(t.look(Micros(1_000), k, f), Seen::Running(RequestId(5)));
        assert_eq!(t.record(Micros(20), k, served(3)), Some(Micros(30)));
        assert_eq!(t.look(Micros(29), k, f), Seen::Answered(Answer { recorded: true, ..served(3) }));
        assert_eq!(t.look(Micros(30), k, f), Seen::Forgotten, "also before its timer fires");
        assert_eq!(t.expire(Micros(30), k), Some(Micros(50)));
        assert_eq!(t.look(Micros(49), k, f), Seen::Forgotten);
        assert_eq!(t.expire(Micros(50), k), None);
        assert_eq!((t.look(Micros(50), k, f), t.len(), t.result_bytes), (Seen::Unknown, 0, 0));
    }

    #[test]
    fn a_key_used_for_another_call_is_noticed_in_every_state() {
        let (mut t, (k, f), (_, other)) = (table(100), key(1), key(2));
        t.begin(k, f, RequestId(5), Micros(10));
        assert_eq!(t.look(Micros(0), k, other), Seen::Other);
        t.record(Micros(0), k, served(3));
        assert_eq!(t.look(Micros(1), k, other), Seen::Other);
        t.expire(Micros(10), k);
        assert_eq!(t.look(Micros(11), k, other), Seen::Other);
    }

    #[test]
    fn results_beyond_the_bytes_give_way_oldest_first_and_their_keys_stay() {
        let mut t = table(100);
        for n in 0..3 {
            let (k, f) = key(n);
            t.begin(k, f, RequestId(u64::from(n)), Micros(10));
            t.record(Micros(0), k, served(45));
        }
        let (k, f) = key(0);
        let Seen::Answered(answer) = t.look(Micros(1), k, f) else { panic!("the key is forgotten") };
        assert_eq!(answer.verdict, Verdict::Failed(Reason::ResultForgotten));
        let (k, f) = key(2);
        assert!(matches!(t.look(Micros(1), k, f), Seen::Answered(a) if a.verdict.word() == "served"));
        assert!(t.result_bytes <= 100);
    }

    #[test]
    fn a_full_table_says_so_and_a_released_key_makes_room() {
        let mut t = table(100);
        for n in 0..4 {
            let (k, f) = key(n);
            t.begin(k, f, RequestId(u64::from(n)), Micros(10));
        }
        assert!(t.is_full());
        t.release(key(3).0);
        assert!(!t.is_full());
        assert_eq!(t.look(Micros(0), key(3).0, key(3).1), Seen::Unknown);
    }
}
