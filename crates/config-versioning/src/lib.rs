//! Settings with versions on which a fleet of routers agrees, without I/O.
//!
//! It guards one thing: no two routers act at the same time on rules that contradict each other. [`Terms`] are the rules of a
//! document that can contradict, with their *meet*; [`Document`], [`State`] and [`ActLease`] are what stands in the key-value
//! registry; a [`LeaseHolder`] is one router's right to act and the [`ActiveSettings`] it acts on; a [`RolloutCoordinator`] carries a change from
//! prepared to committed, and any number of drivers may do so at once. Commands call the driver's side, routers the holder's.
//! The protocol, its assumptions and why the bound holds: `docs/design-config-versioning.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod compare;
mod document;
mod driver;
mod holder;
mod patrol;
mod terms;
mod topics;

pub use compare::{contradictions, Contradiction};
pub use document::{
    ActLease, ActiveSettings, Document, DocumentVersion, Entry, Keys, LeaseExpiryPolicy, PublishError,
    Reading, RecordError, State, Txn, TxnEnd,
};
pub use driver::{Next, PendingAck, RolloutCoordinator, Wait};
pub use holder::{Ask, LeaseFault, LeaseHolder, LeaseHolderSettings, SendPermission};
pub use patrol::TakeoverTimer;
pub use terms::{Bound, Class, RetryCondition, RetryRule, Route, Terms};
