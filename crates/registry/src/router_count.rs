//! The number of routers, derived from the number that the registry lists. No I/O; called by the gateway.
//!
//! The number divides the load that one router may place on a cold worker. Too large a number warms cold workers a little more
//! slowly; too small a one lets all routers together overload them. So a rise applies at once and a fall slowly: a registry
//! that is partitioned from half of the routers, or loses their leases at once, must not make the other half take all.

use crate::watch_state::Freshness;

/// Settings of a [`RouterCount`]. Times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterCountSettings {
    /// The least number of routers, whatever the registry lists.
    pub min_routers: usize,
    /// A fall must last this long without a break, before each step down.
    pub hold_us: i64,
    /// Divisor of a step down: the number falls by at most this fraction, and by at least one router.
    pub step: usize,
}

impl Default for RouterCountSettings {
    fn default() -> Self {
        RouterCountSettings { min_routers: 1, hold_us: 30_000_000, step: 4 }
    }
}

/// The assumed number of routers; see the module's documentation.
#[derive(Debug)]
pub struct RouterCount {
    settings: RouterCountSettings,
    routers: usize,
    /// Since when fewer routers are listed than assumed.
    fewer_since_us: Option<i64>,
}

impl RouterCount {
    /// Creates a count that assumes this many routers until the registry is read.
    pub fn new(settings: RouterCountSettings, routers: usize) -> Self {
        let routers = routers.max(settings.min_routers).max(1);
        RouterCount { settings, routers, fewer_since_us: None }
    }

    /// Returns the number of routers.
    #[must_use]
    pub fn routers(&self) -> usize {
        self.routers
    }

    /// Handles the number of routers listed, from a view of this freshness. Returns the assumed number where it changed. To be
    /// called at each change and from time to time.
    pub fn listed(&mut self, now_us: i64, count: usize, freshness: Freshness) -> Option<usize> {
        let count = count.max(self.settings.min_routers).max(1);
        if count >= self.routers {
            self.fewer_since_us = None;
            let rose = count > self.routers;
            self.routers = count;
            return rose.then_some(count);
        }
        if freshness != Freshness::Current {
            // A stale view is no evidence of fewer routers.
            self.fewer_since_us = None;
            return None;
        }
        let since_us = *self.fewer_since_us.get_or_insert(now_us);
        if now_us.saturating_sub(since_us) < self.settings.hold_us {
            return None;
        }
        let step = (self.routers / self.settings.step.max(1)).max(1);
        self.routers = self.routers.saturating_sub(step).max(count);
        self.fewer_since_us = Some(now_us);
        Some(self.routers)
    }

    /// Returns when the next step down may be due.
    #[must_use]
    pub fn due_us(&self) -> Option<i64> {
        self.fewer_since_us.map(|since_us| since_us.saturating_add(self.settings.hold_us))
    }
}

#[cfg(test)]
mod tests;
