//! The cases of the second review. Usage: `driver CASE`, with CASE_FOLDER, SLATEVALVE and TROUBLE in the environment.
//! Exit code 0: the rule held; 1: it was broken; 2: the case could not run.

mod broker;
mod broker_repeat;
mod common;
mod dropped_answers;
mod group_repeat;
mod late_drain;
mod lost_publish;
mod lost_quarantine;
mod many_ids;
mod new_route;
mod silent_broker;
mod stale_settings;

use common::{Case, Fallible, Record, Verdict};
use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    match run() {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken(_)) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Fallible<Verdict> {
    let name = std::env::args().nth(1).ok_or("which case?")?;
    let folder = PathBuf::from(std::env::var("CASE_FOLDER")?);
    let record = Record::create(&folder.join("record.txt"))?;
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let temp = std::env::temp_dir().join(format!("review-2-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&temp)?;
    record.line(format!("case {name}, {} the disruption", if trouble { "with" } else { "without" }));
    let case = Case { record, trouble, temp, program: PathBuf::from(std::env::var("SLATEVALVE")?) };
    let verdict = match name.as_str() {
        "dropped-answers" => dropped_answers::run(&case),
        "lost-publish" => lost_publish::run(&case),
        "group-repeat" => group_repeat::run(&case),
        "silent-broker" => silent_broker::run(&case),
        "stale-settings" => stale_settings::run(&case),
        "late-drain" => late_drain::run(&case),
        "many-ids" => many_ids::run(&case),
        "lost-quarantine" => lost_quarantine::run(&case),
        "broker-repeat" => broker_repeat::run(&case),
        "new-route" => new_route::run(&case),
        _ => Err("unknown case".into()),
    };
    match &verdict {
        Ok(Verdict::Held) => case.record.line("the rule HELD"),
        Ok(Verdict::Broken(what)) => case.record.line(format!("the rule was BROKEN: {what}")),
        Err(error) => case.record.line(format!("could not run: {error}")),
    }
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&case.temp);
    }
    verdict
}
