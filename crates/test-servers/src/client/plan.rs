//! The plan of the test clients, and their results.

use std::net::SocketAddr;
use std::path::PathBuf;

/// A scheduled publication of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The time of the publication, in microseconds of the Unix clock.
    pub at_us: i64,
    /// The name of the call, the same for all its publications.
    pub call: String,
    /// The class of the call, which is only recorded in the trace.
    pub class: String,
    /// The topic that the call is published to.
    pub topic: String,
    /// The idempotency key, sent as a user property; none to send none.
    pub key: Option<String>,
    /// The time within which the client expects the answer, in microseconds.
    pub budget_us: i64,
    /// Work at full capacity of the worker, in microseconds.
    pub work_us: i64,
    /// The index of the publishing connection, modulo the number of connections.
    pub connection: usize,
    /// The MQTT QoS: 0, 1 or 2.
    pub qos: u8,
    /// Whether this is a further publication of a call.
    pub republished: bool,
}

/// The plan of all test clients.
#[derive(Clone, Debug)]
pub struct ClientPlan {
    /// Names and addresses of the gateways; connections are assigned to them round-robin.
    pub gateways: Vec<(String, SocketAddr)>,
    /// The number of connections; at least 1 is opened.
    pub connections: usize,
    /// The scheduled publications, ordered by time.
    pub arrivals: Vec<Arrival>,
    /// The file that the trace is appended to; none for no trace.
    pub trace: Option<PathBuf>,
}

/// The result of one call, as its client observed it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClientReport {
    /// The class of the call.
    pub class: String,
    /// The time of the first publication, in microseconds of the Unix clock; none for a call that was not
    /// published.
    pub published_us: Option<i64>,
    /// The time within which the client expects the answer, in microseconds.
    pub budget_us: i64,
    /// The time and the outcome of the first answer.
    pub answer: Option<(i64, String)>,
    /// Whether the gateway or the session was lost while the call was open, so that no answer is expected.
    pub is_disconnected: bool,
}
