//! The `plugin` sub-commands: on the folder of plug-ins, or by the admin socket of a running gateway.

use super::login::LoginArguments;
use super::CommandResult;
use crate::clock::Clock;
use crate::plugins::command::{carry_out, Command, CommandError, Context};
use crate::plugins::folder::PluginFolder;
use crate::plugins::link;
use crate::settings::{Named, Site};
use clap::{Args, Subcommand};
use serde_json::{json, Value};
use slatevalve_oci::{Credentials, Location, Policy, PullSettings, Push};
use slatevalve_plugins::{ClassRights, Reference, Selector, SigningSecret, CURRENT};
use std::collections::BTreeSet;
use std::error::Error;
use std::fs::{self, OpenOptions};
use std::io::{self, BufRead, BufReader, IsTerminal, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;

/// Bytes sent to a registry at a time.
const PART: usize = 4 * 1024 * 1024;

#[derive(Args)]
pub(super) struct PluginArguments {
    /// The folder of plug-ins, as `(plugins (folder ...))` names it
    #[arg(long)]
    folder: Option<PathBuf>,
    /// The admin socket of a running gateway, as `(plugins (admin ...))` names it: the change counts at once
    #[arg(long)]
    socket: Option<PathBuf>,
    /// The registry, http://HOST[:PORT][/PREFIX], for `pull` and `publish` without a running gateway
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
    /// Take a version in: its manifest and the files of its layers
    Push {
        /// The manifest, JSON
        manifest: PathBuf,
        /// The layers' files, in any order; those that are here already may be left out
        layers: Vec<PathBuf>,
        /// Check the class that it claims against the classes and tenants of this settings file
        #[arg(long)]
        settings: Option<PathBuf>,
    },
    /// Bring a version from the registry, verified; one that broke off goes on from where it was
    Pull {
        /// The plug-in's name
        name: String,
        /// Its version, or sha256:... of its image manifest
        version: String,
        /// Check the class that it claims against the classes and tenants of this settings file
        #[arg(long)]
        settings: Option<PathBuf>,
    },
    /// Send a version and its signatures from the folder to the registry
    Publish {
        /// The plug-in's name
        name: String,
        /// Its version
        version: String,
    },
    /// Make a key that signs, in a file that only you can read, and print its public part
    Keygen {
        /// The file, which must not be there yet
        file: PathBuf,
    },
    /// Sign a version in the folder
    Sign {
        /// The plug-in's name
        name: String,
        /// Its version
        version: String,
        /// The file that `keygen` made
        #[arg(long)]
        key: PathBuf,
        /// The key's id, as `(signatures (key "ID" ...))` has it
        #[arg(long)]
        id: String,
    },
    /// List all plug-ins and what their `current` means
    List,
    /// Show the versions and aliases of a plug-in
    Show {
        /// Its name
        name: String,
    },
    /// Move an alias to a version, or make it; `current` takes `previous` along
    Alias {
        /// The plug-in's name
        name: String,
        /// The alias
        alias: String,
        /// The version that it is to mean
        version: String,
        /// Move it only if it is at this revision still (0: if there is none)
        #[arg(long)]
        expect: Option<u64>,
        /// Who moves it, for the history
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
    /// Check all content against its digests; what is missing or corrupt goes into quarantine
    Verify,
    /// Take a version out of use until it is pushed or pulled again
    Quarantine {
        /// NAME@VERSION or NAME@sha256:...
        reference: String,
        /// Why
        #[arg(long)]
        reason: String,
    },
    /// Delete a version that no alias means
    Delete {
        /// The plug-in's name
        name: String,
        /// The version
        version: String,
    },
    /// Remove content that no version needs
    ///
    /// By --socket, content of calls that are open stays; with --folder run it when none is.
    Gc,
    /// Let a running gateway read its folder again (--socket)
    Reload,
    /// What a running gateway moves, pulled and does not let run (--socket)
    Status,
}

type Shown = Result<Value, Box<dyn Error>>;

pub(super) fn plugin(arguments: PluginArguments) -> CommandResult {
    let PluginArguments { folder, socket, registry, login, json, command } = arguments;
    let site = match &command {
        PluginCommand::Push { settings, .. } | PluginCommand::Pull { settings, .. } => settings.clone(),
        _ => None,
    };
    let rights = site.as_deref().map(|path| Ok::<_, Box<dyn Error>>(load(path)?.rights)).transpose()?;
    let registry = registry.map(|r| Registry::new(&r, login)).transpose()?;
    let on_folder = || match &folder {
        Some(path) => Ok(PluginFolder::open(path)?),
        None => Err(Box::<dyn Error>::from("this works on a folder: give --folder")),
    };
    let value = match &command {
        PluginCommand::Push { manifest, layers, .. } => {
            let (manifest, digest) = on_folder()?.push(manifest, layers, rights.as_ref())?;
            tell_gateway(socket.as_deref())?;
            json!({"name": manifest.name, "version": manifest.version, "digest": digest})
        }
        PluginCommand::Publish { name, version } => {
            publish(&mut on_folder()?, &registry.ok_or(CommandError::NoRegistry)?, name, version)?
        }
        PluginCommand::Keygen { file } => keygen(file)?,
        PluginCommand::Sign { name, version, key, id } => {
            let value = sign(&mut on_folder()?, name, version, key, id)?;
            tell_gateway(socket.as_deref())?;
            value
        }
        other => {
            let command = other.plain().ok_or("this command works on a folder only")?;
            match socket {
                Some(path) => ask_gateway(&path, &command)?,
                None => {
                    let settings = registry.map(|r| r.pull_settings(rights));
                    run(&mut on_folder()?, &command, settings.as_ref())?
                }
            }
        }
    };
    match json {
        true => println!("{value}"),
        false => println!("{}", text(&command, &value)),
    }
    let found_bad = matches!(command, PluginCommand::Verify) && value["quarantined"] != json!([]);
    Ok(if found_bad { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

impl PluginCommand {
    /// The command as a gateway takes it; none for those that work on files of the caller.
    fn plain(&self) -> Option<Command> {
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

/// Progress on a terminal, one line that is written over.
fn show_progress((done, of): (u64, u64)) {
    if io::stderr().is_terminal() && of > 0 {
        eprint!("\r  {done} of {of}");
    }
}

fn end_progress() {
    if io::stderr().is_terminal() {
        eprint!("\r                                \r");
    }
}

fn run(folder: &mut PluginFolder, command: &Command, registry: Option<&PullSettings>) -> Shown {
    let mut context = Context {
        registry,
        clock: &Clock::start(),
        stop: &AtomicBool::new(false),
        keep: &BTreeSet::new(),
        told: &mut show_progress,
    };
    let done = carry_out(folder, command, &mut context);
    end_progress();
    Ok(done?)
}

/// Sends a command to a running gateway and waits for its answer.
fn ask_gateway(path: &Path, command: &Command) -> Shown {
    let said = |e: io::Error| format!("admin socket {}: {e}", path.display());
    let mut stream = UnixStream::connect(path).map_err(said)?;
    stream.write_all(format!("{}\n", serde_json::to_string(command)?).as_bytes()).map_err(said)?;
    for line in BufReader::new(stream).lines() {
        let mut answer: Value = serde_json::from_str(&line.map_err(said)?)?;
        if let Some([done, of]) = answer["progress"].as_array().map(Vec::as_slice) {
            show_progress((done.as_u64().unwrap_or(0), of.as_u64().unwrap_or(0)));
            continue;
        }
        end_progress();
        return match answer["error"].as_str() {
            Some(error) => Err(error.into()),
            None => Ok(answer["done"].take()),
        };
    }
    Err(format!("admin socket {}: the gateway ended before it answered", path.display()).into())
}

fn tell_gateway(socket: Option<&Path>) -> Result<(), Box<dyn Error>> {
    socket.map_or(Ok(()), |path| ask_gateway(path, &Command::Reload).map(drop))
}

fn load(settings: &Path) -> Result<Site, Box<dyn Error>> {
    Ok(Site::load(settings, &Clock::start(), Named::default())?)
}

struct Registry {
    location: Location,
    credentials: Option<Credentials>,
}

impl Registry {
    fn new(address: &str, login: LoginArguments) -> Result<Self, Box<dyn Error>> {
        let credentials = login.read()?.map(|(user, password)| Credentials { user, password });
        Ok(Registry { location: Location::parse(address)?, credentials })
    }

    fn pull_settings(self, rights: Option<ClassRights>) -> PullSettings {
        PullSettings {
            location: self.location,
            credentials: self.credentials,
            policy: Policy::default(),
            range: PART as u64,
            max_size: u64::MAX,
            rights,
            seed: u64::from(std::process::id()),
        }
    }
}

fn publish(folder: &mut PluginFolder, registry: &Registry, name: &str, version: &str) -> Shown {
    let package = folder.package(name, version)?;
    let (clock, stop) = (Clock::start(), AtomicBool::new(false));
    let seed = u64::from(std::process::id());
    let (location, credentials) = (registry.location.clone(), registry.credentials.clone());
    let now_us = clock.now().0;
    let mut push = Push::new(now_us, location, credentials, Policy::default(), seed, PART, &package)?;
    let driven = link::drive(&mut push, &clock, &stop, show_progress);
    end_progress();
    driven?;
    let pushed = push.result().ok_or("the push ended early")?;
    Ok(
        json!({"name": name, "version": version, "image": pushed.image, "bytes": pushed.bytes, "had": pushed.had}),
    )
}

fn keygen(file: &Path) -> Shown {
    let mut seed = [0; 32];
    getrandom::fill(&mut seed).map_err(|e| format!("no random bytes: {e}"))?;
    let secret = SigningSecret::from_random(seed);
    let mut opened = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(file)
        .map_err(|e| format!("{}: {e}", file.display()))?;
    writeln!(opened, "{}", secret.base64())?;
    Ok(json!({"public": secret.public()}))
}

fn sign(folder: &mut PluginFolder, name: &str, version: &str, key: &Path, id: &str) -> Shown {
    let text = fs::read_to_string(key).map_err(|e| format!("{}: {e}", key.display()))?;
    let secret = SigningSecret::parse(&text).map_err(|e| format!("{}: {e}", key.display()))?;
    let reference = Reference { name: name.into(), selector: Selector::Word(version.into()) };
    let found = folder.catalogue()?.resolve(&reference)?;
    let signature = secret.sign(id, &found.digest);
    let command = Command::Sign { name: name.into(), version: found.version, signature };
    run(folder, &command, None)
}

/// A command's answer as lines for people.
fn text(command: &PluginCommand, value: &Value) -> String {
    let word = |value: &Value| match value {
        Value::String(s) => s.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    };
    let of = |field: &str| word(&value[field]);
    let rows = |value: &Value, row: &dyn Fn(&Value) -> String| -> Vec<String> {
        value.as_array().into_iter().flatten().map(row).collect()
    };
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
        PluginCommand::Verify => {
            let found = rows(&value["quarantined"], &|q| {
                format!("  {}: {}", word(&q["version"]), word(&q["reason"]))
            });
            let mut lines =
                vec![format!("{} blobs, {} versions put into quarantine", of("blobs"), found.len())];
            lines.extend(found);
            lines.join("\n")
        }
        PluginCommand::List => {
            let mut lines = vec![format!("{:<32} {:<16} versions", "plug-in", "current")];
            lines.extend(rows(value, &|p| {
                format!("{:<32} {:<16} {}", word(&p["name"]), word(&p["current"]), word(&p["versions"]))
            }));
            lines.join("\n")
        }
        PluginCommand::History { .. } => rows(value, &|m| {
            let (revision, at, who) = (word(&m["revision"]), word(&m["at_ms"]), word(&m["who"]));
            format!("{revision:>6}  {at:>14}  {who:<16} {} -> {}", word(&m["from"]), word(&m["to"]))
        })
        .join("\n"),
        PluginCommand::Show { .. } => show(value, &word, &rows),
        PluginCommand::Status => {
            let pulls = &value["pulls"];
            let mut lines = vec![format!(
                "{} calls open; pulls: {} done, {} failed, {} bytes, {} requests",
                of("open"),
                word(&pulls["done"]),
                word(&pulls["failed"]),
                word(&pulls["bytes"]),
                word(&pulls["requests"])
            )];
            lines.extend(rows(&value["moves"], &|m| {
                let (standing, needed) = (word(&m["standing"]), word(&m["needed"]));
                format!(
                    "  {}: {} -> {}, {standing} of {needed} copies stand",
                    word(&m["name"]),
                    word(&m["from"]),
                    word(&m["to"])
                )
            }));
            lines.extend(rows(&value["barred"], &|b| {
                format!("  {}: {}", word(&b["digest"]), word(&b["reason"]))
            }));
            lines.join("\n")
        }
    }
}

type Rows<'a> = dyn Fn(&Value, &dyn Fn(&Value) -> String) -> Vec<String> + 'a;

fn show(value: &Value, word: &dyn Fn(&Value) -> String, rows: &Rows<'_>) -> String {
    let list = |value: &Value| rows(value, &|v| word(v)).join(",");
    let mut lines =
        vec![format!("{:<16} {:<12} {:<20} {:<12} digest", "version", "state", "aliases", "signed by")];
    lines.extend(rows(&value["versions"], &|v| {
        let quarantine = &v["quarantine"];
        let state = if quarantine.is_null() { word(&v["state"]) } else { "quarantine".into() };
        let (version, aliases, signed) = (word(&v["version"]), list(&v["aliases"]), list(&v["signed_by"]));
        let mut line = format!("{version:<16} {state:<12} {aliases:<20} {signed:<12} {}", word(&v["digest"]));
        if !quarantine.is_null() {
            line += &format!("\n  {}", word(&quarantine["reason"]));
        }
        line
    }));
    lines.extend(rows(&value["aliases"], &|a| {
        format!("@{:<15} {} (revision {})", word(&a["alias"]), word(&a["version"]), word(&a["revision"]))
    }));
    lines.join("\n")
}
