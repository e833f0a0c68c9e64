//! Unit tests of the parent module.

use super::*;
use proptest::prelude::*;

fn router_count() -> RouterCount {
    RouterCount::new(RouterCountSettings { min_routers: 1, hold_us: 100, step: 4 }, 1)
}

#[test]
fn a_rise_counts_at_once_and_a_fall_in_steps_that_each_must_hold() {
    let mut routers = router_count();
    assert_eq!(routers.listed(0, 16, Freshness::Current), Some(16));
    assert_eq!(routers.listed(1, 2, Freshness::Current), None);
    assert_eq!(routers.listed(99, 2, Freshness::Current), None);
    assert_eq!(routers.listed(101, 2, Freshness::Current), Some(12));
    assert_eq!(routers.listed(150, 2, Freshness::Current), None);
    assert_eq!(routers.listed(201, 2, Freshness::Current), Some(9));
    // Back in between: the fall begins anew.
    assert_eq!(routers.listed(290, 9, Freshness::Current), None);
    assert_eq!(routers.listed(295, 2, Freshness::Current), None);
    assert_eq!(routers.listed(350, 2, Freshness::Current), None);
}

#[test]
fn an_old_view_makes_nobody_believe_that_it_is_alone() {
    let mut routers = router_count();
    routers.listed(0, 8, Freshness::Current);
    assert!((1..1_000).all(|t| routers.listed(t, 1, Freshness::Stale).is_none()));
    assert_eq!(routers.routers(), 8);
}

proptest! {
    #[test]
    fn the_number_is_never_below_what_is_listed_and_falls_no_faster_than_stated(
        steps in prop::collection::vec((0i64..60, 0usize..40, any::<bool>()), 1..200),
    ) {
        let (mut routers, mut now, mut last_fall) = (router_count(), 0, i64::MIN / 2);
        for (later, count, current) in steps {
            now += later;
            let before = routers.routers();
            let freshness = if current { Freshness::Current } else { Freshness::Stale };
                routers.listed(now, count, freshness);
            prop_assert!(routers.routers() >= count.max(1));
            if routers.routers() < before {
                prop_assert!(current && now - last_fall >= 100);
                prop_assert!(before - routers.routers() <= (before / 4).max(1));
                last_fall = now;
            }
        }
    }
}
