//! Completion: results of attempts, final responses and cancellation.

use super::dispatch::{Attempt, OpenRequest};
use super::outlier::FailureKind;
use super::statistics::*;
use super::Balancer;
use crate::api::*;

impl Balancer {
    /// Handles the result of an attempt: updates the statistics, then ends the request or retries it.
    pub(super) fn complete_attempt(&mut self, answer: Answer, out: &mut Vec<Action>) {
        let Some(open) = self.requests.open.get_mut(&answer.id) else { return };
        let (function, class, has_hint) =
            (open.request.function, open.request.class.0, open.request.work.is_some());
        let attempt = open.attempts.get_mut(answer.attempt);
        let Some(attempt) = attempt.filter(|attempt| attempt.outcome.is_none()) else { return };
        attempt.outcome = Some(answer.outcome);
        attempt.process = answer.process;
        let attempt = attempt.clone();
        self.remove_from_flight(&attempt);
        self.record_process(attempt.worker, answer.process);
        if answer.outcome == Outcome::Full {
            self.record_rejection(attempt.worker);
        }
        self.learn_from_attempt(function, &answer, &attempt);
        if answer.outcome == Outcome::Ok {
            self.count_success(class, has_hint, &answer, &attempt);
        }
        if let Some(report) = answer.report {
            self.record_report(attempt.worker, report);
        }
        self.record_outcome(function, class, &answer, &attempt);
        let Some(open) = self.requests.open.get(&answer.id) else { return };
        if answer.closed || open.is_closed {
            self.disconnect(answer.id, out);
        } else if open.in_flight() == 0 {
            self.retry_or_finish(answer.id, out);
        }
    }

    /// Counts an attempt as no longer in flight, unless the worker was restarted or removed in the meantime.
    fn remove_from_flight(&mut self, attempt: &Attempt) {
        let Some(worker) = self.membership.workers.get_mut(&attempt.worker) else { return };
        if !attempt.waits_for_load && worker.in_flight > 0 {
            worker.in_flight -= 1;
            self.requests.in_flight -= 1;
        }
    }

    /// Counts a successful attempt in the traffic statistics and for admission control.
    fn count_success(&mut self, class: usize, has_hint: bool, answer: &Answer, attempt: &Attempt) {
        let latency_secs = to_secs(answer.latency).max(LATENCY_MIN_SECS);
        let statistics = &mut self.statistics;
        let Some(mean) = statistics.class_work_secs.get_mut(class) else { return };
        if !has_hint && !attempt.waits_for_load {
            update_mean(mean, latency_secs, WORK_LEARNING_RATE);
        }
        statistics.served_work.add(self.now, WORK_WINDOW_SECS, *mean);
        statistics.responses.add(self.now, RESPONSE_RATE_WINDOW_SECS, 1.0);
        statistics.successes.add(self.now, SHARE_WINDOW_SECS, 1.0);
        if !attempt.waits_for_load && attempt.sent_at >= self.resumed_at {
            let class = self.settings.classes.get(class);
            let is_late = class.is_some_and(|class| latency_secs > to_secs(class.latency_objective));
            self.admission.count_response(is_late);
        }
    }

    /// Records the outcome as a success or failure of the worker, if it indicates either.
    fn record_outcome(&mut self, function: FunctionId, class: usize, answer: &Answer, attempt: &Attempt) {
        let worker = attempt.worker;
        let is_active = self.membership.workers.get(&worker).is_some_and(|worker| worker.is_active(self.now));
        let was_served =
            || self.placement.functions.get(&function).is_some_and(|function| function.was_served);
        match answer.outcome {
            Outcome::Ok => self.record_success(worker, class, attempt.sent_at),
            Outcome::Full if !attempt.waits_for_load => {
                self.record_class_failure(worker, class, FailureKind::Overload);
            }
            // An error of a function that no worker ever served may be the function's fault if the worker
            // serves others.
            Outcome::Error if !answer.load_failed && (!is_active || was_served()) => {
                self.record_class_failure(worker, class, FailureKind::Fault);
            }
            Outcome::TimedOut
                if attempt.sent_at >= self.resumed_at && !attempt.waits_for_load && !attempt.is_cancelled =>
            {
                self.record_class_failure(worker, class, FailureKind::Fault);
            }
            Outcome::ConnectFailed | Outcome::Reset => {
                self.suspend_if_list_expired(worker, answer.outcome);
                self.record_connection_failure(worker);
            }
            _ => {}
        }
    }

    /// Ends a request that needs no further response and cancels its attempts in flight.
    pub(super) fn disconnect(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.cancel_attempts(id, out);
        self.close(id);
    }

    /// Cancels the attempts in flight, if the site allows it and no streamed response has begun.
    pub(super) fn cancel_attempts(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if !self.settings.limits.cancel {
            return;
        }
        let Some(open) = self.requests.open.get_mut(&id).filter(|open| !open.is_streaming) else { return };
        for (index, attempt) in open.attempts.iter_mut().enumerate() {
            if attempt.outcome.is_none() && !std::mem::replace(&mut attempt.is_cancelled, true) {
                out.push(Action::Cancel { id, attempt: index });
            }
        }
    }

    /// Marks a request as closed; it is removed once nothing is in flight.
    fn close(&mut self, id: RequestId) {
        let Some(open) = self.requests.open.get_mut(&id) else { return };
        (open.is_closed, open.wait_until) = (true, None);
        if open.in_flight() == 0 {
            self.requests.open.remove(&id);
        }
    }

    /// Ends an undecided request without success: it is refused if a repeat by the client is safe, otherwise
    /// failed.
    pub(super) fn finish_unserved(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.requests.open.get(&id).filter(|open| open.is_undecided()) else { return };
        let can_refuse = self.can_refuse(open);
        out.push(if can_refuse { Action::Refuse { id, retry_after: None } } else { Action::Fail { id } });
        self.close(id);
    }

    /// Whether the client may safely repeat the request, as that cannot repeat an effect.
    fn can_refuse(&self, open: &OpenRequest) -> bool {
        match self.class(open).effect {
            Effect::Idempotent | Effect::IdempotentWithKey { group: Group::All, .. } => true,
            _ => !open.could_have_run(),
        }
    }
}
