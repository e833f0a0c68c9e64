//! The rollout coordinator: takes a change from prepared to committed.
//!
//! Invariant: a commit is made only once every router that may act has acknowledged the prepared state, or cannot act by rules
//! that contradict it. A decision is based on one snapshot of the registry, and its transaction compares all that it relied
//! on. Coordinators share no state, may stop at any step and may be several: the registry lets one of them win. Run by
//! commands, and by routers where no command is at work.

use crate::compare::contradictions;
use crate::document::{ActiveSettings, DocumentVersion, LeaseExpiryPolicy, RouterLease};
use crate::keys::{Keys, RouterId};
use crate::snapshot::Snapshot;
use crate::terms::Terms;
use crate::transaction::{to_json, Entry, Txn};
use std::collections::BTreeMap;

/// The largest clock drift that is reckoned with, in parts per million: half.
const MAX_DRIFT_PPM: i64 = 500_000;
/// Parts per million of one.
const MILLION: i128 = 1_000_000;

/// Why an acknowledgement is awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum WaitReason {
    /// The router continues by its active settings: until it is back or is declared gone.
    Acknowledgement,
    /// Its lease must have ended by then, in microseconds of the coordinator's clock.
    LeaseExpiry(i64),
    /// Its lease cannot be read here.
    UnreadableLease,
}

/// A router whose acknowledgement is awaited.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PendingAck {
    /// The router's name.
    pub name: String,
    /// The incarnation of it.
    pub incarnation: String,
    /// Why.
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
    /// Nothing is prepared.
    Idle,
    /// These routers are awaited.
    Wait(Vec<PendingAck>),
    /// This transaction commits the change.
    Commit(Txn),
}

/// A lease as it was first seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SeenLease {
    revision: i64,
    /// When the first answer with this revision arrived.
    first_seen_us: i64,
}

/// The coordinator of one change; see the module's documentation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RolloutCoordinator {
    keys: Keys,
    /// How much faster or slower than true time a clock may run, in parts per million.
    drift_ppm: i64,
    /// The leases of the last snapshot.
    seen: BTreeMap<RouterId, SeenLease>,
}

impl RolloutCoordinator {
    /// A coordinator that trusts clocks to within `drift_ppm` parts per million, at most half.
    #[must_use]
    pub fn new(keys: Keys, drift_ppm: i64) -> Self {
        RolloutCoordinator { keys, drift_ppm: drift_ppm.clamp(0, MAX_DRIFT_PPM), seen: BTreeMap::new() }
    }

    /// Decides the next step by a snapshot that arrived at `now_us`, with the terms of documents where they can be read.
    pub fn advance(
        &mut self,
        now_us: i64,
        snapshot: &Snapshot,
        terms: impl Fn(&DocumentVersion) -> Option<Terms>,
    ) -> RolloutStep {
        self.observe_leases(now_us, snapshot);
        let Some(Entry { value: state, revision }) = &snapshot.state else { return RolloutStep::Idle };
        let Some(prepared) = &state.active_settings.prepared else { return RolloutStep::Idle };
        let mut tolerance = Tolerance::of(prepared, &terms);
        let unreadable = snapshot.unreadable_leases.iter();
        let mut awaited: Vec<PendingAck> =
            unreadable.map(|id| PendingAck::new(id, WaitReason::UnreadableLease)).collect();
        let mut commit = Txn { compares: vec![(self.keys.state(), *revision)], ..Txn::default() };
        for (id, entry) in snapshot.leases.iter().filter(|(_, entry)| !entry.value.acknowledges(state)) {
            match self.wait_reason(now_us, id, &entry.value) {
                Some(reason) if !tolerance.covers(&entry.value.active_settings) => {
                    awaited.push(PendingAck::new(id, reason));
                }
                Some(_) => {}
                None => self.delete_ended(&mut commit, id, entry.revision),
            }
        }
        if !awaited.is_empty() {
            return RolloutStep::Wait(awaited);
        }
        commit.puts.push((self.keys.state(), to_json(&state.successor(prepared.clone()))));
        RolloutStep::Commit(commit)
    }

    /// Notes when each lease's revision was first seen.
    fn observe_leases(&mut self, now_us: i64, snapshot: &Snapshot) {
        self.seen.retain(|id, _| snapshot.leases.contains_key(id));
        for (id, entry) in &snapshot.leases {
            let now_seen = SeenLease { revision: entry.revision, first_seen_us: now_us };
            let seen = self.seen.entry(id.clone()).or_insert(now_seen);
            if seen.revision != entry.revision {
                *seen = now_seen;
            }
        }
    }

    /// Why to wait for a lease that does not acknowledge; `None` if it has ended.
    fn wait_reason(&self, now_us: i64, id: &RouterId, lease: &RouterLease) -> Option<WaitReason> {
        if lease.expiry_policy == LeaseExpiryPolicy::GoOn {
            return Some(WaitReason::Acknowledgement);
        }
        let first_seen_us = self.seen.get(id).map_or(now_us, |seen| seen.first_seen_us);
        let ends_us = first_seen_us.saturating_add(self.longest_lease_us(lease.lease_us));
        (now_us < ends_us).then_some(WaitReason::LeaseExpiry(ends_us))
    }

    /// How long to wait, by a clock that may run fast, until a lease has ended that is measured by one that may run slow.
    fn longest_lease_us(&self, lease_us: i64) -> i64 {
        let drift = i128::from(self.drift_ppm);
        let (fast, slow) = (MILLION + drift, MILLION - drift);
        let wait = (i128::from(lease_us.max(0)) * fast + slow - 1) / slow;
        i64::try_from(wait).unwrap_or(i64::MAX)
    }

    /// Deletes a lease that has ended, unless the router has renewed it meanwhile.
    fn delete_ended(&self, commit: &mut Txn, id: &RouterId, revision: i64) {
        let key = self.keys.lease(&id.name, &id.incarnation);
        commit.compares.push((key.clone(), revision));
        commit.deletes.push(key);
    }
}

/// Which active settings contradict a prepared document in nothing. Each is compared once, as many routers act by the same.
struct Tolerance<'a, F> {
    prepared: Option<Terms>,
    terms: &'a F,
    compared: BTreeMap<&'a ActiveSettings, bool>,
}

impl<'a, F: Fn(&DocumentVersion) -> Option<Terms>> Tolerance<'a, F> {
    fn of(prepared: &DocumentVersion, terms: &'a F) -> Self {
        Tolerance { prepared: terms(prepared), terms, compared: BTreeMap::new() }
    }

    /// Whether these settings are compatible; settings whose documents cannot be read are not.
    fn covers(&mut self, active_settings: &'a ActiveSettings) -> bool {
        if let Some(known) = self.compared.get(active_settings) {
            return *known;
        }
        let old = Terms::of_settings(active_settings, self.terms);
        let both = old.zip(self.prepared.as_ref());
        let covered = both.is_some_and(|(old, new)| contradictions(&old, new).is_empty());
        self.compared.insert(active_settings, covered);
        covered
    }
}
