//! What clients are still owed, for a gateway that is about to stop.

use super::Front;
use crate::after;
use crate::session::Session;
use slatevalve::Micros;

/// Number of answers and clients for which a gateway that stops has to wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwedAnswers {
    /// Answers that were not sent, or not acknowledged by their clients.
    pub answers: usize,
    /// Clients that are owed an answer, also to an open call, and that may come back for it on another
    /// connection.
    pub resumable_clients: usize,
}

impl Front {
    /// Lets no further sessions begin from `now` on. Clients that are owed something can still resume theirs.
    pub fn stop_accepting(&mut self, now: Micros) {
        self.stopped_accepting_at = Some(now);
    }

    /// What clients are owed at `now`. No client waits for longer than `longest_deadline` after its call.
    ///
    /// An answer is owed until its call's time is up, and if it could not be sent to a connected client, also
    /// after that. Once it is sent to a connected client, it is owed only if its call was received before the
    /// gateway began to stop: a client that goes on to send calls has unacknowledged answers all the time.
    #[must_use]
    pub fn owed(&self, now: Micros, longest_deadline: Micros) -> OwedAnswers {
        let is_in_time = |received_at: Micros| after(received_at, longest_deadline) > now;
        let is_early = |received_at: Micros| self.stopped_accepting_at.is_none_or(|at| received_at <= at);
        let mut owed = OwedAnswers::default();
        for session in self.sessions.values() {
            let is_connected = session.connection.is_some();
            let unsent = session.outbox.iter().map(|answer| answer.received_at);
            let unacknowledged = session.unacknowledged.values().copied();
            let open = session.pending.values().map(|reply| reply.received_at);
            owed.answers += unsent.clone().filter(|at| is_connected || is_in_time(*at)).count();
            owed.answers += unacknowledged
                .clone()
                .filter(|at| is_in_time(*at) && (!is_connected || is_early(*at)))
                .count();
            let can_resume = session.expiry.0 > 0;
            let is_resumable = can_resume && open.chain(unsent).chain(unacknowledged).any(is_in_time);
            owed.resumable_clients += usize::from(is_resumable);
        }
        owed
    }
}

impl Session {
    /// Whether a call is open, or an answer was not sent or not acknowledged.
    pub(crate) fn is_owed(&self) -> bool {
        !(self.pending.is_empty() && self.outbox.is_empty() && self.unacknowledged.is_empty())
    }
}
