//! Log of messages and connections that were rejected: the first ones individually, then counts by reason.

use slatevalve::Micros;
use slatevalve_platform::front::{LinkId, RejectReason};
use std::collections::BTreeMap;
use tracing::info;

/// Limit of rejections that are logged individually.
const MAX_LOGGED: u64 = 20;
/// Minimum time between two log lines of counts.
const LOG_INTERVAL: Micros = Micros(1_000_000);

/// Counts of rejections.
#[derive(Debug, Default)]
pub(super) struct RejectionLog {
    total: u64,
    by_reason: BTreeMap<&'static str, u64>,
    /// The total at the last log line, and its time.
    logged_total: u64,
    logged_at: Micros,
}

impl RejectionLog {
    /// Counts a rejection, and logs the first ones.
    pub(super) fn record(&mut self, link: LinkId, reason: RejectReason) {
        self.total += 1;
        *self.by_reason.entry(reason.as_str()).or_default() += 1;
        if self.total <= MAX_LOGGED {
            self.logged_total = self.total;
            info!(link = link.0, ?reason, "invalid message from a client");
        }
    }

    /// Logs the counts if they have changed since the last line.
    pub(super) fn log_if_due(&mut self, now: Micros, connections: usize) {
        if self.total == self.logged_total || now.0 - self.logged_at.0 < LOG_INTERVAL.0 {
            return;
        }
        info!(
            now = now.0,
            rejected = self.total - self.logged_total,
            connections,
            total_by_reason = ?self.by_reason,
            "invalid messages from clients"
        );
        self.logged_total = self.total;
        self.logged_at = now;
    }

    /// Number of rejections so far.
    pub(super) fn total(&self) -> u64 {
        self.total
    }

    /// Numbers of rejections by reason.
    pub(super) fn by_reason(&self) -> &BTreeMap<&'static str, u64> {
        &self.by_reason
    }
}
