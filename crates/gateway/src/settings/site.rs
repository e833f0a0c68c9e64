//! All settings of a gateway, read from a file or from a document with a router's own forms.

use super::balancer::{balancer, duplicates, Functions};
use super::classes::Declarations;
use super::forms::{header_text, read_text, whole, FormResult};
use super::mqtt::{bridge, BridgeContext, MqttForm};
use super::pool::PoolForm;
use super::{
    members, plugins, workers, ListedWorker, MemberSource, NameTables, PluginSettings, PoolSettings,
};
use crate::clock::Clock;
use slatevalve::{LoadReportSource, Micros, Settings, Weights, ZoneId};
use slatevalve_engine::EngineSettings;
use slatevalve_mqtt::{BridgeSettings, FrontSettings};
use slatevalve_plugins::ClassRights;
use slatevalve_sexpr::{Fields, File, Form};
use std::net::SocketAddr;
use std::path::Path;

/// Limit of the bytes of all open calls.
const MAX_OPEN_BYTES: usize = 512 * 1024 * 1024;
/// Resolution of the load balancer's timers.
const BALANCER_TIMER_RESOLUTION: Micros = Micros(1_000);
/// Default margin before a call's deadline that the answer needs to reach the client in time.
const DEFAULT_ANSWER_MARGIN: Micros = Micros(20_000);
/// Default timeout of a graceful shutdown.
const DEFAULT_STOP_TIMEOUT: Micros = Micros(5_000_000);

/// All settings of one gateway.
#[derive(Clone, Debug)]
pub struct Site {
    /// The gateway's name, which is sent to workers and identifies it in the registry.
    pub name: String,
    /// Listening address for MQTT clients; with port 0 the kernel chooses a port.
    pub listen: SocketAddr,
    /// Settings of the engine and of its load balancer.
    pub engine: EngineSettings,
    /// Settings of the MQTT front end, with the routes.
    pub front: FrontSettings,
    /// Address of the broker and settings of the bridge; `None` without a bridge.
    pub bridge: Option<(SocketAddr, BridgeSettings)>,
    /// Names of the classes, in the order of their ids.
    pub classes: Vec<String>,
    /// The effect of each class, and the classes that the plug-ins of each tenant may claim.
    pub rights: ClassRights,
    /// The workers of the file; empty if `members` is set.
    pub workers: Vec<ListedWorker>,
    /// The source of the worker list if it is not the file.
    pub members: Option<MemberSource>,
    /// Settings of the connections to workers.
    pub pool: PoolSettings,
    /// Maximum size of the body of a worker's response, in bytes.
    pub max_response: usize,
    /// Settings of plug-ins; `None` if the gateway uses none.
    pub plugins: Option<PluginSettings>,
    /// Time that open calls have to complete in a graceful shutdown.
    pub stop_timeout: Micros,
    /// Name of the gateway's own zone.
    pub zone: String,
    /// Numbers of the zones and kinds of workers, kept over reloads.
    pub name_tables: NameTables,
    /// Names of the tenants, in the order of their ids.
    pub tenants: Vec<String>,
    /// Numbers of the settings documents in force; empty if the settings come from a file.
    pub documents: Vec<u64>,
}

impl Site {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// The first error, with file, line and form.
    pub fn load(path: &Path, clock: &Clock, name_tables: NameTables) -> FormResult<Self> {
        let (name, text) = read_text(path)?;
        Site::parse(&name, &text, clock, name_tables)
    }

    /// Reads and checks the text of a settings file.
    ///
    /// # Errors
    /// The first error, with file, line and form.
    pub fn parse(file: &str, text: &str, clock: &Clock, name_tables: NameTables) -> FormResult<Self> {
        Site::of_forms(File::parse(file, text)?.forms()?, clock, name_tables)
    }

    /// Reads and checks the forms of a settings file.
    pub(super) fn of_forms(
        mut top: Fields<'_>,
        clock: &Clock,
        mut name_tables: NameTables,
    ) -> FormResult<Self> {
        let mut gateway = top.need("gateway")?.fields()?;
        let name = gateway.or("name", "gateway".to_string(), header_text)?;
        let zone = gateway.or("zone", "default".to_string(), Form::text)?;
        let zone_id = ZoneId(name_tables.zones.number_of(&zone));
        let declared = Declarations::read(&mut top)?;
        let shared = balancer(&mut top, &mut name_tables.kinds)?;
        let workers = workers::workers(&mut top, &mut name_tables, clock)?;
        let balancer = complete_balancer(&mut gateway, zone_id, &declared, &workers, shared)?;
        let routes = declared.routes(&mut top)?;
        let engine = engine(&mut top, &mut gateway, balancer, &declared)?;
        let stop_timeout = gateway.or("stop-within-ms", DEFAULT_STOP_TIMEOUT, Form::millis)?;
        gateway.finish()?;
        let context = BridgeContext {
            routes: &routes,
            has_unsafe_class: declared.has_unsafe_class(),
            seed: engine.seed,
        };
        let bridge = bridge(&mut top, &context)?;
        let MqttForm { listen, front } = MqttForm::read(&mut top, routes)?;
        let rights = declared.rights();
        let PoolForm { settings: pool, max_response } = PoolForm::read(&mut top)?;
        let plugins = plugins::plugins(&mut top, rights.clone(), engine.seed)?;
        let members = members::members(&mut top, engine.seed, &name, engine.balancer.routers)?;
        check_one_source(&top, members.as_ref(), &workers)?;
        top.finish()?;
        let (classes, tenants) = declared.into_names();
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
            stop_timeout,
            zone,
            name_tables,
            tenants,
            documents: Vec::new(),
        })
    }
}

/// Adds the gateway's own settings and the declarations to the load balancer's shared settings.
fn complete_balancer(
    gateway: &mut Fields<'_>,
    zone: ZoneId,
    declared: &Declarations,
    workers: &[ListedWorker],
    shared: Settings,
) -> FormResult<Settings> {
    Ok(Settings {
        routers: whole(gateway, "routers", 1, 1_000_000)?,
        zone,
        timer_resolution: BALANCER_TIMER_RESOLUTION,
        classes: declared.classes.iter().map(|class| class.class.clone()).collect(),
        tenants: declared.tenants.iter().map(|tenant| tenant.tenant.clone()).collect(),
        weights: weights(workers),
        reports: LoadReportSource::Answers,
        ..shared
    })
}

/// Checks that workers come either from the file or from a member source.
fn check_one_source(
    top: &Fields<'_>,
    members: Option<&MemberSource>,
    workers: &[ListedWorker],
) -> FormResult<()> {
    if members.is_some() && !workers.is_empty() {
        return Err(
            top.error("(members ...) and (worker ...) exclude each other: the worker list has one source")
        );
    }
    Ok(())
}

/// Workers are weighted by size if the list sets a weight other than 1 for any of them.
fn weights(workers: &[ListedWorker]) -> Weights {
    if workers.iter().any(|worker| worker.entry.weight != 1.0) {
        Weights::Size
    } else {
        Weights::None
    }
}

fn engine(
    top: &mut Fields<'_>,
    gateway: &mut Fields<'_>,
    balancer: Settings,
    declared: &Declarations,
) -> FormResult<EngineSettings> {
    let functions = Functions::read(top)?;
    Ok(EngineSettings {
        balancer,
        seed: whole(gateway, "seed", 1, u64::from(u32::MAX))?,
        classes: declared.policies(),
        key_spaces: Vec::new(),
        functions: functions.named,
        other_functions: functions.other,
        duplicates: Some(duplicates(top)?),
        answer_margin: gateway.or("answer-margin-ms", DEFAULT_ANSWER_MARGIN, Form::millis)?,
        max_open_bytes: MAX_OPEN_BYTES,
        max_open_calls: whole(gateway, "max-open", 20_000, 10_000_000)?,
        max_function_names: whole(gateway, "max-functions", 65_536, 10_000_000)?,
    })
}
