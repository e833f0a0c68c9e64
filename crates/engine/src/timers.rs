//! Timers as a heap. Nothing is ever taken out early: who set a timer sees when it is stale, and a stale one costs
//! one pop. Called by the engine and the fronts.

use slatevalve::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What is due at a time; of equal times the one set first.
#[derive(Debug)]
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<Due<T>>>,
    next: u64,
}

#[derive(Debug)]
struct Due<T> {
    at: Micros,
    order: u64,
    what: T,
}

impl<T> PartialEq for Due<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl<T> Eq for Due<T> {}

impl<T> PartialOrd for Due<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Due<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers { heap: BinaryHeap::new(), next: 0 }
    }
}

impl<T> Timers<T> {
    /// Sets a timer.
    pub fn set(&mut self, at: Micros, what: T) {
        self.heap.push(Reverse(Due { at, order: self.next, what }));
        self.next += 1;
    }

    /// When the next one is due.
    pub fn next(&self) -> Option<Micros> {
        self.heap.peek().map(|d| d.0.at)
    }

    /// The next one that is due by `now`.
    pub fn pop(&mut self, now: Micros) -> Option<T> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|d| d.0.what)
    }

    /// How many are set, stale ones too.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether none is set.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}
