//! Unit tests of the parent module.

use super::*;
use proptest::prelude::*;

/// Returns the largest number of drawn moments in any 200 ms.
fn peak_in_200ms(mut moments: Vec<i64>) -> usize {
    moments.sort_unstable();
    let within = |first: &i64| moments.iter().filter(|m| (*first..*first + 200_000).contains(*m)).count();
    moments.iter().map(within).max().unwrap_or(0)
}

fn fleet(count: usize, assumed: usize, per_second: f64) -> Vec<PollSchedule> {
    let limits = Limits { per_second, ..Limits::default() };
    // All were given the same seed.
    (0..count).map(|n| PollSchedule::new(limits, assumed, derive_seed(1, &format!("r-{n}")))).collect()
}

#[test]
fn a_herd_that_knows_its_size_comes_at_the_rate_that_the_service_takes() {
    let moments: Vec<i64> = fleet(300, 300, 100.0).iter_mut().map(PollSchedule::first_delay_us).collect();
    // Two requests each: 8 clients in 200 ms on average; drawn moments cluster to little more than twice that.
    assert!((8..=22).contains(&peak_in_200ms(moments.clone())), "{}", peak_in_200ms(moments));
    assert!(moments.iter().all(|m| *m <= 7_500_000));
}

#[test]
fn no_bound_gathers_a_herd_at_its_end() {
    let limits = Limits { per_second: 100.0, ..Limits::default() };
    let drawn = |wait: fn(&mut PollSchedule) -> i64| {
        let seeds = (0..300).map(|n| derive_seed(1, &format!("r-{n}")));
        peak_in_200ms(seeds.map(|seed| wait(&mut PollSchedule::new(limits, 300, seed))).collect())
    };
    assert!(drawn(PollSchedule::deferred_delay_us) <= 22, "{}", drawn(PollSchedule::deferred_delay_us));
    let demanded_us = |p: &mut PollSchedule| p.failed(Some(60_000_000));
    assert!(drawn(demanded_us) <= 30, "{}", drawn(demanded_us));
    let again = |p: &mut PollSchedule| (0..9).map(|_| p.failed(None)).last().unwrap_or(0);
    assert!(drawn(again) <= 22, "{}", drawn(again));
}

#[test]
fn one_alone_never_waits_for_others_and_a_small_fleet_hardly() {
    let mut one = PollSchedule::new(Limits::default(), 1, 7);
    assert_eq!(
        (one.first_delay_us(), one.deferred_delay_us(), one.interval_us(1_000_000, 9_000_000, 0.05)),
        (0, 0, 1_000_000)
    );
    assert!(fleet(12, 12, 500.0).iter_mut().all(|p| p.first_delay_us() < 60_000));
}

#[test]
fn a_herd_that_believes_itself_small_makes_room_after_some_failures() {
    let mut schedules = fleet(300, 10, 100.0);
    for _ in 0..5 {
        schedules.iter_mut().for_each(|p| assert!(p.failed(None) >= 0));
    }
    let moments: Vec<i64> = schedules.iter_mut().map(|p| p.failed(None)).collect();
    assert!(peak_in_200ms(moments.clone()) <= 60, "{}", peak_in_200ms(moments));
}

#[test]
fn the_service_s_own_word_is_kept_and_a_success_forgets_failures() {
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
fn another_member_is_asked_at_once() {
    let limits = Limits { immediate_retries: 2, ..Limits::default() };
    let mut schedule = PollSchedule::new(limits, 1, 3);
    assert_eq!((schedule.failed(None), schedule.failed(None)), (0, 0));
    assert!(
        (0..50).any(|n| PollSchedule::new(Limits { immediate_retries: 0, ..limits }, 1, n).failed(None) > 0)
    );
}

proptest! {
    #[test]
    fn no_wait_is_longer_than_stated_whatever_is_believed_or_told(
        clients in 0usize..1_000_000,
        per_second in 0.0f64..10_000.0,
        steps in prop::collection::vec((0u8..5, any::<i64>()), 1..60),
        seed in any::<u64>(),
    ) {
        let limits = Limits { per_second, ..Limits::default() };
        let mut schedule = PollSchedule::new(limits, clients, seed);
        for (what, demanded_us) in steps {
            let wait = match what {
                0 => schedule.first_delay_us(),
                1 => schedule.deferred_delay_us(),
                2 => schedule.failed(Some(demanded_us)),
                3 => schedule.failed(None),
                _ => schedule.interval_us(1_000_000, limits.max_delay_us, 0.05),
            };
            let longest = if what == 1 { 2 * limits.max_delay_us } else { limits.max_delay_us };
            prop_assert!((0..=longest).contains(&wait), "{} {}", what, wait);
        }
    }
}
