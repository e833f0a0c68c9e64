//! One router's lease and its active settings.
//!
//! Invariant: a router sends no non-idempotent and no keyed call under settings that the fleet may have
//! replaced. A lease is measured by the router's monotonic clock, starting *before* the lease was requested.
//! The caller checks [`LeaseHolder::send_permission`] before each send, passes in what it reads from the
//! registry, and performs the requests that [`LeaseHolder::next_request`] returns.

use crate::document::{ActiveSettings, DocumentVersion, LeaseExpiryPolicy, LeaseTerms, RouterLease, State};
use crate::keys::Keys;
use crate::transaction::{to_json, Entry, Txn, TxnOutcome};
use std::fmt;

/// A lease is renewed after `1 / RENEWAL_DIVISOR` of its duration.
const RENEWAL_DIVISOR: i64 = 3;
/// A request without an answer times out after `1 / TIMEOUT_DIVISOR` of a lease's duration.
const TIMEOUT_DIVISOR: i64 = 2;

/// The router incarnation that holds a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseOwner {
    /// The layout of the records' keys.
    pub keys: Keys,
    /// The router's configured name, which all its incarnations share.
    pub name: String,
    /// The current incarnation; unique among all incarnations of all routers.
    pub incarnation: String,
    /// Earlier incarnations of this router that are known to have ended. Each write deletes their leases,
    /// because the last write of such an incarnation may reach the registry late.
    pub previous_incarnations: Vec<String>,
}

/// Which calls a router may send now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendPermission {
    /// All calls, under the active settings.
    All,
    /// Only idempotent calls, with a single attempt each; others are refused as "not sent".
    Safe,
    /// None, because no document has been read yet.
    Nothing,
}

/// A request to the registry, which the caller performs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseRequest {
    /// Read the state and the router's own lease, and pass the lease to [`LeaseHolder::on_read`].
    Read,
    /// Perform this transaction, and pass its outcome to [`LeaseHolder::on_written`].
    Write(Txn),
}

/// An inconsistency in the registry that needs an operator's attention.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseFault {
    /// The state in the registry is older than one observed before; the router keeps its active settings.
    StateRolledBack {
        /// The newest step observed before.
        from: u64,
        /// The step in the registry now; it may be equal, with other content.
        to: u64,
    },
    /// The lease was deleted or replaced by another party; the router requests a new one.
    LeaseRevoked,
}

impl fmt::Display for LeaseFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LeaseFault::StateRolledBack { from, to } => {
                write!(f, "the registry was rolled back from step {from} to {to}; active settings are kept")
            }
            LeaseFault::LeaseRevoked => {
                write!(f, "the lease in the registry is missing or is not the one that this router wrote")
            }
        }
    }
}

impl std::error::Error for LeaseFault {}

/// The revisions that a write of the lease compares.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Revisions {
    state: i64,
    lease: i64,
}

/// A granted lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct HeldLease {
    /// When the lease was requested, which is the start of its duration.
    requested_us: i64,
    terms: LeaseTerms,
}

/// The request in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum PendingRequest {
    None,
    Write { requested_us: i64, terms: LeaseTerms, revisions: Revisions },
    Read { requested_us: i64 },
}

/// A write that was rejected or whose outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct FailedWrite {
    revisions: Revisions,
    requested_us: i64,
}

/// Maintains the lease of one router; see the module's documentation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    owner: LeaseOwner,
    /// The newest accepted state.
    state: Option<Entry<State>>,
    /// Terms of the next lease, derived from the documents of `state`.
    terms: Option<LeaseTerms>,
    held: Option<HeldLease>,
    /// The last known content of the lease in the registry.
    written: Option<RouterLease>,
    /// The content of the last requested write.
    attempted: Option<RouterLease>,
    /// The last known revision of the lease in the registry; 0 if it is absent.
    revision: i64,
    /// Set when the content of the registry is uncertain and must be read before the next write.
    must_read: bool,
    pending: PendingRequest,
    /// The last failed write. A write that compares the same revisions is delayed instead of repeated at
    /// once.
    failed_write: Option<FailedWrite>,
}

impl LeaseHolder {
    /// A holder that has neither a lease nor a state.
    #[must_use]
    pub fn new(owner: LeaseOwner) -> Self {
        LeaseHolder {
            owner,
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

    /// The newest accepted state; `None` before the first one.
    #[must_use]
    pub fn state(&self) -> Option<&Entry<State>> {
        self.state.as_ref()
    }

    /// The settings that the router applies; `None` before the first state.
    #[must_use]
    pub fn active_settings(&self) -> Option<&ActiveSettings> {
        self.state.as_ref().map(|entry| &entry.value.active_settings)
    }

    /// Accepts a state; `documents` are the lease terms of its documents, of which the strictest apply.
    /// Returns whether the state is new. The next lease acknowledges the state, so the caller must pass in
    /// only states whose documents it has read completely and can apply.
    ///
    /// # Errors
    /// If the state is older than the known one; nothing changes then.
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
            // With no document in common, the router missed a commit, and that commit has deleted its lease.
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

    /// Which calls may be sent at `now_us`, in microseconds of the router's monotonic clock.
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

    /// When the held lease expires and reduces the permission to send unless it is renewed; `None` without a
    /// lease, or if the permission outlasts it ([`LeaseExpiryPolicy::GoOn`]).
    #[must_use]
    pub fn expires_us(&self) -> Option<i64> {
        let HeldLease { requested_us, terms } = self.held.as_ref()?;
        (terms.expiry_policy == LeaseExpiryPolicy::GiveUp)
            .then(|| requested_us.saturating_add(terms.lease_us))
    }

    /// When [`LeaseHolder::next_request`] is due; `None` before the first state.
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

    /// Whether a lease is held and acknowledges the step of the known state.
    fn is_state_acknowledged(&self) -> bool {
        let step = self.state.as_ref().map(|entry| entry.value.step);
        self.held.is_some() && step == self.written.as_ref().map(|lease| lease.step)
    }

    /// The next request to the registry if one is due; `None` before the first state.
    pub fn next_request(&mut self, now_us: i64) -> Option<LeaseRequest> {
        if self.next_request_us()? > now_us {
            return None;
        }
        if self.pending != PendingRequest::None {
            // The request timed out, so it is unknown whether it was applied and what the registry holds.
            self.must_read = true;
        }
        if self.must_read {
            self.pending = PendingRequest::Read { requested_us: now_us };
            return Some(LeaseRequest::Read);
        }
        self.begin_write(now_us).map(LeaseRequest::Write)
    }

    /// Starts the write of a lease that acknowledges the known state.
    fn begin_write(&mut self, now_us: i64) -> Option<Txn> {
        let (state, terms) = (self.state.as_ref()?, self.terms?);
        let lease = RouterLease {
            step: state.value.step,
            active_settings: state.value.active_settings.clone(),
            lease_us: terms.lease_us,
            expiry_policy: terms.expiry_policy,
        };
        let LeaseOwner { keys, name, incarnation, previous_incarnations } = &self.owner;
        let own_key = keys.lease(name, incarnation);
        let txn = Txn {
            compares: vec![(keys.state(), state.revision), (own_key.clone(), self.revision)],
            puts: vec![(own_key, to_json(&lease))],
            deletes: previous_incarnations.iter().map(|previous| keys.lease(name, previous)).collect(),
        };
        self.attempted = Some(lease);
        // While the outcome is unknown, the registry may hold a lease with the new terms although the old
        // lease is still held here. The stricter of both terms applies.
        if let Some(held) = &mut self.held {
            held.terms = held.terms.strictest(terms);
        }
        let revisions = self.known_revisions();
        self.pending = PendingRequest::Write { requested_us: now_us, terms, revisions };
        Some(txn)
    }

    /// Processes the outcome of a requested write.
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

    /// Processes the result of a requested read: `own` is the router's own lease in the registry, if it
    /// exists. The state that was read must be passed to [`LeaseHolder::observe_state`] first.
    ///
    /// # Errors
    /// If a lease was held and the registry has none, or not the last one that this incarnation wrote. A
    /// registry restored from a backup does not record the router's active settings, so a commit would not
    /// wait for this router.
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

    /// The transaction that releases the lease at an orderly shutdown, after the last open call has ended;
    /// `None` if no lease is held.
    pub fn release(&mut self) -> Option<Txn> {
        self.held.take()?;
        let own_key = self.owner.keys.lease(&self.owner.name, &self.owner.incarnation);
        Some(Txn { deletes: vec![own_key], ..Txn::default() })
    }
}

/// Rejects a state with a lower step, with the same step and different content, or with an older committed
/// document.
fn check_not_rolled_back(known: &State, state: &State) -> Result<(), LeaseFault> {
    let is_rolled_back = state.step < known.step
        || (state.step == known.step && known != state)
        || state.active_settings.committed.number < known.active_settings.committed.number;
    if is_rolled_back {
        return Err(LeaseFault::StateRolledBack { from: known.step, to: state.step });
    }
    Ok(())
}
