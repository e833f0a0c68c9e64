//! The settings, requests, changes and faults of a [`WatchState`](super::WatchState).

/// Settings of a [`WatchState`](super::WatchState). Times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchSettings {
    /// Maximum number of keys in one page of a list.
    pub page_size: i64,
    /// Interval of liveness checks, which show whether the registry answers and whether the watch is
    /// complete. With many clients it is longer, see
    /// [`WatchState::set_intervals`](super::WatchState::set_intervals).
    pub liveness_interval_us: i64,
    /// How long a watch may stay at the same revision after a liveness check found it behind, before a full
    /// resync starts.
    pub lag_tolerance_us: i64,
    /// Interval of full resyncs. A liveness check cannot detect a lost event if a later event arrived. The
    /// protocol rules out such a loss, but a proxy between client and registry may cause it.
    pub full_resync_interval_us: i64,
    /// Time without any response after which the cached keys are stale; longer if liveness checks are further
    /// apart.
    pub stale_after_us: i64,
}

impl Default for WatchSettings {
    fn default() -> Self {
        WatchSettings {
            page_size: 500,
            liveness_interval_us: 1_000_000,
            lag_tolerance_us: 500_000,
            full_resync_interval_us: 60_000_000,
            stale_after_us: 5_000_000,
        }
    }
}

/// A change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was created or its value changed.
    Put {
        /// The full key, prefix included.
        key: Vec<u8>,
        /// The new value.
        value: Vec<u8>,
        /// Whether the key is new, or was deleted and created again since the last change.
        created: bool,
    },
    /// The key was deleted.
    Deleted {
        /// The full key, prefix included.
        key: Vec<u8>,
    },
}

/// Parameters of one page of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListRequest {
    /// The first key to return; empty for the first key of the range.
    pub start_key: Vec<u8>,
    /// The revision to read at; 0 for the current one.
    pub revision: i64,
    /// The maximum number of keys.
    pub limit: i64,
}

/// The request that brings a [`WatchState`](super::WatchState) up to date.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextRequest {
    /// A page of a list.
    List(ListRequest),
    /// A watch whose first event is at this revision or later.
    Watch(i64),
    /// No request, because a watch is active.
    Nothing,
}

/// A fault of the watch. It is repaired automatically and reported for the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchFault {
    /// The revisions to continue from were compacted; a full resync follows.
    Compacted {
        /// The oldest available revision; 0 if unknown.
        oldest: i64,
    },
    /// The registry is another cluster, or was restored to an earlier revision.
    Restored,
    /// The watch delivered fewer changes than the registry holds; a full resync follows.
    Behind,
    /// The registry canceled the watch for this reason; a new watch continues.
    Ended(String),
}

/// How current the cached keys are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// No keys are cached and none were listed yet.
    None,
    /// The keys come from a snapshot of an earlier process and are not confirmed by the registry.
    Remembered,
    /// The keys were listed or confirmed, and the registry answered recently.
    Current,
    /// The keys were listed or confirmed, but the registry has not answered for too long.
    Stale,
}

/// Value and revisions of a cached key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedEntry {
    /// The value, usually a JSON record.
    pub value: Vec<u8>,
    /// The revision that created the key; 0 if unknown.
    pub create_revision: i64,
    /// The revision of the last change; 0 if unknown.
    pub mod_revision: i64,
}
