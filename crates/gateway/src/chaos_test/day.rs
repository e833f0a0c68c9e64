//! Runs a bad day: real processes on loopback, the clients' and operators' doings by the script's times.

use super::calls::{arrivals, ClassRequirements};
use super::script::{Script, ScriptedEvent};
use super::ChaosTestError;
use crate::child_processes;
use crate::clock::Clock;
use crate::plugins::folder::{unix_ms, PluginFolder};
use crate::settings::{Named, Site};
use rustix::process::Signal;
use slatevalve::{Effect, Group};
use slatevalve_fleet_test::Process;
use slatevalve_plugins::{Digest, CURRENT};
use slatevalve_sexpr::File;
use slatevalve_test_servers::{unix_micros, ClientPlan, ClientReport, Driver, Fault, Tap, WorkerPlan};
use slatevalve_trace_checker::trace::{self, Line, Seen};
use slatevalve_trace_checker::{ClassTerms, EffectTerms, GroupTerms, Terms, WorkerTerms};
use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

/// What a day left behind.
pub(super) struct Record {
    pub(super) calls: BTreeMap<String, ClientReport>,
    pub(super) lines: Vec<Line>,
    pub(super) terms: Terms,
    /// The part of the day that is reported by itself, as times of the clock.
    pub(super) window: Option<(i64, i64)>,
    /// Gateways that did not stop in order.
    pub(super) stopped_badly: usize,
}

/// One thing that the day does at a time.
#[derive(Clone, Debug)]
enum Step {
    List(usize, &'static str),
    StopWorker(usize),
    StartWorker(usize),
    KillGateway(usize),
    StartGateway(usize),
    Stall(usize),
    GoOn(usize),
    DropConnections(usize),
    MoveAliases,
}

struct Worker {
    process: Option<Process>,
    plan: WorkerPlan,
    address: SocketAddr,
    state: &'static str,
    up_since_ms: Option<i64>,
}

struct Gateway {
    process: Option<Process>,
    name: String,
    file: PathBuf,
    address: SocketAddr,
    stalled: bool,
    /// Lines of the list that it will hear of once it goes on.
    unheard: Vec<usize>,
}

pub(super) struct Day<'a> {
    script: &'a Script,
    directory: &'a Path,
    seed: u64,
    log_level: String,
    workers: Vec<Worker>,
    gateways: Vec<Gateway>,
    list: Tap,
    tenants: Vec<String>,
}

impl<'a> Day<'a> {
    /// Starts all processes of a day.
    pub(super) fn start(
        script: &'a Script,
        directory: &'a Path,
        seed: u64,
        log_level: &str,
    ) -> Result<(Self, i64), ChaosTestError> {
        let list = Tap::open("list", Some(&directory.join("list.trace")))?;
        let settings = File::parse("(settings ...)", &script.settings)?;
        let tenants = settings.forms()?.take_all("tenant");
        let tenants =
            tenants.iter().map(|t| Ok(t.named_fields()?.0)).collect::<Result<Vec<_>, ChaosTestError>>()?;
        let log_level = log_level.to_string();
        let (workers, gateways) = (Vec::new(), Vec::new());
        let mut day = Day { script, directory, seed, log_level, workers, gateways, list, tenants };
        // Faults are told as times of the clock before it is known how long the start takes.
        let count = script.fleet.workers + script.gateways;
        let start_us = unix_micros() + 1_000_000 + 40_000 * count as i64;
        for n in 0..script.fleet.workers {
            day.add_worker(n, start_us)?;
        }
        if script.plugins.is_some() {
            day.push_plugins()?;
        }
        for n in 0..script.gateways {
            day.add_gateway(n)?;
        }
        Ok((day, start_us))
    }

    fn plugin_folder(&self) -> PathBuf {
        self.directory.join("plugins")
    }

    /// The functions that calls ask for, each with its class.
    fn functions(&self) -> Vec<(String, String)> {
        let classes = self.script.load.mix.iter().map(|m| &m.0);
        let count = self.script.load.functions;
        classes.flat_map(|class| (1..=count).map(move |n| (format!("{class}-{n}"), class.clone()))).collect()
    }

    /// Makes every function a plug-in with two versions.
    fn push_plugins(&mut self) -> Result<(), ChaosTestError> {
        let mut folder = PluginFolder::open(&self.plugin_folder())?;
        let (manifest, layer) = (self.directory.join("manifest.json"), self.directory.join("layer"));
        for (name, class) in self.functions() {
            for version in ["1", "2"] {
                let content = format!("rules of {name}, version {version}");
                fs::write(&layer, &content)?;
                let digest = Digest::of(content.as_bytes());
                let layers = [serde_json::json!({"digest": digest, "size": content.len()})];
                let value =
                    serde_json::json!({"name": name, "version": version, "class": class, "layers": layers});
                fs::write(&manifest, value.to_string())?;
                folder.push(&manifest, std::slice::from_ref(&layer), None)?;
            }
        }
        self.move_aliases("1")
    }

    fn move_aliases(&self, version: &str) -> Result<(), ChaosTestError> {
        let functions = self.functions();
        PluginFolder::open(&self.plugin_folder())?.change(|catalogue, _| {
            for (name, _) in &functions {
                catalogue.move_alias(name, CURRENT, version, None, "bad day", unix_ms())?;
            }
            Ok(())
        })?;
        Ok(())
    }

    fn add_worker(&mut self, n: usize, start_us: i64) -> Result<(), ChaosTestError> {
        let at = |seconds: f64| start_us.saturating_add((seconds * 1e6) as i64);
        let faults = self.script.faults.iter().filter(|f| f.worker == n).map(|f| Fault {
            from_us: at(f.at),
            to_us: at(f.at + f.lasts),
            kind: f.kind.clone(),
        });
        let plan = WorkerPlan {
            name: format!("worker-{n}"),
            service: self.script.fleet.service.clone(),
            faults: faults.collect(),
            trace: Some(self.directory.join(format!("worker-{n}.trace"))),
            seed: self.seed.wrapping_mul(1_000) + n as u64,
            ..WorkerPlan::default()
        };
        let process = child_processes::worker(&plan)?;
        let address = process.address;
        let (state, up_since_ms) = ("ready", None);
        self.workers.push(Worker { process: Some(process), plan, address, state, up_since_ms });
        Ok(())
    }

    fn add_gateway(&mut self, n: usize) -> Result<(), ChaosTestError> {
        let name = format!("gateway-{n}");
        let file = self.directory.join(format!("{name}.scm"));
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let (process, stalled, unheard) = (None, false, Vec::new());
        self.gateways.push(Gateway { process, name, file, address, stalled, unheard });
        self.start_gateway(n)
    }

    fn start_gateway(&mut self, n: usize) -> Result<(), ChaosTestError> {
        fs::write(&self.gateways[n].file, self.settings_of(n))?;
        let log = self.directory.join(format!("gateway-{n}.log"));
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let process = child_processes::gateway(&self.gateways[n].file, Stdio::from(log), &self.log_level)?;
        self.gateways[n].address = process.address;
        self.gateways[n].process = Some(process);
        Ok(())
    }

    /// A gateway's settings file as the list stands now.
    fn settings_of(&self, n: usize) -> String {
        let gateway = &self.gateways[n];
        let mut text = format!(
            "(gateway (name \"{}\") (zone \"{}\") (routers {}) (seed {}))\n(mqtt (listen \"{}\") (receive-maximum 65535))\n{}\n",
            gateway.name,
            zone(n, self.script.fleet.zones),
            self.script.gateways,
            (self.seed * 100 + n as u64) % 1_000_000,
            gateway.address,
            self.script.settings
        );
        if let Some(fields) = &self.script.plugins {
            text.push_str(&format!(
                "(plugins (folder {:?}) (unlisted yes) {fields})\n",
                self.plugin_folder()
            ));
        }
        for (class, _) in &self.script.load.mix {
            let tenant = if self.tenants.is_empty() { "" } else { " (tenant \"{4}\")" };
            text.push_str(&format!(
                "(route \"calls/{class}/+/+\" (class \"{class}\") (function \"{{3}}\"){tenant})\n"
            ));
        }
        for (n, worker) in self.workers.iter().enumerate() {
            let up = worker.up_since_ms.map(|ms| format!(" (up-since-unix-ms {ms})")).unwrap_or_default();
            text.push_str(&format!(
                "(worker \"worker-{n}\" (address \"{}\") (zone \"{}\") (cell {}) (state {}){up})\n",
                worker.address,
                zone(n, self.script.fleet.zones),
                self.cell(n),
                worker.state
            ));
        }
        text
    }

    fn cell(&self, n: usize) -> u64 {
        (n * self.script.fleet.cells / self.script.fleet.workers) as u64
    }

    /// Lives through the day.
    pub(super) fn run(
        mut self,
        start_us: i64,
        mut progress: impl FnMut(f64, usize),
    ) -> Result<Record, ChaosTestError> {
        let clock = Clock::start();
        let site = Site::parse("(settings ...)", &self.settings_of(0), &clock, Named::default())?;
        let terms = self.terms(&site);
        let needs: Vec<ClassRequirements> = needs(&site);
        for (name, _) in &self.script.load.mix {
            if !needs.iter().any(|n| n.name == *name) {
                return Err(ChaosTestError::Script(format!(
                    "the mix names no class of the settings: {name}"
                )));
            }
        }
        let mut driver = Driver::new(ClientPlan {
            gateways: self.gateways.iter().map(|g| (g.name.clone(), g.address)).collect(),
            connections: self.script.clients,
            arrivals: arrivals(self.script, &needs, &self.tenants, self.seed, start_us),
            trace: Some(self.directory.join("clients.trace")),
        })?;
        if unix_micros() > start_us {
            return Err(ChaosTestError::Script("the processes took too long to start".into()));
        }
        let end_us = start_us + (self.script.seconds * 1e6) as i64;
        let longest = needs.iter().map(|n| n.budget_us).max().unwrap_or(0);
        let mut steps = self.steps(start_us);
        steps.sort_by_key(|s| s.0);
        let mut steps = steps.into_iter().peekable();
        loop {
            let now = unix_micros();
            while let Some((_, step)) = steps.next_if(|s| s.0 <= now) {
                self.step(step, &mut driver)?;
            }
            // The clients give up in the end; what has no answer by then never gets one.
            let over =
                now > end_us && (driver.is_done() && steps.peek().is_none() || now > end_us + 2 * longest);
            if over {
                break;
            }
            driver.poll(Duration::from_millis(2))?;
            progress((now - start_us) as f64 / 1e6, driver.open());
        }
        let mut stopped_badly = 0;
        for gateway in &mut self.gateways {
            if let Some(process) = &mut gateway.process {
                stopped_badly += usize::from(!process.stop(Duration::from_secs(10)));
            }
        }
        let calls = driver.reports().clone();
        drop(driver);
        // The workers are ended before their records are read.
        self.workers.clear();
        let at = |seconds: f64| start_us + (seconds * 1e6) as i64;
        let window = self.script.window.map(|(from, to)| (at(from), at(to)));
        Ok(Record { calls, lines: read_traces(self.directory)?, terms, window, stopped_badly })
    }

    fn steps(&self, start_us: i64) -> Vec<(i64, Step)> {
        let mut steps = Vec::new();
        for (at, happens) in &self.script.events {
            let mut add = |later: f64, step| steps.push((start_us + ((at + later) * 1e6) as i64, step));
            match *happens {
                ScriptedEvent::Drain(worker) => add(0.0, Step::List(worker, "draining")),
                ScriptedEvent::Gone(worker) => add(0.0, Step::List(worker, "gone")),
                ScriptedEvent::Ready(worker) => add(0.0, Step::List(worker, "ready")),
                ScriptedEvent::Crash { worker, down, told } => {
                    add(0.0, Step::StopWorker(worker));
                    add(down, Step::StartWorker(worker));
                    add(down + told, Step::List(worker, "ready"));
                }
                ScriptedEvent::Deploy { part, each, drain } => {
                    let count = (self.workers.len() as f64 * part).floor() as usize;
                    for n in 0..count {
                        let from = each * n as f64;
                        add(from, Step::List(n, "draining"));
                        add(from + drain, Step::StopWorker(n));
                        add(from + drain + 0.05, Step::StartWorker(n));
                        add(from + drain + 0.1, Step::List(n, "ready"));
                    }
                }
                ScriptedEvent::CrashGateway { gateway, down } => {
                    add(0.0, Step::KillGateway(gateway));
                    add(down, Step::StartGateway(gateway));
                }
                ScriptedEvent::StallGateway { gateway, lasts } => {
                    add(0.0, Step::Stall(gateway));
                    add(lasts, Step::GoOn(gateway));
                }
                ScriptedEvent::DropConnections(nth) => add(0.0, Step::DropConnections(nth)),
                ScriptedEvent::MoveAliases => add(0.0, Step::MoveAliases),
            }
        }
        steps
    }

    fn step(&mut self, step: Step, driver: &mut Driver) -> Result<(), ChaosTestError> {
        match step {
            Step::List(n, state) => {
                self.workers[n].state = state;
                self.tell(n)?;
            }
            Step::StopWorker(n) => {
                if let Some(mut process) = self.workers[n].process.take() {
                    process.kill();
                }
            }
            Step::StartWorker(n) => {
                let worker = &mut self.workers[n];
                worker.plan.listen = worker.address;
                worker.plan.cold = true;
                worker.up_since_ms = Some(unix_micros() / 1_000);
                worker.process = Some(child_processes::worker(&worker.plan)?);
            }
            Step::KillGateway(n) => {
                if let Some(mut process) = self.gateways[n].process.take() {
                    process.kill();
                }
                driver.killed(n);
            }
            Step::StartGateway(n) => {
                self.start_gateway(n)?;
                driver.moved(n, self.gateways[n].address);
            }
            Step::Stall(n) => {
                self.gateways[n].stalled = true;
                self.signal(n, Signal::STOP);
            }
            Step::GoOn(n) => {
                self.gateways[n].stalled = false;
                self.signal(n, Signal::CONT);
                for worker in std::mem::take(&mut self.gateways[n].unheard) {
                    self.record_told(n, worker);
                }
            }
            Step::DropConnections(nth) => driver.drop_connections(nth),
            Step::MoveAliases => {
                self.move_aliases("2")?;
                (0..self.gateways.len()).for_each(|n| self.signal(n, Signal::HUP));
            }
        }
        Ok(())
    }

    fn signal(&self, gateway: usize, signal: Signal) {
        if let Some(process) = &self.gateways[gateway].process {
            process.signal(signal);
        }
    }

    /// Writes the list anew and has every gateway read it.
    fn tell(&mut self, worker: usize) -> Result<(), ChaosTestError> {
        for n in 0..self.gateways.len() {
            // Never seen half written: a file beside it takes its place.
            let beside = self.gateways[n].file.with_extension("new");
            fs::write(&beside, self.settings_of(n))?;
            fs::rename(&beside, &self.gateways[n].file)?;
            self.signal(n, Signal::HUP);
            match self.gateways[n].stalled {
                true => self.gateways[n].unheard.push(worker),
                false => self.record_told(n, worker),
            }
        }
        Ok(())
    }

    fn record_told(&mut self, gateway: usize, worker: usize) {
        self.list.saw(Seen::StateNotified {
            worker: format!("worker-{worker}"),
            state: self.workers[worker].state.into(),
            gateway: self.gateways[gateway].name.clone(),
        });
    }

    fn terms(&self, site: &Site) -> Terms {
        let module = &site.engine.module;
        let classes = site.classes.iter().zip(&module.classes).map(|(name, class)| {
            let effect = match class.effect {
                Effect::Safe => EffectTerms::Safe,
                Effect::Unsafe => EffectTerms::Unsafe,
                Effect::Keyed { group, memory } => EffectTerms::Keyed {
                    group: match group {
                        Group::All => GroupTerms::All,
                        Group::Zone => GroupTerms::Zone,
                        Group::Cell => GroupTerms::Cell,
                    },
                    window_us: memory.0,
                },
            };
            let (worth, late_worth) = (class.priority_weight, class.late_value);
            (name.clone(), ClassTerms { effect, aim_us: class.latency_objective.0, worth, late_worth })
        });
        let workers = (0..self.workers.len()).map(|n| {
            let terms = WorkerTerms { zone: zone(n, self.script.fleet.zones), cell: self.cell(n) };
            (format!("worker-{n}"), terms)
        });
        Terms {
            classes: classes.collect(),
            workers: workers.collect(),
            answer_slack_us: module.rules.answer_slack.0,
            drain_grace_us: module.rules.drain_grace.0,
            fall_multiple: module.rules.fall_multiple,
            fall_window_us: module.rules.fall_window.0,
            ration_window_us: module.loading.ration_window.0,
            ration_free: module.loading.ration_free,
            ration_share: module.loading.ration_share,
            settings: None,
        }
    }
}

fn zone(n: usize, zones: usize) -> String {
    format!("zone-{}", n % zones)
}

fn needs(site: &Site) -> Vec<ClassRequirements> {
    let class = |(name, class): (&String, &slatevalve::Class)| ClassRequirements {
        name: name.clone(),
        keyed: class.effect != Effect::Safe,
        budget_us: class.deadline.0,
    };
    site.classes.iter().zip(&site.engine.module.classes).map(class).collect()
}

fn read_traces(directory: &Path) -> Result<Vec<Line>, ChaosTestError> {
    let mut lines = Vec::new();
    for entry in fs::read_dir(directory)? {
        let path = entry?.path();
        if path.extension().is_some_and(|e| e == "trace") {
            let name = path.display().to_string();
            lines.extend(
                trace::read(&fs::read_to_string(&path)?).map_err(|e| ChaosTestError::Trace(name, e))?,
            );
        }
    }
    lines.sort_by_key(|l| l.at_us);
    Ok(lines)
}
