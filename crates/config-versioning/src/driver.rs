//! Carries a change from prepared to committed.
//!
//! It guards the commit: it is asked for only once every router that may act has said yes to the prepared state, or cannot act
//! by rules that contradict it. What it decides by is one reading of the registry; its transaction compares all that it
//! relied on. Drivers share nothing, may stop at any step and may be several: the registry lets one of them win. Called by
//! commands, and by routers where no command is at work.

use crate::compare::contradictions;
use crate::document::{
    bytes, ActLease, ActiveSettings, DocumentVersion, Entry, Keys, LeaseExpiryPolicy, Reading, State, Txn,
};
use crate::terms::Terms;
use std::collections::BTreeMap;

/// Why a router is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Wait {
    /// It has not said yes and goes on by the rules it has: until it is back or declared gone.
    ForItsWord,
    /// It has not said yes; its right must have ended by then, in microseconds of the driver's clock.
    UntilItsRightEnds(i64),
    /// What it wrote cannot be read here.
    Unread,
}

/// A router that is waited for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PendingAck {
    /// Its name.
    pub name: String,
    /// Which life of it.
    pub life: String,
    /// Why.
    pub wait: Wait,
}

/// What a driver does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Nothing is prepared.
    Nothing,
    /// These are waited for.
    Wait(Vec<PendingAck>),
    /// This commits the change.
    Commit(Txn),
}

/// See the module's documentation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RolloutCoordinator {
    keys: Keys,
    /// How much faster or slower than true time a clock may go, in parts of a million.
    drift_ppm: i64,
    /// Rights that have not moved: the revision, and when an answer with it came first.
    seen: BTreeMap<(String, String), (i64, i64)>,
}

impl RolloutCoordinator {
    /// A driver that trusts clocks within `drift_ppm` parts of a million, at most half.
    pub fn new(keys: Keys, drift_ppm: i64) -> Self {
        RolloutCoordinator { keys, drift_ppm: drift_ppm.clamp(0, 500_000), seen: BTreeMap::new() }
    }

    /// How long to wait by a clock that may go fast until a right has ended that is measured by one that may go slow.
    fn ended_after(&self, right_us: i64) -> i64 {
        let million = 1_000_000_i128;
        let (fast, slow) = (million + i128::from(self.drift_ppm), million - i128::from(self.drift_ppm));
        let wait = (i128::from(right_us.max(0)) * fast + slow - 1) / slow;
        i64::try_from(wait).unwrap_or(i64::MAX)
    }

    /// Looks at a reading whose answer came at `now_us`, with the terms of documents where they can be read.
    pub fn look(
        &mut self,
        now_us: i64,
        reading: &Reading,
        terms: impl Fn(&DocumentVersion) -> Option<Terms>,
    ) -> Next {
        self.seen.retain(|id, _| reading.rights.contains_key(id));
        for (id, entry) in &reading.rights {
            let seen = self.seen.entry(id.clone()).or_insert((entry.revision, now_us));
            if seen.0 != entry.revision {
                *seen = (entry.revision, now_us);
            }
        }
        let Some(Entry { value: state, revision }) = &reading.state else { return Next::Nothing };
        let Some(prepared) = &state.stance.prepared else { return Next::Nothing };
        let new = terms(prepared);
        // Many routers act by the same documents: each stance is compared once.
        let mut borne: BTreeMap<&ActiveSettings, bool> = BTreeMap::new();
        let mut bears = |stance| {
            *borne.entry(stance).or_insert_with(|| {
                let old = Terms::of(stance, &terms).zip(new.as_ref());
                old.is_some_and(|(old, new)| contradictions(&old, new).is_empty())
            })
        };
        let unread = reading.unread_rights.iter();
        let mut awaited: Vec<PendingAck> = unread
            .map(|(n, l)| PendingAck { name: n.clone(), life: l.clone(), wait: Wait::Unread })
            .collect();
        let mut txn = Txn { compares: vec![(self.keys.state(), *revision)], ..Txn::default() };
        for (id, entry) in reading.rights.iter().filter(|(_, e)| !e.value.acknowledges(state)) {
            if let Some(wait) = self.wait(now_us, id, &entry.value) {
                if !bears(&entry.value.stance) {
                    awaited.push(PendingAck { name: id.0.clone(), life: id.1.clone(), wait });
                }
                continue;
            }
            let key = self.keys.right(&id.0, &id.1);
            txn.compares.push((key.clone(), entry.revision));
            txn.deletes.push(key);
        }
        if !awaited.is_empty() {
            return Next::Wait(awaited);
        }
        let stance = ActiveSettings { committed: prepared.clone(), prepared: None };
        let state = State { step: state.step + 1, stance, last: state.last };
        txn.puts.push((self.keys.state(), bytes(&state)));
        Next::Commit(txn)
    }

    /// What to wait for before a right that says no has ended; nothing where it has.
    fn wait(&self, now_us: i64, id: &(String, String), right: &ActLease) -> Option<Wait> {
        if right.doubt == LeaseExpiryPolicy::GoOn {
            return Some(Wait::ForItsWord);
        }
        let since = self.seen.get(id).map_or(now_us, |s| s.1);
        let until = since.saturating_add(self.ended_after(right.right_us));
        (now_us < until).then_some(Wait::UntilItsRightEnds(until))
    }
}
