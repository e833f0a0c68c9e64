//! The plan of the test clients, and their results.

use std::net::SocketAddr;
use std::path::PathBuf;

/// A call to be published.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The time of the publication, in microseconds of the Unix clock.
    pub at_us: i64,
    /// Its name, the same for each publication.
    pub call: String,
    /// Its class, for the trace.
    pub class: String,
    /// The topic that it is published to.
    pub topic: String,
    /// Its idempotency key, sent as a user property.
    pub key: Option<String>,
    /// Microseconds until the client gives up.
    pub budget_us: i64,
    /// Microseconds of work at full capacity.
    pub work_us: i64,
    /// The connection that publishes it.
    pub connection: usize,
    /// QoS 0, 1 or 2.
    pub qos: u8,
    /// Whether it was published before.
    pub republished: bool,
}

/// The plan of the clients.
#[derive(Clone, Debug)]
pub struct ClientPlan {
    /// Names and addresses of the gateways; connection n goes to the n-th, round-robin.
    pub gateways: Vec<(String, SocketAddr)>,
    /// The number of connections.
    pub connections: usize,
    /// The calls, ordered by time.
    pub arrivals: Vec<Arrival>,
    /// The file for the trace.
    pub trace: Option<PathBuf>,
}

/// The result of one call, as its client observed it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClientReport {
    /// Its class.
    pub class: String,
    /// The time of its first publication, in microseconds of the Unix clock; none for a call that was not published.
    pub published_us: Option<i64>,
    /// Microseconds until the client gives up.
    pub budget_us: i64,
    /// The time and the outcome of the first answer.
    pub answer: Option<(i64, String)>,
    /// Whether the client lost its gateway or its session, so that no answer is owed.
    pub is_disconnected: bool,
}
