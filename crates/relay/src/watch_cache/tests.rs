//! Unit tests of the parent module.

use super::*;
use proptest::prelude::*;

type Steps = Vec<(u8, Option<u8>, bool)>;

fn all() -> RangeRequest {
    RangeRequest { range_end: Bytes(vec![0]), ..RangeRequest::default() }
}

fn entry(value: u8, made: i64, changed: i64) -> CachedEntry {
    CachedEntry { value: vec![value], create_revision: made, mod_revision: changed }
}

#[test]
fn a_change_that_was_lost_before_one_that_was_told_makes_everybody_list() {
    let mut cache = WatchCache::new(8);
    let mut keys = BTreeMap::from([(vec![1], entry(1, 1, 1))]);
    assert_eq!(cache.update(7, 5, &keys), CacheUpdate::Unchanged);
    keys.insert(vec![2], entry(1, 4, 4));
    assert_eq!(cache.update(7, 6, &keys), CacheUpdate::Reset);
    assert_eq!((cache.oldest(), cache.events_after(5, &[], &[0])), (6, None));
    // The same registry at an earlier state, and another one.
    assert_eq!(cache.update(7, 3, &keys), CacheUpdate::Reset);
    assert_eq!(cache.update(8, 9, &keys), CacheUpdate::Reset);
}

proptest! {
    #[test]
    fn from_every_revision_that_is_kept_the_events_lead_to_now(
        steps in prop::collection::vec((0u8..6, prop::option::of(any::<u8>()), any::<bool>()), 1..60),
        capacity in 1usize..20,
    ) {
        let steps: Steps = steps;
        let (mut cache, mut now, mut revision) = (WatchCache::new(capacity), BTreeMap::new(), 1);
        cache.update(7, 1, &now);
        let mut states: Vec<(i64, Keys)> = vec![(1, Keys::new())];
        for (key, value, seen) in steps {
            revision += 1;
            match value {
                Some(v) => drop(now.insert(vec![key], entry(v, revision, revision))),
                None => drop(now.remove(&vec![key])),
            }
            // Several changes may be seen at once, as after a list.
            if seen {
                prop_assert!(cache.update(7, revision, &now) != CacheUpdate::Reset);
                states.push((revision, cache.keys.clone()));
            }
        }
        for (at, state) in states {
            let asked = cache.range(&RangeRequest { revision: at, ..all() });
            prop_assert_eq!(at >= cache.oldest(), asked.is_ok());
            if let (Ok(then), Some(events)) = (asked, cache.events_after(at, &[], &[0])) {
                let listed: Keys = then.kvs.into_iter().map(|kv| (kv.key.0.clone(), kv)).collect();
                prop_assert_eq!(&listed, &state);
                let mut keys = state;
                events.iter().for_each(|e| apply(&mut keys, e));
                prop_assert_eq!(&keys, &cache.keys);
            }
        }
        prop_assert!(cache.events.len() <= capacity);
    }
}
