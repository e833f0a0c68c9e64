//! Identity and outcome of one attempt of a call, as exchanged with the connection pool.

use slatevalve::{Outcome, Report, RequestId};
use std::sync::Arc;

/// Identifies one attempt of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptRef {
    /// The call.
    pub request: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: usize,
}

/// How an attempt ended, as received over the worker protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// Outcome in the balancer's terms.
    pub outcome: Outcome,
    /// Result of the call, for [`Outcome::Ok`].
    pub payload: Arc<[u8]>,
    /// Version or digest that the worker reported to have run.
    pub ran: Option<Arc<str>>,
    /// In-flight calls of the same function at the worker on arrival.
    pub queue_depth: Option<u64>,
    /// Whether the load that the attempt waited for failed.
    pub load_failed: bool,
    /// Load report of the worker.
    pub report: Option<Report>,
}

impl AttemptEnd {
    /// An end that carries nothing but its outcome.
    #[must_use]
    pub fn without_payload(outcome: Outcome) -> Self {
        AttemptEnd {
            outcome,
            payload: Arc::from([].as_slice()),
            ran: None,
            queue_depth: None,
            load_failed: false,
            report: None,
        }
    }
}
