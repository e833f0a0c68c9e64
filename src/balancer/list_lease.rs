//! Lease on the worker list: it may be acted on for a limited time after it was last confirmed.
//!
//! Once the lease has expired, workers may drain without this router hearing of it. A call or a load request then goes only to a
//! worker that has just confirmed by a health check, or by a call that it served, that it takes new work. Workers that said
//! otherwise, or whose connections broke, are left alone until the list is confirmed again (leases: Gray and Cheriton,
//! SOSP 1989).

use super::membership::Worker;
use super::probing::PROBE_WAIT;
use super::statistics::{after, since};
use super::Balancer;
use crate::api::{Action, Micros, Outcome, RequestId, WorkerId};
use std::collections::BTreeSet;

/// A worker's own word counts for the drain grace divided by this; the rest is left for a connection to come up.
const VERIFICATION_GRACE_DIVISOR: i64 = 2;

/// The lease, and what workers said of themselves since it expired.
#[derive(Default)]
pub(super) struct ListLease {
    /// When it expires; `None` where the list needs no confirmation.
    expires_at: Option<Micros>,
    /// Workers that are not used until the list is confirmed again.
    suspended: BTreeSet<WorkerId>,
}

impl ListLease {
    /// Whether a worker is left alone until the list is confirmed again.
    pub(super) fn is_suspended(&self, worker: WorkerId) -> bool {
        self.suspended.contains(&worker)
    }
}

impl Balancer {
    /// The list is complete as of now and may be acted on for `lease`.
    pub(super) fn confirm_list(&mut self, lease: Micros) {
        self.list_lease.expires_at = Some(after(self.now, lease));
        self.list_lease.suspended.clear();
    }

    /// Whether the list may be acted on.
    pub(super) fn list_is_current(&self) -> bool {
        self.list_lease.expires_at.is_none_or(|at| self.now < at)
    }

    /// Whether a worker that the list calls ready may be sent new work: by the list, or else by its own word.
    pub(super) fn is_confirmed_ready(&self, worker: &Worker) -> bool {
        let lifetime = Micros(self.settings.rules.drain_grace.0 / VERIFICATION_GRACE_DIVISOR);
        let is_verified = || worker.verified_at.is_some_and(|at| since(self.now, at) <= lifetime);
        worker.is_ready() && (self.list_is_current() || is_verified())
    }

    /// Leaves a worker alone while the list is out of date, if the outcome shows that it takes no new work or that its
    /// process ended.
    pub(super) fn suspend_if_unlisted(&mut self, worker: WorkerId, outcome: Outcome) {
        let shows_end = matches!(outcome, Outcome::Error | Outcome::Reset | Outcome::ConnectFailed);
        if shows_end && !self.list_is_current() {
            self.list_lease.suspended.insert(worker);
        }
    }

    /// Has a request wait until the worker has confirmed by a health check that it takes new work. Returns whether it
    /// waits.
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
