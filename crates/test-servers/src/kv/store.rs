//! The store of the test registry: keys with revisions, a history that can be compacted, leases, transactions
//! and tokens. It does no I/O and is not persistent. Times are microseconds of the Unix clock.

use slatevalve_registry::serve::is_in_range;
use slatevalve_registry::wire::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The gRPC status code for a failed login.
const INVALID_ARGUMENT: i64 = 3;
const MEMBER_ID: i64 = 1;
const MICROS_PER_SECOND: i64 = 1_000_000;
const COMPACTED: Refusal = (code::OUT_OF_RANGE, "etcdserver: mvcc: required revision has been compacted");
const LEASE_NOT_FOUND: Refusal = (code::NOT_FOUND, "etcdserver: requested lease not found");

/// The refusal of a request: a gRPC status code and a message.
pub type Refusal = (i64, &'static str);

type Keys = BTreeMap<Vec<u8>, KeyValue>;

struct Lease {
    ttl_us: i64,
    expires_us: i64,
    keys: BTreeSet<Vec<u8>>,
}

/// The changes of one revision.
struct Change {
    revision: i64,
    at_us: i64,
    events: Vec<WatchEvent>,
}

/// An in-memory model of the parts of etcd that the registry client uses.
pub struct KvStore {
    cluster_id: i64,
    revision: i64,
    keys: Keys,
    /// The keys before the first change of the history.
    base: Keys,
    /// The changes since the last compaction, oldest first.
    history: VecDeque<Change>,
    /// Changes before this revision are compacted.
    compacted: i64,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    login: Option<(String, String)>,
    tokens: BTreeSet<String>,
    /// Time of the store's creation, part of its tokens.
    created_us: i64,
    last_token: u64,
}

fn apply(keys: &mut Keys, event: &WatchEvent) {
    match event.kind {
        EventType::Put => keys.insert(event.kv.key.0.clone(), event.kv.clone()),
        EventType::Delete => keys.remove(&event.kv.key.0),
    };
}

impl KvStore {
    /// Creates an empty store; with a login (name and password), requests need a token. Ids of leases count
    /// from the time of the creation, and tokens contain it: a store that replaces this one later hands out
    /// others.
    #[must_use]
    pub fn new(cluster_id: i64, login: Option<(String, String)>, now_us: i64) -> Self {
        KvStore {
            cluster_id,
            revision: 1,
            keys: BTreeMap::new(),
            base: BTreeMap::new(),
            history: VecDeque::new(),
            compacted: 0,
            leases: BTreeMap::new(),
            next_lease: now_us.max(1),
            login,
            tokens: BTreeSet::new(),
            created_us: now_us,
            last_token: 0,
        }
    }

    /// The header of responses at the current revision.
    #[must_use]
    pub fn header(&self) -> Header {
        Header { cluster_id: self.cluster_id, member_id: MEMBER_ID, revision: self.revision }
    }

    /// The revision of the last change; 1 for an empty store.
    #[must_use]
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Whether a token is valid or no token is needed.
    #[must_use]
    pub fn admits(&self, token: Option<&str>) -> bool {
        self.login.is_none() || token.is_some_and(|token| self.tokens.contains(token))
    }

    /// Invalidates all tokens.
    pub fn forget_tokens(&mut self) {
        self.tokens.clear();
    }

    /// Issues a token.
    ///
    /// # Errors
    /// When the name or the password is wrong, or the store has no login.
    pub fn authenticate(&mut self, request: &AuthRequest) -> Result<AuthResponse, Refusal> {
        let is_valid =
            |(name, password): &(String, String)| *name == request.name && *password == request.password;
        if !self.login.as_ref().is_some_and(is_valid) {
            let message = "etcdserver: authentication failed, invalid user ID or password";
            return Err((INVALID_ARGUMENT, message));
        }
        self.last_token += 1;
        let token = format!("token.{}.{}", self.created_us, self.last_token);
        self.tokens.insert(token.clone());
        Ok(AuthResponse { header: self.header(), token })
    }

    /// Reads a range of keys.
    ///
    /// # Errors
    /// When the requested revision is compacted or in the future.
    pub fn range(&self, request: &RangeRequest) -> Result<RangeResponse, Refusal> {
        if request.revision != 0 && request.revision < self.compacted {
            return Err(COMPACTED);
        }
        if request.revision > self.revision {
            let message = "etcdserver: mvcc: required revision is a future revision";
            return Err((code::OUT_OF_RANGE, message));
        }
        let is_past = request.revision != 0 && request.revision < self.revision;
        let past_keys = is_past.then(|| self.keys_at(request.revision));
        let from_key = past_keys.as_ref().unwrap_or(&self.keys).range(request.key.0.clone()..);
        let selected = from_key
            .map(|(_, entry)| entry)
            .take_while(|entry| is_in_range(&entry.key.0, &request.key.0, &request.range_end.0));
        if request.count_only {
            let count = selected.count() as i64;
            return Ok(RangeResponse { header: self.header(), count, ..RangeResponse::default() });
        }
        let mut kvs: Vec<KeyValue> = selected.cloned().collect();
        if request.sort_target == "MOD" {
            kvs.sort_by_key(|entry| std::cmp::Reverse(entry.mod_revision));
        }
        let count = kvs.len() as i64;
        let limit = if request.limit > 0 { request.limit } else { count };
        kvs.truncate(usize::try_from(limit).unwrap_or(usize::MAX));
        Ok(RangeResponse { header: self.header(), more: count > limit, count, kvs })
    }

    /// The keys at a revision that is not compacted.
    fn keys_at(&self, revision: i64) -> Keys {
        if revision >= self.revision {
            return self.keys.clone();
        }
        let mut keys = self.base.clone();
        let changes = self.history.iter().take_while(|change| change.revision <= revision);
        for event in changes.flat_map(|change| &change.events) {
            apply(&mut keys, event);
        }
        keys
    }

    /// Executes a change at the next revision; a change without events uses no revision.
    fn commit<T>(&mut self, now_us: i64, change: impl FnOnce(&mut Self, &mut Vec<WatchEvent>) -> T) -> T {
        let mut events = Vec::new();
        self.revision += 1;
        let result = change(self, &mut events);
        if events.is_empty() {
            self.revision -= 1;
        } else {
            self.history.push_back(Change { revision: self.revision, at_us: now_us, events });
        }
        result
    }

    /// Writes a key at the current revision; its lease must exist.
    fn write_key(&mut self, request: &PutRequest, events: &mut Vec<WatchEvent>) {
        let previous = self.keys.get(&request.key.0);
        let kv = KeyValue {
            key: request.key.clone(),
            create_revision: previous.map_or(self.revision, |entry| entry.create_revision),
            mod_revision: self.revision,
            version: previous.map_or(1, |entry| entry.version + 1),
            value: request.value.clone(),
            lease: request.lease,
        };
        if let Some(lease) = previous.and_then(|entry| self.leases.get_mut(&entry.lease)) {
            lease.keys.remove(&request.key.0);
        }
        if let Some(lease) = self.leases.get_mut(&request.lease) {
            lease.keys.insert(request.key.0.clone());
        }
        self.keys.insert(request.key.0.clone(), kv.clone());
        events.push(WatchEvent { kind: EventType::Put, kv });
    }

    /// Removes a range of keys at the current revision; returns their number.
    fn remove_range(&mut self, key: &[u8], range_end: &[u8], events: &mut Vec<WatchEvent>) -> i64 {
        let selected = self.keys.keys().filter(|other| is_in_range(other, key, range_end));
        let removed: Vec<Vec<u8>> = selected.cloned().collect();
        for key in &removed {
            let entry = self.keys.remove(key);
            if let Some(lease) = entry.and_then(|entry| self.leases.get_mut(&entry.lease)) {
                lease.keys.remove(key);
            }
            let kv = KeyValue { key: Bytes(key.clone()), mod_revision: self.revision, ..KeyValue::default() };
            events.push(WatchEvent { kind: EventType::Delete, kv });
        }
        removed.len() as i64
    }

    /// Writes a key.
    ///
    /// # Errors
    /// When its lease does not exist.
    pub fn put(&mut self, now_us: i64, request: &PutRequest) -> Result<PlainResponse, Refusal> {
        let operation = RequestOp { request_put: Some(request.clone()), request_delete_range: None };
        self.transact(now_us, &TxnRequest { compare: Vec::new(), success: vec![operation] })
    }

    /// Removes a range of keys.
    pub fn delete(&mut self, now_us: i64, request: &DeleteRequest) -> PlainResponse {
        let deleted = self
            .commit(now_us, |store, events| store.remove_range(&request.key.0, &request.range_end.0, events));
        PlainResponse { header: self.header(), deleted, succeeded: false }
    }

    /// Executes a transaction at one revision; without effect if a compared key has changed.
    ///
    /// # Errors
    /// When a lease of a put does not exist; then no operation is executed.
    pub fn transact(&mut self, now_us: i64, request: &TxnRequest) -> Result<PlainResponse, Refusal> {
        if !request.compare.iter().all(|compare| self.is_unchanged(compare)) {
            return Ok(PlainResponse { header: self.header(), ..PlainResponse::default() });
        }
        let puts = request.success.iter().filter_map(|operation| operation.request_put.as_ref());
        if puts.into_iter().any(|put| put.lease != 0 && !self.leases.contains_key(&put.lease)) {
            return Err(LEASE_NOT_FOUND);
        }
        self.commit(now_us, |store, events| {
            for operation in &request.success {
                if let Some(put) = &operation.request_put {
                    store.write_key(put, events);
                }
                if let Some(delete) = &operation.request_delete_range {
                    store.remove_range(&delete.key.0, &delete.range_end.0, events);
                }
            }
        });
        Ok(PlainResponse { header: self.header(), deleted: 0, succeeded: true })
    }

    fn is_unchanged(&self, compare: &Compare) -> bool {
        let mod_revision = self.keys.get(&compare.key.0).map_or(0, |entry| entry.mod_revision);
        mod_revision == compare.mod_revision
    }

    /// Compacts the history before a revision.
    ///
    /// # Errors
    /// When the revision is compacted already or in the future.
    pub fn compact(&mut self, revision: i64) -> Result<PlainResponse, Refusal> {
        if revision <= self.compacted || revision > self.revision {
            return Err(COMPACTED);
        }
        self.discard_before(revision);
        Ok(PlainResponse { header: self.header(), ..PlainResponse::default() })
    }

    /// Moves the changes before a revision from the history to the base.
    fn discard_before(&mut self, revision: i64) {
        self.compacted = revision;
        let first_retained = self.history.partition_point(|change| change.revision < revision);
        for event in self.history.drain(..first_retained).flat_map(|change| change.events) {
            apply(&mut self.base, &event);
        }
    }

    /// Compacts the history before a time, in microseconds of the Unix clock.
    pub fn compact_before(&mut self, before_us: i64) {
        let old = self.history.iter().take_while(|change| change.at_us < before_us);
        let newest = old.last().map(|change| change.revision);
        if let Some(revision) = newest.filter(|revision| *revision > self.compacted) {
            self.discard_before(revision);
        }
    }

    /// The changes of a range of keys from a revision on, by revision.
    ///
    /// # Errors
    /// The oldest revision that is not compacted, when `from_revision` is compacted.
    pub fn changes(
        &self,
        from_revision: i64,
        key: &[u8],
        range_end: &[u8],
    ) -> Result<Vec<(i64, Vec<WatchEvent>)>, i64> {
        if from_revision < self.compacted {
            return Err(self.compacted);
        }
        let is_selected = |event: &&WatchEvent| is_in_range(&event.kv.key.0, key, range_end);
        let changes = self.history.iter().filter(|change| change.revision >= from_revision);
        let selected = changes.map(|change| {
            let events: Vec<WatchEvent> = change.events.iter().filter(is_selected).cloned().collect();
            (change.revision, events)
        });
        Ok(selected.filter(|(_, events)| !events.is_empty()).collect())
    }

    /// Grants a lease with a time to live of at least 1 s.
    pub fn grant(&mut self, now_us: i64, ttl_s: i64) -> LeaseResponse {
        let ttl = ttl_s.max(1);
        let ttl_us = ttl.saturating_mul(MICROS_PER_SECOND);
        let id = self.next_lease;
        self.next_lease += 1;
        let lease = Lease { ttl_us, expires_us: now_us.saturating_add(ttl_us), keys: BTreeSet::new() };
        self.leases.insert(id, lease);
        LeaseResponse { header: self.header(), id, ttl }
    }

    /// Renews a lease. The time to live in the response is 0 if the lease does not exist.
    pub fn renew_lease(&mut self, now_us: i64, id: i64) -> LeaseResponse {
        let ttl = match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.expires_us = now_us.saturating_add(lease.ttl_us);
                lease.ttl_us / MICROS_PER_SECOND
            }
            None => 0,
        };
        LeaseResponse { header: self.header(), id, ttl }
    }

    /// Revokes a lease and removes its keys; returns whether the lease existed.
    pub fn revoke(&mut self, now_us: i64, id: i64) -> bool {
        let Some(lease) = self.leases.remove(&id) else { return false };
        self.commit(now_us, |store, events| {
            for key in &lease.keys {
                store.remove_range(key, &[], events);
            }
        });
        true
    }

    /// Revokes the leases whose time to live has passed.
    pub fn expire(&mut self, now_us: i64) {
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires_us <= now_us);
        let ids: Vec<i64> = expired.map(|(id, _)| *id).collect();
        for id in ids {
            self.revoke(now_us, id);
        }
    }

    /// Revokes every second lease.
    pub fn expire_half(&mut self, now_us: i64) {
        let ids: Vec<i64> = self.leases.keys().copied().step_by(2).collect();
        for id in ids {
            self.revoke(now_us, id);
        }
    }

    /// Returns to an earlier revision, as the restore of a backup does: history, leases and tokens are lost.
    /// `other_cluster` also changes the cluster ID.
    pub fn restore(&mut self, revision: i64, other_cluster: bool) {
        let revision = revision.clamp(self.compacted.max(1), self.revision);
        self.keys = self.keys_at(revision);
        self.keys.values_mut().for_each(|entry| entry.lease = 0);
        self.base = self.keys.clone();
        self.history.clear();
        self.leases.clear();
        self.tokens.clear();
        self.revision = revision;
        self.compacted = revision;
        self.cluster_id += i64::from(other_cluster);
    }
}

#[cfg(test)]
mod tests;
