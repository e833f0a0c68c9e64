//! Text output of the `plugin` sub-commands.

use super::PluginCommand;
use serde_json::Value;

/// Formats the answer of a command.
pub(super) fn text(command: &PluginCommand, answer: &Value) -> String {
    let field = |name: &str| display_value(&answer[name]);
    match command {
        PluginCommand::Push { .. } => {
            format!("{}@{} added as {}", field("name"), field("version"), field("digest"))
        }
        PluginCommand::Pull { .. } => format!(
            "{}@{} pulled as {} ({} bytes downloaded, {} already present)",
            field("name"),
            field("version"),
            field("digest"),
            field("bytes"),
            field("had")
        ),
        PluginCommand::Publish { .. } => format!(
            "{}:{} published as {} ({} bytes uploaded, {} already present)",
            field("name"),
            field("version"),
            field("image"),
            field("bytes"),
            field("had")
        ),
        PluginCommand::Keygen { .. } => format!("public key: {}", field("public")),
        PluginCommand::Sign { .. } => {
            format!("{}@{} signed with key {}", field("name"), field("version"), field("key"))
        }
        PluginCommand::Alias { .. } => {
            format!(
                "{}@{} refers to {} (revision {})",
                field("name"),
                field("alias"),
                field("version"),
                field("revision")
            )
        }
        PluginCommand::Quarantine { .. } => format!("{} is in quarantine", field("digest")),
        PluginCommand::Delete { .. } => format!("{}@{} deleted", field("name"), field("deleted")),
        PluginCommand::Gc => format!("{} blobs removed", field("removed")),
        PluginCommand::Reload => "plug-in folder reloaded".into(),
        PluginCommand::Verify => verification(answer),
        PluginCommand::List => plugins(answer),
        PluginCommand::History { .. } => rows(answer, history_row).join("\n"),
        PluginCommand::Show { .. } => details(answer),
        PluginCommand::Status => status(answer),
    }
}

/// Formats a value: strings without quotes, null as `-`.
fn display_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}

/// Formats each element of an array as a line; no lines for a value of another type.
fn rows(value: &Value, row: impl Fn(&Value) -> String) -> Vec<String> {
    value.as_array().into_iter().flatten().map(row).collect()
}

/// Formats the elements of an array, separated by commas.
fn list(value: &Value) -> String {
    rows(value, display_value).join(",")
}

fn verification(answer: &Value) -> String {
    let found = rows(&answer["quarantined"], |entry| {
        format!("  {}: {}", display_value(&entry["version"]), display_value(&entry["reason"]))
    });
    let blobs = display_value(&answer["blobs"]);
    let mut lines = vec![format!("{blobs} blobs, {} versions quarantined", found.len())];
    lines.extend(found);
    lines.join("\n")
}

fn plugins(answer: &Value) -> String {
    let mut lines = vec![format!("{:<32} {:<16} versions", "plug-in", "current")];
    lines.extend(rows(answer, |plugin| {
        let (name, current) = (display_value(&plugin["name"]), display_value(&plugin["current"]));
        format!("{name:<32} {current:<16} {}", display_value(&plugin["versions"]))
    }));
    lines.join("\n")
}

fn history_row(moved: &Value) -> String {
    let (revision, at, who) =
        (display_value(&moved["revision"]), display_value(&moved["at_ms"]), display_value(&moved["who"]));
    format!(
        "{revision:>6}  {at:>14}  {who:<16} {} -> {}",
        display_value(&moved["from"]),
        display_value(&moved["to"])
    )
}

fn status(answer: &Value) -> String {
    let pulls = &answer["pulls"];
    let mut lines = vec![format!(
        "{} calls open; pulls: {} done, {} failed, {} bytes, {} requests",
        display_value(&answer["open"]),
        display_value(&pulls["done"]),
        display_value(&pulls["failed"]),
        display_value(&pulls["bytes"]),
        display_value(&pulls["requests"])
    )];
    lines.extend(rows(&answer["moves"], |moved| {
        let (name, from, to) =
            (display_value(&moved["name"]), display_value(&moved["from"]), display_value(&moved["to"]));
        let (standing, needed) = (display_value(&moved["standing"]), display_value(&moved["needed"]));
        format!("  {name}: {from} -> {to}, {standing} of {needed} copies ready")
    }));
    lines.extend(rows(&answer["barred"], |barred| {
        format!("  {}: {}", display_value(&barred["digest"]), display_value(&barred["reason"]))
    }));
    lines.join("\n")
}

fn details(answer: &Value) -> String {
    let mut lines =
        vec![format!("{:<16} {:<12} {:<20} {:<12} digest", "version", "state", "aliases", "signed by")];
    lines.extend(rows(&answer["versions"], version_row));
    lines.extend(rows(&answer["aliases"], |alias| {
        let (name, version, revision) = (
            display_value(&alias["alias"]),
            display_value(&alias["version"]),
            display_value(&alias["revision"]),
        );
        format!("@{name:<15} {version} (revision {revision})")
    }));
    lines.join("\n")
}

fn version_row(row: &Value) -> String {
    let quarantine = &row["quarantine"];
    let state = if quarantine.is_null() { display_value(&row["state"]) } else { "quarantine".into() };
    let (version, digest) = (display_value(&row["version"]), display_value(&row["digest"]));
    let (aliases, signed_by) = (list(&row["aliases"]), list(&row["signed_by"]));
    let mut line = format!("{version:<16} {state:<12} {aliases:<20} {signed_by:<12} {digest}");
    if !quarantine.is_null() {
        line += &format!("\n  {}", display_value(&quarantine["reason"]));
    }
    line
}
