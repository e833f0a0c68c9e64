//! A timer queue as a binary heap. Timers cannot be cancelled: the owner ignores a stale timer when it fires,
//! at the cost of one `pop`. Used by the engine, the connection pool and the front ends.

use slatevalve::Micros;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Timers ordered by due time; timers with equal due times fire in the order in which they were set.
#[derive(Debug)]
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<Entry<T>>>,
    next_sequence: u64,
}

#[derive(Debug)]
struct Entry<T> {
    due: Micros,
    /// Position in the order of insertion, which breaks ties.
    sequence: u64,
    timer: T,
}

impl<T> Entry<T> {
    fn rank(&self) -> (Micros, u64) {
        (self.due, self.sequence)
    }
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.rank() == other.rank()
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.rank().cmp(&other.rank())
    }
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers { heap: BinaryHeap::new(), next_sequence: 0 }
    }
}

impl<T> Timers<T> {
    /// Sets a timer that is due at `due`.
    pub fn set(&mut self, due: Micros, timer: T) {
        self.heap.push(Reverse(Entry { due, sequence: self.next_sequence, timer }));
        self.next_sequence += 1;
    }

    /// Due time of the next timer; `None` if no timer is set.
    #[must_use]
    pub fn next(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse(entry)| entry.due)
    }

    /// Removes and returns the next timer that is due at `now` or before.
    pub fn pop(&mut self, now: Micros) -> Option<T> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse(entry)| entry.timer)
    }

    /// Number of pending timers, including stale ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether no timer is pending.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}
