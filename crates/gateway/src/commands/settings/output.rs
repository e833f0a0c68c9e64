//! Output of the `settings` sub-commands, as JSON or as text.

use serde_json::{json, Value};
use slatevalve_config_versioning::{
    Document, DocumentVersion, Entry, PendingAck, RouterId, RouterLease, Snapshot, State, WaitReason,
};
use std::io::{self, IsTerminal, Write};

/// Maximum number of awaited routers that are listed in a line.
const MAX_NAMED_ROUTERS: usize = 5;
/// Width of the progress bar, in characters.
const PROGRESS_BAR_CHARACTERS: usize = 20;

/// How results are printed on standard output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OutputFormat {
    /// One JSON value per line.
    Json,
    /// Readable text.
    Text,
}

impl OutputFormat {
    /// Chooses the format by the flag `--json`.
    pub(super) fn new(json: bool) -> Self {
        if json {
            OutputFormat::Json
        } else {
            OutputFormat::Text
        }
    }

    /// Prints a result as a value or as text.
    pub(super) fn print(self, value: &Value, text: impl FnOnce() -> String) {
        match self {
            OutputFormat::Json => println!("{value}"),
            OutputFormat::Text => println!("{}", text()),
        }
    }
}

/// The routers whose acknowledgement a change waits for.
#[derive(Default)]
pub(super) struct PendingAcks {
    pub(super) acks: Vec<PendingAck>,
    /// The number of all routers with a lease.
    pub(super) routers: usize,
}

impl PendingAcks {
    /// The names of the awaited routers.
    pub(super) fn names(&self) -> Vec<&str> {
        self.acks.iter().map(|ack| ack.name.as_str()).collect()
    }

    /// Prints the awaited routers on standard error, with a progress bar on a terminal.
    pub(super) fn print(&self) {
        let routers = self.routers.max(self.acks.len()).max(1);
        let acknowledged = routers - self.acks.len();
        let names: Vec<String> = self.acks.iter().take(MAX_NAMED_ROUTERS).map(pending_ack_text).collect();
        let mut out = io::stderr().lock();
        let bar = if out.is_terminal() { progress_bar(acknowledged, routers) } else { String::new() };
        // The command continues if progress cannot be printed.
        let _ = writeln!(
            out,
            "{bar}{acknowledged} of {routers} routers have acknowledged; awaited: {}",
            names.join(", ")
        );
    }
}

fn progress_bar(done: usize, all: usize) -> String {
    let full = done * PROGRESS_BAR_CHARACTERS / all;
    format!("[{}{}] ", "#".repeat(full), ".".repeat(PROGRESS_BAR_CHARACTERS - full))
}

fn pending_ack_text(ack: &PendingAck) -> String {
    let reason = match ack.reason {
        WaitReason::Acknowledgement => "goes on by the rules it has",
        WaitReason::LeaseExpiry(_) => "until its lease expires",
        WaitReason::UnreadableLease => "its lease record cannot be read here",
    };
    format!("{} ({reason})", ack.name)
}

/// A document of the history as JSON.
pub(super) fn history_row(document: &Document) -> Value {
    let Document { number, parent, digest, who, why, .. } = document;
    json!({"number": number, "parent": parent, "digest": digest, "who": who, "why": why})
}

/// A document of the history as a line of text.
pub(super) fn history_line(document: &Document) -> String {
    let Document { number, parent, digest, who, why, .. } = document;
    format!("{number:>6} of {parent:<6} {digest:.12} {who}: {why}")
}

/// The state of the rollout as JSON: documents in force, and the lease of each router.
pub(super) fn status(snapshot: &Snapshot) -> Value {
    let Some(Entry { value: state, .. }) = &snapshot.state else { return json!({"published": false}) };
    let active_settings = &state.active_settings;
    let version = |version: &DocumentVersion| version_row(snapshot, version);
    let routers: Vec<Value> =
        snapshot.leases.iter().map(|(id, entry)| router_row(state, id, &entry.value)).collect();
    let unreadable: Vec<String> = snapshot.unreadable.iter().map(ToString::to_string).collect();
    json!({
        "published": true,
        "step": state.step,
        "committed": version(&active_settings.committed),
        "prepared": active_settings.prepared.as_ref().map(version),
        "routers": routers,
        "unread": unreadable,
    })
}

fn version_row(snapshot: &Snapshot, version: &DocumentVersion) -> Value {
    let document = snapshot.document(version);
    json!({
        "number": version.number,
        "digest": version.digest,
        "who": document.map(|document| &document.who),
        "why": document.map(|document| &document.why),
        "in-doubt": document.map(|document| document.expiry_policy),
    })
}

fn router_row(state: &State, id: &RouterId, lease: &RouterLease) -> Value {
    let numbers: Vec<u64> = lease.active_settings.versions().map(|version| version.number).collect();
    json!({
        "router": id.name,
        "life": id.incarnation,
        "acts-by": numbers,
        "said-yes": lease.acknowledges(state),
        "in-doubt": lease.expiry_policy,
    })
}

/// The text of [`status`].
pub(super) fn status_text(status: &Value) -> String {
    if status["published"] == false {
        return "no document is published".into();
    }
    let version = |row: &Value| format!("document {} ({}: {})", row["number"], row["who"], row["why"]);
    let mut lines = vec![format!("committed: {}", version(&status["committed"]))];
    if !status["prepared"].is_null() {
        lines.push(format!("prepared: {}", version(&status["prepared"])));
    }
    for router in status["routers"].as_array().into_iter().flatten() {
        let acknowledged = if router["said-yes"] == true { "yes" } else { "awaited" };
        let name = router["router"].as_str().unwrap_or_default();
        lines.push(format!("router {name:<32} {acknowledged:<8} acts by {}", router["acts-by"]));
    }
    for unreadable in status["unread"].as_array().into_iter().flatten() {
        lines.push(format!("cannot be read: {unreadable}"));
    }
    lines.join("\n")
}
