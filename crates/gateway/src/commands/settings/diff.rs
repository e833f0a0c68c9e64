//! `settings diff`: the contradictions between two documents, and the restrictions while one replaces the
//! other.

use super::client::SettingsClient;
use super::output::OutputFormat;
use super::{parse, read_file};
use crate::commands::session::{RegistryArguments, SessionResult};
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

/// The number of a published document; `None` for an existing file, even if its name is a number.
fn published_number(name: &str) -> Option<u64> {
    name.parse().ok().filter(|_| !Path::new(name).exists())
}

fn read_terms(client: Option<&mut SettingsClient>, name: &str) -> SessionResult<Terms> {
    match (published_number(name), client) {
        (Some(number), Some(client)) => Ok(parse(name, &client.document(number)?.text)?.terms()),
        _ => Ok(read_file(Path::new(name))?.shared.terms()),
    }
}

/// Classes that are restricted during the change, including those that only one of the documents has.
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
        return "no contradictions: the change waits for no router".into();
    }
    let mut lines: Vec<String> = found.iter().map(ToString::to_string).collect();
    lines.push(
        "until all routers have acknowledged the change, calls affected by these fields are refused or follow \
         the stricter document"
            .into(),
    );
    lines.push(format!("classes with stricter rules during the change: {restricted:?}"));
    lines.join("\n")
}
