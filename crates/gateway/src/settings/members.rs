//! The `members` form: where the list of workers comes from while the gateway runs.

use crate::members::MemberSettings;
use slatevalve::Micros;
use slatevalve_pacing::{seed_of, Limits};
use slatevalve_registry::{
    ClientSettings, Login, RegistrationSettings, RouterCountSettings, WatchScope, WatchSettings,
};
use slatevalve_sexpr::{Fields, Form, FormError};
use std::net::{SocketAddr, ToSocketAddrs};
use std::path::PathBuf;

type Res<T> = Result<T, FormError>;

/// Where the list of workers comes from, beside the settings file.
#[derive(Clone, Debug)]
pub enum MemberSource {
    /// A registry.
    Registry(Box<MemberSettings>),
    /// A recorded file.
    Replay(PathBuf),
}

/// `name` and `routers` are the gateway's own: what is drawn follows from the name.
pub(super) fn members(
    top: &mut Fields<'_>,
    seed: u64,
    name: &str,
    routers: usize,
) -> Res<Option<MemberSource>> {
    let Some(form) = top.take("members")? else { return Ok(None) };
    let mut fields = form.fields()?;
    if let Some(file) = fields.take("replay")? {
        let path = PathBuf::from(file.text()?);
        fields.finish()?;
        return Ok(Some(MemberSource::Replay(path)));
    }
    let (client, addresses) = client(&mut fields, &form, seed, name, routers)?;
    let census_base = RouterCountSettings::default();
    let census = RouterCountSettings {
        least: fields.or("least-routers", 1, |f| f.whole(1_000_000))?.max(1) as usize,
        hold_us: fields.or("fewer-routers-after-ms", Micros(census_base.hold_us), Form::millis)?.0,
        ..census_base
    };
    let remember = fields.take("remember")?.map(|f| f.text()).transpose()?.map(PathBuf::from);
    let record = fields.take("record")?.map(|f| f.text()).transpose()?.map(PathBuf::from);
    fields.finish()?;
    Ok(Some(MemberSource::Registry(Box::new(MemberSettings { client, addresses, census, remember, record }))))
}

/// What is said of the connection to a registry, and its members' addresses.
pub(super) fn client(
    fields: &mut Fields<'_>,
    form: &Form<'_>,
    seed: u64,
    name: &str,
    routers: usize,
) -> Res<(ClientSettings, Vec<SocketAddr>)> {
    let registry = fields.need("registry")?;
    let mut endpoints = Vec::new();
    let mut addresses = Vec::new();
    let of_relays = fields.take("relays")?;
    for form in of_relays.iter().chain([&registry]) {
        let texts = form.texts()?;
        if texts.is_empty() {
            return Err(form.error("expected one HOST:PORT or more"));
        }
        for endpoint in texts {
            let found = endpoint.to_socket_addrs().ok().and_then(|mut a| a.next());
            addresses
                .push(found.ok_or_else(|| form.error(format!("{endpoint} is no HOST:PORT that is known")))?);
            endpoints.push(endpoint);
        }
    }
    let relays = of_relays.map_or(Ok(0), |f| Ok(f.texts()?.len()))?;
    let prefix = fields.or("prefix", "/slatevalve/".to_string(), Form::text)?;
    if !prefix.ends_with('/') {
        return Err(form.error("the prefix ends with /"));
    }
    let login = super::login(fields, form)?.map(|(name, password)| Login { name, password });
    let base = WatchSettings::default();
    let watch_state = WatchSettings {
        look_us: fields.or("look-ms", Micros(base.look_us), Form::millis)?.0.max(1_000),
        silence_us: fields.or("silence-ms", Micros(base.silence_us), Form::millis)?.0,
        ..base
    };
    let ttl_s = fields.or("ttl-s", 30, |f| f.whole(86_400))?.max(1) as i64;
    let timeout_us = fields.or("timeout-ms", Micros(2_000_000), Form::millis)?.0;
    let base = Limits::default();
    let per_second = fields.or("service-per-second", base.per_second, Form::number)?;
    if per_second <= 0.0 {
        return Err(form.error("service-per-second is above 0"));
    }
    let drain_within_us = fields.or("drain-within-ms", Micros(12_000_000), Form::millis)?.0;
    // A wait, the time of an answer and that of a look that finds the watch behind lie within it.
    let longest_us = drain_within_us - timeout_us - watch_state.behind_us;
    if longest_us <= 0 {
        return Err(form.error("drain-within-ms is longer than timeout-ms and half a second together"));
    }
    let pace = Limits { per_second, longest_us, few_us: base.few_us.min(longest_us), ..base };
    let client = ClientSettings {
        endpoints,
        relays,
        prefix,
        login,
        follow: WatchScope::Workers,
        own: None,
        watch_state,
        registration: RegistrationSettings { ttl_s },
        pace,
        askers: routers,
        drain_within_us,
        timeout_us,
        seed: seed_of(seed, name),
    };
    Ok((client, addresses))
}
