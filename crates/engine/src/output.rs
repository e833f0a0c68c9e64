//! Commands from the engine to the event loop, the connection pool and the front ends.

use crate::answer::Answer;
use crate::attempt::AttemptRef;
use crate::call::{RunBody, Ticket};
use crate::version::Version;
use slatevalve::{FunctionId, Micros, ProcessLimits, WorkerId};
use std::sync::Arc;

/// Conditions under which a request may be sent to a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendLimits {
    /// The processes that it may reach.
    pub process: ProcessLimits,
    /// If set, its first byte must be written before this time.
    pub send_before: Option<Micros>,
}

/// A command for the event loop, the connection pool or a front end.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send an attempt. It must be followed by exactly one [`crate::Engine::attempt_completed`].
    Send {
        /// Identifies the attempt in [`crate::Engine::attempt_completed`].
        attempt: AttemptRef,
        /// Recipient of the request.
        worker: WorkerId,
        /// Conditions under which the attempt may be sent; otherwise it ends as not sent.
        limits: SendLimits,
        /// Content of the request, shared by all attempts of the call.
        body: Arc<RunBody>,
        /// Time until the deadline of the call, at the time of this output.
        time_remaining: Micros,
    },
    /// Cancel an attempt. It ends as cancelled, or as not sent if no byte of its request was written.
    Cancel(AttemptRef),
    /// The call has its final answer: cancel the attempt if no byte of its request was written, so that it
    /// ends as not sent. A partly written attempt continues. Unlike [`Output::Cancel`], this is used even if
    /// the settings do not allow cancellation.
    CancelUnsent(AttemptRef),
    /// The deadline of the call passed. The attempt ends as timed out, or as not sent if no byte of its
    /// request was written.
    Expire(AttemptRef),
    /// Load replicas of a function. It must be followed by one [`crate::Engine::load_completed`]. If `copies`
    /// is 0, the worker only reports how many replicas are loaded.
    Load {
        /// Worker that loads the replicas.
        worker: WorkerId,
        /// Id of the function, to be passed to [`crate::Engine::load_completed`].
        function: FunctionId,
        /// Name of the function, as workers know it.
        name: Arc<str>,
        /// Target number of loaded replicas, including those already loaded.
        copies: u32,
    },
    /// Unload the idle replicas of a function. The result is not reported to the engine.
    Unload {
        /// Worker that holds the replicas.
        worker: WorkerId,
        /// Name of the function, as workers know it.
        name: Arc<str>,
    },
    /// Send a health check. It must be followed by one [`crate::Engine::probe_completed`].
    Probe(WorkerId),
    /// Subscribe to the worker list and its changes.
    Subscribe,
    /// A worker ran another version than the call's, or reported none. Its result was discarded.
    VersionMismatch {
        /// Worker that returned the result.
        worker: WorkerId,
        /// Version for which the call was accepted.
        version: Version,
        /// Version or digest that the worker reported; `None` if it reported none.
        ran: Option<Arc<str>>,
    },
    /// Deliver the final answer to a ticket.
    Answer(Ticket, Answer),
    /// The same client repeated the call: this ticket gets no answer, the ticket of the repeat gets it.
    Superseded(Ticket),
}
