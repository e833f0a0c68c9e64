//! Ids of functions and workers, derived from their names.
//!
//! An id is a hash of the name, so that all gateways agree on it without coordination, which the hash ring requires. Two
//! function names with the same id are detected here and the second one is refused, because the balancer would take their
//! replicas for one another.

use sha2::{Digest, Sha256};
use slatevalve::{FunctionId, WorkerId};
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

/// When the names are at their limit, one of this many is evicted at once, so that the sort is amortised over many calls.
const EVICTION_DIVISOR: usize = 8;

/// Why a function name cannot be registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum NameError {
    /// Another name in use has the same id.
    Collision {
        /// The name that was refused.
        name: String,
        /// The name that has the id.
        other: String,
    },
    /// The limit is reached and every name has open calls.
    Full,
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NameError::Collision { name, other } => write!(f, "'{name}' has the same id as '{other}'"),
            NameError::Full => f.write_str("no room for another name"),
        }
    }
}

impl std::error::Error for NameError {}

/// The first eight bytes, big-endian, of SHA-256 over the kind, a zero byte and the name: the same in all builds, machines
/// and versions.
fn stable_hash(kind: &str, name: &str) -> u64 {
    let digest = Sha256::new().chain_update(kind).chain_update([0]).chain_update(name).finalize();
    digest.first_chunk::<8>().map_or(0, |bytes| u64::from_be_bytes(*bytes))
}

/// Id of a function, the same at every gateway.
#[must_use]
pub fn function_id(name: &str) -> FunctionId {
    FunctionId(stable_hash("function", name))
}

/// Id of a worker, the same at every gateway and across restarts of the worker.
#[must_use]
pub fn worker_id(name: &str) -> WorkerId {
    WorkerId(stable_hash("worker", name))
}

#[derive(Debug)]
struct NameEntry {
    name: Arc<str>,
    open_calls: usize,
    /// Value of `Names::uses` when the name was last acquired.
    last_use: u64,
}

/// The function names in use, up to a limit; beyond it those unused for longest are evicted.
#[derive(Debug)]
pub(crate) struct Names {
    hash: fn(&str) -> FunctionId,
    entries: HashMap<FunctionId, NameEntry>,
    capacity: usize,
    /// Number of acquisitions so far, a logical clock for the eviction order.
    uses: u64,
}

impl Names {
    /// An empty table for at most `capacity` names, at least one.
    #[must_use]
    pub(crate) fn new(capacity: usize) -> Self {
        Names { hash: function_id, entries: HashMap::new(), capacity: capacity.max(1), uses: 0 }
    }

    /// Registers one more open call of a function and returns the id of the function.
    ///
    /// # Errors
    /// If another name has the same id, or the table is full of names with open calls.
    pub(crate) fn acquire(&mut self, name: &Arc<str>) -> Result<FunctionId, NameError> {
        let id = (self.hash)(name);
        self.uses += 1;
        let last_use = self.uses;
        if let Some(entry) = self.entries.get_mut(&id) {
            if entry.name != *name {
                return Err(NameError::Collision { name: name.to_string(), other: entry.name.to_string() });
            }
            entry.open_calls += 1;
            entry.last_use = last_use;
            return Ok(id);
        }
        if self.entries.len() >= self.capacity {
            self.evict_idle()?;
        }
        self.entries.insert(id, NameEntry { name: name.clone(), open_calls: 1, last_use });
        Ok(id)
    }

    /// Records that a call of a function was closed.
    pub(crate) fn release(&mut self, id: FunctionId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.open_calls = entry.open_calls.saturating_sub(1);
        }
    }

    /// Name of a function, unless it was evicted.
    #[must_use]
    pub(crate) fn get(&self, id: FunctionId) -> Option<Arc<str>> {
        self.entries.get(&id).map(|entry| entry.name.clone())
    }

    /// Evicts the names without open calls that were unused for longest.
    fn evict_idle(&mut self) -> Result<(), NameError> {
        let idle_entries = self.entries.iter().filter(|(_, entry)| entry.open_calls == 0);
        let mut idle: Vec<(u64, FunctionId)> =
            idle_entries.map(|(id, entry)| (entry.last_use, *id)).collect();
        if idle.is_empty() {
            return Err(NameError::Full);
        }
        idle.sort_unstable();
        let evicted = (self.capacity / EVICTION_DIVISOR).max(1);
        for (_, id) in idle.into_iter().take(evicted) {
            self.entries.remove(&id);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
