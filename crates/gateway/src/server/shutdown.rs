//! Graceful shutdown: open calls are completed first, then connections are closed.

use super::{GatewayError, GatewayServer};
use crate::clock::after;
use slatevalve::Micros;
use std::time::Duration;
use tracing::{info, warn};

/// Timeout for sending buffered bytes and deregistering from the registry once all calls are answered.
const FLUSH_TIMEOUT: Micros = Micros(1_000_000);
/// Poll timeout during the flush, as the reactor reports no event when the last byte is sent.
const FLUSH_POLL_TIMEOUT: Duration = Duration::from_millis(10);

impl GatewayServer {
    /// Handles SIGTERM and SIGINT: accepts no new calls; open ones are completed, or ended after the
    /// settings' `stop_timeout`.
    pub(super) fn stop(&mut self, now: Micros) {
        if self.stopping {
            return;
        }
        info!(open = self.engine.unanswered(), "stopping");
        self.stopping = true;
        self.listener.close(&mut self.reactor);
        if let Some(link) = &mut self.bridge {
            link.bridge.stop_accepting();
        }
        self.engine.stop(now, after(now, self.site.stop_timeout));
        if let Some(source) = &mut self.source {
            source.leave(now, &mut self.reactor);
        }
    }

    /// Disconnects the clients and releases the lease. Then sends buffered bytes and waits for the registry
    /// to confirm the release and the deregistration, for at most [`FLUSH_TIMEOUT`]. All calls must have been
    /// answered.
    ///
    /// # Errors
    /// If the poller fails.
    pub(super) fn shut_down(&mut self, now: Micros) -> Result<(), GatewayError> {
        if let Some(config_versioning) = &mut self.config_versioning {
            config_versioning.release_lease();
        }
        self.front.stop(now, &mut self.front_outputs);
        self.drain_outputs(now);
        let deadline = after(now, FLUSH_TIMEOUT);
        let mut events = Vec::new();
        while self.has_unfinished() && self.clock.now() < deadline {
            self.reactor.poll(Some(FLUSH_POLL_TIMEOUT), &mut events).map_err(GatewayError::Loop)?;
            let now = self.clock.now();
            for event in events.drain(..) {
                self.handle_event(now, event);
            }
            self.advance_config_versioning(now);
        }
        self.log_statistics();
        Ok(())
    }

    /// Whether bytes are unsent, or the registry has not yet confirmed that this gateway released its lease
    /// and deregistered.
    fn has_unfinished(&self) -> bool {
        self.reactor.has_pending()
            || self.bridge.as_ref().is_some_and(|link| link.has_unsent())
            || self
                .config_versioning
                .as_ref()
                .is_some_and(|config_versioning| !config_versioning.is_lease_released())
            || self.source.as_ref().is_some_and(|source| !source.is_deregistered())
    }

    fn log_statistics(&self) {
        let counts = self.engine.statistics();
        if counts.overdue > 0 {
            warn!(overdue = counts.overdue, "calls were ended by the engine after their deadline");
        }
        info!(
            calls = counts.calls,
            served = counts.served,
            refused = counts.refused,
            failed = counts.failed,
            attempts = counts.attempts,
            "stopped"
        );
    }
}
