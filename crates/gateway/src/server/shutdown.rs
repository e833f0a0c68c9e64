//! The orderly stop: open calls are finished first, then connections.

use super::{GatewayError, GatewayServer};
use crate::clock::after;
use slatevalve::Micros;
use std::time::Duration;
use tracing::{info, warn};

/// Longest time for sending what is buffered, and for leaving the registry, once all calls are answered.
const FLUSH_TIMEOUT: Micros = Micros(1_000_000);
/// Poll timeout meanwhile; the end of a flush is no event of its own.
const FLUSH_POLL_TIMEOUT: Duration = Duration::from_millis(10);

impl GatewayServer {
    /// SIGTERM or SIGINT: accepts no new calls; open ones are finished, or ended at the settings' time limit.
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
        self.engine.stop(now, after(now, self.site.stop_within));
        if let Some(source) = &mut self.source {
            source.leave(now, &mut self.reactor);
        }
    }

    /// All calls are answered: disconnects the clients, leaves the registry and sends what is buffered, for a bounded time.
    ///
    /// # Errors
    /// When the poller fails.
    pub(super) fn shut_down(&mut self, now: Micros) -> Result<(), GatewayError> {
        if let Some(config_versioning) = &mut self.config_versioning {
            config_versioning.release_lease();
        }
        self.front.stop(now, &mut self.to_front);
        self.drain_outputs(now);
        let until = after(now, FLUSH_TIMEOUT);
        let mut events = Vec::new();
        while self.has_unfinished() && self.clock.now() < until {
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

    /// Whether bytes are to be sent, or the registry is to confirm that this gateway left.
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
            warn!(overdue = counts.overdue, "calls ended by the engine past their deadline");
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
