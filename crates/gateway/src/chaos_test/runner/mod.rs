//! Runs a script: starts its processes on loopback, drives the clients, executes the steps when they are due,
//! and collects the recorded traffic.

mod plugins;
mod processes;
mod settings_file;
mod steps;
mod terms;
mod timeline;

use super::arrivals::{ArrivalGenerator, ClassRequirements};
use super::script::Script;
use super::{ChaosTestError, Options};
use crate::clock::Clock;
use crate::settings::{NameTables, Site};
use processes::{Gateway, Worker};
use slatevalve_sexpr::File;
use slatevalve_test_servers::{unix_micros, ClientPlan, ClientReport, Driver, TraceWriter};
use slatevalve_trace_checker::trace::{self, Line};
use slatevalve_trace_checker::Terms;
use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::time::Duration;
use timeline::timeline;

/// Time allowed for starting all processes, in addition to [`START_PER_PROCESS_US`]. Workers are started with
/// the absolute times of their faults, so the time of second 0 is fixed before the first process starts.
const START_US: i64 = 1_000_000;
/// Additional time allowed for starting each process.
const START_PER_PROCESS_US: i64 = 40_000;
/// Time within which a gateway must stop on request.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time that the clients wait for events before due steps are executed.
const POLL_TIMEOUT: Duration = Duration::from_millis(2);

/// The recorded results of a run.
pub(super) struct RunRecord {
    /// The result of each call by its name.
    pub(super) calls: BTreeMap<String, ClientReport>,
    /// The lines of all traces, ordered by time.
    pub(super) lines: Vec<Line>,
    pub(super) terms: Terms,
    /// Period with separate statistics in the report.
    pub(super) window: Option<ClockWindow>,
    /// Number of gateways that did not stop in time on request, or stopped with an error.
    pub(super) unclean_stops: usize,
}

/// A period, in microseconds of the Unix clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockWindow {
    from_us: i64,
    to_us: i64,
}

impl ClockWindow {
    pub(super) fn contains(self, at_us: i64) -> bool {
        (self.from_us..self.to_us).contains(&at_us)
    }
}

/// A run. Its processes are killed when it is dropped.
pub(super) struct Runner<'a> {
    script: &'a Script,
    directory: &'a Path,
    seed: u64,
    log_level: &'a str,
    /// Second 0 of the test, in microseconds of the Unix clock.
    start_us: i64,
    workers: Vec<Worker>,
    gateways: Vec<Gateway>,
    /// The trace of the worker list.
    list_trace: TraceWriter,
    tenants: Vec<String>,
}

impl<'a> Runner<'a> {
    /// Starts all processes.
    pub(super) fn start(
        script: &'a Script,
        directory: &'a Path,
        options: &'a Options,
    ) -> Result<Self, ChaosTestError> {
        let list_trace = TraceWriter::open("list", Some(&directory.join("list.trace")))?;
        let processes = script.fleet.workers + script.gateways;
        let mut runner = Runner {
            script,
            directory,
            seed: options.seed,
            log_level: &options.log_level,
            start_us: unix_micros() + START_US + START_PER_PROCESS_US * processes as i64,
            workers: Vec::new(),
            gateways: Vec::new(),
            list_trace,
            tenants: tenant_names(script)?,
        };
        for index in 0..script.fleet.workers {
            runner.add_worker(index)?;
        }
        if script.plugins.is_some() {
            runner.push_plugins()?;
        }
        for index in 0..script.gateways {
            runner.add_gateway(index)?;
        }
        Ok(runner)
    }

    /// Converts a time of the script to microseconds of the Unix clock.
    fn clock_us(&self, seconds: f64) -> i64 {
        self.start_us.saturating_add((seconds * 1e6) as i64)
    }

    /// Runs the test to its end; `progress` receives the seconds since the start and the number of open calls.
    pub(super) fn run(mut self, progress: impl FnMut(f64, usize)) -> Result<RunRecord, ChaosTestError> {
        let clock = Clock::start();
        let site = Site::parse("(settings ...)", &self.settings_file(0), &clock, NameTables::default())?;
        let terms = self.terms(&site);
        let requirements = class_requirements(&site);
        let is_known = |class: &String| requirements.iter().any(|known| known.name == *class);
        if let Some(unknown) = self.script.load.mix.iter().find(|entry| !is_known(&entry.class)) {
            return Err(ChaosTestError::UnknownClass(unknown.class.clone()));
        }
        let mut driver = self.clients(&requirements)?;
        if unix_micros() > self.start_us {
            return Err(ChaosTestError::StartTooSlow);
        }
        let longest_budget_us =
            requirements.iter().map(|requirements| requirements.budget_us).max().unwrap_or(0);
        self.drive(&mut driver, longest_budget_us, progress)?;
        let unclean_stops = self.stop_gateways();
        let calls = driver.reports().clone();
        drop(driver);
        // Killed here, so that the traces are complete when they are read.
        self.workers.clear();
        let window = self.script.window.map(|window| ClockWindow {
            from_us: self.clock_us(window.from_s),
            to_us: self.clock_us(window.to_s),
        });
        Ok(RunRecord { calls, lines: read_traces(self.directory)?, terms, window, unclean_stops })
    }

    fn clients(&self, classes: &[ClassRequirements]) -> Result<Driver, ChaosTestError> {
        let generator = ArrivalGenerator {
            script: self.script,
            classes,
            tenants: &self.tenants,
            seed: self.seed,
            start_us: self.start_us,
        };
        let plan = ClientPlan {
            gateways: self.gateways.iter().map(|gateway| (gateway.name.clone(), gateway.address)).collect(),
            connections: self.script.clients,
            arrivals: generator.generate(),
            trace: Some(self.directory.join("clients.trace")),
        };
        Ok(Driver::new(plan)?)
    }

    /// Executes the steps and drives the clients until all calls are answered or all deadlines have passed.
    fn drive(
        &mut self,
        driver: &mut Driver,
        longest_budget_us: i64,
        mut progress: impl FnMut(f64, usize),
    ) -> Result<(), ChaosTestError> {
        let end_us = self.start_us + (self.script.seconds * 1e6) as i64;
        let timeout_us = end_us + 2 * longest_budget_us;
        let mut steps = timeline(self.script, self.start_us).into_iter().peekable();
        loop {
            let now = unix_micros();
            while let Some(timed) = steps.next_if(|timed| timed.at_us <= now) {
                self.execute(timed.step, driver)?;
            }
            let is_done = driver.is_done() && steps.peek().is_none();
            if now > end_us && (is_done || now > timeout_us) {
                return Ok(());
            }
            driver.poll(POLL_TIMEOUT)?;
            progress((now - self.start_us) as f64 / 1e6, driver.open_calls());
        }
    }

    /// Stops all gateways; returns how many did not stop within [`STOP_TIMEOUT`] or stopped with an error.
    fn stop_gateways(&mut self) -> usize {
        let mut unclean_stops = 0;
        for process in self.gateways.iter_mut().filter_map(|gateway| gateway.process.as_mut()) {
            if !process.stop(STOP_TIMEOUT) {
                unclean_stops += 1;
            }
        }
        unclean_stops
    }
}

fn tenant_names(script: &Script) -> Result<Vec<String>, ChaosTestError> {
    let settings = File::parse("(settings ...)", &script.settings)?;
    let tenants = settings.forms()?.take_all("tenant");
    tenants.iter().map(|tenant| Ok(tenant.named_fields()?.0)).collect()
}

fn class_requirements(site: &Site) -> Vec<ClassRequirements> {
    let classes = site.classes.iter().zip(&site.engine.balancer.classes);
    let requirements = classes.map(|(name, class)| ClassRequirements {
        name: name.clone(),
        is_keyed: class.effect != slatevalve::Effect::Idempotent,
        budget_us: class.deadline.0,
    });
    requirements.collect()
}

fn read_traces(directory: &Path) -> Result<Vec<Line>, ChaosTestError> {
    let mut lines = Vec::new();
    for entry in fs::read_dir(directory)? {
        let path = entry?.path();
        if path.extension().is_some_and(|extension| extension == "trace") {
            let text = fs::read_to_string(&path)?;
            lines.extend(trace::read(&text).map_err(|source| ChaosTestError::Trace { file: path, source })?);
        }
    }
    lines.sort_by_key(|line| line.at_us);
    Ok(lines)
}
