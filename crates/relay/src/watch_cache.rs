//! The keys that a relay follows, with enough history for routers that were disconnected briefly or that list
//! in pages.
//!
//! Invariant: applying the events since any revision not older than [`WatchCache::oldest`] to the keys at
//! that revision gives the current keys. An update that cannot keep the invariant returns
//! [`CacheUpdate::Reset`]; all routers must then list again.

use slatevalve_registry::serve::is_in_range;
use slatevalve_registry::wire::{
    code, Bytes, EventType, Header, KeyValue, RangeRequest, RangeResponse, WatchEvent,
};
use slatevalve_registry::CachedEntry;
use std::borrow::Cow;
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

type Keys = BTreeMap<Vec<u8>, KeyValue>;
/// The entries of the registry's client, see [`slatevalve_registry::WatchState::entries`].
type ClientEntries = BTreeMap<Vec<u8>, CachedEntry>;

/// The outcome of [`WatchCache::update`].
#[derive(Clone, Debug, PartialEq)]
pub enum CacheUpdate {
    /// No key changed.
    Unchanged,
    /// Keys changed; holds the events in the order of their revisions.
    Events(Vec<WatchEvent>),
    /// The current keys cannot be reached from the earlier ones by events in order; the history is discarded.
    Reset,
}

/// Why a range cannot be read at a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RangeError {
    /// The history of the revision was discarded.
    Compacted,
    /// The cache has not reached the revision.
    Future,
}

impl RangeError {
    /// Returns the gRPC status code of the error, the same as etcd's.
    #[must_use]
    pub fn code(self) -> i64 {
        match self {
            RangeError::Compacted | RangeError::Future => code::OUT_OF_RANGE,
        }
    }

    /// Returns etcd's message for the error.
    #[must_use]
    pub fn message(self) -> &'static str {
        match self {
            RangeError::Compacted => "required revision has been compacted",
            RangeError::Future => "required revision is a future revision",
        }
    }
}

impl fmt::Display for RangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.message())
    }
}

impl std::error::Error for RangeError {}

/// Keys with their recent history; see the module's documentation.
#[derive(Debug, Default)]
pub struct WatchCache {
    cluster: i64,
    revision: i64,
    keys: Keys,
    /// The keys before the first of `events`.
    base: Keys,
    /// The kept history, in the order of revisions.
    events: VecDeque<WatchEvent>,
    /// All events after this revision are in `events`.
    oldest: i64,
    /// Maximum number of `events`.
    capacity: usize,
}

impl WatchCache {
    /// Creates an empty cache that keeps at most `capacity` events (at least one).
    pub fn new(capacity: usize) -> Self {
        WatchCache { capacity: capacity.max(1), ..WatchCache::default() }
    }

    /// Returns the header of responses: the registry's cluster id and the revision of the cache.
    #[must_use]
    pub fn header(&self) -> Header {
        Header { cluster_id: self.cluster, member_id: 0, revision: self.revision }
    }

    /// Returns the revision up to which the cache is complete; 0 before the first update.
    #[must_use]
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Returns the earliest revision from which a watch can continue.
    #[must_use]
    pub fn oldest(&self) -> i64 {
        self.oldest
    }

    /// Updates the cache to the state of the registry's client: its cluster id, confirmed revision and
    /// entries.
    pub fn update(&mut self, cluster: i64, revision: i64, entries: &ClientEntries) -> CacheUpdate {
        if cluster != self.cluster || revision < self.revision {
            return self.replace(cluster, revision, entries);
        }
        let events = self.events_to(revision, entries);
        let previous_revision = std::mem::replace(&mut self.revision, revision);
        events.iter().for_each(|event| apply(&mut self.keys, event));
        match events.first() {
            None => CacheUpdate::Unchanged,
            // A full resync found a change that the watch had lost. Routers that already received later
            // events would skip it as a duplicate.
            Some(first) if first.kv.mod_revision <= previous_revision => {
                self.discard_history();
                CacheUpdate::Reset
            }
            Some(_) => {
                self.events.extend(events.iter().cloned());
                self.trim_history();
                CacheUpdate::Events(events)
            }
        }
    }

    /// Replaces the keys by the entries of another cluster, or of an earlier state of the same one.
    fn replace(&mut self, cluster: i64, revision: i64, entries: &ClientEntries) -> CacheUpdate {
        let is_first = self.revision == 0;
        self.keys = entries.iter().map(|(key, entry)| (key.clone(), key_value(key, entry))).collect();
        (self.cluster, self.revision) = (cluster, revision);
        self.discard_history();
        if is_first {
            CacheUpdate::Unchanged
        } else {
            CacheUpdate::Reset
        }
    }

    /// Returns the events that transform the cached keys into `entries`, in the order of their revisions.
    fn events_to(&self, revision: i64, entries: &ClientEntries) -> Vec<WatchEvent> {
        let is_cached = |key: &Vec<u8>, entry: &CachedEntry| {
            self.keys
                .get(key)
                .is_some_and(|kv| kv.mod_revision == entry.mod_revision && kv.value.0 == entry.value)
        };
        let put = entries.iter().filter(|(key, entry)| !is_cached(key, entry));
        let mut events: Vec<WatchEvent> =
            put.map(|(key, entry)| WatchEvent { kind: EventType::Put, kv: key_value(key, entry) }).collect();
        // The client does not report the revision of a deletion. The key is absent at `revision`, so that is
        // used.
        let deleted = self.keys.keys().filter(|key| !entries.contains_key(*key));
        events.extend(deleted.map(|key| WatchEvent {
            kind: EventType::Delete,
            kv: KeyValue { key: Bytes(key.clone()), mod_revision: revision, ..KeyValue::default() },
        }));
        events.sort_by_key(|event| event.kv.mod_revision);
        events
    }

    /// Discards all events; only the current revision can be continued from.
    fn discard_history(&mut self) {
        self.base.clone_from(&self.keys);
        self.events.clear();
        self.oldest = self.revision;
    }

    /// Discards the oldest events beyond the capacity.
    fn trim_history(&mut self) {
        while self.events.len() > self.capacity {
            let Some(event) = self.events.pop_front() else { return };
            self.oldest = self.oldest.max(event.kv.mod_revision);
            apply(&mut self.base, &event);
        }
        // One revision may change several keys; its events are discarded together.
        while let Some(event) = self.events.pop_front_if(|event| event.kv.mod_revision <= self.oldest) {
            apply(&mut self.base, &event);
        }
    }

    /// Returns the events of a range of keys after a revision; `None` if some of them were discarded.
    #[must_use]
    pub fn events_after(&self, revision: i64, key: &[u8], end: &[u8]) -> Option<Vec<WatchEvent>> {
        let later = self.events.iter().filter(|event| event.kv.mod_revision > revision);
        let in_range = later.filter(|event| is_in_range(&event.kv.key.0, key, end));
        (revision >= self.oldest).then(|| in_range.cloned().collect())
    }

    /// Reads a range of keys at the requested revision.
    ///
    /// # Errors
    /// When the history of the requested revision was discarded, or the cache has not reached it.
    pub fn range(&self, request: &RangeRequest) -> Result<RangeResponse, RangeError> {
        let keys = self.keys_at(request.revision)?;
        let in_range = |kv: &&KeyValue| is_in_range(&kv.key.0, &request.key.0, &request.range_end.0);
        let mut kvs: Vec<&KeyValue> = keys.values().filter(in_range).collect();
        let count = kvs.len() as i64;
        if request.sort_target == "MOD" {
            kvs.sort_by_key(|kv| Reverse(kv.mod_revision));
        }
        let limit = if request.limit > 0 { request.limit } else { count };
        kvs.truncate(if request.count_only { 0 } else { usize::try_from(limit).unwrap_or(usize::MAX) });
        let more = !request.count_only && count > limit;
        Ok(RangeResponse { header: self.header(), more, count, kvs: kvs.into_iter().cloned().collect() })
    }

    /// Returns the keys at a revision, or the current keys for revision 0.
    fn keys_at(&self, revision: i64) -> Result<Cow<'_, Keys>, RangeError> {
        if revision == 0 || revision == self.revision {
            return Ok(Cow::Borrowed(&self.keys));
        }
        if revision < self.oldest {
            return Err(RangeError::Compacted);
        }
        if revision > self.revision {
            return Err(RangeError::Future);
        }
        let mut keys = self.base.clone();
        let until = self.events.iter().take_while(|event| event.kv.mod_revision <= revision);
        until.for_each(|event| apply(&mut keys, event));
        Ok(Cow::Owned(keys))
    }
}

fn key_value(key: &[u8], entry: &CachedEntry) -> KeyValue {
    KeyValue {
        key: Bytes(key.to_vec()),
        value: Bytes(entry.value.clone()),
        create_revision: entry.create_revision,
        mod_revision: entry.mod_revision,
        ..KeyValue::default()
    }
}

fn apply(keys: &mut Keys, event: &WatchEvent) {
    match event.kind {
        EventType::Put => keys.insert(event.kv.key.0.clone(), event.kv.clone()),
        EventType::Delete => keys.remove(&event.kv.key.0),
    };
}

#[cfg(test)]
mod tests;
