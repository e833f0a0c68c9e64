//! The plan of a test worker, passed to it as JSON. `serde` keeps the names of that JSON.

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
    /// Its name.
    pub name: String,
    /// The listening address; with port 0 the kernel chooses one.
    pub listen: SocketAddr,
    /// Its capacity.
    pub service: ServicePlan,
    /// Its faults.
    pub faults: Vec<Fault>,
    /// The file for its trace.
    pub trace: Option<PathBuf>,
    /// Whether it starts with a slow start and without loaded functions, as after a restart.
    #[serde(rename = "cold")]
    pub is_restart: bool,
    /// The seed of its random faults.
    pub seed: u64,
    /// Its registration; none for a worker that does not register itself.
    pub register: Option<RegisterPlan>,
    /// Calls sent by settings documents that were superseded for longer than this, in microseconds, are refused.
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

/// The registration of a worker. It drains on SIGUSR1; on SIGTERM it drains, completes its calls, revokes its lease and ends.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RegisterPlan {
    /// The addresses of the registry's members.
    pub endpoints: Vec<SocketAddr>,
    /// The prefix of its key.
    pub prefix: String,
    /// The time to live of its lease, in seconds.
    pub ttl_s: i64,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u64,
    /// The longest time that it waits for the completion of its calls when it ends, in microseconds.
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
