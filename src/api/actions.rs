//! Actions: the outputs of the balancer.

use super::ids::{FunctionId, Micros, RequestId, WorkerId};

/// Output of the balancer, to be executed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a worker: the next attempt.
    Send {
        /// Which request.
        id: RequestId,
        /// Which worker.
        worker: WorkerId,
        /// Timeout of the attempt; `None` means the client's deadline.
        timeout: Option<Micros>,
    },
    /// Refuse a request; repeating it is safe.
    Refuse {
        /// Which request.
        id: RequestId,
        /// Suggested time before a retry.
        retry_after: Option<Micros>,
    },
    /// Fail a request; it may or may not have run.
    Fail {
        /// Which request.
        id: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// Which request.
        id: RequestId,
        /// Which attempt.
        attempt: usize,
    },
    /// Load copies of a function.
    Load {
        /// Which worker.
        worker: WorkerId,
        /// Which function.
        function: FunctionId,
        /// How many.
        copies: u32,
    },
    /// Unload the idle copies of a function.
    Drop {
        /// Which worker.
        worker: WorkerId,
        /// Which function.
        function: FunctionId,
    },
    /// Probe a worker.
    Probe {
        /// Which worker.
        worker: WorkerId,
    },
    /// Subscribe to the worker list.
    Subscribe,
    /// Start a timer that ends in [`Event::Wake`](super::Event::Wake).
    Wake {
        /// Expiry time.
        at: Micros,
        /// A token returned with the event.
        token: u64,
    },
}
