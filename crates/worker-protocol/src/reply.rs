//! Replies of a worker: encoded by the test worker, parsed by the gateway into outcomes of the balancer.

mod encode;
mod parse;

pub use parse::read;

use slatevalve::{Outcome, Report};

/// A reply, as the worker sends it.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The call ran.
    Served {
        /// Result of the call, opaque to the protocol.
        payload: Vec<u8>,
        /// Version or digest that ran; `None` if it is not reported.
        ran: Option<String>,
    },
    /// The call ran, or may have run, without a result. Contains an error message.
    Failed(String),
    /// The call was never started because the worker lacks capacity or time.
    Full,
    /// The call was never started because the function is not loaded.
    Miss,
    /// Reply to a load, count or unload request: number of loaded replicas of the function.
    Copies(u32),
    /// A load request was rejected because the worker lacks memory.
    NoRoom,
    /// A load failed.
    LoadFailed,
    /// Reply to a health check of a worker that is ready.
    Ready,
    /// The message was not a request of this profile. Contains an error message.
    BadRequest(String),
}

/// A reply, as the gateway receives it.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedReply {
    /// Outcome in the balancer's terms.
    pub outcome: Outcome,
    /// Result of a call, for [`Outcome::Ok`].
    pub payload: Vec<u8>,
    /// Number of loaded replicas, in replies to load, count and unload requests; 0 if not reported.
    pub copies: u32,
    /// Calls of the same function that were queued or running at the worker on arrival; `None` if not
    /// reported.
    pub queue_depth: Option<u64>,
    /// Whether the load that the call waited for failed.
    pub load_failed: bool,
    /// Version or digest that ran; `None` if not reported.
    pub ran: Option<String>,
    /// Load report of the worker; `None` if it is absent or malformed.
    pub report: Option<Report>,
}
