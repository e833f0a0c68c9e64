//! Commands on plug-ins as plain data: the same for the command line on a folder and for a running gateway, which receives
//! them on its admin socket. Answers are JSON; the command line formats them as text.

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

/// A command. On the admin socket each is one line of JSON, its kind in `do`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Command {
    /// All plug-ins and what their `current` means.
    List,
    /// The versions and aliases of a plug-in.
    Show {
        /// Its name.
        name: String,
    },
    /// Moves an alias, or makes it.
    Alias {
        /// The plug-in.
        name: String,
        /// The alias.
        alias: String,
        /// The version that it is to mean.
        version: String,
        /// Only if it is at this revision still.
        expect: Option<u64>,
        /// Who moves it.
        who: String,
    },
    /// The moves of an alias.
    History {
        /// The plug-in.
        name: String,
        /// The alias.
        alias: String,
    },
    /// Checks all content; what is missing or corrupt goes into quarantine.
    Verify,
    /// Takes a version out of use.
    Quarantine {
        /// Which.
        reference: String,
        /// Why.
        reason: String,
    },
    /// Deletes a version that no alias means.
    Delete {
        /// The plug-in.
        name: String,
        /// The version.
        version: String,
    },
    /// Removes content that nothing needs.
    Gc,
    /// Brings a version from the registry.
    Pull {
        /// The plug-in.
        name: String,
        /// Its version, or the digest of its image manifest.
        version: String,
    },
    /// Notes a signature of a version.
    Sign {
        /// The plug-in.
        name: String,
        /// The version.
        version: String,
        /// The signature.
        signature: Signature,
    },
    /// Reads the folder again (a running gateway only).
    Reload,
    /// What moves, what is pulled, what was counted (a running gateway only).
    Status,
}

impl Command {
    /// Whether it may change the folder.
    pub fn changes(&self) -> bool {
        !matches!(self, Command::List | Command::Show { .. } | Command::History { .. } | Command::Status)
    }
}

/// Why a command failed.
#[derive(Debug)]
pub enum CommandError {
    /// The folder failed, or refused the command.
    Folder(FolderError),
    /// The pull failed.
    Pull(link::LinkError<PullError>),
    /// No registry is known to pull from.
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
            CommandError::NotRunning => {
                f.write_str("only a running gateway can tell: give --socket, the path of its admin socket")
            }
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

/// What a command may need beside the folder.
pub struct Context<'a> {
    /// Where pulls come from.
    pub registry: Option<&'a PullSettings>,
    /// The clock of pulls.
    pub clock: &'a Clock,
    /// Ends a pull.
    pub stop: &'a AtomicBool,
    /// Content that must stay beside what the catalogue names: calls that are open need it.
    pub keep: &'a BTreeSet<Digest>,
    /// Called with the progress: how many bytes or blobs are done, and of how many.
    pub progress: &'a mut dyn FnMut((u64, u64)),
}

/// A command's answer as JSON.
type Answer = Result<Value, CommandError>;

/// Executes a command on a folder.
///
/// # Errors
/// When it fails; the folder is then as it was, except for a quarantine that a pull or a verification caused.
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

/// A pull that fails because the registry's content is wrong puts the version into quarantine, where it is known.
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
    folder.take_pulled(pulled)?;
    Ok(
        json!({"name": name, "version": version, "digest": digest, "bytes": bytes, "had": present_bytes, "requests": requests}),
    )
}
