//! Unit tests of the parent module.

use super::*;
use std::collections::BTreeMap;

#[test]
fn relays_are_tried_before_the_registry_and_retried_after_a_fallback() {
    let mut endpoints = Endpoints::new(5, 3, 7);
    let tried: Vec<usize> = (0..5)
        .map(|_| {
            let current = endpoints.current();
            endpoints.failed(1_000);
            current
        })
        .collect();
    assert!(tried[..3].iter().all(|n| *n < 3) && tried[3..].iter().all(|n| *n >= 3), "{tried:?}");
    assert_eq!(endpoints.relay_retry_us(), None, "after the last endpoint the first relay is current again");
    (0..3).for_each(|_| endpoints.failed(1_000));
    assert!(endpoints.relay_retry_us().is_some_and(|at| at > 1_000 + RELAY_RETRY_AFTER_US - 1));
    endpoints.return_to_relays();
    assert_eq!((endpoints.current(), endpoints.relay_retry_us()), (tried[0], None));
}

#[test]
fn clients_of_a_failed_relay_spread_over_all_other_relays() {
    let mut clients_by_next_endpoint: BTreeMap<usize, usize> = BTreeMap::new();
    for seed in 0..400 {
        let mut endpoints = Endpoints::new(5, 4, seed);
        if endpoints.current() == 0 {
            endpoints.failed(0);
            *clients_by_next_endpoint.entry(endpoints.current()).or_default() += 1;
        }
    }
    let all: usize = clients_by_next_endpoint.values().sum();
    let spread =
        clients_by_next_endpoint.len() == 3 && clients_by_next_endpoint.values().all(|n| *n * 5 > all);
    assert!(spread, "{clients_by_next_endpoint:?}");
}
