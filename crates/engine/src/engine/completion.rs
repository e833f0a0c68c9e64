//! Final answers: one for each call, delivered to every waiting ticket and stored under the call's key.

use super::calls::open_call_bytes;
use super::{Engine, Timer};
use crate::answer::{Answer, Verdict};
use crate::attempt::AttemptRef;
use crate::call::Ticket;
use crate::duplicates::KeyDigest;
use crate::output::Output;
use slatevalve::RequestId;

impl Engine {
    /// Ends a call with its final answer, unless it has one already, and cancels those of its attempts that
    /// are not sent yet.
    pub(super) fn finish(&mut self, id: RequestId, verdict: Verdict, out: &mut Vec<Output>) {
        let Some(call) = self.open_calls.get_mut(&id).filter(|call| !call.answered) else { return };
        call.answered = true;
        let in_flight = call.in_flight();
        out.extend(in_flight.map(|attempt| Output::CancelUnsent(AttemptRef { request: id, attempt })));
        let answer = Answer {
            verdict,
            attempts: call.attempts.len(),
            recorded: false,
            version: call.body.version.clone(),
        };
        // The key of a call that never ran may be used again, and a call without side effects needs no stored
        // answer.
        let has_run = call.can_have_run() || matches!(answer.verdict, Verdict::Served { .. });
        let is_stored = call.recorded && has_run;
        let key = call.key;
        let waiters = std::mem::take(&mut call.waiters);
        match key {
            Some(key) if is_stored => self.store_answer(key, &answer),
            Some(key) => self.keys.release(key),
            None => {}
        }
        for waiter in waiters {
            self.tickets.remove(&waiter.ticket);
            self.deliver(waiter.ticket, answer.clone(), out);
        }
    }

    pub(super) fn store_answer(&mut self, key: KeyDigest, answer: &Answer) {
        if let Some(expires_at) = self.keys.record_answer(self.now, key, answer.clone()) {
            self.timers.set(expires_at, Timer::KeyExpiry(key));
        }
    }

    /// Delivers an answer to one ticket and counts it.
    pub(super) fn deliver(&mut self, ticket: Ticket, answer: Answer, out: &mut Vec<Output>) {
        let counter = match answer.verdict {
            Verdict::Served { .. } => &mut self.statistics.served,
            Verdict::Refused(_) => &mut self.statistics.refused,
            Verdict::Failed(_) => &mut self.statistics.failed,
        };
        *counter += 1;
        out.push(Output::Answer(ticket, answer));
    }

    /// Removes a call that is answered and has no attempt in flight.
    pub(super) fn remove_if_closed(&mut self, id: RequestId) {
        let is_closed = |call: &super::OpenCall| call.answered && call.in_flight().next().is_none();
        if !self.open_calls.get(&id).is_some_and(is_closed) {
            return;
        }
        if let Some(call) = self.open_calls.remove(&id) {
            self.names.release(call.function);
            self.open_bytes -= open_call_bytes(&call.body.payload);
        }
    }
}
