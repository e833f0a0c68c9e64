//! Runs a script: starts its processes on loopback, executes its events on schedule, and collects the results
//! as a [`Report`].

mod events;
mod launch;
mod results;

use crate::counters::now_us;
use crate::error::{FleetTestError, IoContext};
use crate::process::Process;
use crate::report::{PausePeriod, Report};
use crate::script::{GroupKind, Script, ScriptedEvent, TimedEvent};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Time for the start of the services, in addition to [`START_PER_PROCESS_US`], in microseconds. Plans state
/// faults as absolute times, so second 0 is fixed before the first process is started.
const START_US: i64 = 800_000;
/// Additional start time for each process that is not a router, in microseconds.
const START_PER_PROCESS_US: i64 = 20_000;

/// The options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The executable of registries, links, relays, workers and operators' commands.
    pub program: PathBuf,
    /// The executable of the routers, which may be an earlier build.
    pub router_program: PathBuf,
    /// Replaces the script's seed.
    pub seed: Option<u64>,
    /// The directory for logs, settings and counters, which must be empty or new; without one they are
    /// removed after the run.
    pub output_directory: Option<PathBuf>,
}

/// One run of a router's process, from a start to its end.
struct RouterProcessRun {
    started_us: i64,
    /// The time at which the script ended the process; none where it did not.
    ended_us: Option<i64>,
    log: PathBuf,
}

/// A process of the script, running or not.
struct ManagedProcess {
    /// The index of its group in the script.
    group: usize,
    process: Option<Process>,
    is_paused: bool,
    /// The runs of a router; empty for other processes.
    runs: Vec<RouterProcessRun>,
    /// The end of a pause is `i64::MAX` until the process is resumed.
    pauses: Vec<PausePeriod>,
}

/// The result of an operator's drain command.
pub(crate) struct DrainCommand {
    pub(crate) worker: String,
    /// The time at which the command succeeded, in microseconds of the Unix clock; none where it failed.
    pub(crate) succeeded_us: Option<i64>,
}

struct Runner<'a> {
    script: &'a Script,
    options: &'a Options,
    directory: &'a Path,
    /// Second 0 of the test, in microseconds of the Unix clock.
    start_us: i64,
    seed: u64,
    random: Pcg64Mcg,
    processes: BTreeMap<String, ManagedProcess>,
    /// The addresses of all processes except routers, by process name.
    addresses: BTreeMap<String, SocketAddr>,
    drain_commands: Vec<JoinHandle<DrainCommand>>,
}

/// Runs a script to its end.
///
/// # Errors
/// When a process or a file fails, or the services are not ready by second 0. An unmet expectation is no
/// error; the report contains it.
pub fn run(script: &Script, options: &Options) -> Result<Report, FleetTestError> {
    let temporary = tempfile::tempdir().context("temporary directory")?;
    let directory = match &options.output_directory {
        Some(directory) => prepare_output(directory)?,
        None => temporary.path(),
    };
    Runner::new(script, options, directory).run()
}

fn prepare_output(directory: &Path) -> Result<&Path, FleetTestError> {
    fs::create_dir_all(directory).context("output directory")?;
    match fs::read_dir(directory).context("output directory")?.next() {
        Some(_) => Err(FleetTestError::NotEmpty(directory.into())),
        None => Ok(directory),
    }
}

impl<'a> Runner<'a> {
    fn new(script: &'a Script, options: &'a Options, directory: &'a Path) -> Self {
        let processes: usize = script.groups.iter().map(|group| group.count).sum();
        let services = processes - script.router_count();
        let seed = options.seed.unwrap_or(script.seed);
        Runner {
            script,
            options,
            directory,
            start_us: now_us() + START_US + START_PER_PROCESS_US * services as i64,
            seed,
            random: Pcg64Mcg::seed_from_u64(seed),
            processes: BTreeMap::new(),
            addresses: BTreeMap::new(),
            drain_commands: Vec::new(),
        }
    }

    /// A second of the test as microseconds of the Unix clock.
    fn clock_us(&self, seconds: f64) -> i64 {
        self.start_us.saturating_add((seconds * 1e6) as i64)
    }

    fn run(mut self) -> Result<Report, FleetTestError> {
        self.start_services()?;
        for TimedEvent { at_s, event } in self.timeline() {
            self.wait_until(self.clock_us(at_s));
            self.execute(event)?;
        }
        self.wait_until(self.clock_us(self.script.seconds));
        self.finish()
    }

    /// Starts all services and adds the routers as processes that are started by an event.
    fn start_services(&mut self) -> Result<(), FleetTestError> {
        for (index, group) in self.script.groups.iter().enumerate() {
            for name in group.process_names() {
                let process = match group.kind {
                    GroupKind::Routers(_) => None,
                    _ => Some(self.start_service(group, &name, None)?),
                };
                if let Some(process) = &process {
                    self.addresses.insert(name.clone(), process.address);
                }
                let managed = ManagedProcess {
                    group: index,
                    process,
                    is_paused: false,
                    runs: Vec::new(),
                    pauses: Vec::new(),
                };
                self.processes.insert(name, managed);
            }
        }
        match now_us() > self.start_us {
            true => Err(FleetTestError::StartTooSlow),
            false => Ok(()),
        }
    }

    /// The script's events and the starts of its routers, ordered by time.
    fn timeline(&self) -> Vec<TimedEvent> {
        let mut timeline = self.script.events.clone();
        for group in &self.script.groups {
            if let GroupKind::Routers(routers) = &group.kind {
                let event = ScriptedEvent::Start(group.name.clone());
                timeline.push(TimedEvent { at_s: routers.start_s, event });
            }
        }
        timeline.sort_by(|left, right| left.at_s.total_cmp(&right.at_s));
        timeline
    }

    fn wait_until(&self, at_us: i64) {
        if let Ok(remaining_us) = u64::try_from(at_us - now_us()) {
            thread::sleep(Duration::from_micros(remaining_us));
        }
    }
}
