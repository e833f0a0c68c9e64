//! The plan of a link process, passed to it as JSON. `serde` keeps the names of that JSON.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A direction of transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// From the clients to the service.
    #[serde(rename = "questions")]
    Requests,
    /// From the service to the clients.
    #[serde(rename = "answers")]
    Responses,
    /// Both directions.
    Both,
}

impl Direction {
    /// Whether a fault in this direction affects one of the two directions of a connection.
    pub(super) fn includes(self, flow: Flow) -> bool {
        match self {
            Direction::Requests => flow == Flow::ToService,
            Direction::Responses => flow == Flow::FromService,
            Direction::Both => true,
        }
    }
}

/// One of the two directions of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Flow {
    ToService,
    FromService,
}

/// What a link does to its connections.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkFaultKind {
    /// Bytes arrive later.
    Delay {
        /// The direction.
        #[serde(rename = "way")]
        direction: Direction,
        /// The delay, in microseconds.
        by_us: i64,
        /// The largest additional random delay, in microseconds.
        jitter_us: i64,
        /// The growth of the delay for each second since the start of the fault, in microseconds.
        growing_us: i64,
    },
    /// The bandwidth is limited.
    Slow {
        /// The direction.
        #[serde(rename = "way")]
        direction: Direction,
        /// Bytes per second on each connection.
        bytes_per_s: f64,
    },
    /// Bytes are lost; the connections stay open, and new ones are accepted.
    Drop(Direction),
    /// All connections are closed at the start of the fault, and the bytes in transit are lost.
    Reset,
    /// New connections are closed at once; established ones are not affected.
    Refuse,
}

/// A fault with its time, in microseconds of the Unix clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LinkFault {
    /// Its start.
    pub from_us: i64,
    /// Its end, exclusive.
    pub to_us: i64,
    /// The fault.
    pub kind: LinkFaultKind,
}

impl LinkFault {
    pub(super) fn is_active(&self, now_us: i64) -> bool {
        (self.from_us..self.to_us).contains(&now_us)
    }
}

/// The plan of a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LinkPlan {
    /// The listening address; with port 0 the kernel chooses one.
    pub listen: SocketAddr,
    /// The service.
    pub to: SocketAddr,
    /// The faults.
    #[serde(default)]
    pub faults: Vec<LinkFault>,
    /// The file for the counters of what passed; see [`TrafficCounters`](crate::TrafficCounters).
    #[serde(default, rename = "tally")]
    pub counters: Option<PathBuf>,
    /// The seed of the jitter.
    #[serde(default)]
    pub seed: u64,
}
