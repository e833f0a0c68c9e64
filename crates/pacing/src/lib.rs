//! When to poll a service that hundreds of other clients poll too: the first time, after a failure, and periodically. No I/O;
//! used by the registry's client (in gateways, workers and relays) and by the follower of the change log.
//!
//! The service is protected from a fleet that was started, disconnected or rejected at the same time: delays are drawn from a
//! window that grows with the number of clients (full jitter, Brooker 2015: over the whole window, from 0 on); windows double
//! with each consecutive failure, so that clients which assume too small a fleet still make room; and the service's
//! `Retry-After` is extended by a draw, never shortened. The client is protected by a bound: no delay is longer than
//! [`Limits::max_delay_us`], whatever the number of clients, as a drain must be received within a stated time.
//!
//! Two clients of the same seed would draw the same delays; [`derive_seed`] derives seeds from names.
#![forbid(unsafe_code)]

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The share of the service's request rate that is used, as drawn moments cluster.
const RATE_SHARE: f64 = 0.8;
/// The least request rate that is calculated with, in requests a second, against division by zero.
const RATE_MIN: f64 = 1e-3;
/// The least share of the request rate for a periodic request, in requests a second, against division by zero.
const PERIODIC_RATE_MIN: f64 = 1e-6;
/// The longest delay after failures, in jitter windows of the fleet.
const WINDOWS_PER_DELAY_MAX: f64 = 4.0;
/// The window is doubled for at most this many failures.
const DOUBLINGS_MAX: u32 = 16;
/// The constant part of an interval; the rest is drawn.
const INTERVAL_CONSTANT_PART: f64 = 0.9;
const MICROS_PER_SECOND: f64 = 1e6;

/// The capacity of the service, and bounds of delays. Times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Requests a second that the service accepts from all clients together.
    pub per_second: f64,
    /// Requests that one client sends when it starts.
    pub requests: f64,
    /// The least window of the first delay after a failure.
    pub initial_window_us: i64,
    /// The longest delay among few clients, once they were counted.
    pub few_clients_max_delay_us: i64,
    /// The longest delay among any number of clients.
    pub max_delay_us: i64,
    /// Consecutive failures that are retried without back-off, as there are other members to try.
    pub immediate_retries: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            per_second: 500.0,
            requests: 2.0,
            initial_window_us: 100_000,
            few_clients_max_delay_us: 2_000_000,
            max_delay_us: 9_500_000,
            immediate_retries: 0,
        }
    }
}

/// Derives a seed from a client's name, so that clients configured with the same seed draw differently (FNV-1a).
#[must_use]
pub fn derive_seed(seed: u64, name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    name.bytes().fold(seed ^ OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

/// Where the number of clients comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientCount {
    /// From the settings or an earlier process; it may be far too small.
    Assumed(usize),
    /// From the service.
    Counted(usize),
}

/// The delays and intervals of one client's requests; see the crate's documentation.
#[derive(Debug)]
pub struct PollSchedule {
    limits: Limits,
    clients: ClientCount,
    /// Consecutive failures.
    failures: u32,
    random: Pcg64Mcg,
}

impl PollSchedule {
    /// Creates a schedule among an assumed number of clients, this one included. The seed is this client's own.
    pub fn new(limits: Limits, clients: usize, seed: u64) -> Self {
        let random = Pcg64Mcg::seed_from_u64(seed);
        PollSchedule { limits, clients: ClientCount::Assumed(clients.max(1)), failures: 0, random }
    }

    /// Sets the number of clients as counted by the service.
    pub fn set_clients(&mut self, clients: usize) {
        self.clients = ClientCount::Counted(clients.max(1));
    }

    fn clients(&self) -> usize {
        match self.clients {
            ClientCount::Assumed(clients) | ClientCount::Counted(clients) => clients,
        }
    }

    /// Returns the jitter window: the time in which the service accepts the first requests of all clients; 0 for a single
    /// client.
    #[must_use]
    pub fn window_us(&self) -> i64 {
        let requests = self.clients().saturating_sub(1) as f64 * self.limits.requests;
        let rate = self.limits.per_second.max(RATE_MIN) * RATE_SHARE;
        ((requests / rate * MICROS_PER_SECOND) as i64).clamp(0, self.limits.max_delay_us)
    }

    /// Returns the longest delay: short for few clients, some windows for many. While the number is only assumed it is the
    /// longest of all: a thousand clients that assume ten would otherwise keep the service overloaded.
    #[must_use]
    pub fn max_delay_us(&self) -> i64 {
        match self.clients {
            ClientCount::Assumed(_) => self.limits.max_delay_us,
            ClientCount::Counted(_) => {
                let windows_us = (self.window_us() as f64 * WINDOWS_PER_DELAY_MAX) as i64;
                windows_us.max(self.limits.few_clients_max_delay_us).min(self.limits.max_delay_us)
            }
        }
    }

    fn draw(&mut self, window_us: i64) -> i64 {
        self.random.random_range(0..=window_us.max(0))
    }

    /// Draws the delay before the first request.
    pub fn first_delay_us(&mut self) -> i64 {
        let window_us = self.window_us();
        self.draw(window_us)
    }

    /// Draws the delay before a request that follows the first requests of all clients. It is up to twice the longest delay,
    /// as no drain depends on it; bounded there, all clients would gather at the bound.
    pub fn deferred_delay_us(&mut self) -> i64 {
        let window_us = self.window_us();
        window_us.saturating_add(self.draw(window_us))
    }

    /// Notes a failure and draws the delay before the retry. `retry_after_us` is the service's demand, which is respected up
    /// to half of the longest delay: the rest is left to draw from.
    pub fn failed(&mut self, retry_after_us: Option<i64>) -> i64 {
        self.failures = self.failures.saturating_add(1);
        let demanded_us = retry_after_us.unwrap_or(0).clamp(0, self.limits.max_delay_us / 2);
        let (window_us, drawn_max_us) = (self.window_us(), self.limits.max_delay_us - demanded_us);
        let drawn_us = match self.failures.checked_sub(self.limits.immediate_retries + 1) {
            // All clients that lost the same member retry at the same next one.
            None => self.draw(window_us.min(drawn_max_us)),
            Some(retries) => {
                let initial_us = self.limits.initial_window_us.max(window_us);
                let doubled_us = initial_us.saturating_mul(1 << retries.min(DOUBLINGS_MAX));
                self.draw(doubled_us.min(self.max_delay_us()).min(drawn_max_us))
            }
        };
        demanded_us + drawn_us
    }

    /// Notes a success: the count of consecutive failures ends.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Draws the interval of a periodic request: `least_us`, or longer where all clients together would exceed this share of
    /// the service's request rate, but at most `longest_us`.
    pub fn interval_us(&mut self, least_us: i64, longest_us: i64, rate_share: f64) -> i64 {
        let rate = (self.limits.per_second * rate_share).max(PERIODIC_RATE_MIN);
        let required_us = (self.clients() as f64 / rate * MICROS_PER_SECOND) as i64;
        let interval_us = required_us.max(least_us).min(longest_us.max(least_us));
        if interval_us <= least_us {
            // Few clients need no spreading, and poll no more often than configured.
            return least_us;
        }
        let constant_us = (interval_us as f64 * INTERVAL_CONSTANT_PART) as i64;
        constant_us.saturating_add(self.draw(interval_us - constant_us)).max(least_us)
    }
}

#[cfg(test)]
mod tests;
