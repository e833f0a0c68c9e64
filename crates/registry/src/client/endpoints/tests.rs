//! Unit tests of the parent module.

use super::*;
use std::collections::BTreeMap;

#[test]
fn relays_come_first_and_the_registry_is_left_again_after_a_while() {
    let mut endpoints = Endpoints::new(5, 3, 7);
    let tried: Vec<usize> = (0..5)
        .map(|_| {
            let now = endpoints.current();
            endpoints.failed(1_000);
            now
        })
        .collect();
    assert!(tried[..3].iter().all(|n| *n < 3) && tried[3..].iter().all(|n| *n >= 3), "{tried:?}");
    assert_eq!(endpoints.relay_retry_us(), None, "the round is over: relays again");
    (0..3).for_each(|_| endpoints.failed(1_000));
    assert!(endpoints.relay_retry_us().is_some_and(|at| at > 1_000 + RELAY_RETRY_AFTER_US - 1));
    endpoints.return_to_relays();
    assert_eq!((endpoints.current(), endpoints.relay_retry_us()), (tried[0], None));
}

#[test]
fn whoever_loses_one_relay_is_spread_over_all_others() {
    let mut next: BTreeMap<usize, usize> = BTreeMap::new();
    for seed in 0..400 {
        let mut endpoints = Endpoints::new(5, 4, seed);
        if endpoints.current() == 0 {
            endpoints.failed(0);
            *next.entry(endpoints.current()).or_default() += 1;
        }
    }
    let all: usize = next.values().sum();
    assert!(next.len() == 3 && next.values().all(|n| *n * 5 > all), "{next:?}");
}
