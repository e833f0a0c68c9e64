//! Lease on the worker list: the list may be relied on for a limited time after it was last confirmed.
//!
//! Once the lease has expired, workers may drain without this router being notified. A call or load request
//! is then sent only to a worker that has just shown, by a health check or a served call, that it accepts new
//! work. Workers whose response shows that they accept none, or whose connections broke, are suspended until
//! the list is confirmed again (leases: Gray and Cheriton, SOSP 1989).

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
    /// Workers that are sent nothing until the list is confirmed again.
    suspended: BTreeSet<WorkerId>,
}

impl ListLease {
    /// Whether a worker is sent nothing until the list is confirmed again.
    pub(super) fn is_suspended(&self, worker: WorkerId) -> bool {
        self.suspended.contains(&worker)
    }
}

impl Balancer {
    /// Renews the lease for the duration `lease` and ends all suspensions, as the list is complete as of now.
    pub(super) fn confirm_list(&mut self, lease: Micros) {
        self.list_lease.expires_at = Some(after(self.now, lease));
        self.list_lease.suspended.clear();
    }

    /// Whether the lease is valid, so that the list alone decides which workers accept work.
    pub(super) fn list_is_current(&self) -> bool {
        self.list_lease.expires_at.is_none_or(|at| self.now < at)
    }

    /// Whether a worker may be sent new work: it is ready in the list, and either the list is current or the
    /// worker has recently confirmed its readiness itself.
    pub(super) fn is_confirmed_ready(&self, worker: &Worker) -> bool {
        let lifetime = Micros(self.settings.rules.drain_grace.0 / VERIFICATION_GRACE_DIVISOR);
        let is_verified = || worker.verified_at.is_some_and(|at| since(self.now, at) <= lifetime);
        worker.is_ready() && (self.list_is_current() || is_verified())
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
