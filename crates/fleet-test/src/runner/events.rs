//! Executes the events of a script.

use super::{DrainCommand, ManagedProcess, Runner};
use crate::counters::now_us;
use crate::error::FleetTestError;
use crate::process::Process;
use crate::report::PausePeriod;
use crate::script::{GroupKind, GroupSample, ScriptedEvent};
use rand::seq::SliceRandom;
use rustix::process::Signal;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// The time that a process may take to end after SIGTERM; then it is killed.
const TERMINATE_TIMEOUT: Duration = Duration::from_secs(10);
/// The time that an operator's command may take; then it counts as failed.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(15);
/// The time between two checks of whether an operator's command has ended.
const COMMAND_POLL_INTERVAL: Duration = Duration::from_millis(2);

impl Runner<'_> {
    pub(super) fn execute(&mut self, event: ScriptedEvent) -> Result<(), FleetTestError> {
        match event {
            ScriptedEvent::Start(group) => self.start_group(&group)?,
            ScriptedEvent::Kill(sample) => self.end_sample(&sample, Signal::KILL, Process::kill),
            ScriptedEvent::Terminate(sample) => self.end_sample(&sample, Signal::TERM, |process| {
                process.stop(TERMINATE_TIMEOUT);
            }),
            ScriptedEvent::Pause(sample) => self.pause(&sample),
            ScriptedEvent::Resume(group) => self.resume(&group),
            ScriptedEvent::Drain(worker) => self.drain(worker),
        }
        Ok(())
    }

    /// Names of the processes of a group that fulfil a condition, sorted.
    fn select(&self, group: &str, condition: impl Fn(&ManagedProcess) -> bool) -> Vec<String> {
        let is_of_group = |managed: &ManagedProcess| self.script.groups[managed.group].name == group;
        let selected =
            self.processes.iter().filter(|(_, managed)| is_of_group(managed) && condition(managed));
        selected.map(|(name, _)| name.clone()).collect()
    }

    /// Selects a random sample of the processes that fulfil a condition.
    fn draw(&mut self, sample: &GroupSample, condition: impl Fn(&ManagedProcess) -> bool) -> Vec<String> {
        let mut names = self.select(&sample.group, condition);
        names.shuffle(&mut self.random);
        names.truncate((names.len() as f64 * sample.share).round() as usize);
        names
    }

    /// Starts the processes of a group that are not running; services listen on their previous address.
    fn start_group(&mut self, name: &str) -> Result<(), FleetTestError> {
        let script = self.script;
        let Some(group) = script.groups.iter().find(|group| group.name == name) else { return Ok(()) };
        for process_name in self.select(name, |managed| managed.process.is_none()) {
            if matches!(group.kind, GroupKind::Routers(_)) {
                self.start_router(&process_name)?;
                continue;
            }
            let address = self.addresses.get(&process_name).copied();
            let process = self.start_service(group, &process_name, address)?;
            if let Some(managed) = self.processes.get_mut(&process_name) {
                managed.process = Some(process);
            }
        }
        Ok(())
    }

    /// Ends a sample of a group. All processes are signalled before the first is waited for, so that they end
    /// together.
    fn end_sample(&mut self, sample: &GroupSample, signal: Signal, end: fn(&mut Process)) {
        let names = self.draw(sample, |managed| managed.process.is_some());
        for name in &names {
            self.signal(name, signal);
        }
        for name in &names {
            let Some(managed) = self.processes.get_mut(name) else { continue };
            if let Some(run) = managed.runs.last_mut() {
                run.ended_us = Some(now_us());
            }
            managed.is_paused = false;
            if let Some(mut process) = managed.process.take() {
                end(&mut process);
            }
        }
    }

    fn pause(&mut self, sample: &GroupSample) {
        for name in self.draw(sample, |managed| managed.process.is_some() && !managed.is_paused) {
            self.signal(&name, Signal::STOP);
            if let Some(managed) = self.processes.get_mut(&name) {
                managed.is_paused = true;
                managed.pauses.push(PausePeriod { from_us: now_us(), to_us: i64::MAX });
            }
        }
    }

    fn resume(&mut self, group: &str) {
        for name in self.select(group, |managed| managed.is_paused) {
            self.signal(&name, Signal::CONT);
            let Some(managed) = self.processes.get_mut(&name) else { continue };
            managed.is_paused = false;
            if let Some(pause) = managed.pauses.last_mut() {
                pause.to_us = now_us();
            }
        }
    }

    fn signal(&self, name: &str, signal: Signal) {
        if let Some(process) = self.processes.get(name).and_then(|managed| managed.process.as_ref()) {
            process.signal(signal);
        }
    }

    /// Runs a drain command in a separate thread, because a registry with faults may delay it.
    fn drain(&mut self, worker: String) {
        let mut groups = self.script.groups.iter();
        let registry = groups.find(|group| matches!(group.kind, GroupKind::Registry { .. }));
        let address = registry.and_then(|group| self.addresses.get(&group.name));
        let address = address.map_or_else(String::new, SocketAddr::to_string);
        let mut command = Command::new(&self.options.program);
        command.args(["members", "--registry", &address, "drain", &worker]);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        let run = move || DrainCommand { worker, succeeded_us: run_command(command) };
        self.drain_commands.push(thread::spawn(run));
    }
}

/// Runs a command; returns the time of its success, or none where it failed or did not end in time.
fn run_command(mut command: Command) -> Option<i64> {
    let mut child = command.spawn().ok()?;
    let succeeded_us = wait_for_success(&mut child);
    let _ = child.kill();
    let _ = child.wait();
    succeeded_us
}

fn wait_for_success(child: &mut Child) -> Option<i64> {
    let deadline = Instant::now() + COMMAND_TIMEOUT;
    while Instant::now() < deadline {
        match child.try_wait() {
            Ok(Some(status)) => return status.success().then(now_us),
            Ok(None) => thread::sleep(COMMAND_POLL_INTERVAL),
            Err(_) => return None,
        }
    }
    None
}
