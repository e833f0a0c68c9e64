//! Settings with versions on which a fleet of routers agrees, without I/O.
//!
//! It guards one thing: no two routers act at the same time on rules that contradict each other. [`Terms`] are the rules of a
//! document that can contradict, with their *meet*; [`Document`], [`State`] and [`Right`] are what stands in the key-value
//! registry; a [`Holder`] is one router's right to act and the [`Stance`] it acts on; a [`Driver`] carries a change from
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
    Document, Doubt, Edition, Entry, Keys, PublishError, Reading, RecordError, Right, Stance, State, Txn,
    TxnEnd,
};
pub use driver::{Awaited, Driver, Next, Wait};
pub use holder::{Ask, Holder, HolderSettings, May, Trouble};
pub use patrol::Patrol;
pub use terms::{Bound, Class, Need, Repeat, Route, Terms};
