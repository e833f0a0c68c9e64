//! Versioned settings that are rolled out to a fleet of routers in two phases (prepare, commit). This crate
//! does no I/O.
//!
//! Invariant: no two routers apply conflicting rules at the same time. [`Terms`] are those rules of a
//! document that can conflict with another document's; their *meet* is the strictest common set of rules.
//! [`Document`], [`State`] and [`RouterLease`] are the records in the key-value registry, and a [`Snapshot`]
//! holds all of them at one revision. A [`LeaseHolder`] maintains one router's lease and its
//! [`ActiveSettings`]. A [`RolloutCoordinator`] takes a change from prepared to committed; several
//! coordinators may process the same change. Commands run a coordinator, routers run both.
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
