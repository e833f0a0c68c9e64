//! `slatevalve fleet-test`, which runs many processes of this program under scripted faults, and `slatevalve
//! link`, which runs one network link of such a test.

use super::{print_ready, CommandResult};
use clap::Args;
use serde_json::json;
use slatevalve_fleet_test::{page, run as run_script, run_link, LinkPlan, Options, Script, TitledReport};
use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Width of the band that marks an event on the page, in seconds.
const EVENT_BAND_S: f64 = 0.02;

#[derive(Args)]
pub(super) struct FleetTestArguments {
    /// The script file
    script: PathBuf,
    /// Use this seed instead of the script's
    #[arg(long)]
    seed: Option<u64>,
    /// Run the script first with routers of this executable, an earlier build, and report both runs
    #[arg(long = "beside", value_name = "BESIDE")]
    earlier_build: Option<PathBuf>,
    /// Keep settings, logs and counts in this directory, which must be empty or new
    #[arg(long = "keep", value_name = "KEEP")]
    output_directory: Option<PathBuf>,
    /// Write a page with charts to this file
    #[arg(long)]
    page: Option<PathBuf>,
    /// Print one JSON object per run
    #[arg(long)]
    json: bool,
}

pub(super) fn run(arguments: FleetTestArguments) -> CommandResult {
    let path = &arguments.script;
    let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let script = Script::parse(&path.display().to_string(), &text)?;
    let program = std::env::current_exe()?;
    let earlier_build = arguments.earlier_build.map(|earlier| ("before", earlier));
    let mut reports = Vec::new();
    for (title, router_program) in earlier_build.into_iter().chain([("now", program.clone())]) {
        let output_directory = arguments.output_directory.as_ref().map(|directory| directory.join(title));
        let options =
            Options { program: program.clone(), router_program, seed: arguments.seed, output_directory };
        let report = run_script(&script, &options)?;
        match arguments.json {
            true => println!("{}", json!({"play": title, "report": report})),
            false => print!("{title}: {report}"),
        }
        reports.push((title, report));
    }
    if let Some(page_path) = arguments.page {
        let titled: Vec<TitledReport> =
            reports.iter().map(|(title, report)| TitledReport { title, report }).collect();
        write_page(&page_path, &script, &titled)?;
    }
    let is_good = reports.last().is_some_and(|(_, report)| report.is_good());
    Ok(if is_good { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn write_page(path: &Path, script: &Script, reports: &[TitledReport]) -> Result<(), Box<dyn Error>> {
    let events = script.events.iter().map(|timed| (timed.at_s, timed.at_s + EVENT_BAND_S));
    let bands: Vec<(f64, f64)> = events.chain(script.fault_periods()).collect();
    Ok(fs::write(path, page(reports, &bands)?)?)
}

pub(super) fn link(plan: &str) -> CommandResult {
    let plan: LinkPlan = serde_json::from_str(plan)?;
    run_link(plan, |address| {
        // The link also works after the reader of its output has exited.
        let _ = print_ready(address);
    })?;
    Ok(ExitCode::SUCCESS)
}
