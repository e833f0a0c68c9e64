//! The sub-commands `chaos-test`, which runs a script, and `rules`, which checks a recorded trace again.

use super::CommandResult;
use crate::chaos_test::{self, script::Script};
use serde_json::json;
use slatevalve_trace_checker::{check, trace, Terms};
use std::fs;
use std::io::{self, IsTerminal};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Number of progress lines that are printed during a test.
const PROGRESS_LINES: f64 = 10.0;

/// Runs a script on this machine and prints its report; exit code 1 if a rule was violated or a call has no
/// answer.
pub(super) fn chaos_test(
    script: &Path,
    seed: u64,
    keep: Option<PathBuf>,
    json: bool,
    log_level: String,
) -> CommandResult {
    let text = fs::read_to_string(script).map_err(|e| format!("{}: {e}", script.display()))?;
    let script = Script::parse(&script.display().to_string(), &text)?;
    let mut printed = 0;
    let progress = |seconds: f64, open: usize| {
        let part = (seconds / script.seconds * PROGRESS_LINES).floor() as i64;
        if part > printed && io::stderr().is_terminal() {
            printed = part;
            eprintln!("  {seconds:.1} of {:.1} s, {open} calls open", script.seconds);
        }
    };
    let report = chaos_test::run(&script, &chaos_test::Options { seed, keep, log_level }, progress)?;
    match json {
        true => println!("{}", serde_json::to_string(&report)?),
        false => print!("{report}"),
    }
    Ok(if report.is_good() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Checks the trace in a directory that `chaos-test --keep` wrote; exit code 1 if a rule is violated.
pub(super) fn rules(directory: &Path, json: bool) -> CommandResult {
    let read = |name: &str| {
        let path = directory.join(name);
        fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))
    };
    let terms: Terms = serde_json::from_str(&read("terms.json")?)?;
    let lines = trace::read(&read("all.jsonl")?).map_err(|e| format!("all.jsonl: {e}"))?;
    let violations = check(&terms, &lines);
    if json {
        println!("{}", json!({"lines": lines.len(), "violations": violations}));
    } else {
        println!("{} lines, {} violations", lines.len(), violations.len());
        for violation in &violations {
            println!("  {:?} at {}: {}", violation.rule, violation.at_us, violation.what);
        }
    }
    Ok(if violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
