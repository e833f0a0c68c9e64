//! The plan of the test registry, passed to it as JSON; `serde` attributes keep the JSON names.

use crate::listen::ANY_PORT;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The effect of a registry fault.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KvFaultKind {
    /// All connections are closed, and new ones are closed at once.
    Break,
    /// Connections are accepted, but requests get no response and watches get no events.
    Stall,
    /// Each event response of a watch is sent twice.
    Duplicate,
    /// Watch responses have one event per fragment, and each line is sent in two chunks.
    Split,
    /// Watches lose events without notice.
    Lose,
    /// Once: the history is compacted up to the current revision.
    Compact,
    /// Once: the store goes back by this many revisions and takes another cluster ID, as after the restore of
    /// a backup.
    Restore(i64),
    /// Once: the store goes back by this many revisions and keeps its cluster ID.
    GoBack(i64),
    /// Once: all authentication tokens become invalid.
    ForgetTokens,
    /// Once: every second lease expires.
    ExpireHalf,
}

/// A fault and its period, in microseconds of the Unix clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvFault {
    /// The start of the fault.
    pub from_us: i64,
    /// The end of the fault, exclusive. Faults that occur once occur at their start.
    pub to_us: i64,
    /// The effect of the fault.
    pub kind: KvFaultKind,
}

/// The plan of a registry.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct KvPlan {
    /// The listening address; with port 0 the kernel selects one.
    pub listen: SocketAddr,
    /// Name and password; none for a registry without authentication.
    pub login: Option<(String, String)>,
    /// The age at which history is compacted, in microseconds; 0 for never.
    pub compact_after_us: i64,
    /// The scheduled faults.
    pub faults: Vec<KvFault>,
    /// Initial keys and values.
    pub keys: Vec<(String, String)>,
    /// The load limits; none for a registry without limits.
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

/// The load limits of a registry, modelled as one core. Requests whose client has disconnected still use
/// processing time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Capacity {
    /// Unary requests and watch starts that are processed per second.
    #[serde(rename = "requests_per_s")]
    pub requests_per_second: f64,
    /// Response bytes that are written per second; 0 for no limit.
    #[serde(rename = "bytes_per_s")]
    pub bytes_per_second: f64,
    /// The largest number of requests that wait.
    pub queue: usize,
    /// Whether requests beyond the queue get no response instead of a refusal.
    #[serde(rename = "silent")]
    pub drops_overflow: bool,
    /// The `Retry-After` header of refusals, in seconds.
    pub retry_after_s: u32,
    /// The largest number of connections; 0 for no limit. Further connections are closed at once.
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
