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
    /// Its name
    #[arg(long, default_value = "worker")]
    name: String,
    /// Where it listens; port 0 takes a free one
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Calls that it runs at a time
    #[arg(long, default_value_t = 4)]
    lanes: usize,
    /// Calls that may wait
    #[arg(long, default_value_t = 32)]
    queue: usize,
    /// Copies that fit into its memory
    #[arg(long, default_value_t = 16)]
    copies: usize,
    /// Milliseconds that a load takes
    #[arg(long, default_value_t = 100)]
    load_ms: u32,
    /// Register with this member of a key-value registry, HOST:PORT; SIGUSR1 lets it drain, SIGTERM drain and leave
    #[arg(long)]
    registry: Vec<SocketAddr>,
    /// What its key begins with
    #[arg(long, default_value = "/slatevalve/")]
    prefix: String,
    /// Its cell
    #[arg(long, default_value_t = 0)]
    cell: u64,
    /// Load a function when a call for it comes; else such a call is answered as a miss
    #[arg(long)]
    load_on_call: bool,
    /// Record what passes its socket in this file
    #[arg(long)]
    trace: Option<PathBuf>,
    /// Everything as JSON, with faults; the other options are passed by
    #[arg(long, hide = true)]
    plan: Option<String>,
    /// Turn calls away that are sent by settings documents which were overtaken for longer than this
    #[arg(long)]
    refuse_overtaken_ms: Option<u32>,
}

/// Prints where a test server listens. Whoever started it may have closed its standard output; it serves all the same.
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
