//! Dispatch of reactor events to clients, workers, the change log and the signal handlers.

use super::Router;
use crate::clock::before;
use signal_hook::consts::SIGHUP;
use slatevalve::{Micros, WorkerState};
use slatevalve_reactor::{Id, ReactorEvent};
use tracing::{debug, warn};

impl Router {
    /// Handles the events of an iteration. All outputs of an event are executed before the next event is
    /// handled.
    pub(super) fn handle_events(&mut self, now: Micros, mut events: Vec<ReactorEvent>) {
        // Events of the change log are handled first, so that a drain that has arrived applies to all other
        // events of the iteration. The sort is stable: other events stay in the order of the poller.
        events.sort_by_key(|event| !self.is_change_log_event(event));
        for event in events {
            if self.is_change_log_event(&event) {
                self.handle_log_event(now, event);
            } else {
                self.handle_event(now, event);
            }
        }
    }

    fn handle_event(&mut self, now: Micros, event: ReactorEvent) {
        match event {
            ReactorEvent::Accepted { connection, .. } => {
                let link = self.clients.add(connection);
                debug!(now = now.0, link = link.0, "client connected");
                self.front.opened(now, link, &mut self.to_front);
            }
            ReactorEvent::Readable(id) => self.clients.mark_readable(id, before(now, self.read_delay)),
            ReactorEvent::Received(id, bytes) => {
                self.received_bytes.from_workers += bytes.len();
                self.worker_side().received(now, id, &bytes);
            }
            ReactorEvent::Connected(id) => self.worker_side().connected(now, id),
            ReactorEvent::Closed { id, connected, written } => match self.clients.remove(id) {
                Some(link) => {
                    debug!(now = now.0, link = link.0, "client closed its connection");
                    self.front.closed(link, &mut self.to_front);
                }
                None => self.worker_side().closed(now, id, connected, written),
            },
            ReactorEvent::Drained(_) | ReactorEvent::Woken => {}
            ReactorEvent::Signal(SIGHUP) => self.reload_on_signal(now),
            ReactorEvent::Signal(_) => self.begin_shutdown(now),
            ReactorEvent::AcceptFailed { error, .. } => {
                warn!(%error, "cannot accept connections; established connections are still served");
                self.listener.pause(now);
            }
        }
        self.drain_outputs(now);
    }

    /// Result of readiness checks: whether some worker is ready and no shutdown has begun.
    pub(super) fn is_ready(&self) -> bool {
        !self.shutdown.has_begun() && self.workers.values().any(|state| *state == WorkerState::Ready)
    }

    /// Whether an event announces client input: a new connection, or input on one.
    pub(super) fn is_client_input(&self, event: &ReactorEvent) -> bool {
        match event {
            ReactorEvent::Accepted { .. } => true,
            ReactorEvent::Readable(id) => self.clients.contains(*id),
            _ => false,
        }
    }

    fn is_change_log_event(&self, event: &ReactorEvent) -> bool {
        self.log_connection.is_some() && connection_of(event) == self.log_connection
    }
}

/// The connection of an event; `None` for listeners, wakers and signals.
fn connection_of(event: &ReactorEvent) -> Option<Id> {
    match event {
        ReactorEvent::Connected(id)
        | ReactorEvent::Readable(id)
        | ReactorEvent::Received(id, _)
        | ReactorEvent::Drained(id)
        | ReactorEvent::Closed { id, .. } => Some(*id),
        _ => None,
    }
}
