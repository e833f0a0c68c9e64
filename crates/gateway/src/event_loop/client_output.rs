//! Clients that do not read what is written to them: they get no further turns, and all of them together may
//! keep only a bounded number of bytes waiting.

use slatevalve_reactor::{Id, Reactor};
use std::collections::BTreeSet;

/// Unwritten bytes above which a connection is watched.
const WATCHED_BYTES: usize = 4 * 1024;
/// Unwritten bytes above which the input of a connection is not read.
const SUSPENDED_BYTES: usize = 16 * 1024;

/// Connections whose clients may read too slowly.
#[derive(Debug)]
pub(crate) struct ClientOutput {
    watched: BTreeSet<Id>,
    suspended: BTreeSet<Id>,
    /// Limit of unwritten bytes of all watched connections together.
    max_unwritten: usize,
}

/// What is to be done about slow clients.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct OutputChanges {
    /// Connections whose input is not read for now.
    pub(crate) suspended: Vec<Id>,
    /// Connections whose input is read again.
    pub(crate) resumed: Vec<Id>,
    /// Connections to be closed: all together have too much waiting, and these the most.
    pub(crate) closed: Vec<Id>,
}

impl ClientOutput {
    /// Clients that may have `max_unwritten` bytes waiting, all together.
    pub(crate) fn new(max_unwritten: usize) -> Self {
        ClientOutput { watched: BTreeSet::new(), suspended: BTreeSet::new(), max_unwritten }
    }

    /// Records that bytes were buffered for a connection, which now has `pending` unwritten ones.
    pub(crate) fn buffered(&mut self, connection: Id, pending: usize) {
        if pending > WATCHED_BYTES {
            self.watched.insert(connection);
        }
    }

    /// Removes a connection that has ended.
    pub(crate) fn remove(&mut self, connection: Id) {
        self.watched.remove(&connection);
        self.suspended.remove(&connection);
    }

    /// Compares the watched connections with the limits, after a poll has written what the kernel accepts.
    pub(crate) fn check(&mut self, reactor: &Reactor) -> OutputChanges {
        let mut changes = OutputChanges::default();
        let mut unwritten: Vec<(usize, Id)> =
            self.watched.iter().map(|id| (reactor.pending(*id), *id)).collect();
        for (pending, id) in &unwritten {
            if *pending > SUSPENDED_BYTES {
                changes.suspended.extend(self.suspended.insert(*id).then_some(*id));
            } else if self.suspended.remove(id) {
                changes.resumed.push(*id);
            }
            if *pending <= WATCHED_BYTES {
                self.watched.remove(id);
            }
        }
        let mut total: usize = unwritten.iter().map(|(pending, _)| pending).sum();
        unwritten.sort_unstable();
        while total > self.max_unwritten {
            let Some((pending, id)) = unwritten.pop() else { break };
            total -= pending;
            changes.closed.push(id);
        }
        changes
    }
}

#[cfg(test)]
mod tests;
