//! Full resync: reads all keys in pages at one revision and computes the difference to the cached keys.

use super::{CachedEntry, Change, Confirmation, Entries, Phase, WatchFault, WatchState};
use crate::wire::{KeyValue, RangeResponse};

impl WatchState {
    /// Starts a full resync. The cached keys remain unchanged until the list is complete.
    pub(super) fn start_resync(&mut self) {
        self.phase = Phase::new_list();
        self.fragments.clear();
        self.lag = None;
        if std::mem::replace(&mut self.confirmation, Confirmation::Confirmed) == Confirmation::Pending {
            self.forget_entry_revisions();
            (self.revision, self.checked_revision) = (0, 0);
        }
    }

    /// Handles a page of a list. Returns the changes once the last page is received, before that none.
    pub fn handle_list(&mut self, now_us: i64, page: RangeResponse) -> Vec<Change> {
        self.last_response_us = Some(now_us);
        if !matches!(self.phase, Phase::Listing { .. }) || !self.verify_cluster(&page.header) {
            return Vec::new();
        }
        let Phase::Listing { revision, start_key, found } = &mut self.phase else { return Vec::new() };
        if *revision == 0 {
            *revision = page.header.revision;
        }
        self.cluster = page.header.cluster_id;
        let last_key = page.kvs.last().map(|kv| kv.key.0.clone());
        found.extend(page.kvs.into_iter().map(cached_entry));
        if let (true, Some(mut next)) = (page.more, last_key) {
            // Appending a zero byte gives the smallest key after the last one.
            next.push(0);
            *start_key = next;
            return Vec::new();
        }
        let (revision, found) = (*revision, std::mem::take(found));
        self.complete_list(now_us, revision, found)
    }

    fn complete_list(&mut self, now_us: i64, revision: i64, found: Entries) -> Vec<Change> {
        // The cluster was restored to an earlier state. From there on its revisions denote other changes than
        // those reported, so the cached revisions are void.
        if revision < self.revision {
            self.faults.push(WatchFault::Restored);
            self.forget_entry_revisions();
        }
        let changes = self.difference(&found);
        self.entries = found;
        (self.revision, self.checked_revision) = (revision, revision);
        self.keys_at_revision.clear();
        self.listed_once = true;
        self.listed_us = now_us;
        self.phase = Phase::Resuming;
        self.liveness_check_sent(now_us);
        changes
    }

    /// Returns the changes that transform the cached keys into `found`, deletions first.
    fn difference(&self, found: &Entries) -> Vec<Change> {
        let deleted = self.entries.keys().filter(|key| !found.contains_key(*key));
        let mut changes: Vec<Change> = deleted.map(|key| Change::Deleted { key: key.clone() }).collect();
        for (key, new) in found {
            let old = self.entries.get(key);
            let created =
                old.is_none_or(|old| old.create_revision != new.create_revision && old.mod_revision != 0);
            let changed = old.is_none_or(|old| {
                old.value != new.value || (old.mod_revision != 0 && old.mod_revision != new.mod_revision)
            });
            if changed {
                changes.push(Change::Put { key: key.clone(), value: new.value.clone(), created });
            }
        }
        changes
    }

    /// Handles the rejection of a page because its revision was compacted: the list starts again from the
    /// first page.
    pub fn list_compacted(&mut self, now_us: i64) {
        self.last_response_us = Some(now_us);
        self.faults.push(WatchFault::Compacted { oldest: 0 });
        self.start_resync();
    }
}

fn cached_entry(kv: KeyValue) -> (Vec<u8>, CachedEntry) {
    let KeyValue { key, value, create_revision, mod_revision, .. } = kv;
    (key.0, CachedEntry { value: value.0, create_revision, mod_revision })
}
