//! `settings diff`: what contradicts between two documents, and what is restricted while one replaces the other.

use super::client::SettingsClient;
use super::output::OutputFormat;
use super::{parse, read_file};
use crate::commands::session::{RegistryArguments, Res};
use crate::commands::CommandResult;
use serde_json::{json, Value};
use slatevalve_config_versioning::{contradictions, Class, Contradiction, Terms};
use std::path::Path;
use std::process::ExitCode;

/// Compares two documents, each a file or the number of a published one.
pub(super) fn diff(registry: RegistryArguments, format: OutputFormat, old: &str, new: &str) -> CommandResult {
    let needs_registry = [old, new].into_iter().any(|name| published_number(name).is_some());
    let mut client = needs_registry.then(|| SettingsClient::new(registry, format)).transpose()?;
    let old = read_terms(client.as_mut(), old)?;
    let new = read_terms(client.as_mut(), new)?;
    let found = contradictions(&old, &new);
    let restricted = restricted_classes(&old, &new);
    let rows: Vec<Value> =
        found.iter().map(|one| json!({"field": one.field, "reason": one.reason})).collect();
    let value = json!({"contradictions": rows, "stricter-meanwhile": restricted});
    format.print(&value, || text(&found, &restricted));
    Ok(if found.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// The number of a published document; `None` for a file, also if its name is a number.
fn published_number(name: &str) -> Option<u64> {
    name.parse().ok().filter(|_| !Path::new(name).exists())
}

fn read_terms(client: Option<&mut SettingsClient>, name: &str) -> Res<Terms> {
    match (published_number(name), client) {
        (Some(number), Some(client)) => Ok(parse(name, &client.document(number)?.text)?.terms()),
        _ => Ok(read_file(Path::new(name))?.shared.terms()),
    }
}

/// Classes that are restricted while the change is under way, those that only one side has included.
fn restricted_classes(old: &Terms, new: &Terms) -> Vec<String> {
    let meet = old.meet(new);
    let is_restricted = |name: &String, meet: &Class| {
        [old, new].into_iter().any(|side| {
            side.classes.get(name).is_none_or(|class| {
                class.retry != meet.retry || class.attempts.applied != meet.attempts.applied
            })
        })
    };
    let classes = meet.classes.iter().filter(|(name, class)| is_restricted(name, class));
    classes.map(|(name, _)| name.clone()).collect()
}

fn text(found: &[Contradiction], restricted: &[String]) -> String {
    if found.is_empty() {
        return "nothing contradicts: the change waits for nobody".into();
    }
    let mut lines: Vec<String> = found.iter().map(ToString::to_string).collect();
    lines.push(
        "until all routers have said yes: what is named above is refused or kept to by the stricter side"
            .into(),
    );
    lines.push(format!("classes under stricter rules meanwhile: {restricted:?}"));
    lines.join("\n")
}
