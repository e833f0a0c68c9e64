//! The plan of the test registry, passed to it as JSON. `serde` keeps the names of that JSON.

use crate::listen::ANY_PORT;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The kinds of faults.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KvFaultKind {
    /// All connections are closed, and new ones are closed at once.
    Break,
    /// Connections and requests are accepted and get no response; watches get no events.
    Stall,
    /// Each response of a watch is sent twice.
    Duplicate,
    /// Responses of watches are fragmented, and each line is sent in two chunks.
    Split,
    /// Watches lose events without notice.
    Lose,
    /// Once: the history is compacted up to the current revision.
    Compact,
    /// Once: the store returns to an earlier revision, by this many, as another cluster.
    Restore(i64),
    /// Once: the store returns to an earlier revision, by this many, as the same cluster.
    GoBack(i64),
    /// Once: all tokens become invalid.
    ForgetTokens,
    /// Once: every second lease expires.
    ExpireHalf,
}

/// A fault with its time, in microseconds of the Unix clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvFault {
    /// Its start.
    pub from_us: i64,
    /// Its end, exclusive. Faults that occur once occur at their start.
    pub to_us: i64,
    /// The fault.
    pub kind: KvFaultKind,
}

/// The plan of a registry.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct KvPlan {
    /// The listening address; with port 0 the kernel chooses one.
    pub listen: SocketAddr,
    /// Name and password; none for a registry without authentication.
    pub login: Option<(String, String)>,
    /// The age at which history is compacted, in microseconds; 0 for never.
    pub compact_after_us: i64,
    /// Its faults.
    pub faults: Vec<KvFault>,
    /// Keys and values that it holds from the start.
    pub keys: Vec<(String, String)>,
    /// Its limits of load; none for a registry without limits.
    pub capacity: Option<Capacity>,
}

impl Default for KvPlan {
    fn default() -> Self {
        KvPlan {
            listen: ANY_PORT,
            login: None,
            compact_after_us: 0,
            faults: Vec::new(),
            keys: Vec::new(),
            capacity: None,
        }
    }
}

/// The limits of load of a registry with one core. Requests whose client has given up still use its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Capacity {
    /// Unary requests and starts of watches per second.
    #[serde(rename = "requests_per_s")]
    pub requests_per_second: f64,
    /// Written bytes per second; 0 for no limit.
    #[serde(rename = "bytes_per_s")]
    pub bytes_per_second: f64,
    /// Requests that may wait.
    pub queue: usize,
    /// Whether requests beyond the queue get no response instead of a refusal.
    #[serde(rename = "silent")]
    pub drops_overflow: bool,
    /// `Retry-After` of refusals, in seconds.
    pub retry_after_s: u32,
    /// Connections at most; 0 for no limit.
    pub connections: usize,
}

impl Default for Capacity {
    fn default() -> Self {
        Capacity {
            requests_per_second: 1_000.0,
            bytes_per_second: 0.0,
            queue: 100,
            drops_overflow: false,
            retry_after_s: 1,
            connections: 0,
        }
    }
}
