//! Unit tests of the parent module.

use super::*;
use proptest::prelude::*;

fn router_count() -> RouterCount {
    RouterCount::new(RouterCountSettings { min_routers: 1, hold_us: 100, step: 4 }, 1)
}

#[test]
fn an_increase_applies_at_once_and_a_decrease_in_steps_after_each_hold_time() {
    let mut routers = router_count();
    assert_eq!(routers.listed(0, 16, Freshness::Current), Some(16));
    assert_eq!(routers.listed(1, 2, Freshness::Current), None);
    assert_eq!(routers.listed(99, 2, Freshness::Current), None);
    assert_eq!(routers.listed(101, 2, Freshness::Current), Some(12));
    assert_eq!(routers.listed(150, 2, Freshness::Current), None);
    assert_eq!(routers.listed(201, 2, Freshness::Current), Some(9));
    // The old number was listed in between, so the hold time starts again.
    assert_eq!(routers.listed(290, 9, Freshness::Current), None);
    assert_eq!(routers.listed(295, 2, Freshness::Current), None);
    assert_eq!(routers.listed(350, 2, Freshness::Current), None);
}

#[test]
fn stale_data_never_decreases_the_number() {
    let mut routers = router_count();
    routers.listed(0, 8, Freshness::Current);
    assert!((1..1_000).all(|t| routers.listed(t, 1, Freshness::Stale).is_none()));
    assert_eq!(routers.routers(), 8);
}

proptest! {
    #[test]
    fn the_number_is_at_least_the_listed_one_and_decreases_no_faster_than_configured(
        steps in prop::collection::vec((0i64..60, 0usize..40, any::<bool>()), 1..200),
    ) {
        let (mut routers, mut now, mut last_decrease) = (router_count(), 0, i64::MIN / 2);
        for (elapsed, count, current) in steps {
            now += elapsed;
            let before = routers.routers();
            let freshness = if current { Freshness::Current } else { Freshness::Stale };
            routers.listed(now, count, freshness);
            prop_assert!(routers.routers() >= count.max(1));
            if routers.routers() < before {
                prop_assert!(current && now - last_decrease >= 100);
                prop_assert!(before - routers.routers() <= (before / 4).max(1));
                last_decrease = now;
            }
        }
    }
}
