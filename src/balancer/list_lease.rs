//! Lease on the worker list: the list may be relied on for a limited time after it was last confirmed.
//!
//! Once the lease has expired, workers may drain without this router being notified. A call or load request
//! is then sent only to a worker that has just shown, by a health check or a served call, that it accepts new
//! work. Workers whose response shows that they accept none, or whose connections broke, are suspended until
//! the list is confirmed again (leases: Gray and Cheriton, SOSP 1989).
//!
//! A health check may show no more than that the process runs. So once a worker has rejected a call, which a
//! draining one does, only served calls show that it accepts work.
//!
//! Which process is at a worker's address then is the concern of `process_identity`.

use super::membership::Worker;
use super::probing::PROBE_WAIT;
use super::statistics::{after, since};
use super::Balancer;
use crate::api::{Action, Micros, Outcome, RequestId, WorkerId};
use std::collections::BTreeSet;

/// A worker's own confirmation is valid for the drain grace divided by this; the rest is reserved for the
/// setup of a connection.
const VERIFICATION_GRACE_DIVISOR: i64 = 2;

/// The lease, and the workers suspended since it expired.
#[derive(Default)]
pub(super) struct ListLease {
    /// When it expires; `None` as long as the list was never confirmed, which means that it does not expire.
    expires_at: Option<Micros>,
    /// Time as of which it was last confirmed to be complete; `None` if it never was.
    confirmed_as_of: Option<Micros>,
    /// Time from a change until the list has it, at most: how long a list may be relied on after it was complete.
    notice_time: Micros,
    /// Whether the list is in use without ever having been confirmed.
    is_assumed: bool,
    /// Workers that are sent nothing until the list is confirmed again.
    suspended: BTreeSet<WorkerId>,
}

impl ListLease {
    /// Whether a worker is sent nothing until the list is confirmed again.
    fn is_suspended(&self, worker: WorkerId) -> bool {
        self.suspended.contains(&worker)
    }

    /// Whether something happened since the lease has expired.
    fn is_since_expiry(&self, at: Micros) -> bool {
        self.expires_at.is_some_and(|expires_at| at >= expires_at)
    }

    /// Time as of which the list was last confirmed to be complete; `None` if it never was.
    pub(super) fn confirmed_as_of(&self) -> Option<Micros> {
        self.confirmed_as_of
    }

    /// Time from a change until the list has it, at most.
    pub(super) fn notice_time(&self) -> Micros {
        self.notice_time
    }

    /// When the lease expires; `None` if it does not.
    pub(super) fn expires_at(&self) -> Option<Micros> {
        self.expires_at
    }

    /// Whether the list is in use without ever having been confirmed.
    pub(super) fn is_assumed(&self) -> bool {
        self.is_assumed
    }
}

impl Balancer {
    /// Renews the lease for the duration `lease` and ends all suspensions, as the list was confirmed.
    pub(super) fn confirm_list(&mut self, as_of: Micros, lease: Micros) {
        if !self.list_names_processes() {
            self.slow_start.invalidate();
        }
        self.list_lease.expires_at = Some(after(self.now, lease));
        self.list_lease.confirmed_as_of = self.list_lease.confirmed_as_of.max(Some(as_of));
        self.list_lease.notice_time = after(since(self.now, as_of), lease);
        self.list_lease.is_assumed = false;
        self.list_lease.suspended.clear();
    }

    /// Begins a lease on a list of unknown age. Every process counts as one that the list does not name, as all
    /// connections are younger.
    pub(super) fn assume_list(&mut self, lease: Micros) {
        self.list_lease.expires_at = Some(after(self.now, lease));
        self.list_lease.confirmed_as_of = Some(self.now);
        self.list_lease.is_assumed = true;
    }

    /// Ends the lease at once, as the list may be out of date.
    pub(super) fn expire_list(&mut self) {
        self.list_lease.expires_at = Some(self.now);
        self.slow_start.invalidate();
    }

    /// Whether the lease is valid, so that the list alone decides which workers accept work.
    pub(super) fn list_is_current(&self) -> bool {
        self.list_lease.expires_at.is_none_or(|at| self.now < at)
    }

    /// Whether a worker may be sent new work: it is ready in the list, and either the list is current or the
    /// worker has recently confirmed its readiness itself.
    pub(super) fn is_confirmed_ready(&self, worker: &Worker) -> bool {
        let verified_at = match self.has_rejected_calls(worker) {
            true => worker.served_at,
            false => worker.verified_at,
        };
        worker.is_ready() && (self.list_is_current() || self.is_recent_verification(verified_at))
    }

    fn is_recent_verification(&self, verified_at: Option<Micros>) -> bool {
        let lifetime = Micros(self.settings.rules.drain_grace.0 / VERIFICATION_GRACE_DIVISOR);
        verified_at.is_some_and(|at| since(self.now, at) <= lifetime)
    }

    /// Whether a worker has rejected a call since the lease expired, and served none that was sent later.
    fn has_rejected_calls(&self, worker: &Worker) -> bool {
        worker
            .rejected_at
            .is_some_and(|at| self.list_lease.is_since_expiry(at) && worker.served_at < Some(at))
    }

    /// Records that a worker has rejected a call.
    pub(super) fn record_rejection(&mut self, worker: WorkerId) {
        if let Some(worker) = self.membership.workers.get_mut(&worker) {
            worker.rejected_at = Some(self.now);
        }
    }

    /// Whether a worker may be draining while the list is out of date, so that it is sent nothing: its
    /// connections broke, it said so itself, or it rejects calls.
    pub(super) fn may_be_draining(&self, id: WorkerId, worker: &Worker) -> bool {
        let rejects = self.has_rejected_calls(worker) && !self.is_recent_verification(worker.served_at);
        self.list_lease.is_suspended(id) || rejects
    }

    /// Whether a worker has rejected a load request since the lease expired: for lack of room, or as it
    /// drains.
    pub(super) fn has_rejected_loads(&self, worker: &Worker) -> bool {
        worker.load_rejected_at.is_some_and(|at| self.list_lease.is_since_expiry(at))
    }

    /// Suspends a worker while the list is out of date, if the outcome shows that it accepts no new work or
    /// that its process ended.
    pub(super) fn suspend_if_list_expired(&mut self, worker: WorkerId, outcome: Outcome) {
        let shows_unavailable = matches!(outcome, Outcome::Error | Outcome::Reset | Outcome::ConnectFailed);
        if shows_unavailable && !self.list_is_current() {
            self.list_lease.suspended.insert(worker);
        }
    }

    /// Delays a request until the worker has confirmed by a health check that it accepts new work. Returns
    /// whether the request waits.
    pub(super) fn verify_first(&mut self, id: RequestId, worker_id: WorkerId, out: &mut Vec<Action>) -> bool {
        let Some(worker) = self.membership.workers.get(&worker_id) else { return false };
        if self.is_confirmed_ready(worker) {
            return false;
        }
        let may_probe = self.settings.limits.probes;
        let Some(worker) = self.membership.workers.get_mut(&worker_id) else { return false };
        if may_probe && worker.probe_sent_at.is_none() {
            worker.probe_sent_at = Some(self.now);
            out.push(Action::Probe { worker: worker_id });
        }
        if may_probe && !worker.awaiting_probe.contains(&id) {
            worker.awaiting_probe.push(id);
        }
        self.wait(id, after(self.now, PROBE_WAIT), out);
        true
    }
}
