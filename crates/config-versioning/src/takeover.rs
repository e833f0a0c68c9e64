//! When a router checks whether a change that somebody else began still waits for a coordinator.
//!
//! It bounds the load on the registry: all routers together check [`FLEET_CHECK_INTERVAL_US`] apart on average, however many
//! they are. Whoever began the change has a head start. What a check reads is judged by [`crate::RolloutCoordinator`].

/// The average time between two checks of all routers together, in microseconds: five checks a second.
const FLEET_CHECK_INTERVAL_US: i64 = 200_000;
/// The number of routers assumed before the first check has counted them.
const INITIAL_ROUTER_ESTIMATE: i64 = 50;

/// A prepared change whose coordinator may have failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PreparedChange {
    /// The step of the state that prepared it.
    step: u64,
    next_check_us: i64,
}

/// The takeover timer of one router; see the module's documentation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TakeoverTimer {
    random_state: u64,
    change: Option<PreparedChange>,
}

impl TakeoverTimer {
    /// A timer whose times follow from a seed of its own.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        TakeoverTimer { random_state: seed, change: None }
    }

    /// A uniformly drawn part of a span (splitmix64).
    fn draw(&mut self, span_us: i64) -> i64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random_state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        ((u128::from(mixed) * u128::from(span_us.max(1).unsigned_abs())) >> 64) as i64
    }

    /// Takes a new state: its step if a change is prepared. Whoever began the change is left alone for `head_start_us`.
    pub fn observe_state(&mut self, now_us: i64, prepared_step: Option<u64>, head_start_us: i64) {
        let Some(step) = prepared_step else {
            self.change = None;
            return;
        };
        if self.change.is_some_and(|change| change.step == step) {
            return;
        }
        let wait_us = self.draw(FLEET_CHECK_INTERVAL_US * INITIAL_ROUTER_ESTIMATE);
        self.change = Some(PreparedChange { step, next_check_us: now_us + head_start_us + wait_us });
    }

    /// When the next check is due, while a change is prepared.
    #[must_use]
    pub fn next_check_us(&self) -> Option<i64> {
        self.change.map(|change| change.next_check_us)
    }

    /// Takes the end of a check that found leases of so many routers.
    pub fn on_checked(&mut self, now_us: i64, routers: usize) {
        let routers = i64::try_from(routers.max(1)).unwrap_or(i64::MAX / FLEET_CHECK_INTERVAL_US);
        let span_us = FLEET_CHECK_INTERVAL_US.saturating_mul(routers);
        let wait_us = span_us / 2 + self.draw(span_us);
        if let Some(change) = &mut self.change {
            change.next_check_us = now_us.saturating_add(wait_us);
        }
    }
}

#[cfg(test)]
mod tests;
