//! Client-side cache of the keys below a prefix, kept correct through lost connections, compaction and
//! restored backups.
//!
//! Invariant: the cached keys are the registry's keys at some revision, and the reported changes transform
//! the previously cached keys into them without omissions. A key deleted during a gap in the watch is
//! reported as deleted; one deleted and created again is reported as created.
//!
//! No I/O: the inputs are responses and times, the outputs requests and changes. [`crate::Client`] drives it.

mod liveness;
mod resync;
mod snapshot;
mod types;
mod watch;

pub use snapshot::LoadedSnapshot;
pub use types::{CachedEntry, Change, Freshness, ListRequest, NextRequest, WatchFault, WatchSettings};

use crate::wire::{Header, WatchEvent};
use liveness::Lag;
use std::collections::{BTreeMap, BTreeSet};

/// The cached keys by name.
type Entries = BTreeMap<Vec<u8>, CachedEntry>;

enum Phase {
    /// A list is required or partly received. `revision` is 0 before its first page, `start_key` is the first
    /// key of the next page, and `found` holds the keys of the pages received.
    Listing { revision: i64, start_key: Vec<u8>, found: Entries },
    /// A watch is required.
    Resuming,
    /// A watch is active.
    Watching,
}

impl Phase {
    /// A list that starts at the first key, at the revision of its first page.
    fn new_list() -> Self {
        Phase::Listing { revision: 0, start_key: Vec::new(), found: Entries::new() }
    }
}

/// Whether the cached revisions were verified to belong to the registry's current history.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Confirmation {
    Confirmed,
    /// They were loaded from a snapshot, and no liveness check has confirmed them yet.
    Pending,
}

/// A client-side cache of the keys below a prefix; see the module's documentation.
pub struct WatchState {
    settings: WatchSettings,
    entries: Entries,
    /// All changes up to this revision were reported.
    revision: i64,
    confirmation: Confirmation,
    /// The last liveness check showed that no followed key changed between `revision` and this revision.
    checked_revision: i64,
    /// Keys whose change at exactly `revision` was reported; duplicates of those events are skipped.
    keys_at_revision: BTreeSet<Vec<u8>>,
    /// Id of the followed cluster; 0 before the first response.
    cluster: i64,
    phase: Phase,
    /// Events of a response of which further fragments are to come.
    fragments: Vec<WatchEvent>,
    /// Whether the keys were listed, or those of a snapshot confirmed.
    listed_once: bool,
    last_response_us: Option<i64>,
    /// [`WatchSettings::stale_after_us`], raised if liveness checks are further apart.
    stale_after_us: i64,
    liveness_check_due_us: i64,
    /// When the last full list was completed, or a snapshot was confirmed; full resyncs count from here.
    listed_us: i64,
    /// Set while the watch is behind the registry.
    lag: Option<Lag>,
    /// Faults not yet taken by [`WatchState::take_faults`].
    faults: Vec<WatchFault>,
}

impl WatchState {
    /// Creates an empty cache, whose first request is a list.
    pub fn new(settings: WatchSettings) -> Self {
        WatchState {
            settings,
            entries: Entries::new(),
            revision: 0,
            confirmation: Confirmation::Confirmed,
            checked_revision: 0,
            keys_at_revision: BTreeSet::new(),
            cluster: 0,
            phase: Phase::new_list(),
            fragments: Vec::new(),
            listed_once: false,
            last_response_us: None,
            stale_after_us: settings.stale_after_us,
            liveness_check_due_us: 0,
            listed_us: 0,
            lag: None,
            faults: Vec::new(),
        }
    }

    /// Returns how current the cached keys are.
    #[must_use]
    pub fn freshness(&self, now_us: i64) -> Freshness {
        match (self.listed_once, self.last_response_us) {
            (false, _) if self.entries.is_empty() => Freshness::None,
            (false, _) => Freshness::Remembered,
            (true, Some(at)) if now_us.saturating_sub(at) < self.stale_after_us => Freshness::Current,
            (true, _) => Freshness::Stale,
        }
    }

    /// Returns when [`WatchState::freshness`] becomes [`Freshness::Stale`] without a further response.
    #[must_use]
    pub fn stale_at_us(&self) -> Option<i64> {
        self.last_response_us.map(|at| at.saturating_add(self.stale_after_us))
    }

    /// Returns the number of cached keys, which may be stale; see [`WatchState::freshness`].
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is cached.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the revision up to which all changes were reported; 0 while it comes from an unconfirmed
    /// snapshot.
    #[must_use]
    pub fn revision(&self) -> i64 {
        self.if_confirmed(self.revision)
    }

    /// Returns the revision up to which the cached keys are known to be complete, by events, lists or
    /// liveness checks; 0 while nothing is confirmed.
    #[must_use]
    pub fn confirmed_revision(&self) -> i64 {
        self.revision().max(self.if_confirmed(self.checked_revision))
    }

    fn if_confirmed(&self, revision: i64) -> i64 {
        match self.confirmation {
            Confirmation::Confirmed => revision,
            Confirmation::Pending => 0,
        }
    }

    /// Returns the id of the followed cluster; 0 before the first response.
    #[must_use]
    pub fn cluster(&self) -> i64 {
        self.cluster
    }

    /// Returns the cached keys with their values and revisions.
    #[must_use]
    pub fn entries(&self) -> &BTreeMap<Vec<u8>, CachedEntry> {
        &self.entries
    }

    /// Removes and returns the faults since the last call.
    pub fn take_faults(&mut self) -> Vec<WatchFault> {
        std::mem::take(&mut self.faults)
    }

    /// Returns the request to send, unless it is already in flight.
    #[must_use]
    pub fn next_request(&self) -> NextRequest {
        match &self.phase {
            Phase::Listing { revision, start_key, .. } => NextRequest::List(ListRequest {
                start_key: start_key.clone(),
                revision: *revision,
                limit: self.settings.page_size,
            }),
            Phase::Resuming => NextRequest::Watch(self.revision + 1),
            Phase::Watching => NextRequest::Nothing,
        }
    }

    /// Handles the loss of the connection that carried the watch or a list. A partly received list continues
    /// at its next page.
    pub fn connection_lost(&mut self) {
        self.fragments.clear();
        if matches!(self.phase, Phase::Watching) {
            self.phase = Phase::Resuming;
        }
    }

    /// Returns whether a response comes from the followed cluster; otherwise starts a full resync.
    fn verify_cluster(&mut self, header: &Header) -> bool {
        let differs = self.cluster != 0 && header.cluster_id != 0 && header.cluster_id != self.cluster;
        if differs {
            self.faults.push(WatchFault::Restored);
            self.forget_entry_revisions();
            (self.cluster, self.revision, self.checked_revision) = (header.cluster_id, 0, 0);
            self.keys_at_revision.clear();
            self.start_resync();
        }
        !differs
    }

    /// Resets the revisions of the cached keys, which belong to another history. The values are kept for the
    /// comparison with the next list.
    fn forget_entry_revisions(&mut self) {
        self.entries.values_mut().for_each(|entry| entry.mod_revision = 0);
    }
}
