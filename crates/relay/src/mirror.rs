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
            create_revision: h.made,
            mod_revision: h.changed,
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
            let same = |kv: &KeyValue| kv.mod_revision == h.changed && kv.value.0 == h.value;
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
mod tests {
    use super::*;
    use proptest::prelude::*;

    type Steps = Vec<(u8, Option<u8>, bool)>;

    fn all() -> RangeRequest {
        RangeRequest { range_end: Bytes(vec![0]), ..RangeRequest::default() }
    }

    fn held(value: u8, made: i64, changed: i64) -> CachedEntry {
        CachedEntry { value: vec![value], made, changed }
    }

    #[test]
    fn a_change_that_was_lost_before_one_that_was_told_makes_everybody_list() {
        let mut mirror = WatchCache::new(8);
        let mut keys = BTreeMap::from([(vec![1], held(1, 1, 1))]);
        assert_eq!(mirror.take(7, 5, &keys), Taken::Nothing);
        keys.insert(vec![2], held(1, 4, 4));
        assert_eq!(mirror.take(7, 6, &keys), Taken::Anew);
        assert_eq!((mirror.oldest(), mirror.after(5, &[], &[0])), (6, None));
        // The same registry at an earlier state, and another one.
        assert_eq!(mirror.take(7, 3, &keys), Taken::Anew);
        assert_eq!(mirror.take(8, 9, &keys), Taken::Anew);
    }

    proptest! {
        #[test]
        fn from_every_revision_that_is_kept_the_events_lead_to_now(
            steps in prop::collection::vec((0u8..6, prop::option::of(any::<u8>()), any::<bool>()), 1..60),
            most in 1usize..20,
        ) {
            let steps: Steps = steps;
            let (mut mirror, mut now, mut revision) = (WatchCache::new(most), BTreeMap::new(), 1);
            mirror.take(7, 1, &now);
            let mut states: Vec<(i64, Keys)> = vec![(1, Keys::new())];
            for (key, value, seen) in steps {
                revision += 1;
                match value {
                    Some(v) => drop(now.insert(vec![key], held(v, revision, revision))),
                    None => drop(now.remove(&vec![key])),
                }
                // Several changes may be seen at once, as after a list.
                if seen {
                    prop_assert!(mirror.take(7, revision, &now) != Taken::Anew);
                    states.push((revision, mirror.keys.clone()));
                }
            }
            for (at, state) in states {
                let asked = mirror.range(&RangeRequest { revision: at, ..all() });
                prop_assert_eq!(at >= mirror.oldest(), asked.is_ok());
                if let (Ok(then), Some(events)) = (asked, mirror.after(at, &[], &[0])) {
                    let listed: Keys = then.kvs.into_iter().map(|kv| (kv.key.0.clone(), kv)).collect();
                    prop_assert_eq!(&listed, &state);
                    let mut keys = state;
                    events.iter().for_each(|e| replay(&mut keys, e));
                    prop_assert_eq!(&keys, &mirror.keys);
                }
            }
            prop_assert!(mirror.events.len() <= most);
        }
    }
}
