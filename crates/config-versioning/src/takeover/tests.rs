//! The rate of takeover checks over a fleet, and the cases without checks.

use super::*;

#[test]
fn fleet_check_rate_is_independent_of_its_size_and_starts_after_the_takeover_delay() {
    for routers in [5, 50, 400] {
        let mut timers: Vec<TakeoverTimer> =
            (0..routers).map(|n| TakeoverTimer::new(n as u64 * 7_919)).collect();
        timers.iter_mut().for_each(|timer| timer.observe_state(0, Some(3), 2_000_000));
        assert!(timers.iter().all(|timer| timer.next_check_us().is_some_and(|at| at >= 2_000_000)));
        let mut checks = 0;
        // Counts in the second minute, after every router has made its first check.
        for now in (0..120_000_000).step_by(10_000) {
            for timer in timers.iter_mut().filter(|timer| timer.next_check_us().is_some_and(|at| at <= now)) {
                timer.on_checked(now, routers);
                checks += usize::from(now >= 60_000_000);
            }
        }
        assert!((210..400).contains(&checks), "{routers} routers made {checks} checks in a minute");
    }
}

#[test]
fn no_check_without_a_prepared_change_and_a_repeated_state_keeps_the_schedule() {
    let mut timer = TakeoverTimer::new(1);
    timer.observe_state(0, Some(1), 0);
    let due = timer.next_check_us();
    timer.observe_state(5, Some(1), 0);
    assert_eq!(timer.next_check_us(), due);
    timer.observe_state(9, None, 0);
    timer.on_checked(9, 3);
    assert_eq!(timer.next_check_us(), None);
}
