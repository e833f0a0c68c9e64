//! A request as the balancer receives it.

use super::ids::{ClassId, FunctionId, Micros, RequestId, TenantId};

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifier.
    pub id: RequestId,
    /// Time left until the client's deadline.
    pub budget: Micros,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if any.
    pub tenant: Option<TenantId>,
    /// The function it calls.
    pub function: FunctionId,
    /// Concurrent calls per loaded copy.
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
