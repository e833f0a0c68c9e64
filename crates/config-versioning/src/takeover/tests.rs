//! How often many routers check together, and when none does.

use super::*;

#[test]
fn many_routers_look_as_often_together_as_few_and_none_within_the_head_start() {
    for routers in [5, 50, 400] {
        let mut all: Vec<TakeoverTimer> =
            (0..routers).map(|n| TakeoverTimer::new(n as u64 * 7_919)).collect();
        all.iter_mut().for_each(|p| p.observe_state(0, Some(3), 2_000_000));
        assert!(all.iter().all(|p| p.next_check_us().is_some_and(|at| at >= 2_000_000)));
        let mut looks = 0;
        // The second minute, when all have looked once.
        for now in (0..120_000_000).step_by(10_000) {
            for timer in all.iter_mut().filter(|p| p.next_check_us().is_some_and(|at| at <= now)) {
                timer.on_checked(now, routers);
                looks += usize::from(now >= 60_000_000);
            }
        }
        assert!((210..400).contains(&looks), "{routers} routers looked {looks} times in a minute");
    }
}

#[test]
fn nobody_looks_where_nothing_is_prepared_and_hearing_twice_changes_nothing() {
    let mut timer = TakeoverTimer::new(1);
    timer.observe_state(0, Some(1), 0);
    let due = timer.next_check_us();
    timer.observe_state(5, Some(1), 0);
    assert_eq!(timer.next_check_us(), due);
    timer.observe_state(9, None, 0);
    timer.on_checked(9, 3);
    assert_eq!(timer.next_check_us(), None);
}
