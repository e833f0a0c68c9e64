//! The `settings` sub-commands: check and compare documents, publish one and drive its rollout, withdraw it,
//! show which routers have acknowledged it.
//!
//! `slatevalve-config-versioning` decides which documents contradict each other, what can be published and
//! when a change is committed. A command may be killed at any step; `settings drive` continues the change.

mod client;
mod diff;
mod error;
mod output;

use super::session::{RegistryArguments, SessionResult};
use super::CommandResult;
use crate::clock::Clock;
use crate::settings::{read_text, SharedSettings};
use clap::{Args, Subcommand};
use client::{Draft, SettingsClient};
use diff::diff;
use error::SettingsError;
use output::OutputFormat;
use serde_json::json;
use slatevalve_config_versioning::Document;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The author of a document that a rollback publishes again.
const ROLLBACK_AUTHOR: &str = "rollback";

#[derive(Args)]
pub(super) struct SettingsArguments {
    #[command(flatten)]
    registry: RegistryArguments,
    /// Print JSON
    #[arg(long)]
    json: bool,
    #[command(subcommand)]
    command: SettingsCommand,
}

#[derive(Subcommand)]
enum SettingsCommand {
    /// Check a document without a registry
    Check {
        /// File with the document
        file: PathBuf,
    },
    /// Show in which fields two documents contradict each other, and which classes are restricted while one
    /// replaces the other
    ///
    /// Each is a file, or the number of a published document. Exits with 1 if they contradict each other.
    Diff {
        /// The old document
        old: String,
        /// The new document
        new: String,
    },
    /// Publish a document and drive the change until it is committed
    Publish {
        /// File with the document
        file: PathBuf,
        /// Reason for the change, for the history
        #[arg(long)]
        why: String,
        /// Author of the change, for the history
        #[arg(long, default_value = "operator")]
        who: String,
        /// Use a document number above this one, for a registry that was restored from a backup
        #[arg(long, default_value_t = 0)]
        above: u64,
        /// Stop waiting after this many seconds; the change stays prepared
        #[arg(long, default_value_t = 60.0)]
        wait_s: f64,
    },
    /// Drive a change that another command began until it is committed
    Drive {
        /// Stop waiting after this many seconds
        #[arg(long, default_value_t = 60.0)]
        wait_s: f64,
    },
    /// Show the committed and the prepared document, and which routers have acknowledged the change
    Status,
    /// List the published documents
    History,
    /// Withdraw a prepared change; if there is none, publish an older document again
    Rollback {
        /// Number of the document; the default is the parent of the committed one
        number: Option<u64>,
        /// Stop waiting after this many seconds
        #[arg(long, default_value_t = 60.0)]
        wait_s: f64,
    },
    /// Remove the lease of a router, asserting that it no longer sends anything
    DeclareGone {
        /// Name of the router
        name: String,
        /// Remove only the lease of this incarnation; the default is all incarnations
        #[arg(long = "life", value_name = "LIFE")]
        incarnation: Option<String>,
    },
}

/// Runs a `settings` sub-command.
pub(super) fn settings(arguments: SettingsArguments) -> CommandResult {
    let SettingsArguments { registry, json, command } = arguments;
    let format = OutputFormat::new(json);
    match command {
        SettingsCommand::Check { file } => check(format, &file),
        SettingsCommand::Diff { old, new } => diff(registry, format, &old, &new),
        SettingsCommand::Publish { file, why, who, above, wait_s } => {
            let DocumentFile { text, shared } = read_file(&file)?;
            let mut client = SettingsClient::new(registry, format)?;
            let number = client.publish(Draft { text: &text, shared: &shared, who, why }, above)?;
            client.drive(Some(number), wait_s)
        }
        SettingsCommand::Drive { wait_s } => SettingsClient::new(registry, format)?.drive(None, wait_s),
        SettingsCommand::Status => status(SettingsClient::new(registry, format)?),
        SettingsCommand::History => history(SettingsClient::new(registry, format)?),
        SettingsCommand::Rollback { number, wait_s } => {
            rollback(SettingsClient::new(registry, format)?, number, wait_s)
        }
        SettingsCommand::DeclareGone { name, incarnation } => {
            revoke_leases(SettingsClient::new(registry, format)?, &name, incarnation.as_deref())
        }
    }
}

fn check(format: OutputFormat, file: &Path) -> CommandResult {
    let DocumentFile { text, shared } = read_file(file)?;
    let (classes, routes) = (shared.site.classes.len(), shared.site.front.routes.routes.len());
    let digest = Document::digest_of(&text);
    format.print(&json!({"classes": classes, "routes": routes, "digest": digest}), || {
        format!("{}: {classes} classes, {routes} routes, digest {digest}", file.display())
    });
    Ok(ExitCode::SUCCESS)
}

fn status(mut client: SettingsClient) -> CommandResult {
    let status = output::status(&client.read()?);
    client.format.print(&status, || output::status_text(&status));
    Ok(ExitCode::SUCCESS)
}

fn history(mut client: SettingsClient) -> CommandResult {
    let documents = client.history()?;
    let rows = documents.iter().map(output::history_row).collect();
    client.format.print(&rows, || {
        let lines: Vec<String> = documents.iter().map(output::history_line).collect();
        lines.join("\n")
    });
    Ok(ExitCode::SUCCESS)
}

/// Withdraws a prepared change unless a document number is given; else publishes an older document again.
fn rollback(mut client: SettingsClient, number: Option<u64>, wait_s: f64) -> CommandResult {
    let snapshot = client.read()?;
    if let (Some(txn), None) = (snapshot.withdraw(&client.keys), number) {
        client.write_or_fail(&txn)?;
        client.format.print(&json!({"withdrawn": true}), || "the prepared change is withdrawn".into());
        return Ok(ExitCode::SUCCESS);
    }
    let state = snapshot.state.as_ref().ok_or(SettingsError::NothingPublished)?;
    let committed = snapshot.document(&state.value.active_settings.committed);
    let parent = committed.map_or(0, |document| document.parent);
    let restored = client.document(number.unwrap_or(parent))?;
    let shared = parse("document", &restored.text)?;
    let why = format!("back to document {}", restored.number);
    let draft = Draft { text: &restored.text, shared: &shared, who: ROLLBACK_AUTHOR.into(), why };
    let number = client.publish(draft, 0)?;
    client.drive(Some(number), wait_s)
}

fn revoke_leases(mut client: SettingsClient, name: &str, incarnation: Option<&str>) -> CommandResult {
    let snapshot = client.read()?;
    let txn = snapshot.revoke_leases(&client.keys, name, incarnation);
    let txn = txn.ok_or_else(|| SettingsError::NoLease(name.into()))?;
    client.write_or_fail(&txn)?;
    let leases = txn.deletes.len();
    client.format.print(&json!({"gone": name, "lives": leases}), || {
        format!("router {name} is declared gone: {leases} leases removed")
    });
    Ok(ExitCode::SUCCESS)
}

/// A document that was read from a file, with its text.
struct DocumentFile {
    text: String,
    shared: SharedSettings,
}

fn read_file(path: &Path) -> SessionResult<DocumentFile> {
    let (name, text) = read_text(path)?;
    let shared = parse(&name, &text)?;
    Ok(DocumentFile { text, shared })
}

fn parse(name: &str, text: &str) -> SessionResult<SharedSettings> {
    Ok(SharedSettings::parse(name, text, &Clock::start())?)
}
