//! Executes the steps of a run: publishes worker states, and kills, starts and pauses processes.

use super::plugins::SECOND_VERSION;
use super::processes::WorkerState;
use super::timeline::Step;
use super::Runner;
use crate::chaos_test::ChaosTestError;
use rustix::process::Signal;
use slatevalve_test_servers::Driver;
use slatevalve_trace_checker::trace::TraceEvent;
use std::fs;

impl Runner<'_> {
    pub(super) fn execute(&mut self, step: Step, driver: &mut Driver) -> Result<(), ChaosTestError> {
        match step {
            Step::PublishState { worker, state } => self.publish_state(worker, state)?,
            Step::StopWorker(worker) => {
                if let Some(mut process) = self.workers[worker].process.take() {
                    process.kill();
                }
            }
            Step::StartWorker(worker) => self.workers[worker].restart()?,
            Step::KillGateway(gateway) => {
                if let Some(mut process) = self.gateways[gateway].process.take() {
                    process.kill();
                }
                driver.disconnect_gateway(gateway);
            }
            Step::StartGateway(gateway) => {
                self.start_gateway(gateway)?;
                driver.set_gateway_address(gateway, self.gateways[gateway].address);
            }
            Step::PauseGateway(gateway) => {
                self.gateways[gateway].is_paused = true;
                self.gateways[gateway].signal(Signal::STOP);
            }
            Step::ResumeGateway(gateway) => self.resume_gateway(gateway),
            Step::DropConnections { every } => driver.drop_connections(every),
            Step::MoveAliases => {
                self.move_aliases(SECOND_VERSION)?;
                self.gateways.iter().for_each(|gateway| gateway.signal(Signal::HUP));
            }
        }
        Ok(())
    }

    /// Changes a worker's state in the settings file of each gateway and has the gateways reload it.
    fn publish_state(&mut self, worker: usize, state: WorkerState) -> Result<(), ChaosTestError> {
        self.workers[worker].state = state;
        for index in 0..self.gateways.len() {
            let file = &self.gateways[index].settings;
            // A rename is atomic, so no gateway reads an incomplete file.
            let temporary = file.with_extension("new");
            fs::write(&temporary, self.settings_file(index))?;
            fs::rename(&temporary, file)?;
            self.gateways[index].signal(Signal::HUP);
            match self.gateways[index].is_paused {
                true => self.gateways[index].pending_notices.push(worker),
                false => self.record_notice(index, worker),
            }
        }
        Ok(())
    }

    /// Resumes a gateway, which then reads the worker list.
    fn resume_gateway(&mut self, gateway: usize) {
        self.gateways[gateway].is_paused = false;
        self.gateways[gateway].signal(Signal::CONT);
        for worker in std::mem::take(&mut self.gateways[gateway].pending_notices) {
            self.record_notice(gateway, worker);
        }
    }

    /// Records in the trace that a gateway was notified of a worker's state.
    fn record_notice(&mut self, gateway: usize, worker: usize) {
        self.list_trace.record(TraceEvent::StateNotified {
            worker: format!("worker-{worker}"),
            state: self.workers[worker].state.as_str().into(),
            gateway: self.gateways[gateway].name.clone(),
        });
    }
}
