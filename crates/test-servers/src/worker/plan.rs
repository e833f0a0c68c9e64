//! The plan of a test worker, passed to it as JSON; `serde` attributes keep the JSON names.

use super::faults::Fault;
use super::service::ServicePlan;
use crate::listen::ANY_PORT;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The plan of a worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct WorkerPlan {
    /// The name of the worker in the trace and in its registry key.
    pub name: String,
    /// The listening address; with port 0 the kernel selects one.
    pub listen: SocketAddr,
    /// The capacity of the worker.
    pub service: ServicePlan,
    /// The scheduled faults.
    pub faults: Vec<Fault>,
    /// The file that the trace is appended to; none for no trace.
    pub trace: Option<PathBuf>,
    /// Whether it starts with a slow start and without loaded functions, as after a restart.
    #[serde(rename = "cold")]
    pub is_restart: bool,
    /// The seed of random faults and of the delays of the registration.
    pub seed: u64,
    /// The registration; none for a worker that does not register itself.
    pub register: Option<RegisterPlan>,
    /// The time, in microseconds, after which calls by superseded settings documents are refused; none to
    /// refuse none.
    #[serde(rename = "refuse_overtaken_us")]
    pub refuse_superseded_us: Option<i64>,
}

impl Default for WorkerPlan {
    fn default() -> Self {
        WorkerPlan {
            name: "worker".into(),
            listen: ANY_PORT,
            service: ServicePlan::default(),
            faults: Vec::new(),
            refuse_superseded_us: None,
            trace: None,
            is_restart: false,
            seed: 1,
            register: None,
        }
    }
}

/// The registration of a worker. On SIGUSR1 a registered worker drains; on SIGTERM it drains, completes its
/// calls, revokes its lease and ends.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RegisterPlan {
    /// The addresses of the registry's members.
    pub endpoints: Vec<SocketAddr>,
    /// The prefix of all keys in the registry.
    pub prefix: String,
    /// The time to live of the lease, in seconds.
    pub ttl_s: i64,
    /// The zone that is stated in the worker's record.
    pub zone: String,
    /// The cell that is stated in the worker's record.
    pub cell: u64,
    /// The longest time after SIGTERM that the worker waits for its calls to complete, in microseconds.
    pub leave_within_us: i64,
}

impl Default for RegisterPlan {
    fn default() -> Self {
        RegisterPlan {
            endpoints: Vec::new(),
            prefix: "/slatevalve/".into(),
            ttl_s: 5,
            zone: "default".into(),
            cell: 0,
            leave_within_us: 2_000_000,
        }
    }
}
