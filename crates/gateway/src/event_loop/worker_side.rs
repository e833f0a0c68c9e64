//! The worker side of an event loop: reactor events of worker connections go to the pool, and the requests that complete
//! go to the engine.

use crate::server::pool::{Pool, RequestEnd};
use slatevalve::{Micros, WorkerId};
use slatevalve_engine::{Engine, Output};
use slatevalve_reactor::{Id, Reactor};

/// The parts of a loop that take part in a worker's request, borrowed for one step.
pub(crate) struct WorkerSide<'a> {
    pub(crate) pool: &'a mut Pool,
    pub(crate) reactor: &'a mut Reactor,
    pub(crate) engine: &'a mut Engine,
    /// Names of the classes, in the order of their ids.
    pub(crate) classes: &'a [String],
    /// Receives the engine's outputs, which the loop executes later.
    pub(crate) outputs: &'a mut Vec<Output>,
}

impl WorkerSide<'_> {
    /// A connection to a worker is established.
    pub(crate) fn connected(&mut self, now: Micros, connection: Id) {
        self.pool.connected(now, self.reactor, connection);
    }

    /// Bytes came from a worker.
    pub(crate) fn received(&mut self, now: Micros, connection: Id, bytes: &[u8]) {
        let ends = self.pool.received(now, self.reactor, connection, bytes);
        self.report(now, ends);
    }

    /// A connection to a worker closed after `written` bytes; `connected` tells whether it was ever established.
    pub(crate) fn closed(&mut self, now: Micros, connection: Id, connected: bool, written: u64) {
        let ends = self.pool.closed(now, connection, connected, written);
        self.report(now, ends);
    }

    /// Fires the pool's timers.
    pub(crate) fn advance(&mut self, now: Micros) {
        let ends = self.pool.advance(now, self.reactor);
        self.report(now, ends);
    }

    /// Cancels the unsent requests to workers that take no new ones. The engine has to know of these workers' state first:
    /// it decides about the cancelled requests anew.
    pub(crate) fn cancel_unsent(&mut self, now: Micros, workers: impl IntoIterator<Item = WorkerId>) {
        for worker in workers {
            let ends = self.pool.cancel_unsent(now, self.reactor, worker);
            self.report(now, ends);
        }
    }

    /// Cancels all unsent requests. The engine has to know first why they may not be sent.
    pub(crate) fn cancel_all_unsent(&mut self, now: Micros) {
        let ends = self.pool.cancel_all_unsent(now, self.reactor);
        self.report(now, ends);
    }

    /// Executes an output that concerns workers; returns any other.
    #[must_use]
    pub(crate) fn execute(&mut self, now: Micros, output: Output) -> Option<Output> {
        self.pool.execute(now, self.reactor, self.engine, output, self.classes, self.outputs)
    }

    /// Passes completed requests to the engine, in order.
    pub(crate) fn report(&mut self, now: Micros, ends: impl IntoIterator<Item = RequestEnd>) {
        for end in ends {
            self.pool.report_completion(now, end, self.engine, self.outputs);
        }
    }
}
