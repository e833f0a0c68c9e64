//! The plan of the test broker, passed to it as JSON.

use crate::listen::ANY_PORT;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A fault with its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokerFault {
    /// Microseconds of the Unix clock.
    pub at_us: i64,
    /// The fault.
    pub kind: BrokerFaultKind,
}

/// The kinds of faults.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BrokerFaultKind {
    /// Connections are closed; their sessions remain.
    Drop {
        /// The prefix of the affected client identifiers.
        prefix: String,
    },
    /// All connections are closed and all sessions discarded, as by a restart without a store.
    Forget,
    /// Acknowledgements are ignored, and the connections are closed at the end.
    LoseAcknowledgements {
        /// The prefix of the affected client identifiers.
        prefix: String,
        /// The duration, in microseconds.
        for_us: i64,
    },
}

/// The plan of a broker.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct BrokerPlan {
    /// The listening address; with port 0 the kernel chooses one.
    pub listen: SocketAddr,
    /// Its faults.
    pub faults: Vec<BrokerFault>,
}

impl Default for BrokerPlan {
    fn default() -> Self {
        BrokerPlan { listen: ANY_PORT, faults: Vec::new() }
    }
}
