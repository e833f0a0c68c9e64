//! The assumed number of routers, derived from the number that the registry lists. No I/O; called by the
//! gateway.
//!
//! The load that one router may send to a cold worker is divided by this number. If it is too large, cold
//! workers warm up a little more slowly; if it is too small, all routers together overload them. Therefore an
//! increase applies at once and a decrease in slow steps: when the registry is partitioned from half of the
//! routers, or loses their leases at once, the other half must not assume to be alone.

use crate::watch_state::Freshness;

/// Settings of a [`RouterCount`]. Times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterCountSettings {
    /// Lower bound on the assumed number, whatever the registry lists.
    pub min_routers: usize,
    /// How long fewer routers must be listed without interruption before each step down.
    pub hold_us: i64,
    /// Divisor of a step down: each step removes at most one `step`-th of the routers, but at least one
    /// router.
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
    /// Since when fewer routers are listed than assumed; reset by each step down.
    fewer_since_us: Option<i64>,
}

impl RouterCount {
    /// Creates a count that assumes `routers` until the registry was read.
    pub fn new(settings: RouterCountSettings, routers: usize) -> Self {
        let routers = routers.max(settings.min_routers).max(1);
        RouterCount { settings, routers, fewer_since_us: None }
    }

    /// Returns the assumed number of routers, this one included; at least one.
    #[must_use]
    pub fn routers(&self) -> usize {
        self.routers
    }

    /// Handles the number of listed routers, read at the given freshness. Returns the assumed number if it
    /// changed. To be called after each change and when [`RouterCount::due_us`] is reached.
    pub fn listed(&mut self, now_us: i64, count: usize, freshness: Freshness) -> Option<usize> {
        let count = count.max(self.settings.min_routers).max(1);
        if count >= self.routers {
            self.fewer_since_us = None;
            let increased = count > self.routers;
            self.routers = count;
            return increased.then_some(count);
        }
        if freshness != Freshness::Current {
            // Stale data does not show that there are fewer routers.
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

    /// Returns when the next step down is due if fewer routers are listed until then; `None` while none is
    /// pending.
    #[must_use]
    pub fn due_us(&self) -> Option<i64> {
        self.fewer_since_us.map(|since_us| since_us.saturating_add(self.settings.hold_us))
    }
}

#[cfg(test)]
mod tests;
