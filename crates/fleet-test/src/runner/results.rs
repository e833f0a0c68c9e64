//! Ends the processes of a run and collects its results from logs and counters.

use super::{DrainCommand, ManagedProcess, RouterProcessRun, Runner};
use crate::counters::{now_us, Bucket, TrafficCounters};
use crate::error::{FleetTestError, IoContext};
use crate::report::{DrainNotice, Report, Results, RouterRun};
use crate::router_log::{self, ListSource, LogEvent, LoggedEvent};
use crate::script::GroupKind;
use std::collections::BTreeMap;
use std::fs;
use std::thread::JoinHandle;
use std::time::Duration;

/// The time that a link may take to write its last counters and end.
const LINK_STOP_TIMEOUT: Duration = Duration::from_secs(5);

impl Runner<'_> {
    /// Waits for the drain commands, stops the links and creates the report. All other processes are killed
    /// when the runner is dropped.
    pub(super) fn finish(&mut self) -> Result<Report, FleetTestError> {
        let drain_commands = self.join_drain_commands();
        let crashed = self.crashed_processes();
        let end_us = now_us();
        let traffic = self.stop_links()?;
        let mut routers = Vec::new();
        for (name, managed) in &self.processes {
            routers.extend(router_runs(name, managed, end_us)?);
        }
        let results =
            Results { seed: self.seed, start_us: self.start_us, routers, traffic, drain_commands, crashed };
        Ok(Report::new(self.script, results))
    }

    fn join_drain_commands(&mut self) -> Vec<DrainCommand> {
        self.drain_commands.drain(..).map(JoinHandle::join).filter_map(Result::ok).collect()
    }

    /// Names of the processes that have ended although the script did not end them.
    fn crashed_processes(&mut self) -> Vec<String> {
        let mut crashed = Vec::new();
        for (name, managed) in &mut self.processes {
            if managed.process.as_mut().is_some_and(|process| !process.is_running()) {
                crashed.push(name.clone());
            }
        }
        crashed
    }

    /// Stops the links, which then write their last counters, and reads all counters. Links stop before the
    /// routers, so that the counters contain no traffic caused by the end of the run.
    fn stop_links(&mut self) -> Result<BTreeMap<String, Vec<Bucket>>, FleetTestError> {
        let links = self.script.groups.iter().filter(|group| matches!(group.kind, GroupKind::Link { .. }));
        let names: Vec<&String> = links.map(|group| &group.name).collect();
        for name in &names {
            let managed = self.processes.get_mut(*name);
            if let Some(process) = managed.and_then(|managed| managed.process.as_mut()) {
                process.stop(LINK_STOP_TIMEOUT);
            }
        }
        let read = |name: &String| {
            Ok((
                name.clone(),
                TrafficCounters::read(&self.counters_file(name)).context("link counters file")?,
            ))
        };
        names.into_iter().map(read).collect()
    }
}

/// The results of all runs of one router; empty for other processes.
fn router_runs(name: &str, managed: &ManagedProcess, end_us: i64) -> Result<Vec<RouterRun>, FleetTestError> {
    let last = managed.runs.len().saturating_sub(1);
    let runs = managed.runs.iter().enumerate().map(|(index, run)| {
        let log = fs::read_to_string(&run.log).context("router log file")?;
        let mut result = router_run(name, run, &router_log::parse(&log));
        result.ended_us = run.ended_us.unwrap_or(end_us);
        result.killed = index < last || run.ended_us.is_some();
        result.pauses.clone_from(&managed.pauses);
        Ok(result)
    });
    runs.collect()
}

/// The events in the log of one run.
fn router_run(name: &str, run: &RouterProcessRun, log: &[LoggedEvent]) -> RouterRun {
    let mut result = RouterRun { name: name.into(), started_us: run.started_us, ..RouterRun::default() };
    for LoggedEvent { at_us, event } in log {
        match event {
            LogEvent::WorkerList { workers, source } => {
                result.lists_us.push(*at_us);
                if *workers > 0 {
                    set_minimum(&mut result.first_list_us, *at_us);
                    if *source == ListSource::Registry {
                        set_minimum(&mut result.listed_us, *at_us);
                    }
                }
            }
            LogEvent::Draining(worker) => {
                result.drains.push(DrainNotice { worker: worker.clone(), at_us: *at_us });
            }
        }
    }
    result
}

fn set_minimum(time_us: &mut Option<i64>, candidate_us: i64) {
    *time_us = Some(time_us.map_or(candidate_us, |earlier| earlier.min(candidate_us)));
}
