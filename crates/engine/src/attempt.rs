//! Identity and outcome of one attempt of a call, as exchanged with the connection pool.

use slatevalve::{Micros, Outcome, ProcessInfo, Report, RequestId};
use std::sync::Arc;

/// Identifies one attempt of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptRef {
    /// Id of the call in the balancer.
    pub request: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: usize,
}

/// How an attempt ended, as reported by the connection pool.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// Outcome in the balancer's terms.
    pub outcome: Outcome,
    /// Result of the call, for [`Outcome::Ok`].
    pub payload: Arc<[u8]>,
    /// Version or digest that ran; `None` if the worker did not report it.
    pub ran: Option<Arc<str>>,
    /// Calls of the same function that were queued or running at the worker on arrival; `None` if not
    /// reported.
    pub queue_depth: Option<u64>,
    /// Whether the load that the attempt waited for failed.
    pub load_failed: bool,
    /// Load report that came with the reply.
    pub report: Option<Report>,
    /// The process that the attempt was sent to; `None` if nothing is known of it.
    pub process: Option<ProcessInfo>,
}

/// How a health check ended, as reported by the connection pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProbeEnd {
    /// Outcome in the balancer's terms.
    pub outcome: Outcome,
    /// Time from the health check to its end.
    pub latency: Micros,
    /// Load report that came with the reply.
    pub report: Option<Report>,
    /// The process that replied; `None` if nothing is known of it.
    pub process: Option<ProcessInfo>,
}

impl AttemptEnd {
    /// Creates an end with an outcome and no other information.
    #[must_use]
    pub fn without_payload(outcome: Outcome) -> Self {
        AttemptEnd {
            outcome,
            payload: Arc::from([].as_slice()),
            ran: None,
            queue_depth: None,
            load_failed: false,
            report: None,
            process: None,
        }
    }
}
