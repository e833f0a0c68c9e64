//! One router's lease to act, and the settings that it acts by.
//!
//! Invariant: a router sends nothing non-idempotent and nothing keyed by settings that the fleet may have replaced. A lease is
//! counted by the router's own monotonic clock from *before* it was requested. The caller checks
//! [`LeaseHolder::send_permission`] before each send, passes on what the registry holds, and carries out the requests of
//! [`LeaseHolder::next_request`].

use crate::document::{ActiveSettings, DocumentVersion, LeaseExpiryPolicy, LeaseTerms, RouterLease, State};
use crate::keys::Keys;
use crate::transaction::{to_json, Entry, Txn, TxnOutcome};
use std::fmt;

/// A lease is renewed after this fraction of its length: a third.
const RENEWAL_DIVISOR: i64 = 3;
/// A request without an answer is abandoned after this fraction of a lease: a half.
const TIMEOUT_DIVISOR: i64 = 2;

/// Whose lease it is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseOwner {
    /// Keys of the records.
    pub keys: Keys,
    /// The router's name.
    pub name: String,
    /// This incarnation of it; no two incarnations of any router have the same.
    pub incarnation: String,
    /// Earlier incarnations of this name that are known to have ended. Each write deletes their leases, because a write that
    /// such an incarnation requested last may arrive late.
    pub previous_incarnations: Vec<String>,
}

/// What a router may send now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendPermission {
    /// Everything, by its active settings.
    All,
    /// Idempotent calls only, once each; others are refused as "not sent".
    Safe,
    /// Nothing: no document is known yet.
    Nothing,
}

/// A request to the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseRequest {
    /// Read the state and the router's own lease, for [`LeaseHolder::on_read`].
    Read,
    /// Do this transaction, and pass its outcome to [`LeaseHolder::on_written`].
    Write(Txn),
}

/// A fault that needs an operator's attention.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseFault {
    /// The registry holds an older content than was seen before; the router keeps its active settings.
    StateRolledBack {
        /// The step that was seen.
        from: u64,
        /// The step in the registry now.
        to: u64,
    },
    /// The lease was deleted or replaced by somebody else; a new one is requested.
    LeaseRevoked,
}

impl fmt::Display for LeaseFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LeaseFault::StateRolledBack { from, to } => {
                write!(f, "the registry went back from step {from} to {to}; the rules stay as they were")
            }
            LeaseFault::LeaseRevoked => {
                write!(f, "the right to act that the registry holds is not the one that was written")
            }
        }
    }
}

impl std::error::Error for LeaseFault {}

/// The revisions of the entries that a write builds on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Revisions {
    state: i64,
    lease: i64,
}

/// A lease that was granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct HeldLease {
    /// When it was requested: its start.
    requested_us: i64,
    terms: LeaseTerms,
}

/// The request that is under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum PendingRequest {
    None,
    Write { requested_us: i64, terms: LeaseTerms, revisions: Revisions },
    Read { requested_us: i64 },
}

/// A write that failed or whose outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct FailedWrite {
    revisions: Revisions,
    requested_us: i64,
}

/// The lease of one router; see the module's documentation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    settings: LeaseOwner,
    /// The newest state that was accepted.
    state: Option<Entry<State>>,
    /// Terms of the next lease, by the documents of `state`.
    terms: Option<LeaseTerms>,
    held: Option<HeldLease>,
    /// The lease in the registry as far as is known.
    written: Option<RouterLease>,
    /// The lease of the last write that was requested.
    attempted: Option<RouterLease>,
    /// The revision of the lease in the registry; 0 if there is none.
    revision: i64,
    /// The registry must be read before anything can be written.
    must_read: bool,
    pending: PendingRequest,
    /// The last write that failed: the same one is not repeated at once.
    failed_write: Option<FailedWrite>,
}

impl LeaseHolder {
    /// A holder without a lease that knows no state.
    #[must_use]
    pub fn new(settings: LeaseOwner) -> Self {
        LeaseHolder {
            settings,
            state: None,
            terms: None,
            held: None,
            written: None,
            attempted: None,
            revision: 0,
            must_read: false,
            pending: PendingRequest::None,
            failed_write: None,
        }
    }

    /// The state by which the router acts.
    #[must_use]
    pub fn state(&self) -> Option<&Entry<State>> {
        self.state.as_ref()
    }

    /// The settings by which the router acts.
    #[must_use]
    pub fn active_settings(&self) -> Option<&ActiveSettings> {
        self.state.as_ref().map(|entry| &entry.value.active_settings)
    }

    /// Accepts a state whose documents were read whole and can be acted by; `documents` are the terms of leases under them, of
    /// which the strictest hold. A state that cannot be acted by must not be passed in, so that it is not acknowledged. Returns
    /// whether it is a new one.
    ///
    /// # Errors
    /// If it is older than the known state; then nothing changes.
    pub fn observe_state(
        &mut self,
        state: &Entry<State>,
        documents: &[LeaseTerms],
    ) -> Result<bool, LeaseFault> {
        if let Some(known) = &self.state {
            check_not_rolled_back(&known.value, &state.value)?;
            if known == state {
                return Ok(false);
            }
            // A router that missed the states in between holds no valid lease any more: a commit has removed it.
            let is_known =
                |version: &DocumentVersion| known.value.active_settings.versions().any(|one| one == version);
            if !state.value.active_settings.versions().any(is_known) {
                self.held = None;
            }
        }
        self.terms = Some(documents.iter().copied().reduce(LeaseTerms::strictest).unwrap_or_default());
        self.state = Some(state.clone());
        Ok(true)
    }

    /// What may be sent at a time, in microseconds of the router's monotonic clock.
    #[must_use]
    pub fn send_permission(&self, now_us: i64) -> SendPermission {
        if self.state.is_none() {
            return SendPermission::Nothing;
        }
        let Some(HeldLease { requested_us, terms }) = &self.held else { return SendPermission::Safe };
        let is_valid =
            terms.expiry_policy == LeaseExpiryPolicy::GoOn || now_us - requested_us < terms.lease_us;
        if is_valid {
            SendPermission::All
        } else {
            SendPermission::Safe
        }
    }

    /// When the permission to send is reduced unless the lease is renewed before; `None` if it is not by time.
    #[must_use]
    pub fn expires_us(&self) -> Option<i64> {
        let HeldLease { requested_us, terms } = self.held.as_ref()?;
        (terms.expiry_policy == LeaseExpiryPolicy::GiveUp)
            .then(|| requested_us.saturating_add(terms.lease_us))
    }

    /// When [`LeaseHolder::next_request`] is due; `None` before a state is known.
    #[must_use]
    pub fn next_request_us(&self) -> Option<i64> {
        let terms = self.terms.as_ref()?;
        match &self.pending {
            PendingRequest::Write { requested_us, .. } | PendingRequest::Read { requested_us } => {
                Some(requested_us + terms.lease_us / TIMEOUT_DIVISOR)
            }
            PendingRequest::None if self.must_read => Some(i64::MIN),
            PendingRequest::None => Some(self.next_write_us(terms)),
        }
    }

    fn next_write_us(&self, terms: &LeaseTerms) -> i64 {
        let renewed = self.held.as_ref().filter(|_| self.is_state_acknowledged());
        let due_us =
            renewed.map_or(i64::MIN, |held| held.requested_us + held.terms.lease_us / RENEWAL_DIVISOR);
        let known = self.known_revisions();
        match self.failed_write.filter(|failed| failed.revisions == known) {
            Some(failed) => due_us.max(failed.requested_us + terms.lease_us / RENEWAL_DIVISOR),
            None => due_us,
        }
    }

    fn known_revisions(&self) -> Revisions {
        Revisions { state: self.state.as_ref().map_or(0, |entry| entry.revision), lease: self.revision }
    }

    /// Whether a lease is held and names the step of the known state.
    fn is_state_acknowledged(&self) -> bool {
        let step = self.state.as_ref().map(|entry| entry.value.step);
        self.held.is_some() && step == self.written.as_ref().map(|lease| lease.step)
    }

    /// The next request to the registry, if one is due; none before a state is known.
    pub fn next_request(&mut self, now_us: i64) -> Option<LeaseRequest> {
        if self.next_request_us()? > now_us {
            return None;
        }
        if self.pending != PendingRequest::None {
            // The request timed out: whether it was done, and so what the registry holds, is unknown.
            self.must_read = true;
        }
        if self.must_read {
            self.pending = PendingRequest::Read { requested_us: now_us };
            return Some(LeaseRequest::Read);
        }
        self.begin_write(now_us).map(LeaseRequest::Write)
    }

    /// The transaction that writes the lease for the known state.
    fn begin_write(&mut self, now_us: i64) -> Option<Txn> {
        let (state, terms) = (self.state.as_ref()?, self.terms?);
        let lease = RouterLease {
            step: state.value.step,
            active_settings: state.value.active_settings.clone(),
            lease_us: terms.lease_us,
            expiry_policy: terms.expiry_policy,
        };
        let LeaseOwner { keys, name, incarnation, previous_incarnations } = &self.settings;
        let own_key = keys.lease(name, incarnation);
        let txn = Txn {
            compares: vec![(keys.state(), state.revision), (own_key.clone(), self.revision)],
            puts: vec![(own_key, to_json(&lease))],
            deletes: previous_incarnations.iter().map(|previous| keys.lease(name, previous)).collect(),
        };
        self.attempted = Some(lease);
        // If the outcome stays unknown, the entry may bind by the new terms while the old lease is held: both are observed.
        if let Some(held) = &mut self.held {
            held.terms = held.terms.strictest(terms);
        }
        let revisions = self.known_revisions();
        self.pending = PendingRequest::Write { requested_us: now_us, terms, revisions };
        Some(txn)
    }

    /// Takes the outcome of a requested write.
    pub fn on_written(&mut self, outcome: TxnOutcome) {
        let pending = std::mem::replace(&mut self.pending, PendingRequest::None);
        let PendingRequest::Write { requested_us, terms, revisions } = pending else { return };
        match outcome {
            TxnOutcome::Succeeded(revision) => {
                self.held = Some(HeldLease { requested_us, terms });
                self.written = self.attempted.take();
                self.revision = revision;
            }
            TxnOutcome::Conflict | TxnOutcome::Unknown => {
                self.must_read = true;
                self.failed_write = Some(FailedWrite { revisions, requested_us });
            }
        }
    }

    /// Takes the result of a requested read: the router's own lease in the registry, if there is one. The state is to be
    /// passed to [`LeaseHolder::observe_state`] before.
    ///
    /// # Errors
    /// If a lease was held and the registry has none, or one that this incarnation did not write last. A registry restored
    /// from a backup does not hold by what the router acts, and a commit would not wait for it.
    pub fn on_read(&mut self, own: Option<&Entry<RouterLease>>) -> Result<(), LeaseFault> {
        if !matches!(self.pending, PendingRequest::Read { .. }) {
            return Ok(());
        }
        self.pending = PendingRequest::None;
        self.must_read = false;
        self.revision = own.map_or(0, |entry| entry.revision);
        let found = own.map(|entry| &entry.value);
        let is_own = [&self.written, &self.attempted].into_iter().any(|lease| lease.as_ref() == found);
        self.written = found.filter(|_| is_own).cloned();
        if self.written.is_none() && self.held.take().is_some() {
            return Err(LeaseFault::LeaseRevoked);
        }
        Ok(())
    }

    /// The transaction that releases the lease at an orderly shutdown, once no call is open any more; `None` if none is held.
    pub fn release(&mut self) -> Option<Txn> {
        self.held.take()?;
        let own_key = self.settings.keys.lease(&self.settings.name, &self.settings.incarnation);
        Some(Txn { deletes: vec![own_key], ..Txn::default() })
    }
}

/// Refuses a state of a lower step, of the same step with another content, or with an older committed document.
fn check_not_rolled_back(known: &State, state: &State) -> Result<(), LeaseFault> {
    let is_rolled_back = state.step < known.step
        || (state.step == known.step && known != state)
        || state.active_settings.committed.number < known.active_settings.committed.number;
    if is_rolled_back {
        return Err(LeaseFault::StateRolledBack { from: known.step, to: state.step });
    }
    Ok(())
}
