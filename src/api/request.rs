//! A request as the balancer receives it.

use super::ids::{ClassId, FunctionId, Micros, RequestId, TenantId};

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Must differ from the ids of all open requests; a request with the id of an open one is ignored.
    pub id: RequestId,
    /// Time left until the client's deadline.
    pub budget: Micros,
    /// Determines its latency objective, priority and idempotency.
    pub class: ClassId,
    /// The tenant whose quota it counts against; `None` if it counts against no quota.
    pub tenant: Option<TenantId>,
    /// The function to run, which must be loaded at the worker.
    pub function: FunctionId,
    /// Calls that one loaded copy of the function runs at a time; 0 counts as 1.
    pub concurrency: usize,
    /// Expected CPU time on a standard core, if the client gave a hint.
    pub work: Option<Micros>,
    /// Usual load time of the function, if known.
    pub load_time: Option<Micros>,
    /// Memory of a loaded copy, in MB.
    pub memory_mb: f64,
    /// Whether the client marked the request as a retry.
    pub retry: bool,
}

impl Default for Request {
    fn default() -> Self {
        Request {
            id: RequestId(0),
            budget: Micros(1_000_000),
            class: ClassId(0),
            tenant: None,
            function: FunctionId(0),
            concurrency: 1,
            work: None,
            load_time: None,
            memory_mb: 0.0,
            retry: false,
        }
    }
}
