//! The command line: one sub-command each for running, checking, rehearsing and the stand-ins.

mod demo;
mod fleet_test;
mod login;
mod members;
mod plugin;
mod registry;
mod relay;
mod session;
mod settings;

use crate::chaos_test::{self, script::Script};
use crate::clock::Clock;
use crate::platform::{PlatformError, Router};
use crate::server::GatewayServer;
use crate::settings::{Agreed, Named, Site};
use clap::{Args, Parser, Subcommand, ValueEnum};
use serde_json::json;
use slatevalve_test_servers::{
    run_broker, run_kv, run_worker, BrokerPlan, KvPlan, RegisterPlan, ServicePlan, WorkerPlan,
};
use slatevalve_trace_checker::{check, trace, Terms};
use std::error::Error;
use std::fs;
use std::io::{self, IsTerminal, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

/// A gateway that runs calls on workers which keep only some of many functions loaded.
///
/// Calls come as MQTT publishes; the answer goes to their response topic. `slatevalve demo` shows it at work on this
/// machine, `slatevalve check FILE` says what is wrong with a settings file, `slatevalve run FILE` runs it.
#[derive(Parser)]
#[command(name = "slatevalve", version)]
struct Cli {
    /// How much is logged, to standard error: error, warn, info, debug, or a filter like "slatevalve_mqtt=debug"
    #[arg(long, global = true, default_value = "info")]
    log_level: String,
    /// How it is logged
    #[arg(long, global = true, value_enum, default_value = "text")]
    log_format: LogFormat,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    /// Lines for people
    Text,
    /// One JSON object a line
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Run a gateway by a settings file until SIGTERM or SIGINT; SIGHUP reads its worker list again
    ///
    /// Prints "ready ADDRESS" on standard output once clients can connect. On SIGTERM it takes no new calls, ends
    /// those that are open within the stated time, and exits with 0.
    Run {
        /// The settings file
        settings: PathBuf,
    },
    /// Run a router of the platform, told all by EDGE_CONFIG, until SIGTERM; SIGHUP reads that file again
    Platform,
    /// Check a settings file and say what it means, without starting anything
    Check {
        /// The settings file
        settings: PathBuf,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Run a stand-in worker, for trying things out and for fleet tests
    ///
    /// Prints "ready ADDRESS" on standard output. Its calls do nothing but take time: a payload like
    /// "call=NAME work-us=5000" says how much.
    Worker(WorkerArguments),
    /// Run a stand-in MQTT 5 broker, for trying out the bridge
    ///
    /// Prints "ready ADDRESS" on standard output. Shared subscriptions, sessions and QoS 0 and 1; nothing is kept on
    /// disk and nobody is asked for a password.
    Broker {
        /// Where it listens; port 0 takes a free one
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Everything as JSON, with faults
        #[arg(long, hide = true)]
        plan: Option<String>,
    },
    /// Start a gateway and three stand-in workers on this machine, make a few calls, and stay for yours
    Demo {
        /// Stop by itself after so many seconds; else on Ctrl-C
        #[arg(long)]
        seconds: Option<f64>,
        /// Where MQTT clients connect; port 0 takes a free one
        #[arg(long, default_value = "127.0.0.1:1883")]
        listen: SocketAddr,
        /// Print one JSON object at the end
        #[arg(long)]
        json: bool,
    },
    /// Run a scripted chaos test on this machine and check the rules from what passed on the sockets
    ///
    /// Exits with 1 where a rule was broken or a call had no answer, with 2 where the day could not be run.
    #[command(alias = "badday")]
    ChaosTest {
        /// The script
        script: PathBuf,
        /// Seed of calls, workers and gateways
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Keep settings, logs and the trace in this directory, which must be empty or new
        #[arg(long)]
        keep: Option<PathBuf>,
        /// Print one JSON object at the end
        #[arg(long)]
        json: bool,
    },
    /// Versions of functions: push them, move aliases, check their content
    ///
    /// With --socket a running gateway does it and the change counts at once; with --folder it is done on the folder, and
    /// the gateway reads it again on SIGHUP.
    Plugin(plugin::PluginArguments),
    /// Who is in the key-value registry: list, watch, drain a worker
    Members(members::MembersArguments),
    /// Settings with versions: check, compare and publish documents, see who has said yes
    ///
    /// Exits with 1 where documents contradict, with 2 where something is wrong, with 3 where a change is prepared and waits.
    Settings(settings::SettingsArguments),
    /// Run a stand-in key-value registry that speaks etcd's JSON mapping, for trying things out
    ///
    /// Prints "ready ADDRESS" on standard output. Nothing is kept on disk.
    Kv {
        /// Where it listens; port 0 takes a free one
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Forget history older than this
        #[arg(long, default_value_t = 0)]
        compact_after_ms: u32,
        /// Everything as JSON, with faults
        #[arg(long, hide = true)]
        plan: Option<String>,
    },
    /// Run a registry of plug-ins over a folder, by the OCI distribution protocol
    ///
    /// Prints "ready ADDRESS" on standard output. `plugin publish` sends to it, `plugin pull` and gateways take from it.
    Registry(registry::RegistryArguments),
    /// Follow the registry's list of workers once and serve it to many routers, by the same protocol
    ///
    /// Prints "ready ADDRESS" on standard output. Routers name it under (relays ...) in their members form.
    Relay(relay::RelayArguments),
    /// Rehearse with many processes of this program: routers, list service, links between them that fail by script
    ///
    /// Exits with 1 where an expectation of the script is not met, with 2 where it could not be played.
    #[command(alias = "rehearsal")]
    FleetTest(fleet_test::FleetTestArguments),
    /// Run one link of a fleet test; prints "ready ADDRESS" on standard output
    #[command(hide = true)]
    Link {
        /// Everything as JSON
        #[arg(long)]
        plan: String,
    },
    /// Check the rules in a trace that `chaos-test --keep` left (all.jsonl beside terms.json)
    Rules {
        /// The directory that was kept
        directory: PathBuf,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
    },
}

#[derive(Args)]
struct WorkerArguments {
    /// Its name
    #[arg(long, default_value = "worker")]
    name: String,
    /// Where it listens; port 0 takes a free one
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Calls that it runs at a time
    #[arg(long, default_value_t = 4)]
    lanes: usize,
    /// Calls that may wait
    #[arg(long, default_value_t = 32)]
    queue: usize,
    /// Copies that fit into its memory
    #[arg(long, default_value_t = 16)]
    copies: usize,
    /// Milliseconds that a load takes
    #[arg(long, default_value_t = 100)]
    load_ms: u32,
    /// Register with this member of a key-value registry, HOST:PORT; SIGUSR1 lets it drain, SIGTERM drain and leave
    #[arg(long)]
    registry: Vec<SocketAddr>,
    /// What its key begins with
    #[arg(long, default_value = "/slatevalve/")]
    prefix: String,
    /// Its cell
    #[arg(long, default_value_t = 0)]
    cell: u64,
    /// Load a function when a call for it comes; else such a call is answered as a miss
    #[arg(long)]
    load_on_call: bool,
    /// Record what passes its socket in this file
    #[arg(long)]
    trace: Option<PathBuf>,
    /// Everything as JSON, with faults; the other options are passed by
    #[arg(long, hide = true)]
    plan: Option<String>,
    /// Turn calls away that are sent by settings documents which were overtaken for longer than this
    #[arg(long)]
    refuse_overtaken_ms: Option<u32>,
}

/// Runs the command line of this process.
pub fn run() -> ExitCode {
    slatevalve_fleet_test::end_with_parent();
    let cli = Cli::parse();
    if let Err(words) = start_log(&cli.log_level, cli.log_format) {
        eprintln!("slatevalve: {words}");
        return ExitCode::from(2);
    }
    match execute(cli) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("slatevalve: {e}");
            ExitCode::from(2)
        }
    }
}

fn start_log(level: &str, format: LogFormat) -> Result<(), String> {
    let filter = EnvFilter::try_new(level).map_err(|e| format!("--log-level: {e}"))?;
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(io::stderr);
    match format {
        LogFormat::Text => builder.with_ansi(io::stderr().is_terminal()).init(),
        LogFormat::Json => builder.json().init(),
    }
    Ok(())
}

type Outcome = Result<ExitCode, Box<dyn Error>>;

fn execute(cli: Cli) -> Outcome {
    match cli.command {
        Command::Run { settings } => {
            let clock = Clock::start();
            let mut shell = match Agreed::read(&settings)? {
                Some((agreed_by, agreed)) => GatewayServer::agreed(agreed_by, agreed, clock)?,
                None => GatewayServer::new(
                    Site::load(&settings, &clock, Named::default())?,
                    Some(settings),
                    clock,
                )?,
            };
            say_ready(shell.address())?;
            shell.run()?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Platform => {
            let file = std::env::var_os("EDGE_CONFIG").ok_or(PlatformError::Variable("EDGE_CONFIG"))?;
            let mut router = Router::new(file.into(), Clock::start())?;
            say_ready(router.address())?;
            router.run()?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Check { settings, json } => {
            let site = Site::load(&settings, &Clock::start(), Named::default())?;
            let (classes, routes) = (site.classes.len(), site.front.routes.routes.len());
            let (tenants, workers) = (site.front.routes.tenants.len(), site.workers.len());
            if json {
                let found = json!({"name": site.name, "classes": classes, "routes": routes, "tenants": tenants,
                    "workers": workers});
                println!("{found}");
            } else {
                println!(
                    "{}: {classes} classes, {routes} routes, {tenants} tenants, {workers} workers",
                    site.name
                );
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Worker(arguments) => worker(arguments),
        Command::Broker { listen, plan } => {
            let plan = match plan {
                Some(plan) => serde_json::from_str(&plan)?,
                None => BrokerPlan { listen, ..BrokerPlan::default() },
            };
            run_broker(plan, |address| {
                let _ = say_ready(address);
            })?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Demo { seconds, listen, json } => demo::demo(seconds, listen, json),
        Command::ChaosTest { script, seed, keep, json } => {
            chaos_test_command(script, seed, keep, json, cli.log_level)
        }
        Command::Plugin(arguments) => plugin::plugin(arguments),
        Command::Members(arguments) => members::members(arguments),
        Command::Settings(arguments) => settings::settings(arguments),
        Command::Kv { listen, compact_after_ms, plan } => {
            let plan = match plan {
                Some(plan) => serde_json::from_str(&plan)?,
                None => {
                    let compact_after_us = i64::from(compact_after_ms) * 1_000;
                    KvPlan { listen, compact_after_us, ..KvPlan::default() }
                }
            };
            run_kv(plan, |address| {
                // Whoever started it may not listen any more; it works all the same.
                let _ = say_ready(address);
            })?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Registry(arguments) => registry::registry(arguments),
        Command::Relay(arguments) => relay::relay(arguments),
        Command::FleetTest(arguments) => fleet_test::run(arguments),
        Command::Link { plan } => fleet_test::link(&plan),
        Command::Rules { directory, json } => rules(directory, json),
    }
}

fn say_ready(address: SocketAddr) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "ready {address}")?;
    out.flush()
}

fn worker(arguments: WorkerArguments) -> Outcome {
    let plan = match arguments.plan {
        Some(plan) => serde_json::from_str(&plan)?,
        None => WorkerPlan {
            name: arguments.name,
            listen: arguments.listen,
            service: ServicePlan {
                lanes: arguments.lanes,
                queue: arguments.queue,
                copies: arguments.copies,
                load_us: i64::from(arguments.load_ms) * 1_000,
                load_on_call: arguments.load_on_call,
                ..ServicePlan::default()
            },
            trace: arguments.trace,
            refuse_overtaken_us: arguments.refuse_overtaken_ms.map(|ms| i64::from(ms) * 1_000),
            register: (!arguments.registry.is_empty()).then(|| RegisterPlan {
                endpoints: arguments.registry,
                prefix: arguments.prefix,
                cell: arguments.cell,
                ..RegisterPlan::default()
            }),
            ..WorkerPlan::default()
        },
    };
    run_worker(plan, |address| {
        // Whoever started it may not listen any more; it works all the same.
        let _ = say_ready(address);
    })?;
    Ok(ExitCode::SUCCESS)
}

fn chaos_test_command(
    script: PathBuf,
    seed: u64,
    keep: Option<PathBuf>,
    json: bool,
    log_level: String,
) -> Outcome {
    let text = fs::read_to_string(&script).map_err(|e| format!("{}: {e}", script.display()))?;
    let script = Script::parse(&script.display().to_string(), &text)?;
    let mut told = 0;
    let progress = |seconds: f64, open: usize| {
        // One line for each tenth of the day.
        let tenth = (seconds / script.seconds * 10.0).floor() as i64;
        if tenth > told && io::stderr().is_terminal() {
            told = tenth;
            eprintln!("  {seconds:.1} of {:.1} s, {open} calls open", script.seconds);
        }
    };
    let report = chaos_test::run(&script, &chaos_test::Options { seed, keep, log_level }, progress)?;
    match json {
        true => println!("{}", serde_json::to_string(&report)?),
        false => print!("{report}"),
    }
    Ok(if report.is_good() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn rules(directory: PathBuf, json: bool) -> Outcome {
    let read = |name: &str| {
        let path = directory.join(name);
        fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))
    };
    let terms: Terms = serde_json::from_str(&read("terms.json")?)?;
    let lines = trace::read(&read("all.jsonl")?).map_err(|e| format!("all.jsonl: {e}"))?;
    let violations = check(&terms, &lines);
    if json {
        println!("{}", json!({"lines": lines.len(), "violations": violations}));
    } else {
        println!("{} lines, {} violations", lines.len(), violations.len());
        for violation in &violations {
            println!("  {:?} at {}: {}", violation.rule, violation.at_us, violation.what);
        }
    }
    Ok(if violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
