//! Poll schedules for the clients of a service that hundreds of others poll too: delays before the first
//! request, after a failure, and of periodic requests. No I/O. Used by the registry's client (in gateways,
//! workers and relays) and by the follower of the change log.
//!
//! The service is protected from a fleet of clients that were started, disconnected or rejected at the same
//! time. Delays are drawn from a window that grows with the number of clients (full jitter, Brooker 2015:
//! uniform over the whole window, from 0). Windows double with each consecutive failure, so that clients
//! which assume too small a fleet still reduce the load. The service's `Retry-After`, up to half of the
//! maximum delay, is extended by jitter, never shortened. The client is protected by a bound: no delay is
//! longer than [`Limits::max_delay_us`], whatever the number of clients, because a drain must be received
//! within a configured time.
//!
//! Two clients with the same seed would draw the same delays; [`derive_seed`] derives seeds from client
//! names.
#![forbid(unsafe_code)]

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Share of the service's request rate that is used; the rest is headroom, because random delays cluster.
const RATE_SHARE: f64 = 0.8;
/// Lower bound of the request rate, in requests per second, against division by zero.
const RATE_MIN: f64 = 1e-3;
/// Lower bound of the rate of periodic requests, in requests per second, against division by zero.
const PERIODIC_RATE_MIN: f64 = 1e-6;
/// Maximum delay after failures, in jitter windows of the fleet.
const WINDOWS_PER_DELAY_MAX: f64 = 4.0;
/// Maximum number of failures for which the window is doubled.
const DOUBLINGS_MAX: u32 = 16;
/// Constant part of an interval; the rest is jitter.
const INTERVAL_CONSTANT_PART: f64 = 0.9;
const MICROS_PER_SECOND: f64 = 1e6;

/// Capacity of the service, and bounds of delays in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Requests per second that the service accepts from all clients together.
    pub per_second: f64,
    /// Number of requests that one client sends when it starts.
    pub requests: f64,
    /// Minimum window of the first delay after a failure.
    pub initial_window_us: i64,
    /// Maximum delay among few clients, once the service has reported their number.
    pub few_clients_max_delay_us: i64,
    /// Maximum delay, whatever the number of clients.
    pub max_delay_us: i64,
    /// Number of consecutive failures that are retried without backoff, because there are other members to
    /// try.
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

/// Derives a seed from a client's name, so that clients configured with the same seed draw differently
/// (FNV-1a).
#[must_use]
pub fn derive_seed(seed: u64, name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    name.bytes().fold(seed ^ OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

/// Number of clients, by its source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientCount {
    /// From the settings or an earlier process; may be far too small.
    Assumed(usize),
    /// Reported by the service.
    Counted(usize),
}

/// Draws the delays and intervals of one client's requests; see the crate documentation.
#[derive(Debug)]
pub struct PollSchedule {
    limits: Limits,
    clients: ClientCount,
    /// Consecutive failures.
    failures: u32,
    random: Pcg64Mcg,
}

impl PollSchedule {
    /// Creates a schedule for an assumed number of clients, including this one. `seed` must differ between
    /// clients.
    pub fn new(limits: Limits, clients: usize, seed: u64) -> Self {
        let random = Pcg64Mcg::seed_from_u64(seed);
        PollSchedule { limits, clients: ClientCount::Assumed(clients.max(1)), failures: 0, random }
    }

    /// Sets the number of clients, as reported by the service.
    pub fn set_clients(&mut self, clients: usize) {
        self.clients = ClientCount::Counted(clients.max(1));
    }

    fn clients(&self) -> usize {
        match self.clients {
            ClientCount::Assumed(clients) | ClientCount::Counted(clients) => clients,
        }
    }

    /// Returns the jitter window: the time that the service needs to accept the first requests of all
    /// clients; 0 for a single client.
    #[must_use]
    pub fn window_us(&self) -> i64 {
        let requests = self.clients().saturating_sub(1) as f64 * self.limits.requests;
        let rate = self.limits.per_second.max(RATE_MIN) * RATE_SHARE;
        ((requests / rate * MICROS_PER_SECOND) as i64).clamp(0, self.limits.max_delay_us)
    }

    /// Returns the maximum delay: short for few clients, several windows for many. While the number is only
    /// assumed, it is [`Limits::max_delay_us`]: a thousand clients that assume ten would otherwise keep the
    /// service overloaded.
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

    /// Draws the delay before a request that is sent after the first requests of all clients. It may be up to
    /// twice the maximum delay, because no drain depends on it; with the usual bound, the requests of all
    /// clients would cluster at the bound.
    pub fn deferred_delay_us(&mut self) -> i64 {
        let window_us = self.window_us();
        window_us.saturating_add(self.draw(window_us))
    }

    /// Records a failure and draws the delay before the retry. `retry_after_us` is the service's
    /// `Retry-After`, which is honoured up to half of the maximum delay, so that the other half remains for
    /// jitter.
    pub fn failed(&mut self, retry_after_us: Option<i64>) -> i64 {
        self.failures = self.failures.saturating_add(1);
        let retry_after_us = retry_after_us.unwrap_or(0).clamp(0, self.limits.max_delay_us / 2);
        let (window_us, jitter_max_us) = (self.window_us(), self.limits.max_delay_us - retry_after_us);
        let jitter_us = match self.failures.checked_sub(self.limits.immediate_retries + 1) {
            // Without backoff, but with jitter: all clients that lost the same member retry at the same next
            // one.
            None => self.draw(window_us.min(jitter_max_us)),
            Some(retries) => {
                let initial_us = self.limits.initial_window_us.max(window_us);
                let doubled_us = initial_us.saturating_mul(1 << retries.min(DOUBLINGS_MAX));
                self.draw(doubled_us.min(self.max_delay_us()).min(jitter_max_us))
            }
        };
        retry_after_us + jitter_us
    }

    /// Records a success, which resets the count of consecutive failures.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Draws the interval of a periodic request: `min_us`, or longer if all clients together would exceed the
    /// share `rate_share` of the service's request rate, but at most `max_us`.
    pub fn interval_us(&mut self, min_us: i64, max_us: i64, rate_share: f64) -> i64 {
        let rate = (self.limits.per_second * rate_share).max(PERIODIC_RATE_MIN);
        let required_us = (self.clients() as f64 / rate * MICROS_PER_SECOND) as i64;
        let interval_us = required_us.max(min_us).min(max_us.max(min_us));
        if interval_us <= min_us {
            // Few clients need no jitter, and must not poll more often than configured.
            return min_us;
        }
        let constant_us = (interval_us as f64 * INTERVAL_CONSTANT_PART) as i64;
        constant_us.saturating_add(self.draw(interval_us - constant_us)).max(min_us)
    }
}

#[cfg(test)]
mod tests;
