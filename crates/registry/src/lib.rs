//! Membership from a key-value registry that speaks the etcd v3 protocol in its JSON mapping. This crate does
//! no I/O.
//!
//! Main invariant: no drain is missed, however long a connection is interrupted and whatever history the
//! registry compacts in the meantime.
//!
//! - [`WatchState`] caches the keys below a prefix and reports every change, including those made during an
//!   interruption.
//! - [`Members`] converts the changes into changes of workers and routers, with removals and drains first.
//! - [`RouterCount`] smooths the number of routers, so that a partition of the registry does not make each
//!   router send as much load as if it were alone.
//! - [`Registration`] maintains this process's own entry.
//! - [`Client`] encodes their requests as HTTP messages and decodes the responses; its owner holds the
//!   sockets.
#![forbid(unsafe_code)]

mod client;
mod members;
mod registration;
mod router_count;
mod router_poll;
pub mod serve;
mod watch_state;
pub mod wire;

pub use client::{
    Channel, Client, ClientEvent, ClientSettings, Endpoints, Login, RequestError, SocketAction, WatchScope,
};
pub use members::{
    read_member, router_key, worker_key, AppliedChanges, Member, MemberChange, MemberState, Members,
    RecordError, RecordFault, RelayRecord, RouterRecord, WorkerRecord, RELAYS, ROUTERS, WORKERS,
};
pub use registration::{LeaseStep, Registration, RegistrationSettings};
pub use router_count::{RouterCount, RouterCountSettings};
pub use watch_state::{
    CachedEntry, Change, Freshness, ListRequest, LoadedSnapshot, NextRequest, WatchFault, WatchSettings,
    WatchState,
};
