//! A settings document: the part of a settings file that all routers of a fleet share, and its rules for
//! config versioning.
//!
//! A document is parsed by the same code as a router's own file; any error, reported with its position,
//! rejects the whole document. Used by the `settings` commands and by gateways that take their settings from
//! documents. The design is described in `docs/design-config-versioning.md`.

use super::forms::FormResult;
use super::{NameTables, Site};
use crate::clock::Clock;
use slatevalve::{Effect, Group, Micros};
use slatevalve_config_versioning::{
    Bound, Class, LeaseExpiryPolicy, RetryCondition, RetryRule, Route, Terms,
};
use slatevalve_mqtt::Template;
use slatevalve_sexpr::{Fields, File, Form};
use std::collections::{BTreeMap, BTreeSet};

/// Forms of a router's own file that must not occur in a document.
const ROUTER_FORMS: [&str; 6] = ["agreed", "gateway", "mqtt", "bridge", "members", "plugins"];
/// Router forms that complete a document when it is parsed without a router's own file.
const PLACEHOLDER_ROUTER: &str = "(gateway (name \"document\"))\n(mqtt (listen \"127.0.0.1:0\"))\n";
/// Default duration of a lease.
const DEFAULT_LEASE: Micros = Micros(3_000_000);
/// Shortest lease that a document may set.
const MIN_LEASE: Micros = Micros(100_000);
/// Default bound on the error of a clock's rate, in parts per million.
const DEFAULT_CLOCK_ERROR_PPM: u64 = 20_000;
/// Largest bound on the error of a clock's rate that a document may set, in parts per million.
const MAX_CLOCK_ERROR_PPM: u64 = 500_000;

/// The content of a document.
#[derive(Clone, Debug)]
pub struct SharedSettings {
    /// The settings. Those of a single router are placeholders unless the document was parsed with a router's
    /// own forms.
    pub site: Site,
    /// What a router does once its lease has expired because it could not renew it.
    pub expiry_policy: LeaseExpiryPolicy,
    /// Duration of a router's lease on the settings in force.
    pub lease: Micros,
    /// Largest assumed error of a clock's rate, in parts per million.
    pub clock_error_ppm: i64,
}

impl SharedSettings {
    /// Reads and checks the text of a document.
    ///
    /// # Errors
    /// The first error, with its position.
    pub fn parse(name: &str, text: &str, clock: &Clock) -> FormResult<Self> {
        SharedSettings::parse_for_router(name, text, PLACEHOLDER_ROUTER, clock, NameTables::default())
    }

    /// Reads and checks the text of a document together with a router's own forms. `name_tables` holds the
    /// names that already have a number.
    ///
    /// # Errors
    /// The first error, with its position.
    pub(crate) fn parse_for_router(
        name: &str,
        text: &str,
        router_forms: &str,
        clock: &Clock,
        name_tables: NameTables,
    ) -> FormResult<Self> {
        let document = File::parse(name, text)?;
        let mut forms = document.forms()?;
        if let Some(form) = ROUTER_FORMS.iter().flat_map(|name| forms.take_all(name)).next() {
            return Err(form.error("belongs in a router's own file and is not allowed in a document"));
        }
        let complete = File::parse(name, &format!("{text}\n{router_forms}"))?;
        let mut top = complete.forms()?;
        top.take("agreed")?;
        let AgreementForm { expiry_policy, lease, clock_error_ppm } = AgreementForm::read(&mut top)?;
        let site = Site::of_forms(top, clock, name_tables)?;
        Ok(SharedSettings { site, expiry_policy, lease, clock_error_ppm: clock_error_ppm as i64 })
    }

    /// The rules of the document that can contradict those of another document.
    #[must_use]
    pub fn terms(&self) -> Terms {
        let routes = &self.site.front.routes.routes;
        Terms {
            classes: self.class_rules(),
            tables: [routes.iter().map(|route| self.route_rule(route)).collect()].into(),
            facts: self.worker_facts(),
            bounds: self.bounds(),
        }
    }

    fn class_rules(&self) -> BTreeMap<String, Class> {
        let Site { engine, classes, .. } = &self.site;
        let attempts = i64::try_from(engine.balancer.limits.max_attempts).unwrap_or(i64::MAX);
        let rules = classes.iter().enumerate().map(|(id, name)| {
            let remember_us = engine.classes.get(id).map_or(0, |policy| policy.retention.0);
            let retry = retry_rule(engine.balancer.classes[id].effect);
            (name.clone(), Class::new(retry, attempts, remember_us))
        });
        rules.collect()
    }

    fn route_rule(&self, route: &slatevalve_mqtt::Route) -> Route {
        let text = |template: Option<&Template>| template.map_or("-".to_string(), ToString::to_string);
        let templates = [Some(&route.function), route.tenant.as_ref(), route.key.as_ref()];
        let is_idempotent = self.site.engine.balancer.classes[route.class.0].effect == Effect::Idempotent;
        Route {
            filter: route.filter.to_string(),
            class: self.site.classes[route.class.0].clone(),
            templates: if is_idempotent { String::new() } else { templates.map(text).join(" ") },
        }
    }

    fn worker_facts(&self) -> BTreeMap<String, BTreeSet<Option<String>>> {
        let mut facts = BTreeMap::new();
        for worker in &self.site.workers {
            let zone = self.site.name_tables.zones.name(worker.entry.zone.0);
            let known = [
                ("cell", worker.entry.cell.0.to_string()),
                ("zone", zone.to_string()),
                ("address", worker.address.to_string()),
            ];
            for (what, value) in known {
                facts.insert(format!("worker \"{}\" {what}", worker.name), [Some(value)].into());
            }
        }
        facts
    }

    fn bounds(&self) -> BTreeMap<String, Bound> {
        let (rules, loading) = (&self.site.engine.balancer.rules, &self.site.engine.balancer.loading);
        // Without a window there is no quota. A longer window is stricter, hence the bound on windows per
        // hour.
        let has_quota = loading.load_quota_window.0 > 0;
        let quota = |maximum: f64| if has_quota { (maximum * 1e6) as i64 } else { i64::MAX };
        let windows_per_hour = 3.6e9 / loading.load_quota_window.0.max(1) as f64;
        let bounds = [
            ("rules drain-grace", rules.drain_grace.0),
            ("loading ration free", quota(loading.load_quota_free)),
            ("loading ration share", quota(loading.load_quota_share)),
            ("loading ration windows an hour", quota(windows_per_hour)),
        ];
        bounds.map(|(name, maximum)| (name.to_string(), Bound::new(maximum))).into()
    }
}

/// The form `(agreement ...)` of a document.
struct AgreementForm {
    expiry_policy: LeaseExpiryPolicy,
    lease: Micros,
    clock_error_ppm: u64,
}

impl AgreementForm {
    fn read(top: &mut Fields<'_>) -> FormResult<Self> {
        let mut agreement = AgreementForm {
            expiry_policy: LeaseExpiryPolicy::GoOn,
            lease: DEFAULT_LEASE,
            clock_error_ppm: DEFAULT_CLOCK_ERROR_PPM,
        };
        let Some(form) = top.take("agreement")? else { return Ok(agreement) };
        let mut fields = form.fields()?;
        agreement.expiry_policy = fields.or("in-doubt", agreement.expiry_policy, expiry_policy)?;
        agreement.lease = fields.or("right-ms", agreement.lease, Form::millis)?;
        agreement.clock_error_ppm = fields
            .or("clock-error-ppm", agreement.clock_error_ppm, |field| field.whole(MAX_CLOCK_ERROR_PPM))?;
        fields.finish()?;
        if agreement.lease < MIN_LEASE {
            return Err(form.error("right-ms must be at least 100"));
        }
        Ok(agreement)
    }
}

fn expiry_policy(form: &Form<'_>) -> FormResult<LeaseExpiryPolicy> {
    match form.text()?.as_str() {
        "go-on" => Ok(LeaseExpiryPolicy::GoOn),
        "give-up" => Ok(LeaseExpiryPolicy::GiveUp),
        other => Err(form.error(format!("expected go-on or give-up, found {other}"))),
    }
}

/// The conditions under which calls of this effect may be retried.
pub(super) fn retry_rule(effect: Effect) -> RetryRule {
    match effect {
        Effect::Idempotent => RetryRule::always(),
        Effect::NonIdempotent => RetryRule::forbidden(),
        Effect::IdempotentWithKey { group, memory } => {
            let condition = match group {
                Group::All => None,
                Group::Zone => Some(RetryCondition::Zone),
                Group::Cell => Some(RetryCondition::Cell),
            };
            RetryRule::keyed(condition, memory.0)
        }
    }
}
