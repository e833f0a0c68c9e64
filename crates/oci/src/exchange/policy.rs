//! Timeouts, retries and redirects of requests to a registry.

/// Timeouts, retry limits and allowed redirect targets of a job. Times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// An attempt fails when its connection is not established, or brings no bytes, for this long.
    pub stall_us: i64,
    /// Backoff after the first failed attempt; it doubles with each further one.
    pub first_wait_us: i64,
    /// Upper limit of the backoff, also of one that the registry requests by `Retry-After`.
    pub longest_wait_us: i64,
    /// Consecutive attempts without progress before the job fails.
    pub tries: u32,
    /// Time for the whole job.
    pub within_us: i64,
    /// Redirects followed for one request.
    pub redirects: u32,
    /// `HOST:PORT` of further allowed targets of redirects; the registry's own address is always allowed.
    pub hosts: Vec<String>,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            stall_us: 10_000_000,
            first_wait_us: 200_000,
            longest_wait_us: 10_000_000,
            tries: 6,
            within_us: 600_000_000,
            redirects: 5,
            hosts: Vec::new(),
        }
    }
}
