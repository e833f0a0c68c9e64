//! Stand-ins for what the gateway meets: a worker, a broker and clients, as small scripted processes of our own.
//!
//! They guard the tests against a gateway that is only tested with well-behaved peers: each fault that the users
//! know by name can be played at a stated time. They write what passed their sockets as [`slatevalve_trace_checker::trace`]
//! lines and know nothing of the gateway's inside. The command line and the scripted bad day start them.
#![warn(missing_docs)]

mod broker;
mod client;
mod entry;
mod faults;
mod kv;
mod overtaken;
mod registry;
mod service;
mod tap;
mod worker;

pub use broker::{run_broker, BrokerFault, BrokerFaultKind, BrokerPlan};
pub use client::{Arrival, ClientPlan, ClientReport, Driver};
pub use faults::{Fault, FaultKind};
pub use kv::{run_kv, Capacity, KvFault, KvFaultKind, KvPlan, KvStore, Refusal};
pub use registry::{run_registry, RegistryFault, RegistryFaultKind, RegistryPlan};
pub use service::{CallBody, ServicePlan};
pub use tap::{unix_micros, Tap};
pub use worker::{run_worker, RegisterPlan, WorkerPlan};
