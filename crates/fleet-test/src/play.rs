//! Plays a script: processes on loopback, trouble by the clock, and what was seen as a [`Report`]. Called by the command line
//! and by tests.

use crate::link::{LinkFault, LinkPlan};
use crate::logs::{self, Told};
use crate::process::Process;
use crate::report::{Report, Router};
use crate::script::{process_name, Group, Kind, Script, ScriptedEvent};
use crate::tally::{now_us, Tally};
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use serde_json::json;
use slatevalve_sexpr::FormError;
use std::collections::BTreeMap;
use std::fmt;
use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::thread;
use std::time::Duration;

/// Time for the start of what routers need, beside so much for each process.
const LEAD_US: i64 = 800_000;
const LEAD_EACH_US: i64 = 20_000;
/// An operator's command is given up after this.
const COMMAND_WITHIN: Duration = Duration::from_secs(15);

/// Why a rehearsal could not be played.
#[derive(Debug)]
pub enum FleetTestError {
    /// The script.
    Script(FormError),
    /// A process or a file.
    Io(String, io::Error),
    /// The machine was too slow for the script's times.
    Late(&'static str),
    /// A router was to be started as something else.
    Other(String),
    /// The directory to keep things in holds some.
    NotEmpty(PathBuf),
}

impl fmt::Display for FleetTestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FleetTestError::Script(e) => e.fmt(f),
            FleetTestError::Io(what, e) => write!(f, "{what}: {e}"),
            FleetTestError::Late(what) => write!(f, "the machine is too slow: {what}"),
            FleetTestError::Other(name) => write!(f, "{name} is a router"),
            FleetTestError::NotEmpty(path) => write!(f, "{} is not empty", path.display()),
        }
    }
}

impl std::error::Error for FleetTestError {}

impl From<FormError> for FleetTestError {
    fn from(e: FormError) -> Self {
        FleetTestError::Script(e)
    }
}

/// How a rehearsal is played.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program that stands for list services, links, relays and workers.
    pub program: PathBuf,
    /// The program of the routers, which may be an earlier build.
    pub routers: PathBuf,
    /// Another seed than the script's.
    pub seed: Option<u64>,
    /// Where logs and settings are kept, which must be empty or new; else they go with the rehearsal.
    pub keep: Option<PathBuf>,
}

type Res<T> = Result<T, FleetTestError>;

fn of<T>(what: &str, result: io::Result<T>) -> Res<T> {
    result.map_err(|e| FleetTestError::Io(what.into(), e))
}

/// One life of a router's process.
struct Life {
    started_us: i64,
    /// When it was ended, if by the script.
    ended_us: Option<i64>,
    log: PathBuf,
}

/// A process by its name.
struct Member {
    group: usize,
    process: Option<Process>,
    paused: bool,
    lives: Vec<Life>,
    /// Times at which it stood still.
    pauses: Vec<(i64, i64)>,
}

struct Stage<'a> {
    script: &'a Script,
    options: &'a Options,
    directory: &'a Path,
    start_us: i64,
    seed: u64,
    random: Pcg64Mcg,
    members: BTreeMap<String, Member>,
    addresses: BTreeMap<String, SocketAddr>,
    /// Drains: the worker, and when the operator's command had its answer.
    drains: Vec<(String, Option<i64>)>,
    commands: Vec<thread::JoinHandle<(String, Option<i64>)>>,
}

/// Plays a script to its end.
///
/// # Errors
/// When a process or a file fails or the machine is too slow; an expectation that is not met is part of the report.
pub fn play(script: &Script, options: &Options) -> Res<Report> {
    let temporary = of("a directory", tempfile::tempdir())?;
    let directory: &Path = match &options.keep {
        Some(directory) => {
            of("the directory", fs::create_dir_all(directory))?;
            if of("the directory", fs::read_dir(directory))?.next().is_some() {
                return Err(FleetTestError::NotEmpty(directory.clone()));
            }
            directory
        }
        None => temporary.path(),
    };
    let others: usize = script.groups.iter().map(|g| g.count).sum::<usize>() - script.routers();
    let seed = options.seed.unwrap_or(script.seed);
    let mut stage = Stage {
        script,
        options,
        directory,
        // Faults are told as times of the clock before it is known how long the start takes.
        start_us: now_us() + LEAD_US + LEAD_EACH_US * others as i64,
        seed,
        random: Pcg64Mcg::seed_from_u64(seed),
        members: BTreeMap::new(),
        addresses: BTreeMap::new(),
        drains: Vec::new(),
        commands: Vec::new(),
    };
    stage.play()
}

impl Stage<'_> {
    fn at(&self, seconds: f64) -> i64 {
        self.start_us.saturating_add((seconds * 1e6) as i64)
    }

    fn play(&mut self) -> Res<Report> {
        let mut steps: Vec<(f64, ScriptedEvent)> = self.script.events.clone();
        for (n, group) in self.script.groups.iter().enumerate() {
            if let Kind::Routers { start_s, .. } = group.kind {
                steps.push((start_s, ScriptedEvent::Start(group.name.clone())));
                for name in (0..group.count).map(|k| process_name(group, k)) {
                    self.add(n, name, None);
                }
            } else {
                let names: Vec<String> = (0..group.count).map(|k| process_name(group, k)).collect();
                for name in names {
                    let process = self.start_other(group, &name, None)?;
                    self.addresses.insert(name.clone(), process.address);
                    self.add(n, name, Some(process));
                }
            }
        }
        if now_us() > self.start_us {
            return Err(FleetTestError::Late("the services took too long to start"));
        }
        steps.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (at, step) in steps {
            self.wait_until(self.at(at));
            self.step(step)?;
        }
        self.wait_until(self.at(self.script.seconds));
        let commands = std::mem::take(&mut self.commands);
        self.drains.extend(commands.into_iter().filter_map(|c| c.join().ok()));
        self.end()
    }

    fn wait_until(&self, at_us: i64) {
        if let Ok(left) = u64::try_from(at_us - now_us()) {
            thread::sleep(Duration::from_micros(left));
        }
    }

    fn add(&mut self, group: usize, name: String, process: Option<Process>) {
        let member = Member { group, process, paused: false, lives: Vec::new(), pauses: Vec::new() };
        self.members.insert(name, member);
    }

    fn address(&self, name: &str) -> String {
        self.addresses.get(name).map_or_else(String::new, SocketAddr::to_string)
    }

    fn program(&self, arguments: &[&str], log: &str) -> Res<Command> {
        let mut command = Command::new(&self.options.program);
        let file = of(log, File::create(self.directory.join(log)))?;
        command.args(arguments).stderr(Stdio::from(file));
        Ok(command)
    }

    /// Starts a process that is no router, at an address if one is named, and waits until it is ready.
    fn start_other(&self, group: &Group, name: &str, at: Option<&SocketAddr>) -> Res<Process> {
        let log = format!("{name}.log");
        let listen = at.map_or_else(|| "127.0.0.1:0".to_string(), SocketAddr::to_string);
        let command = match &group.kind {
            Kind::Registry { entries, capacity, faults } => {
                let keys = (0..*entries).map(|n| {
                    let record = json!({"address": format!("127.0.0.1:{}", 1 + n % 1_000), "cell": n % 12});
                    (format!("/slatevalve/workers/w-{n}"), record.to_string())
                });
                let faults = faults.iter().map(|(at, lasts, kind)| {
                    // A backup of a few changes ago.
                    let kind = if kind == "restore" { json!({"restore": 5}) } else { json!(kind) };
                    json!({"from_us": self.at(*at), "to_us": self.at(at + lasts), "kind": kind})
                });
                let capacity = capacity.map(|(per_s, queue, silent)| {
                    json!({"requests_per_s": per_s, "queue": queue, "silent": silent})
                });
                let plan = json!({"listen": listen, "keys": keys.collect::<Vec<_>>(), "faults": faults.collect::<Vec<_>>(),
                    "capacity": capacity});
                self.program(&["kv", "--plan", &plan.to_string()], &log)?
            }
            Kind::Link { to, faults } => {
                let fault = |(at, lasts, kind): &(f64, f64, _)| LinkFault {
                    from_us: self.at(*at),
                    to_us: self.at(at + lasts),
                    kind: Clone::clone(kind),
                };
                let plan = LinkPlan {
                    listen: at.copied().unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))),
                    to: self.addresses.get(to).copied().unwrap_or(SocketAddr::from(([127, 0, 0, 1], 1))),
                    faults: faults.iter().map(fault).collect(),
                    tally: Some(self.tally(name)),
                    seed: self.seed,
                };
                let plan = of("a plan", serde_json::to_string(&plan).map_err(io::Error::other))?;
                self.program(&["link", "--plan", &plan], &log)?
            }
            Kind::Relays { by } => {
                let address = self.address(by);
                self.program(&["relay", "--name", name, "--listen", &listen, "--registry", &address], &log)?
            }
            Kind::Workers { by } => {
                let address = self.address(by);
                self.program(&["worker", "--name", name, "--listen", &listen, "--registry", &address], &log)?
            }
            Kind::Routers { .. } => return Err(FleetTestError::Other(name.into())),
        };
        of(name, Process::start(command))
    }

    fn tally(&self, link: &str) -> PathBuf {
        self.directory.join(format!("{link}.tally"))
    }

    /// Starts a router and does not wait: all of a group are to start at the same instant.
    fn start_router(&mut self, name: &str) -> Res<()> {
        let Some(member) = self.members.get(name) else { return Ok(()) };
        let Kind::Routers { by, relays, settings, members, believe, remember, .. } =
            &self.script.groups[member.group].kind
        else {
            return Ok(());
        };
        let quoted = |name: &String| -> Vec<String> {
            let all = self.addresses.iter().filter(|(n, _)| {
                *n == name || n.strip_prefix(name.as_str()).is_some_and(|rest| rest.starts_with('-'))
            });
            all.map(|(_, address)| format!("\"{address}\"")).collect()
        };
        let registry = by.iter().flat_map(quoted).collect::<Vec<_>>().join(" ");
        let of_relays = relays.iter().flat_map(quoted).collect::<Vec<_>>().join(" ");
        let first = if relays.is_empty() { String::new() } else { format!("(relays {of_relays})") };
        let kept = match remember {
            true => format!("(remember {:?})", self.directory.join(format!("{name}.list"))),
            false => String::new(),
        };
        let text = format!(
            "(gateway (name \"{name}\") (routers {believe}))\n(mqtt (listen \"127.0.0.1:0\"))\n\
             {settings}\n(members (registry {registry}) {first} {kept} {members})\n"
        );
        let file = self.directory.join(format!("{name}.scm"));
        of("settings", fs::write(&file, text))?;
        let life = member.lives.len();
        let log = self.directory.join(format!("{name}.{life}.log"));
        let mut command = Command::new(&self.options.routers);
        let stderr = of("a log", File::create(&log))?;
        command.args(["--log-format", "json", "run"]).arg(&file).stderr(Stdio::from(stderr));
        let process = of(name, Process::spawn(command))?;
        if let Some(member) = self.members.get_mut(name) {
            member.lives.push(Life { started_us: now_us(), ended_us: None, log });
            member.process = Some(process);
        }
        Ok(())
    }

    /// Names of a group's processes that fit.
    fn those(&self, group: &str, fit: impl Fn(&Member) -> bool) -> Vec<String> {
        let of_group = |m: &Member| self.script.groups[m.group].name == group;
        self.members.iter().filter(|(_, m)| of_group(m) && fit(m)).map(|(n, _)| n.clone()).collect()
    }

    fn drawn(&mut self, group: &str, part: f64, fit: impl Fn(&Member) -> bool) -> Vec<String> {
        let mut names = self.those(group, fit);
        names.shuffle(&mut self.random);
        names.truncate((names.len() as f64 * part).round() as usize);
        names
    }

    fn step(&mut self, step: ScriptedEvent) -> Res<()> {
        let runs = |m: &Member| m.process.is_some();
        match step {
            ScriptedEvent::Start(group) => {
                for name in self.those(&group, |m| m.process.is_none()) {
                    match self.script.groups.iter().find(|g| g.name == group) {
                        Some(g) if !matches!(g.kind, Kind::Routers { .. }) => {
                            // Where it was, so that whoever knew it finds it again.
                            let process = self.start_other(g, &name, self.addresses.get(&name))?;
                            if let Some(member) = self.members.get_mut(&name) {
                                member.process = Some(process);
                            }
                        }
                        _ => self.start_router(&name)?,
                    }
                }
            }
            ScriptedEvent::Kill(group, part) => {
                let names = self.drawn(&group, part, runs);
                // All of them before any is waited for.
                names.iter().for_each(|n| self.signal(n, Signal::KILL));
                names.iter().for_each(|n| self.ended(n, Process::kill));
            }
            ScriptedEvent::Terminate(group, part) => {
                let names = self.drawn(&group, part, runs);
                names.iter().for_each(|n| self.signal(n, Signal::TERM));
                names.iter().for_each(|n| {
                    self.ended(n, |p| {
                        p.stop(Duration::from_secs(10));
                    })
                });
            }
            ScriptedEvent::Pause(group, part) => {
                for name in self.drawn(&group, part, |m| m.process.is_some() && !m.paused) {
                    self.signal(&name, Signal::STOP);
                    if let Some(member) = self.members.get_mut(&name) {
                        member.paused = true;
                        member.pauses.push((now_us(), i64::MAX));
                    }
                }
            }
            ScriptedEvent::GoOn(group) => {
                for name in self.those(&group, |m| m.paused) {
                    self.signal(&name, Signal::CONT);
                    if let Some(member) = self.members.get_mut(&name) {
                        member.paused = false;
                        member.pauses.last_mut().into_iter().for_each(|p| p.1 = now_us());
                    }
                }
            }
            ScriptedEvent::Drain(worker) => self.drain(worker),
        }
        Ok(())
    }

    fn signal(&self, name: &str, signal: Signal) {
        self.members.get(name).and_then(|m| m.process.as_ref()).into_iter().for_each(|p| p.signal(signal));
    }

    fn ended(&mut self, name: &str, end: impl FnOnce(&mut Process)) {
        let Some(member) = self.members.get_mut(name) else { return };
        member.lives.last_mut().into_iter().for_each(|l| l.ended_us = Some(now_us()));
        member.paused = false;
        if let Some(mut process) = member.process.take() {
            end(&mut process);
        }
    }

    /// An operator's command beside all else; the service may let it wait.
    fn drain(&mut self, worker: String) {
        let service = self.script.groups.iter().find(|g| matches!(g.kind, Kind::Registry { .. }));
        let address = service.map(|g| self.address(&g.name)).unwrap_or_default();
        let mut command = Command::new(&self.options.program);
        command.args(["members", "--registry", &address, "drain", &worker]);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        self.commands.push(thread::spawn(move || {
            let until = std::time::Instant::now() + COMMAND_WITHIN;
            let mut done = None;
            if let Ok(mut child) = command.spawn() {
                while std::time::Instant::now() < until {
                    match child.try_wait() {
                        Ok(Some(status)) => {
                            done = status.success().then(now_us);
                            break;
                        }
                        Ok(None) => thread::sleep(Duration::from_millis(2)),
                        Err(_) => break,
                    }
                }
                let _ = child.kill();
                let _ = child.wait();
            }
            (worker, done)
        }));
    }

    /// Ends all, routers first, and gathers what was seen.
    fn end(&mut self) -> Res<Report> {
        let mut crashed = Vec::new();
        for (name, member) in &mut self.members {
            if let Some(process) = &mut member.process {
                if !process.runs() {
                    crashed.push(name.clone());
                }
            }
        }
        let end_us = now_us();
        let links = self.script.groups.iter().filter(|g| matches!(g.kind, Kind::Link { .. }));
        let links: Vec<String> = links.map(|g| g.name.clone()).collect();
        // The links tell what passed until routers ended, so they end first, and in order.
        for name in &links {
            if let Some(process) = self.members.get_mut(name).and_then(|m| m.process.as_mut()) {
                process.stop(Duration::from_secs(5));
            }
        }
        let mut routers = Vec::new();
        for (name, member) in &mut self.members {
            let alone = std::mem::take(&mut member.lives);
            let last = alone.len().saturating_sub(1);
            for (n, life) in alone.into_iter().enumerate() {
                let told = logs::read(&of("a log", fs::read_to_string(&life.log))?);
                let first = |heard: bool| {
                    let lists = told.iter().filter(|(_, t)| {
                        matches!(t, Told::List { workers, heard: h }
                        if *workers > 0 && (*h || !heard))
                    });
                    lists.map(|l| l.0).min()
                };
                routers.push(Router {
                    name: name.clone(),
                    started_us: life.started_us,
                    ended_us: life.ended_us.unwrap_or(end_us),
                    killed: n < last || life.ended_us.is_some(),
                    first_list_us: first(false),
                    listed_us: first(true),
                    lists_us: told
                        .iter()
                        .filter(|(_, t)| matches!(t, Told::List { .. }))
                        .map(|l| l.0)
                        .collect(),
                    drains: told
                        .iter()
                        .filter_map(|(at, t)| match t {
                            Told::Drains(worker) => Some((worker.clone(), *at)),
                            Told::List { .. } => None,
                        })
                        .collect(),
                    pauses: member.pauses.clone(),
                });
            }
        }
        let tallies = links.iter().map(|name| {
            let tally = Tally::read(&self.tally(name));
            Ok((name.clone(), of("a tally", tally)?))
        });
        let tallies = tallies.collect::<Res<BTreeMap<_, _>>>()?;
        Ok(Report::new(self.script, self.seed, self.start_us, routers, tallies, &self.drains, crashed))
    }
}
