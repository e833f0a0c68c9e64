//! The forms of the load balancer and the engine: `limits`, `rules`, `loading`, `function` and `keys`.

use super::forms::{optional, sub_form, whole, Res};
use super::names::NameTable;
use slatevalve::{Limits, Loading, Micros, Rules, Settings};
use slatevalve_engine::{DuplicateLimits, FunctionTraits};
use slatevalve_sexpr::{Fields, Form};
use std::collections::HashMap;

/// The default grace of a drain, in which a worker still takes calls for functions that only it has loaded.
const DEFAULT_DRAIN_GRACE: Micros = Micros(250_000);
/// The default time after which a load request without an answer has failed.
const DEFAULT_LOAD_TIMEOUT: Micros = Micros(10_000_000);
/// The function name that stands for all functions without a form of their own.
const ANY_FUNCTION: &str = "*";

/// The load balancer's settings by `loading`, `rules` and `limits`, with defaults for the rest.
pub(super) fn balancer(top: &mut Fields<'_>, kinds: &mut NameTable) -> Res<Settings> {
    Ok(Settings {
        loading: loading(top, kinds)?,
        rules: rules(top)?,
        limits: limits(top)?,
        ..Settings::default()
    })
}

fn limits(top: &mut Fields<'_>) -> Res<Limits> {
    let mut limits = Limits { hedged_requests: true, ..Limits::default() };
    let Some(mut form) = sub_form(top, "limits")? else { return Ok(limits) };
    limits.cancel = form.or("cancel", limits.cancel, Form::flag)?;
    limits.probes = form.or("probes", limits.probes, Form::flag)?;
    limits.hedged_requests = form.or("second-copies", limits.hedged_requests, Form::flag)?;
    limits.max_attempts = whole(&mut form, "max-attempts", limits.max_attempts, 100)?;
    form.finish()?;
    Ok(limits)
}

fn rules(top: &mut Fields<'_>) -> Res<Rules> {
    let mut rules = Rules { drain_grace: DEFAULT_DRAIN_GRACE, ..Rules::default() };
    let Some(mut form) = sub_form(top, "rules")? else { return Ok(rules) };
    rules.answer_slack = form.or("answer-slack-ms", rules.answer_slack, Form::millis)?;
    rules.drain_grace = form.or("drain-grace-ms", rules.drain_grace, Form::millis)?;
    rules.start_capacity = form.or("start-capacity", rules.start_capacity, Form::number)?;
    rules.warm_up_time = form.or("warm-within-ms", rules.warm_up_time, Form::millis)?;
    rules.overload_multiple = form.or("fall-multiple", rules.overload_multiple, Form::number)?;
    rules.overload_window = form.or("fall-window-ms", rules.overload_window, Form::millis)?;
    form.finish()?;
    Ok(rules)
}

fn loading(top: &mut Fields<'_>, kinds: &mut NameTable) -> Res<Loading> {
    let mut loading = Loading { load_timeout: DEFAULT_LOAD_TIMEOUT, ..Settings::default().loading };
    let Some(mut form) = sub_form(top, "loading")? else { return Ok(loading) };
    loading.on_request = form.or("on-request", loading.on_request, Form::flag)?;
    loading.load_requests = form.or("orders", loading.load_requests, Form::flag)?;
    loading.idle_retention = form.or("keep-ms", loading.idle_retention, Form::millis)?;
    loading.load_timeout = form.or("order-timeout-ms", loading.load_timeout, Form::millis)?;
    if let Some(mut quota) = sub_form(&mut form, "ration")? {
        loading.load_quota_window = quota.need("window-ms")?.millis()?;
        loading.load_quota_free = quota.or("free", 0.0, Form::number)?;
        loading.load_quota_share = quota.or("share", 0.0, Form::number)?;
        quota.finish()?;
    }
    for kind in form.take_all("kind") {
        let (name, mut fields) = kind.named_fields()?;
        let memory_mb = fields.need("memory-mb")?.number()?;
        fields.finish()?;
        let number = kinds.number_of(&name);
        loading.kind_memory_mb.resize(loading.kind_memory_mb.len().max(number + 1), 0.0);
        loading.kind_memory_mb[number] = memory_mb;
    }
    form.finish()?;
    Ok(loading)
}

/// Traits of functions by the `function` forms.
#[derive(Default)]
pub(super) struct Functions {
    pub(super) named: HashMap<String, FunctionTraits>,
    /// Those of all other functions.
    pub(super) other: FunctionTraits,
}

impl Functions {
    pub(super) fn read(top: &mut Fields<'_>) -> Res<Self> {
        let mut functions = Functions::default();
        for form in top.take_all("function") {
            let (name, mut fields) = form.named_fields()?;
            let traits = FunctionTraits {
                concurrency: whole(&mut fields, "lanes", 1, 10_000)?.max(1),
                work: optional(&mut fields, "work-ms", Form::millis)?,
                load_time: optional(&mut fields, "load-ms", Form::millis)?,
                memory_mb: fields.or("memory-mb", 0.0, Form::number)?,
            };
            fields.finish()?;
            if name == ANY_FUNCTION {
                functions.other = traits;
            } else if functions.named.insert(name.clone(), traits).is_some() {
                return Err(form.error(format!("function \"{name}\" stands twice")));
            }
        }
        Ok(functions)
    }
}

/// Limits of the table of keys by `keys`.
pub(super) fn duplicates(top: &mut Fields<'_>) -> Res<DuplicateLimits> {
    let mut limits = DuplicateLimits::default();
    let Some(mut form) = sub_form(top, "keys")? else { return Ok(limits) };
    limits.keys = whole(&mut form, "most", limits.keys, 100_000_000)?;
    limits.result_bytes = whole(&mut form, "result-bytes", limits.result_bytes, 1 << 40)?;
    limits.forgotten_for = whole(&mut form, "forgotten-for", limits.forgotten_for, 1_000_000)?;
    form.finish()?;
    Ok(limits)
}
