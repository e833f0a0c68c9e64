//! The order in which endpoints are tried: relays first, then the registry's own members as a fallback. No
//! I/O; the delay before the next attempt comes from [`slatevalve_pacing::PollSchedule`].
//!
//! Each client shuffles both groups by its own seed, so that the clients of a failed relay spread over all
//! other relays. A client that fell back to the registry returns to the relays after a while; otherwise it
//! would use the registry until the next failure.

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Delay before a client that fell back to the registry tries the relays again; a random amount of up to half
/// is added.
const RELAY_RETRY_AFTER_US: i64 = 20_000_000;

/// The order of endpoints and the current one; see the module's documentation.
pub struct Endpoints {
    /// Indexes into the configured endpoints in the order in which they are tried, relays first.
    order: Vec<usize>,
    /// The number of relays, which are the first entries of `order`.
    relays: usize,
    /// Index of the current endpoint in `order`.
    position: usize,
    /// When to try the relays again; set only while a registry member is current and relays are configured.
    relay_retry_us: Option<i64>,
    random: Pcg64Mcg,
}

impl Endpoints {
    /// Creates the order of `count` endpoints (at least one), of which the first `relays` are relays. The
    /// seed determines the order and must differ between clients.
    pub fn new(count: usize, relays: usize, seed: u64) -> Self {
        let (count, mut random) = (count.max(1), Pcg64Mcg::seed_from_u64(seed));
        let relays = relays.min(count);
        let mut order: Vec<usize> = (0..count).collect();
        order[..relays].shuffle(&mut random);
        order[relays..].shuffle(&mut random);
        Endpoints { order, relays, position: 0, relay_retry_us: None, random }
    }

    /// Returns the number of endpoints, relays included; at least one.
    #[must_use]
    pub fn count(&self) -> usize {
        self.order.len()
    }

    /// Returns the current endpoint as an index into the configured endpoints.
    #[must_use]
    pub fn current(&self) -> usize {
        self.order[self.position]
    }

    /// Handles a failure of the current endpoint: the next one, cyclically, becomes current.
    pub fn failed(&mut self, now_us: i64) {
        self.position = (self.position + 1) % self.order.len();
        let is_fallback = self.relays > 0 && self.position >= self.relays;
        let max_delay_us = RELAY_RETRY_AFTER_US * 3 / 2;
        self.relay_retry_us =
            is_fallback.then(|| now_us + self.random.random_range(RELAY_RETRY_AFTER_US..=max_delay_us));
    }

    /// Returns when the relays are to be tried again; `None` while a relay is current or none is configured.
    #[must_use]
    pub fn relay_retry_us(&self) -> Option<i64> {
        self.relay_retry_us
    }

    /// Makes the first relay of this client's order current.
    pub fn return_to_relays(&mut self) {
        (self.position, self.relay_retry_us) = (0, None);
    }
}

#[cfg(test)]
mod tests;
