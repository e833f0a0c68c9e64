//! Schedules a router's checks for a prepared change whose coordinator has stopped.
//!
//! Bounds the load on the registry: the fleet as a whole makes one check per [`FLEET_CHECK_INTERVAL_US`] on
//! average, whatever its size. The first check is delayed, so that the coordinator that began the change can
//! finish it. [`crate::RolloutCoordinator`] evaluates what a check reads.

/// The average interval between checks over the whole fleet, in microseconds (five checks per second).
const FLEET_CHECK_INTERVAL_US: i64 = 200_000;
/// The fleet size assumed until the first check has counted the leases.
const INITIAL_ROUTER_ESTIMATE: i64 = 50;

/// A prepared change whose coordinator may have stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PreparedChange {
    /// The step of the state that prepared it.
    step: u64,
    next_check_us: i64,
}

/// The check schedule of one router; see the module's documentation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TakeoverTimer {
    random_state: u64,
    change: Option<PreparedChange>,
}

impl TakeoverTimer {
    /// A timer whose jitter is derived from `seed`, which should differ between routers.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        TakeoverTimer { random_state: seed, change: None }
    }

    /// A uniformly distributed value in `0..span_us` (splitmix64).
    fn random_below(&mut self, span_us: i64) -> i64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random_state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        ((u128::from(mixed) * u128::from(span_us.max(1).unsigned_abs())) >> 64) as i64
    }

    /// Observes a state: `prepared_step` is its step if a change is prepared, else `None`. For a new change,
    /// the first check comes no earlier than `takeover_delay_us` from now.
    pub fn observe_state(&mut self, now_us: i64, prepared_step: Option<u64>, takeover_delay_us: i64) {
        let Some(step) = prepared_step else {
            self.change = None;
            return;
        };
        if self.change.is_some_and(|change| change.step == step) {
            return;
        }
        let wait_us = self.random_below(FLEET_CHECK_INTERVAL_US * INITIAL_ROUTER_ESTIMATE);
        self.change = Some(PreparedChange { step, next_check_us: now_us + takeover_delay_us + wait_us });
    }

    /// When the next check is due; `None` if no change is prepared.
    #[must_use]
    pub fn next_check_us(&self) -> Option<i64> {
        self.change.map(|change| change.next_check_us)
    }

    /// Schedules the next check after one that found `routers` leases.
    pub fn on_checked(&mut self, now_us: i64, routers: usize) {
        let routers = i64::try_from(routers.max(1)).unwrap_or(i64::MAX / FLEET_CHECK_INTERVAL_US);
        let span_us = FLEET_CHECK_INTERVAL_US.saturating_mul(routers);
        let wait_us = span_us / 2 + self.random_below(span_us);
        if let Some(change) = &mut self.change {
            change.next_check_us = now_us.saturating_add(wait_us);
        }
    }
}

#[cfg(test)]
mod tests;
