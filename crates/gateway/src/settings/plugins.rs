//! The `plugins` form: folder, registry, signatures and rollout of plug-ins.

use super::forms::{credentials, millis_as_us, optional, optional_path, sub_form, whole, FormResult};
use slatevalve_oci::{Credentials, Location, Policy, PullSettings};
use slatevalve_plugins::{AdmissionPolicy, ClassRights, KeyList, RolloutSettings};
use slatevalve_sexpr::{Fields, Form};
use std::path::PathBuf;

/// Settings of plug-ins: functions whose versions the gateway's operators install.
#[derive(Clone, Debug)]
pub struct PluginSettings {
    /// Folder of the blobs and the catalogue.
    pub folder: PathBuf,
    /// Whether calls of functions that are not plug-ins are accepted as well.
    pub unlisted: bool,
    /// How the gateway rolls out an alias that moves to another version; `None` to switch at once.
    pub rollout: Option<RolloutSettings>,
    /// Path of the admin socket; `None` to open none.
    pub admin: Option<PathBuf>,
    /// Settings for pulling versions from a registry; `None` if none is set.
    pub registry: Option<PullSettings>,
    /// Whether a call for a missing version of a known plug-in starts a pull of that version.
    pub pull_on_call: bool,
    /// Rate at which stored content is verified again, in bytes per second; 0 disables it.
    pub scrub_per_s: u64,
    /// Conditions that a version must meet to run: signatures and claimed class.
    pub admission_policy: AdmissionPolicy,
}

/// Default rate at which stored content is verified again, in megabytes per second.
const DEFAULT_SCRUB_MB_PER_S: f64 = 8.0;
/// Default of `range-kb`, in kilobytes.
const DEFAULT_RANGE_KB: u64 = 1_024;
/// Default of `most-mb`, in megabytes.
const DEFAULT_MAX_SIZE_MB: u64 = 1_024;
/// Largest value of `range-kb` and `most-mb`.
const MAX_SIZE_FIELD: u64 = 1 << 20;

pub(super) fn plugins(
    top: &mut Fields<'_>,
    rights: ClassRights,
    seed: u64,
) -> FormResult<Option<PluginSettings>> {
    let Some(mut fields) = sub_form(top, "plugins")? else { return Ok(None) };
    let folder = PathBuf::from(fields.need("folder")?.text()?);
    let unlisted = fields.or("unlisted", false, Form::flag)?;
    let is_plain_switch = fields.or("plain-switch", false, Form::flag)?;
    let admin = optional_path(&mut fields, "admin")?;
    let scrub_mb_per_s = fields.or("scrub-mb-per-s", DEFAULT_SCRUB_MB_PER_S, Form::number)?;
    let rollout = rollout(&mut fields)?;
    let keys = keys(&mut fields)?;
    let source = optional(&mut fields, "registry", |form| PullForm::read(form, &rights, seed))?;
    fields.finish()?;
    Ok(Some(PluginSettings {
        folder,
        unlisted,
        rollout: (!is_plain_switch).then_some(rollout),
        admin,
        pull_on_call: source.as_ref().is_some_and(|source| source.pull_on_call),
        registry: source.map(|source| source.settings),
        scrub_per_s: (scrub_mb_per_s * 1e6) as u64,
        admission_policy: AdmissionPolicy { keys, rights: Some(rights) },
    }))
}

fn rollout(fields: &mut Fields<'_>) -> FormResult<RolloutSettings> {
    let mut rollout = RolloutSettings::default();
    let Some(mut form) = sub_form(fields, "rollout")? else { return Ok(rollout) };
    rollout.max_load_requests = whole(&mut form, "orders-at-once", rollout.max_load_requests, 1_000)?;
    rollout.initial_fraction =
        form.or("first-part", rollout.initial_fraction, Form::number)?.clamp(0.001, 1.0);
    rollout.step_us = millis_as_us(&mut form, "step-ms", rollout.step_us)?;
    rollout.min_calls = whole(&mut form, "judged-after", rollout.min_calls, 1_000_000)?;
    rollout.failure_tolerance = form.or("more-failures", rollout.failure_tolerance, Form::number)?;
    rollout.lateness_tolerance = form.or("more-late", rollout.lateness_tolerance, Form::number)?;
    rollout.first_copy_timeout_us = millis_as_us(&mut form, "give-up-ms", rollout.first_copy_timeout_us)?;
    form.finish()?;
    Ok(rollout)
}

/// Reads `(signatures (key "ID" "PUBLIC") ...)`. A form without keys is an error, as no version could run.
fn keys(fields: &mut Fields<'_>) -> FormResult<Option<KeyList>> {
    let Some(form) = fields.take("signatures")? else { return Ok(None) };
    let mut inner = form.fields()?;
    let mut keys = KeyList::default();
    let listed = inner.take_all("key");
    if listed.is_empty() {
        return Err(form.error("at least one (key \"ID\" \"PUBLIC\") is required, or no version could run"));
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

/// The form `(registry ...)`.
struct PullForm {
    settings: PullSettings,
    /// See [`PluginSettings::pull_on_call`].
    pull_on_call: bool,
}

impl PullForm {
    fn read(form: &Form<'_>, rights: &ClassRights, seed: u64) -> FormResult<Self> {
        let (address, mut fields) = form.named_fields()?;
        let location = Location::parse(&address).map_err(|e| form.error(e.to_string()))?;
        let login = credentials(&mut fields, form)?;
        let policy = policy(&mut fields)?;
        let range = whole(&mut fields, "range-kb", DEFAULT_RANGE_KB, MAX_SIZE_FIELD)?.max(1) * 1_024;
        let max_size = whole(&mut fields, "most-mb", DEFAULT_MAX_SIZE_MB, MAX_SIZE_FIELD)? * 1_000_000;
        let pull_on_call = fields.or("on-call", false, Form::flag)?;
        fields.finish()?;
        let settings = PullSettings {
            location,
            credentials: login.map(|login| Credentials { user: login.user, password: login.password }),
            policy,
            range,
            max_size,
            rights: Some(rights.clone()),
            seed,
        };
        Ok(PullForm { settings, pull_on_call })
    }
}

/// Reads when downloads are retried and abandoned.
fn policy(fields: &mut Fields<'_>) -> FormResult<Policy> {
    let base = Policy::default();
    Ok(Policy {
        stall_timeout_us: millis_as_us(fields, "stall-ms", base.stall_timeout_us)?,
        initial_backoff_us: millis_as_us(fields, "first-wait-ms", base.initial_backoff_us)?,
        max_backoff_us: millis_as_us(fields, "longest-wait-ms", base.max_backoff_us)?,
        max_attempts: whole(fields, "tries", base.max_attempts, 1_000)?.max(1),
        job_timeout_us: millis_as_us(fields, "within-ms", base.job_timeout_us)?,
        max_redirects: base.max_redirects,
        hosts: fields.or("hosts", Vec::new(), Form::texts)?,
    })
}
