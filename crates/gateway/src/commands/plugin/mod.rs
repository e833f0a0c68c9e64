//! The `plugin` sub-commands, executed on the folder of plug-ins or by a running gateway over its admin
//! socket.

mod output;
mod registry;
mod signing;

use super::login::LoginArguments;
use super::CommandResult;
use crate::clock::Clock;
use crate::plugins::command::{execute, Command, CommandError, Context};
use crate::plugins::folder::PluginFolder;
use crate::settings::{NameTables, Site};
use clap::{Args, Subcommand};
use registry::Registry;
use serde_json::{json, Value};
use slatevalve_oci::PullSettings;
use slatevalve_plugins::{ClassRights, CURRENT};
use std::collections::BTreeSet;
use std::error::Error;
use std::io::{self, BufRead, BufReader, IsTerminal, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;

#[derive(Args)]
pub(super) struct PluginArguments {
    /// Folder of plug-ins, as in `(plugins (folder ...))`
    #[arg(long)]
    folder: Option<PathBuf>,
    /// Admin socket of a running gateway, as in `(plugins (admin ...))`; changes take effect at once
    #[arg(long)]
    socket: Option<PathBuf>,
    /// Registry, http://HOST[:PORT][/PREFIX], for `pull` and `publish` without a running gateway
    #[arg(long)]
    registry: Option<String>,
    #[command(flatten)]
    login: LoginArguments,
    /// Print JSON
    #[arg(long)]
    json: bool,
    #[command(subcommand)]
    command: PluginCommand,
}

#[derive(Subcommand)]
enum PluginCommand {
    /// Add a version: its manifest and the files of its layers
    Push {
        /// The manifest as JSON
        manifest: PathBuf,
        /// The files of the layers, in any order; layers already in the folder may be omitted
        layers: Vec<PathBuf>,
        /// Check the class that it claims against the classes and tenants of this settings file
        #[arg(long)]
        settings: Option<PathBuf>,
    },
    /// Download and verify a version from the registry; an interrupted download is resumed
    Pull {
        /// The plug-in's name
        name: String,
        /// The version, or sha256:... of its image manifest
        version: String,
        /// Check the class that it claims against the classes and tenants of this settings file
        #[arg(long)]
        settings: Option<PathBuf>,
    },
    /// Upload a version and its signatures from the folder to the registry
    Publish {
        /// The plug-in's name
        name: String,
        /// Its version
        version: String,
    },
    /// Create a signing key in a file that only its owner can read, and print the public key
    Keygen {
        /// The file, which must not exist yet
        file: PathBuf,
    },
    /// Sign a version in the folder
    Sign {
        /// The plug-in's name
        name: String,
        /// Its version
        version: String,
        /// The key file that `keygen` created
        #[arg(long)]
        key: PathBuf,
        /// The id of the key, as in `(signatures (key "ID" ...))`
        #[arg(long)]
        id: String,
    },
    /// List all plug-ins and the versions that their `current` refers to
    List,
    /// Show the versions and aliases of a plug-in
    Show {
        /// The plug-in's name
        name: String,
    },
    /// Point an alias to a version, creating it if needed; moving `current` sets `previous` to its old
    /// version
    Alias {
        /// The plug-in's name
        name: String,
        /// The alias
        alias: String,
        /// The version that the alias is to refer to
        version: String,
        /// Move the alias only if it is still at this revision (0: only if it does not exist)
        #[arg(long)]
        expect: Option<u64>,
        /// Author of the move, for the history
        #[arg(long, default_value = "operator")]
        who: String,
    },
    /// Show the moves of an alias
    History {
        /// The plug-in's name
        name: String,
        /// The alias
        #[arg(default_value = CURRENT)]
        alias: String,
    },
    /// Check all content against its digests; versions with missing or corrupt content are quarantined
    Verify,
    /// Take a version out of use until it is pushed or pulled again
    Quarantine {
        /// NAME@VERSION or NAME@sha256:...
        reference: String,
        /// Reason, shown by `show`
        #[arg(long)]
        reason: String,
    },
    /// Delete a version that no alias refers to
    Delete {
        /// The plug-in's name
        name: String,
        /// The version
        version: String,
    },
    /// Remove content that no version needs
    ///
    /// With --socket, content of open calls is kept; use --folder only while no call is open.
    Gc,
    /// Make a running gateway reload its folder (--socket)
    Reload,
    /// Show the rollouts, pulls and barred versions of a running gateway (--socket)
    Status,
}

/// The result of a command as JSON.
type Answer = Result<Value, Box<dyn Error>>;

/// Runs a `plugin` sub-command; exit code 1 if `verify` found missing or corrupt content.
pub(super) fn plugin(arguments: PluginArguments) -> CommandResult {
    let PluginArguments { folder, socket, registry, login, json, command } = arguments;
    let rights = command.settings().map(class_rights).transpose()?;
    let registry = registry.map(|address| Registry::new(&address, login)).transpose()?;
    let target = Target { folder, socket, registry, rights };
    let answer = target.execute(&command)?;
    match json {
        true => println!("{answer}"),
        false => println!("{}", output::text(&command, &answer)),
    }
    let found_bad = matches!(command, PluginCommand::Verify) && answer["quarantined"] != json!([]);
    Ok(if found_bad { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

/// The targets of a command: a folder, a running gateway, a registry.
struct Target {
    folder: Option<PathBuf>,
    socket: Option<PathBuf>,
    registry: Option<Registry>,
    rights: Option<ClassRights>,
}

impl Target {
    fn execute(self, command: &PluginCommand) -> Answer {
        match command {
            PluginCommand::Push { manifest, layers, .. } => {
                let (manifest, digest) = self.open_folder()?.push(manifest, layers, self.rights.as_ref())?;
                self.reload_gateway()?;
                Ok(json!({"name": manifest.name, "version": manifest.version, "digest": digest}))
            }
            PluginCommand::Publish { name, version } => {
                let mut folder = self.open_folder()?;
                let registry = self.registry.ok_or(CommandError::NoRegistry)?;
                registry::publish(&mut folder, &registry, name, version)
            }
            PluginCommand::Keygen { file } => signing::keygen(file),
            PluginCommand::Sign { name, version, key, id } => {
                let answer = signing::sign(&mut self.open_folder()?, name, version, key, id)?;
                self.reload_gateway()?;
                Ok(answer)
            }
            other => {
                let command = other.to_gateway_command().ok_or("this command works only on a folder")?;
                self.execute_anywhere(&command)
            }
        }
    }

    /// Executes a command by the running gateway if its socket is given, else on the folder.
    fn execute_anywhere(self, command: &Command) -> Answer {
        if let Some(socket) = &self.socket {
            return send_to_gateway(socket, command);
        }
        let mut folder = self.open_folder()?;
        let settings = self.registry.map(|registry| registry.pull_settings(self.rights));
        run(&mut folder, command, settings.as_ref())
    }

    fn open_folder(&self) -> Result<PluginFolder, Box<dyn Error>> {
        let path = self.folder.as_deref().ok_or("this command works on a folder: use --folder DIR")?;
        Ok(PluginFolder::open(path)?)
    }

    /// Makes the running gateway reload the folder if its socket is given.
    fn reload_gateway(&self) -> Result<(), Box<dyn Error>> {
        let Some(socket) = &self.socket else { return Ok(()) };
        send_to_gateway(socket, &Command::Reload).map(drop)
    }
}

impl PluginCommand {
    /// The settings file against which the class of a version is checked.
    fn settings(&self) -> Option<&Path> {
        match self {
            PluginCommand::Push { settings, .. } | PluginCommand::Pull { settings, .. } => {
                settings.as_deref()
            }
            _ => None,
        }
    }

    /// The command for a gateway; `None` for commands that use files of the caller.
    fn to_gateway_command(&self) -> Option<Command> {
        Some(match self {
            PluginCommand::List => Command::List,
            PluginCommand::Show { name } => Command::Show { name: name.clone() },
            PluginCommand::Alias { name, alias, version, expect, who } => Command::Alias {
                name: name.clone(),
                alias: alias.clone(),
                version: version.clone(),
                expect: *expect,
                who: who.clone(),
            },
            PluginCommand::History { name, alias } => {
                Command::History { name: name.clone(), alias: alias.clone() }
            }
            PluginCommand::Verify => Command::Verify,
            PluginCommand::Quarantine { reference, reason } => {
                Command::Quarantine { reference: reference.clone(), reason: reason.clone() }
            }
            PluginCommand::Delete { name, version } => {
                Command::Delete { name: name.clone(), version: version.clone() }
            }
            PluginCommand::Gc => Command::Gc,
            PluginCommand::Pull { name, version, .. } => {
                Command::Pull { name: name.clone(), version: version.clone() }
            }
            PluginCommand::Reload => Command::Reload,
            PluginCommand::Status => Command::Status,
            PluginCommand::Push { .. }
            | PluginCommand::Publish { .. }
            | PluginCommand::Keygen { .. }
            | PluginCommand::Sign { .. } => return None,
        })
    }
}

/// Shows progress on a terminal, on a line that is overwritten each time.
fn show_progress((done, total): (u64, u64)) {
    if io::stderr().is_terminal() && total > 0 {
        eprint!("\r  {done} of {total}");
    }
}

fn end_progress() {
    if io::stderr().is_terminal() {
        eprint!("\r                                \r");
    }
}

/// Executes a command on a folder.
fn run(folder: &mut PluginFolder, command: &Command, registry: Option<&PullSettings>) -> Answer {
    let mut context = Context {
        registry,
        clock: &Clock::start(),
        stop: &AtomicBool::new(false),
        keep: &BTreeSet::new(),
        progress: &mut show_progress,
    };
    let done = execute(folder, command, &mut context);
    end_progress();
    Ok(done?)
}

/// Sends a command to a running gateway and waits for its answer.
fn send_to_gateway(path: &Path, command: &Command) -> Answer {
    let failed = |e: io::Error| format!("admin socket {}: {e}", path.display());
    let mut stream = UnixStream::connect(path).map_err(failed)?;
    stream.write_all(format!("{}\n", serde_json::to_string(command)?).as_bytes()).map_err(failed)?;
    for line in BufReader::new(stream).lines() {
        let mut answer: Value = serde_json::from_str(&line.map_err(failed)?)?;
        if let Some([done, total]) = answer["progress"].as_array().map(Vec::as_slice) {
            show_progress((done.as_u64().unwrap_or(0), total.as_u64().unwrap_or(0)));
            continue;
        }
        end_progress();
        return match answer["error"].as_str() {
            Some(error) => Err(error.into()),
            None => Ok(answer["done"].take()),
        };
    }
    Err(format!("admin socket {}: the connection closed before the answer", path.display()).into())
}

/// Reads the class rights of a settings file, against which added versions are checked.
fn class_rights(settings: &Path) -> Result<ClassRights, Box<dyn Error>> {
    Ok(Site::load(settings, &Clock::start(), NameTables::default())?.rights)
}
