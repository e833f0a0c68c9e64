//! Dispatches events to the balancer and executes the actions that it returns.

use super::open_call::Attempt;
use super::{Engine, Timer};
use crate::answer::{Reason, Verdict};
use crate::attempt::AttemptRef;
use crate::output::{Output, SendLimits};
use slatevalve::{Action, Answer as AttemptAnswer, Event, FunctionId, Micros, Outcome, RequestId, WorkerId};
use std::collections::VecDeque;

impl Engine {
    /// Passes an event to the balancer and executes its actions. An action that cannot be executed is
    /// reported back as an event of its own before this returns.
    pub(super) fn dispatch(&mut self, event: Event, out: &mut Vec<Output>) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = std::mem::take(&mut self.action_buffer);
            self.balancer.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                events.extend(self.execute(action, out));
            }
            self.action_buffer = actions;
        }
    }

    /// Executes one action. If it cannot be executed, returns the event that reports this to the balancer.
    fn execute(&mut self, action: Action, out: &mut Vec<Output>) -> Option<Event> {
        match action {
            Action::Send { id, worker, timeout: _, process, send_before } => {
                return self.send(id, worker, SendLimits { process, send_before }, out);
            }
            // Answers have no field for `retry_after`; the balancer sets it only if the settings allow it.
            Action::Refuse { id, retry_after: _ } => self.refuse(id, out),
            Action::Fail { id } => self.close(id, Verdict::Failed(Reason::NoResult), out),
            Action::Cancel { id, attempt } => out.push(Output::Cancel(AttemptRef { request: id, attempt })),
            Action::Load { worker, function, copies } => return self.load(worker, function, copies, out),
            Action::Drop { worker, function } => self.unload(worker, function, out),
            Action::Probe { worker } => out.push(Output::Probe(worker)),
            Action::Subscribe => out.push(Output::Subscribe),
            Action::Wake { at, token } => self.timers.set(at, Timer::Wake(token)),
        }
        None
    }

    fn send(
        &mut self,
        id: RequestId,
        worker: WorkerId,
        limits: SendLimits,
        out: &mut Vec<Output>,
    ) -> Option<Event> {
        let (now, is_suspended) = (self.now, self.is_suspended(id));
        let Some(call) = self.open_calls.get_mut(&id).filter(|call| !call.answered) else {
            let answer =
                AttemptAnswer { closed: true, ..not_sent(AttemptRef { request: id, attempt: 0 }, worker) };
            return Some(Event::Answer(answer));
        };
        let attempt = AttemptRef { request: id, attempt: call.attempts.len() };
        let outcome = is_suspended.then_some(Outcome::NotSent);
        call.attempts.push(Attempt { worker, sent_at: now, outcome });
        if is_suspended {
            return Some(Event::Answer(not_sent(attempt, worker)));
        }
        self.statistics.attempts += 1;
        let time_remaining = Micros(call.deadline.0.saturating_sub(now.0));
        let body = call.body.clone();
        out.push(Output::Send { attempt, worker, limits, body, time_remaining });
        None
    }

    fn refuse(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let reason = match self.is_suspended(id) {
            true => Reason::LeaseExpired,
            false => Reason::NoCapacity,
        };
        self.close(id, Verdict::Refused(reason), out);
    }

    /// Ends a call by a decision of the balancer.
    fn close(&mut self, id: RequestId, verdict: Verdict, out: &mut Vec<Output>) {
        self.finish(id, verdict, out);
        self.remove_if_closed(id);
    }

    /// Ends a call without a decision of the balancer, and notifies the balancer.
    pub(super) fn end_without_balancer(&mut self, id: RequestId, verdict: Verdict, out: &mut Vec<Output>) {
        self.finish(id, verdict, out);
        self.dispatch(Event::ClientDisconnected { id }, out);
        self.remove_if_closed(id);
    }

    fn load(
        &mut self,
        worker: WorkerId,
        function: FunctionId,
        copies: u32,
        out: &mut Vec<Output>,
    ) -> Option<Event> {
        let Some(name) = self.names.get(function) else {
            let (outcome, latency) = (Outcome::NotSent, Micros(0));
            return Some(Event::LoadCompleted { worker, function, outcome, copies: 0, latency });
        };
        out.push(Output::Load { worker, function, name, copies });
        None
    }

    fn unload(&mut self, worker: WorkerId, function: FunctionId, out: &mut Vec<Output>) {
        let name = self.names.get(function);
        out.extend(name.map(|name| Output::Unload { worker, name }));
    }
}

/// Returns the event for an attempt that was not sent, of a call that is still open.
fn not_sent(attempt: AttemptRef, worker: WorkerId) -> AttemptAnswer {
    AttemptAnswer {
        id: attempt.request,
        attempt: attempt.attempt,
        worker,
        outcome: Outcome::NotSent,
        closed: false,
        latency: Micros(0),
        queue_depth: None,
        load_failed: false,
        report: None,
        process: None,
    }
}
