//! Reads the settings object: settings of the load balancer, the names of its ids, and settings of
//! connections.

use crate::object::{
    array, bool_or, index_or, number_or, object, object_or_empty, optional, text, texts, time, time_or,
    unknown_value, FieldError, JsonObject,
};
use serde_json::Value;
use slatevalve::{
    Class, Effect, Group, Limits, LoadReportSource, Loading, Micros, Rules, Settings, Tenant, Weights, ZoneId,
};

/// Default time after which a connection attempt fails.
const DEFAULT_CONNECT_TIMEOUT: Micros = Micros(250_000);
/// Default time after which a worker closes an idle connection.
const DEFAULT_CONNECTION_IDLE: Micros = Micros(15_000_000);
/// Upper bound of the configured number of concurrent requests on one connection.
const MAX_STREAMS: f64 = 1e6;
/// Default time after which a load fails.
const DEFAULT_LOAD_TIMEOUT: Micros = Micros(10_000_000);

/// Names of a site, each list in the order of the ids used in [`Settings`].
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Names of the request classes.
    pub classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the machine types.
    pub kinds: Vec<String>,
    /// Whether workers' replies contain the queue depth of the function on arrival.
    pub queue_depth: bool,
}

/// Settings of connections to workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionSettings {
    /// Time after which a connection attempt fails.
    pub connect_timeout: Micros,
    /// Time after which the worker closes an idle connection.
    pub idle: Micros,
    /// Maximum number of concurrent requests on one connection; at least 1.
    pub max_streams: usize,
}

/// The operators' settings object, as read.
#[derive(Clone, Debug)]
pub struct SiteConfig {
    /// Settings of the load balancer.
    pub settings: Settings,
    /// Names of the ids in `settings`.
    pub names: Names,
    /// Settings of connections to workers.
    pub connections: ConnectionSettings,
}

impl SiteConfig {
    /// Reads the settings object.
    ///
    /// # Errors
    /// If a field is missing, has the wrong type or an unknown value; the error names the first such field.
    pub fn read(site: &JsonObject) -> Result<SiteConfig, FieldError> {
        let zones = texts(site, "zones")?;
        let limits = object_or_empty(site, "limits")?;
        let telemetry = object_or_empty(site, "telemetry")?;
        let family = object_or_empty(site, "family_info")?;
        let settings = read_settings(site, &zones, limits, telemetry, family)?;
        let connections = read_connections(limits)?;
        let names = Names {
            classes: names_in(site, "categories")?,
            tenants: names_in(site, "tenants")?,
            zones,
            kinds: texts(site, "machine_types")?,
            queue_depth: bool_or(family, "tells_crowd", false)?,
        };
        Ok(SiteConfig { settings, names, connections })
    }
}

fn read_settings(
    site: &JsonObject,
    zones: &[String],
    limits: &JsonObject,
    telemetry: &JsonObject,
    family: &JsonObject,
) -> Result<Settings, FieldError> {
    let defaults = Settings::default();
    Ok(Settings {
        tenants: array(site, "tenants")?.iter().map(read_tenant).collect::<Result<_, _>>()?,
        routers: number_or(site, "instances", 1.0)? as usize,
        zone: ZoneId(index_or(zones, site, "my_zone", 0)?),
        timer_resolution: time_or(site, "step", defaults.timer_resolution)?,
        classes: array(site, "categories")?.iter().map(read_class).collect::<Result<_, _>>()?,
        over_quota_weight: number_or(site, "over_share_worth", 1.0)?,
        priority_per_work: keyword(site, "counted_by") == Some("work"),
        requires_subscription: keyword(site, "membership_mode") == Some("subscribe"),
        weights: read_weights(site),
        reports: read_report_source(telemetry),
        loading: read_loading(family)?,
        limits: read_limits(limits)?,
        rules: read_rules(object_or_empty(site, "rules")?)?,
        probe_price: number_or(object_or_empty(site, "fees")?, "probe", 0.0)?,
    })
}

/// Returns the string in an optional field; a value of another type counts as absent.
fn keyword<'a>(object: &'a JsonObject, name: &str) -> Option<&'a str> {
    optional(object, name).and_then(Value::as_str)
}

/// Returns the `name` field of each object in an array.
fn names_in(site: &JsonObject, array_name: &str) -> Result<Vec<String>, FieldError> {
    let name = |value: &Value| Ok(text(object(value, array_name)?, "name")?.to_string());
    array(site, array_name)?.iter().map(name).collect()
}

fn read_tenant(value: &Value) -> Result<Tenant, FieldError> {
    Ok(Tenant { quota_per_s: number_or(object(value, "tenants")?, "quota_per_s", 0.0)? })
}

fn read_class(value: &Value) -> Result<Class, FieldError> {
    let class = object(value, "categories")?;
    let effect = read_effect(class)?;
    Ok(Class {
        latency_objective: time(class, "aim")?,
        objective_stretch: number_or(class, "aim_stretch", 0.0)?,
        deadline: time(class, "deadline")?,
        priority_weight: number_or(class, "points", 1.0)?,
        late_value: number_or(class, "late_value", 0.0)?,
        effect,
        stream: bool_or(class, "stream", false)?,
    })
}

fn read_effect(class: &JsonObject) -> Result<Effect, FieldError> {
    match text(class, "effect")? {
        "pure" => Ok(Effect::Idempotent),
        "side_effect" => Ok(Effect::NonIdempotent),
        "token" => {
            let group = match text(class, "group")? {
                "all" => Group::All,
                "zone" => Group::Zone,
                "cell" => Group::Cell,
                other => return unknown_value("group", other),
            };
            Ok(Effect::IdempotentWithKey { group, memory: time(class, "key_ttl")? })
        }
        other => unknown_value("effect", other),
    }
}

fn read_weights(site: &JsonObject) -> Weights {
    match keyword(site, "weight_kind") {
        Some("nominal" | "rough") => Weights::Size,
        Some("live") => Weights::Live,
        _ => Weights::None,
    }
}

fn read_report_source(telemetry: &JsonObject) -> LoadReportSource {
    match keyword(telemetry, "via") {
        Some("answers") => LoadReportSource::Answers,
        Some("probe") => LoadReportSource::Probes,
        _ => LoadReportSource::None,
    }
}

fn read_loading(family: &JsonObject) -> Result<Loading, FieldError> {
    let memory = array(family, "memory_mb_by_kind")?;
    Ok(Loading {
        on_request: keyword(family, "if_cold") == Some("load"),
        load_requests: bool_or(family, "may_order", false)?,
        idle_retention: time_or(family, "linger_idle", Settings::default().loading.idle_retention)?,
        load_timeout: time_or(family, "load_wait", DEFAULT_LOAD_TIMEOUT)?,
        load_quota_window: time_or(family, "load_window", Micros(0))?,
        load_quota_free: number_or(family, "load_free", 0.0)?,
        load_quota_share: number_or(family, "load_ratio", 0.0)?,
        kind_memory_mb: memory.iter().map(|value| value.as_f64().unwrap_or(0.0)).collect(),
        memory_price: number_or(family, "price_of_idle", 0.0)?,
    })
}

fn read_limits(limits: &JsonObject) -> Result<Limits, FieldError> {
    Ok(Limits {
        cancel: bool_or(limits, "cancel", false)?,
        probes: bool_or(limits, "probes", false)?,
        hedged_requests: bool_or(limits, "second_copies", false)?,
        retry_after: bool_or(limits, "retry_after", false)?,
        max_retry_after: time_or(limits, "max_retry_after", Micros(0))?,
        max_attempts: number_or(limits, "max_attempts", 1.0)? as usize,
    })
}

fn read_rules(rules: &JsonObject) -> Result<Rules, FieldError> {
    let defaults = Rules::default();
    Ok(Rules {
        answer_slack: time_or(rules, "answer_slack", defaults.answer_slack)?,
        drain_grace: time_or(rules, "drain_grace", Micros(0))?,
        subscription_interval: time_or(rules, "must_ask_in", defaults.subscription_interval)?,
        start_capacity: number_or(rules, "start_capacity", defaults.start_capacity)?,
        warm_up_time: time_or(rules, "warm_within", defaults.warm_up_time)?,
        overload_multiple: number_or(rules, "fall_multiple", defaults.overload_multiple)?,
        overload_window: time_or(rules, "overload_for", defaults.overload_window)?,
    })
}

fn read_connections(limits: &JsonObject) -> Result<ConnectionSettings, FieldError> {
    Ok(ConnectionSettings {
        connect_timeout: time_or(limits, "connect_timeout", DEFAULT_CONNECT_TIMEOUT)?,
        idle: time_or(limits, "conn_idle", DEFAULT_CONNECTION_IDLE)?,
        max_streams: number_or(limits, "streams_per_conn", 1.0)?.clamp(1.0, MAX_STREAMS) as usize,
    })
}
