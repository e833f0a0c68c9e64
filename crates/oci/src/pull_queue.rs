//! The queue of pulls that a running gateway starts automatically: versions that calls name and the store
//! does not hold, and versions whose content was found corrupt. The queue does no I/O; the gateway's plug-in
//! host owns it, passes it names and times, and runs the pulls.
//!
//! It protects the registry, which all gateways share, from calls that name versions that do not exist: one
//! pull at a time, each name queued once, exponential backoff with seeded jitter after a failure, and a
//! bounded number of names. It protects the gateway from invented names in calls: beyond the bound, the
//! record of the name that failed longest ago is removed, while queued names are never displaced.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

/// The backoff doubles at most this often, so that the shift does not overflow.
const MAX_BACKOFF_DOUBLINGS: u32 = 30;

/// Limits of a [`PullQueue`]. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PullQueueSettings {
    /// Limit of the queued names, and separately of the records of failed names.
    pub capacity: usize,
    /// Backoff after a name's first failure, before jitter.
    pub initial_backoff_us: i64,
    /// Upper limit of the backoff, before jitter.
    pub max_backoff_us: i64,
}

impl Default for PullQueueSettings {
    fn default() -> Self {
        PullQueueSettings { capacity: 1_024, initial_backoff_us: 1_000_000, max_backoff_us: 300_000_000 }
    }
}

/// The backoff state of a name whose pull failed.
struct FailureRecord {
    /// End of the backoff.
    retry_at_us: i64,
    consecutive_failures: u32,
    /// Number of this failure among all failures. It orders the records, as the clock may jump.
    sequence: u64,
}

/// A queue of pulls with backoff. A name is a plug-in's with its version or digest, compared as text.
pub struct PullQueue {
    settings: PullQueueSettings,
    queued: VecDeque<String>,
    failed: BTreeMap<String, FailureRecord>,
    in_progress: Option<String>,
    random: Pcg64Mcg,
    failure_count: u64,
}

impl PullQueue {
    /// An empty queue; `seed` is that of the backoff's jitter.
    pub fn new(settings: PullQueueSettings, seed: u64) -> Self {
        PullQueue {
            settings,
            queued: VecDeque::new(),
            failed: BTreeMap::new(),
            in_progress: None,
            random: Pcg64Mcg::seed_from_u64(seed),
            failure_count: 0,
        }
    }

    /// Queues the pull of a name. Returns whether the pull is queued or in progress; it is not during the
    /// name's backoff or when the queue is full.
    pub fn enqueue(&mut self, now_us: i64, name: &str) -> bool {
        if self.in_progress.as_deref() == Some(name) || self.queued.iter().any(|queued| queued == name) {
            return true;
        }
        let is_in_backoff = self.failed.get(name).is_some_and(|record| now_us < record.retry_at_us);
        if is_in_backoff || self.queued.len() >= self.settings.capacity {
            return false;
        }
        self.queued.push_back(name.into());
        true
    }

    /// Takes the next name to pull; none while a pull is in progress.
    pub fn begin(&mut self) -> Option<String> {
        if self.in_progress.is_some() {
            return None;
        }
        self.in_progress = self.queued.pop_front();
        self.in_progress.clone()
    }

    /// Ends the pull in progress.
    pub fn ended(&mut self, now_us: i64, succeeded: bool) {
        let Some(name) = self.in_progress.take() else { return };
        if succeeded {
            self.failed.remove(&name);
        } else {
            self.record_failure(now_us, name);
        }
    }

    fn record_failure(&mut self, now_us: i64, name: String) {
        self.failure_count += 1;
        let previous = self.failed.get(&name);
        let consecutive_failures = previous.map_or(1, |record| record.consecutive_failures.saturating_add(1));
        let record = FailureRecord {
            retry_at_us: now_us.saturating_add(self.backoff_us(consecutive_failures)),
            consecutive_failures,
            sequence: self.failure_count,
        };
        self.failed.insert(name, record);
        while self.failed.len() > self.settings.capacity {
            let oldest = self.failed.iter().min_by_key(|(_, record)| record.sequence);
            let oldest = oldest.map(|(name, _)| name.clone());
            oldest.map(|name| self.failed.remove(&name));
        }
    }

    /// The exponential backoff with a jitter of a quarter in both directions.
    fn backoff_us(&mut self, consecutive_failures: u32) -> i64 {
        let doublings = (consecutive_failures - 1).min(MAX_BACKOFF_DOUBLINGS);
        let doubled = self.settings.initial_backoff_us.saturating_mul(1 << doublings);
        let limited = doubled.min(self.settings.max_backoff_us);
        (limited as f64 * self.random.random_range(0.75..1.25)) as i64
    }

    /// Ends all backoffs, for example after an operator requested a pull or the registry was replaced.
    pub fn clear_failures(&mut self) {
        self.failed.clear();
    }
}

#[cfg(test)]
mod tests;
