//! Worker side of an event loop: passes reactor events of worker connections to the pool, and completed
//! requests to the engine.

use crate::server::pool::{Pool, RequestEnd};
use slatevalve::{Micros, WorkerId};
use slatevalve_engine::{Engine, Output};
use slatevalve_reactor::{Id, Reactor};

/// The components of a loop that handle requests to workers, borrowed for one step.
pub(crate) struct WorkerSide<'a> {
    pub(crate) pool: &'a mut Pool,
    pub(crate) reactor: &'a mut Reactor,
    pub(crate) engine: &'a mut Engine,
    /// Names of the classes, in the order of their ids.
    pub(crate) classes: &'a [String],
    /// Collects the engine's outputs, which the loop executes later.
    pub(crate) outputs: &'a mut Vec<Output>,
}

impl WorkerSide<'_> {
    /// Handles an established connection to a worker.
    pub(crate) fn connected(&mut self, now: Micros, connection: Id) {
        self.pool.connected(now, self.reactor, connection);
    }

    /// Handles bytes received from a worker.
    pub(crate) fn received(&mut self, now: Micros, connection: Id, bytes: &[u8]) {
        let ends = self.pool.received(now, self.reactor, connection, bytes);
        self.report(now, ends);
    }

    /// Handles a closed connection to a worker. `written` is the number of bytes that the kernel accepted on
    /// it, `connected` whether it was ever established.
    pub(crate) fn closed(&mut self, now: Micros, connection: Id, connected: bool, written: u64) {
        let ends = self.pool.closed(now, connection, connected, written);
        self.report(now, ends);
    }

    /// Runs the pool's expired timers.
    pub(crate) fn advance(&mut self, now: Micros) {
        let ends = self.pool.advance(now, self.reactor);
        self.report(now, ends);
    }

    /// Cancels the unsent requests to workers that accept no new ones. The engine must be informed of the
    /// workers' state before, because it reassigns the cancelled requests.
    pub(crate) fn cancel_unsent(&mut self, now: Micros, workers: impl IntoIterator<Item = WorkerId>) {
        for worker in workers {
            let ends = self.pool.cancel_unsent(now, self.reactor, worker);
            self.report(now, ends);
        }
    }

    /// Cancels all unsent requests. The engine must be informed of the reason before, because it reassigns
    /// them.
    pub(crate) fn cancel_all_unsent(&mut self, now: Micros) {
        let ends = self.pool.cancel_all_unsent(now, self.reactor);
        self.report(now, ends);
    }

    /// Executes an output that concerns workers; returns any other output.
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
