//! When routers are counted, and their number: those registered at the registry and those at relays. The interval grows while
//! the number is stable, as each count costs every router two requests. Called by [`crate::Client`].

/// Interval of counts while the number changes, in microseconds.
const POLL_INTERVAL_MIN_US: i64 = 2_000_000;
/// The longest interval of counts, in microseconds.
const POLL_INTERVAL_MAX_US: i64 = 120_000_000;
/// The shortest interval, in windows in which the registry serves the first requests of all clients.
const WINDOWS_PER_POLL: i64 = 4;

/// The schedule and the result of counts; see the module's documentation. Times in microseconds.
#[derive(Debug)]
pub(crate) struct RouterPoll {
    due_us: i64,
    interval_us: i64,
    last_count: Option<usize>,
    /// Routers registered at the registry, until the relays are asked for theirs.
    direct_routers: Option<usize>,
}

impl RouterPoll {
    pub(crate) fn new() -> Self {
        RouterPoll { due_us: 0, interval_us: POLL_INTERVAL_MIN_US, last_count: None, direct_routers: None }
    }

    /// Returns when the next count is due.
    pub(crate) fn due_us(&self) -> i64 {
        self.due_us
    }

    /// Delays the next count until this time at least.
    pub(crate) fn not_before(&mut self, at_us: i64) {
        self.due_us = self.due_us.max(at_us);
    }

    /// Notes that a count was requested; the next is due one interval later, whatever its outcome.
    pub(crate) fn count_sent(&mut self, now_us: i64) {
        self.due_us = now_us.saturating_add(self.interval_us);
    }

    /// Handles the number of routers registered at the registry; the relays are to be listed next.
    pub(crate) fn handle_direct_routers(&mut self, count: usize) {
        self.direct_routers = Some(count);
    }

    /// Returns whether the relays are to be listed.
    pub(crate) fn should_list_relays(&self) -> bool {
        self.direct_routers.is_some()
    }

    /// Takes the number of routers registered at the registry, to add those of the relays.
    pub(crate) fn take_direct_routers(&mut self) -> Option<usize> {
        self.direct_routers.take()
    }

    /// Handles the number of all routers, and returns it where it changed. `window_us` is the time in which the registry
    /// serves the first requests of all clients.
    pub(crate) fn counted(&mut self, now_us: i64, count: usize, window_us: i64) -> Option<usize> {
        let changed = self.last_count.replace(count) != Some(count);
        let interval_us = if changed {
            POLL_INTERVAL_MIN_US.max(WINDOWS_PER_POLL * window_us)
        } else {
            self.interval_us * 2
        };
        self.interval_us = interval_us.min(POLL_INTERVAL_MAX_US);
        self.due_us = now_us.saturating_add(self.interval_us);
        changed.then_some(count)
    }
}
