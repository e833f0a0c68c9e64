//! Timeouts, retries and redirects of requests to a registry.

/// Timeouts, retry limits and allowed redirect targets of a job. Times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// An attempt fails when its connection is not established, or brings no bytes, for this long.
    pub stall_timeout_us: i64,
    /// Backoff after the first failed attempt; it doubles with each further one.
    pub initial_backoff_us: i64,
    /// Upper limit of the backoff, also of one that the registry requests by `Retry-After`.
    pub max_backoff_us: i64,
    /// Consecutive attempts without progress before the job fails.
    pub max_attempts: u32,
    /// Time for the whole job.
    pub job_timeout_us: i64,
    /// Redirects followed for one request.
    pub max_redirects: u32,
    /// `HOST:PORT` of further allowed targets of redirects; the registry's own address is always allowed.
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
