//! Retries: the retry budget, further attempts after a failure, and attempts at another worker while one is
//! unresponsive.

use super::dispatch::{Attempt, OpenRequest};
use super::membership::Worker;
use super::outlier::FailureKind;
use super::placement::{LOAD_TIME_DEFAULT_SECS, SERVICE_TIME_DEFAULT_SECS};
use super::statistics::*;
use super::Balancer;
use crate::api::*;

/// Retries allowed for each accepted request: a twentieth limits the load that retries add under overload.
const RETRY_TOKENS_PER_REQUEST: f64 = 0.05;
/// Retries that can be saved up.
const RETRY_TOKENS_MAX: f64 = 3.0;
/// Tokens taken by a retry after a broken connection or an error, as these do not indicate overload.
const RETRY_TOKENS_PER_BROKEN_ATTEMPT: f64 = 0.2;
/// Tokens taken by any other retry.
const RETRY_TOKENS_PER_RETRY: f64 = 1.0;
/// Timeout of an attempt: the longer one of this many service times of its function and this many latency
/// objectives.
const ATTEMPT_TIMEOUT_SERVICE_TIMES: f64 = 12.0;
const ATTEMPT_TIMEOUT_OBJECTIVES: f64 = 1.0;
/// Extension of that timeout for an attempt that waits for a load, in load times.
const ATTEMPT_TIMEOUT_LOAD_TIMES: f64 = 2.5;

/// Token bucket that limits retries.
#[derive(Default)]
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Starts with a full budget.
    pub(super) fn new() -> Self {
        RetryBudget { tokens: RETRY_TOKENS_MAX }
    }

    /// Adds the tokens of one accepted request.
    pub(super) fn refill(&mut self) {
        self.tokens = (self.tokens + RETRY_TOKENS_PER_REQUEST).min(RETRY_TOKENS_MAX);
    }
}

/// An attempt that has exceeded its timeout.
struct UnresponsiveAttempt {
    id: RequestId,
    worker: WorkerId,
    class: usize,
}

/// Open requests that a tick has to act on.
#[derive(Default)]
struct DueRequests {
    /// Requests to end, as their deadlines are near.
    expired: Vec<RequestId>,
    /// Requests to dispatch again.
    waiting: Vec<RequestId>,
    unresponsive: Vec<UnresponsiveAttempt>,
}

impl Balancer {
    /// Makes a further attempt if one is allowed, otherwise gives the final response.
    pub(super) fn retry_or_finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.requests.open.get(&id).filter(|open| !open.is_closed) else { return };
        let is_exhausted = open.attempts.len() >= self.settings.limits.max_attempts;
        let is_possible = self.effect_could_allow_any(open);
        let tokens = match open.attempts.last().and_then(|attempt| attempt.outcome) {
            None | Some(Outcome::Miss) => 0.0,
            Some(Outcome::Full | Outcome::TimedOut | Outcome::Cancelled) => RETRY_TOKENS_PER_RETRY,
            Some(_) => RETRY_TOKENS_PER_BROKEN_ATTEMPT,
        };
        if is_exhausted || !is_possible || self.now >= open.deadline || self.retry.tokens < tokens {
            return self.finish_unserved(id, out);
        }
        self.retry.tokens -= tokens;
        self.dispatch(id, out);
    }

    /// Ends, dispatches or retries the open requests that are due.
    pub(super) fn process_due_requests(&mut self, out: &mut Vec<Action>) {
        let due = self.due_requests();
        for id in due.expired {
            self.finish_unserved(id, out);
        }
        for id in due.waiting {
            self.dispatch(id, out);
        }
        for attempt in due.unresponsive {
            self.record_class_failure(attempt.worker, attempt.class, FailureKind::Fault);
            self.retry_elsewhere(attempt.id, attempt.worker, out);
        }
    }

    fn due_requests(&self) -> DueRequests {
        let mut due = DueRequests::default();
        for (id, open) in self.requests.open.iter().filter(|(_, open)| open.is_undecided()) {
            let newest = open.attempts.iter().rfind(|attempt| attempt.outcome.is_none());
            if let Some(attempt) = newest {
                if self.is_unresponsive(open, attempt) {
                    let class = open.request.class.0;
                    due.unresponsive.push(UnresponsiveAttempt { id: *id, worker: attempt.worker, class });
                }
            } else if open.is_expiring(self.now) {
                due.expired.push(*id);
            } else if open.wait_until.is_none_or(|until| until <= self.now) {
                due.waiting.push(*id);
            }
        }
        due
    }

    /// Whether an attempt has exceeded its timeout at a worker that completed nothing since it was sent.
    fn is_unresponsive(&self, open: &OpenRequest, attempt: &Attempt) -> bool {
        let function = self.placement.functions.get(&open.request.function);
        let defaults = (SERVICE_TIME_DEFAULT_SECS, LOAD_TIME_DEFAULT_SECS);
        let (service_time_secs, load_time_secs) =
            function.map_or(defaults, |function| (function.service_time_secs, function.load_time_secs));
        let load_secs =
            if attempt.waits_for_load { ATTEMPT_TIMEOUT_LOAD_TIMES * load_time_secs } else { 0.0 };
        let objective_secs = to_secs(self.class(open).latency_objective);
        let timeout_secs = (ATTEMPT_TIMEOUT_SERVICE_TIMES * service_time_secs)
            .max(ATTEMPT_TIMEOUT_OBJECTIVES * objective_secs)
            + load_secs;
        let worker = self.membership.workers.get(&attempt.worker);
        let is_silent = worker.is_none_or(|worker| worker.last_success < attempt.sent_at);
        let waited = since(self.now, attempt.sent_at.max(self.resumed_at));
        to_secs(waited) > timeout_secs && is_silent && !attempt.is_cancelled
    }

    /// Sends a request whose worker is unresponsive to another worker, if its class and the retry budget
    /// allow it.
    fn retry_elsewhere(&mut self, id: RequestId, unresponsive: WorkerId, out: &mut Vec<Action>) {
        let Some(open) = self.requests.open.get(&id) else { return };
        let is_exhausted = self.retry.tokens < RETRY_TOKENS_PER_RETRY
            || open.attempts.len() >= self.settings.limits.max_attempts
            || open.in_flight() > 1;
        let is_other = |id: WorkerId, worker: &Worker| id != unresponsive && worker.is_ready();
        let has_other = !is_exhausted && self.effect_allows_any(open, is_other);
        if !has_other {
            return;
        }
        // Without hedged requests this attempt is cancelled first; its completion leads to the next one.
        if !self.settings.limits.hedged_requests {
            return self.cancel_attempts(id, out);
        }
        self.retry.tokens -= RETRY_TOKENS_PER_RETRY;
        self.dispatch(id, out);
    }
}
