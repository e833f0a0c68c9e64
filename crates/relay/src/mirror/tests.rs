//! Unit tests of the parent module.

use super::*;
use proptest::prelude::*;

type Steps = Vec<(u8, Option<u8>, bool)>;

fn all() -> RangeRequest {
    RangeRequest { range_end: Bytes(vec![0]), ..RangeRequest::default() }
}

fn held(value: u8, made: i64, changed: i64) -> CachedEntry {
    CachedEntry { value: vec![value], create_revision: made, mod_revision: changed }
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
