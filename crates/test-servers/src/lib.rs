//! Test servers: the peers of a gateway as small processes with scripted faults: a worker, an MQTT broker, a
//! key-value registry, an OCI registry, and clients.
//!
//! Faults are scheduled at absolute times, so that a test can combine faults of several peers. Workers and
//! clients record their traffic as [`slatevalve_trace_checker::trace`] lines. No server uses the gateway's
//! code, except that workers and registries share its codecs. The command line, the demo, the chaos test and
//! the fleet test start them.
#![forbid(unsafe_code)]

mod broker;
mod call_body;
mod client;
mod clock;
mod kv;
mod listen;
mod registry;
mod trace_writer;
mod worker;

pub use broker::{run_broker, BrokerFault, BrokerFaultKind, BrokerPlan};
pub use call_body::CallBody;
pub use client::{Arrival, ClientPlan, ClientReport, Driver};
pub use clock::unix_micros;
pub use kv::{run_kv, Capacity, KvFault, KvFaultKind, KvPlan, KvStore, Refusal};
pub use registry::{run_registry, RegistryFault, RegistryFaultKind, RegistryPlan};
pub use trace_writer::TraceWriter;
pub use worker::{run_worker, Fault, FaultKind, RegisterPlan, ServicePlan, WorkerPlan};
