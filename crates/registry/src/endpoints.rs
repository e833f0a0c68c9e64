//! Which member of the registry is spoken to: relays of the list first, each asker in an order of its own, and the registry's
//! own members as the last resort. A decision module; when the next one is asked says [`slatevalve_pacing::PollSchedule`].
//!
//! It guards a relay that died against all of its askers going to the same other one, and the registry against those that
//! came to it when no relay was there and would stay for good.

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Whoever asks the registry itself where relays are named tries them again after this, a drawn half of it more.
const HOME_AFTER_US: i64 = 20_000_000;

/// See the module's documentation.
pub struct Endpoints {
    /// Places in the settings, in the order in which they are asked.
    order: Vec<usize>,
    /// So many of them are relays.
    relays: usize,
    at: usize,
    /// When to try relays again, while the registry itself is asked.
    home_us: Option<i64>,
    random: Pcg64Mcg,
}

impl Endpoints {
    /// So many endpoints, at least one, of which the first `relays` are relays. The seed is the asker's own: it draws the order.
    pub fn new(count: usize, relays: usize, seed: u64) -> Self {
        let (count, mut random) = (count.max(1), Pcg64Mcg::seed_from_u64(seed));
        let relays = relays.min(count);
        let mut order: Vec<usize> = (0..count).collect();
        order[..relays].shuffle(&mut random);
        order[relays..].shuffle(&mut random);
        Endpoints { order, relays, at: 0, home_us: None, random }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.order.len()
    }

    /// The endpoint that is spoken to, by its place in the settings.
    pub fn current(&self) -> usize {
        self.order[self.at]
    }

    /// It failed, or did not answer in time: the next one is spoken to.
    pub fn failed(&mut self, now_us: i64) {
        self.at = (self.at + 1) % self.order.len();
        let away = self.relays > 0 && self.at >= self.relays;
        self.home_us = away.then(|| now_us + self.random.random_range(HOME_AFTER_US..=HOME_AFTER_US * 3 / 2));
    }

    /// When relays are to be tried again.
    pub fn home_us(&self) -> Option<i64> {
        self.home_us
    }

    /// Relays are spoken to again, from the first in this asker's order on.
    pub fn go_home(&mut self) {
        (self.at, self.home_us) = (0, None);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeMap;

    #[test]
    fn relays_come_first_and_the_registry_is_left_again_after_a_while() {
        let mut e = Endpoints::new(5, 3, 7);
        let asked: Vec<usize> = (0..5)
            .map(|_| {
                let now = e.current();
                e.failed(1_000);
                now
            })
            .collect();
        assert!(asked[..3].iter().all(|n| *n < 3) && asked[3..].iter().all(|n| *n >= 3), "{asked:?}");
        assert_eq!(e.home_us(), None, "the round is over: relays again");
        (0..3).for_each(|_| e.failed(1_000));
        assert!(e.home_us().is_some_and(|at| at > 1_000 + HOME_AFTER_US - 1));
        e.go_home();
        assert_eq!((e.current(), e.home_us()), (asked[0], None));
    }

    #[test]
    fn whoever_loses_one_relay_is_spread_over_all_others() {
        let mut next: BTreeMap<usize, usize> = BTreeMap::new();
        for seed in 0..400 {
            let mut e = Endpoints::new(5, 4, seed);
            if e.current() == 0 {
                e.failed(0);
                *next.entry(e.current()).or_default() += 1;
            }
        }
        let all: usize = next.values().sum();
        assert!(next.len() == 3 && next.values().all(|n| *n * 5 > all), "{next:?}");
    }
}
