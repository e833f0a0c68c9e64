//! The `class`, `tenant` and `route` forms.

use super::forms::{optional, FormResult};
use slatevalve::{Class, ClassId, Effect, Group, Micros, Tenant, TenantId};
use slatevalve_engine::ClassPolicy;
use slatevalve_mqtt::{Route, Routes, Template, TopicFilter};
use slatevalve_plugins::ClassRights;
use slatevalve_sexpr::{Fields, Form};
use std::collections::BTreeSet;

/// Default retention of keys: ten minutes, or the class's `window-ms`, for which workers remember keys, if
/// that is longer.
const DEFAULT_KEY_RETENTION: Micros = Micros(600_000_000);

/// A class with its name. Its id is its index in the order of the file.
pub(super) struct NamedClass {
    pub(super) name: String,
    pub(super) class: Class,
    /// How long the gateway remembers the keys of its calls.
    pub(super) key_retention: Micros,
}

/// A tenant with its name and id.
pub(super) struct NamedTenant {
    pub(super) name: String,
    pub(super) tenant: Tenant,
    pub(super) id: TenantId,
    /// The classes that its plug-ins may claim; `None` for all.
    pub(super) classes: Option<BTreeSet<String>>,
}

/// The declared classes and tenants, to which other forms refer.
pub(super) struct Declarations {
    pub(super) classes: Vec<NamedClass>,
    pub(super) tenants: Vec<NamedTenant>,
}

impl Declarations {
    pub(super) fn read(top: &mut Fields<'_>) -> FormResult<Self> {
        let classes = classes(top)?;
        let tenants = tenants(top, &classes)?;
        Ok(Declarations { classes, tenants })
    }

    pub(super) fn routes(&self, top: &mut Fields<'_>) -> FormResult<Routes> {
        let mut routes = Vec::new();
        for form in top.take_all("route") {
            routes.push(self.route(&form)?);
        }
        if routes.is_empty() {
            return Err(top.error("at least one (route ...) is required"));
        }
        let tenants = self.tenants.iter().map(|tenant| (tenant.name.clone(), tenant.id)).collect();
        Ok(Routes { routes, tenants, ..Routes::default() })
    }

    fn route(&self, form: &Form<'_>) -> FormResult<Route> {
        let (filter, mut fields) = form.named_fields()?;
        let filter = TopicFilter::parse(&filter).map_err(|e| form.error(e.to_string()))?;
        let class = self.class_id(&fields.need("class")?, form)?;
        let function = template(&fields.need("function")?)?;
        let tenant = optional(&mut fields, "tenant", template)?;
        match (&tenant, self.tenants.is_empty()) {
            (None, false) => {
                return Err(form.error("(tenant ...) is required because the settings define tenants"))
            }
            (Some(_), true) => {
                return Err(form.error("(tenant ...) is not allowed because the settings define no tenants"))
            }
            _ => {}
        }
        let key = optional(&mut fields, "key", template)?;
        fields.finish()?;
        let route = Route { filter, class, tenant, function, key };
        route.check().map_err(|e| form.error(e.to_string()))?;
        Ok(route)
    }

    /// The id of the class that a route refers to.
    fn class_id(&self, class: &Form<'_>, route: &Form<'_>) -> FormResult<ClassId> {
        let name = class.text()?;
        let id = self.classes.iter().position(|class| class.name == name);
        id.map(ClassId).ok_or_else(|| route.error(format!("there is no class \"{name}\"")))
    }

    pub(super) fn has_unsafe_class(&self) -> bool {
        self.classes.iter().any(|class| class.class.effect == Effect::NonIdempotent)
    }

    pub(super) fn policies(&self) -> Vec<ClassPolicy> {
        self.classes.iter().map(|class| ClassPolicy { retention: class.key_retention }).collect()
    }

    /// What plug-ins may claim: the effect of each class, and the allowed classes of tenants that are limited
    /// to some.
    pub(super) fn rights(&self) -> ClassRights {
        let effects = self.classes.iter().map(|class| (class.name.clone(), effect_name(class).to_string()));
        let limited = |tenant: &NamedTenant| Some((tenant.name.clone(), tenant.classes.clone()?));
        ClassRights { effects: effects.collect(), tenants: self.tenants.iter().filter_map(limited).collect() }
    }

    /// The names of the classes and of the tenants, in the order of their ids.
    pub(super) fn into_names(self) -> (Vec<String>, Vec<String>) {
        let classes = self.classes.into_iter().map(|class| class.name).collect();
        let tenants = self.tenants.into_iter().map(|tenant| tenant.name).collect();
        (classes, tenants)
    }
}

fn effect_name(class: &NamedClass) -> &'static str {
    match class.class.effect {
        Effect::Idempotent => "safe",
        Effect::IdempotentWithKey { .. } => "keyed",
        Effect::NonIdempotent => "unsafe",
    }
}

fn template(form: &Form<'_>) -> FormResult<Template> {
    Template::parse(&form.text()?).map_err(|e| form.error(e.to_string()))
}

fn classes(top: &mut Fields<'_>) -> FormResult<Vec<NamedClass>> {
    let mut classes: Vec<NamedClass> = Vec::new();
    for form in top.take_all("class") {
        let class = class(&form, &classes)?;
        classes.push(class);
    }
    if classes.is_empty() {
        return Err(top.error("at least one (class ...) is required"));
    }
    Ok(classes)
}

fn class(form: &Form<'_>, declared: &[NamedClass]) -> FormResult<NamedClass> {
    let (name, mut fields) = form.named_fields()?;
    if name.is_empty() || !name.chars().all(|character| character.is_ascii_graphic()) {
        return Err(form.error("a class name must consist of visible ASCII characters without spaces"));
    }
    if declared.iter().any(|class| class.name == name) {
        return Err(form.error(format!("class \"{name}\" is defined twice")));
    }
    let base = Class::default();
    let effect = effect(&fields.need("effect")?)?;
    let class = Class {
        latency_objective: fields.need("aim-ms")?.millis()?,
        objective_stretch: fields.or("aim-stretch", 0.0, Form::number)?,
        deadline: fields.need("deadline-ms")?.millis()?,
        priority_weight: fields.or("worth", base.priority_weight, Form::number)?,
        late_value: fields.or("late-worth", base.late_value, Form::number)?,
        effect,
        stream: false,
    };
    if class.latency_objective > class.deadline || class.latency_objective.0 == 0 {
        return Err(form.error("aim-ms must be above 0 and at most deadline-ms"));
    }
    let window = if let Effect::IdempotentWithKey { memory, .. } = effect { memory } else { Micros(0) };
    let key_retention = fields.or("remember-ms", DEFAULT_KEY_RETENTION.max(window), Form::millis)?;
    if key_retention < window || (effect != Effect::Idempotent && key_retention < class.deadline) {
        return Err(form.error("remember-ms is less than window-ms or deadline-ms"));
    }
    fields.finish()?;
    Ok(NamedClass { name, class, key_retention })
}

fn effect(form: &Form<'_>) -> FormResult<Effect> {
    if let Ok(name) = form.text() {
        return match name.as_str() {
            "safe" => Ok(Effect::Idempotent),
            "unsafe" => Ok(Effect::NonIdempotent),
            other => {
                Err(form.error(format!("expected safe, unsafe or keyed with its fields, found {other}")))
            }
        };
    }
    let (name, mut fields) = form.named_fields()?;
    if name != "keyed" {
        return Err(form.error(format!("expected keyed before fields, found {name}")));
    }
    let group = fields.need("group")?;
    let group = match group.text()?.as_str() {
        "all" => Group::All,
        "zone" => Group::Zone,
        "cell" => Group::Cell,
        other => return Err(group.error(format!("expected all, zone or cell, found {other}"))),
    };
    let memory = fields.need("window-ms")?.millis()?;
    fields.finish()?;
    Ok(Effect::IdempotentWithKey { group, memory })
}

fn tenants(top: &mut Fields<'_>, declared: &[NamedClass]) -> FormResult<Vec<NamedTenant>> {
    let mut tenants: Vec<NamedTenant> = Vec::new();
    for form in top.take_all("tenant") {
        let (name, mut fields) = form.named_fields()?;
        if tenants.iter().any(|tenant| tenant.name == name) {
            return Err(form.error(format!("tenant \"{name}\" is defined twice")));
        }
        let quota_per_s = fields.or("per-second", 0.0, Form::number)?;
        let classes = optional(&mut fields, "plugin-classes", |form| class_names(form, declared))?;
        fields.finish()?;
        let id = TenantId(tenants.len());
        tenants.push(NamedTenant { name, tenant: Tenant { quota_per_s }, id, classes });
    }
    Ok(tenants)
}

fn class_names(form: &Form<'_>, declared: &[NamedClass]) -> FormResult<BTreeSet<String>> {
    let names: BTreeSet<String> = form.texts()?.into_iter().collect();
    match names.iter().find(|name| !declared.iter().any(|class| class.name == **name)) {
        Some(unknown) => Err(form.error(format!("there is no class \"{unknown}\""))),
        None => Ok(names),
    }
}
