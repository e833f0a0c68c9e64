//! The chaos test: gateways and test workers as processes on loopback, faults and events by a script, and the rules checked
//! from the recorded traffic. The command line calls [`run`].

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

/// The options of a run.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The seed of calls, workers and gateways.
    pub seed: u64,
    /// The directory for settings, logs and traces, which must be empty or new; without one they are removed after the run.
    pub keep: Option<PathBuf>,
    /// The gateways' log level.
    pub log_level: String,
}

/// Runs a script and checks the rules. `progress` is called with the seconds since the start and the number of open calls.
///
/// # Errors
/// When a process, a file or the script fails; a violated rule is not an error but part of the report.
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

/// Creates the directory; files of an earlier run in it would be read as part of this one.
fn prepare_output(directory: &Path) -> Result<&Path, ChaosTestError> {
    fs::create_dir_all(directory)?;
    match fs::read_dir(directory)?.next() {
        Some(_) => Err(ChaosTestError::NotEmpty(directory.into())),
        None => Ok(directory),
    }
}

/// Writes the files that `slatevalve rules` reads.
fn write_record(directory: &Path, record: &RunRecord) -> Result<(), ChaosTestError> {
    let text: String = record.lines.iter().map(|line| trace::write(line) + "\n").collect();
    fs::write(directory.join("all.jsonl"), text)?;
    let terms = serde_json::to_string_pretty(&record.terms).map_err(io::Error::other)?;
    fs::write(directory.join("terms.json"), terms)?;
    Ok(())
}
