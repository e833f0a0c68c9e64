//! From when on this process has a record of all that a peer may redeliver in a session.
//!
//! A peer redelivers, with the DUP flag, the publishes of its session that were not acknowledged. Some of them
//! may have been sent to an earlier process of this gateway, of whose calls this process knows nothing. A peer
//! redelivers on each connection before it sends new publishes (sections 4.4 and 4.6), so the first publish
//! without the flag shows that all redeliveries from before the connection have arrived.

use mqtt_protocol_core::mqtt::packet::Qos;
use slatevalve::Micros;

use crate::publish::InboundPublish;

/// Record of a session's connections.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RedeliveryRecord {
    /// When the current connection, or without one the previous connection, was accepted.
    connected_at: Option<Micros>,
    /// Whether all publishes that the peer sent to an earlier process have arrived.
    is_complete: bool,
    covered_since: Option<Micros>,
}

impl RedeliveryRecord {
    /// The record of a session that the peer may have had with an earlier process.
    pub(crate) fn of_earlier_session() -> Self {
        RedeliveryRecord::default()
    }

    /// The record of a session of which the peer knows that it began with this process.
    pub(crate) fn of_new_session() -> Self {
        RedeliveryRecord { is_complete: true, ..RedeliveryRecord::default() }
    }

    /// Handles a connection of the session that was accepted at `now`.
    pub(crate) fn connected(&mut self, now: Micros) {
        self.covered_since = self.connected_at.filter(|_| self.is_complete);
        self.connected_at = Some(now);
    }

    /// Handles a received publish.
    pub(crate) fn received(&mut self, publish: &InboundPublish) {
        self.is_complete |= publish.qos != Qos::AtMostOnce && !publish.dup;
    }

    /// Earliest time at which a publish that is redelivered on the current connection may have arrived first;
    /// `None` if that may have been at an earlier process. See [`slatevalve_engine::Repeat::Marked`].
    pub(crate) fn covered_since(&self) -> Option<Micros> {
        self.covered_since
    }
}
