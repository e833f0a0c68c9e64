//! The duplicate table: which idempotency keys were used, and how their calls ended.
//!
//! It prevents a second run of calls with side effects. A key is unknown, running, completed with a stored
//! answer, or expired (the answer was dropped, but the key still counts as used). A key becomes unknown
//! again when an expired key is removed, or by [`DuplicateTable::release`], which the engine calls only if
//! every attempt is proven never to have run. The table is bounded in keys and in bytes of results: the
//! oldest results are evicted, keys never are. A full table accepts no further key.

use crate::answer::{Answer, Reason, Verdict};
use sha2::{Digest, Sha256};
use slatevalve::{ClassId, Micros, RequestId, TenantId};
use std::collections::{HashMap, VecDeque};

/// Length of a truncated SHA-256 digest: with 128 bits, collisions are negligible.
const DIGEST_BYTES: usize = 16;

/// Digest of an idempotency key together with its tenant and class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct KeyDigest([u8; DIGEST_BYTES]);

/// Digest of the function and payload of a call, by which a key that is reused for another call is detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Fingerprint([u8; DIGEST_BYTES]);

fn truncated_digest(hash: Sha256) -> [u8; DIGEST_BYTES] {
    let mut digest = [0; DIGEST_BYTES];
    digest.copy_from_slice(&hash.finalize()[..DIGEST_BYTES]);
    digest
}

impl KeyDigest {
    /// Computes the digest of a key within its tenant and class.
    #[must_use]
    pub(crate) fn new(tenant: Option<TenantId>, class: ClassId, key: &[u8]) -> Self {
        let tenant = tenant.map_or(0, |id| id.0 as u64 + 1).to_be_bytes();
        let class = (class.0 as u64).to_be_bytes();
        KeyDigest(truncated_digest(Sha256::new().chain_update(tenant).chain_update(class).chain_update(key)))
    }
}

impl Fingerprint {
    /// Computes the fingerprint of a call.
    #[must_use]
    pub(crate) fn new(function: &str, payload: &[u8]) -> Self {
        let length = (function.len() as u64).to_be_bytes();
        let hash = Sha256::new().chain_update(length).chain_update(function).chain_update(payload);
        Fingerprint(truncated_digest(hash))
    }
}

/// Limits of the duplicate table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DuplicateLimits {
    /// Maximum number of keys, counting running, completed and expired ones.
    pub keys: usize,
    /// Maximum total size in bytes of all stored results.
    pub result_bytes: usize,
    /// How long an expired key still counts as used, as a multiple of the retention time of its class.
    pub forgotten_for: u32,
}

impl Default for DuplicateLimits {
    fn default() -> Self {
        DuplicateLimits { keys: 1_000_000, result_bytes: 64 * 1024 * 1024, forgotten_for: 8 }
    }
}

/// Status of a key, as returned by [`DuplicateTable::lookup`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum KeyStatus {
    /// The key is not in the table.
    Unknown,
    /// The call with this key is running.
    Running(RequestId),
    /// The call ended with this answer.
    Completed(Answer),
    /// The key was used; the answer is no longer stored.
    Expired,
    /// The key was used for another function or payload.
    Mismatch,
}

#[derive(Debug)]
enum EntryState {
    Running(RequestId),
    Completed(Answer),
    Expired,
}

#[derive(Debug)]
struct Entry {
    fingerprint: Fingerprint,
    state: EntryState,
    /// When the current state expires; `Micros(i64::MAX)` for a running call.
    expires_at: Micros,
    /// How long the answer is stored after the call ended.
    retention: Micros,
}

/// The table of idempotency keys.
#[derive(Debug)]
pub(crate) struct DuplicateTable {
    limits: DuplicateLimits,
    entries: HashMap<KeyDigest, Entry>,
    /// Keys with a stored result, in the order of eviction: oldest first.
    results: VecDeque<KeyDigest>,
    result_bytes: usize,
}

impl DuplicateTable {
    /// Creates an empty table.
    #[must_use]
    pub(crate) fn new(limits: DuplicateLimits) -> Self {
        DuplicateTable { limits, entries: HashMap::new(), results: VecDeque::new(), result_bytes: 0 }
    }

    /// Status of a key at `now`.
    #[must_use]
    pub(crate) fn lookup(&self, now: Micros, key: KeyDigest, fingerprint: Fingerprint) -> KeyStatus {
        let Some(entry) = self.entries.get(&key) else { return KeyStatus::Unknown };
        if entry.fingerprint != fingerprint {
            return KeyStatus::Mismatch;
        }
        match &entry.state {
            EntryState::Running(id) => KeyStatus::Running(*id),
            EntryState::Completed(answer) if now < entry.expires_at => {
                KeyStatus::Completed(Answer { recorded: true, ..answer.clone() })
            }
            EntryState::Completed(_) | EntryState::Expired => KeyStatus::Expired,
        }
    }

    /// Whether the maximum number of keys is reached.
    #[must_use]
    pub(crate) fn is_full(&self) -> bool {
        self.entries.len() >= self.limits.keys
    }

    /// Number of keys in the table.
    #[must_use]
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Inserts a key whose call starts a run; its answer will be stored for `retention`.
    pub(crate) fn insert_running(
        &mut self,
        key: KeyDigest,
        fingerprint: Fingerprint,
        id: RequestId,
        retention: Micros,
    ) {
        self.insert(key, fingerprint, EntryState::Running(id), retention);
    }

    /// Inserts a key whose call an earlier process may have run. Its answer must be stored next, for
    /// `retention`.
    pub(crate) fn insert_unknown(&mut self, key: KeyDigest, fingerprint: Fingerprint, retention: Micros) {
        self.insert(key, fingerprint, EntryState::Expired, retention);
    }

    /// Inserts a key whose state does not expire by itself.
    fn insert(&mut self, key: KeyDigest, fingerprint: Fingerprint, state: EntryState, retention: Micros) {
        let expires_at = Micros(i64::MAX);
        self.entries.insert(key, Entry { fingerprint, state, expires_at, retention });
    }

    /// Stores the answer of a running key; returns the time at which [`DuplicateTable::expire`] is due.
    pub(crate) fn record_answer(&mut self, now: Micros, key: KeyDigest, answer: Answer) -> Option<Micros> {
        let entry = self.entries.get_mut(&key)?;
        if let Verdict::Served { payload, .. } = &answer.verdict {
            self.result_bytes += payload.len();
            self.results.push_back(key);
        }
        entry.state = EntryState::Completed(answer);
        entry.expires_at = Micros(now.0.saturating_add(entry.retention.0));
        let expires_at = entry.expires_at;
        while self.result_bytes > self.limits.result_bytes {
            let Some(oldest) = self.results.pop_front() else { break };
            self.evict_result(oldest);
        }
        Some(expires_at)
    }

    /// Removes the key of a call of which no attempt ran.
    pub(crate) fn release(&mut self, key: KeyDigest) {
        self.entries.remove(&key);
    }

    /// Expires the state of a key if that is due at `now`: a completed key becomes expired, and an
    /// expired one is removed. Returns the time at which the next call of this function is due.
    pub(crate) fn expire(&mut self, now: Micros, key: KeyDigest) -> Option<Micros> {
        let retention_multiple = i64::from(self.limits.forgotten_for);
        let entry = self.entries.get_mut(&key).filter(|entry| entry.expires_at <= now)?;
        match entry.state {
            EntryState::Running(_) => None,
            EntryState::Completed(_) => {
                let forgotten_for = entry.retention.0.saturating_mul(retention_multiple);
                entry.expires_at = Micros(now.0.saturating_add(forgotten_for));
                let expires_at = entry.expires_at;
                self.forget_answer(key);
                Some(expires_at)
            }
            EntryState::Expired => {
                self.entries.remove(&key);
                None
            }
        }
    }

    fn forget_answer(&mut self, key: KeyDigest) {
        self.evict_result(key);
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.state = EntryState::Expired;
        }
        // Answers may expire in another order than they were stored, so keys without a result are removed
        // from the queue only when they reach its front.
        while self.results.front().is_some_and(|oldest| !self.has_result(oldest)) {
            self.results.pop_front();
        }
    }

    fn has_result(&self, key: &KeyDigest) -> bool {
        let state = self.entries.get(key).map(|entry| &entry.state);
        matches!(state, Some(EntryState::Completed(Answer { verdict: Verdict::Served { .. }, .. })))
    }

    /// Drops the stored result of a key, which remains completed: repeats get [`Reason::ResultEvicted`].
    fn evict_result(&mut self, key: KeyDigest) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let EntryState::Completed(answer) = &mut entry.state else { return };
        if let Verdict::Served { payload, .. } = &answer.verdict {
            self.result_bytes = self.result_bytes.saturating_sub(payload.len());
            answer.verdict = Verdict::Failed(Reason::ResultEvicted);
        }
    }
}

#[cfg(test)]
mod tests;
