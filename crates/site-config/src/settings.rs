//! The settings object itself: the module's settings, the names behind its ids, and what concerns connections alone.

use crate::object::*;
use serde_json::{Map, Value};
use slatevalve::*;

/// The names of a site, in the order of their ids.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Request classes.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of machine.
    pub kinds: Vec<String>,
    /// Whether answers tell how many calls of the function the worker held.
    pub queue_depth: bool,
}

/// What the settings say of connections to workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Connections {
    /// One that does not stand by then has failed.
    pub connect_timeout: Micros,
    /// The worker closes an idle one after this.
    pub idle: Micros,
    /// Requests that one may carry at a time.
    pub streams: usize,
}

/// All that the object tells.
#[derive(Clone, Debug)]
pub struct Site {
    /// For the module.
    pub settings: Settings,
    /// Behind its ids.
    pub names: Names,
    /// For whoever holds sockets.
    pub connections: Connections,
}

impl Site {
    /// Reads the object.
    ///
    /// # Errors
    /// Names the first field that is missing, of another type or of an unknown value.
    pub fn read(o: &Obj) -> Result<Site, FieldError> {
        let none = Map::new();
        let sub = |name| part(o, name, &none);
        let names = |key: &str| -> Result<Vec<String>, FieldError> {
            list(o, key)?.iter().map(|v| Ok(text(object(v, key)?, "name")?.to_string())).collect()
        };
        let zones = texts(o, "zones")?;
        let (limits, telemetry) = (sub("limits")?, sub("telemetry")?);
        let family = sub("family_info")?;
        let base = Settings::default();
        let mut tenants = Vec::new();
        for v in list(o, "tenants")? {
            tenants.push(Tenant { quota_per_s: number_or(object(v, "tenants")?, "quota_per_s", 0.0)? });
        }
        let settings = Settings {
            routers: number_or(o, "instances", 1.0)? as usize,
            zone: ZoneId(if opt(o, "my_zone").is_some() { place(&zones, o, "my_zone")? } else { 0 }),
            step: time_or(o, "step", base.step)?,
            classes: list(o, "categories")?.iter().map(class).collect::<Result<_, _>>()?,
            tenants,
            over_quota_weight: number_or(o, "over_share_worth", 1.0)?,
            worth_by_work: opt(o, "counted_by").and_then(Value::as_str) == Some("work"),
            must_ask: opt(o, "membership_mode").and_then(Value::as_str) == Some("subscribe"),
            weights: match opt(o, "weight_kind").and_then(Value::as_str) {
                Some("nominal" | "rough") => Weights::Size,
                Some("live") => Weights::Live,
                _ => Weights::None,
            },
            reports: match opt(telemetry, "via").and_then(Value::as_str) {
                Some("answers") => LoadReportSource::Answers,
                Some("probe") => LoadReportSource::Probes,
                _ => LoadReportSource::None,
            },
            loading: loading(family)?,
            limits: Limits {
                cancel: flag(limits, "cancel", false)?,
                probes: flag(limits, "probes", false)?,
                second_copies: flag(limits, "second_copies", false)?,
                retry_after: flag(limits, "retry_after", false)?,
                max_retry_after: time_or(limits, "max_retry_after", Micros(0))?,
                max_attempts: number_or(limits, "max_attempts", 1.0)? as usize,
            },
            rules: rules(sub("rules")?)?,
            probe_price: number_or(sub("fees")?, "probe", 0.0)?,
        };
        let connections = Connections {
            connect_timeout: time_or(limits, "connect_timeout", Micros(250_000))?,
            idle: time_or(limits, "conn_idle", Micros(15_000_000))?,
            streams: number_or(limits, "streams_per_conn", 1.0)?.clamp(1.0, 1e6) as usize,
        };
        let names = Names {
            classes: names("categories")?,
            tenants: names("tenants")?,
            zones,
            kinds: texts(o, "machine_types")?,
            queue_depth: flag(family, "tells_crowd", false)?,
        };
        Ok(Site { settings, names, connections })
    }
}

fn class(v: &Value) -> Result<Class, FieldError> {
    let c = object(v, "categories")?;
    let effect = match text(c, "effect")? {
        "pure" => Effect::Safe,
        "side_effect" => Effect::Unsafe,
        "token" => Effect::Keyed {
            group: match text(c, "group")? {
                "all" => Group::All,
                "zone" => Group::Zone,
                "cell" => Group::Cell,
                other => return unknown("group", other),
            },
            memory: time(c, "key_ttl")?,
        },
        other => return unknown("effect", other),
    };
    Ok(Class {
        latency_objective: time(c, "aim")?,
        objective_stretch: number_or(c, "aim_stretch", 0.0)?,
        deadline: time(c, "deadline")?,
        priority_weight: number_or(c, "points", 1.0)?,
        late_value: number_or(c, "late_value", 0.0)?,
        effect,
        stream: flag(c, "stream", false)?,
    })
}

fn loading(family: &Obj) -> Result<Loading, FieldError> {
    let memory = list(family, "memory_mb_by_kind")?;
    Ok(Loading {
        on_request: opt(family, "if_cold").and_then(Value::as_str) == Some("load"),
        orders: flag(family, "may_order", false)?,
        keep: time_or(family, "linger_idle", Settings::default().loading.keep)?,
        order_timeout: time_or(family, "load_wait", Micros(10_000_000))?,
        ration_window: time_or(family, "load_window", Micros(0))?,
        ration_free: number_or(family, "load_free", 0.0)?,
        ration_share: number_or(family, "load_ratio", 0.0)?,
        kind_memory_mb: memory.iter().map(|v| v.as_f64().unwrap_or(0.0)).collect(),
        memory_price: number_or(family, "price_of_idle", 0.0)?,
    })
}

fn rules(rules: &Obj) -> Result<Rules, FieldError> {
    let base = Rules::default();
    Ok(Rules {
        answer_slack: time_or(rules, "answer_slack", base.answer_slack)?,
        drain_grace: time_or(rules, "drain_grace", Micros(0))?,
        ask_within: time_or(rules, "must_ask_in", base.ask_within)?,
        start_capacity: number_or(rules, "start_capacity", base.start_capacity)?,
        warm_within: time_or(rules, "warm_within", base.warm_within)?,
        fall_multiple: number_or(rules, "fall_multiple", base.fall_multiple)?,
        fall_window: time_or(rules, "overload_for", base.fall_window)?,
    })
}
