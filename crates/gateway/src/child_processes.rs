//! Child processes of our own binary: workers and gateways for the demo and the bad day.

use slatevalve_fleet_test::Process;
use slatevalve_test_servers::WorkerPlan;
use std::io;
use std::path::Path;
use std::process::{Command, Stdio};

/// A stand-in worker.
pub(crate) fn worker(plan: &WorkerPlan) -> io::Result<Process> {
    let plan = serde_json::to_string(plan).map_err(io::Error::other)?;
    let mut command = Command::new(std::env::current_exe()?);
    command.args(["worker", "--plan", &plan]);
    Process::start(command)
}

/// A gateway by its settings file; its log goes to `log`.
pub(crate) fn gateway(settings: &Path, log: Stdio, level: &str) -> io::Result<Process> {
    let mut command = Command::new(std::env::current_exe()?);
    command.args(["--log-level", level, "run"]).arg(settings).stderr(log);
    Process::start(command)
}
