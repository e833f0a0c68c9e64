//! `slatevalve relay`: the list of workers followed once and served on to many routers.

use super::login::LoginArguments;
use super::{say_ready, Outcome};
use clap::Args;
use slatevalve_pacing::seed_of;
use slatevalve_registry::{ClientSettings, Login, RegistrationSettings, WatchScope, WatchSettings};
use slatevalve_relay::{run_relay, Limits, RelayPlan};
use std::net::{SocketAddr, ToSocketAddrs};
use std::process::ExitCode;

#[derive(Args)]
pub(super) struct RelayArguments {
    /// Its name, different from other relays'
    #[arg(long)]
    name: String,
    /// Where routers connect; port 0 takes a free one
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// A member of the registry, HOST:PORT; several are tried in turn
    #[arg(long, required = true)]
    registry: Vec<String>,
    /// What all keys begin with
    #[arg(long, default_value = "/slatevalve/")]
    prefix: String,
    /// Milliseconds between two looks at whether the watch tells all
    #[arg(long, default_value_t = 500)]
    look_ms: u32,
    /// Milliseconds without a word of the registry after which it serves nobody any more
    #[arg(long, default_value_t = 2_000)]
    silence_ms: u32,
    /// Connections of routers at most
    #[arg(long, default_value_t = Limits::default().peers)]
    connections: usize,
    #[command(flatten)]
    login: LoginArguments,
}

pub(super) fn relay(arguments: RelayArguments) -> Outcome {
    let RelayArguments { name, listen, registry, prefix, look_ms, silence_ms, connections, login } =
        arguments;
    if name.is_empty() || !name.chars().all(|c| c.is_ascii_graphic() && c != '/') {
        return Err("--name is of visible ASCII characters without /".into());
    }
    if !prefix.ends_with('/') {
        return Err("--prefix ends with /".into());
    }
    let mut addresses = Vec::new();
    for member in &registry {
        let found = member.to_socket_addrs().map_err(|e| format!("{member}: {e}"))?.next();
        addresses.push(found.ok_or_else(|| format!("{member} has no address"))?);
    }
    let micros = |ms: u32| i64::from(ms) * 1_000;
    let base = WatchSettings::default();
    let client = ClientSettings {
        endpoints: registry,
        relays: 0,
        prefix,
        login: login.read()?.map(|(name, password)| Login { name, password }),
        follow: WatchScope::Workers,
        own: None,
        watch_state: WatchSettings {
            look_us: micros(look_ms.max(1)),
            silence_us: micros(silence_ms),
            ..base
        },
        registration: RegistrationSettings { ttl_s: 10 },
        pace: slatevalve_pacing::Limits { few_us: 1_000_000, ..slatevalve_pacing::Limits::default() },
        // Relays are few; what routers ask they ask of the relays.
        askers: 1,
        drain_within_us: 12_000_000,
        timeout_us: 1_000_000,
        seed: seed_of(1, &name),
    };
    let limits = Limits { peers: connections, ..Limits::default() };
    run_relay(RelayPlan { name, listen, client, addresses, limits }, |address| {
        // Whoever started it may not listen any more; it works all the same.
        let _ = say_ready(address);
    })?;
    Ok(ExitCode::SUCCESS)
}
