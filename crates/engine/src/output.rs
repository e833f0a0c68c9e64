//! Commands of the engine to the event loop, the connection pool and the front ends.

use crate::answer::Answer;
use crate::attempt::AttemptRef;
use crate::call::{RunBody, Ticket};
use crate::version::Version;
use slatevalve::{FunctionId, Micros, WorkerId};
use std::sync::Arc;

/// A command for the event loop, the connection pool or a front end.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send an attempt. It must be followed by exactly one [`crate::Engine::attempt_completed`].
    Send {
        /// The attempt.
        attempt: AttemptRef,
        /// The worker to send it to.
        worker: WorkerId,
        /// The request's content.
        body: Arc<RunBody>,
        /// Time until the deadline of the call.
        time_remaining: Micros,
    },
    /// Cancel an attempt. It ends as cancelled, or as not sent if no byte of it was written.
    Cancel(AttemptRef),
    /// The call has its final answer: cancel the attempt if no byte of it was written, so that it ends as not sent. An
    /// attempt that was partly written runs on. Unlike [`Output::Cancel`] it needs no permission by the settings.
    CancelUnsent(AttemptRef),
    /// The deadline of the call passed. The attempt ends as timed out, or as not sent if no byte of it was written.
    Expire(AttemptRef),
    /// Load replicas of a function. It must be followed by one [`crate::Engine::load_completed`]. With 0 copies
    /// the worker only reports how many are loaded.
    Load {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// Name of the function.
        name: Arc<str>,
        /// Number of replicas that are to be loaded in total.
        copies: u32,
    },
    /// Unload the idle replicas of a function. No result is reported back.
    Unload {
        /// The worker.
        worker: WorkerId,
        /// Name of the function.
        name: Arc<str>,
    },
    /// Send a health check. It must be followed by one [`crate::Engine::probe_completed`].
    Probe(WorkerId),
    /// Subscribe to the worker list and its changes.
    Subscribe,
    /// A worker ran another version than the call's, or reported none. Its result was discarded.
    VersionMismatch {
        /// The worker.
        worker: WorkerId,
        /// The version that was to run.
        version: Version,
        /// What the worker reported to have run.
        ran: Option<Arc<str>>,
    },
    /// Deliver the final answer to a ticket.
    Answer(Ticket, Answer),
    /// The same client repeated the call: this ticket gets no answer, the one of the repeat does.
    Superseded(Ticket),
}
