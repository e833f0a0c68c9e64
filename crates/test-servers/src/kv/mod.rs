//! The test registry: a key-value store with revisions, leases and watches, served through the JSON mapping
//! of etcd's API with scripted faults.

mod plan;
mod requests;
mod server;
mod store;
mod watches;

pub use plan::{Capacity, KvFault, KvFaultKind, KvPlan};
pub use server::run_kv;
pub use store::{KvStore, Refusal};
