//! The keys that a relay follows, with enough of their history for routers that were away for a moment or list in pages.
//!
//! Invariant: `events` since any revision that is not older than [`WatchCache::oldest`] lead from the keys of that revision to those
//! of now; what breaks that is told as [`Taken::Anew`], and whoever followed has to list.

use slatevalve_registry::serve::within;
use slatevalve_registry::wire::{
    code, Bytes, EventType, Header, KeyValue, RangeRequest, RangeResponse, WatchEvent,
};
use slatevalve_registry::CachedEntry;
use std::collections::{BTreeMap, VecDeque};

type Keys = BTreeMap<Vec<u8>, KeyValue>;

/// What came of a look at what is followed.
#[derive(Clone, Debug, PartialEq)]
pub enum Taken {
    /// Nothing changed but perhaps the revision.
    Nothing,
    /// These changed, in the order of their revisions.
    Events(Vec<WatchEvent>),
    /// What is held now does not follow from what was told by events.
    Anew,
}

/// See the module's documentation.
#[derive(Debug, Default)]
pub struct WatchCache {
    cluster: i64,
    revision: i64,
    keys: Keys,
    /// The keys before the first event that is kept.
    base: Keys,
    events: VecDeque<WatchEvent>,
    /// The earliest revision whose later events are all kept.
    oldest: i64,
    most: usize,
}

fn replay(keys: &mut Keys, event: &WatchEvent) {
    match event.kind {
        EventType::Put => keys.insert(event.kv.key.0.clone(), event.kv.clone()),
        EventType::Delete => keys.remove(&event.kv.key.0),
    };
}

impl WatchCache {
    /// An empty mirror that keeps so many events.
    pub fn new(most: usize) -> Self {
        WatchCache { most: most.max(1), ..WatchCache::default() }
    }

    /// What comes with each answer.
    pub fn header(&self) -> Header {
        Header { cluster_id: self.cluster, member_id: 0, revision: self.revision }
    }

    /// The revision up to which all is held; 0 before anything is.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// The earliest revision that can be gone on from.
    pub fn oldest(&self) -> i64 {
        self.oldest
    }

    /// Takes what is followed now: the cluster, the revision that is sure, and the keys.
    pub fn take(&mut self, cluster: i64, revision: i64, held: &BTreeMap<Vec<u8>, CachedEntry>) -> Taken {
        let value = |(key, h): (&Vec<u8>, &CachedEntry)| KeyValue {
            key: Bytes(key.clone()),
            value: Bytes(h.value.clone()),
            create_revision: h.create_revision,
            mod_revision: h.mod_revision,
            ..KeyValue::default()
        };
        if cluster != self.cluster || revision < self.revision {
            let first = self.revision == 0;
            self.keys = held.iter().map(|h| (h.0.clone(), value(h))).collect();
            self.base.clone_from(&self.keys);
            self.events.clear();
            (self.cluster, self.revision, self.oldest) = (cluster, revision, revision);
            return if first { Taken::Nothing } else { Taken::Anew };
        }
        let mut events = Vec::new();
        for (key, h) in held {
            let same = |kv: &KeyValue| kv.mod_revision == h.mod_revision && kv.value.0 == h.value;
            if !self.keys.get(key).is_some_and(same) {
                events.push(WatchEvent { kind: EventType::Put, kv: value((key, h)) });
            }
        }
        // Their own revision is not told; by this one they are gone.
        let gone = self.keys.keys().filter(|key| !held.contains_key(*key));
        events.extend(gone.map(|key| WatchEvent {
            kind: EventType::Delete,
            kv: KeyValue { key: Bytes(key.clone()), mod_revision: revision, ..KeyValue::default() },
        }));
        events.sort_by_key(|e| e.kv.mod_revision);
        let before = std::mem::replace(&mut self.revision, revision);
        events.iter().for_each(|e| replay(&mut self.keys, e));
        match events.first() {
            None => Taken::Nothing,
            // A change that was lost and found out by a list: who was told of later ones would pass it by.
            Some(first) if first.kv.mod_revision <= before => {
                self.base.clone_from(&self.keys);
                self.events.clear();
                self.oldest = revision;
                Taken::Anew
            }
            Some(_) => {
                self.events.extend(events.iter().cloned());
                self.forget();
                Taken::Events(events)
            }
        }
    }

    fn forget(&mut self) {
        while self.events.len() > self.most {
            let Some(event) = self.events.pop_front() else { return };
            self.oldest = self.oldest.max(event.kv.mod_revision);
            replay(&mut self.base, &event);
        }
        // One revision may have changed several keys: they go together.
        while self.events.front().is_some_and(|e| e.kv.mod_revision <= self.oldest) {
            let event = self.events.pop_front();
            event.iter().for_each(|e| replay(&mut self.base, e));
        }
    }

    /// The events of a range after a revision; none where they are not kept any more.
    pub fn after(&self, revision: i64, key: &[u8], end: &[u8]) -> Option<Vec<WatchEvent>> {
        let later = self.events.iter().filter(|e| e.kv.mod_revision > revision);
        (revision >= self.oldest).then(|| later.filter(|e| within(&e.kv.key.0, key, end)).cloned().collect())
    }

    /// Reads a range.
    ///
    /// # Errors
    /// With a code and words, when it is asked for as of a revision that is forgotten or not there yet.
    pub fn range(&self, ask: &RangeRequest) -> Result<RangeResponse, (i64, &'static str)> {
        if ask.revision != 0 && ask.revision < self.oldest {
            return Err((code::OUT_OF_RANGE, "required revision has been compacted"));
        }
        if ask.revision > self.revision {
            return Err((code::OUT_OF_RANGE, "required revision is a future revision"));
        }
        let mut then = None;
        if ask.revision != 0 && ask.revision < self.revision {
            let mut keys = self.base.clone();
            let until = self.events.iter().take_while(|e| e.kv.mod_revision <= ask.revision);
            until.for_each(|e| replay(&mut keys, e));
            then = Some(keys);
        }
        let keys = then.as_ref().unwrap_or(&self.keys);
        let mut kvs: Vec<&KeyValue> =
            keys.values().filter(|kv| within(&kv.key.0, &ask.key.0, &ask.range_end.0)).collect();
        let count = kvs.len() as i64;
        if ask.sort_target == "MOD" {
            kvs.sort_by_key(|kv| std::cmp::Reverse(kv.mod_revision));
        }
        let limit = if ask.limit > 0 { ask.limit } else { count };
        kvs.truncate(if ask.count_only { 0 } else { usize::try_from(limit).unwrap_or(usize::MAX) });
        let (more, kvs) = (!ask.count_only && count > limit, kvs.into_iter().cloned().collect());
        Ok(RangeResponse { header: self.header(), more, count, kvs })
    }
}

#[cfg(test)]
mod tests;
