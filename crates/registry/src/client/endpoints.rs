//! The order in which the registry's members are tried: first the relays, in an order drawn by each client, then the
//! registry's own members as the last resort. No I/O; the delay before the next one is from
//! [`slatevalve_pacing::PollSchedule`].
//!
//! The drawn order spreads the clients of a failed relay over all others. A client that fell back to the registry returns to
//! the relays after a while, so that it does not stay there for good.

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A client that fell back to the registry tries the relays again after this time; up to half of it is added by a draw.
const RELAY_RETRY_AFTER_US: i64 = 20_000_000;

/// The order of endpoints, and the current one; see the module's documentation.
pub struct Endpoints {
    /// Indexes in the settings, in the order in which they are tried; the relays come first.
    order: Vec<usize>,
    relays: usize,
    /// Index of the current endpoint in `order`.
    position: usize,
    /// When to try the relays again, while the registry itself is used.
    relay_retry_us: Option<i64>,
    random: Pcg64Mcg,
}

impl Endpoints {
    /// Creates an order of `count` endpoints, at least one, of which the first `relays` are relays. The order is drawn from
    /// the seed, which is different for each client.
    pub fn new(count: usize, relays: usize, seed: u64) -> Self {
        let (count, mut random) = (count.max(1), Pcg64Mcg::seed_from_u64(seed));
        let relays = relays.min(count);
        let mut order: Vec<usize> = (0..count).collect();
        order[..relays].shuffle(&mut random);
        order[relays..].shuffle(&mut random);
        Endpoints { order, relays, position: 0, relay_retry_us: None, random }
    }

    /// Returns the number of endpoints.
    #[must_use]
    pub fn count(&self) -> usize {
        self.order.len()
    }

    /// Returns the index in the settings of the current endpoint.
    #[must_use]
    pub fn current(&self) -> usize {
        self.order[self.position]
    }

    /// Handles the failure of the current endpoint: the next one becomes current.
    pub fn failed(&mut self, now_us: i64) {
        self.position = (self.position + 1) % self.order.len();
        let is_fallback = self.relays > 0 && self.position >= self.relays;
        let longest_us = RELAY_RETRY_AFTER_US * 3 / 2;
        self.relay_retry_us =
            is_fallback.then(|| now_us + self.random.random_range(RELAY_RETRY_AFTER_US..=longest_us));
    }

    /// Returns when the relays are to be tried again.
    #[must_use]
    pub fn relay_retry_us(&self) -> Option<i64> {
        self.relay_retry_us
    }

    /// Makes the first relay in this client's order current.
    pub fn return_to_relays(&mut self) {
        (self.position, self.relay_retry_us) = (0, None);
    }
}

#[cfg(test)]
mod tests;
