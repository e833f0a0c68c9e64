//! Unit tests of the parent module.

use super::*;
use proptest::prelude::*;

type Steps = Vec<(u8, Option<u8>, bool)>;

fn all_keys() -> RangeRequest {
    RangeRequest { range_end: Bytes(vec![0]), ..RangeRequest::default() }
}

fn entry(value: u8, create_revision: i64, mod_revision: i64) -> CachedEntry {
    CachedEntry { value: vec![value], create_revision, mod_revision }
}

#[test]
fn a_lost_change_older_than_a_sent_event_resets_the_cache() {
    let mut cache = WatchCache::new(8);
    let mut keys = BTreeMap::from([(vec![1], entry(1, 1, 1))]);
    assert_eq!(cache.update(7, 5, &keys), CacheUpdate::Unchanged);
    keys.insert(vec![2], entry(1, 4, 4));
    assert_eq!(cache.update(7, 6, &keys), CacheUpdate::Reset);
    assert_eq!((cache.oldest(), cache.events_after(5, &[], &[0])), (6, None));
    // The same registry restored to an earlier state, and another registry.
    assert_eq!(cache.update(7, 3, &keys), CacheUpdate::Reset);
    assert_eq!(cache.update(8, 9, &keys), CacheUpdate::Reset);
}

proptest! {
    #[test]
    fn events_after_any_kept_revision_lead_to_the_current_keys(
        steps in prop::collection::vec((0u8..6, prop::option::of(any::<u8>()), any::<bool>()), 1..60),
        capacity in 1usize..20,
    ) {
        let steps: Steps = steps;
        let (mut cache, mut entries, mut revision) = (WatchCache::new(capacity), BTreeMap::new(), 1);
        cache.update(7, 1, &entries);
        let mut states: Vec<(i64, Keys)> = vec![(1, Keys::new())];
        for (key, value, updates_cache) in steps {
            revision += 1;
            match value {
                Some(v) => drop(entries.insert(vec![key], entry(v, revision, revision))),
                None => drop(entries.remove(&vec![key])),
            }
            // One update may contain several changes, as after a list.
            if updates_cache {
                prop_assert!(cache.update(7, revision, &entries) != CacheUpdate::Reset);
                states.push((revision, cache.keys.clone()));
            }
        }
        for (at, state) in states {
            let read = cache.range(&RangeRequest { revision: at, ..all_keys() });
            prop_assert_eq!(at >= cache.oldest(), read.is_ok());
            if let (Ok(page), Some(events)) = (read, cache.events_after(at, &[], &[0])) {
                let listed: Keys = page.kvs.into_iter().map(|kv| (kv.key.0.clone(), kv)).collect();
                prop_assert_eq!(&listed, &state);
                let mut keys = state;
                events.iter().for_each(|e| apply(&mut keys, e));
                prop_assert_eq!(&keys, &cache.keys);
            }
        }
        prop_assert!(cache.events.len() <= capacity);
    }
}
