//! Membership from a key-value registry by the etcd v3 protocol in its JSON mapping, without I/O.
//!
//! It guards one thing above all: a drain is never missed, however long the break and whatever the registry forgot
//! meanwhile. [`WatchState`] keeps a copy of the keys below a prefix and tells every change, those that happened while
//! nothing was heard included; [`Members`] makes workers and routers of them, drains before all else; [`RouterCount`] keeps a
//! partition of the registry from making every router believe that it is alone; [`Registration`] keeps this router's own
//! entry alive. [`Client`] joins them to HTTP messages; the gateway's shell owns the sockets.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod census;
mod client;
mod connection;
mod counting;
mod endpoints;
mod members;
mod registration;
pub mod serve;
mod watch_state;
pub mod wire;

pub use census::{RouterCount, RouterCountSettings};
pub use client::{Channel, Client, ClientEvent, ClientSettings, Do, Login, WatchScope};
pub use endpoints::Endpoints;
pub use members::{
    read_member, router_key, worker_key, Member, MemberChange, MemberState, Members, RecordError,
    RelayRecord, RouterRecord, WorkerRecord, RELAYS, ROUTERS, WORKERS,
};
pub use registration::{Registration, RegistrationSettings, Step};
pub use watch_state::{
    CachedEntry, Change, Freshness, ListRequest, NextRequest, WatchFault, WatchSettings, WatchState,
};
