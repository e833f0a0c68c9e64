//! Classes, tenants and routes.

use slatevalve::{Class, ClassId, Effect, Group, Micros, Tenant, TenantId};
use slatevalve_mqtt::{Route, Template, TopicFilter};
use slatevalve_sexpr::{Fields, Form, FormError};
use std::collections::BTreeSet;

type Res<T> = Result<T, FormError>;

pub(crate) struct NamedClass {
    pub(crate) name: String,
    pub(crate) class: Class,
    pub(crate) remember: Micros,
}

pub(crate) fn classes(top: &mut Fields<'_>) -> Res<Vec<NamedClass>> {
    let mut classes: Vec<NamedClass> = Vec::new();
    for form in top.take_all("class") {
        let (name, mut fields) = form.named_fields()?;
        if name.is_empty() || !name.chars().all(|c| c.is_ascii_graphic()) {
            return Err(form.error("a class's name is made of visible ASCII characters without spaces"));
        }
        if classes.iter().any(|c| c.name == name) {
            return Err(form.error(format!("class \"{name}\" stands twice")));
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
            return Err(form.error("the aim lies between 0 and the deadline"));
        }
        // What repeats are remembered for: ten minutes, and never less than the workers' own memory.
        let least = if let Effect::Keyed { memory, .. } = effect { memory } else { Micros(0) };
        let remember = fields.or("remember-ms", Micros(600_000_000).max(least), Form::millis)?;
        if remember < least || (effect != Effect::Safe && remember < class.deadline) {
            return Err(form.error("remember-ms is less than the key's window or the deadline"));
        }
        fields.finish()?;
        classes.push(NamedClass { name, class, remember });
    }
    if classes.is_empty() {
        return Err(top.error("there is no (class ...)"));
    }
    Ok(classes)
}

fn effect(form: &Form<'_>) -> Res<Effect> {
    if let Ok(word) = form.text() {
        return match word.as_str() {
            "safe" => Ok(Effect::Safe),
            "unsafe" => Ok(Effect::Unsafe),
            other => {
                Err(form.error(format!("expected safe, unsafe or keyed with its fields, found {other}")))
            }
        };
    }
    let (word, mut fields) = form.named_fields()?;
    if word != "keyed" {
        return Err(form.error(format!("expected keyed before fields, found {word}")));
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
    Ok(Effect::Keyed { group, memory })
}

pub(crate) struct NamedTenant {
    pub(crate) name: String,
    pub(crate) tenant: Tenant,
    pub(crate) id: TenantId,
    /// The classes that its plug-ins may claim; all where none are named.
    pub(crate) classes: Option<BTreeSet<String>>,
}

pub(crate) fn tenants(top: &mut Fields<'_>, known: &[NamedClass]) -> Res<Vec<NamedTenant>> {
    let mut tenants: Vec<NamedTenant> = Vec::new();
    for form in top.take_all("tenant") {
        let (name, mut fields) = form.named_fields()?;
        if tenants.iter().any(|t| t.name == name) {
            return Err(form.error(format!("tenant \"{name}\" stands twice")));
        }
        let quota_per_s = fields.or("per-second", 0.0, Form::number)?;
        let classes = fields.take("plugin-classes")?;
        let classes = classes.map(|f| {
            let named: BTreeSet<String> = f.texts()?.into_iter().collect();
            match named.iter().find(|n| !known.iter().any(|c| c.name == **n)) {
                Some(other) => Err(f.error(format!("there is no class \"{other}\""))),
                None => Ok(named),
            }
        });
        let classes = classes.transpose()?;
        fields.finish()?;
        let id = TenantId(tenants.len());
        tenants.push(NamedTenant { name, tenant: Tenant { quota_per_s }, id, classes });
    }
    Ok(tenants)
}

pub(crate) fn routes(top: &mut Fields<'_>, classes: &[NamedClass], tenants: bool) -> Res<Vec<Route>> {
    let mut routes = Vec::new();
    for form in top.take_all("route") {
        let (filter, mut fields) = form.named_fields()?;
        let filter = TopicFilter::parse(&filter).map_err(|e| form.error(e.to_string()))?;
        let class = fields.need("class")?;
        let name = class.text()?;
        let class = classes.iter().position(|c| c.name == name);
        let class = class.ok_or_else(|| form.error(format!("there is no class \"{name}\"")))?;
        let template = |f: &Form<'_>| Template::parse(&f.text()?).map_err(|e| f.error(e.to_string()));
        let function = template(&fields.need("function")?)?;
        let tenant = fields.take("tenant")?.map(|f| template(&f)).transpose()?;
        if tenant.is_some() != tenants {
            let words =
                if tenants { "(tenant ...) is missing" } else { "there is no (tenant ...) at the top" };
            return Err(form.error(words));
        }
        let key = fields.take("key")?.map(|f| template(&f)).transpose()?;
        fields.finish()?;
        let route = Route { filter, class: ClassId(class), tenant, function, key };
        route.check().map_err(|e| form.error(e.to_string()))?;
        routes.push(route);
    }
    if routes.is_empty() {
        return Err(top.error("there is no (route ...)"));
    }
    Ok(routes)
}
