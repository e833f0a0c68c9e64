//! Timers: deadlines of calls, expiry of keys, and the end of all calls when the engine stops.

use super::{Engine, Timer};
use crate::answer::{Reason, Verdict};
use crate::attempt::AttemptRef;
use crate::duplicates::KeyDigest;
use crate::output::Output;
use slatevalve::{Event, Micros, RequestId};

impl Engine {
    /// Time at which [`Engine::advance`] is due next; `None` if no timer is set.
    #[must_use]
    pub fn next_wake(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// Fires the timers that are due at `now`.
    pub fn advance(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.advance_clock(now);
        self.apply_deferred_attempt_limit();
        // Pops at most as many timers as are set now: one that is set meanwhile waits for the next call, even
        // if it is due.
        for _ in 0..self.timers.len() {
            let Some(timer) = self.timers.pop(self.now) else { return };
            self.fire(timer, out);
        }
    }

    /// Refuses new calls from now on. Calls that are still open at `until` end as refused, or as failed if
    /// they may have run.
    pub fn stop(&mut self, now: Micros, until: Micros) {
        self.advance_clock(now);
        self.is_stopping = true;
        self.timers.set(until, Timer::Stop);
    }

    /// Sets the timers of a call: for its deadline, and for the time by which the balancer must have ended
    /// it.
    pub(super) fn set_deadline(&mut self, id: RequestId, deadline: Micros) {
        self.timers.set(deadline, Timer::Deadline(id));
        let overdue_at = deadline.0.saturating_add(self.settings.balancer.rules.answer_slack.0);
        self.timers.set(Micros(overdue_at), Timer::Overdue(id));
    }

    fn fire(&mut self, timer: Timer, out: &mut Vec<Output>) {
        match timer {
            Timer::Wake(token) => self.dispatch(Event::Wake { token }, out),
            Timer::Deadline(id) => self.expire_attempts(id, out),
            Timer::Overdue(id) => self.end_overdue(id, out),
            Timer::KeyExpiry(key) => self.expire_key(key),
            Timer::Stop => self.end_all(out),
        }
    }

    fn expire_attempts(&self, id: RequestId, out: &mut Vec<Output>) {
        let in_flight = self.open_calls.get(&id).into_iter().flat_map(|call| call.in_flight());
        out.extend(in_flight.map(|attempt| Output::Expire(AttemptRef { request: id, attempt })));
    }

    /// Ends a call that the balancer has not ended in time. That is a defect of the balancer; the call is
    /// ended here so that its client does not wait forever.
    fn end_overdue(&mut self, id: RequestId, out: &mut Vec<Output>) {
        if self.open_calls.get(&id).is_some_and(|call| !call.answered) {
            self.statistics.overdue += 1;
            self.abandon(id, Reason::NoCapacity, out);
        }
    }

    fn expire_key(&mut self, key: KeyDigest) {
        if let Some(expires_at) = self.keys.expire(self.now, key) {
            self.timers.set(expires_at, Timer::KeyExpiry(key));
        }
    }

    fn end_all(&mut self, out: &mut Vec<Output>) {
        let unanswered = self.open_calls.iter().filter(|(_, call)| !call.answered);
        let unanswered: Vec<RequestId> = unanswered.map(|(id, _)| *id).collect();
        for id in unanswered {
            self.abandon(id, Reason::Stopping, out);
        }
    }

    /// Ends a call as failed if it may have run, else as refused for `reason`.
    fn abandon(&mut self, id: RequestId, reason: Reason, out: &mut Vec<Output>) {
        let Some(call) = self.open_calls.get(&id) else { return };
        let verdict = match call.can_have_run() {
            true => Verdict::Failed(Reason::NoResult),
            false => Verdict::Refused(reason),
        };
        self.end_without_balancer(id, verdict, out);
    }
}
