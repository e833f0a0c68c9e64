//! Decaying counters, running means, hashing, time conversions, and the traffic statistics of this router.

use crate::api::{Micros, Settings};

/// Window of the counters of requests, attempts and successes, in seconds: long enough for stable shares.
pub(super) const SHARE_WINDOW_SECS: f64 = 20.0;
/// Window of the work served, in seconds: short enough that capacity estimates follow a restart of the fleet.
pub(super) const WORK_WINDOW_SECS: f64 = 4.0;
/// Window of the response rate, in seconds: short enough that admission reacts within about one latency
/// objective.
pub(super) const RESPONSE_RATE_WINDOW_SECS: f64 = 1.0;
/// Lower limit of latencies in running means, in seconds; keeps ratios finite.
pub(super) const LATENCY_MIN_SECS: f64 = 1e-4;
/// Weight of one request in the mean work of its class.
pub(super) const WORK_LEARNING_RATE: f64 = 0.02;
/// Upper limit of the work hint of a request, in seconds.
pub(super) const WORK_HINT_MAX_SECS: f64 = 60.0;
/// Mean work of a class that is not in the settings, in seconds.
pub(super) const WORK_DEFAULT_SECS: f64 = 0.1;
/// The initial mean work of a class is its latency objective divided by this.
const INITIAL_WORK_DIVISOR: f64 = 6.0;

/// Hashes 64 bits to 64 bits (the finaliser of splitmix64), identically on every router and in every build.
pub(super) fn hash_bits(bits: u64) -> u64 {
    let bits = bits.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// Maps a hash to the closed interval from 0 to 1.
pub(super) fn unit_interval(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}

/// Converts microseconds to seconds.
pub(super) fn to_secs(time: Micros) -> f64 {
    time.0 as f64 / 1e6
}

/// Converts seconds to whole microseconds, rounded towards zero.
pub(super) fn from_secs(secs: f64) -> Micros {
    Micros((secs * 1e6) as i64)
}

/// The time from `earlier` to `later`, negative if they are swapped; saturating.
pub(super) fn since(later: Micros, earlier: Micros) -> Micros {
    Micros(later.0.saturating_sub(earlier.0))
}

/// The point in time `delay` after `start`; saturating.
pub(super) const fn after(start: Micros, delay: Micros) -> Micros {
    Micros(start.0.saturating_add(delay.0))
}

/// A duration multiplied by a whole number.
pub(super) const fn multiplied(time: Micros, factor: i64) -> Micros {
    Micros(time.0 * factor)
}

/// Moves an exponentially weighted mean towards `value` by the fraction `rate` of the difference.
pub(super) fn update_mean(mean: &mut f64, value: f64, rate: f64) {
    *mean += (value - *mean) * rate;
}

/// 1 for true and 0 for false, to update the estimate of a probability.
pub(super) fn indicator(condition: bool) -> f64 {
    f64::from(u8::from(condition))
}

/// A counter that decays exponentially with time. All uses of one counter pass the same window.
#[derive(Clone, Copy, Default)]
pub(super) struct DecayingCounter {
    value: f64,
    /// Time of the last increment.
    pub(super) updated_at: Micros,
}

impl DecayingCounter {
    /// The count at `now`, decayed with the time constant `window_secs`.
    pub(super) fn at(&self, now: Micros, window_secs: f64) -> f64 {
        self.value * (-to_secs(since(now, self.updated_at)).max(0.0) / window_secs).exp()
    }

    /// Decays the count to `now` and adds `amount`.
    pub(super) fn add(&mut self, now: Micros, window_secs: f64, amount: f64) {
        *self = DecayingCounter { value: self.at(now, window_secs) + amount, updated_at: now };
    }
}

/// Counters over all functions and workers.
#[derive(Default)]
pub(super) struct TrafficStatistics {
    /// Mean work of each class, in seconds.
    pub(super) class_work_secs: Vec<f64>,
    /// Work of the successful attempts, in seconds, over `WORK_WINDOW_SECS`.
    pub(super) served_work: DecayingCounter,
    /// Successful attempts over `RESPONSE_RATE_WINDOW_SECS`.
    pub(super) responses: DecayingCounter,
    /// Requests over `SHARE_WINDOW_SECS`.
    pub(super) requests: DecayingCounter,
    /// Attempts sent over `SHARE_WINDOW_SECS`.
    pub(super) attempts: DecayingCounter,
    /// Successful attempts over `SHARE_WINDOW_SECS`.
    pub(super) successes: DecayingCounter,
}

impl TrafficStatistics {
    /// Statistics of a router that has seen no traffic.
    pub(super) fn new(settings: &Settings) -> Self {
        let initial_work = |objective| to_secs(objective) / INITIAL_WORK_DIVISOR;
        let class_work_secs =
            settings.classes.iter().map(|class| initial_work(class.latency_objective)).collect();
        TrafficStatistics { class_work_secs, ..TrafficStatistics::default() }
    }
}
