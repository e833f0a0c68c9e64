//! `slatevalve relay`: watches the worker list once and serves it to many routers.

use super::login::LoginArguments;
use super::session::resolve;
use super::{print_ready, CommandResult};
use crate::random_id::random_u64;
use clap::Args;
use slatevalve_pacing::derive_seed;
use slatevalve_registry::{ClientSettings, Login, RegistrationSettings, WatchScope, WatchSettings};
use slatevalve_relay::{run_relay, Limits, RelaySettings};
use std::net::SocketAddr;
use std::process::ExitCode;

/// Time to live of the lease of the relay's own entry, in seconds.
const LEASE_TTL_S: i64 = 10;
/// Maximum delay after failures while few relays are counted.
const FEW_RELAYS_DELAY_MAX_US: i64 = 1_000_000;
/// Bound on the time until a change is received; the same as the default of a gateway.
const DRAIN_WITHIN_US: i64 = 12_000_000;
/// Timeout of a request to one member of the registry.
const REQUEST_TIMEOUT_US: i64 = 1_000_000;

#[derive(Args)]
pub(super) struct RelayArguments {
    /// Name of the relay, unique among relays
    #[arg(long)]
    name: String,
    /// Listening address for routers; port 0 chooses a free port
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// A member of the registry, HOST:PORT; several are tried in turn
    #[arg(long, required = true)]
    registry: Vec<String>,
    /// Prefix of all keys
    #[arg(long, default_value = "/slatevalve/")]
    prefix: String,
    /// Milliseconds between two checks that the watch is up to date
    #[arg(long = "look-ms", value_name = "LOOK_MS", default_value_t = 500)]
    liveness_interval_ms: u32,
    /// Milliseconds without a message from the registry after which the relay stops serving
    #[arg(long = "silence-ms", value_name = "SILENCE_MS", default_value_t = 2_000)]
    stale_after_ms: u32,
    /// Maximum number of connections of routers
    #[arg(long, default_value_t = Limits::default().peers)]
    connections: usize,
    #[command(flatten)]
    login: LoginArguments,
}

/// Runs `slatevalve relay`.
pub(super) fn relay(arguments: RelayArguments) -> CommandResult {
    let RelayArguments {
        name,
        listen,
        registry,
        prefix,
        liveness_interval_ms,
        stale_after_ms,
        connections,
        login,
    } = arguments;
    if name.is_empty() || !name.chars().all(|letter| letter.is_ascii_graphic() && letter != '/') {
        return Err("--name must consist of visible ASCII characters other than /".into());
    }
    if !prefix.ends_with('/') {
        return Err("--prefix must end with /".into());
    }
    let addresses = resolve(&registry)?;
    let micros = |millis: u32| i64::from(millis) * 1_000;
    let defaults = WatchSettings::default();
    let client = ClientSettings {
        endpoints: registry,
        relays: 0,
        prefix,
        login: login.read()?.map(|(name, password)| Login { name, password }),
        follow: WatchScope::Workers,
        own: None,
        watch_state: WatchSettings {
            liveness_interval_us: micros(liveness_interval_ms.max(1)),
            stale_after_us: micros(stale_after_ms),
            ..defaults
        },
        registration: RegistrationSettings { ttl_s: LEASE_TTL_S },
        pace: slatevalve_pacing::Limits {
            few_clients_max_delay_us: FEW_RELAYS_DELAY_MAX_US,
            ..slatevalve_pacing::Limits::default()
        },
        // Relays are few; routers send their requests to the relays.
        clients: 1,
        drain_within_us: DRAIN_WITHIN_US,
        timeout_us: REQUEST_TIMEOUT_US,
        seed: derive_seed(1, &name),
    };
    let limits = Limits { peers: connections, ..Limits::default() };
    let instance = random_u64()?;
    run_relay(RelaySettings { name, instance, listen, client, addresses, limits }, |address| {
        // The reader of the output may have exited; the relay runs nevertheless.
        let _ = print_ready(address);
    })?;
    Ok(ExitCode::SUCCESS)
}
