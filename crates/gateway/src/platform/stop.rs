//! The orderly end after SIGTERM: nothing that was taken is left without an answer, and no answer is destroyed by the end.
//!
//! It guards the moments of a restart. Clients come for a while after the signal, so the listener stays; when it closes, what
//! waited to be accepted is accepted, and the end waits for a whole turn in which no client brought anything, for all answers,
//! and for requests of which a part has come. Before the platform may kill the process all that is open gets its answer.
//! Connections are half-closed and read out, as a close over unread bytes destroys answers that were written. Called by the
//! loop at the end of each turn.

use super::Router;
use slatevalve::Micros;
use slatevalve_reactor::ReactorEvent;
use tracing::info;

/// After the signal, clients may still come for this; only then does the listener close.
const LAST_COMERS: Micros = Micros(800_000);
/// The platform kills no sooner than the longest deadline, counted as this where it is longer, and this much more.
const LONGEST_COUNTED: Micros = Micros(3_000_000);
const KILLED_AFTER: Micros = Micros(700_000);
/// All that is open is answered so long before that, so that the answers are out.
const LAST_ANSWERS: Micros = Micros(100_000);
/// A client that does not read, or stops within a request, is waited for until so long after that.
const PATIENCE: Micros = Micros(1_000_000);

/// Where the end stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// No signal came.
    Running,
    /// Not ready any more, all is served.
    Serving,
    /// The listener is closed; what is there is served.
    Closing,
    /// All is answered; connections are read out.
    Leaving,
}

/// See the module's documentation.
pub(super) struct Stop {
    stage: Stage,
    since: Micros,
    /// Time from the signal to the moment at which the process may be killed.
    killed_after: Micros,
    answered: bool,
}

impl Stop {
    pub(super) fn new(longest_deadline: Micros) -> Self {
        let killed_after = Micros(longest_deadline.min(LONGEST_COUNTED).0.max(0) + KILLED_AFTER.0);
        Stop { stage: Stage::Running, since: Micros(0), killed_after, answered: false }
    }

    pub(super) fn has_begun(&self) -> bool {
        self.stage != Stage::Running
    }
}

impl Router {
    /// SIGTERM: not ready any more, and served on until nobody can come. A second one changes nothing.
    pub(super) fn begin_stop(&mut self, now: Micros) {
        if !self.stop.has_begun() {
            info!(open = self.front.unanswered(), "stopping");
            (self.stop.stage, self.stop.since) = (Stage::Serving, now);
        }
    }

    /// Whether something is of clients: one that came, or bytes of one.
    pub(super) fn is_of_client(&self, event: &ReactorEvent) -> bool {
        match event {
            ReactorEvent::Accepted { .. } => true,
            ReactorEvent::Received(id, _) => self.links.contains_key(id),
            _ => false,
        }
    }

    /// Goes on with the end; whether it is done. `quiet` is a turn in which no client brought anything.
    pub(super) fn has_stopped(&mut self, now: Micros, quiet: bool) -> bool {
        let (stage, stood) = (self.stop.stage, Micros(now.0 - self.stop.since.0));
        if stage == Stage::Running {
            return false;
        }
        if stood.0 >= self.stop.killed_after.0 - LAST_ANSWERS.0 && !self.stop.answered {
            self.stop.answered = true;
            // From here on what comes is refused at once, and what is open is ended.
            self.engine.stop(now, now);
            self.engine.advance(now, &mut self.to_engine);
            self.drain_outputs(now);
        }
        match stage {
            Stage::Serving if stood >= LAST_COMERS => {
                let mut last = Vec::new();
                self.reactor.close_listener(self.listener, &mut last);
                self.resume_at = None;
                self.handle(now, last);
                self.stop.stage = Stage::Closing;
                false
            }
            Stage::Closing => {
                let open = self.front.unanswered() + self.front.incomplete();
                let done = quiet && open == 0 && !self.reactor.has_pending();
                if done || stood.0 > self.stop.killed_after.0 + PATIENCE.0 {
                    self.leave();
                }
                false
            }
            Stage::Leaving => self.reactor.lingering() == 0,
            _ => false,
        }
    }

    fn leave(&mut self) {
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
            "stopped"
        );
        self.reactor.set_max_lingering(usize::MAX);
        for (id, _) in self.links.drain() {
            self.reactor.finish(id);
        }
        self.sockets.clear();
        self.stop.stage = Stage::Leaving;
    }
}
