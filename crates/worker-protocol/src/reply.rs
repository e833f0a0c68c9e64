//! Replies of a worker: encoded by the test worker, parsed by the gateway to the balancer's outcomes.

mod encode;
mod parse;

pub use parse::read;

use slatevalve::{Outcome, Report};

/// A reply, as the worker sends it.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The call ran.
    Served {
        /// The result.
        payload: Vec<u8>,
        /// Version or digest that ran.
        ran: Option<String>,
    },
    /// The call ran, or may have, without a result; with an error message.
    Failed(String),
    /// The call was never started for lack of capacity.
    Full,
    /// The call was never started because the function is not loaded.
    Miss,
    /// Reply to a load, count or unload request: the number of loaded replicas.
    Copies(u32),
    /// A load request was rejected for lack of memory.
    NoRoom,
    /// A load failed.
    LoadFailed,
    /// Reply to a health check.
    Ready,
    /// The message was no request of this profile; with an error message.
    BadRequest(String),
}

/// A reply, as the gateway receives it.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedReply {
    /// Outcome in the balancer's terms.
    pub outcome: Outcome,
    /// Result of a call, for [`Outcome::Ok`].
    pub payload: Vec<u8>,
    /// Number of loaded replicas, in replies to load, count and unload requests.
    pub copies: u32,
    /// Calls of the same function that were queued or running at the worker on arrival.
    pub queue_depth: Option<u64>,
    /// Whether the load that the call waited for failed.
    pub load_failed: bool,
    /// Version or digest that ran.
    pub ran: Option<String>,
    /// Load report of the worker.
    pub report: Option<Report>,
}
