//! The stand-in key-value registry: sockets around a [`KvStore`] that speak etcd's JSON mapping, and its faults. Watches
//! stream lines; what a watcher does not read is bounded, and it is dropped beyond.

mod server;
mod store;

pub use server::{run_kv, Capacity, KvFault, KvFaultKind, KvPlan};
pub use store::{KvStore, Refusal};
