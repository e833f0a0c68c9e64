//! Ids of functions and workers, derived from their names.
//!
//! An id is a hash of the name, so that all gateways agree on it without coordination, which the hash ring
//! requires. A function name whose id collides with that of a registered one is refused, because the balancer
//! could not tell the replicas of the two functions apart.

use sha2::{Digest, Sha256};
use slatevalve::{FunctionId, WorkerId};
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

/// At capacity, one in this many names is evicted at once, so that the cost of the sort is spread over many
/// calls.
const EVICTION_DIVISOR: usize = 8;

/// Why a function name cannot be registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum NameError {
    /// Another name in use has the same id.
    Collision {
        /// The refused name.
        name: String,
        /// The registered name with the same id.
        other: String,
    },
    /// The table is at capacity and every name has open calls.
    Full,
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NameError::Collision { name, other } => {
                write!(f, "function name '{name}' has the same id as '{other}'")
            }
            NameError::Full => f.write_str("the table of function names is full"),
        }
    }
}

impl std::error::Error for NameError {}

/// Returns the first eight bytes, big-endian, of SHA-256 over the kind, a zero byte and the name. The result
/// is the same in all builds, machines and versions.
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

/// Function names in use, up to a capacity, at which the least recently used ones are evicted.
#[derive(Debug)]
pub(crate) struct Names {
    hash: fn(&str) -> FunctionId,
    entries: HashMap<FunctionId, NameEntry>,
    capacity: usize,
    /// Number of acquisitions so far; a logical clock for the order of eviction.
    uses: u64,
}

impl Names {
    /// Creates an empty table for `capacity` names, at least one.
    #[must_use]
    pub(crate) fn new(capacity: usize) -> Self {
        Names { hash: function_id, entries: HashMap::new(), capacity: capacity.max(1), uses: 0 }
    }

    /// Registers an open call of a function and returns the function's id.
    ///
    /// # Errors
    /// If another name has the same id, or the table is at capacity and every name has open calls.
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

    /// Evicts the least recently used names without open calls.
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
