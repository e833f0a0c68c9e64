//! `slatevalve fleet-test`: many processes of this program under a script of faults, and `slatevalve link`, one link of it.

use super::{say_ready, Outcome};
use clap::Args;
use serde_json::json;
use slatevalve_fleet_test::{page, play, run_link, Kind, LinkPlan, Options, Report, Script};
use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Args)]
pub(super) struct FleetTestArguments {
    /// The script
    script: PathBuf,
    /// Another seed than the script's
    #[arg(long)]
    seed: Option<u64>,
    /// Play it first with the routers of this program, an earlier build, and report both
    #[arg(long)]
    beside: Option<PathBuf>,
    /// Keep settings, logs and counts in this directory, which must be empty or new
    #[arg(long)]
    keep: Option<PathBuf>,
    /// Write a page with charts
    #[arg(long)]
    page: Option<PathBuf>,
    /// Print one JSON object for each play
    #[arg(long)]
    json: bool,
}

pub(super) fn run(arguments: FleetTestArguments) -> Outcome {
    let FleetTestArguments { script, seed, beside, keep, page: to, json } = arguments;
    let text = fs::read_to_string(&script).map_err(|e| format!("{}: {e}", script.display()))?;
    let script = Script::parse(&script.display().to_string(), &text)?;
    let program = std::env::current_exe()?;
    let mut reports: Vec<(&str, Report)> = Vec::new();
    let plays = beside.map(|b| ("before", b)).into_iter().chain([("now", program.clone())]);
    for (title, routers) in plays {
        let keep = keep.as_ref().map(|k| k.join(title));
        let options = Options { program: program.clone(), routers, seed, keep };
        let report = play(&script, &options)?;
        match json {
            true => println!("{}", json!({"play": title, "report": report})),
            false => print!("{title}: {report}"),
        }
        reports.push((title, report));
    }
    if let Some(path) = to {
        write_page(&path, &script, &reports)?;
    }
    let good = reports.last().is_some_and(|(_, r)| r.is_good());
    Ok(if good { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn write_page(path: &Path, script: &Script, reports: &[(&str, Report)]) -> Result<(), Box<dyn Error>> {
    let mut bands: Vec<(f64, f64)> = script.events.iter().map(|(at, _)| (*at, at + 0.02)).collect();
    for group in &script.groups {
        match &group.kind {
            Kind::Registry { faults, .. } => bands.extend(faults.iter().map(|f| (f.0, f.0 + f.1))),
            Kind::Link { faults, .. } => bands.extend(faults.iter().map(|f| (f.0, f.0 + f.1))),
            _ => {}
        }
    }
    let reports: Vec<(&str, &Report)> = reports.iter().map(|(title, r)| (*title, r)).collect();
    Ok(fs::write(path, page(&reports, &bands)?)?)
}

pub(super) fn link(plan: &str) -> Outcome {
    let plan: LinkPlan = serde_json::from_str(plan)?;
    run_link(plan, |address| {
        // Whoever started it may not listen any more; it works all the same.
        let _ = say_ready(address);
    })?;
    Ok(ExitCode::SUCCESS)
}
