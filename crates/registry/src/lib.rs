//! Membership from a key-value registry by the etcd v3 protocol in its JSON mapping, without I/O.
//!
//! The main invariant is that no drain is missed, however long an interruption lasts and whatever the registry compacted
//! meanwhile. [`WatchState`] caches the keys below a prefix and reports every change, those during an interruption included;
//! [`Members`] turns them into workers and routers, departures and drains first; [`RouterCount`] keeps a partition of the
//! registry from making every router take the whole load; [`Registration`] keeps this process's entry. [`Client`] joins them
//! to HTTP messages; its owner holds the sockets.
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
