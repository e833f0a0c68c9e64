//! Limits of the requests to a registry.

/// Timeouts, retry limits and allowed redirect targets of a job, set by the operator. Times are in
/// microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// An attempt fails when its connection is not established, or no bytes arrive, for this long.
    pub stall_timeout_us: i64,
    /// Backoff after the first failed attempt; it doubles with each further one.
    pub initial_backoff_us: i64,
    /// Upper limit of the backoff, also where the registry requests a longer one by `Retry-After`.
    pub max_backoff_us: i64,
    /// Consecutive attempts without progress before the job fails.
    pub max_attempts: u32,
    /// Timeout of the whole job, from its creation.
    pub job_timeout_us: i64,
    /// Limit of the redirects that are followed for one request.
    pub max_redirects: u32,
    /// `HOST:PORT` of addresses that redirects and challenges may point to, besides the registry's own.
    pub hosts: Vec<String>,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            stall_timeout_us: 10_000_000,
            initial_backoff_us: 200_000,
            max_backoff_us: 10_000_000,
            max_attempts: 6,
            job_timeout_us: 600_000_000,
            max_redirects: 5,
            hosts: Vec::new(),
        }
    }
}
