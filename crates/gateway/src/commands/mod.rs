//! The command line: sub-commands for running a gateway, operating one, testing, and the test servers.

mod chaos_test;
mod demo;
mod fleet_test;
mod gateway;
mod login;
mod members;
mod plugin;
mod registry;
mod relay;
mod session;
mod settings;
mod test_servers;

use clap::{Parser, Subcommand, ValueEnum};
use std::error::Error;
use std::io::{self, IsTerminal, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use test_servers::WorkerArguments;
use tracing_subscriber::EnvFilter;

/// Exit code where a command could not be carried out.
const EXIT_ERROR: u8 = 2;

/// What a command ends with: its exit code, or an error that is printed.
type CommandResult = Result<ExitCode, Box<dyn Error>>;

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
    /// Run a test worker, for trying things out and for fleet tests
    ///
    /// Prints "ready ADDRESS" on standard output. Its calls do nothing but take time: a payload like
    /// "call=NAME work-us=5000" says how much.
    Worker(WorkerArguments),
    /// Run a test MQTT 5 broker, for trying out the bridge
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
    /// Start a gateway and three test workers on this machine, make a few calls, and stay for yours
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
    /// Run a scripted chaos test on this machine and check the rules from the recorded traffic
    ///
    /// Exits with 1 where a rule was broken or a call had no answer, with 2 where the test could not be run.
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
    /// Settings with versions: check, compare and publish documents, see who has acknowledged them
    ///
    /// Exits with 1 where documents contradict, with 2 where something is wrong, with 3 where a change is prepared and waits.
    Settings(settings::SettingsArguments),
    /// Run a test key-value registry that speaks etcd's JSON mapping, for trying things out
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
    /// Run a fleet test: many processes of this program, routers, list service, links between them that fail by script
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

/// Runs the command line of this process.
pub fn run() -> ExitCode {
    slatevalve_fleet_test::end_with_parent();
    let cli = Cli::parse();
    let result = start_log(&cli.log_level, cli.log_format).and_then(|()| execute(cli));
    result.unwrap_or_else(|error| {
        eprintln!("slatevalve: {error}");
        ExitCode::from(EXIT_ERROR)
    })
}

fn start_log(level: &str, format: LogFormat) -> Result<(), Box<dyn Error>> {
    let filter = EnvFilter::try_new(level).map_err(|e| format!("--log-level: {e}"))?;
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(io::stderr);
    match format {
        LogFormat::Text => builder.with_ansi(io::stderr().is_terminal()).init(),
        LogFormat::Json => builder.json().init(),
    }
    Ok(())
}

fn execute(cli: Cli) -> CommandResult {
    match cli.command {
        Command::Run { settings } => gateway::run(settings),
        Command::Platform => gateway::platform(),
        Command::Check { settings, json } => gateway::check(settings, json),
        Command::Worker(arguments) => test_servers::worker(arguments),
        Command::Broker { listen, plan } => test_servers::broker(listen, plan.as_deref()),
        Command::Demo { seconds, listen, json } => demo::demo(seconds, listen, json),
        Command::ChaosTest { script, seed, keep, json } => {
            chaos_test::chaos_test(&script, seed, keep, json, cli.log_level)
        }
        Command::Plugin(arguments) => plugin::plugin(arguments),
        Command::Members(arguments) => members::members(arguments),
        Command::Settings(arguments) => settings::settings(arguments),
        Command::Kv { listen, compact_after_ms, plan } => {
            test_servers::kv(listen, compact_after_ms, plan.as_deref())
        }
        Command::Registry(arguments) => registry::registry(arguments),
        Command::Relay(arguments) => relay::relay(arguments),
        Command::FleetTest(arguments) => fleet_test::run(arguments),
        Command::Link { plan } => fleet_test::link(&plan),
        Command::Rules { directory, json } => chaos_test::rules(&directory, json),
    }
}

/// Prints the line that says that clients can connect, which scripts wait for.
fn print_ready(address: SocketAddr) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "ready {address}")?;
    out.flush()
}
