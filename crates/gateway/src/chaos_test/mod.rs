//! The chaos test: starts gateways and test workers as processes on loopback, injects the faults and events
//! of a script, and checks the rules from the recorded traffic. The command line calls [`run`].

mod arrivals;
mod error;
mod report;
mod runner;
pub mod script;

pub use error::ChaosTestError;
pub use report::{Report, WindowReport};

use runner::{RunRecord, Runner};
use script::Script;
use slatevalve_trace_checker::trace;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// Options of a run, from the command line.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Seed from which calls, workers and gateways derive theirs.
    pub seed: u64,
    /// Directory for settings, logs and traces, which must be empty or not exist; `None` removes these files
    /// after the run.
    pub keep: Option<PathBuf>,
    /// Log filter of the gateways, which log to `gateway-N.log`.
    pub log_level: String,
}

/// Runs a script and checks the rules. `progress` is called with the seconds since the start and the number
/// of open calls.
///
/// # Errors
/// If a process or a file fails or the script is invalid. The report contains violated rules.
pub fn run(
    script: &Script,
    options: &Options,
    progress: impl FnMut(f64, usize),
) -> Result<Report, ChaosTestError> {
    let temporary = tempfile::tempdir()?;
    let directory = match &options.keep {
        Some(directory) => prepare_output(directory)?,
        None => temporary.path(),
    };
    let record = Runner::start(script, directory, options)?.run(progress)?;
    if options.keep.is_some() {
        write_record(directory, &record)?;
    }
    Ok(Report::new(&script.name, options.seed, &record))
}

/// Creates the output directory. Files of an earlier run in it would be read as part of this one.
fn prepare_output(directory: &Path) -> Result<&Path, ChaosTestError> {
    fs::create_dir_all(directory)?;
    match fs::read_dir(directory)?.next() {
        Some(_) => Err(ChaosTestError::NotEmpty(directory.into())),
        None => Ok(directory),
    }
}

/// Writes the trace and the terms, which `slatevalve rules` reads.
fn write_record(directory: &Path, record: &RunRecord) -> Result<(), ChaosTestError> {
    let text: String = record.lines.iter().map(|line| trace::write(line) + "\n").collect();
    fs::write(directory.join("all.jsonl"), text)?;
    let terms = serde_json::to_string_pretty(&record.terms).map_err(io::Error::other)?;
    fs::write(directory.join("terms.json"), terms)?;
    Ok(())
}
