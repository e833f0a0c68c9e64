//! The sub-commands `worker`, `broker` and `kv`: test servers for trying the gateway out and for chaos tests.

use super::{print_ready, CommandResult};
use clap::Args;
use slatevalve_test_servers::{
    run_broker, run_kv, run_worker, BrokerPlan, KvPlan, RegisterPlan, ServicePlan, WorkerPlan,
};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Args)]
pub(super) struct WorkerArguments {
    /// Name of the worker
    #[arg(long, default_value = "worker")]
    name: String,
    /// Listening address; port 0 chooses a free port
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Number of calls that run at the same time
    #[arg(long, default_value_t = 4)]
    lanes: usize,
    /// Maximum number of queued calls
    #[arg(long, default_value_t = 32)]
    queue: usize,
    /// Maximum number of loaded copies of functions
    #[arg(long, default_value_t = 16)]
    copies: usize,
    /// Duration of a load in milliseconds
    #[arg(long, default_value_t = 100)]
    load_ms: u32,
    /// Register with this member of a key-value registry, HOST:PORT; SIGUSR1 drains the worker, SIGTERM
    /// drains and deregisters it
    #[arg(long)]
    registry: Vec<SocketAddr>,
    /// Prefix of its key
    #[arg(long, default_value = "/slatevalve/")]
    prefix: String,
    /// Cell of the worker
    #[arg(long, default_value_t = 0)]
    cell: u64,
    /// Load a function on the first call for it; without this option such a call is answered as a miss
    #[arg(long)]
    load_on_call: bool,
    /// Record the traffic of its socket in this file
    #[arg(long)]
    trace: Option<PathBuf>,
    /// All settings as JSON, including injected faults; the other options are ignored
    #[arg(long, hide = true)]
    plan: Option<String>,
    /// Refuse calls sent under settings documents that were superseded more than this many milliseconds ago
    #[arg(long)]
    refuse_overtaken_ms: Option<u32>,
}

/// Prints the address of a test server, which also serves if the reader of its output has exited.
fn announce(address: SocketAddr) {
    let _ = print_ready(address);
}

/// Runs a test worker until it is killed.
pub(super) fn worker(arguments: WorkerArguments) -> CommandResult {
    let plan = match &arguments.plan {
        Some(plan) => serde_json::from_str(plan)?,
        None => worker_plan(arguments),
    };
    run_worker(plan, announce)?;
    Ok(ExitCode::SUCCESS)
}

fn worker_plan(arguments: WorkerArguments) -> WorkerPlan {
    let service = ServicePlan {
        concurrency: arguments.lanes,
        queue: arguments.queue,
        copies: arguments.copies,
        load_us: i64::from(arguments.load_ms) * 1_000,
        load_on_call: arguments.load_on_call,
        ..ServicePlan::default()
    };
    let register = (!arguments.registry.is_empty()).then(|| RegisterPlan {
        endpoints: arguments.registry,
        prefix: arguments.prefix,
        cell: arguments.cell,
        ..RegisterPlan::default()
    });
    WorkerPlan {
        name: arguments.name,
        listen: arguments.listen,
        service,
        trace: arguments.trace,
        refuse_superseded_us: arguments.refuse_overtaken_ms.map(|ms| i64::from(ms) * 1_000),
        register,
        ..WorkerPlan::default()
    }
}

/// Runs a test MQTT broker until it is killed; `plan` is a [`BrokerPlan`] as JSON.
pub(super) fn broker(listen: SocketAddr, plan: Option<&str>) -> CommandResult {
    let plan = match plan {
        Some(plan) => serde_json::from_str(plan)?,
        None => BrokerPlan { listen, ..BrokerPlan::default() },
    };
    run_broker(plan, announce)?;
    Ok(ExitCode::SUCCESS)
}

/// Runs a test key-value registry until it is killed; `plan` is a [`KvPlan`] as JSON.
pub(super) fn kv(listen: SocketAddr, compact_after_ms: u32, plan: Option<&str>) -> CommandResult {
    let plan = match plan {
        Some(plan) => serde_json::from_str(plan)?,
        None => {
            let compact_after_us = i64::from(compact_after_ms) * 1_000;
            KvPlan { listen, compact_after_us, ..KvPlan::default() }
        }
    };
    run_kv(plan, announce)?;
    Ok(ExitCode::SUCCESS)
}
