//! Pool of connections to the workers, independent of the worker protocol.
//!
//! The pool determines for each failed request whether it may have run: if the connection failed before the
//! kernel accepted enough bytes for a worker to run the request, it ends as not sent, otherwise as possibly
//! run. A request can be cancelled without effect on the worker as long as none of its bytes has been written
//! ([`Pool::cancel_unsent`]). Each request gets its own connection while the limits allow, so that a
//! malformed reply or a reset affects no other request; beyond the limits, requests of the same kind share
//! connections.
//!
//! A worker's address may be taken over by another process. Connections tell the two apart: an established one
//! leads to the same process until it ends. So each end of a request carries since when the process has been
//! running at the latest, and a request can be limited to processes that run since a given time.
//!
//! The event loops pass reactor events in and receive [`RequestEnd`]s. Bounds:
//! [`PoolSettings::max_connections`] connections, [`WorkerProtocol::max_streams`] requests on each, one peer
//! for each worker that is listed or has a connection.
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
use slatevalve::{FunctionId, Micros, ProcessInfo, WorkerId};
use slatevalve_engine::{AttemptRef, Timers};
use slatevalve_reactor::Id;
use slatevalve_worker_protocol::reply::ParsedReply;
use slatevalve_worker_protocol::WorkerProtocol;
use std::collections::{BTreeMap, HashMap};
use timers::Timer;

/// Purpose of a request to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Purpose {
    /// An attempt of a call.
    Attempt(AttemptRef),
    /// A health check.
    Probe,
    /// A request to load or count the replicas of a function.
    Load(FunctionId),
    /// A request to unload a function; its completion is not reported to the engine.
    Unload,
}

impl Purpose {
    /// Whether two requests may share a connection when no further one can be opened: only requests of the
    /// same kind may.
    fn can_share_with(self, other: Purpose) -> bool {
        std::mem::discriminant(&self) == std::mem::discriminant(&other)
    }
}

/// A completed request.
#[derive(Debug)]
pub(crate) struct RequestEnd {
    pub worker: WorkerId,
    pub purpose: Purpose,
    /// Time from submission to completion.
    pub latency: Micros,
    /// The process that the request was sent to; `None` if no connection to it was established.
    pub process: Option<ProcessInfo>,
    /// The worker's reply; only an outcome without payload if the request ended without a reply.
    pub reply: ParsedReply,
}

/// All connections to workers.
pub(crate) struct Pool {
    settings: PoolSettings,
    protocol: Box<dyn WorkerProtocol>,
    /// Timeout of [`Purpose::Load`] requests.
    load_timeout: Micros,
    /// Versions of the settings documents in effect; attempts carry them to the worker.
    document_versions: Vec<u64>,
    /// Prefix of the request ids of calls whose client gave none.
    request_id_prefix: String,
    peers: BTreeMap<WorkerId, Peer>,
    connections: HashMap<Id, Connection>,
    /// Location of each attempt that is queued or in flight.
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
            request_id_prefix: String::new(),
            peers: BTreeMap::new(),
            connections: HashMap::new(),
            attempts: HashMap::new(),
            timers: Timers::default(),
        }
    }

    /// Sets the versions of the settings documents that subsequent attempts carry.
    pub(crate) fn set_document_versions(&mut self, documents: &[u64]) {
        self.document_versions = documents.to_vec();
    }

    /// Sets the prefix of the request ids of calls whose client gave none. It must differ between processes:
    /// each of them numbers its calls from 1.
    pub(crate) fn set_request_id_prefix(&mut self, prefix: String) {
        self.request_id_prefix = prefix;
    }

    /// Numbers of workers, connections, attempts and timers, for tests of the bounds.
    pub(crate) fn sizes(&self) -> [usize; 4] {
        [self.peers.len(), self.connections.len(), self.attempts.len(), self.timers.len()]
    }
}
