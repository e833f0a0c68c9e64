//! The plan of a link process, passed to it as JSON; `serde` attributes keep the JSON names.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The direction that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// From the clients to the service.
    #[serde(rename = "questions")]
    Requests,
    /// From the service to the clients.
    #[serde(rename = "answers")]
    Responses,
    /// Requests and responses.
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

/// The effect of a fault on the connections of a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkFaultKind {
    /// Bytes arrive later.
    Delay {
        /// The affected direction.
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
        /// The affected direction.
        #[serde(rename = "way")]
        direction: Direction,
        /// Bytes per second on each connection.
        bytes_per_s: f64,
    },
    /// Bytes are discarded; connections stay open, and new ones are accepted.
    Drop(Direction),
    /// All connections are closed at the start of the fault, and the bytes in transit are lost.
    Reset,
    /// New connections are closed at once; established ones are not affected.
    Refuse,
}

/// A fault with its time, in microseconds of the Unix clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LinkFault {
    /// The start of the fault.
    pub from_us: i64,
    /// The end of the fault, exclusive. A reset occurs at the start and has no end.
    pub to_us: i64,
    /// The effect of the fault.
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
    /// The address of the service that connections are forwarded to.
    pub to: SocketAddr,
    /// The scheduled faults; faults that overlap combine.
    #[serde(default)]
    pub faults: Vec<LinkFault>,
    /// The output file of the [`TrafficCounters`](crate::TrafficCounters); none to write no file.
    #[serde(default, rename = "tally")]
    pub counters: Option<PathBuf>,
    /// The seed of the random jitter.
    #[serde(default)]
    pub seed: u64,
}
