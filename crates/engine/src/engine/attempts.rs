//! Handles the ends of attempts: verifies the version that ran and reports the outcome to the balancer.

use super::Engine;
use crate::answer::Verdict;
use crate::attempt::{AttemptEnd, AttemptRef};
use crate::output::Output;
use slatevalve::{Answer as AttemptAnswer, Event, Micros, Outcome, RequestId, WorkerId};

impl Engine {
    /// Handles the end of an attempt. It is ignored if the attempt is unknown or has already ended.
    pub fn attempt_completed(&mut self, now: Micros, of: AttemptRef, end: AttemptEnd, out: &mut Vec<Output>) {
        self.advance_clock(now);
        let id = of.request;
        let Some(open_call) = self.open_calls.get(&id) else { return };
        let Some(attempt) = open_call.attempts.get(of.attempt) else { return };
        if attempt.outcome.is_some() {
            return;
        }
        let (worker, sent_at) = (attempt.worker, attempt.sent_at);
        let end = self.verify_version(id, worker, end, out);
        self.set_outcome(of, end.outcome);
        if end.outcome == Outcome::Ok {
            self.finish(id, Verdict::Served { payload: end.payload, ran: end.ran }, out);
        }
        let answer = AttemptAnswer {
            id,
            attempt: of.attempt,
            worker,
            outcome: end.outcome,
            closed: self.open_calls.get(&id).is_none_or(|call| call.answered),
            latency: Micros(self.now.0.saturating_sub(sent_at.0)),
            queue_depth: end.queue_depth,
            load_failed: end.load_failed,
            report: end.report,
            process: end.process,
        };
        self.dispatch(Event::Answer(answer), out);
        self.remove_if_closed(id);
    }

    /// Replaces a result of another version than the call's by [`Outcome::Error`]: it is not the result of
    /// this call, but code ran, so the attempt must not count as never run.
    fn verify_version(
        &mut self,
        id: RequestId,
        worker: WorkerId,
        end: AttemptEnd,
        out: &mut Vec<Output>,
    ) -> AttemptEnd {
        let version = self.open_calls.get(&id).and_then(|call| call.body.version.as_ref());
        let Some(version) = version.filter(|_| end.outcome == Outcome::Ok) else { return end };
        if end.ran.as_ref() == Some(&version.digest) {
            return end;
        }
        self.statistics.version_mismatches += 1;
        out.push(Output::VersionMismatch { worker, version: version.clone(), ran: end.ran });
        let AttemptEnd { report, process, .. } = end;
        AttemptEnd { report, process, ..AttemptEnd::without_payload(Outcome::Error) }
    }

    fn set_outcome(&mut self, of: AttemptRef, outcome: Outcome) {
        let open_call = self.open_calls.get_mut(&of.request);
        if let Some(attempt) = open_call.and_then(|call| call.attempts.get_mut(of.attempt)) {
            attempt.outcome = Some(outcome);
        }
    }
}
