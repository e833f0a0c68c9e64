//! The `members` form: the source of the worker list while the gateway runs.

use super::forms::{credentials, millis_as_us, optional_path, whole, FormResult};
use crate::members::MemberSettings;
use slatevalve_pacing::{derive_seed, Limits};
use slatevalve_registry::{
    ClientSettings, Login, RegistrationSettings, RouterCountSettings, WatchScope, WatchSettings,
};
use slatevalve_sexpr::{Fields, Form};
use std::net::{SocketAddr, ToSocketAddrs};
use std::path::PathBuf;

/// Shortest interval between two liveness checks, in microseconds.
const MIN_LIVENESS_CHECK_US: i64 = 1_000;
/// Default time to live of a registration, in seconds.
const DEFAULT_TTL_S: i64 = 30;
/// Longest time to live of a registration, in seconds: a day.
const MAX_TTL_S: u64 = 86_400;
/// Default timeout of a request to the registry, in microseconds.
const DEFAULT_TIMEOUT_US: i64 = 2_000_000;
/// Default bound on the time until all routers have received a drain, in microseconds.
const DEFAULT_DRAIN_WITHIN_US: i64 = 12_000_000;
/// Largest number of routers that can be set.
const MAX_ROUTERS: u64 = 1_000_000;

/// A source of the worker list other than the settings file.
#[derive(Clone, Debug)]
pub enum MemberSource {
    /// A registry, whose list is followed.
    Registry(Box<MemberSettings>),
    /// A file with recorded changes, which are replayed.
    Replay(PathBuf),
}

/// Reads `(members ...)`. `name` and `routers` are the gateway's name and number of routers; the seed of the
/// registry client is derived from `seed` and the name, so that gateways draw different random delays.
pub(super) fn members(
    top: &mut Fields<'_>,
    seed: u64,
    name: &str,
    routers: usize,
) -> FormResult<Option<MemberSource>> {
    let Some(form) = top.take("members")? else { return Ok(None) };
    let mut fields = form.fields()?;
    if let Some(file) = fields.take("replay")? {
        let path = PathBuf::from(file.text()?);
        fields.finish()?;
        return Ok(Some(MemberSource::Replay(path)));
    }
    let (client, addresses) = client(&mut fields, &form, seed, name, routers)?;
    let base = RouterCountSettings::default();
    let router_count = RouterCountSettings {
        min_routers: whole(&mut fields, "least-routers", 1, MAX_ROUTERS)?.max(1),
        hold_us: millis_as_us(&mut fields, "fewer-routers-after-ms", base.hold_us)?,
        ..base
    };
    let remember = optional_path(&mut fields, "remember")?;
    let record = optional_path(&mut fields, "record")?;
    fields.finish()?;
    Ok(Some(MemberSource::Registry(Box::new(MemberSettings {
        client,
        addresses,
        router_count,
        remember,
        record,
    }))))
}

/// Reads the fields of a connection to a registry: the client's settings, and the addresses of relays and
/// members.
pub(super) fn client(
    fields: &mut Fields<'_>,
    form: &Form<'_>,
    seed: u64,
    name: &str,
    routers: usize,
) -> FormResult<(ClientSettings, Vec<SocketAddr>)> {
    let Endpoints { names: endpoints, addresses, relays } = Endpoints::read(fields)?;
    let prefix = fields.or("prefix", "/slatevalve/".to_string(), Form::text)?;
    if !prefix.ends_with('/') {
        return Err(form.error("prefix must end with /"));
    }
    let login = credentials(fields, form)?;
    let base = WatchSettings::default();
    let watch_state = WatchSettings {
        liveness_interval_us: millis_as_us(fields, "look-ms", base.liveness_interval_us)?
            .max(MIN_LIVENESS_CHECK_US),
        stale_after_us: millis_as_us(fields, "silence-ms", base.stale_after_us)?,
        ..base
    };
    let ttl_s = whole(fields, "ttl-s", DEFAULT_TTL_S, MAX_TTL_S)?.max(1);
    let timeout_us = millis_as_us(fields, "timeout-ms", DEFAULT_TIMEOUT_US)?;
    let base = Limits::default();
    let per_second = fields.or("service-per-second", base.per_second, Form::number)?;
    if per_second <= 0.0 {
        return Err(form.error("service-per-second must be above 0"));
    }
    let drain_within_us = millis_as_us(fields, "drain-within-ms", DEFAULT_DRAIN_WITHIN_US)?;
    // drain-within-ms covers the delay before a request, the request itself, and the lag after which a
    // liveness check finds the watch to be behind.
    let max_delay_us = drain_within_us - timeout_us - watch_state.lag_tolerance_us;
    if max_delay_us <= 0 {
        return Err(form.error("drain-within-ms must be longer than timeout-ms plus half a second"));
    }
    let client = ClientSettings {
        endpoints,
        relays,
        prefix,
        login: login.map(|login| Login { name: login.user, password: login.password }),
        follow: WatchScope::Workers,
        own: None,
        watch_state,
        registration: RegistrationSettings { ttl_s },
        pace: Limits {
            per_second,
            max_delay_us,
            few_clients_max_delay_us: base.few_clients_max_delay_us.min(max_delay_us),
            ..base
        },
        clients: routers,
        drain_within_us,
        timeout_us,
        seed: derive_seed(seed, name),
    };
    Ok((client, addresses))
}

/// The endpoints of a registry client: relays first, then members of the registry.
struct Endpoints {
    /// `HOST:PORT` of each endpoint.
    names: Vec<String>,
    addresses: Vec<SocketAddr>,
    /// How many of the endpoints are relays.
    relays: usize,
}

impl Endpoints {
    /// Reads `registry` and `relays`, and resolves their names.
    fn read(fields: &mut Fields<'_>) -> FormResult<Self> {
        let registry = fields.need("registry")?;
        let relays = fields.take("relays")?;
        let mut endpoints = Endpoints { names: Vec::new(), addresses: Vec::new(), relays: 0 };
        if let Some(relays) = relays {
            endpoints.add(&relays)?;
            endpoints.relays = endpoints.names.len();
        }
        endpoints.add(&registry)?;
        Ok(endpoints)
    }

    fn add(&mut self, form: &Form<'_>) -> FormResult<()> {
        let names = form.texts()?;
        if names.is_empty() {
            return Err(form.error("expected at least one HOST:PORT"));
        }
        for name in names {
            let resolved = name.to_socket_addrs().ok().and_then(|mut addresses| addresses.next());
            let unresolved = || form.error(format!("cannot resolve {name} as HOST:PORT"));
            self.addresses.push(resolved.ok_or_else(unresolved)?);
            self.names.push(name);
        }
        Ok(())
    }
}
