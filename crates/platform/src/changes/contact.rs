//! Contact with the change log: when the list was last confirmed, and outages with their cause.

use slatevalve::Micros;

/// Consecutive failures from which on the log counts as out of reach; a single one is repeated at once and is usual.
const FAILURES_OF_OUTAGE: u32 = 2;

/// Why an exchange with the log failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContactFailure {
    /// The connection was not established in time.
    ConnectTimeout,
    /// No complete answer came in time.
    ResponseTimeout,
    /// The connection was refused, or ended before an answer was complete.
    Closed,
    /// The answer was malformed or reported an error.
    InvalidAnswer,
    /// The answer left out numbers or had a malformed member.
    IncompleteAnswer,
}

/// A change of the contact with the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContactEvent {
    /// A complete answer came: every event that the log had when it was asked is known.
    Confirmed {
        /// Time since it was asked.
        age: Micros,
    },
    /// A complete answer came that waited to be read, as the process was paused or busy: what the log has had since is not
    /// known yet.
    Outdated,
    /// The log cannot be reached.
    Lost {
        /// Why the last exchange failed.
        failure: ContactFailure,
        /// Time since the last complete answer; `None` before the first.
        silent_for: Option<Micros>,
    },
    /// The log answers again. [`ContactEvent::Confirmed`] follows.
    Restored {
        /// Consecutive exchanges that had failed.
        failures: u32,
        /// Time from the last complete answer before the outage, or from the first failure, until now.
        outage: Micros,
    },
}

/// What is known of the contact with the log.
#[derive(Debug, Default)]
pub(super) struct Contact {
    confirmed_at: Option<Micros>,
    first_failure_at: Option<Micros>,
    failures: u32,
}

impl Contact {
    /// Whether the last exchange brought a complete answer.
    pub(super) fn is_established(&self) -> bool {
        self.confirmed_at.is_some() && self.failures == 0
    }

    /// Notes a complete answer; returns the end of an outage.
    pub(super) fn confirmed(&mut self, now: Micros) -> Option<ContactEvent> {
        let failures = std::mem::take(&mut self.failures);
        let failed_at = self.first_failure_at.take();
        let began_at = self.confirmed_at.replace(now).or(failed_at).unwrap_or(now);
        let outage = Micros(now.0.saturating_sub(began_at.0));
        (failures >= FAILURES_OF_OUTAGE).then_some(ContactEvent::Restored { failures, outage })
    }

    /// Notes a failed exchange; returns the beginning of an outage.
    pub(super) fn failed(&mut self, now: Micros, failure: ContactFailure) -> Option<ContactEvent> {
        self.failures = self.failures.saturating_add(1);
        self.first_failure_at.get_or_insert(now);
        let silent_for = self.confirmed_at.map(|at| Micros(now.0.saturating_sub(at.0)));
        (self.failures == FAILURES_OF_OUTAGE).then_some(ContactEvent::Lost { failure, silent_for })
    }
}
