//! Child processes that run this binary, for the demo and the chaos test.

use slatevalve_fleet_test::Process;
use slatevalve_test_servers::WorkerPlan;
use std::io;
use std::path::Path;
use std::process::{Command, Stdio};

/// Starts a test worker and waits until it is ready.
pub(crate) fn start_worker(plan: &WorkerPlan) -> io::Result<Process> {
    let plan = serde_json::to_string(plan).map_err(io::Error::other)?;
    let mut command = Command::new(std::env::current_exe()?);
    command.args(["worker", "--plan", &plan]);
    Process::start(command)
}

/// Starts a gateway with a settings file and waits until it is ready; its log is written to `log`.
pub(crate) fn start_gateway(settings: &Path, log: Stdio, log_level: &str) -> io::Result<Process> {
    let mut command = Command::new(std::env::current_exe()?);
    command.args(["--log-level", log_level, "run"]).arg(settings).stderr(log);
    Process::start(command)
}
