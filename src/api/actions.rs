//! Actions: the outputs of the balancer.

use super::ids::{FunctionId, Micros, RequestId, WorkerId};

/// Limits of the processes at a worker's address that an attempt may reach.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessLimits {
    /// If set, only a process that is known to run since this time at the latest.
    pub since: Option<Micros>,
    /// If set, only a process that cannot have replaced another one since this time.
    pub unreplaced_since: Option<Micros>,
}

/// Output of the balancer, to be executed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a worker: the next attempt.
    Send {
        /// An open request; the attempt's index is the number of earlier `Send` actions for it.
        id: RequestId,
        /// A worker of the current list.
        worker: WorkerId,
        /// Limit of the attempt's duration; `None` leaves the client's deadline as the only limit.
        timeout: Option<Micros>,
        /// The processes that the attempt may reach; otherwise it ends as
        /// [`Outcome::NotSent`](super::Outcome::NotSent).
        process: ProcessLimits,
        /// If set, the attempt must begin to leave the router before this time; otherwise it ends as
        /// [`Outcome::NotSent`](super::Outcome::NotSent).
        send_before: Option<Micros>,
    },
    /// Refuse a request; repeating it is safe.
    Refuse {
        /// An open request, closed by this action.
        id: RequestId,
        /// Suggested time before a retry; `None` where the balancer suggests none.
        retry_after: Option<Micros>,
    },
    /// Fail a request that may have run, so that the client cannot repeat it safely.
    Fail {
        /// An open request, closed by this action.
        id: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// Index of the attempt in the order of the request's sends, from 0.
        attempt: usize,
    },
    /// Load a function until a worker holds the given number of copies. At most one load request for a worker
    /// and function is in flight at a time; it ends with
    /// [`Event::LoadCompleted`](super::Event::LoadCompleted).
    Load {
        /// A worker that accepts work.
        worker: WorkerId,
        /// The function to load.
        function: FunctionId,
        /// Total number of copies to be loaded there, at least 1.
        copies: u32,
    },
    /// Unload the idle copies of a function.
    Drop {
        /// The worker that holds the copies.
        worker: WorkerId,
        /// The function to unload.
        function: FunctionId,
    },
    /// Send a health check to a worker; it ends with [`Event::ProbeCompleted`](super::Event::ProbeCompleted).
    Probe {
        /// A worker without another probe in flight.
        worker: WorkerId,
    },
    /// Subscribe to the worker list.
    Subscribe,
    /// Start a timer that ends in [`Event::Wake`](super::Event::Wake).
    Wake {
        /// Expiry time on the router's clock.
        at: Micros,
        /// Opaque value that the event returns: 0 for the periodic tick, otherwise a waiting request.
        token: u64,
    },
}
