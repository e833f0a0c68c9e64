//! Outlier detection: failure records of each worker's connections and request classes, and passive ejection.

use super::membership::Worker;
use super::probing::CONTACT_MAX_AGE;
use super::statistics::{after, since};
use super::Balancer;
use crate::api::{Micros, WorkerId};

/// Ejection after a first failure; doubled with each consecutive one.
const EJECTION_BASE: Micros = Micros(1_500_000);
/// Ejection after a first rejection for overload, which is shorter as overload passes sooner; doubled with
/// each consecutive one.
pub(super) const OVERLOAD_EJECTION_BASE: Micros = Micros(400_000);
/// Maximum count of consecutive failures, which limits the ejection to eight times its base.
const CONSECUTIVE_FAILURES_MAX: u32 = 4;

/// What a failure indicates.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum FailureKind {
    /// An error, a timeout or a broken connection.
    Fault,
    /// A rejection for overload.
    Overload,
}

/// Consecutive failures of one worker, in one class or on its connections, and the resulting ejection. After
/// the ejection, the next attempt either ejects the worker again or clears the record.
#[derive(Clone, Copy, Default)]
pub(super) struct FailureRecord {
    pub(super) consecutive_failures: u32,
    ejected_until: Micros,
    /// Whether the last counted failure was an overload.
    pub(super) is_overload: bool,
    /// A first fault at a worker that serves other calls was not counted; the next one will be.
    is_suspected: bool,
}

impl FailureRecord {
    /// Records a failure. For a worker that serves other calls (`is_active`) the first fault is not counted:
    /// a single error or reset indicates little, and each ejection causes loads of its functions at other
    /// workers.
    fn record_failure(&mut self, now: Micros, kind: FailureKind, is_active: bool) {
        let is_overload = kind == FailureKind::Overload;
        if now >= self.ejected_until
            && (is_overload
                || !is_active
                || self.consecutive_failures > 0
                || std::mem::replace(&mut self.is_suspected, true))
        {
            let base = if is_overload { OVERLOAD_EJECTION_BASE } else { EJECTION_BASE };
            self.consecutive_failures = (self.consecutive_failures + 1).min(CONSECUTIVE_FAILURES_MAX);
            self.ejected_until = after(now, Micros(base.0 << (self.consecutive_failures - 1)));
            self.is_overload = is_overload;
        }
    }

    /// Clears the record after a success, unless the attempt was sent before the failures.
    fn record_success(&mut self, now: Micros, sent_at: Micros) {
        let base = if self.is_overload { OVERLOAD_EJECTION_BASE } else { EJECTION_BASE };
        if since(self.ejected_until, sent_at) < base {
            let ejected_until = self.ejected_until.min(now);
            *self = FailureRecord { ejected_until, ..FailureRecord::default() };
        }
    }
}

impl Worker {
    /// Whether it completed an attempt successfully within the last `CONTACT_MAX_AGE`.
    pub(super) fn is_active(&self, now: Micros) -> bool {
        since(now, self.last_success) < CONTACT_MAX_AGE
    }

    /// Whether it has counted failures that no success has cleared, whether it is still ejected or not.
    pub(super) fn is_suspect(&self) -> bool {
        self.connection_failures.consecutive_failures > 0
            || self.class_failures.iter().any(|record| record.consecutive_failures > 0)
    }

    /// The worst record that applies to the class: that of the connections, its own, or the second worst of
    /// all classes. Two failing classes count against the worker for all classes; a single one does not, as a
    /// worker may fail one class and serve the others.
    pub(super) fn failure_record(&self, class: usize, now: Micros) -> FailureRecord {
        let own = self.class_failures.get(class).copied().unwrap_or_default();
        let applies = |record: &&FailureRecord| {
            record.consecutive_failures > 0 && (now < record.ejected_until || self.in_flight > 0)
        };
        // The worst and the second worst class; in a tie the class of lower index is the worse one.
        let (mut worst, mut second) = (FailureRecord::default(), FailureRecord::default());
        for record in self.class_failures.iter().filter(applies) {
            if record.consecutive_failures > worst.consecutive_failures {
                (worst, second) = (*record, worst);
            } else if record.consecutive_failures > second.consecutive_failures {
                second = *record;
            }
        }
        let records = [self.connection_failures, own, second].into_iter();
        let applicable = records.filter(|record| applies(&record));
        applicable.max_by_key(|record| record.consecutive_failures).unwrap_or_default()
    }
}

impl Balancer {
    /// Records a success of the class at the worker, for an attempt sent at `sent_at`.
    pub(super) fn record_success(&mut self, worker: WorkerId, class: usize, sent_at: Micros) {
        let Some(worker) = self.membership.workers.get_mut(&worker) else { return };
        (worker.last_success, worker.last_contact) = (self.now, Some(self.now));
        worker.verified_at = worker.verified_at.max(Some(sent_at));
        worker.served_at = worker.served_at.max(Some(sent_at));
        worker.connection_failures.record_success(self.now, sent_at);
        if let Some(record) = worker.class_failures.get_mut(class) {
            record.record_success(self.now, sent_at);
        }
    }

    /// Records a failure of the class at the worker.
    pub(super) fn record_class_failure(&mut self, worker: WorkerId, class: usize, kind: FailureKind) {
        let Some(worker) = self.membership.workers.get_mut(&worker) else { return };
        let is_active = worker.is_active(self.now);
        if kind == FailureKind::Overload {
            worker.last_contact = Some(self.now);
        }
        if let Some(record) = worker.class_failures.get_mut(class) {
            record.record_failure(self.now, kind, is_active);
        }
    }

    /// Records a failure of the worker's connections.
    pub(super) fn record_connection_failure(&mut self, worker: WorkerId) {
        let Some(worker) = self.membership.workers.get_mut(&worker) else { return };
        let is_active = worker.is_active(self.now);
        worker.connection_failures.record_failure(self.now, FailureKind::Fault, is_active);
    }
}
