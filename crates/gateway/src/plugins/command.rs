//! Commands on plug-ins as plain data. The command line executes them on a folder, and a running gateway
//! receives the same commands on its admin socket. Answers are JSON; the command line formats them as text.

use super::folder::{unix_ms, verify, FolderError, PluginFolder, QuarantinedVersion};
use super::link;
use crate::clock::Clock;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use slatevalve_oci::{Pull, PullError, PullJob, PullSettings};
use slatevalve_plugins::{Catalogue, Digest, Reference, Signature, VersionState, CURRENT};
use std::collections::BTreeSet;
use std::fmt;
use std::sync::atomic::AtomicBool;

/// A command. On the admin socket each is one line of JSON, with its kind in the field `do`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Command {
    /// Lists all plug-ins and the versions that their `current` means.
    List,
    /// Shows the versions and aliases of a plug-in.
    Show {
        /// Name of the plug-in.
        name: String,
    },
    /// Moves an alias, or creates it.
    Alias {
        /// Name of the plug-in.
        name: String,
        /// Name of the alias.
        alias: String,
        /// The version that the alias is to mean.
        version: String,
        /// Move it only if it is still at this revision (0 if it does not exist yet); `None` moves it in any
        /// case.
        expect: Option<u64>,
        /// The operator or component that moves it, for the history.
        who: String,
    },
    /// Shows the moves of an alias.
    History {
        /// Name of the plug-in.
        name: String,
        /// Name of the alias.
        alias: String,
    },
    /// Verifies all content and quarantines versions whose content is missing or corrupt.
    Verify,
    /// Quarantines a version.
    Quarantine {
        /// Reference to the version, such as `NAME@VERSION`.
        reference: String,
        /// The reason that refused calls and lists report.
        reason: String,
    },
    /// Deletes a version that no alias means.
    Delete {
        /// Name of the plug-in.
        name: String,
        /// Name of the version.
        version: String,
    },
    /// Removes content that neither a version nor an open call needs.
    Gc,
    /// Pulls a version from the registry.
    Pull {
        /// Name of the plug-in.
        name: String,
        /// Name of the version, or the digest of its image manifest.
        version: String,
    },
    /// Adds a signature to a version.
    Sign {
        /// Name of the plug-in.
        name: String,
        /// Name of the version.
        version: String,
        /// The signature, which is stored even if it is not valid.
        signature: Signature,
    },
    /// Reads the folder again (a running gateway only).
    Reload,
    /// Reports rollouts, refused versions, pulls and open calls (a running gateway only).
    Status,
}

impl Command {
    /// Whether the command may change the catalogue or the content of the folder.
    pub fn changes(&self) -> bool {
        !matches!(self, Command::List | Command::Show { .. } | Command::History { .. } | Command::Status)
    }
}

/// Why a command failed.
#[derive(Debug)]
pub enum CommandError {
    /// Reading or changing the folder failed, or the catalogue refused the command.
    Folder(FolderError),
    /// A pull failed.
    Pull(link::LinkError<PullError>),
    /// No registry is configured to pull from.
    NoRegistry,
    /// Only a running gateway can answer the command.
    NotRunning,
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::Folder(e) => e.fmt(f),
            CommandError::Pull(e) => e.fmt(f),
            CommandError::NoRegistry => {
                f.write_str("no registry is known: give --registry URL, or (registry ...) in the settings")
            }
            CommandError::NotRunning => f.write_str(
                "only a running gateway can answer this command: give --socket, the path of its admin socket",
            ),
        }
    }
}

impl std::error::Error for CommandError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            CommandError::Folder(e) => Some(e),
            CommandError::Pull(e) => Some(e),
            CommandError::NoRegistry | CommandError::NotRunning => None,
        }
    }
}

impl From<FolderError> for CommandError {
    fn from(e: FolderError) -> Self {
        CommandError::Folder(e)
    }
}

/// The environment of a command, apart from the folder.
pub struct Context<'a> {
    /// The registry to pull from; `None` if none is configured.
    pub registry: Option<&'a PullSettings>,
    /// Clock for the timeouts and retries of pulls.
    pub clock: &'a Clock,
    /// Aborts a pull when set.
    pub stop: &'a AtomicBool,
    /// Content that open calls need; garbage collection keeps it in addition to what the catalogue needs.
    pub keep: &'a BTreeSet<Digest>,
    /// Called with the number of bytes or versions done, and the total.
    pub progress: &'a mut dyn FnMut((u64, u64)),
}

/// A command's answer as JSON.
type Answer = Result<Value, CommandError>;

/// Executes a command on a folder.
///
/// # Errors
/// If the command fails; the catalogue is then unchanged, except for a quarantine that a pull or a
/// verification caused.
pub fn execute(folder: &mut PluginFolder, command: &Command, context: &mut Context<'_>) -> Answer {
    match command {
        Command::List => list(&folder.catalogue()?),
        Command::Show { name } => show(&folder.catalogue()?, name),
        Command::Alias { name, alias, version, expect, who } => {
            let revision = folder.change(|catalogue, _| {
                Ok(catalogue.move_alias(name, alias, version, *expect, who, unix_ms())?)
            })?;
            Ok(json!({"name": name, "alias": alias, "version": version, "revision": revision}))
        }
        Command::History { name, alias } => {
            Ok(json!(folder.catalogue()?.history(name, alias).map_err(FolderError::from)?))
        }
        Command::Verify => verify_all(folder, context),
        Command::Quarantine { reference, reason } => quarantine(folder, reference, reason),
        Command::Delete { name, version } => {
            folder.change(|catalogue, _| Ok(catalogue.delete(name, version)?))?;
            Ok(json!({"name": name, "deleted": version}))
        }
        Command::Gc => collect_garbage(folder, context),
        Command::Pull { name, version } => pull(folder, name, version, context),
        Command::Sign { name, version, signature } => {
            folder.change(|catalogue, _| {
                Ok(catalogue.sign(name, version, std::slice::from_ref(signature))?)
            })?;
            Ok(json!({"name": name, "version": version, "key": signature.key}))
        }
        Command::Reload | Command::Status => Err(CommandError::NotRunning),
    }
}

fn show(catalogue: &Catalogue, name: &str) -> Answer {
    let versions = catalogue.versions(name).map_err(FolderError::from)?;
    let aliases = catalogue.aliases(name).map_err(FolderError::from)?;
    Ok(json!({"name": name, "versions": versions, "aliases": aliases}))
}

fn verify_all(folder: &mut PluginFolder, context: &mut Context<'_>) -> Answer {
    let blobs = folder.store.digests().map_err(FolderError::from)?.len();
    let progress = &mut *context.progress;
    let found = folder.change(|catalogue, store| Ok(verify(catalogue, store, unix_ms(), progress)))?;
    let row = |bad: &QuarantinedVersion| json!({"version": bad.version, "digest": bad.digest, "reason": bad.reason});
    Ok(json!({"blobs": blobs, "quarantined": found.iter().map(row).collect::<Vec<_>>()}))
}

fn quarantine(folder: &mut PluginFolder, reference: &str, reason: &str) -> Answer {
    let parsed: Reference = reference.parse().map_err(|e| FolderError::Layer(format!("{reference}: {e}")))?;
    let digest = folder.change(|catalogue, _| {
        let digest = catalogue.resolve(&parsed)?.digest;
        catalogue.quarantine_by_operator(digest, reason, unix_ms());
        Ok(digest)
    })?;
    Ok(json!({"digest": digest, "reason": reason}))
}

fn collect_garbage(folder: &mut PluginFolder, context: &Context<'_>) -> Answer {
    let removed = folder.change(|catalogue, store| {
        let keep = &catalogue.reachable() | context.keep;
        Ok(store.collect(&keep)?)
    })?;
    Ok(json!({ "removed": removed }))
}

fn list(catalogue: &Catalogue) -> Answer {
    let row = |name: &str| -> Answer {
        let aliases = catalogue.aliases(name).map_err(FolderError::from)?;
        let current = aliases.into_iter().find(|view| view.alias == CURRENT).map(|view| view.version);
        let versions = catalogue.versions(name).map_err(FolderError::from)?;
        let quarantined = versions.iter().filter(|view| view.quarantine.is_some()).count();
        let versions = versions.iter().filter(|view| view.state != VersionState::Deleted).count();
        Ok(json!({"name": name, "current": current, "versions": versions, "quarantined": quarantined}))
    };
    Ok(Value::Array(catalogue.names().map(row).collect::<Result<_, _>>()?))
}

/// Pulls a version. If the registry served corrupt content and the manifest is known, the version is
/// quarantined.
fn pull(folder: &mut PluginFolder, name: &str, version: &str, context: &mut Context<'_>) -> Answer {
    let settings = context.registry.ok_or(CommandError::NoRegistry)?.clone();
    let failed = |error| CommandError::Pull(link::LinkError::Job(error));
    let pull = Pull::new(context.clock.now().0, settings, name, version).map_err(failed)?;
    let mut job = PullJob { pull, store: &mut folder.store };
    let driven = link::drive(&mut job, context.clock, context.stop, &mut *context.progress);
    let checked_manifest = job.pull.checked_manifest();
    if let Err(error) = driven {
        if let (link::LinkError::Job(PullError::Corrupt(..)), Some((manifest, digest))) =
            (&error, checked_manifest)
        {
            let reason = error.to_string();
            folder.change(|catalogue, _| {
                catalogue.publish(manifest, digest)?;
                catalogue.quarantine(digest, &reason, unix_ms());
                Ok(())
            })?;
        }
        return Err(CommandError::Pull(error));
    }
    let pulled = job.pull.result().ok_or(CommandError::Pull(link::LinkError::Stopped))?;
    let (bytes, present_bytes, requests) = (pulled.bytes, pulled.present_bytes, pulled.requests);
    let (version, digest) = (pulled.manifest.version.clone(), pulled.digest);
    folder.add_pulled(pulled)?;
    Ok(
        json!({"name": name, "version": version, "digest": digest, "bytes": bytes, "had": present_bytes, "requests": requests}),
    )
}
