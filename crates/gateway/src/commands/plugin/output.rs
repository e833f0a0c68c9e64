//! Answers of the `plugin` sub-commands as lines for people.

use super::PluginCommand;
use serde_json::Value;

/// The text for a command's answer.
pub(super) fn text(command: &PluginCommand, answer: &Value) -> String {
    let of = |field: &str| word(&answer[field]);
    match command {
        PluginCommand::Push { .. } => format!("{}@{} is here as {}", of("name"), of("version"), of("digest")),
        PluginCommand::Pull { .. } => format!(
            "{}@{} is here as {} ({} bytes came, {} were here)",
            of("name"),
            of("version"),
            of("digest"),
            of("bytes"),
            of("had")
        ),
        PluginCommand::Publish { .. } => format!(
            "{}:{} is in the registry as {} ({} bytes went, {} were there)",
            of("name"),
            of("version"),
            of("image"),
            of("bytes"),
            of("had")
        ),
        PluginCommand::Keygen { .. } => format!("public key: {}", of("public")),
        PluginCommand::Sign { .. } => format!("{}@{} is signed by {}", of("name"), of("version"), of("key")),
        PluginCommand::Alias { .. } => {
            format!("{}@{} means {} (revision {})", of("name"), of("alias"), of("version"), of("revision"))
        }
        PluginCommand::Quarantine { .. } => format!("{} is in quarantine", of("digest")),
        PluginCommand::Delete { .. } => format!("{}@{} is deleted", of("name"), of("deleted")),
        PluginCommand::Gc => format!("{} blobs removed", of("removed")),
        PluginCommand::Reload => "read again".into(),
        PluginCommand::Verify => verification(answer),
        PluginCommand::List => plugins(answer),
        PluginCommand::History { .. } => rows(answer, history_row).join("\n"),
        PluginCommand::Show { .. } => details(answer),
        PluginCommand::Status => status(answer),
    }
}

/// A value as a word: texts without quotes, `-` for nothing.
fn word(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}

/// A line for each element of an array; none where it is no array.
fn rows(value: &Value, row: impl Fn(&Value) -> String) -> Vec<String> {
    value.as_array().into_iter().flatten().map(row).collect()
}

/// The elements of an array, separated by commas.
fn list(value: &Value) -> String {
    rows(value, word).join(",")
}

fn verification(answer: &Value) -> String {
    let found = rows(&answer["quarantined"], |entry| {
        format!("  {}: {}", word(&entry["version"]), word(&entry["reason"]))
    });
    let blobs = word(&answer["blobs"]);
    let mut lines = vec![format!("{blobs} blobs, {} versions put into quarantine", found.len())];
    lines.extend(found);
    lines.join("\n")
}

fn plugins(answer: &Value) -> String {
    let mut lines = vec![format!("{:<32} {:<16} versions", "plug-in", "current")];
    lines.extend(rows(answer, |plugin| {
        let (name, current) = (word(&plugin["name"]), word(&plugin["current"]));
        format!("{name:<32} {current:<16} {}", word(&plugin["versions"]))
    }));
    lines.join("\n")
}

fn history_row(moved: &Value) -> String {
    let (revision, at, who) = (word(&moved["revision"]), word(&moved["at_ms"]), word(&moved["who"]));
    format!("{revision:>6}  {at:>14}  {who:<16} {} -> {}", word(&moved["from"]), word(&moved["to"]))
}

fn status(answer: &Value) -> String {
    let pulls = &answer["pulls"];
    let mut lines = vec![format!(
        "{} calls open; pulls: {} done, {} failed, {} bytes, {} requests",
        word(&answer["open"]),
        word(&pulls["done"]),
        word(&pulls["failed"]),
        word(&pulls["bytes"]),
        word(&pulls["requests"])
    )];
    lines.extend(rows(&answer["moves"], |moved| {
        let (name, from, to) = (word(&moved["name"]), word(&moved["from"]), word(&moved["to"]));
        let (standing, needed) = (word(&moved["standing"]), word(&moved["needed"]));
        format!("  {name}: {from} -> {to}, {standing} of {needed} copies stand")
    }));
    lines.extend(rows(&answer["barred"], |barred| {
        format!("  {}: {}", word(&barred["digest"]), word(&barred["reason"]))
    }));
    lines.join("\n")
}

fn details(answer: &Value) -> String {
    let mut lines =
        vec![format!("{:<16} {:<12} {:<20} {:<12} digest", "version", "state", "aliases", "signed by")];
    lines.extend(rows(&answer["versions"], version_row));
    lines.extend(rows(&answer["aliases"], |alias| {
        let (name, version, revision) =
            (word(&alias["alias"]), word(&alias["version"]), word(&alias["revision"]));
        format!("@{name:<15} {version} (revision {revision})")
    }));
    lines.join("\n")
}

fn version_row(row: &Value) -> String {
    let quarantine = &row["quarantine"];
    let state = if quarantine.is_null() { word(&row["state"]) } else { "quarantine".into() };
    let (version, digest) = (word(&row["version"]), word(&row["digest"]));
    let (aliases, signed_by) = (list(&row["aliases"]), list(&row["signed_by"]));
    let mut line = format!("{version:<16} {state:<12} {aliases:<20} {signed_by:<12} {digest}");
    if !quarantine.is_null() {
        line += &format!("\n  {}", word(&quarantine["reason"]));
    }
    line
}
