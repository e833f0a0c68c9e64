//! Snapshots of the cached keys, from which a restarted process continues. They are JSON; the caller stores
//! them.

use super::{CachedEntry, Change, Confirmation, Phase, WatchState};
use serde::{Deserialize, Serialize};

/// The stored format. Earlier versions wrote it without revisions; all keys are listed after loading such a
/// snapshot.
#[derive(Serialize, Deserialize)]
struct Snapshot {
    /// Keys and values.
    keys: Vec<(Vec<u8>, Vec<u8>)>,
    /// For each key, in the same order, the revisions that created it and last changed it.
    #[serde(default)]
    revisions: Vec<(i64, i64)>,
    /// All changes up to this revision are included.
    #[serde(default)]
    revision: i64,
    #[serde(default)]
    cluster: i64,
    /// The number of the registry's clients when the snapshot was taken.
    #[serde(default, rename = "askers")]
    clients: usize,
}

/// The contents of a loaded snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedSnapshot {
    /// The keys, as changes from an empty cache.
    pub changes: Vec<Change>,
    /// The number of the registry's clients when the snapshot was taken; 0 if an earlier version did not
    /// store it.
    pub clients: usize,
}

impl WatchState {
    /// Loads a snapshot of an earlier process; to be called before the first response. If the snapshot has
    /// revisions, a watch continues from there, so that the restart of a whole fleet causes no lists.
    ///
    /// # Errors
    /// When the bytes are not a snapshot made by [`WatchState::to_snapshot`]; the cache is then unchanged.
    pub fn load_snapshot(&mut self, bytes: &[u8]) -> Result<LoadedSnapshot, serde_json::Error> {
        let Snapshot { keys, revisions, revision, cluster, clients } = serde_json::from_slice(bytes)?;
        let has_revisions = revision > 0 && cluster != 0 && revisions.len() == keys.len();
        for (index, (key, value)) in keys.iter().enumerate() {
            // Without a known history revisions cannot be compared; 0 makes any listed revision count as
            // newer.
            let (create_revision, mod_revision) = if has_revisions { revisions[index] } else { (0, 0) };
            let entry = CachedEntry { value: value.clone(), create_revision, mod_revision };
            self.entries.insert(key.clone(), entry);
        }
        if has_revisions {
            (self.revision, self.cluster, self.phase) = (revision, cluster, Phase::Resuming);
            self.confirmation = Confirmation::Pending;
        }
        let changes = keys.into_iter().map(|(key, value)| Change::Put { key, value, created: true });
        Ok(LoadedSnapshot { changes: changes.collect(), clients })
    }

    /// Serializes the cached keys for the next process, together with the number of the registry's clients.
    #[must_use]
    pub fn to_snapshot(&self, clients: usize) -> Vec<u8> {
        let keys = self.entries.iter().map(|(key, entry)| (key.clone(), entry.value.clone())).collect();
        let revisions =
            self.entries.values().map(|entry| (entry.create_revision, entry.mod_revision)).collect();
        let (revision, cluster) = (self.revision, self.cluster);
        serde_json::to_vec(&Snapshot { keys, revisions, revision, cluster, clients }).unwrap_or_default()
    }
}
