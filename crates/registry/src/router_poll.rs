//! Schedules the counts of routers and adds up those registered at the registry and at relays. The interval
//! grows while the number is stable, because each count costs every router two requests. Called by
//! [`crate::Client`].

/// Minimum interval of counts, used while the number changes, in microseconds.
const POLL_INTERVAL_MIN_US: i64 = 2_000_000;
/// Maximum interval of counts, in microseconds.
const POLL_INTERVAL_MAX_US: i64 = 120_000_000;
/// The interval while the number changes is at least this many windows, a window being the time in which the
/// registry serves the first requests of all clients.
const WINDOWS_PER_POLL: i64 = 4;

/// The schedule and the last result of counts; see the module's documentation. Times in microseconds.
#[derive(Debug)]
pub(crate) struct RouterPoll {
    due_us: i64,
    interval_us: i64,
    last_count: Option<usize>,
    /// Routers registered directly at the registry; set between the response to that count and the request of
    /// the relays' numbers.
    direct_routers: Option<usize>,
}

impl RouterPoll {
    pub(crate) fn new() -> Self {
        RouterPoll { due_us: 0, interval_us: POLL_INTERVAL_MIN_US, last_count: None, direct_routers: None }
    }

    pub(crate) fn due_us(&self) -> i64 {
        self.due_us
    }

    /// Delays the next count until `at_us` or later.
    pub(crate) fn not_before(&mut self, at_us: i64) {
        self.due_us = self.due_us.max(at_us);
    }

    /// Handles the sending of a count; the next one is due one interval later, whatever the outcome.
    pub(crate) fn count_sent(&mut self, now_us: i64) {
        self.due_us = now_us.saturating_add(self.interval_us);
    }

    /// Handles the number of routers registered directly at the registry; the relays are to be listed next.
    pub(crate) fn handle_direct_routers(&mut self, count: usize) {
        self.direct_routers = Some(count);
    }

    pub(crate) fn should_list_relays(&self) -> bool {
        self.direct_routers.is_some()
    }

    /// Removes and returns the number of directly registered routers, to which those at relays are to be
    /// added.
    pub(crate) fn take_direct_routers(&mut self) -> Option<usize> {
        self.direct_routers.take()
    }

    /// Handles the total number of routers and returns it if it changed. `window_us` is the time in which the
    /// registry serves the first requests of all clients.
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
