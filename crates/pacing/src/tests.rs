//! Tests of the distribution and the bounds of delays.

use super::*;
use proptest::prelude::*;

/// Returns the largest number of delays that end within the same 200 ms.
fn peak_in_200ms(mut delays: Vec<i64>) -> usize {
    delays.sort_unstable();
    let within =
        |first: &i64| delays.iter().filter(|delay| (*first..*first + 200_000).contains(*delay)).count();
    delays.iter().map(within).max().unwrap_or(0)
}

/// Returns the schedules of `count` clients that all assume a fleet of `assumed`.
fn fleet(count: usize, assumed: usize, per_second: f64) -> Vec<PollSchedule> {
    let limits = Limits { per_second, ..Limits::default() };
    // All clients are configured with the same seed.
    (0..count).map(|n| PollSchedule::new(limits, assumed, derive_seed(1, &format!("r-{n}")))).collect()
}

#[test]
fn a_fleet_of_known_size_sends_its_first_requests_at_the_rate_of_the_service() {
    let delays: Vec<i64> = fleet(300, 300, 100.0).iter_mut().map(PollSchedule::first_delay_us).collect();
    // Two requests each: 8 clients in 200 ms on average; random delays cluster to little more than twice
    // that.
    assert!((8..=22).contains(&peak_in_200ms(delays.clone())), "{}", peak_in_200ms(delays));
    assert!(delays.iter().all(|delay| *delay <= 7_500_000));
}

#[test]
fn bounded_delays_of_a_fleet_do_not_cluster_at_the_bound() {
    let limits = Limits { per_second: 100.0, ..Limits::default() };
    let peak_of = |draw: fn(&mut PollSchedule) -> i64| {
        let seeds = (0..300).map(|n| derive_seed(1, &format!("r-{n}")));
        peak_in_200ms(seeds.map(|seed| draw(&mut PollSchedule::new(limits, 300, seed))).collect())
    };
    assert!(peak_of(PollSchedule::deferred_delay_us) <= 22, "{}", peak_of(PollSchedule::deferred_delay_us));
    let after_retry_after = |p: &mut PollSchedule| p.failed(Some(60_000_000));
    assert!(peak_of(after_retry_after) <= 30, "{}", peak_of(after_retry_after));
    let after_nine_failures = |p: &mut PollSchedule| (0..9).map(|_| p.failed(None)).last().unwrap_or(0);
    assert!(peak_of(after_nine_failures) <= 22, "{}", peak_of(after_nine_failures));
}

#[test]
fn a_single_client_is_not_delayed_and_a_small_fleet_hardly() {
    let mut single = PollSchedule::new(Limits::default(), 1, 7);
    assert_eq!(
        (single.first_delay_us(), single.deferred_delay_us(), single.interval_us(1_000_000, 9_000_000, 0.05)),
        (0, 0, 1_000_000)
    );
    assert!(fleet(12, 12, 500.0).iter_mut().all(|p| p.first_delay_us() < 60_000));
}

#[test]
fn a_fleet_that_assumes_too_few_clients_spreads_out_after_some_failures() {
    let mut schedules = fleet(300, 10, 100.0);
    for _ in 0..5 {
        schedules.iter_mut().for_each(|p| assert!(p.failed(None) >= 0));
    }
    let delays: Vec<i64> = schedules.iter_mut().map(|p| p.failed(None)).collect();
    assert!(peak_in_200ms(delays.clone()) <= 60, "{}", peak_in_200ms(delays));
}

#[test]
fn retry_after_is_honoured_and_a_success_resets_the_backoff() {
    let mut schedule = PollSchedule::new(Limits::default(), 1, 3);
    assert!((3_000_000..=3_100_000).contains(&schedule.failed(Some(3_000_000))));
    for _ in 0..20 {
        schedule.failed(None);
    }
    schedule.succeeded();
    assert!(schedule.failed(None) <= 100_000);
    assert!(schedule.failed(Some(i64::MAX)) >= Limits::default().max_delay_us / 2);
}

#[test]
fn another_member_is_tried_without_delay() {
    let limits = Limits { immediate_retries: 2, ..Limits::default() };
    let mut schedule = PollSchedule::new(limits, 1, 3);
    assert_eq!((schedule.failed(None), schedule.failed(None)), (0, 0));
    assert!(
        (0..50).any(|n| PollSchedule::new(Limits { immediate_retries: 0, ..limits }, 1, n).failed(None) > 0)
    );
}

proptest! {
    #[test]
    fn no_delay_exceeds_its_bound_for_any_assumed_fleet_and_retry_after(
        clients in 0usize..1_000_000,
        per_second in 0.0f64..10_000.0,
        steps in prop::collection::vec((0u8..5, any::<i64>()), 1..60),
        seed in any::<u64>(),
    ) {
        let limits = Limits { per_second, ..Limits::default() };
        let mut schedule = PollSchedule::new(limits, clients, seed);
        for (step, retry_after_us) in steps {
            let delay_us = match step {
                0 => schedule.first_delay_us(),
                1 => schedule.deferred_delay_us(),
                2 => schedule.failed(Some(retry_after_us)),
                3 => schedule.failed(None),
                _ => schedule.interval_us(1_000_000, limits.max_delay_us, 0.05),
            };
            let max_us = if step == 1 { 2 * limits.max_delay_us } else { limits.max_delay_us };
            prop_assert!((0..=max_us).contains(&delay_us), "step {}: {} us", step, delay_us);
        }
    }
}
