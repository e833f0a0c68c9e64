//! Orderly shutdown after SIGTERM: every accepted call is answered, and no answer is lost by closing its
//! connection.
//!
//! Clients still connect for a while after the signal, so the listener stays open for [`LAME_DUCK_PERIOD`].
//! Before it is closed, all connections in the accept queue are accepted. The shutdown then waits until all
//! calls are answered, no request is incomplete, and an iteration has passed without client input. Shortly
//! before the platform may kill the process, all calls are answered and all connections closed, even if
//! clients are still sending. Connections are half-closed and read until their peers close them, because
//! closing a socket with unread bytes resets the connection and discards answers in transit. The loop
//! advances the shutdown at the end of each iteration.

use super::memory_log::peak_memory_kb;
use super::Router;
use crate::clock::{after, elapsed};
use slatevalve::Micros;
use slatevalve_reactor::AcceptQueue;
use tracing::info;

/// How long new connections are accepted after the signal.
const LAME_DUCK_PERIOD: Micros = Micros(800_000);
/// The platform kills the process no earlier than the longest class deadline plus [`KILL_DELAY`] after the
/// signal. Longer deadlines than this count as this one.
const MAX_DEADLINE_COUNTED: Micros = Micros(3_000_000);
/// Time from the longest deadline to the earliest kill; see [`MAX_DEADLINE_COUNTED`].
const KILL_DELAY: Micros = Micros(700_000);
/// Open calls are ended this long before the earliest kill, so that their answers can still be sent.
const ANSWER_MARGIN: Micros = Micros(100_000);
/// How long after the earliest kill the shutdown still waits for clients that do not read or that stopped
/// within a request.
const DRAIN_EXTENSION: Micros = Micros(1_000_000);

/// The stages of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// No signal was received yet.
    Running,
    /// Readiness checks report not ready; new connections and calls are still served.
    LameDuck,
    /// The listener is closed; established connections are served.
    Draining,
    /// All calls are answered; connections are half-closed and read until their peers close.
    Closing,
}

/// Whether an iteration had client input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientInput {
    None,
    Some,
}

/// Progress of the shutdown.
pub(super) struct Shutdown {
    stage: Stage,
    began_at: Micros,
    /// Time from the signal to the earliest kill.
    kill_after: Micros,
    /// Whether the engine has ended all calls because the earliest kill is near.
    engine_stopped: bool,
}

impl Shutdown {
    /// A shutdown that has not begun. `longest_deadline` is the longest one of all classes.
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
    /// Begins the shutdown on SIGTERM or SIGINT. Further signals are ignored.
    pub(super) fn begin_shutdown(&mut self, now: Micros) {
        if !self.shutdown.has_begun() {
            info!(open = self.front.unanswered(), "stopping");
            self.shutdown.stage = Stage::LameDuck;
            self.shutdown.began_at = now;
        }
    }

    /// Advances the shutdown. Returns `true` once it is complete.
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

    /// Ends all open calls shortly before the earliest kill; new calls are refused from then on.
    fn stop_engine_if_due(&mut self, now: Micros, since_signal: Micros) {
        if after(since_signal, ANSWER_MARGIN) < self.shutdown.kill_after || self.shutdown.engine_stopped {
            return;
        }
        self.shutdown.engine_stopped = true;
        self.engine.stop(now, now);
        self.engine.advance(now, &mut self.to_engine);
        self.drain_outputs(now);
    }

    /// Accepts all queued connections, then closes the listener. If accepting fails, for example because no
    /// descriptor is available, it is retried in each iteration until the calls are ended.
    fn close_listener(&mut self, now: Micros) {
        let mut accepted = Vec::new();
        let queue = self.listener.accept_all(&mut self.reactor, &mut accepted);
        self.handle_events(now, accepted);
        if queue == AcceptQueue::Empty || self.shutdown.engine_stopped {
            self.listener.close(&mut self.reactor);
            self.shutdown.stage = Stage::Draining;
        }
    }

    /// Whether nothing is left to be answered or sent, or the time limit for that has passed.
    fn is_drained(&self, since_signal: Micros, client_input: ClientInput) -> bool {
        if self.shutdown.engine_stopped && self.front.unanswered() == 0 {
            // Clients may keep sending until the kill, which would lose the calls that are unanswered then.
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
            unusable = self.rejections.total() + self.invalid_log_messages,
            rejected = ?self.rejections.by_reason(),
            peak_memory_kb = peak_memory_kb(),
            list_outages = self.list_outages,
            slow_iterations = self.iteration_log.slow_count(),
            longest_iteration_us = self.iteration_log.longest().0,
            "stopped"
        );
        self.reactor.allow_any_number_of_closing();
        self.clients.close_all_gracefully(&mut self.reactor);
        self.shutdown.stage = Stage::Closing;
    }
}
