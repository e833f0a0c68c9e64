//! Ids of calls that may have run although they are no longer open.

use std::collections::HashSet;

/// Number of ids after which the older half of the memory is dropped. At the rate of a busy router they last
/// longer than any call.
const IDS_PER_GENERATION: usize = 16 * 1024;

/// The last ids of calls that were accepted and not refused, between [`IDS_PER_GENERATION`] and twice as many.
#[derive(Debug, Default)]
pub(super) struct RecentIds {
    current: HashSet<u64>,
    previous: HashSet<u64>,
}

impl RecentIds {
    /// Records the id of an accepted call: 16 hex digits.
    pub(super) fn insert(&mut self, id: &str) {
        if self.current.len() >= IDS_PER_GENERATION {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.extend(number(id));
    }

    /// Forgets the id of a call that never ran.
    pub(super) fn remove(&mut self, id: &str) {
        if let Some(number) = number(id) {
            self.current.remove(&number);
            self.previous.remove(&number);
        }
    }

    /// Whether a call with this id may have run.
    pub(super) fn contains(&self, id: &str) -> bool {
        number(id).is_some_and(|number| self.current.contains(&number) || self.previous.contains(&number))
    }
}

/// The number that an id stands for, whatever the case of its digits.
fn number(id: &str) -> Option<u64> {
    u64::from_str_radix(id, 16).ok()
}
