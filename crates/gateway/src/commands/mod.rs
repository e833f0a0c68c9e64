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

/// Exit code of a command that could not be executed.
const EXIT_ERROR: u8 = 2;

/// The result of a command: its exit code, or an error that is printed.
type CommandResult = Result<ExitCode, Box<dyn Error>>;

/// A gateway that runs calls on workers which keep only some of many functions loaded.
///
/// Calls arrive as MQTT publishes; answers go to their response topic. `slatevalve demo` demonstrates it on
/// this machine, `slatevalve check FILE` reports errors in a settings file, `slatevalve run FILE` runs a
/// gateway with it.
#[derive(Parser)]
#[command(name = "slatevalve", version)]
struct Cli {
    /// Log level: error, warn, info, debug, or a filter like "slatevalve_mqtt=debug"; logs go to standard
    /// error
    #[arg(long, global = true, default_value = "info")]
    log_level: String,
    /// Log format
    #[arg(long, global = true, value_enum, default_value = "text")]
    log_format: LogFormat,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    /// Readable lines
    Text,
    /// One JSON object per line
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Run a gateway with a settings file until SIGTERM or SIGINT; SIGHUP reloads its worker list
    ///
    /// Prints "ready ADDRESS" on standard output once clients can connect. On SIGTERM it accepts no new
    /// calls, ends open calls within (stop-within-ms ...), and exits with 0.
    Run {
        /// The settings file
        settings: PathBuf,
    },
    /// Run a router of the platform with the configuration file in EDGE_CONFIG until SIGTERM; SIGHUP reloads
    /// the file
    Platform,
    /// Check a settings file and print a summary of it, without starting anything
    Check {
        /// The settings file
        settings: PathBuf,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Run a test worker, for trying things out and for fleet tests
    ///
    /// Prints "ready ADDRESS" on standard output. Its calls only take time; a payload like "call=NAME
    /// work-us=5000" sets how much.
    Worker(WorkerArguments),
    /// Run a test MQTT 5 broker, for trying out the bridge
    ///
    /// Prints "ready ADDRESS" on standard output. It supports shared subscriptions, sessions and QoS 0 and 1;
    /// it stores nothing on disk and requires no password.
    Broker {
        /// Listening address; port 0 chooses a free port
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// All settings as JSON, including injected faults
        #[arg(long, hide = true)]
        plan: Option<String>,
    },
    /// Start a gateway and three test workers on this machine, make a few calls, and keep running for further
    /// calls
    Demo {
        /// Stop after this many seconds; the default is to run until Ctrl-C
        #[arg(long)]
        seconds: Option<f64>,
        /// Listening address for MQTT clients; port 0 chooses a free port
        #[arg(long, default_value = "127.0.0.1:1883")]
        listen: SocketAddr,
        /// Print one JSON object at the end
        #[arg(long)]
        json: bool,
    },
    /// Run a scripted chaos test on this machine and check the rules against the recorded traffic
    ///
    /// Exits with 1 if a rule was violated or a call had no answer, with 2 if the test could not be run.
    #[command(alias = "badday")]
    ChaosTest {
        /// The script file
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
    /// Manage versions of functions: push them, move aliases, check their content
    ///
    /// With --socket a running gateway executes the command, and the change takes effect at once. With
    /// --folder the command changes the folder, which a gateway reloads on SIGHUP.
    Plugin(plugin::PluginArguments),
    /// Manage the members in the key-value registry: list and watch them, drain a worker
    Members(members::MembersArguments),
    /// Manage versioned settings: check, compare and publish documents, show which routers have acknowledged
    /// them
    ///
    /// Exits with 1 if documents contradict each other, with 2 on an error, with 3 if a change is prepared
    /// but not committed.
    Settings(settings::SettingsArguments),
    /// Run a test key-value registry with etcd's JSON mapping, for trying things out
    ///
    /// Prints "ready ADDRESS" on standard output. Nothing is kept on disk.
    Kv {
        /// Listening address; port 0 chooses a free port
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Compact history older than this many milliseconds; 0 keeps all
        #[arg(long, default_value_t = 0)]
        compact_after_ms: u32,
        /// All settings as JSON, including injected faults
        #[arg(long, hide = true)]
        plan: Option<String>,
    },
    /// Run a registry of plug-ins on a folder, with the OCI distribution protocol
    ///
    /// Prints "ready ADDRESS" on standard output. `plugin publish` uploads to it, `plugin pull` and gateways
    /// download from it.
    Registry(registry::RegistryArguments),
    /// Run a relay, which watches the worker list of the registry once and serves it to many routers with the
    /// same protocol
    ///
    /// Prints "ready ADDRESS" on standard output. Routers list it in (relays ...) of their members form.
    Relay(relay::RelayArguments),
    /// Run a fleet test: many processes of this program (routers, list service, links between them) with
    /// scripted faults
    ///
    /// Exits with 1 if an expectation of the script is not met, with 2 if the script could not be run.
    #[command(alias = "rehearsal")]
    FleetTest(fleet_test::FleetTestArguments),
    /// Run one link of a fleet test; prints "ready ADDRESS" on standard output
    #[command(hide = true)]
    Link {
        /// All settings as JSON
        #[arg(long)]
        plan: String,
    },
    /// Check the rules against a trace that `chaos-test --keep` wrote (all.jsonl and terms.json)
    Rules {
        /// The directory with the trace
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

/// Prints the line that announces that clients can connect; scripts wait for it.
fn print_ready(address: SocketAddr) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "ready {address}")?;
    out.flush()
}
