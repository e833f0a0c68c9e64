//! The `members` form: where the list of workers comes from while the gateway runs.

use crate::members::MemberSettings;
use slatevalve::Micros;
use slatevalve_forms::{Fields, Form, FormError};
use slatevalve_registry::{
    CensusSettings, ClientSettings, EndpointsSettings, FollowerSettings, Login, RegistrationSettings,
};
use std::net::ToSocketAddrs;
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

pub(super) fn members(top: &mut Fields<'_>, seed: u64) -> Res<Option<MemberSource>> {
    let Some(form) = top.take("members")? else { return Ok(None) };
    let mut fields = form.fields()?;
    if let Some(file) = fields.take("replay")? {
        let path = PathBuf::from(file.text()?);
        fields.finish()?;
        return Ok(Some(MemberSource::Replay(path)));
    }
    let registry = fields.need("registry")?;
    let endpoints = registry.texts()?;
    if endpoints.is_empty() {
        return Err(registry.error("expected one HOST:PORT or more"));
    }
    let mut addresses = Vec::new();
    for endpoint in &endpoints {
        let found = endpoint.to_socket_addrs().ok().and_then(|mut a| a.next());
        let address =
            found.ok_or_else(|| registry.error(format!("{endpoint} is no HOST:PORT that is known")))?;
        addresses.push(address);
    }
    let prefix = fields.or("prefix", "/slatevalve/".to_string(), Form::text)?;
    if !prefix.ends_with('/') {
        return Err(form.error("the prefix ends with /"));
    }
    let login = super::login(&mut fields, &form)?.map(|(name, password)| Login { name, password });
    let base = FollowerSettings::default();
    let follower = FollowerSettings {
        look_us: fields.or("look-ms", Micros(base.look_us), Form::millis)?.0.max(1_000),
        silence_us: fields.or("silence-ms", Micros(base.silence_us), Form::millis)?.0,
        ..base
    };
    let census_base = CensusSettings::default();
    let census = CensusSettings {
        least: fields.or("least-routers", 1, |f| f.whole(1_000_000))?.max(1) as usize,
        hold_us: fields.or("fewer-routers-after-ms", Micros(census_base.hold_us), Form::millis)?.0,
        ..census_base
    };
    let ttl_s = fields.or("ttl-s", 10, |f| f.whole(86_400))?.max(1) as i64;
    let timeout_us = fields.or("timeout-ms", Micros(2_000_000), Form::millis)?.0;
    let remember = fields.take("remember")?.map(|f| f.text()).transpose()?.map(PathBuf::from);
    let record = fields.take("record")?.map(|f| f.text()).transpose()?.map(PathBuf::from);
    fields.finish()?;
    let client = ClientSettings {
        endpoints,
        prefix,
        login,
        follow: true,
        own: None,
        follower,
        registration: RegistrationSettings { ttl_s },
        endpoint: EndpointsSettings::default(),
        timeout_us,
        seed,
    };
    Ok(Some(MemberSource::Registry(Box::new(MemberSettings { client, addresses, census, remember, record }))))
}
