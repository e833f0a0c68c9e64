//! Versioned settings that a fleet of routers switches to together, without I/O.
//!
//! Invariant: no two routers act at the same time by rules that contradict each other. [`Terms`] are the rules of a document
//! that can contradict another document's, with their *meet*, the strictest common rules. [`Document`], [`State`] and
//! [`RouterLease`] are the records in the key-value registry, and a [`Snapshot`] is all of them at one revision. A [`LeaseHolder`]
//! keeps one router's lease to act and the [`ActiveSettings`] it acts by; a [`RolloutCoordinator`] takes a change from prepared
//! to committed, and several coordinators may work on one change. Commands run a coordinator, routers run both.
//!
//! The protocol, its assumptions and the argument for the invariant: `docs/design-config-versioning.md`.
#![forbid(unsafe_code)]

mod compare;
mod coordinator;
mod document;
mod keys;
mod lease_holder;
mod publish;
mod snapshot;
mod takeover;
mod terms;
mod topics;
mod transaction;

pub use compare::{contradictions, Contradiction};
pub use coordinator::{PendingAck, RolloutCoordinator, RolloutStep, WaitReason};
pub use document::{
    ActiveSettings, Document, DocumentVersion, LeaseExpiryPolicy, LeaseTerms, RouterLease, State,
};
pub use keys::{Keys, RouterId};
pub use lease_holder::{LeaseFault, LeaseHolder, LeaseOwner, LeaseRequest, SendPermission};
pub use publish::{PublishError, MAX_DOCUMENT_BYTES};
pub use snapshot::{RecordError, RecordFault, Snapshot};
pub use takeover::TakeoverTimer;
pub use terms::{Bound, Class, RetryCondition, RetryRule, Route, Terms};
pub use transaction::{Entry, Txn, TxnOutcome};
