//! The settings, requests, changes and faults of a [`WatchState`](super::WatchState).

/// Limits of a [`WatchState`](super::WatchState). Times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchSettings {
    /// Keys requested in one page of a list.
    pub page_size: i64,
    /// Interval of liveness checks, which show whether the registry answers and whether the watch is complete. It is longer
    /// among many clients, see [`WatchState::set_intervals`](super::WatchState::set_intervals).
    pub liveness_interval_us: i64,
    /// Time that a watch has to catch up after a liveness check found it behind.
    pub lag_tolerance_us: i64,
    /// Interval of full resyncs. A liveness check cannot detect an event that was lost before a later one arrived. The
    /// protocol excludes such a loss, a proxy in between may not.
    pub full_resync_interval_us: i64,
    /// Time without any response after which the view is stale; longer where liveness checks are further apart.
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
    /// The key has this value now.
    Put {
        /// The key.
        key: Vec<u8>,
        /// The value.
        value: Vec<u8>,
        /// Whether the key is new, or was deleted and created again since the last change.
        created: bool,
    },
    /// The key was deleted.
    Deleted {
        /// The key.
        key: Vec<u8>,
    },
}

/// Parameters of one page of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListRequest {
    /// The first key; empty for the start of the range.
    pub start_key: Vec<u8>,
    /// The revision to read at; 0 for the current one.
    pub revision: i64,
    /// The largest number of keys.
    pub limit: i64,
}

/// The request that brings a [`WatchState`](super::WatchState) up to date.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextRequest {
    /// A page of a list.
    List(ListRequest),
    /// A watch that starts at this revision.
    Watch(i64),
    /// None: a watch is active.
    Nothing,
}

/// A fault of the watch, reported for the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchFault {
    /// The required history was compacted: a full resync follows.
    Compacted {
        /// The oldest revision that is available.
        oldest: i64,
    },
    /// The registry is a different cluster, or was restored to an earlier revision.
    Restored,
    /// The watch delivered less than the registry holds.
    Behind,
    /// The registry canceled the watch, for this reason.
    Ended(String),
}

/// How current the cached keys are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// No keys are known.
    None,
    /// The keys come from a snapshot of an earlier process and are not confirmed.
    Remembered,
    /// The keys are followed, and the registry answered recently.
    Current,
    /// The keys were followed, but the registry has not answered for too long.
    Stale,
}

/// A cached key's value and revisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedEntry {
    /// The value.
    pub value: Vec<u8>,
    /// The revision that created the key.
    pub create_revision: i64,
    /// The revision of the last change; 0 where it is unknown.
    pub mod_revision: i64,
}
