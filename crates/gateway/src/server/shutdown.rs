//! Graceful shutdown: open calls are completed, then what is still owed is delivered, then connections are
//! closed.
//!
//! Who is owed what, and until when it is waited for:
//!
//! | what is owed | to whom | until |
//! | --- | --- | --- |
//! | the answer to an open call | its client | `stop-within-ms`, when it is answered as refused, or as failed if it may have run |
//! | an answer not sent, as the receive maximum does not permit it | a connected client | the end of the delivery |
//! | bytes not written, as the client reads slowly | a connected client | the end of the delivery |
//! | an answer with QoS 1 or 2, sent and not acknowledged | a connected client | the call's time is up; not at all for a call that arrived after the signal and was refused, so that a busy client does not hold up the stop |
//! | an answer not sent, or not acknowledged | a client without a connection | the call's time is up, or the session expires; until then the listener is open, and the client can resume its session |
//! | an answer not sent, or not acknowledged | the broker, connected or not | the end of the delivery |
//! | the acknowledgement of an answered publish | the broker, connected or not | the end of the delivery |
//! | DISCONNECT, and the bytes of all others | everyone connected | the end of the flush |
//! | release of the lease, deregistration | the registry | the end of the flush |
//!
//! A call's time is up when the longest deadline of all classes has passed since it was received. The delivery
//! ends [`DELIVERY_TIMEOUT`] after `stop-within-ms` and the flush [`FLUSH_TIMEOUT`] after it, so that a peer that
//! never acknowledges or never returns does not hold up the stop.

use super::{GatewayError, GatewayServer};
use crate::clock::after;
use slatevalve::Micros;
use slatevalve_engine::Engine;
use slatevalve_mqtt::OwedAnswers;
use std::time::Duration;
use tracing::{info, warn};

/// Time after `stop-within-ms` for the delivery of answers to calls that were ended by then.
const DELIVERY_TIMEOUT: Micros = Micros(500_000);
/// Timeout for sending buffered bytes and deregistering from the registry once all is delivered.
const FLUSH_TIMEOUT: Micros = Micros(1_000_000);
/// Poll timeout during delivery and flush, as the reactor reports no event when the last byte is sent.
const FLUSH_POLL_TIMEOUT: Duration = Duration::from_millis(10);

/// Progress of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shutdown {
    /// When calls that are still open are ended.
    calls_end_at: Micros,
    is_listening: bool,
}

impl Shutdown {
    /// When the shutdown has to be looked at again if no event arrives.
    pub(super) fn next_wake(&self, now: Micros, engine: &Engine) -> Micros {
        match self.are_calls_over(now, engine) {
            true => after(now, Micros(FLUSH_POLL_TIMEOUT.as_micros() as i64)),
            false => self.calls_end_at,
        }
    }

    /// Whether all calls are answered and have no attempt in flight. An attempt that a worker keeps open is not
    /// waited for once the time of the calls is over.
    fn are_calls_over(&self, now: Micros, engine: &Engine) -> bool {
        engine.is_idle() || (now >= self.calls_end_at && engine.unanswered() == 0)
    }

    fn delivery_ends_at(&self) -> Micros {
        after(self.calls_end_at, DELIVERY_TIMEOUT)
    }

    /// When a flush that begins at `now` ends. It has at least the time that is left after the longest delivery.
    fn flush_ends_at(&self, now: Micros) -> Micros {
        let shortest = Micros(FLUSH_TIMEOUT.0 - DELIVERY_TIMEOUT.0);
        after(now, FLUSH_TIMEOUT).min(after(self.calls_end_at, FLUSH_TIMEOUT)).max(after(now, shortest))
    }
}

impl GatewayServer {
    /// Handles SIGTERM and SIGINT: accepts no new calls; open ones are completed, or ended after the
    /// settings' `stop_timeout`.
    pub(super) fn stop(&mut self, now: Micros) {
        if self.shutdown.is_some() {
            return;
        }
        info!(open = self.engine.unanswered(), "stopping");
        let calls_end_at = after(now, self.site.stop_timeout);
        self.shutdown = Some(Shutdown { calls_end_at, is_listening: true });
        self.front.stop_accepting(now);
        if let Some(link) = &mut self.bridge {
            link.bridge.stop_accepting();
        }
        self.engine.stop(now, calls_end_at);
        if let Some(source) = &mut self.source {
            source.leave(now, &mut self.reactor);
        }
        self.close_listener_if_unneeded(self.owed_to_clients(now));
    }

    /// Advances a requested shutdown. Returns whether all calls have ended, and nothing is owed any more or the
    /// time for its delivery is over.
    pub(super) fn advance_shutdown(&mut self, now: Micros) -> bool {
        let Some(shutdown) = self.shutdown else { return false };
        let owed_to_clients = self.owed_to_clients(now);
        self.close_listener_if_unneeded(owed_to_clients);
        shutdown.are_calls_over(now, &self.engine)
            && (!self.owes_answers(owed_to_clients) || now >= shutdown.delivery_ends_at())
    }

    /// Closes the listener of a gateway that stops, unless a client may come back for an answer.
    fn close_listener_if_unneeded(&mut self, owed_to_clients: OwedAnswers) {
        let Some(shutdown) = self.shutdown.filter(|shutdown| shutdown.is_listening) else { return };
        if owed_to_clients.resumable_clients == 0 {
            self.listener.close(&mut self.reactor);
            self.shutdown = Some(Shutdown { is_listening: false, ..shutdown });
        }
    }

    fn owes_answers(&self, owed_to_clients: OwedAnswers) -> bool {
        owed_to_clients.answers > 0
            || self.bridge.as_ref().is_some_and(|link| link.owed() > 0)
            || self.clients.has_unwritten(&self.reactor)
    }

    fn owed_to_clients(&self, now: Micros) -> OwedAnswers {
        let classes = &self.site.engine.balancer.classes;
        let longest_deadline = classes.iter().map(|class| class.deadline).max();
        self.front.owed(now, longest_deadline.unwrap_or_default())
    }

    /// Disconnects the clients and releases the lease. Then sends buffered bytes and waits for the registry
    /// to confirm the release and the deregistration, for at most [`FLUSH_TIMEOUT`]. All calls must have been
    /// answered.
    ///
    /// # Errors
    /// If the poller fails.
    pub(super) fn shut_down(&mut self, now: Micros) -> Result<(), GatewayError> {
        self.log_undelivered(now);
        if let Some(config_versioning) = &mut self.config_versioning {
            config_versioning.release_lease();
        }
        self.front.stop(now, &mut self.front_outputs);
        self.drain_outputs(now);
        let deadline = self.shutdown.map_or(now, |shutdown| shutdown.flush_ends_at(now));
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
            || self
                .config_versioning
                .as_ref()
                .is_some_and(|config_versioning| !config_versioning.is_lease_released())
            || self.source.as_ref().is_some_and(|source| !source.is_deregistered())
    }

    fn log_undelivered(&self, now: Micros) {
        let clients = self.owed_to_clients(now).answers;
        let broker = self.bridge.as_ref().map_or(0, |link| link.owed());
        if clients + broker > 0 {
            warn!(clients, broker, "the time to stop is over; answers are undelivered or unacknowledged");
        }
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
