//! Names and the module's ids. A worker's and a function's id is a hash of its name, so that all gateways agree
//! without a word between them (the ring needs that); two names with one id are told apart here and the second is
//! refused, as the module would mix their copies up. Called by the engine and, for workers, by the shell.

use sha2::{Digest, Sha256};
use slatevalve::{FunctionId, WorkerId};
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

/// Why a name cannot be taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NameError {
    /// Its id is that of another name in use.
    Collision {
        /// The name asked for.
        name: String,
        /// The name that has the id.
        other: String,
    },
    /// Every name that is held is in use.
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

/// The first eight bytes of SHA-256 over a kind and a name: stable over builds, machines and versions.
fn stable(kind: &str, name: &str) -> u64 {
    let digest = Sha256::new().chain_update(kind).chain_update([0]).chain_update(name).finalize();
    digest.first_chunk::<8>().map_or(0, |bytes| u64::from_be_bytes(*bytes))
}

/// A function's id, the same at every gateway.
pub fn function_id(name: &str) -> FunctionId {
    FunctionId(stable("function", name))
}

/// A worker's id, the same at every gateway and kept over restarts of the worker.
pub fn worker_id(name: &str) -> WorkerId {
    WorkerId(stable("worker", name))
}

#[derive(Debug)]
struct Held {
    name: Arc<str>,
    /// Calls open for it, and when it was last asked for (a count of askings).
    open: usize,
    last: u64,
}

/// The names of functions, at most so many; the one unused for longest makes room.
#[derive(Debug)]
pub struct Names {
    hash: fn(&str) -> FunctionId,
    held: HashMap<FunctionId, Held>,
    most: usize,
    clock: u64,
}

impl Names {
    /// Names of functions, `most` at a time.
    pub fn new(most: usize) -> Self {
        Names { hash: function_id, held: HashMap::new(), most: most.max(1), clock: 0 }
    }

    /// Notes one more open call of a function.
    ///
    /// # Errors
    /// When another name has the id, or every name held has open calls.
    pub fn open(&mut self, name: &Arc<str>) -> Result<FunctionId, NameError> {
        let id = (self.hash)(name);
        self.clock += 1;
        let clock = self.clock;
        if let Some(held) = self.held.get_mut(&id) {
            if held.name != *name {
                return Err(NameError::Collision { name: name.to_string(), other: held.name.to_string() });
            }
            held.open += 1;
            held.last = clock;
            return Ok(id);
        }
        if self.held.len() >= self.most {
            self.make_room()?;
        }
        self.held.insert(id, Held { name: name.clone(), open: 1, last: clock });
        Ok(id)
    }

    /// Notes that a call of a function ended.
    pub fn close(&mut self, id: FunctionId) {
        if let Some(held) = self.held.get_mut(&id) {
            held.open = held.open.saturating_sub(1);
        }
    }

    /// The name of a function that was asked for lately.
    pub fn name(&self, id: FunctionId) -> Option<Arc<str>> {
        self.held.get(&id).map(|h| h.name.clone())
    }

    /// Lets an eighth of the names go, those unused for longest, so that making room costs little for each call.
    fn make_room(&mut self) -> Result<(), NameError> {
        let mut idle: Vec<(u64, FunctionId)> =
            self.held.iter().filter(|(_, h)| h.open == 0).map(|(id, h)| (h.last, *id)).collect();
        if idle.is_empty() {
            return Err(NameError::Full);
        }
        idle.sort_unstable();
        for (_, id) in idle.into_iter().take((self.most / 8).max(1)) {
            self.held.remove(&id);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ids_never_change_between_builds() {
        // printf 'function\0fare-quote' | sha256sum
        assert_eq!(function_id("fare-quote").0, 0xe53f_7a30_4fb7_0a85);
        assert_ne!(function_id("a").0, worker_id("a").0);
    }

    #[test]
    fn a_second_name_with_the_same_id_is_refused_and_the_first_goes_on() {
        let mut names = Names::new(8);
        names.hash = |name| FunctionId(name.len() as u64);
        let (first, second) = (Arc::from("one"), Arc::from("two"));
        assert_eq!(names.open(&first), Ok(FunctionId(3)));
        assert!(matches!(names.open(&second), Err(NameError::Collision { .. })));
        assert_eq!(names.open(&first), Ok(FunctionId(3)));
    }

    #[test]
    fn names_in_use_stay_and_others_make_room() {
        let mut names = Names::new(2);
        let [a, b, c]: [Arc<str>; 3] = ["a", "b", "c"].map(Arc::from);
        let first = names.open(&a).unwrap();
        let second = names.open(&b).unwrap();
        assert_eq!(names.open(&c), Err(NameError::Full));
        names.close(second);
        names.open(&c).unwrap();
        assert_eq!((names.name(first), names.name(second)), (Some(a), None));
    }
}
