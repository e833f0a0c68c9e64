//! Liveness checks: small reads that show whether the registry answers and whether the watch delivered all
//! changes.

use super::{Confirmation, Phase, WatchFault, WatchState};
use crate::wire::{Header, KeyValue, RangeResponse};

/// A watch that is behind the registry, as liveness checks found.
pub(super) struct Lag {
    /// When it was first found behind at `revision`.
    since_us: i64,
    /// The watch's revision at that time. If the watch advances, the missing events were only in flight.
    revision: i64,
}

impl WatchState {
    /// Returns whether a liveness check of the active watch is due.
    #[must_use]
    pub fn liveness_check_due(&self, now_us: i64) -> bool {
        matches!(self.phase, Phase::Watching) && now_us >= self.liveness_check_due_us
    }

    /// Returns when the next liveness check is due; `None` while no watch is active.
    #[must_use]
    pub fn liveness_check_due_us(&self) -> Option<i64> {
        matches!(self.phase, Phase::Watching).then_some(self.liveness_check_due_us)
    }

    /// Sets the intervals of liveness checks and full resyncs. Possibly no response arrives between two
    /// checks, so the keys count as stale only after the next check and its response time.
    pub fn set_intervals(&mut self, liveness_us: i64, full_resync_us: i64, response_time_us: i64) {
        (self.settings.liveness_interval_us, self.settings.full_resync_interval_us) =
            (liveness_us, full_resync_us);
        self.stale_after_us = self.settings.stale_after_us.max(liveness_us + 2 * response_time_us);
    }

    /// Returns whether a liveness check is required that no other response can replace: the watch was found
    /// behind, or the revisions of a snapshot are not confirmed.
    #[must_use]
    pub fn requires_liveness_check(&self) -> bool {
        self.lag.is_some() || self.confirmation == Confirmation::Pending
    }

    /// Handles the sending of a liveness check; the next one is due one interval later, whatever the outcome.
    pub fn liveness_check_sent(&mut self, now_us: i64) {
        self.liveness_check_due_us = now_us.saturating_add(self.settings.liveness_interval_us);
    }

    /// Handles the response to a liveness check, which holds the number of keys and the last modified key.
    pub fn handle_liveness_check(&mut self, now_us: i64, response: &RangeResponse) {
        self.last_response_us = Some(now_us);
        let header = &response.header;
        if !matches!(self.phase, Phase::Watching) || !self.verify_cluster(header) {
            return;
        }
        let complete = self.is_complete(response);
        let pending = std::mem::replace(&mut self.confirmation, Confirmation::Confirmed);
        if pending == Confirmation::Pending {
            if !complete {
                return self.start_resync();
            }
            (self.listed_once, self.listed_us) = (true, now_us);
        }
        if complete {
            self.checked_revision = header.revision;
            return self.liveness_confirmed(now_us);
        }
        self.handle_lag(now_us);
    }

    /// Returns whether the cache agrees with the response: the number of keys, and the revision of the last
    /// modified key. A registry with another history is very unlikely to have the same key modified last at
    /// the same revision.
    fn is_complete(&self, response: &RangeResponse) -> bool {
        let is_cached = |kv: &KeyValue| {
            self.entries.get(&kv.key.0).is_some_and(|entry| entry.mod_revision == kv.mod_revision)
        };
        response.kvs.first().is_none_or(is_cached)
            && i64::try_from(self.entries.len()) == Ok(response.count)
            && response.header.revision >= self.revision
    }

    /// Handles a check that found the watch behind. Events in flight cause this for a moment, and at every
    /// check while many keys change. Only a watch whose revision does not advance within the tolerance has
    /// lost events.
    fn handle_lag(&mut self, now_us: i64) {
        let since_us = match &self.lag {
            Some(lag) if lag.revision == self.revision => lag.since_us,
            _ => now_us,
        };
        self.lag = Some(Lag { since_us, revision: self.revision });
        if now_us.saturating_sub(since_us) >= self.settings.lag_tolerance_us {
            self.faults.push(WatchFault::Behind);
            self.start_resync();
        } else {
            self.liveness_check_due_us = since_us.saturating_add(self.settings.lag_tolerance_us);
        }
    }

    /// Handles the confirmation that the watch is complete; starts a full resync if one is due.
    fn liveness_confirmed(&mut self, now_us: i64) {
        self.lag = None;
        if now_us.saturating_sub(self.listed_us) >= self.settings.full_resync_interval_us {
            self.start_resync();
        }
    }

    /// Handles the header of any other response, such as that of a keep-alive. Returns whether it replaces a
    /// liveness check, which it does if nothing changed in the registry since the last event or check.
    pub fn handle_header(&mut self, now_us: i64, header: &Header) -> bool {
        self.last_response_us = Some(now_us);
        if !matches!(self.phase, Phase::Watching) || header.revision == 0 || !self.verify_cluster(header) {
            return false;
        }
        let unchanged = header.revision == self.checked_revision.max(self.revision) && self.lag.is_none();
        if unchanged {
            self.liveness_check_sent(now_us);
            self.liveness_confirmed(now_us);
        }
        unchanged
    }
}
