//! The orderly shutdown after SIGTERM: every accepted call is answered, and no answer is lost by closing its connection.
//!
//! Clients still connect for a while after the signal, so the listener stays open. When it closes, the accept queue is
//! accepted first, and the shutdown waits for all answers, for incomplete requests, and for an iteration without input from a
//! client. Shortly before the platform may kill the process all calls are answered and the connections closed, whatever the
//! clients still send. Connections are half-closed and read until their peers close, as closing over unread bytes would
//! discard answers that were written. Called at the end of each iteration.

use super::Router;
use crate::clock::{after, elapsed};
use slatevalve::Micros;
use slatevalve_reactor::AcceptQueue;
use tracing::info;

/// New connections are accepted for this long after the signal.
const LAME_DUCK_PERIOD: Micros = Micros(800_000);
/// The platform kills no earlier than the longest deadline after the signal, where longer deadlines count as this one, ...
const MAX_DEADLINE_COUNTED: Micros = Micros(3_000_000);
/// ... and this much more.
const KILL_DELAY: Micros = Micros(700_000);
/// Open calls are answered this long before the kill, so that the answers are sent in time.
const ANSWER_MARGIN: Micros = Micros(100_000);
/// Clients that do not read, or stop within a request, are waited for until this long after the kill was possible.
const DRAIN_EXTENSION: Micros = Micros(1_000_000);

/// The stages of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// No signal was received.
    Running,
    /// Readiness checks fail; new connections and calls are still served.
    LameDuck,
    /// The listener is closed; open connections are served.
    Draining,
    /// All calls are answered; connections are half-closed and read until their peers close.
    Closing,
}

/// Whether an iteration had input from clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientInput {
    None,
    Some,
}

/// Progress of the shutdown.
pub(super) struct Shutdown {
    stage: Stage,
    began_at: Micros,
    /// Time from the signal to the moment at which the process may be killed.
    kill_after: Micros,
    /// The engine has ended all calls because the kill is near.
    engine_stopped: bool,
}

impl Shutdown {
    /// Not begun; `longest_deadline` is that of the settings' classes.
    pub(super) fn new(longest_deadline: Micros) -> Self {
        let kill_after = after(longest_deadline.clamp(Micros(0), MAX_DEADLINE_COUNTED), KILL_DELAY);
        Shutdown { stage: Stage::Running, began_at: Micros(0), kill_after, engine_stopped: false }
    }

    /// Whether the signal was received.
    pub(super) fn has_begun(&self) -> bool {
        self.stage != Stage::Running
    }
}

impl Router {
    /// SIGTERM or SIGINT: begins the shutdown. A second signal changes nothing.
    pub(super) fn begin_shutdown(&mut self, now: Micros) {
        if !self.shutdown.has_begun() {
            info!(open = self.front.unanswered(), "stopping");
            self.shutdown.stage = Stage::LameDuck;
            self.shutdown.began_at = now;
        }
    }

    /// Advances the shutdown; `true` once it is complete.
    pub(super) fn advance_shutdown(&mut self, now: Micros, client_input: ClientInput) -> bool {
        let stage = self.shutdown.stage;
        if stage == Stage::Running {
            return false;
        }
        let since_signal = elapsed(self.shutdown.began_at, now);
        self.stop_engine_if_due(now, since_signal);
        match stage {
            Stage::LameDuck if since_signal >= LAME_DUCK_PERIOD || self.shutdown.engine_stopped => {
                self.close_listener(now);
            }
            Stage::Draining if self.is_drained(since_signal, client_input) => self.close_clients(),
            Stage::Closing => return self.reactor.lingering() == 0,
            Stage::Running | Stage::LameDuck | Stage::Draining => {}
        }
        false
    }

    /// Ends all open calls shortly before the kill; from then on new ones are refused at once.
    fn stop_engine_if_due(&mut self, now: Micros, since_signal: Micros) {
        if after(since_signal, ANSWER_MARGIN) < self.shutdown.kill_after || self.shutdown.engine_stopped {
            return;
        }
        self.shutdown.engine_stopped = true;
        self.engine.stop(now, now);
        self.engine.advance(now, &mut self.to_engine);
        self.drain_outputs(now);
    }

    /// Closes the listener once its queue is accepted. Where accepting fails, as no descriptor is available, it is tried again
    /// until the calls are ended.
    fn close_listener(&mut self, now: Micros) {
        let mut accepted = Vec::new();
        let queue = self.listener.accept_all(&mut self.reactor, &mut accepted);
        self.handle_events(now, accepted);
        if queue == AcceptQueue::Empty || self.shutdown.engine_stopped {
            self.listener.close(&mut self.reactor);
            self.shutdown.stage = Stage::Draining;
        }
    }

    /// Whether nothing is left to be answered or sent, or the time for that is up.
    fn is_drained(&self, since_signal: Micros, client_input: ClientInput) -> bool {
        if self.shutdown.engine_stopped && self.front.unanswered() == 0 {
            // Busy clients would send until the kill, and what it finds unanswered is lost.
            return true;
        }
        let open = self.front.unanswered() + self.front.incomplete();
        let idle = client_input == ClientInput::None && open == 0 && !self.reactor.has_pending();
        idle || since_signal > after(self.shutdown.kill_after, DRAIN_EXTENSION)
    }

    fn close_clients(&mut self) {
        let counts = self.engine.statistics();
        info!(
            sizes = ?self.sizes(),
            calls = counts.calls,
            served = counts.served,
            refused = counts.refused,
            failed = counts.failed,
            attempts = counts.attempts,
            overdue = counts.overdue,
            unusable = self.unusable,
            list_outages = self.list_outages,
            slow_iterations = self.iteration_log.slow_count(),
            longest_iteration_us = self.iteration_log.longest().0,
            "stopped"
        );
        self.reactor.set_max_lingering(usize::MAX);
        self.clients.close_all_gracefully(&mut self.reactor);
        self.shutdown.stage = Stage::Closing;
    }
}
