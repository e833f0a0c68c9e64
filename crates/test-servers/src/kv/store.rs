//! What the stand-in registry holds: keys with revisions, a history that can be compacted, leases, transactions, logins.
//! No I/O; nothing is kept over a restart.

use slatevalve_registry::serve::within;
use slatevalve_registry::wire::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

struct Lease {
    ttl_us: i64,
    ends_us: i64,
    keys: BTreeSet<Vec<u8>>,
}

/// A refusal: a code of gRPC and words.
pub type Refusal = (i64, &'static str);

/// The store. Times in microseconds.
pub struct KvStore {
    cluster_id: i64,
    revision: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    /// The keys as they were before the first change in the history.
    base: BTreeMap<Vec<u8>, KeyValue>,
    /// Changes by revision, oldest first, with when they were made.
    history: VecDeque<(i64, i64, Vec<WatchEvent>)>,
    /// Changes before this revision are forgotten.
    compacted: i64,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    login: Option<(String, String)>,
    tokens: BTreeSet<String>,
    next_token: u64,
}

fn replay(keys: &mut BTreeMap<Vec<u8>, KeyValue>, event: &WatchEvent) {
    match event.kind {
        EventType::Put => keys.insert(event.kv.key.0.clone(), event.kv.clone()),
        EventType::Delete => keys.remove(&event.kv.key.0),
    };
}

impl KvStore {
    /// An empty store; whoever asks must show a token if there is a login.
    pub fn new(cluster_id: i64, login: Option<(String, String)>) -> Self {
        KvStore {
            cluster_id,
            revision: 1,
            keys: BTreeMap::new(),
            base: BTreeMap::new(),
            history: VecDeque::new(),
            compacted: 0,
            leases: BTreeMap::new(),
            next_lease: 1_000,
            login,
            tokens: BTreeSet::new(),
            next_token: 0,
        }
    }

    /// What comes with each answer.
    pub fn header(&self) -> Header {
        Header { cluster_id: self.cluster_id, member_id: 1, revision: self.revision }
    }

    /// The revision now.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// The value of a key.
    pub fn get(&self, key: &[u8]) -> Option<&KeyValue> {
        self.keys.get(key)
    }

    /// Whether a token is good, or none is asked for.
    pub fn admits(&self, token: Option<&str>) -> bool {
        self.login.is_none() || token.is_some_and(|t| self.tokens.contains(t))
    }

    /// Forgets all tokens.
    pub fn forget_tokens(&mut self) {
        self.tokens.clear();
    }

    /// Logs in.
    ///
    /// # Errors
    /// When name or password are others.
    pub fn authenticate(&mut self, ask: &AuthRequest) -> Result<AuthResponse, Refusal> {
        let good = self.login.as_ref().is_some_and(|(n, p)| *n == ask.name && *p == ask.password);
        if !good {
            return Err((3, "etcdserver: authentication failed, invalid user ID or password"));
        }
        self.next_token += 1;
        let token = format!("token.{}", self.next_token);
        self.tokens.insert(token.clone());
        Ok(AuthResponse { header: self.header(), token })
    }

    /// Reads a range.
    ///
    /// # Errors
    /// When it is asked for as of a revision that is forgotten or not there yet.
    pub fn range(&self, ask: &RangeRequest) -> Result<RangeResponse, Refusal> {
        if ask.revision != 0 && ask.revision < self.compacted {
            return Err((code::OUT_OF_RANGE, "etcdserver: mvcc: required revision has been compacted"));
        }
        if ask.revision > self.revision {
            return Err((code::OUT_OF_RANGE, "etcdserver: mvcc: required revision is a future revision"));
        }
        let then = (ask.revision != 0 && ask.revision < self.revision).then(|| self.as_of(ask.revision));
        let keys = then.as_ref().unwrap_or(&self.keys);
        let behind = keys.range(ask.key.0.clone()..).map(|(_, kv)| kv);
        let found = behind.take_while(|kv| within(&kv.key.0, &ask.key.0, &ask.range_end.0));
        if ask.count_only {
            let count = found.count() as i64;
            return Ok(RangeResponse { header: self.header(), count, ..RangeResponse::default() });
        }
        let mut kvs: Vec<KeyValue> = found.cloned().collect();
        if ask.sort_target == "MOD" {
            kvs.sort_by_key(|kv| std::cmp::Reverse(kv.mod_revision));
        }
        let count = kvs.len() as i64;
        let limit = if ask.limit > 0 { ask.limit } else { count };
        kvs.truncate(usize::try_from(limit).unwrap_or(usize::MAX));
        Ok(RangeResponse { header: self.header(), more: count > limit, count, kvs })
    }

    /// The keys as they were at a revision that is not forgotten.
    fn as_of(&self, revision: i64) -> BTreeMap<Vec<u8>, KeyValue> {
        if revision >= self.revision {
            return self.keys.clone();
        }
        let mut keys = self.base.clone();
        let until = self.history.iter().take_while(|h| h.0 <= revision);
        until.flat_map(|h| &h.2).for_each(|event| replay(&mut keys, event));
        keys
    }

    fn commit(&mut self, now_us: i64, events: Vec<WatchEvent>) {
        if !events.is_empty() {
            self.history.push_back((self.revision, now_us, events));
        }
    }

    fn write(&mut self, ask: &PutRequest, events: &mut Vec<WatchEvent>) -> Result<(), Refusal> {
        if ask.lease != 0 && !self.leases.contains_key(&ask.lease) {
            return Err((code::NOT_FOUND, "etcdserver: requested lease not found"));
        }
        let old = self.keys.get(&ask.key.0);
        if let Some(lease) = old.and_then(|kv| self.leases.get_mut(&kv.lease)) {
            lease.keys.remove(&ask.key.0);
        }
        let kv = KeyValue {
            key: ask.key.clone(),
            create_revision: old.map_or(self.revision, |o| o.create_revision),
            mod_revision: self.revision,
            version: old.map_or(1, |o| o.version + 1),
            value: ask.value.clone(),
            lease: ask.lease,
        };
        if let Some(lease) = self.leases.get_mut(&ask.lease) {
            lease.keys.insert(ask.key.0.clone());
        }
        self.keys.insert(ask.key.0.clone(), kv.clone());
        events.push(WatchEvent { kind: EventType::Put, kv });
        Ok(())
    }

    fn remove(&mut self, key: &[u8], end: &[u8], events: &mut Vec<WatchEvent>) -> i64 {
        let gone: Vec<Vec<u8>> = self.keys.keys().filter(|k| within(k, key, end)).cloned().collect();
        for key in &gone {
            if let Some(lease) = self.keys.remove(key).and_then(|kv| self.leases.get_mut(&kv.lease)) {
                lease.keys.remove(key);
            }
            let kv = KeyValue { key: Bytes(key.clone()), mod_revision: self.revision, ..KeyValue::default() };
            events.push(WatchEvent { kind: EventType::Delete, kv });
        }
        gone.len() as i64
    }

    /// Writes a key.
    ///
    /// # Errors
    /// When its lease is none.
    pub fn put(&mut self, now_us: i64, ask: &PutRequest) -> Result<PlainResponse, Refusal> {
        let op = RequestOp { request_put: Some(ask.clone()), request_delete_range: None };
        self.transact(now_us, &TxnRequest { compare: Vec::new(), success: vec![op] })
    }

    /// Removes a range.
    pub fn delete(&mut self, now_us: i64, ask: &DeleteRequest) -> PlainResponse {
        let mut events = Vec::new();
        self.revision += 1;
        let deleted = self.remove(&ask.key.0, &ask.range_end.0, &mut events);
        if deleted == 0 {
            self.revision -= 1;
        }
        self.commit(now_us, events);
        PlainResponse { header: self.header(), deleted, succeeded: false }
    }

    /// Carries a transaction out, at one revision.
    ///
    /// # Errors
    /// When a lease in it is none; then nothing of it is done.
    pub fn transact(&mut self, now_us: i64, ask: &TxnRequest) -> Result<PlainResponse, Refusal> {
        let holds = |c: &Compare| self.keys.get(&c.key.0).map_or(0, |kv| kv.mod_revision) == c.mod_revision;
        if !ask.compare.iter().all(holds) {
            return Ok(PlainResponse { header: self.header(), ..PlainResponse::default() });
        }
        let leases = ask.success.iter().filter_map(|op| Some(op.request_put.as_ref()?.lease));
        if leases.into_iter().any(|l| l != 0 && !self.leases.contains_key(&l)) {
            return Err((code::NOT_FOUND, "etcdserver: requested lease not found"));
        }
        let mut events = Vec::new();
        self.revision += 1;
        for op in &ask.success {
            if let Some(put) = &op.request_put {
                self.write(put, &mut events)?;
            }
            if let Some(delete) = &op.request_delete_range {
                self.remove(&delete.key.0, &delete.range_end.0, &mut events);
            }
        }
        if events.is_empty() {
            self.revision -= 1;
        }
        self.commit(now_us, events);
        Ok(PlainResponse { header: self.header(), deleted: 0, succeeded: true })
    }

    /// Forgets changes before a revision.
    ///
    /// # Errors
    /// When it is forgotten already or not there yet.
    pub fn compact(&mut self, revision: i64) -> Result<PlainResponse, Refusal> {
        if revision <= self.compacted || revision > self.revision {
            return Err((code::OUT_OF_RANGE, "etcdserver: mvcc: required revision has been compacted"));
        }
        self.forget_before(revision);
        Ok(PlainResponse { header: self.header(), ..PlainResponse::default() })
    }

    fn forget_before(&mut self, revision: i64) {
        self.compacted = revision;
        while self.history.front().is_some_and(|h| h.0 < revision) {
            let events = self.history.pop_front().map(|h| h.2).unwrap_or_default();
            events.iter().for_each(|event| replay(&mut self.base, event));
        }
    }

    /// Forgets changes older than a time.
    pub fn compact_before(&mut self, before_us: i64) {
        let newest = self.history.iter().take_while(|h| h.1 < before_us).last().map(|h| h.0);
        if let Some(revision) = newest.filter(|r| *r > self.compacted) {
            self.forget_before(revision);
        }
    }

    /// The changes of a range from a revision on, each revision's together; `Err` with the oldest revision that can be
    /// asked for where it is forgotten.
    ///
    /// # Errors
    /// See above.
    pub fn changes(&self, from: i64, key: &[u8], end: &[u8]) -> Result<Vec<(i64, Vec<WatchEvent>)>, i64> {
        if from < self.compacted {
            return Err(self.compacted);
        }
        let later = self.history.iter().filter(|h| h.0 >= from);
        let of_range = later.map(|(at, _, events)| {
            let mine = events.iter().filter(|e| within(&e.kv.key.0, key, end)).cloned().collect::<Vec<_>>();
            (*at, mine)
        });
        Ok(of_range.filter(|(_, events)| !events.is_empty()).collect())
    }

    /// Grants a lease.
    pub fn grant(&mut self, now_us: i64, ttl_s: i64) -> LeaseResponse {
        self.next_lease += 1;
        let ttl_us = ttl_s.max(1).saturating_mul(1_000_000);
        let lease = Lease { ttl_us, ends_us: now_us.saturating_add(ttl_us), keys: BTreeSet::new() };
        self.leases.insert(self.next_lease, lease);
        LeaseResponse { header: self.header(), id: self.next_lease, ttl: ttl_s.max(1) }
    }

    /// Keeps a lease alive; one that is gone has no time left.
    pub fn keep_alive(&mut self, now_us: i64, id: i64) -> LeaseResponse {
        let header = self.header();
        let ttl = self.leases.get_mut(&id).map_or(0, |lease| {
            lease.ends_us = now_us.saturating_add(lease.ttl_us);
            lease.ttl_us / 1_000_000
        });
        LeaseResponse { header, id, ttl }
    }

    /// Ends a lease, and its keys with it.
    pub fn revoke(&mut self, now_us: i64, id: i64) -> bool {
        let Some(lease) = self.leases.remove(&id) else { return false };
        let mut events = Vec::new();
        self.revision += 1;
        for key in &lease.keys {
            self.remove(key, &[], &mut events);
        }
        if events.is_empty() {
            self.revision -= 1;
        }
        self.commit(now_us, events);
        true
    }

    /// Ends the leases whose time is up.
    pub fn expire(&mut self, now_us: i64) {
        let ended: Vec<i64> = self.leases.iter().filter(|l| l.1.ends_us <= now_us).map(|l| *l.0).collect();
        for id in ended {
            self.revoke(now_us, id);
        }
    }

    /// Ends every second lease at once.
    pub fn expire_half(&mut self, now_us: i64) {
        let half: Vec<i64> = self.leases.keys().copied().step_by(2).collect();
        for id in half {
            self.revoke(now_us, id);
        }
    }

    /// Goes back to what an earlier revision held, as a restored backup does: another cluster, without history or leases.
    pub fn restore(&mut self, revision: i64, other_cluster: bool) {
        let revision = revision.clamp(self.compacted.max(1), self.revision);
        self.keys = self.as_of(revision);
        self.keys.values_mut().for_each(|kv| kv.lease = 0);
        self.base = self.keys.clone();
        self.history.clear();
        self.leases.clear();
        self.tokens.clear();
        (self.revision, self.compacted) = (revision, revision);
        self.cluster_id += i64::from(other_cluster);
    }
}
