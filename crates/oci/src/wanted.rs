//! What a running gateway pulls by itself, and when: versions that calls name and the folder does not hold, and versions
//! whose content was found corrupt. A decision module: names and times in, pulls out; the gateway's plug-in host calls it.
//!
//! It guards the registry, the one store that all gateways share, against calls that name things that are not there: one
//! pull at a time, each name once, waits that double after each failure up to a longest one with jitter from a seed, and a
//! bounded number of names. It guards the gateway against names that a client makes up: beyond the bound the name that
//! failed longest ago gives way, and one that never failed does not.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

/// Limits of [`Wanted`]. Times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WantedSettings {
    /// Names that are remembered, waiting or failed.
    pub names: usize,
    /// The wait after a first failure.
    pub first_wait_us: i64,
    /// The longest wait.
    pub longest_wait_us: i64,
}

impl Default for WantedSettings {
    fn default() -> Self {
        WantedSettings { names: 1_024, first_wait_us: 1_000_000, longest_wait_us: 300_000_000 }
    }
}

struct Failed {
    /// Not before then.
    until_us: i64,
    times: u32,
    /// The order of failures, as clocks may jump.
    order: u64,
}

/// See the module's documentation. A name is a plug-in's with its version or digest, as the caller spells it.
pub struct Wanted {
    settings: WantedSettings,
    waiting: VecDeque<String>,
    failed: BTreeMap<String, Failed>,
    under_way: Option<String>,
    random: Pcg64Mcg,
    failures: u64,
}

impl Wanted {
    /// Nothing wanted yet.
    pub fn new(settings: WantedSettings, seed: u64) -> Self {
        Wanted {
            settings,
            waiting: VecDeque::new(),
            failed: BTreeMap::new(),
            under_way: None,
            random: Pcg64Mcg::seed_from_u64(seed),
            failures: 0,
        }
    }

    /// Somebody needs a version; whether it is being had or will be.
    pub fn want(&mut self, now_us: i64, name: &str) -> bool {
        if self.under_way.as_deref() == Some(name) || self.waiting.iter().any(|w| w == name) {
            return true;
        }
        if self.failed.get(name).is_some_and(|f| now_us < f.until_us) {
            return false;
        }
        if self.waiting.len() >= self.settings.names {
            return false;
        }
        self.waiting.push_back(name.into());
        true
    }

    /// The next pull to begin, if none is under way.
    pub fn begin(&mut self) -> Option<String> {
        if self.under_way.is_some() {
            return None;
        }
        self.under_way = self.waiting.pop_front();
        self.under_way.clone()
    }

    /// The pull under way ended.
    pub fn ended(&mut self, now_us: i64, good: bool) {
        let Some(name) = self.under_way.take() else { return };
        if good {
            self.failed.remove(&name);
            return;
        }
        self.failures += 1;
        let times = self.failed.get(&name).map_or(1, |f| f.times.saturating_add(1));
        let doubled = self.settings.first_wait_us.saturating_mul(1 << (times - 1).min(30));
        let wait = doubled.min(self.settings.longest_wait_us) as f64 * self.random.random_range(0.75..1.25);
        let failed = Failed { until_us: now_us.saturating_add(wait as i64), times, order: self.failures };
        self.failed.insert(name, failed);
        while self.failed.len() > self.settings.names {
            let oldest = self.failed.iter().min_by_key(|(_, f)| f.order).map(|(n, _)| n.clone());
            oldest.map(|n| self.failed.remove(&n));
        }
    }

    /// Forgets that a name failed: an operator asked, or the registry is another one now.
    pub fn forgive(&mut self) {
        self.failed.clear();
    }
}

#[cfg(test)]
mod tests;
