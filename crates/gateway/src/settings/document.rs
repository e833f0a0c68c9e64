//! A settings document: the part of a settings file that a whole fleet shares, and its rules for the agreement.
//!
//! It guards what is published: a document is read by the same text as a router's own file, whole, or it is an error with its
//! place. Called by the `settings` commands. Source: `docs/design-config-versioning.md`.

use super::{Named, Res, Site};
use crate::clock::Clock;
use slatevalve::{Effect, Group, Micros};
use slatevalve_config_versioning::{
    Bound, Class, LeaseExpiryPolicy, RetryCondition, RetryRule, Route, Terms,
};
use slatevalve_sexpr::{Fields, File, Form};
use std::collections::BTreeMap;

/// Forms that are one router's own and stand in no document.
const OWN: [&str; 6] = ["agreed", "gateway", "mqtt", "bridge", "members", "plugins"];
/// What is read in their place.
const NOBODY: &str = "(gateway (name \"document\"))\n(mqtt (listen \"127.0.0.1:0\"))\n";

/// What a document says.
#[derive(Clone, Debug)]
pub struct SharedSettings {
    /// The settings, with nobody's own.
    pub site: Site,
    /// What routers do that cannot renew their right to act.
    pub doubt: LeaseExpiryPolicy,
    /// How long such a right lasts.
    pub right: Micros,
    /// How far off a clock's rate may be, in parts of a million.
    pub clock_error_ppm: i64,
}

impl SharedSettings {
    /// Reads and checks the text of a document.
    ///
    /// # Errors
    /// With the first thing that is wrong, and where.
    pub fn parse(name: &str, text: &str, clock: &Clock) -> Res<Self> {
        SharedSettings::with_own(name, text, NOBODY, clock, Named::default())
    }

    /// The same with the text of a router's own forms, and with the names that it knows already.
    ///
    /// # Errors
    /// With the first thing that is wrong, and where.
    pub(crate) fn with_own(name: &str, text: &str, own: &str, clock: &Clock, named: Named) -> Res<Self> {
        let alone = File::parse(name, text)?;
        let mut forms = alone.forms()?;
        if let Some(own) = OWN.iter().flat_map(|n| forms.take_all(n)).next() {
            return Err(own.error("is a router's own and stands in no document"));
        }
        let whole = File::parse(name, &format!("{text}\n{own}"))?;
        let mut top = whole.forms()?;
        top.take("agreed")?;
        let (mut doubt, mut right, mut clock_error_ppm) =
            (LeaseExpiryPolicy::GoOn, Micros(3_000_000), 20_000_u64);
        if let Some(form) = top.take("agreement")? {
            let mut fields = form.fields()?;
            doubt = fields.or("in-doubt", doubt, read_doubt)?;
            right = fields.or("right-ms", right, Form::millis)?;
            clock_error_ppm = fields.or("clock-error-ppm", clock_error_ppm, |f| f.whole(500_000))?;
            Fields::finish(fields)?;
            if right < Micros(100_000) {
                return Err(form.error("a right lasts for 100 ms at least"));
            }
        }
        Ok(SharedSettings {
            site: Site::of_forms(top, clock, named)?,
            doubt,
            right,
            clock_error_ppm: clock_error_ppm as i64,
        })
    }

    /// The rules that can contradict another document's.
    pub fn terms(&self) -> Terms {
        let Site { engine, classes, front, workers, named, .. } = &self.site;
        let module = &engine.module;
        let attempts = i64::try_from(module.limits.max_attempts).unwrap_or(i64::MAX);
        let class = |(at, name): (usize, &String)| {
            let remember = engine.classes.get(at).map_or(0, |c| c.remember.0);
            (name.clone(), Class::new(repeat(module.classes[at].effect), attempts, remember))
        };
        let route = |r: &slatevalve_mqtt::Route| {
            let templates = [Some(&r.function), r.tenant.as_ref(), r.key.as_ref()];
            let text =
                |t: &Option<&slatevalve_mqtt::Template>| t.map_or("-".to_string(), ToString::to_string);
            let safe = module.classes[r.class.0].effect == Effect::Safe;
            let rest = if safe { Vec::new() } else { templates.iter().map(text).collect() };
            Route {
                filter: r.filter.to_string(),
                class: classes[r.class.0].clone(),
                templates: rest.join(" "),
            }
        };
        let mut facts = BTreeMap::new();
        for worker in workers {
            let (cell, zone) = (worker.entry.cell.0.to_string(), named.zones.name(worker.entry.zone.0));
            let known = [("cell", cell), ("zone", zone.into()), ("address", worker.address.to_string())];
            for (what, value) in known {
                facts.insert(format!("worker \"{}\" {what}", worker.name), [Some(value)].into());
            }
        }
        Terms {
            classes: classes.iter().enumerate().map(class).collect(),
            tables: [front.routes.routes.iter().map(route).collect()].into(),
            facts,
            bounds: self.bounds(),
        }
    }

    fn bounds(&self) -> BTreeMap<String, Bound> {
        let (rules, loading) = (&self.site.engine.module.rules, &self.site.engine.module.loading);
        // Without a window there is no ration; a longer window is the stricter one.
        let rationed = |most: f64| if loading.ration_window.0 > 0 { (most * 1e6) as i64 } else { i64::MAX };
        let windows = 3.6e9 / loading.ration_window.0.max(1) as f64;
        let bounds = [
            ("rules drain-grace", rules.drain_grace.0),
            ("loading ration free", rationed(loading.ration_free)),
            ("loading ration share", rationed(loading.ration_share)),
            ("loading ration windows an hour", rationed(windows)),
        ];
        bounds.map(|(name, most)| (name.to_string(), Bound::new(most))).into()
    }
}

fn read_doubt(form: &Form<'_>) -> Res<LeaseExpiryPolicy> {
    match form.text()?.as_str() {
        "go-on" => Ok(LeaseExpiryPolicy::GoOn),
        "give-up" => Ok(LeaseExpiryPolicy::GiveUp),
        other => Err(form.error(format!("expected go-on or give-up, found {other}"))),
    }
}

pub(super) fn repeat(effect: Effect) -> RetryRule {
    match effect {
        Effect::Safe => RetryRule::always(),
        Effect::Unsafe => RetryRule::forbidden(),
        Effect::Keyed { group, memory } => {
            let need = match group {
                Group::All => None,
                Group::Zone => Some(RetryCondition::Zone),
                Group::Cell => Some(RetryCondition::Cell),
            };
            RetryRule::keyed(need, memory.0)
        }
    }
}
