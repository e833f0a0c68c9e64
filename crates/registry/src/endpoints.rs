//! Which member of the registry is spoken to, and when again after one failed. A decision module with seeded jitter.
//!
//! It guards a registry that comes back against all routers at once, and a router against a member that is down: the next
//! one is tried at once, and only after a whole round without success there is a wait, which doubles.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Limits of [`Endpoints`]. Times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointsSettings {
    /// The wait after the first round that failed.
    pub first_wait_us: i64,
    /// The longest wait.
    pub longest_wait_us: i64,
}

impl Default for EndpointsSettings {
    fn default() -> Self {
        EndpointsSettings { first_wait_us: 100_000, longest_wait_us: 2_000_000 }
    }
}

/// See the module's documentation.
pub struct Endpoints {
    settings: EndpointsSettings,
    count: usize,
    current: usize,
    /// Failures since something went well.
    failures: u32,
    not_before_us: i64,
    random: Pcg64Mcg,
}

impl Endpoints {
    /// So many endpoints, at least one; which is spoken to first is drawn, so that routers spread over them.
    pub fn new(settings: EndpointsSettings, count: usize, seed: u64) -> Self {
        let (count, mut random) = (count.max(1), Pcg64Mcg::seed_from_u64(seed));
        let current = random.random_range(0..count);
        Endpoints { settings, count, current, failures: 0, not_before_us: 0, random }
    }

    /// The endpoint that is spoken to.
    pub fn current(&self) -> usize {
        self.current
    }

    /// From when on it may be spoken to.
    pub fn not_before_us(&self) -> i64 {
        self.not_before_us
    }

    /// It answered.
    pub fn good(&mut self) {
        self.failures = 0;
    }

    /// It failed, or did not answer in time.
    pub fn failed(&mut self, now_us: i64) {
        self.failures = self.failures.saturating_add(1);
        self.current = (self.current + 1) % self.count;
        let rounds = self.failures / self.count as u32;
        if !self.failures.is_multiple_of(self.count as u32) {
            return;
        }
        let doubled = self.settings.first_wait_us.saturating_mul(1 << (rounds - 1).min(20));
        let wait = doubled.min(self.settings.longest_wait_us) as f64 * self.random.random_range(0.5..1.0);
        self.not_before_us = now_us.saturating_add(wait as i64);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_next_member_is_tried_at_once_and_a_whole_round_waits_longer_each_time() {
        let settings = EndpointsSettings { first_wait_us: 1_000, longest_wait_us: 8_000 };
        let mut e = Endpoints::new(settings, 3, 7);
        let first = e.current();
        let mut waits = Vec::new();
        for round in 0..6 {
            for n in 0..3 {
                assert_eq!(e.current(), (first + n) % 3);
                e.failed(0);
                assert!(n == 2 || e.not_before_us() == waits.last().copied().unwrap_or(0), "{round} {n}");
            }
            waits.push(e.not_before_us());
        }
        assert!(waits[0] >= 500 && waits[5] >= 4_000 && waits.iter().all(|w| *w <= 8_000), "{waits:?}");
        e.good();
        e.failed(0);
        assert_eq!(e.not_before_us(), waits[5], "one failure after a success does not wait");
    }

    #[test]
    fn routers_begin_at_different_members() {
        let settings = EndpointsSettings::default();
        let firsts: std::collections::BTreeSet<_> =
            (0..32).map(|s| Endpoints::new(settings, 3, s).current()).collect();
        assert_eq!(firsts.len(), 3);
    }
}
