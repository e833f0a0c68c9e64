//! The rollout coordinator: takes a change from prepared to committed.
//!
//! Invariant: a change is committed only once every router that may still apply its active settings has
//! acknowledged the prepared state, or has active settings that do not contradict the prepared document. A
//! router may apply them until its lease has expired, and beyond that under [`LeaseExpiryPolicy::GoOn`]. Each
//! decision is based on one snapshot of the registry, and the resulting transaction compares every revision
//! that it relied on.
//! Coordinators share no state and may stop at any step; if several run at once, the registry accepts the
//! transaction of one of them. Commands run a coordinator, and routers run one when no command does.

use crate::compare::contradictions;
use crate::document::{ActiveSettings, DocumentVersion, LeaseExpiryPolicy, RouterLease};
use crate::keys::{Keys, RouterId};
use crate::snapshot::Snapshot;
use crate::terms::Terms;
use crate::transaction::{to_json, Entry, Txn};
use std::collections::BTreeMap;

/// The largest clock drift that a coordinator can be configured for, in parts per million (50 %).
const MAX_DRIFT_PPM: i64 = 500_000;
const MILLION: i128 = 1_000_000;

/// Why a rollout waits for a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum WaitReason {
    /// The router keeps its active settings past the end of its lease ([`LeaseExpiryPolicy::GoOn`]). The wait
    /// has no time limit: it ends when the router acknowledges the change or an operator declares it gone.
    Acknowledgement,
    /// The router has not acknowledged; its lease has expired at the latest at this time, in microseconds of
    /// the coordinator's clock.
    LeaseExpiry(i64),
    /// The router's lease record cannot be decoded.
    UnreadableLease,
}

/// A router that has not acknowledged the prepared state and blocks its commit.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PendingAck {
    /// The configured name, which all incarnations of the router share.
    pub name: String,
    /// The incarnation that holds the lease.
    pub incarnation: String,
    /// What the commit waits for.
    pub reason: WaitReason,
}

impl PendingAck {
    fn new(id: &RouterId, reason: WaitReason) -> Self {
        PendingAck { name: id.name.clone(), incarnation: id.incarnation.clone(), reason }
    }
}

/// The next step of a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutStep {
    /// No change is prepared.
    Idle,
    /// The commit is blocked by these routers.
    Wait(Vec<PendingAck>),
    /// The change can be committed by this transaction, which also deletes expired leases.
    Commit(Txn),
}

/// When this coordinator first observed the current revision of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SeenLease {
    revision: i64,
    /// Arrival time of the first snapshot with this revision, by the coordinator's clock.
    first_seen_us: i64,
}

/// Decides when a prepared change can be committed; see the module's documentation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RolloutCoordinator {
    keys: Keys,
    /// Largest assumed deviation of a clock's rate from true time, in either direction, in parts per million.
    drift_ppm: i64,
    /// The leases of the last snapshot.
    observed: BTreeMap<RouterId, SeenLease>,
}

impl RolloutCoordinator {
    /// `drift_ppm` is the largest assumed deviation of a clock's rate from true time, in parts per million;
    /// it is clamped to 0..=500,000.
    #[must_use]
    pub fn new(keys: Keys, drift_ppm: i64) -> Self {
        RolloutCoordinator { keys, drift_ppm: drift_ppm.clamp(0, MAX_DRIFT_PPM), observed: BTreeMap::new() }
    }

    /// Decides the next step from a snapshot that arrived at `now_us`. `terms` returns the terms of a
    /// document, or `None` if the document cannot be read; its terms then count as contradicting.
    pub fn advance(
        &mut self,
        now_us: i64,
        snapshot: &Snapshot,
        terms: impl Fn(&DocumentVersion) -> Option<Terms>,
    ) -> RolloutStep {
        self.observe_leases(now_us, snapshot);
        let Some(Entry { value: state, revision }) = &snapshot.state else { return RolloutStep::Idle };
        let Some(prepared) = &state.active_settings.prepared else { return RolloutStep::Idle };
        let mut compatibility = CompatibilityCheck::new(prepared, &terms);
        let unreadable = snapshot.unreadable_leases.iter();
        let mut pending: Vec<PendingAck> =
            unreadable.map(|id| PendingAck::new(id, WaitReason::UnreadableLease)).collect();
        let mut commit = Txn { compares: vec![(self.keys.state(), *revision)], ..Txn::default() };
        for (id, entry) in snapshot.leases.iter().filter(|(_, entry)| !entry.value.acknowledges(state)) {
            match self.wait_reason(now_us, id, &entry.value) {
                Some(reason) if !compatibility.is_compatible(&entry.value.active_settings) => {
                    pending.push(PendingAck::new(id, reason));
                }
                Some(_) => {}
                None => self.delete_expired(&mut commit, id, entry.revision),
            }
        }
        if !pending.is_empty() {
            return RolloutStep::Wait(pending);
        }
        commit.puts.push((self.keys.state(), to_json(&state.successor(prepared.clone()))));
        RolloutStep::Commit(commit)
    }

    /// Records when the current revision of each lease was first seen.
    fn observe_leases(&mut self, now_us: i64, snapshot: &Snapshot) {
        self.observed.retain(|id, _| snapshot.leases.contains_key(id));
        for (id, entry) in &snapshot.leases {
            let now_seen = SeenLease { revision: entry.revision, first_seen_us: now_us };
            let seen = self.observed.entry(id.clone()).or_insert(now_seen);
            if seen.revision != entry.revision {
                *seen = now_seen;
            }
        }
    }

    /// Why a router whose lease does not acknowledge the state must be waited for; `None` if the lease has
    /// expired.
    fn wait_reason(&self, now_us: i64, id: &RouterId, lease: &RouterLease) -> Option<WaitReason> {
        if lease.expiry_policy == LeaseExpiryPolicy::GoOn {
            return Some(WaitReason::Acknowledgement);
        }
        let first_seen_us = self.observed.get(id).map_or(now_us, |seen| seen.first_seen_us);
        let expiry_us = first_seen_us.saturating_add(self.max_lease_duration_us(lease.lease_us));
        (now_us < expiry_us).then_some(WaitReason::LeaseExpiry(expiry_us))
    }

    /// Upper bound of a lease's duration by the coordinator's clock, which may run fast, while the router
    /// measures the lease by a clock that may run slow.
    fn max_lease_duration_us(&self, lease_us: i64) -> i64 {
        let drift = i128::from(self.drift_ppm);
        let (fast, slow) = (MILLION + drift, MILLION - drift);
        let wait = (i128::from(lease_us.max(0)) * fast + slow - 1) / slow;
        i64::try_from(wait).unwrap_or(i64::MAX)
    }

    /// Adds the deletion of an expired lease; the commit fails if the router has renewed the lease in the
    /// meantime.
    fn delete_expired(&self, commit: &mut Txn, id: &RouterId, revision: i64) {
        let key = self.keys.lease(&id.name, &id.incarnation);
        commit.compares.push((key.clone(), revision));
        commit.deletes.push(key);
    }
}

/// Decides which active settings are compatible with a prepared document. Results are cached, because many
/// routers have the same active settings.
struct CompatibilityCheck<'a, F> {
    prepared: Option<Terms>,
    terms: &'a F,
    cache: BTreeMap<&'a ActiveSettings, bool>,
}

impl<'a, F: Fn(&DocumentVersion) -> Option<Terms>> CompatibilityCheck<'a, F> {
    fn new(prepared: &DocumentVersion, terms: &'a F) -> Self {
        CompatibilityCheck { prepared: terms(prepared), terms, cache: BTreeMap::new() }
    }

    /// Whether these settings contradict the prepared document nowhere; false if a document cannot be read.
    fn is_compatible(&mut self, active_settings: &'a ActiveSettings) -> bool {
        if let Some(known) = self.cache.get(active_settings) {
            return *known;
        }
        let old = Terms::of_settings(active_settings, self.terms);
        let both = old.zip(self.prepared.as_ref());
        let is_compatible = both.is_some_and(|(old, new)| contradictions(&old, new).is_empty());
        self.cache.insert(active_settings, is_compatible);
        is_compatible
    }
}
