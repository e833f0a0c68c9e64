//! Connection pool to the workers, independent of the protocol they speak.
//!
//! The pool decides for each request whether it may have run: an attempt whose connection failed before the kernel
//! accepted enough bytes for a worker to run it ends as not sent, any later failure as one that may have run. A request
//! of which no byte has been written can be cancelled without a trace ([`Pool::cancel_unsent`]). Each request gets a
//! connection of its own while the limits allow one, so that a malformed reply or a reset affects no other request;
//! beyond the limits, requests of the same kind share connections.
//!
//! The event loops pass reactor events in and receive [`RequestEnd`]s. Bounds: `PoolSettings::total` connections,
//! `WorkerProtocol::max_streams` requests on each, one peer for each worker that is listed or has a connection.
//!
//! | module | concern |
//! | --- | --- |
//! | `peers` | workers, their addresses and connections |
//! | `connections` | choosing, opening, reusing and closing connections |
//! | `requests` | queueing, completing and cancelling requests |
//! | `timers` | connect, idle and request timeouts |
//! | `outputs` | execution of the engine's outputs |

mod connections;
mod outputs;
mod peers;
mod requests;
#[cfg(test)]
mod tests;
mod timers;

use crate::settings::PoolSettings;
use connections::Connection;
use peers::Peer;
use requests::RequestKey;
use slatevalve::{FunctionId, Micros, WorkerId};
use slatevalve_engine::{AttemptRef, Timers};
use slatevalve_reactor::Id;
use slatevalve_worker_protocol::reply::ParsedReply;
use slatevalve_worker_protocol::WorkerProtocol;
use std::collections::{BTreeMap, HashMap};
use timers::Timer;

/// What a request to a worker is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Purpose {
    /// An attempt of a call.
    Attempt(AttemptRef),
    /// A health check.
    Probe,
    /// A request to load replicas of a function, or to count them.
    Load(FunctionId),
    /// A request to unload a function; its completion is not reported to the engine.
    Unload,
}

impl Purpose {
    /// Whether two requests may share a connection when no further connection can be opened: those of one kind may.
    fn can_share_with(self, other: Purpose) -> bool {
        std::mem::discriminant(&self) == std::mem::discriminant(&other)
    }
}

/// A completed request.
#[derive(Debug)]
pub(crate) struct RequestEnd {
    /// The worker it was submitted for.
    pub worker: WorkerId,
    /// What it was for.
    pub purpose: Purpose,
    /// Time since it was submitted.
    pub latency: Micros,
    /// The worker's reply; without payload where the request ended for another reason.
    pub reply: ParsedReply,
}

/// All connections to workers.
pub(crate) struct Pool {
    settings: PoolSettings,
    protocol: Box<dyn WorkerProtocol>,
    /// Timeout of requests to load replicas.
    load_timeout: Micros,
    /// Versions of the settings documents that attempts are sent under.
    document_versions: Vec<u64>,
    peers: BTreeMap<WorkerId, Peer>,
    connections: HashMap<Id, Connection>,
    /// Where each attempt in flight or queued is.
    attempts: HashMap<AttemptRef, RequestKey>,
    timers: Timers<Timer>,
}

impl Pool {
    /// Creates a pool without workers.
    pub(crate) fn new(
        settings: PoolSettings,
        protocol: Box<dyn WorkerProtocol>,
        load_timeout: Micros,
    ) -> Self {
        Pool {
            settings,
            protocol,
            load_timeout,
            document_versions: Vec::new(),
            peers: BTreeMap::new(),
            connections: HashMap::new(),
            attempts: HashMap::new(),
            timers: Timers::default(),
        }
    }

    /// Sets the versions of the settings documents that attempts are sent under and carry from now on.
    pub(crate) fn set_document_versions(&mut self, documents: &[u64]) {
        self.document_versions = documents.to_vec();
    }

    /// Numbers of workers, connections, attempts and timers, for tests of the bounds.
    pub(crate) fn sizes(&self) -> [usize; 4] {
        [self.peers.len(), self.connections.len(), self.attempts.len(), self.timers.len()]
    }
}
