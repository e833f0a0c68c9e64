//! Conversion of the watch's responses into changes.

use super::{CachedEntry, Change, Confirmation, Phase, WatchFault, WatchState};
use crate::wire::{EventType, KeyValue, WatchEvent, WatchResponse};

impl WatchState {
    /// Handles a response of the watch and returns its changes. All changes of one revision are returned
    /// together.
    pub fn handle_watch(&mut self, now_us: i64, response: WatchResponse) -> Vec<Change> {
        self.last_response_us = Some(now_us);
        // During a list, responses of an abandoned watch may still arrive.
        if matches!(self.phase, Phase::Listing { .. }) || !self.verify_cluster(&response.header) {
            return Vec::new();
        }
        if response.canceled || response.compact_revision > 0 {
            self.watch_ended(response);
            return Vec::new();
        }
        if response.created && !self.watch_created(now_us, response.header.revision) {
            return Vec::new();
        }
        self.fragments.extend(response.events);
        if response.fragment {
            return Vec::new();
        }
        let events = std::mem::take(&mut self.fragments);
        if events.is_empty() {
            // A progress notification guarantees that all events up to its revision were delivered; `created`
            // does not.
            if !response.created && response.header.revision > self.revision {
                self.advance_to(response.header.revision);
            }
            return Vec::new();
        }
        events.into_iter().filter_map(|event| self.apply_event(event)).collect()
    }

    /// Handles the cancellation of the watch.
    fn watch_ended(&mut self, response: WatchResponse) {
        self.fragments.clear();
        if response.compact_revision > 0 {
            self.faults.push(WatchFault::Compacted { oldest: response.compact_revision });
            self.start_resync();
        } else {
            self.faults.push(WatchFault::Ended(response.cancel_reason));
            self.phase = Phase::Resuming;
        }
    }

    /// Handles the confirmation that the watch was created. Returns whether it is active; otherwise a resync
    /// starts.
    fn watch_created(&mut self, now_us: i64, revision: i64) -> bool {
        self.phase = Phase::Watching;
        // The member lags behind, or its history is a different one; a list shows which.
        if revision != 0 && revision < self.revision {
            self.faults.push(WatchFault::Behind);
            self.start_resync();
            return false;
        }
        // The response shows that the registry answers, so the next check can wait. This spares it the checks
        // of all clients that reconnect at the same time.
        match self.confirmation {
            Confirmation::Pending => self.liveness_check_due_us = now_us,
            Confirmation::Confirmed => self.liveness_check_sent(now_us),
        }
        true
    }

    fn advance_to(&mut self, revision: i64) {
        self.revision = revision;
        self.keys_at_revision.clear();
    }

    /// Applies an event to the cache; returns `None` if it was already applied.
    fn apply_event(&mut self, event: WatchEvent) -> Option<Change> {
        let WatchEvent { kind, kv } = event;
        let KeyValue { key, value, create_revision, mod_revision, .. } = kv;
        let (key, value) = (key.0, value.0);
        let is_duplicate = mod_revision == self.revision && self.keys_at_revision.contains(&key);
        if mod_revision < self.revision || is_duplicate {
            return None;
        }
        if mod_revision > self.revision {
            self.advance_to(mod_revision);
        }
        self.keys_at_revision.insert(key.clone());
        let old = self.entries.get(&key);
        match kind {
            EventType::Delete => {
                self.entries.remove(&key)?;
                Some(Change::Deleted { key })
            }
            EventType::Put => {
                // The list already contained this change.
                if old.is_some_and(|old| old.mod_revision >= mod_revision) {
                    return None;
                }
                let created = old.is_none_or(|old| old.create_revision != create_revision);
                let entry = CachedEntry { value: value.clone(), create_revision, mod_revision };
                self.entries.insert(key.clone(), entry);
                Some(Change::Put { key, value, created })
            }
        }
    }
}
