//! Availability of the change log: when the list was last confirmed, and outages with their cause.

use slatevalve::Micros;

/// Consecutive failures after which an outage is reported. Single failures are common, and are retried
/// immediately.
const FAILURES_OF_OUTAGE: u32 = 2;

/// Why a poll of the log failed. Variant names appear in the log field `failure`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContactFailure {
    /// The connection was not established in time.
    ConnectTimeout,
    /// No complete answer arrived in time.
    ResponseTimeout,
    /// The connection was refused, or ended before an answer was complete.
    Closed,
    /// The answer was malformed or had a status other than 200.
    InvalidAnswer,
    /// The answer omitted sequence numbers or had a malformed member.
    IncompleteAnswer,
}

/// A confirmation of the list, or the beginning or end of an outage of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContactEvent {
    /// A complete answer was read: the list includes every event that the log had when it was polled.
    Confirmed {
        /// Time since the poll was written.
        age: Micros,
    },
    /// A complete answer was read late, because the process was paused or busy: the log may have had further
    /// events since.
    Outdated,
    /// The log is unreachable.
    Lost {
        /// Why the last poll failed.
        failure: ContactFailure,
        /// Time since the last complete answer; `None` before the first.
        silent_for: Option<Micros>,
    },
    /// The outage ended. [`ContactEvent::Confirmed`] or [`ContactEvent::Outdated`] follows.
    Restored {
        /// Number of consecutive polls that failed.
        failures: u32,
        /// Time from the last complete answer before the outage, or from the first failure, until now.
        outage: Micros,
    },
}

/// Tracks confirmations and failures of the polls.
#[derive(Debug, Default)]
pub(super) struct Contact {
    confirmed_at: Option<Micros>,
    first_failure_at: Option<Micros>,
    failures: u32,
}

impl Contact {
    /// Whether the last poll brought a complete answer.
    pub(super) fn is_established(&self) -> bool {
        self.confirmed_at.is_some() && self.failures == 0
    }

    /// Records a complete answer; returns an event if it ends an outage.
    pub(super) fn confirmed(&mut self, now: Micros) -> Option<ContactEvent> {
        let failures = std::mem::take(&mut self.failures);
        let failed_at = self.first_failure_at.take();
        let began_at = self.confirmed_at.replace(now).or(failed_at).unwrap_or(now);
        let outage = Micros(now.0.saturating_sub(began_at.0));
        (failures >= FAILURES_OF_OUTAGE).then_some(ContactEvent::Restored { failures, outage })
    }

    /// Records a failed poll; returns an event if an outage begins with it.
    pub(super) fn failed(&mut self, now: Micros, failure: ContactFailure) -> Option<ContactEvent> {
        self.failures = self.failures.saturating_add(1);
        self.first_failure_at.get_or_insert(now);
        let silent_for = self.confirmed_at.map(|at| Micros(now.0.saturating_sub(at.0)));
        (self.failures == FAILURES_OF_OUTAGE).then_some(ContactEvent::Lost { failure, silent_for })
    }
}
