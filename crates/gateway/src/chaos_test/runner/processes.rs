//! The worker and gateway processes of a run.

use super::Runner;
use crate::chaos_test::ChaosTestError;
use crate::child_processes;
use rustix::process::Signal;
use slatevalve_fleet_test::Process;
use slatevalve_test_servers::{unix_micros, Fault, WorkerPlan};
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::Stdio;

/// A worker's state in the worker list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WorkerState {
    Ready,
    Draining,
    Gone,
}

impl WorkerState {
    /// The state's name in settings and traces.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            WorkerState::Ready => "ready",
            WorkerState::Draining => "draining",
            WorkerState::Gone => "gone",
        }
    }
}

pub(super) struct Worker {
    pub(super) process: Option<Process>,
    plan: WorkerPlan,
    pub(super) address: SocketAddr,
    pub(super) state: WorkerState,
    /// Time of the last restart, in milliseconds of the Unix clock; `None` if never restarted.
    pub(super) restarted_ms: Option<i64>,
}

impl Worker {
    /// Restarts the process at the same address, without loaded functions.
    pub(super) fn restart(&mut self) -> Result<(), ChaosTestError> {
        self.plan.listen = self.address;
        self.plan.is_restart = true;
        self.restarted_ms = Some(unix_micros() / 1_000);
        self.process = Some(child_processes::start_worker(&self.plan)?);
        Ok(())
    }
}

pub(super) struct Gateway {
    pub(super) process: Option<Process>,
    pub(super) name: String,
    /// Path of the settings file.
    pub(super) settings: PathBuf,
    pub(super) address: SocketAddr,
    pub(super) is_paused: bool,
    /// Workers whose states changed while the gateway was paused.
    pub(super) pending_notices: Vec<usize>,
}

impl Gateway {
    pub(super) fn signal(&self, signal: Signal) {
        if let Some(process) = &self.process {
            process.signal(signal);
        }
    }
}

impl Runner<'_> {
    pub(super) fn add_worker(&mut self, index: usize) -> Result<(), ChaosTestError> {
        let faults = self.script.faults.iter().filter(|fault| fault.worker == index).map(|fault| Fault {
            from_us: self.clock_us(fault.at_s),
            to_us: self.clock_us(fault.at_s + fault.duration_s),
            kind: fault.kind.clone(),
        });
        let plan = WorkerPlan {
            name: format!("worker-{index}"),
            service: self.script.fleet.service.clone(),
            faults: faults.collect(),
            trace: Some(self.directory.join(format!("worker-{index}.trace"))),
            seed: self.seed.wrapping_mul(1_000) + index as u64,
            ..WorkerPlan::default()
        };
        let process = child_processes::start_worker(&plan)?;
        self.workers.push(Worker {
            address: process.address,
            process: Some(process),
            plan,
            state: WorkerState::Ready,
            restarted_ms: None,
        });
        Ok(())
    }

    pub(super) fn add_gateway(&mut self, index: usize) -> Result<(), ChaosTestError> {
        let name = format!("gateway-{index}");
        self.gateways.push(Gateway {
            process: None,
            settings: self.directory.join(format!("{name}.scm")),
            name,
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            is_paused: false,
            pending_notices: Vec::new(),
        });
        self.start_gateway(index)
    }

    /// Starts a gateway, at its previous address if it had one.
    pub(super) fn start_gateway(&mut self, index: usize) -> Result<(), ChaosTestError> {
        let settings = &self.gateways[index].settings;
        fs::write(settings, self.settings_file(index))?;
        let log = self.directory.join(format!("gateway-{index}.log"));
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let process = child_processes::start_gateway(settings, Stdio::from(log), self.log_level)?;
        self.gateways[index].address = process.address;
        self.gateways[index].process = Some(process);
        Ok(())
    }
}
