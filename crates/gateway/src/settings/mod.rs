//! The settings file: what an operator may say, checked as a whole before anything starts.
//!
//! Forms and their meaning are listed in `docs/operators/router.md`. Read at the start and, for its worker list,
//! again on SIGHUP.

mod classes;
mod document;
mod members;
mod plugins;
mod versioned;
mod workers;

pub use document::SharedSettings;
pub use members::MemberSource;
pub use plugins::PluginSettings;
pub use versioned::{ActivationError, Agreed, AgreedSettings};
pub use workers::WorkerLine;

use crate::clock::Clock;
use slatevalve::{Effect, Limits, LoadReportSource, Loading, Micros, Rules, Settings, Weights, ZoneId};
use slatevalve_engine::{ClassPolicy, DuplicateLimits, EngineSettings, FunctionTraits};
use slatevalve_mqtt::{BridgeSettings, FrontSettings, Routes};
use slatevalve_plugins::ClassRights;
use slatevalve_sexpr::{Fields, File, Form, FormError};
use std::collections::HashMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

type Res<T> = Result<T, FormError>;

/// Connections to workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSettings {
    /// A connection that does not stand by then is a failed one.
    pub connect_timeout: Micros,
    /// An idle connection is closed after this.
    pub idle: Micros,
    /// Connections to one worker at a time.
    pub most: usize,
    /// Connections to all workers at a time; beyond that, requests share where the protocol allows it.
    pub total: usize,
    /// A probe without an answer by then has timed out.
    pub probe_timeout: Micros,
}

/// Everything that one gateway is told.
#[derive(Clone, Debug)]
pub struct Site {
    /// The gateway's name, as workers see it.
    pub name: String,
    /// Where MQTT clients connect; port 0 lets the kernel choose.
    pub listen: SocketAddr,
    /// For the engine and the module in it.
    pub engine: EngineSettings,
    /// For the MQTT front.
    pub front: FrontSettings,
    /// The broker to connect to, and how, where there is one.
    pub bridge: Option<(SocketAddr, BridgeSettings)>,
    /// Names of the classes, in the order of their ids.
    pub classes: Vec<String>,
    /// What each class's effect is, and which classes each tenant may use.
    pub rights: ClassRights,
    /// The worker list.
    pub workers: Vec<WorkerLine>,
    /// Where further workers come from while it runs.
    pub members: Option<MemberSource>,
    /// Connections to workers.
    pub pool: PoolSettings,
    /// Largest body of a worker's response, in bytes.
    pub max_response: usize,
    /// Where plug-ins are kept, where there are any.
    pub plugins: Option<PluginSettings>,
    /// How long an orderly stop may take.
    pub stop_within: Micros,
    /// The gateway's own zone.
    pub zone: String,
    /// The zones and kinds that the file names.
    pub named: Named,
    /// The tenants' names, in the order of their ids.
    pub tenants: Vec<String>,
    /// Numbers of the settings documents that this is of; none for a file.
    pub documents: Vec<u64>,
}

/// Names that become places in lists, in the order in which they appear.
#[derive(Clone, Debug, Default)]
pub(crate) struct Places(Vec<String>);

/// The zones and kinds of a site. A file that is read again goes on from those of the first reading, so that a
/// place keeps its number while calls that remember it are open.
#[derive(Clone, Debug, Default)]
pub struct Named {
    zones: Places,
    kinds: Places,
}

impl Places {
    pub(crate) fn name(&self, place: usize) -> &str {
        self.0.get(place).map_or("", String::as_str)
    }

    pub(crate) fn of(&mut self, name: &str) -> usize {
        match self.0.iter().position(|n| n == name) {
            Some(at) => at,
            None => {
                self.0.push(name.into());
                self.0.len() - 1
            }
        }
    }
}

impl Site {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// With file, line and form of the first thing that is wrong.
    pub fn load(path: &Path, clock: &Clock, named: Named) -> Res<Self> {
        let (name, text) = read_text(path)?;
        Site::parse(&name, &text, clock, named)
    }

    /// Reads and checks the text of a settings file.
    ///
    /// # Errors
    /// With file, line and form of the first thing that is wrong.
    pub fn parse(file: &str, text: &str, clock: &Clock, named: Named) -> Res<Self> {
        Site::of_forms(File::parse(file, text)?.forms()?, clock, named)
    }

    fn of_forms(mut top: Fields<'_>, clock: &Clock, named: Named) -> Res<Self> {
        let Named { mut zones, mut kinds } = named;
        let mut gateway = top.need("gateway")?.fields()?;
        let name = gateway.or("name", "gateway".to_string(), header_text)?;
        let zone_name = gateway.or("zone", "default".to_string(), Form::text)?;
        let zone = ZoneId(zones.of(&zone_name));
        let classes = classes::classes(&mut top)?;
        let tenants = classes::tenants(&mut top, &classes)?;
        let (loading, rules) = (loading(&mut top, &mut kinds)?, rules(&mut top)?);
        let limits = limits(&mut top)?;
        let workers = workers::workers(&mut top, &mut zones, &mut kinds, clock)?;
        let uneven = workers.iter().any(|w| w.entry.weight != 1.0);
        let module = Settings {
            routers: gateway.or("routers", 1, |f| f.whole(1_000_000))? as usize,
            zone,
            step: Micros(1_000),
            classes: classes.iter().map(|c| c.class.clone()).collect(),
            tenants: tenants.iter().map(|t| t.tenant.clone()).collect(),
            weights: if uneven { Weights::Size } else { Weights::None },
            reports: LoadReportSource::Answers,
            loading,
            limits,
            rules,
            ..Settings::default()
        };
        let routes = Routes {
            routes: classes::routes(&mut top, &classes, !tenants.is_empty())?,
            tenants: tenants.iter().map(|t| (t.name.clone(), t.id)).collect(),
            ..Routes::default()
        };
        let (functions, other_functions) = functions(&mut top)?;
        let engine = EngineSettings {
            module,
            seed: gateway.or("seed", 1, |f| f.whole(u64::from(u32::MAX)))?,
            classes: classes.iter().map(|c| ClassPolicy { remember: c.remember }).collect(),
            key_spaces: Vec::new(),
            functions,
            other_functions,
            duplicates: Some(duplicates(&mut top)?),
            margin: gateway.or("answer-margin-ms", Micros(20_000), Form::millis)?,
            max_open: gateway.or("max-open", 20_000, |f| f.whole(10_000_000))? as usize,
            max_functions: gateway.or("max-functions", 65_536, |f| f.whole(10_000_000))? as usize,
        };
        let stop_within = gateway.or("stop-within-ms", Micros(5_000_000), Form::millis)?;
        gateway.finish()?;
        let unsafe_classes = classes.iter().any(|c| c.class.effect == Effect::Unsafe);
        let bridge = bridge(&mut top, &routes, unsafe_classes, engine.seed)?;
        let (listen, front) = mqtt(&mut top, routes)?;
        let rights = class_rights(&classes, &tenants);
        let (pool, max_response) = pool(&mut top)?;
        let plugins = plugins::plugins(&mut top, rights.clone(), engine.seed)?;
        let members = members::members(&mut top, engine.seed, &name, engine.module.routers)?;
        if members.is_some() && !workers.is_empty() {
            return Err(
                top.error("(members ...) and (worker ...) do not stand together: the list has one source")
            );
        }
        top.finish()?;
        let classes = classes.into_iter().map(|c| c.name).collect();
        let tenants = tenants.into_iter().map(|t| t.name).collect();
        let named = Named { zones, kinds };
        Ok(Site {
            name,
            listen,
            engine,
            front,
            bridge,
            classes,
            rights,
            workers,
            members,
            pool,
            max_response,
            plugins,
            stop_within,
            zone: zone_name,
            named,
            tenants,
            documents: Vec::new(),
        })
    }
}

fn class_rights(classes: &[classes::NamedClass], tenants: &[classes::NamedTenant]) -> ClassRights {
    let effect = |e: Effect| match e {
        Effect::Safe => "safe",
        Effect::Keyed { .. } => "keyed",
        Effect::Unsafe => "unsafe",
    };
    let limited = tenants.iter().filter_map(|t| Some((t.name.clone(), t.classes.clone()?)));
    ClassRights {
        effects: classes.iter().map(|c| (c.name.clone(), effect(c.class.effect).to_string())).collect(),
        tenants: limited.collect(),
    }
}

/// A file's name, as errors have it, and its text.
pub(crate) fn read_text(path: &Path) -> Res<(String, String)> {
    let file = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => Ok((file, text)),
        Err(e) => Err(FormError { file, line: 0, form: String::new(), words: e.to_string() }),
    }
}

/// A text that can stand in a header of HTTP.
fn header_text(form: &Form<'_>) -> Res<String> {
    let text = form.text()?;
    match text.chars().all(|c| c.is_ascii_graphic()) && !text.is_empty() {
        true => Ok(text),
        false => Err(form.error("expected visible ASCII characters without spaces")),
    }
}

pub(crate) fn address(form: &Form<'_>) -> Res<SocketAddr> {
    form.text()?.parse().map_err(|_| form.error("expected an address like \"127.0.0.1:1883\""))
}

/// `user` and `password-file` of a form that speaks to a registry: name and password, where they stand.
fn login(fields: &mut Fields<'_>, form: &Form<'_>) -> Res<Option<(String, String)>> {
    let user = fields.take("user")?.map(|f| f.text()).transpose()?;
    match (user, fields.take("password-file")?) {
        (None, None) => Ok(None),
        (Some(user), Some(file)) => {
            let path = file.text()?;
            let password = fs::read_to_string(&path).map_err(|e| file.error(format!("{path}: {e}")))?;
            Ok(Some((user, password.trim_end_matches(['\r', '\n']).into())))
        }
        _ => Err(form.error("user and password-file stand together")),
    }
}

fn sub<'a>(top: &mut Fields<'a>, name: &str) -> Res<Option<Fields<'a>>> {
    top.take(name)?.map(|f| f.fields()).transpose()
}

fn mqtt(top: &mut Fields<'_>, routes: Routes) -> Res<(SocketAddr, FrontSettings)> {
    let mut mqtt = top.need("mqtt")?.fields()?;
    let listen = address(&mqtt.need("listen")?)?;
    let base = FrontSettings::default();
    let front = FrontSettings {
        number: 1,
        routes,
        documents: None,
        max_packet: mqtt.or("max-packet", u64::from(base.max_packet), |f| f.whole(256 * 1024 * 1024))? as u32,
        receive_maximum: mqtt.or("receive-maximum", u64::from(base.receive_maximum), |f| f.whole(65_535))?
            as u16,
        topic_alias_maximum: mqtt
            .or("topic-aliases", u64::from(base.topic_alias_maximum), |f| f.whole(65_535))?
            as u16,
        max_session_expiry: mqtt.or("session-expiry-ms", base.max_session_expiry, Form::millis)?,
        max_sessions: mqtt.or("max-sessions", base.max_sessions as u64, |f| f.whole(10_000_000))? as usize,
        session_quota: mqtt.or("session-quota", base.session_quota as u64, |f| f.whole(10_000_000))? as usize,
        connect_timeout: mqtt.or("connect-timeout-ms", base.connect_timeout, Form::millis)?,
        max_keep_alive: mqtt.or("keep-alive-s", u64::from(base.max_keep_alive), |f| f.whole(65_535))? as u16,
    };
    mqtt.finish()?;
    Ok((listen, front))
}

fn bridge(
    top: &mut Fields<'_>,
    routes: &Routes,
    unsafe_classes: bool,
    seed: u64,
) -> Res<Option<(SocketAddr, BridgeSettings)>> {
    let Some(form) = top.take("bridge")? else { return Ok(None) };
    let mut fields = form.fields()?;
    let base = BridgeSettings::default();
    let broker = address(&fields.need("broker")?)?;
    let client_id = fields.need("client-id")?.text()?;
    let group = fields.take("group")?.map(|f| f.text()).transpose()?;
    if client_id.is_empty() || group.as_deref().is_some_and(|g| g.is_empty() || g.contains(['/', '+', '#'])) {
        return Err(form.error("client-id is empty, or group is empty or holds one of / + #"));
    }
    let sole_member = fields.or("sole-member", false, Form::flag)?;
    // A broker may hand what one member had not acknowledged to another, unmarked; gateways share nothing, so the
    // other cannot know that it ran.
    if group.is_some() && unsafe_classes && !sole_member {
        return Err(form.error(
            "a group whose broker may hand a publish from one gateway to another would let unsafe calls run twice; \
             leave (group ...) out, or say (sole-member yes) where no other gateway is in it",
        ));
    }
    let settings = BridgeSettings {
        number: 2,
        client_id,
        group,
        routes: routes.clone(),
        receive_maximum: fields
            .or("receive-maximum", u64::from(base.receive_maximum), |f| f.whole(65_535))?
            .max(1) as u16,
        max_packet: fields
            .or("max-packet", u64::from(base.max_packet), |f| f.whole(256 * 1024 * 1024))?
            .max(64) as u32,
        session_expiry_s: fields
            .or("session-expiry-s", u64::from(base.session_expiry_s), |f| f.whole(u64::from(u32::MAX)))?
            as u32,
        keep_alive_s: fields.or("keep-alive-s", u64::from(base.keep_alive_s), |f| f.whole(65_535))? as u16,
        back_off: (
            fields.or("back-off-ms", base.back_off.0, Form::millis)?,
            fields.or("longest-back-off-ms", base.back_off.1, Form::millis)?,
        ),
        connect_timeout: fields.or("connect-timeout-ms", base.connect_timeout, Form::millis)?,
        seed,
    };
    fields.finish()?;
    Ok(Some((broker, settings)))
}

/// Connections to workers, and the largest body of a response.
fn pool(top: &mut Fields<'_>) -> Res<(PoolSettings, usize)> {
    let mut settings = PoolSettings {
        connect_timeout: Micros(250_000),
        idle: Micros(15_000_000),
        most: 1_024,
        total: usize::MAX,
        probe_timeout: Micros(1_000_000),
    };
    let mut max_response = 8 * 1024 * 1024;
    if let Some(mut pool) = sub(top, "pool")? {
        settings.connect_timeout = pool.or("connect-timeout-ms", settings.connect_timeout, Form::millis)?;
        settings.idle = pool.or("idle-ms", settings.idle, Form::millis)?;
        settings.most = pool.or("most", settings.most as u64, |f| f.whole(65_536))? as usize;
        settings.probe_timeout = pool.or("probe-timeout-ms", settings.probe_timeout, Form::millis)?;
        max_response = pool.or("max-response", max_response as u64, |f| f.whole(1 << 30))? as usize;
        pool.finish()?;
    }
    Ok((settings, max_response))
}

fn duplicates(top: &mut Fields<'_>) -> Res<DuplicateLimits> {
    let mut limits = DuplicateLimits::default();
    if let Some(mut keys) = sub(top, "keys")? {
        limits.keys = keys.or("most", limits.keys as u64, |f| f.whole(100_000_000))? as usize;
        limits.result_bytes =
            keys.or("result-bytes", limits.result_bytes as u64, |f| f.whole(1 << 40))? as usize;
        limits.forgotten_for =
            keys.or("forgotten-for", u64::from(limits.forgotten_for), |f| f.whole(1_000_000))? as u32;
        keys.finish()?;
    }
    Ok(limits)
}

fn limits(top: &mut Fields<'_>) -> Res<Limits> {
    let mut limits = Limits { second_copies: true, ..Limits::default() };
    if let Some(mut form) = sub(top, "limits")? {
        limits.cancel = form.or("cancel", limits.cancel, Form::flag)?;
        limits.probes = form.or("probes", limits.probes, Form::flag)?;
        limits.second_copies = form.or("second-copies", limits.second_copies, Form::flag)?;
        limits.max_attempts = form.or("max-attempts", limits.max_attempts as u64, |f| f.whole(100))? as usize;
        form.finish()?;
    }
    Ok(limits)
}

fn rules(top: &mut Fields<'_>) -> Res<Rules> {
    let mut rules = Rules { drain_grace: Micros(250_000), ..Rules::default() };
    if let Some(mut form) = sub(top, "rules")? {
        rules.answer_slack = form.or("answer-slack-ms", rules.answer_slack, Form::millis)?;
        rules.drain_grace = form.or("drain-grace-ms", rules.drain_grace, Form::millis)?;
        rules.start_capacity = form.or("start-capacity", rules.start_capacity, Form::number)?;
        rules.warm_within = form.or("warm-within-ms", rules.warm_within, Form::millis)?;
        rules.fall_multiple = form.or("fall-multiple", rules.fall_multiple, Form::number)?;
        rules.fall_window = form.or("fall-window-ms", rules.fall_window, Form::millis)?;
        form.finish()?;
    }
    Ok(rules)
}

fn loading(top: &mut Fields<'_>, kinds: &mut Places) -> Res<Loading> {
    let mut loading = Settings::default().loading;
    loading.order_timeout = Micros(10_000_000);
    if let Some(mut form) = sub(top, "loading")? {
        loading.on_request = form.or("on-request", loading.on_request, Form::flag)?;
        loading.orders = form.or("orders", loading.orders, Form::flag)?;
        loading.keep = form.or("keep-ms", loading.keep, Form::millis)?;
        loading.order_timeout = form.or("order-timeout-ms", loading.order_timeout, Form::millis)?;
        if let Some(mut ration) = sub(&mut form, "ration")? {
            loading.ration_window = ration.need("window-ms")?.millis()?;
            loading.ration_free = ration.or("free", 0.0, Form::number)?;
            loading.ration_share = ration.or("share", 0.0, Form::number)?;
            ration.finish()?;
        }
        for kind in form.take_all("kind") {
            let (name, mut fields) = kind.named_fields()?;
            let memory = fields.need("memory-mb")?.number()?;
            fields.finish()?;
            let at = kinds.of(&name);
            loading.kind_memory_mb.resize(loading.kind_memory_mb.len().max(at + 1), 0.0);
            loading.kind_memory_mb[at] = memory;
        }
        form.finish()?;
    }
    Ok(loading)
}

fn functions(top: &mut Fields<'_>) -> Res<(HashMap<String, FunctionTraits>, FunctionTraits)> {
    let (mut named, mut other) = (HashMap::new(), FunctionTraits::default());
    for form in top.take_all("function") {
        let (name, mut fields) = form.named_fields()?;
        let optional = |fields: &mut Fields<'_>, name: &str| -> Res<Option<Micros>> {
            fields.take(name)?.map(|f| f.millis()).transpose()
        };
        let traits = FunctionTraits {
            concurrency: fields.or("lanes", 1, |f| f.whole(10_000))?.max(1) as usize,
            work: optional(&mut fields, "work-ms")?,
            load_time: optional(&mut fields, "load-ms")?,
            memory_mb: fields.or("memory-mb", 0.0, Form::number)?,
        };
        fields.finish()?;
        if name == "*" {
            other = traits;
        } else if named.insert(name.clone(), traits).is_some() {
            return Err(form.error(format!("function \"{name}\" stands twice")));
        }
    }
    Ok((named, other))
}
