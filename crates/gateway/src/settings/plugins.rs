//! The `plugins` form: the folder, the registry, signatures, roll-out.

use super::sub;
use slatevalve::Micros;
use slatevalve_oci::{Credentials, Location, Policy, PullSettings};
use slatevalve_plugins::{ClassRights, KeyList, RolloutSettings, Terms};
use slatevalve_sexpr::{Fields, Form, FormError};
use std::path::PathBuf;

type Res<T> = Result<T, FormError>;

/// Plug-ins.
#[derive(Clone, Debug)]
pub struct PluginSettings {
    /// The folder of blobs and of the catalogue.
    pub folder: PathBuf,
    /// Whether functions that are no plug-ins run as well.
    pub unlisted: bool,
    /// How an alias's move is carried out; `None` for a plain switch.
    pub rollout: Option<RolloutSettings>,
    /// Where the admin socket is, where there is one.
    pub admin: Option<PathBuf>,
    /// Where versions are pulled from.
    pub registry: Option<PullSettings>,
    /// Whether a call that names a version of a known plug-in has it pulled.
    pub on_call: bool,
    /// Bytes of content that are looked at again in a second; 0 for none.
    pub scrub_per_s: u64,
    /// What a version must fulfil to run.
    pub terms: Terms,
}

pub(super) fn plugins(top: &mut Fields<'_>, rights: ClassRights, seed: u64) -> Res<Option<PluginSettings>> {
    let Some(mut fields) = sub(top, "plugins")? else { return Ok(None) };
    let folder = PathBuf::from(fields.need("folder")?.text()?);
    let unlisted = fields.or("unlisted", false, Form::flag)?;
    let plain = fields.or("plain-switch", false, Form::flag)?;
    let admin = fields.take("admin")?.map(|f| f.text()).transpose()?.map(PathBuf::from);
    let scrub = fields.or("scrub-mb-per-s", 8.0, Form::number)?;
    let rollout = rollout(&mut fields)?;
    let keys = keys(&mut fields)?;
    let registry = fields.take("registry")?.map(|f| registry(&f, &rights, seed)).transpose()?;
    fields.finish()?;
    let (registry, on_call) = registry.map_or((None, false), |(r, on_call)| (Some(r), on_call));
    Ok(Some(PluginSettings {
        folder,
        unlisted,
        rollout: (!plain).then_some(rollout),
        admin,
        registry,
        on_call,
        scrub_per_s: (scrub * 1e6) as u64,
        terms: Terms { keys, rights: Some(rights) },
    }))
}

fn rollout(fields: &mut Fields<'_>) -> Res<RolloutSettings> {
    let mut rollout = RolloutSettings::default();
    if let Some(mut form) = sub(fields, "rollout")? {
        rollout.orders_at_once =
            form.or("orders-at-once", rollout.orders_at_once as u64, |f| f.whole(1_000))? as usize;
        rollout.first_part = form.or("first-part", rollout.first_part, Form::number)?.clamp(0.001, 1.0);
        rollout.step_us = form.or("step-ms", Micros(rollout.step_us), Form::millis)?.0;
        rollout.judged_after =
            form.or("judged-after", u64::from(rollout.judged_after), |f| f.whole(1_000_000))? as u32;
        rollout.more_failures = form.or("more-failures", rollout.more_failures, Form::number)?;
        rollout.more_late = form.or("more-late", rollout.more_late, Form::number)?;
        rollout.give_up_us = form.or("give-up-ms", Micros(rollout.give_up_us), Form::millis)?.0;
        form.finish()?;
    }
    Ok(rollout)
}

/// `(signatures (key "ID" "PUBLIC") ...)`; the form without keys bars everything, which is said.
fn keys(fields: &mut Fields<'_>) -> Res<Option<KeyList>> {
    let Some(form) = fields.take("signatures")? else { return Ok(None) };
    let mut inner = form.fields()?;
    let mut keys = KeyList::default();
    let listed = inner.take_all("key");
    if listed.is_empty() {
        return Err(form.error("no (key \"ID\" \"PUBLIC\") stands here, so nothing could run"));
    }
    for key in listed {
        match key.texts()?.as_slice() {
            [id, public] => keys.add(id, public).map_err(|e| key.error(e.to_string()))?,
            _ => return Err(key.error("expected an id and a public key in base64")),
        }
    }
    inner.finish()?;
    Ok(Some(keys))
}

fn registry(form: &Form<'_>, rights: &ClassRights, seed: u64) -> Res<(PullSettings, bool)> {
    let (address, mut fields) = form.named_fields()?;
    let location = Location::parse(&address).map_err(|e| form.error(e.to_string()))?;
    let login = super::login(&mut fields, form)?;
    let credentials = login.map(|(user, password)| Credentials { user, password });
    let base = Policy::default();
    let policy = Policy {
        stall_us: fields.or("stall-ms", Micros(base.stall_us), Form::millis)?.0,
        first_wait_us: fields.or("first-wait-ms", Micros(base.first_wait_us), Form::millis)?.0,
        longest_wait_us: fields.or("longest-wait-ms", Micros(base.longest_wait_us), Form::millis)?.0,
        tries: fields.or("tries", u64::from(base.tries), |f| f.whole(1_000))?.max(1) as u32,
        within_us: fields.or("within-ms", Micros(base.within_us), Form::millis)?.0,
        redirects: base.redirects,
        hosts: fields.or("hosts", Vec::new(), Form::texts)?,
    };
    let range = fields.or("range-kb", 1_024, |f| f.whole(1 << 20))?.max(1) * 1_024;
    let max_size = fields.or("most-mb", 1_024, |f| f.whole(1 << 20))? * 1_000_000;
    let on_call = fields.or("on-call", false, Form::flag)?;
    fields.finish()?;
    let rights = Some(rights.clone());
    Ok((PullSettings { location, credentials, policy, range, max_size, rights, seed }, on_call))
}
