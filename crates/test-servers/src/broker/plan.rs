//! The plan of the test broker, passed to it as JSON.

use crate::listen::ANY_PORT;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A fault and its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokerFault {
    /// The time of the fault, in microseconds of the Unix clock.
    pub at_us: i64,
    /// The effect of the fault.
    pub kind: BrokerFaultKind,
}

/// The effect of a broker fault.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BrokerFaultKind {
    /// Connections are closed; their sessions remain.
    Drop {
        /// The prefix of the affected client identifiers.
        prefix: String,
    },
    /// All connections are closed and all sessions are discarded, as by a restart without persistence.
    Forget,
    /// Acknowledgements are ignored; at the end of the fault the affected connections are closed.
    LoseAcknowledgements {
        /// The prefix of the affected client identifiers.
        prefix: String,
        /// The duration of the fault, in microseconds.
        for_us: i64,
    },
}

/// The plan of a broker.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct BrokerPlan {
    /// The listening address; with port 0 the kernel selects one.
    pub listen: SocketAddr,
    /// The scheduled faults, in any order.
    pub faults: Vec<BrokerFault>,
}

impl Default for BrokerPlan {
    fn default() -> Self {
        BrokerPlan { listen: ANY_PORT, faults: Vec::new() }
    }
}
