//! Test servers: the programs that a gateway talks to, as small processes with scripted faults: a worker, an MQTT broker, a
//! key-value registry, an OCI registry, and clients.
//!
//! They make sure that the gateway is tested with peers that misbehave: each fault has a time of the clock. Workers and
//! clients record their traffic as [`slatevalve_trace_checker::trace`] lines. None uses the gateway's code, except that
//! workers and registries share its codecs. The command line, the demo, the chaos test and the fleet test start them.
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
